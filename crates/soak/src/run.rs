//! Runs the schedule of a seed under load and collects the findings.

use std::sync::Arc;

use crate::fleet::Fleet;
use crate::schedule::{has_idle_clients, schedule};
use crate::{Report, SoakError, SoakOptions};

/// The part of the load's duration in which faults begin; the rest is left for recovery.
const FAULT_WINDOW: f64 = 0.75;

/// Runs one seed.
///
/// # Errors
/// If the site or a node can't be set up or started; broken rules are in the report instead.
pub async fn run(options: SoakOptions) -> Result<Report, SoakError> {
    let seed = options.seed;
    let duration = options.duration;
    let events = schedule(seed, options.nodes as usize, duration.mul_f64(FAULT_WINDOW));
    let rate = options.rate;
    let fleet = Arc::new(Fleet::start(options).await?);
    let event_count = events.len();
    let load = tokio::spawn(fleet.load.clone().run(rate, duration));
    fleet.clone().inject(events).await;
    let _ = load.await; // a panic of the load shows in the summary as unanswered requests
    fleet.shutdown().await;
    Ok(Report {
        seed,
        events: event_count,
        idle_clients: has_idle_clients(seed),
        summary: fleet.load.figures().0.summary(),
        verdict: fleet.emulator.verdict(),
        late_sends: fleet.emulator.late_sends(),
        violations: fleet.take_violations().await,
        processes: fleet.take_process_faults().await,
    })
}
