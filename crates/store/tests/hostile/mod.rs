//! What reads bytes that others wrote: it refuses them or reads them whole, and never panics.
#![allow(dead_code)] // each target uses its own

use stonefold_store::codec::{decode, encode};
use stonefold_store::engine::Entry;
use stonefold_store::machine::open_snapshot;
use stonefold_store::message::{Request, Response};
use stonefold_store::wire::{HELLO, Key, Keys, Opener, Welcoming};

pub fn frames(bytes: &[u8]) {
    let keys = Keys::new(Key::new([1; 32]), None);
    if let Some(hello) = bytes.first_chunk::<HELLO>() {
        let _ = Welcoming::new(&keys, hello, [2; 32]);
    }
    let mut opener = Opener::new(Key::new([1; 32]), true);
    if let Some((head, rest)) = bytes.split_first_chunk::<4>()
        && let Ok(length) = opener.length(*head)
    {
        let _ = opener.open(&rest[..length.min(rest.len())]);
    }
    let _ = decode::<Response>("an answer", bytes);
    if let Ok(request) = decode::<Request>("a question", bytes) {
        assert_eq!(encode("a question", &request).unwrap().first(), bytes.first());
    }
}

pub fn entries(bytes: &[u8]) {
    if let Ok(entry) = decode::<Entry>("a log entry", bytes) {
        let again = encode("a log entry", &entry).unwrap();
        assert_eq!(decode::<Entry>("a log entry", &again).unwrap(), entry);
    }
}

pub fn snapshots(bytes: &[u8]) {
    let _ = open_snapshot(bytes);
}
