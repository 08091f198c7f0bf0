//! Items for the tests.

use stonefold_store::feed::frame::Item;

pub(crate) fn document(name: &str, text: &str) -> Item {
    Item::Document { name: name.into(), text: text.into(), author: "me".into(), at_ms: 1 }
}

pub(crate) fn list(version: u64, text: &str) -> Item {
    Item::List { version, text: text.into() }
}
