//! Commands on documents and their revisions.

use std::env;
use std::io::{self, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::json;
use stonefold_store::client::Client;
use stonefold_store::state::{Change, Revision};

use super::{apply, client, print_revision, read_text};
use crate::args::{Format, StoreClientArgs};
use crate::failure::Failure;

/// Prints a document's latest revision.
pub(super) async fn print_latest(name: &str, store: &StoreClientArgs) -> Result<(), Failure> {
    let revisions = client(store)?.document(name, false).await.map_err(Failure::failed)?;
    let latest = revisions.last().ok_or_else(|| Failure::failed(format!("no document {name:?}")))?;
    match store.format {
        Format::Text => io::stdout().write_all(latest.text.as_bytes())?,
        Format::Json => writeln!(io::stdout(), "{}", json!(latest))?,
    }
    Ok(())
}

/// Writes a document from a file, over revision `after` only if that is given.
pub(super) async fn set(
    name: &str,
    file: &Path,
    after: Option<u64>,
    store: &StoreClientArgs,
) -> Result<(), Failure> {
    let mut client = client(store)?;
    let revision = write(&mut client, name, read_text(file)?, after).await?;
    print_revision(store, revision)
}

/// Writes a document and returns its new revision.
pub(super) async fn write(
    client: &mut Client,
    name: &str,
    text: String,
    after: Option<u64>,
) -> Result<u64, Failure> {
    let author = env::var("USER").unwrap_or_else(|_| "unknown".into());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let at_ms = since_epoch.as_millis() as u64;
    apply(client, Change::Document { name: name.into(), text, author, at_ms, after }).await
}

/// Prints the stored revisions of a document, the oldest first.
pub(super) async fn print_history(name: &str, store: &StoreClientArgs) -> Result<(), Failure> {
    let revisions = client(store)?.document(name, true).await.map_err(Failure::failed)?;
    let mut out = io::stdout().lock();
    for Revision { revision, text, author, at_ms } in revisions {
        match store.format {
            Format::Text => writeln!(out, "{revision}  {at_ms} ms  {author}  {} bytes", text.len())?,
            Format::Json => {
                let line = json!({"revision": revision, "at_ms": at_ms, "author": author, "text": text});
                writeln!(out, "{line}")?;
            }
        }
    }
    Ok(())
}

/// Writes an earlier revision's text as a new revision.
pub(super) async fn roll_back(name: &str, revision: u64, store: &StoreClientArgs) -> Result<(), Failure> {
    let mut client = client(store)?;
    let revisions = client.document(name, true).await.map_err(Failure::failed)?;
    let latest = revisions.last().map(|latest| latest.revision);
    let Some(earlier) = revisions.into_iter().find(|earlier| earlier.revision == revision) else {
        return Err(Failure::failed(format!("{name:?} has no revision {revision}: see `store history`")));
    };
    // Fails if the document has been changed since it was read.
    let written = write(&mut client, name, earlier.text, latest).await?;
    print_revision(store, written)
}
