//! Whole numbers with a range.

use schemars::json_schema;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::visitor::NumberVisitor;
use super::{clamp, inline_schema};

/// A whole number of `MIN` to `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Count<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> Count<MIN, MAX> {
    /// This number, clamped to the range.
    pub const fn new(number: u64) -> Self {
        Count(clamp(number, MIN, MAX))
    }

    /// The number, for use as an index or a length.
    pub const fn get(self) -> usize {
        self.0 as usize
    }

    /// The allowed values, for error messages.
    fn range() -> String {
        format!("a whole number of {MIN} to {MAX}")
    }
}

/// The smallest value of the range.
impl<const MIN: u64, const MAX: u64> Default for Count<MIN, MAX> {
    fn default() -> Self {
        Self::new(MIN)
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Count<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let convert = |number: f64| {
            let in_range = (MIN as f64..=MAX as f64).contains(&number);
            (number.fract() == 0.0 && in_range).then_some(Count(number as u64))
        };
        deserializer.deserialize_any(NumberVisitor { expected: Self::range(), convert })
    }
}

impl<const MIN: u64, const MAX: u64> Serialize for Count<MIN, MAX> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(self.0)
    }
}

inline_schema!(
    [const MIN: u64, const MAX: u64] Count<MIN, MAX>,
    json_schema!({"type": "integer", "minimum": MIN, "maximum": MAX})
);
