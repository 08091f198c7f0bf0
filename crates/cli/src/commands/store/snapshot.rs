//! Commands that write and restore snapshots of the store.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::Path;

use stonefold_store::snapshot::open_snapshot;
use stonefold_store::state::Change;
use stonefold_store::wire::MAX_MESSAGE_BYTES;

use super::{apply, client};
use crate::args::StoreClientArgs;
use crate::failure::Failure;

/// Writes the state that the addressed member has applied to a new file. If the member lags, the latest changes are
/// missing.
pub(super) async fn export(file: &Path, store: &StoreClientArgs) -> Result<(), Failure> {
    let sealed = client(store)?.export_snapshot().await.map_err(Failure::failed)?;
    let failed = |error: io::Error| Failure::failed(format!("{}: {error}", file.display()));
    let mut out = OpenOptions::new().write(true).create_new(true).open(file).map_err(failed)?;
    out.write_all(&sealed).and_then(|()| out.sync_all()).map_err(failed)
}

/// Proposes a snapshot's state as the state of a new cluster.
pub(super) async fn restore(file: &Path, store: &StoreClientArgs) -> Result<(), Failure> {
    let unusable = |error: io::Error| Failure::unusable(format!("{}: {error}", file.display()));
    let mut sealed = Vec::new();
    let input = File::open(file).map_err(unusable)?;
    input.take(MAX_MESSAGE_BYTES as u64).read_to_end(&mut sealed).map_err(unusable)?;
    let snapshot = open_snapshot(&sealed).map_err(Failure::unusable)?;
    let change = Change::Restore { state: Box::new(snapshot.state) };
    apply(&mut client(store)?, change).await?;
    Ok(())
}
