//! Functions that the threads of a member and of a subscriber beside a node share.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use tokio::sync::watch;
use tracing::warn;

use crate::wire::{Keys, TcpTransport};

/// The interval at which a blocked caller polls whether the startup is complete.
pub(crate) const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The stack size of a service's thread, in bytes.
const STACK_BYTES: usize = 2 << 20;

/// Runs a service on a separate thread, so that no request of the node waits for the service's disk.
///
/// # Errors
/// If the thread can't be started.
pub(crate) fn spawn(run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name("store".into()).stack_size(STACK_BYTES).spawn(run)?;
    Ok(())
}

/// Blocks the calling thread until the startup is complete, or the service has ended.
pub(crate) fn block_until_ready(ready: &watch::Receiver<bool>) {
    while !*ready.borrow() && ready.has_changed().is_ok() {
        thread::sleep(READY_POLL_INTERVAL);
    }
}

/// Rereads the key file. If it can't be read, the previous keys stay in use.
pub(crate) fn reload_keys(tcp: &TcpTransport, key_file: &Path) {
    match Keys::read(key_file) {
        Ok(keys) => tcp.set_keys(keys),
        Err(error) => warn!(event = "store_keys_unreadable", %error, "the previous keys stay in use"),
    }
}
