//! Quantities that are written as a number with its unit: durations and sizes.

use std::fmt;
use std::marker::PhantomData;
use std::time::Duration;

use schemars::json_schema;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::visitor::TextVisitor;
use super::{clamp, inline_schema};

/// How quantities of one kind are counted, written and parsed.
pub trait Unit {
    /// The name of such a quantity with its article, for error messages.
    const KIND: &'static str;
    /// An example of a written quantity, for error messages.
    const EXAMPLE: &'static str;

    /// Writes an amount so that [`parse`](Unit::parse) returns it.
    fn format(amount: u64) -> String;

    /// Parses a number with its unit; `None` if it is malformed or too large.
    fn parse(text: &str) -> Option<u64>;
}

/// The unit of [`DurationMillis`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Milliseconds {}

impl Unit for Milliseconds {
    const KIND: &'static str = "a duration";
    const EXAMPLE: &'static str = "250ms";

    fn format(amount: u64) -> String {
        humantime::format_duration(Duration::from_millis(amount)).to_string()
    }

    fn parse(text: &str) -> Option<u64> {
        u64::try_from(humantime::parse_duration(text).ok()?.as_millis()).ok()
    }
}

/// The unit of [`DurationMicros`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Microseconds {}

impl Unit for Microseconds {
    const KIND: &'static str = "a duration";
    const EXAMPLE: &'static str = "250us";

    fn format(amount: u64) -> String {
        humantime::format_duration(Duration::from_micros(amount)).to_string()
    }

    fn parse(text: &str) -> Option<u64> {
        u64::try_from(humantime::parse_duration(text).ok()?.as_micros()).ok()
    }
}

/// The unit of [`Size`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bytes {}

impl Unit for Bytes {
    const KIND: &'static str = "a size";
    const EXAMPLE: &'static str = "64KiB";

    /// Uses the largest binary unit that leaves no remainder.
    fn format(amount: u64) -> String {
        let units = [("TiB", 40), ("GiB", 30), ("MiB", 20), ("KiB", 10)];
        match units.iter().find(|(_, shift)| amount > 0 && amount.is_multiple_of(1 << shift)) {
            Some((unit, shift)) => format!("{}{unit}", amount >> shift),
            None => format!("{amount}B"),
        }
    }

    fn parse(text: &str) -> Option<u64> {
        Some(text.parse::<bytesize::ByteSize>().ok()?.as_u64())
    }
}

/// A quantity of `MIN` to `MAX`, counted in a unit and written with it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Quantity<U, const MIN: u64, const MAX: u64> {
    amount: u64,
    unit: PhantomData<U>,
}

/// A duration of `MIN` to `MAX` milliseconds: `250ms`, `1s 500ms`, `1h`.
pub type DurationMillis<const MIN: u64, const MAX: u64> = Quantity<Milliseconds, MIN, MAX>;

/// A duration of `MIN` to `MAX` microseconds: `200us`, `12ms 500us`.
pub type DurationMicros<const MIN: u64, const MAX: u64> = Quantity<Microseconds, MIN, MAX>;

/// A size of `MIN` to `MAX` bytes: `64KiB`, `192MiB`.
pub type Size<const MIN: u64, const MAX: u64> = Quantity<Bytes, MIN, MAX>;

impl<U, const MIN: u64, const MAX: u64> Quantity<U, MIN, MAX> {
    /// This amount of the unit, clamped to the range.
    pub const fn new(amount: u64) -> Self {
        Quantity { amount: clamp(amount, MIN, MAX), unit: PhantomData }
    }
}

impl<const MIN: u64, const MAX: u64> DurationMillis<MIN, MAX> {
    /// The duration in milliseconds.
    pub const fn ms(self) -> u64 {
        self.amount
    }

    /// The duration as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.amount)
    }
}

impl<const MIN: u64, const MAX: u64> DurationMicros<MIN, MAX> {
    /// The duration in microseconds.
    pub const fn us(self) -> u64 {
        self.amount
    }
}

impl<const MIN: u64, const MAX: u64> Size<MIN, MAX> {
    /// The size in bytes.
    pub const fn bytes(self) -> u64 {
        self.amount
    }
}

impl<U: Unit, const MIN: u64, const MAX: u64> Quantity<U, MIN, MAX> {
    /// The allowed values, for error messages and the schema.
    fn range() -> String {
        let (min, max) = (U::format(MIN), U::format(MAX));
        format!("{} of {min} to {max}, with its unit, such as \"{}\"", U::KIND, U::EXAMPLE)
    }
}

/// The smallest value of the range.
impl<U, const MIN: u64, const MAX: u64> Default for Quantity<U, MIN, MAX> {
    fn default() -> Self {
        Self::new(MIN)
    }
}

impl<U: Unit, const MIN: u64, const MAX: u64> fmt::Debug for Quantity<U, MIN, MAX> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&U::format(self.amount))
    }
}

impl<'de, U: Unit, const MIN: u64, const MAX: u64> Deserialize<'de> for Quantity<U, MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let parse = |text: &str| {
            let amount = U::parse(text)?;
            (MIN..=MAX).contains(&amount).then(|| Self::new(amount))
        };
        deserializer.deserialize_str(TextVisitor { expected: Self::range(), parse })
    }
}

impl<U: Unit, const MIN: u64, const MAX: u64> Serialize for Quantity<U, MIN, MAX> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&U::format(self.amount))
    }
}

inline_schema!(
    [U: Unit, const MIN: u64, const MAX: u64] Quantity<U, MIN, MAX>,
    json_schema!({"type": "string", "description": Self::range()})
);
