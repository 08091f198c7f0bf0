//! The load on the store, and the latency with which its changes arrive.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use stonefold_store::replica::Replica;
use stonefold_store::state::{Change, Proposal};
use stonefold_store::wire::TcpTransport;
use tokio::time::{Instant, sleep_until};

use crate::support::ExampleError;

/// How often a key is purged.
const PURGE_INTERVAL: Duration = Duration::from_millis(83);
/// How often a document or the list changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// When each change was proposed. The keys are purged keys, `list VERSION` and `revision REVISION`.
pub(crate) type ProposalTimes = Arc<Mutex<HashMap<String, Instant>>>;
/// A histogram of latencies in microseconds.
pub(crate) type LatencyHistogram = Arc<Mutex<Histogram<u64>>>;

pub(crate) fn new_histogram() -> Result<LatencyHistogram, ExampleError> {
    Ok(Arc::new(Mutex::new(Histogram::new(3)?)))
}

/// Records the time since the change with this key was proposed. A change without a known time is ignored.
pub(crate) fn record_latency(proposed: &ProposalTimes, latencies: &LatencyHistogram, key: &str) {
    let proposed_at = proposed.lock().ok().and_then(|proposed| proposed.get(key).copied());
    if let (Some(proposed_at), Ok(mut latencies)) = (proposed_at, latencies.lock()) {
        let _ = latencies.record(proposed_at.elapsed().as_micros() as u64);
    }
}

/// The proposed changes, and the latencies with which they arrived at subscribers.
#[derive(Clone)]
pub(crate) struct DeliveryLatencies {
    pub(crate) proposed: ProposalTimes,
    pub(crate) purges: LatencyHistogram,
    /// The latencies of changes of documents and of the list.
    pub(crate) changes: LatencyHistogram,
}

/// The text of an endpoint list of 340 servers, one of which has another weight in each version.
pub(crate) fn list_text(version: u64) -> String {
    let server = |n: u64| {
        let weight = if n == version % 340 { version } else { 1 };
        format!(
            r#"{{"id":"s-{n:08x}","addr":"127.0.0.1:{}","zone":"north","kind":"fast","cell":{},"state":"SERVING","weight":{weight},"started_ms":1790000000000}}"#,
            n + 1_000,
            n % 16
        )
    };
    let servers: Vec<String> = (0..340).map(server).collect();
    format!(r#"{{"full":true,"servers":[{}],"version":{version}}}"#, servers.join(","))
}

/// A list change, and the key under which its proposal time is recorded.
pub(crate) fn list_change(version: u64) -> (String, Change) {
    let change = Change::List { version, text: list_text(version), learned_by: 1, started: vec![] };
    (format!("list {version}"), change)
}

pub(crate) fn document_change(number: u64) -> Change {
    let text = format!("{number}:{}", "x".repeat(2_000));
    Change::Document { name: "config".into(), text, author: "me".into(), at_ms: 0, after: None }
}

/// Proposes purges and changes for this duration, numbered from the one after `last_number`. Returns the last number.
/// The proposal time of a purge or list is recorded before it is proposed; that of a document once its revision is
/// known.
pub(crate) async fn run_load(
    replica: Replica<TcpTransport>,
    proposed: ProposalTimes,
    duration: Duration,
    last_number: u64,
) -> Result<u64, ExampleError> {
    let (end, mut next_purge, mut n) = (Instant::now() + duration, Instant::now(), last_number);
    let (mut next_change, mut change_count) = (Instant::now(), 0);
    while Instant::now() < end {
        n += 1;
        let key = format!("{n:08}-a-key-of-32-bytes-in-all-");
        let mut changes = vec![(key.clone(), Change::Purge { key })];
        if Instant::now() >= next_change {
            next_change += CHANGE_INTERVAL;
            change_count += 1;
            changes.push(if change_count % 2 == 0 {
                list_change(n)
            } else {
                (String::new(), document_change(n))
            });
        }
        for (key, change) in changes {
            let proposed_at = Instant::now();
            if !key.is_empty()
                && let Ok(mut proposed) = proposed.lock()
            {
                proposed.insert(key.clone(), proposed_at);
            }
            let proposal = Proposal { client: fastrand::u64(..), sequence: 1, change };
            let reply = replica.propose(proposal, Instant::now() + Duration::from_secs(5)).await?;
            if let (true, stonefold_store::state::Reply::Applied(revision), Ok(mut proposed)) =
                (key.is_empty(), reply, proposed.lock())
            {
                proposed.insert(format!("revision {revision}"), proposed_at);
            }
        }
        next_purge += PURGE_INTERVAL;
        sleep_until(next_purge).await;
    }
    Ok(n)
}

/// The p50, p99 and p100 latencies in ms, and their number.
pub(crate) fn format_quantiles(latencies: &LatencyHistogram) -> Result<String, ExampleError> {
    let latencies = latencies.lock().map_err(|_| "a histogram's lock is poisoned")?;
    let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    Ok(format!("{:.0}, {:.0}, {:.0} ({})", ms(0.5), ms(0.99), ms(1.0), latencies.len()))
}

/// Resets all latencies. Returns how many purges and how many other changes were proposed since the last reset.
pub(crate) fn reset_latencies(latencies: &DeliveryLatencies) -> Result<(usize, usize), ExampleError> {
    let mut proposed = latencies.proposed.lock().map_err(|_| "the lock of the proposal times is poisoned")?;
    let changes =
        proposed.keys().filter(|key| key.starts_with("list ") || key.starts_with("revision ")).count();
    let counts = (proposed.len() - changes, changes);
    proposed.clear();
    for histogram in [&latencies.purges, &latencies.changes] {
        histogram.lock().map_err(|_| "a histogram's lock is poisoned")?.reset();
    }
    Ok(counts)
}
