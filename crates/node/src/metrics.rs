//! The node's metrics: plain counters, each incremented at the one place where its event happens. Operators read them
//! without going through the driver.

mod histogram;
mod membership;
pub(crate) mod prometheus;
mod summary;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use stonefold_observe::DroppedLines;

use crate::counter::Counter;
use crate::invariants::Violations;
use histogram::DurationHistogram;
pub(crate) use membership::MembershipMetrics;
use prometheus::{write_labelled, write_type, write_value};
use summary::DurationSummary;

/// Counts how the requests of one class ended.
#[derive(Default, Debug)]
pub(crate) struct OutcomeCounters {
    /// Answered with success.
    pub(crate) succeeded: Counter,
    /// Rejected for lack of capacity.
    pub(crate) rejected: Counter,
    /// Failed.
    pub(crate) failed: Counter,
}

/// Counts the clients' connections that ended with unanswered requests, by the side that ended them.
#[derive(Default, Debug)]
pub(crate) struct UnansweredCloses {
    /// Ended by the client, with a close or a reset.
    pub(crate) by_client: Counter,
    /// Ended by the node, after a failed or stuck write or another error.
    pub(crate) by_node: Counter,
}

/// All metrics of this process.
#[derive(Default)]
pub(crate) struct Metrics {
    classes: Mutex<BTreeMap<String, Arc<OutcomeCounters>>>,
    /// Attempts written completely to servers.
    pub(crate) attempts_written: Counter,
    /// By how much the time left that an attempt stated to its server exceeded the time left of its client, when the
    /// last byte of the attempt was written.
    pub(crate) deadline_excess: DurationHistogram,
    /// Idle connections to caches on which unsolicited bytes have arrived.
    pub(crate) unsolicited_replies: Counter,
    /// Commands that were read and dropped, because there was no memory for them in time.
    pub(crate) discarded_commands: Counter,
    /// Replies that may be a second copy of the one before on their connection, and were not passed on.
    pub(crate) repeated_replies: Counter,
    /// Waits of client connections for a turn, after many commands that no server answered.
    pub(crate) turn_waits: Counter,
    /// Writes that failed because their id had come before.
    pub(crate) repeated_writes: Counter,
    /// Values that are short enough to be buffered and were relayed for want of memory.
    pub(crate) unbuffered_values: Counter,
    /// Connections to servers that were opened.
    pub(crate) opened_connections: Counter,
    /// Values that were held back for the replies behind them and were not complete in time. Their requests failed.
    pub(crate) incomplete_held_values: Counter,
    /// Connections reused so soon that an unsolicited reply could still arrive on them.
    pub(crate) early_reuses: Counter,
    in_flight: Counter,
    /// Caches in the endpoint list.
    pub(crate) listed_servers: Counter,
    /// Listed caches that currently get no requests.
    pub(crate) unavailable_servers: Counter,
    /// The time from when the disconnect of a client with an open request was noticed until it was handled.
    disconnect_delays: DurationSummary,
    /// Attempts that began after such a disconnect was noticed.
    attempts_after_disconnect: Counter,
    /// How late due timers of the event loop fire.
    pub(crate) loop_lag: DurationSummary,
    /// Stalls of the event loop.
    pub(crate) stalls: DurationSummary,
    /// Requests that were read after a stall. Their time counts from the start of the stall.
    pub(crate) read_after_stall: Counter,
    /// Clients' connections that ended with unanswered requests.
    pub(crate) unanswered_closes: UnansweredCloses,
    /// Invariants that were violated.
    pub(crate) violations: Violations,
    /// Polls of discovery that failed.
    pub(crate) failed_polls: Counter,
    /// Reloads that took effect.
    pub(crate) reloads: Counter,
    /// Reloads that left the configuration as it was.
    pub(crate) rejected_reloads: Counter,
    log: DroppedLines,
    /// The time from the start of the process until it served requests.
    time_to_ready: OnceLock<Duration>,
    membership: OnceLock<Arc<MembershipMetrics>>,
}

impl Metrics {
    /// Creates the metrics. They include the number of log lines that were dropped, which `log` counts.
    pub(crate) fn new(log: DroppedLines) -> Metrics {
        Metrics { log, ..Metrics::default() }
    }

    /// Records that requests are served, and how long after the start of the process. Only the first call counts.
    pub(crate) fn set_ready(&self, time_to_ready: Duration) {
        let _ = self.time_to_ready.set(time_to_ready);
    }

    /// Shows the metrics of the membership from now on. Only the first call counts.
    pub(crate) fn show_membership(&self, metrics: Arc<MembershipMetrics>) {
        let _ = self.membership.set(metrics);
    }

