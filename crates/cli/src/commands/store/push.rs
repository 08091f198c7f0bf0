//! `stonefold config push`: commits a configuration for all nodes.

use std::path::Path;
use std::time::Duration;

use stonefold_config::{Config, Layers, SharedDocument, load};
use tokio::time::{Instant, sleep};

use super::{client, documents, members, print_revision, read_text};
use crate::args::StoreClientArgs;
use crate::failure::Failure;
use crate::shared_state::CONFIG_DOCUMENT;

/// How often the members' status is requested while a push waits for them.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Placeholders for the values that every node states by itself: with them, the shared document can be validated alone.
const REQUIRED_VALUES: [&str; 2] = ["node.listen=127.0.0.1:1", "node.discovery=127.0.0.1:1"];

/// Validates a file, commits it, and waits until every member's node uses it.
pub(super) async fn push(file: &Path, wait: Duration, store: &StoreClientArgs) -> Result<(), Failure> {
    let text = read_text(file)?;
    validate(file, &text)?;
    let mut client = client(store)?;
    // The write succeeds only over the revision that was read: of two concurrent pushes the second fails.
    let latest = client.document(CONFIG_DOCUMENT, false).await.map_err(Failure::failed)?;
    let after = latest.last().map_or(0, |latest| latest.revision);
    let revision = documents::write(&mut client, CONFIG_DOCUMENT, text, Some(after)).await?;
    print_revision(store, revision)?;
    wait_until_applied(revision, wait, store).await
}

fn validate(file: &Path, text: &str) -> Result<(), Failure> {
    let shared = Some(SharedDocument { name: file.display().to_string(), text: text.to_owned() });
    let flags = REQUIRED_VALUES.map(String::from).to_vec();
    load::<Config>(&Layers { shared, flags, ..Layers::default() }).map_err(Failure::unusable)?;
    Ok(())
}

async fn wait_until_applied(revision: u64, wait: Duration, store: &StoreClientArgs) -> Result<(), Failure> {
    let deadline = Instant::now() + wait;
    loop {
        let reports = members::reports(store).await?;
        let behind: Vec<String> = reports.iter().filter_map(|report| report.behind(revision)).collect();
        if behind.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(Failure::failed(format!("committed, but not in force at {}", behind.join("; "))));
        }
        sleep(STATUS_POLL_INTERVAL).await;
    }
}
