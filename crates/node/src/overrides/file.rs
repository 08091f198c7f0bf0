//! The file that stores a node's overrides. All processes of the node share it.

use std::env;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use super::{Overrides, now_ms};
use crate::transient::TransientError;

/// The version of the file's format. A file of another version is not read.
const VERSION: u32 = 1;
/// The time in milliseconds after which an override that enables a server is removed, since the server's slow start is
/// over by then.
const ENABLED_RETENTION_MS: u64 = 600_000;
/// The name of the file, which is in `$TMPDIR`.
const FILE_NAME: &str = "stonefold-orders.json";

/// The content of the file.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct OverrideDocument {
    version: u32,
    #[serde(rename = "servers")]
    overrides: Overrides,
}

/// Why overrides can't be stored or read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OverrideError {
    /// There is no `$TMPDIR` to store them in.
    #[error("no TMPDIR to keep orders in")]
    NoDirectory,
    /// A system call on this file has failed.
    #[error("{path}: {1}", path = .0.display())]
    Io(PathBuf, io::Error),
    /// The file can't be parsed.
    #[error("{path} is damaged: {1}", path = .0.display())]
    Damaged(PathBuf, serde_json::Error),
    /// The file is of another version.
    #[error("{path} is of version {1}, not {VERSION}", path = .0.display())]
    Version(PathBuf, u32),
    /// The store that all nodes share has rejected the override.
    #[error("{0}")]
    Shared(String),
}

impl OverrideError {
    /// Whether the stored overrides can't be read, and a retry can't succeed.
    fn is_permanent(&self) -> bool {
        matches!(self, OverrideError::Damaged(..) | OverrideError::Version(..))
    }
}

impl TransientError for OverrideError {
    fn is_transient(&self) -> bool {
        matches!(self, OverrideError::Io(_, error) if error.is_transient())
    }
}

/// Metadata of the file, by which a change of it is noticed.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Fingerprint {
    modified: SystemTime,
    inode: u64,
    length: u64,
}

/// The file of a node's overrides.
pub(crate) struct OverrideFile {
    directory: Option<PathBuf>,
    last_fingerprint: Mutex<Option<Fingerprint>>,
    /// The overrides as they were last read or written.
    last_overrides: Mutex<Overrides>,
}

impl OverrideFile {
    /// The file of this node, in `$TMPDIR`, which all its processes share.
    pub(crate) fn of_node() -> OverrideFile {
        OverrideFile::in_directory(env::var_os("TMPDIR").map(PathBuf::from))
    }

    fn in_directory(directory: Option<PathBuf>) -> OverrideFile {
        OverrideFile { directory, last_fingerprint: Mutex::default(), last_overrides: Mutex::default() }
    }

    fn last_overrides(&self) -> MutexGuard<'_, Overrides> {
        self.last_overrides.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the stored overrides; none if nothing was ever stored.
    ///
    /// # Errors
    /// If the file can't be read or parsed.
    pub(crate) fn load(&self) -> Result<Overrides, OverrideError> {
        let Some(directory) = &self.directory else { return Ok(Overrides::new()) };
        let path = directory.join(FILE_NAME);
        let text = match fs::read(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Overrides::new()),
            Err(error) => return Err(OverrideError::Io(path, error)),
        };
        match serde_json::from_slice::<OverrideDocument>(&text) {
            Ok(document) if document.version == VERSION => {
                self.last_overrides().clone_from(&document.overrides);
                Ok(document.overrides)
            }
            Ok(document) => Err(OverrideError::Version(path, document.version)),
            Err(error) => Err(OverrideError::Damaged(path, error)),
        }
    }

    /// Changes the stored overrides durably, and returns the result. A damaged file is renamed, and the overrides that
    /// this process has last read or written take its place.
    ///
    /// # Errors
    /// If the file can't be read or written. The stored overrides are unchanged then.
    pub(crate) fn change(&self, change: impl FnOnce(&mut Overrides)) -> Result<Overrides, OverrideError> {
        let directory = self.directory.as_deref().ok_or(OverrideError::NoDirectory)?;
        let path = directory.join(FILE_NAME);
        let io_error = |error| OverrideError::Io(path.clone(), error);
        // Processes that change the file at the same time must not overwrite each other's changes.
        let lock = OpenOptions::new().create(true).append(true).open(path.with_extension("lock"));
        let lock = lock.map_err(io_error)?;
        lock.lock().map_err(io_error)?;
        let mut overrides = match self.load() {
            Err(error) if error.is_permanent() => {
                fs::rename(&path, path.with_extension("damaged")).map_err(io_error)?;
                self.last_overrides().clone()
            }
            loaded => loaded?,
        };
        change(&mut overrides);
        let now = now_ms();
        overrides.retain(|_, server| {
            server.disabled || now.saturating_sub(server.since_ms) < ENABLED_RETENTION_MS
        });
        let document = OverrideDocument { version: VERSION, overrides };
        write(directory, &path, &document).map_err(io_error)?;
        self.last_overrides().clone_from(&document.overrides);
        Ok(document.overrides)
    }

    /// Whether the file may have changed since the last call.
    pub(crate) fn changed(&self) -> bool {
        let path = self.directory.as_deref().map(|directory| directory.join(FILE_NAME));
        let fingerprint = path.and_then(|path| fingerprint(&path).ok());
        let mut last = self.last_fingerprint.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = fingerprint != *last;
        *last = fingerprint;
        changed
    }
}

/// Replaces the file durably: writes and syncs a new file, renames it, and syncs the directory.
fn write(directory: &Path, path: &Path, document: &OverrideDocument) -> io::Result<()> {
    let new_path = path.with_extension("new");
    let text = serde_json::to_vec(document)?;
    // A retry must write a new file: after a failed sync the kernel may treat pages as clean that it has not written.
    let mut file = File::create(&new_path)?;
    file.write_all(&text)?;
    file.sync_all()?;
    fs::rename(&new_path, path)?;
    File::open(directory)?.sync_all()
}

fn fingerprint(path: &Path) -> io::Result<Fingerprint> {
    let metadata = fs::metadata(path)?;
    Ok(Fingerprint { modified: metadata.modified()?, inode: metadata.ino(), length: metadata.len() })
}

#[cfg(test)]
mod tests;