    fn classes(&self) -> MutexGuard<'_, BTreeMap<String, Arc<OutcomeCounters>>> {
        self.classes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counters of a class, which are shown from now on.
    pub(crate) fn class(&self, name: &str) -> Arc<OutcomeCounters> {
        let mut classes = self.classes();
        match classes.get(name) {
            Some(outcomes) => outcomes.clone(),
            None => classes.entry(name.to_owned()).or_default().clone(),
        }
    }

    /// Records the disconnect of a client with an open request: the time from when it was noticed until it is handled,
    /// and how many of the request's attempts began in that time.
    pub(crate) fn record_disconnect(&self, delay: Duration, attempts: usize) {
        self.disconnect_delays.record(delay);
        self.attempts_after_disconnect.add(attempts as u64);
    }

    /// Returns all metrics in the text format of Prometheus.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        self.write_outcomes(&mut text);
        self.write_values(&mut text);
        self.deadline_excess.write(&mut text, "svc_deadline_excess_seconds");
        self.disconnect_delays.write(&mut text, "svc_leave_seen_seconds");
        self.loop_lag.write(&mut text, "svc_loop_lag_seconds");
        self.stalls.write(&mut text, "svc_stall_seconds");
        let violations = self.violations.counts();
        write_labelled(&mut text, "svc_invariant_violations_total", "counter", "invariant", violations);
        if let Some(time_to_ready) = self.time_to_ready.get() {
            write_type(&mut text, "svc_ready_seconds", "gauge");
            let _ = writeln!(text, "svc_ready_seconds {:.3}", time_to_ready.as_secs_f64());
        }
        if let Some(membership) = self.membership.get() {
            membership.write(&mut text);
        }
        text
    }

    fn write_outcomes(&self, text: &mut String) {
        type Select = fn(&OutcomeCounters) -> &Counter;
        let metrics: [(&str, Select); 3] = [
            ("svc_success_total", |outcomes| &outcomes.succeeded),
            ("svc_busy_total", |outcomes| &outcomes.rejected),
            ("svc_failure_total", |outcomes| &outcomes.failed),
        ];
        let classes = self.classes();
        for (name, select) in metrics {
            let rows = classes.iter().map(|(class, outcomes)| (class.as_str(), select(outcomes)));
            write_labelled(text, name, "counter", "tier", rows);
        }
    }

    fn write_values(&self, text: &mut String) {
        for (name, kind, value) in [
            ("svc_backend_calls_total", "counter", self.attempts_written.get()),
            ("svc_attempts_after_leave_total", "counter", self.attempts_after_disconnect.get()),
            ("svc_read_after_stall_total", "counter", self.read_after_stall.get()),
            ("svc_closed_owing_by_client_total", "counter", self.unanswered_closes.by_client.get()),
            ("svc_closed_owing_by_node_total", "counter", self.unanswered_closes.by_node.get()),
            ("svc_unasked_total", "counter", self.unsolicited_replies.get()),
            ("svc_reused_soon_total", "counter", self.early_reuses.get()),
            ("svc_commands_discarded_total", "counter", self.discarded_commands.get()),
            ("svc_held_values_failed_total", "counter", self.incomplete_held_values.get()),
            ("svc_repeated_replies_total", "counter", self.repeated_replies.get()),
            ("svc_turn_waits_total", "counter", self.turn_waits.get()),
            ("svc_repeated_writes_total", "counter", self.repeated_writes.get()),
            ("svc_connections_opened_total", "counter", self.opened_connections.get()),
            ("svc_values_unbuffered_total", "counter", self.unbuffered_values.get()),
            ("svc_inflight", "gauge", self.in_flight.get()),
            ("svc_hosts_listed", "gauge", self.listed_servers.get()),
            ("svc_hosts_down", "gauge", self.unavailable_servers.get()),
            ("svc_list_failures_total", "counter", self.failed_polls.get()),
            ("svc_reconfig_ok_total", "counter", self.reloads.get()),
            ("svc_reconfig_failed_total", "counter", self.rejected_reloads.get()),
            ("svc_log_dropped_total", "counter", self.log.lines()),
        ] {
            write_value(text, name, kind, value);
        }
    }
}

/// A request in flight, counted until this is dropped.
pub(crate) struct InFlightGuard(Arc<Metrics>);

impl InFlightGuard {
    /// Counts a request.
    pub(crate) fn new(metrics: &Arc<Metrics>) -> InFlightGuard {
        metrics.in_flight.increment();
        InFlightGuard(metrics.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.decrement();
    }
}

#[cfg(test)]
mod tests;
