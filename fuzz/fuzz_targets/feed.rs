#![no_main]

#[path = "../../crates/store/tests/hostile/mod.rs"]
mod hostile;

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| hostile::feed(bytes));
