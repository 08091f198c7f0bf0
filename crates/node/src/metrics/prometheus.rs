//! Writes the text format of Prometheus. Writing to a string can't fail, so the results of `writeln!` are ignored.

use std::fmt::Write;

use crate::counter::Counter;

/// Microseconds in a second, which is the unit of durations in the text.
pub(super) const MICROS_PER_SECOND: f64 = 1e6;

/// Appends the line that states a metric's type.
pub(crate) fn write_type(text: &mut String, name: &str, kind: &str) {
    let _ = writeln!(text, "# TYPE {name} {kind}");
}

/// Appends a metric with one value.
pub(super) fn write_value(text: &mut String, name: &str, kind: &str, value: u64) {
    write_type(text, name, kind);
    let _ = writeln!(text, "{name} {value}");
}

/// Appends a metric with one value for each value of a label.
pub(crate) fn write_labelled<'a>(
    text: &mut String,
    name: &str,
    kind: &str,
    label: &str,
    rows: impl Iterator<Item = (&'a str, &'a Counter)>,
) {
    write_type(text, name, kind);
    for (value, counter) in rows {
        let _ = writeln!(text, "{name}{{{label}=\"{}\"}} {}", escape(value), counter.get());
    }
}

/// Escapes the special characters in the value of a label.
fn escape(value: &str) -> String {
    value.replace('\\', r"\\").replace('"', "\\\"").replace('\n', r"\n")
}
