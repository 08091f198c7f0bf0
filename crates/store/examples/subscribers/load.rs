//! The load, and how long its changes take to arrive.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use stonefold_store::replica::Replica;
use stonefold_store::state::{Change, Proposal};
use stonefold_store::wire::TcpTransport;
use tokio::time::{Instant, sleep_until};

use crate::support::Failure;

/// How often a key is purged.
const PURGE_INTERVAL: Duration = Duration::from_millis(83);
/// How often a document or the list changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// When what was made: by purged key, and by document text or list version.
pub(crate) type Made = Arc<Mutex<HashMap<String, Instant>>>;
pub(crate) type Took = Arc<Mutex<Histogram<u64>>>;

pub(crate) fn histogram() -> Result<Took, Failure> {
    Ok(Arc::new(Mutex::new(Histogram::new(3)?)))
}

pub(crate) fn record(made: &Made, took: &Took, what: &str) {
    let at = made.lock().ok().and_then(|made| made.get(what).copied());
    if let (Some(at), Ok(mut took)) = (at, took.lock()) {
        let _ = took.record(at.elapsed().as_micros() as u64);
    }
}

#[derive(Clone)]
pub(crate) struct Watched {
    pub(crate) made: Made,
    pub(crate) purges: Took,
    pub(crate) changes: Took,
}

pub(crate) fn list(version: u64) -> String {
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

/// A list change, and the name under which its time is noted.
pub(crate) fn list_change(version: u64) -> (String, Change) {
    let change = Change::List { version, text: list(version), learned_by: 1, started: vec![] };
    (format!("list {version}"), change)
}

pub(crate) fn document_change(number: u64) -> Change {
    let text = format!("{number}:{}", "x".repeat(2_000));
    Change::Document { name: "config".into(), text, author: "me".into(), at_ms: 0, after: None }
}

/// Changes and purges for so long; each is noted before it is proposed.
pub(crate) async fn load(
    replica: Replica<TcpTransport>,
    made: Made,
    lasts: Duration,
    from: u64,
) -> Result<u64, Failure> {
    let (until, mut next, mut n) = (Instant::now() + lasts, Instant::now(), from);
    let (mut change_at, mut turn) = (Instant::now(), 0);
    while Instant::now() < until {
        n += 1;
        let key = format!("{n:08}-a-key-of-32-bytes-in-all-");
        let mut changes = vec![(key.clone(), Change::Purge { key })];
        if Instant::now() >= change_at {
            change_at += CHANGE_INTERVAL;
            turn += 1;
            changes.push(if turn % 2 == 0 { list_change(n) } else { (String::new(), document_change(n)) });
        }
        for (what, change) in changes {
            let begun = Instant::now();
            if !what.is_empty()
                && let Ok(mut made) = made.lock()
            {
                made.insert(what.clone(), begun);
            }
            let proposal = Proposal { client: fastrand::u64(..), sequence: 1, change };
            let reply = replica.propose(proposal, Instant::now() + Duration::from_secs(5)).await?;
            if let (true, stonefold_store::state::Reply::Applied(revision), Ok(mut made)) =
                (what.is_empty(), reply, made.lock())
            {
                made.insert(format!("revision {revision}"), begun);
            }
        }
        next += PURGE_INTERVAL;
        sleep_until(next).await;
    }
    Ok(n)
}

/// p50, p99 and p100 in ms, and how many there were.
pub(crate) fn quantiles(took: &Took) -> Result<String, Failure> {
    let took = took.lock().map_err(|_| "a histogram")?;
    let at = |quantile| took.value_at_quantile(quantile) as f64 / 1e3;
    Ok(format!("{:.0}, {:.0}, {:.0} ({})", at(0.5), at(0.99), at(1.0), took.len()))
}

/// What was made, as (purges, other changes), since this was last asked; all figures begin anew.
pub(crate) fn anew(watched: &Watched) -> Result<(usize, usize), Failure> {
    let mut made = watched.made.lock().map_err(|_| "what was made")?;
    let changes =
        made.keys().filter(|what| what.starts_with("list ") || what.starts_with("revision ")).count();
    let count = (made.len() - changes, changes);
    made.clear();
    for took in [&watched.purges, &watched.changes] {
        took.lock().map_err(|_| "a histogram")?.reset();
    }
    Ok(count)
}
