//! Values with units and ranges. Each type contains its range, so that error messages and the schema state the same.

mod count;
mod fraction;
mod quantity;
mod visitor;

pub use count::Count;
pub use fraction::{Fraction, Positive};
pub use quantity::{DurationMicros, DurationMillis, Quantity, Size, Unit};

/// Implements [`schemars::JsonSchema`] for a type whose schema depends on its range. The schema is inlined where the type
/// is used, because a shared definition could state one range only.
macro_rules! inline_schema {
    ([$($generics:tt)*] $type:ty, $schema:expr) => {
        impl<$($generics)*> schemars::JsonSchema for $type {
            fn inline_schema() -> bool {
                true
            }
            fn schema_name() -> std::borrow::Cow<'static, str> {
                stringify!($type).into()
            }
            fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
                $schema
            }
        }
    };
}

use inline_schema;

/// `Ord::clamp` for constant expressions.
const fn clamp(value: u64, min: u64, max: u64) -> u64 {
    if value < min {
        min
    } else if value > max {
        max
    } else {
        value
    }
}

#[cfg(test)]
mod tests;
