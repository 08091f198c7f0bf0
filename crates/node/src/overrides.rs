//! Administrative overrides: which servers operators have disabled, and where that is stored.

mod file;
mod store;

use std::collections::BTreeMap;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

pub(crate) use file::{OverrideError, OverrideFile};
pub(crate) use store::{OverrideStore, follow};

/// An operator's override for one server.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub struct Override {
    /// True if the server is disabled, false if it was enabled again.
    #[serde(rename = "out")]
    pub disabled: bool,
    /// When the override was made, in milliseconds of Unix time.
    pub since_ms: u64,
}

/// The overrides in force, by the servers' ids.
pub type Overrides = BTreeMap<String, Override>;

/// The current Unix time in milliseconds.
fn now_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
