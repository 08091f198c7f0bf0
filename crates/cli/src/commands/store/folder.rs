//! Commands on a member's folder and on key files. They need no running member.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::Path;

use stonefold_store::disk::{Disk, Identity};
use stonefold_store::replica::bootstrap;
use stonefold_store::wire::Keys;

use super::block_on;
use crate::failure::Failure;

/// Creates a member's folder, and the key file if it is absent; prints the cluster's id. Without `cluster_to_join`
/// the member is the first of a new cluster.
pub(super) fn init(
    dir: &Path,
    member: u64,
    listen: SocketAddr,
    key_file: &Path,
    cluster_to_join: Option<&str>,
) -> Result<(), Failure> {
    if !listen.ip().is_loopback() {
        let reason = format!("{listen} is no loopback address: the store listens on loopback addresses only");
        return Err(Failure::unusable(reason));
    }
    let cluster = match cluster_to_join {
        Some(cluster) => u128::from_str_radix(cluster, 16).map_err(|_| {
            Failure::unusable(format!("{cluster:?} is not a cluster id: expected 32 hex digits"))
        })?,
        None => fastrand::u128(1..),
    };
    if !key_file.exists() {
        Keys::generate(key_file).map_err(Failure::failed)?;
    }
    Keys::read(key_file).map_err(Failure::unusable)?;
    let disk = Disk::create(dir, Identity { cluster, member }).map_err(Failure::failed)?;
    if cluster_to_join.is_none() {
        block_on(async { bootstrap(disk, listen.to_string()).await.map_err(Failure::failed) })?;
    }
    Ok(writeln!(io::stdout(), "{cluster:032x}")?)
}

/// Reads the whole store in a folder, and prints a summary.
pub(super) fn verify(dir: &Path) -> Result<(), Failure> {
    let summary = Disk::open(dir).and_then(|disk| disk.verify()).map_err(Failure::failed)?;
    Ok(writeln!(io::stdout(), "{summary}")?)
}

/// Derives the subscribers' keys from the members', and writes them to a file.
pub(super) fn write_subscriber_keys(key_file: &Path, out: &Path) -> Result<(), Failure> {
    let keys = Keys::read(key_file).map_err(Failure::unusable)?;
    keys.write_subscriber_keys(out).map_err(Failure::failed)
}
