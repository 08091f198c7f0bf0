//! Values with units and ranges. Each type carries its range, so that a refusal and the schema state the same.

use std::borrow::Cow;
use std::fmt;
use std::time::Duration;

use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::de::{Error, Unexpected, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A duration of `MIN` to `MAX` milliseconds, written with its unit: `250ms`, `1s 500ms`, `1h`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Millis<const MIN: u64, const MAX: u64>(u64);

/// A duration of `MIN` to `MAX` microseconds, written with its unit: `200us`, `12ms 500us`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fine<const MIN: u64, const MAX: u64>(u64);

/// A size of `MIN` to `MAX` bytes, written with its unit: `64KiB`, `192MiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size<const MIN: u64, const MAX: u64>(u64);

/// A whole number of `MIN` to `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Count<const MIN: u64, const MAX: u64>(u64);

/// A part of a whole: 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Part(f64);

/// A number above 0, up to 1,000,000.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Positive(f64);

/// `Ord::clamp` is not const yet.
const fn cut(n: u64, min: u64, max: u64) -> u64 {
    if n < min {
        min
    } else if n > max {
        max
    } else {
        n
    }
}

fn span(ms: u64) -> String {
    humantime::format_duration(Duration::from_millis(ms)).to_string()
}

fn fine(us: u64) -> String {
    humantime::format_duration(Duration::from_micros(us)).to_string()
}

/// With the largest binary unit that leaves no rest, so that it is read back as it was.
fn bytes(n: u64) -> String {
    let units = [("TiB", 40), ("GiB", 30), ("MiB", 20), ("KiB", 10)];
    match units.iter().find(|(_, shift)| n > 0 && n.is_multiple_of(1 << shift)) {
        Some((unit, shift)) => format!("{}{unit}", n >> shift),
        None => format!("{n}B"),
    }
}

impl<const MIN: u64, const MAX: u64> Millis<MIN, MAX> {
    /// So many milliseconds, cut to the range.
    pub const fn new(ms: u64) -> Self {
        Millis(cut(ms, MIN, MAX))
    }
    /// In milliseconds.
    pub const fn ms(self) -> u64 {
        self.0
    }
    /// As a duration.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
    fn range() -> String {
        format!("a duration of {} to {}, with its unit, such as \"250ms\"", span(MIN), span(MAX))
    }
}

impl<const MIN: u64, const MAX: u64> Fine<MIN, MAX> {
    /// So many microseconds, cut to the range.
    pub const fn new(us: u64) -> Self {
        Fine(cut(us, MIN, MAX))
    }
    /// In microseconds.
    pub const fn us(self) -> u64 {
        self.0
    }
    fn range() -> String {
        format!("a duration of {} to {}, with its unit, such as \"250us\"", fine(MIN), fine(MAX))
    }
}

impl<const MIN: u64, const MAX: u64> Size<MIN, MAX> {
    /// So many bytes, cut to the range.
    pub const fn new(bytes: u64) -> Self {
        Size(cut(bytes, MIN, MAX))
    }
    /// In bytes.
    pub const fn bytes(self) -> u64 {
        self.0
    }
    fn range() -> String {
        format!("a size of {} to {}, with its unit, such as \"64KiB\"", bytes(MIN), bytes(MAX))
    }
}

impl<const MIN: u64, const MAX: u64> Count<MIN, MAX> {
    /// This number, cut to the range.
    pub const fn new(n: u64) -> Self {
        Count(cut(n, MIN, MAX))
    }
    /// As an index or length.
    pub const fn get(self) -> usize {
        self.0 as usize
    }
    fn range() -> String {
        format!("a whole number of {MIN} to {MAX}")
    }
}

impl Part {
    /// This part, cut to 0 to 1.
    pub const fn new(part: f64) -> Self {
        Part(part.clamp(0.0, 1.0))
    }
    /// As a number.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Positive {
    const MOST: f64 = 1e6;

    /// This number, cut to the range.
    pub const fn new(n: f64) -> Self {
        Positive(n.clamp(f64::MIN_POSITIVE, Self::MOST))
    }
    /// As a number.
    pub const fn get(self) -> f64 {
        self.0
    }
}

/// The least of the range.
macro_rules! least {
    ($($name:ident)*) => { $(
        impl<const MIN: u64, const MAX: u64> Default for $name<MIN, MAX> {
            fn default() -> Self {
                Self::new(MIN)
            }
        }
    )* };
}

least!(Millis Fine Size Count);

impl Default for Part {
    fn default() -> Part {
        Part::new(0.0)
    }
}

/// Reads a text, or says what would be allowed.
struct Text<F>(String, F);

impl<T, F: FnOnce(&str) -> Option<T>> Visitor<'_> for Text<F> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
    fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
        let Text(range, read) = self;
        read(text).ok_or_else(|| E::custom(format!("{text:?} is not allowed here: expected {range}")))
    }
}

