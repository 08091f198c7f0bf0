//! The fixtures' files. Some are binary; the others are tables, with a name and its bytes in hex on each line.

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

fn path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file)
}

pub(crate) fn read(file: &str) -> Vec<u8> {
    fs::read(path(file)).unwrap()
}

pub(crate) fn write(file: &str, bytes: &[u8]) {
    fs::create_dir_all(path("")).unwrap();
    fs::write(path(file), bytes).unwrap();
}

/// Named byte strings, in the order of their names.
pub(crate) type Table = BTreeMap<String, Vec<u8>>;

pub(crate) fn read_table(file: &str) -> Table {
    let text = String::from_utf8(read(file)).unwrap();
    let row = |line: &str| {
        let (name, bytes) = line.split_once(' ').unwrap();
        (name.to_owned(), hex::decode(bytes).unwrap())
    };
    text.lines().map(row).collect()
}

pub(crate) fn write_table(file: &str, table: &Table) {
    let rows = table.iter().map(|(name, bytes)| format!("{name} {}\n", hex::encode(bytes)));
    write(file, rows.collect::<String>().as_bytes());
}

/// Asserts that the encoded values are the rows of the fixture, with the same names and bytes.
pub(crate) fn assert_same_bytes(file: &str, encoded: &Table) {
    let table = read_table(file);
    assert_eq!(encoded.keys().collect::<Vec<_>>(), table.keys().collect::<Vec<_>>(), "{file}");
    for (name, bytes) in &table {
        assert_eq!(hex::encode(&encoded[name]), hex::encode(bytes), "{file}: {name}");
    }
}
