//! Serde visitors whose errors state the allowed values.

use std::fmt;

use serde::de::{Error, Unexpected, Visitor};

/// Parses a string with `parse`, which returns `None` for a value that is not allowed.
pub(super) struct TextVisitor<F> {
    /// The allowed values, for error messages.
    pub(super) expected: String,
    pub(super) parse: F,
}

impl<T, F: FnOnce(&str) -> Option<T>> Visitor<'_> for TextVisitor<F> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.expected)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
        let TextVisitor { expected, parse } = self;
        parse(text).ok_or_else(|| E::custom(format!("{text:?} is not allowed here: expected {expected}")))
    }
}

/// Converts a number with `convert`, which returns `None` for a value that is not allowed.
pub(super) struct NumberVisitor<F> {
    /// The allowed values, for error messages.
    pub(super) expected: String,
    pub(super) convert: F,
}

impl<T, F: FnOnce(f64) -> Option<T>> NumberVisitor<F> {
    fn accept<E: Error>(self, number: f64, original: Unexpected<'_>) -> Result<T, E> {
        let NumberVisitor { expected, convert } = self;
        convert(number)
            .ok_or_else(|| E::custom(format!("{original} is not allowed here: expected {expected}")))
    }
}

impl<T, F: FnOnce(f64) -> Option<T>> Visitor<'_> for NumberVisitor<F> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.expected)
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<T, E> {
        self.accept(number as f64, Unexpected::Signed(number))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<T, E> {
        self.accept(number as f64, Unexpected::Unsigned(number))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<T, E> {
        self.accept(number, Unexpected::Float(number))
    }
}