/// Reads a number, or says what would be allowed.
struct Number<F>(String, F);

impl<T, F: FnOnce(f64) -> Option<T>> Number<F> {
    fn take<E: Error>(self, n: f64, given: Unexpected) -> Result<T, E> {
        let Number(range, read) = self;
        read(n).ok_or_else(|| E::custom(format!("{given} is not allowed here: expected {range}")))
    }
}

impl<T, F: FnOnce(f64) -> Option<T>> Visitor<'_> for Number<F> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
    fn visit_i64<E: Error>(self, n: i64) -> Result<T, E> {
        self.take(n as f64, Unexpected::Signed(n))
    }
    fn visit_u64<E: Error>(self, n: u64) -> Result<T, E> {
        self.take(n as f64, Unexpected::Unsigned(n))
    }
    fn visit_f64<E: Error>(self, n: f64) -> Result<T, E> {
        self.take(n, Unexpected::Float(n))
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Millis<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_str(Text(Self::range(), |text: &str| {
            let ms = u64::try_from(humantime::parse_duration(text).ok()?.as_millis()).ok()?;
            (MIN..=MAX).contains(&ms).then_some(Millis(ms))
        }))
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Fine<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_str(Text(Self::range(), |text: &str| {
            let us = u64::try_from(humantime::parse_duration(text).ok()?.as_micros()).ok()?;
            (MIN..=MAX).contains(&us).then_some(Fine(us))
        }))
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Size<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_str(Text(Self::range(), |text: &str| {
            let bytes = text.parse::<bytesize::ByteSize>().ok()?.as_u64();
            (MIN..=MAX).contains(&bytes).then_some(Size(bytes))
        }))
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Count<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(Number(Self::range(), |n: f64| {
            (n.fract() == 0.0 && (MIN as f64..=MAX as f64).contains(&n)).then_some(Count(n as u64))
        }))
    }
}

impl<'de> Deserialize<'de> for Part {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let read = |n: f64| (0.0..=1.0).contains(&n).then_some(Part(n));
        from.deserialize_any(Number("a part of 0 to 1".into(), read))
    }
}

impl<'de> Deserialize<'de> for Positive {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let read = |n: f64| (n > 0.0 && n <= Positive::MOST).then_some(Positive(n));
        from.deserialize_any(Number("a number above 0, at most 1000000".into(), read))
    }
}

impl<const MIN: u64, const MAX: u64> Serialize for Millis<MIN, MAX> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&span(self.0))
    }
}

impl<const MIN: u64, const MAX: u64> Serialize for Fine<MIN, MAX> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&fine(self.0))
    }
}

impl<const MIN: u64, const MAX: u64> Serialize for Size<MIN, MAX> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&bytes(self.0))
    }
}

impl<const MIN: u64, const MAX: u64> Serialize for Count<MIN, MAX> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(self.0)
    }
}

impl Serialize for Part {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_f64(self.0)
    }
}

impl Serialize for Positive {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_f64(self.0)
    }
}

/// Schemas stand in line, each where it is used: the ranges differ.
macro_rules! schema {
    ([$($generics:tt)*] $type:ty, $schema:expr) => {
        impl<$($generics)*> JsonSchema for $type {
            fn inline_schema() -> bool {
                true
            }
            fn schema_name() -> Cow<'static, str> {
                stringify!($type).into()
            }
            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                $schema
            }
        }
    };
}

schema!([const MIN: u64, const MAX: u64] Millis<MIN, MAX>, json_schema!({"type": "string", "description": Self::range()}));
schema!([const MIN: u64, const MAX: u64] Fine<MIN, MAX>, json_schema!({"type": "string", "description": Self::range()}));
schema!([const MIN: u64, const MAX: u64] Size<MIN, MAX>, json_schema!({"type": "string", "description": Self::range()}));
schema!([const MIN: u64, const MAX: u64] Count<MIN, MAX>, json_schema!({"type": "integer", "minimum": MIN, "maximum": MAX}));
schema!([] Part, json_schema!({"type": "number", "minimum": 0, "maximum": 1}));
schema!([] Positive, json_schema!({"type": "number", "exclusiveMinimum": 0, "maximum": Positive::MOST}));

#[cfg(test)]
mod tests;
