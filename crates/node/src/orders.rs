//! The orders that operators gave for servers, and the small file that keeps them: all processes of a node share it.

use std::collections::BTreeMap;
use std::env;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::transient::TransientError;

/// The form of the file. One of another version is not read.
const VERSION: u32 = 1;
/// An order that put a server back is forgotten after this time, in ms: it is warm by then.
const REMEMBERED: u64 = 600_000;

/// What operators ordered for one server.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Out of use, or back.
    pub out: bool,
    /// Since when, in ms of Unix time.
    pub since_ms: u64,
}

/// The orders in force, by the servers' ids.
pub type Orders = BTreeMap<String, Order>;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    version: u32,
    servers: Orders,
}

/// Why orders can't be kept or read.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// There is no `$TMPDIR` to keep them in.
    #[error("no TMPDIR to keep orders in")]
    NoPlace,
    #[error("{path}: {1}", path = .0.display())]
    Io(PathBuf, io::Error),
    #[error("{path} is damaged: {1}", path = .0.display())]
    Damaged(PathBuf, serde_json::Error),
    #[error("{path} is of version {1}, not {VERSION}", path = .0.display())]
    Version(PathBuf, u32),
    /// What all nodes keep together.
    #[error("{0}")]
    Shared(String),
}

impl StateError {
    /// Whether what is kept can't be read and never will be.
    fn is_lasting(&self) -> bool {
        matches!(self, StateError::Damaged(..) | StateError::Version(..))
    }
}

impl TransientError for StateError {
    fn is_transient(&self) -> bool {
        matches!(self, StateError::Io(_, error) if error.is_transient())
    }
}

/// When the file was last written, as far as its name and times tell.
#[derive(Clone, PartialEq, Eq, Debug)]
struct Stamp(SystemTime, u64, u64);

/// The file of a node's orders.
pub struct OrderFile {
    dir: Option<PathBuf>,
    seen: Mutex<Option<Stamp>>,
    /// The orders as they were last read or written.
    last: Mutex<Orders>,
}

impl OrderFile {
    /// The file of this node: in `$TMPDIR`, which all its processes share.
    pub fn of_node() -> OrderFile {
        OrderFile::at(env::var_os("TMPDIR").map(PathBuf::from))
    }

    fn at(dir: Option<PathBuf>) -> OrderFile {
        OrderFile { dir, seen: Mutex::default(), last: Mutex::default() }
    }

    fn dir(&self) -> Result<&Path, StateError> {
        self.dir.as_deref().ok_or(StateError::NoPlace)
    }

    fn last(&self) -> MutexGuard<'_, Orders> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn path(dir: &Path) -> PathBuf {
        dir.join("stonefold-orders.json")
    }

    /// The orders as they are kept now; none where nothing was ever kept.
    pub fn load(&self) -> Result<Orders, StateError> {
        let Some(dir) = &self.dir else { return Ok(Orders::new()) };
        let path = Self::path(dir);
        let text = match fs::read(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Orders::new()),
            Err(error) => return Err(StateError::Io(path, error)),
        };
        match serde_json::from_slice::<Written>(&text) {
            Ok(kept) if kept.version == VERSION => {
                self.last().clone_from(&kept.servers);
                Ok(kept.servers)
            }
            Ok(kept) => Err(StateError::Version(path, kept.version)),
            Err(error) => Err(StateError::Damaged(path, error)),
        }
    }

    /// Changes the orders, durably; tells them as they are then. What is kept and can't be read is set aside,
    /// and the orders as they were last seen here take its place.
    pub fn change(&self, change: impl FnOnce(&mut Orders)) -> Result<Orders, StateError> {
        let dir = self.dir()?;
        let path = Self::path(dir);
        let failed = |error| StateError::Io(path.clone(), error);
        // Guards against: two processes that change it at the same time, of which one order would be lost.
        let lock = OpenOptions::new().create(true).append(true).open(path.with_extension("lock"));
        let lock = lock.map_err(failed)?;
        lock.lock().map_err(failed)?;
        let mut orders = match self.load() {
            Err(error) if error.is_lasting() => {
                fs::rename(&path, path.with_extension("damaged")).map_err(failed)?;
                self.last().clone()
            }
            read => read?,
        };
        change(&mut orders);
        let now = now_ms();
        orders.retain(|_, order| order.out || now.saturating_sub(order.since_ms) < REMEMBERED);
        let kept = Written { version: VERSION, servers: orders };
        let new = path.with_extension("new");
        let text = serde_json::to_vec(&kept).map_err(|e| failed(e.into()))?;
        // Written anew at each try: after a failed sync the kernel may hold for clean what it has not written.
        let mut file = File::create(&new).map_err(failed)?;
        file.write_all(&text).and_then(|()| file.sync_all()).map_err(failed)?;
        fs::rename(&new, &path).map_err(failed)?;
        // Guards against: a power cut after which the folder still names the file before.
        File::open(dir).and_then(|dir| dir.sync_all()).map_err(failed)?;
        self.last().clone_from(&kept.servers);
        Ok(kept.servers)
    }

    /// Whether the orders may have changed since this was last asked.
    pub fn changed(&self) -> bool {
        use std::os::unix::fs::MetadataExt;
        let meta = self.dir.as_deref().and_then(|dir| fs::metadata(Self::path(dir)).ok());
        let stamp = meta.and_then(|m| Some(Stamp(m.modified().ok()?, m.ino(), m.len())));
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = stamp != *seen;
        *seen = stamp;
        changed
    }
}

/// Unix time in ms.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

#[cfg(test)]
mod tests;
