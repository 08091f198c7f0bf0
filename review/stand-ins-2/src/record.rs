//! `record.txt`: what was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a case. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    /// Adds a line with the present time.
    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    /// Adds a line about something that happened at this time.
    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let ms = at.saturating_duration_since(self.started).as_secs_f64() * 1e3;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:10.1} ms  {}", text.as_ref());
    }
}
