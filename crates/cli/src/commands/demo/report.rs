//! The output of the demo.

use std::io::{self, IsTerminal, Write};
use std::time::Duration;

use serde_json::json;
use stonefold_emulator::{Emulator, Load, LoadSummary};
use stonefold_model::Verdict;

use super::node_process::NodeProcess;
use crate::args::Format;
use crate::commands::emulate::ANY_PORT;
use crate::failure::Failure;

/// The number of rows after which the table's header is repeated on a terminal.
const ROWS_PER_HEADER: u64 = 20;
/// The shortest duration that a rate is computed over, in seconds.
const MIN_RATE_SECONDS: f64 = 1e-3;

/// Prints a row of the table: the figures of the load's latest second, and the origin's fetches since the last row.
pub(super) fn print_row(
    emulator: &Emulator,
    load: &Load,
    row: u64,
    elapsed: Duration,
    fetches: u64,
) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    if row == 0 || row.is_multiple_of(ROWS_PER_HEADER) && out.is_terminal() {
        writeln!(
            out,
            "{:>6} {:>8} {:>8} {:>7} {:>6} {:>9} {:>9} {:>9} {:>7}",
            "time", "served", "refused", "failed", "hits", "p50", "p99", "origin/s", "broken"
        )?;
    }
    let latest = load.figures().1.summary();
    let (hits, misses) = emulator.hits_and_misses();
    let hit_percentage = 100.0 * hits as f64 / (hits + misses).max(1) as f64;
    writeln!(
        out,
        "{:>5}s {:>8} {:>8} {:>7} {:>5.1}% {:>7.1}ms {:>7.1}ms {:>9} {:>7}",
        elapsed.as_secs(),
        latest.served,
        latest.rejected,
        latest.failed,
        hit_percentage,
        latest.p50_ms,
        latest.p99_ms,
        fetches,
        emulator.verdict().rules_broken()
    )?;
    Ok(out.flush()?)
}

/// Prints the summary of the whole load.
pub(super) fn print_summary(
    emulator: &Emulator,
    load: &Load,
    duration: Duration,
    format: Format,
    verdict: Verdict,
) -> Result<(), Failure> {
    let summary = load.figures().0.summary();
    let fetch_rate = emulator.origin_fetches() as f64 / duration.as_secs_f64().max(MIN_RATE_SECONDS);
    let mut out = io::stdout().lock();
    match format {
        Format::Json => writeln!(out, "{}", summary_as_json(&summary, fetch_rate, verdict))?,
        Format::Text => writeln!(
            out,
            "{} requests: {} served, {} refused, {} failed; p50 {:.1} ms, p99 {:.1} ms; {fetch_rate:.1} fetches per second; \
            rules were broken {} times",
            summary.requests,
            summary.served,
            summary.rejected,
            summary.failed,
            summary.p50_ms,
            summary.p99_ms,
            verdict.rules_broken()
        )?,
    }
    if summary.not_sent > 0 {
        writeln!(
            out,
            "{} requests were not sent, because too many were in flight: the load generator was the bottleneck",
            summary.not_sent
        )?;
    }
    Ok(out.flush()?)
}

fn summary_as_json(summary: &LoadSummary, fetch_rate: f64, verdict: Verdict) -> serde_json::Value {
    json!({
        "requests": summary.requests,
        "served": summary.served,
        "refused": summary.rejected,
        "failed": summary.failed,
        "p50_ms": summary.p50_ms,
        "p99_ms": summary.p99_ms,
        "origin_rps": fetch_rate,
        "not_sent": summary.not_sent,
        "rules_broken": verdict.rules_broken(),
    })
}

/// Prints where the nodes listen, and commands to try.
pub(super) fn print_addresses(emulator: &Emulator, nodes: &[NodeProcess]) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    for (number, node) in nodes.iter().enumerate() {
        let (clients, operators) = (node.addresses.clients, node.addresses.operators);
        writeln!(out, "node {number}: clients at {clients}, operators at {operators}")?;
    }
    let first = nodes.first().map_or(ANY_PORT, |node| node.addresses.clients);
    let (ip, port) = (first.ip(), first.port());
    writeln!(
        out,
        "try: redis-cli -h {ip} -p {port} CACHE.GET record:1 0123456789abcdef c=record-lookup,d=1000"
    )?;
    writeln!(out, "     stonefold get record:1 --node {ip}:{port} --class record-lookup")?;
    writeln!(out, "     curl http://{}/verdict", emulator.control())?;
    writeln!(out, "Ctrl-C stops the site and the nodes.")?;
    Ok(out.flush()?)
}
