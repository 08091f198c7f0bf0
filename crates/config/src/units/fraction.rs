//! Real numbers with a range.

use schemars::json_schema;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::inline_schema;
use super::visitor::NumberVisitor;

/// A part of a whole: 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Fraction(f64);

/// A number above 0, up to 1,000,000.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Positive(f64);

impl Fraction {
    /// This part, clamped to the range of 0 to 1.
    pub const fn new(part: f64) -> Self {
        Fraction(part.clamp(0.0, 1.0))
    }

    /// The value as a number.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Positive {
    /// The largest number allowed.
    const MAX: f64 = 1e6;

    /// This number, clamped to the range.
    pub const fn new(number: f64) -> Self {
        Positive(number.clamp(f64::MIN_POSITIVE, Self::MAX))
    }

    /// The value as a number.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl<'de> Deserialize<'de> for Fraction {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let convert = |number: f64| (0.0..=1.0).contains(&number).then_some(Fraction(number));
        deserializer.deserialize_any(NumberVisitor { expected: "a part of 0 to 1".into(), convert })
    }
}

impl<'de> Deserialize<'de> for Positive {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let expected = "a number above 0, at most 1000000".into();
        let convert = |number: f64| (number > 0.0 && number <= Self::MAX).then_some(Positive(number));
        deserializer.deserialize_any(NumberVisitor { expected, convert })
    }
}

impl Serialize for Fraction {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(self.0)
    }
}

impl Serialize for Positive {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(self.0)
    }
}

inline_schema!([] Fraction, json_schema!({"type": "number", "minimum": 0, "maximum": 1}));
inline_schema!(
    [] Positive,
    json_schema!({"type": "number", "exclusiveMinimum": 0, "maximum": Self::MAX})
);
