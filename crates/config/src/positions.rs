//! The positions of the values in a TOML text.

use std::collections::BTreeMap;
use std::ops::Range;
use std::path::Path;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::error::Location;

/// Locations by key path. The path of an array element contains its index, as in `class[1].aim`.
pub(crate) type Locations = BTreeMap<String, Location>;

/// A TOML text and the file that it was read from.
pub(crate) struct TextFile<'a> {
    pub(crate) path: &'a Path,
    pub(crate) text: &'a str,
}

impl TextFile<'_> {
    /// The location at which a span of bytes begins.
    pub(crate) fn location(&self, span: Range<usize>) -> Location {
        let before = self.text.get(..span.start).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
        Location::File { path: self.path.to_owned(), line, column }
    }

    /// The locations of all keys and array elements of a parsed table.
    pub(crate) fn locations_in(&self, table: &DeTable<'_>) -> Locations {
        let mut locations = Locations::new();
        self.visit_table(table, "", &mut locations);
        locations
    }

    fn visit_table(&self, table: &DeTable<'_>, parent: &str, locations: &mut Locations) {
        for (key, value) in table {
            let name = key.get_ref();
            let path = if parent.is_empty() { name.to_string() } else { format!("{parent}.{name}") };
            locations.insert(path.clone(), self.location(key.span()));
            self.visit_value(value, &path, locations);
        }
    }

    fn visit_value(&self, value: &Spanned<DeValue<'_>>, path: &str, locations: &mut Locations) {
        match value.get_ref() {
            DeValue::Table(table) => self.visit_table(table, path, locations),
            DeValue::Array(array) => {
                for (index, element) in array.iter().enumerate() {
                    let path = format!("{path}[{index}]");
                    locations.insert(path.clone(), self.location(element.span()));
                    self.visit_value(element, &path, locations);
                }
            }
            _ => {}
        }
    }
}
