//! The node's figures: plain counters, each incremented at the one place where the thing happens, and read
//! by operators without going through the driver.

mod buckets;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use buckets::Buckets;
use hdrhistogram::Histogram;
use stonefold_observe::Dropped;

use crate::invariants::Violations;
use crate::membership::MembershipFigures;

/// The longest time that is told apart, and how many digits of each count.
const LONGEST: Duration = Duration::from_secs(60);
const DIGITS: u8 = 2;

/// A number that only grows, or one that is set.
#[derive(Default, Debug)]
pub struct Figure(AtomicU64);

impl Figure {
    pub fn add_one(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
    pub fn set(&self, value: usize) {
        self.0.store(value as u64, Ordering::Relaxed);
    }
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Times, of which a quantile is shown. It takes some 20 KB, whatever it has seen.
#[derive(Debug)]
pub struct Times(Mutex<Histogram<u64>>);

impl Default for Times {
    fn default() -> Times {
        let microseconds = Histogram::new_with_max(LONGEST.as_micros() as u64, DIGITS);
        Times(Mutex::new(microseconds.expect("the bounds are in order")))
    }
}

impl Times {
    pub fn record(&self, time: Duration) {
        let microseconds = time.as_micros().min(LONGEST.as_micros()) as u64;
        self.0.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(microseconds);
    }

    /// A summary in the form of Prometheus, in seconds.
    fn text(&self, text: &mut String, name: &str) {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let quantile = times.value_at_quantile(0.99) as f64 / 1e6;
        head(text, name, "summary");
        let _ = writeln!(text, "{name}{{quantile=\"0.99\"}} {quantile}");
        let _ = writeln!(text, "{name}_count {}", times.len());
    }
}

/// How the requests of one class ended.
#[derive(Default, Debug)]
pub struct Outcomes {
    pub served: Figure,
    pub refused: Figure,
    pub failed: Figure,
}

/// Connections of clients that ended while answers were owed, by who ended them.
#[derive(Default, Debug)]
pub struct ClosedOwing {
    /// The client, by a close or a reset.
    pub by_client: Figure,
    /// The node, by a failed or stuck write or another error.
    pub by_node: Figure,
}

/// All figures of this process.
#[derive(Default)]
pub struct Metrics {
    classes: Mutex<BTreeMap<String, Arc<Outcomes>>>,
    /// Attempts written whole to servers.
    pub calls: Figure,
    /// By how much the time that an attempt stated exceeded its client's when its last byte was written.
    pub deadline_excess: Buckets,
    /// Idle connections to caches on which more has come than was asked for.
    pub unasked: Figure,
    /// Connections used again so soon that such a thing could yet have come.
    pub reused_soon: Figure,
    in_flight: Figure,
    pub listed: Figure,
    pub avoided: Figure,
    /// How long after they were seen the ends of clients with an open request were acted on.
    client_ends: Times,
    /// Attempts begun after such an end was seen.
    late_attempts: Figure,
    /// How long what is due waits for its turn.
    pub loop_lag: Times,
    /// How long the event loop did not look at its sockets, where that was long.
    pub stalls: Times,
    /// Requests read after a stall, whose time is counted from its start.
    pub read_after_stall: Figure,
    /// Connections of clients that ended with answers owed, by what ended them.
    pub closed_owing: ClosedOwing,
    /// Rules that were broken.
    pub violations: Violations,
    /// Calls for the list that failed.
    pub list_failures: Figure,
    pub reloads: Figure,
    pub reloads_refused: Figure,
    log: Dropped,
    /// From the start of the process until it served.
    ready: OnceLock<Duration>,
    /// Where the membership of nodes is on.
    membership: OnceLock<Arc<MembershipFigures>>,
}

impl Metrics {
    /// Figures that show how many log lines were dropped.
    pub fn new(log: Dropped) -> Metrics {
        Metrics { log, ..Metrics::default() }
    }

    /// The process serves from now on, so long after its start. Said again, it changes nothing.
    pub fn ready(&self, took: Duration) {
        let _ = self.ready.set(took);
    }

    /// The figures of the membership, which are shown from now on. Said again, it changes nothing.
    pub fn show_membership(&self, figures: Arc<MembershipFigures>) {
        let _ = self.membership.set(figures);
    }

    /// The counts of a class, which are shown from now on.
    pub fn class(&self, name: &str) -> Arc<Outcomes> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        match classes.get(name) {
            Some(outcomes) => outcomes.clone(),
            None => classes.entry(name.to_owned()).or_default().clone(),
        }
    }

    /// The end of a client with an open request: after what time it was acted on, and how many of the request's
    /// attempts have begun meanwhile.
    pub fn note_client_end(&self, late: Duration, attempts: usize) {
        self.client_ends.record(late);
        self.late_attempts.0.fetch_add(attempts as u64, Ordering::Relaxed);
    }

    /// The figures as text for Prometheus.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        for (n, name) in ["svc_success_total", "svc_busy_total", "svc_failure_total"].into_iter().enumerate()
        {
            head(&mut text, name, "counter");
            for (class, Outcomes { served, refused, failed }) in classes.iter().map(|(c, o)| (c, &**o)) {
                let value = [served, refused, failed][n].get();
                // Writing to a string can't fail, here and below.
                let _ = writeln!(text, "{name}{{tier=\"{}\"}} {value}", escaped(class));
            }
        }
        for (name, kind, value) in [
            ("svc_backend_calls_total", "counter", self.calls.get()),
            ("svc_attempts_after_leave_total", "counter", self.late_attempts.get()),
            ("svc_read_after_stall_total", "counter", self.read_after_stall.get()),
            ("svc_closed_owing_by_client_total", "counter", self.closed_owing.by_client.get()),
            ("svc_closed_owing_by_node_total", "counter", self.closed_owing.by_node.get()),
            ("svc_unasked_total", "counter", self.unasked.get()),
            ("svc_reused_soon_total", "counter", self.reused_soon.get()),
            ("svc_inflight", "gauge", self.in_flight.get()),
            ("svc_hosts_listed", "gauge", self.listed.get()),
            ("svc_hosts_down", "gauge", self.avoided.get()),
            ("svc_list_failures_total", "counter", self.list_failures.get()),
            ("svc_reconfig_ok_total", "counter", self.reloads.get()),
            ("svc_reconfig_failed_total", "counter", self.reloads_refused.get()),
            ("svc_log_dropped_total", "counter", self.log.lines()),
        ] {
            head(&mut text, name, kind);
            let _ = writeln!(text, "{name} {value}");
        }
        self.deadline_excess.text(&mut text, "svc_deadline_excess_seconds");
        self.client_ends.text(&mut text, "svc_leave_seen_seconds");
        self.loop_lag.text(&mut text, "svc_loop_lag_seconds");
        self.stalls.text(&mut text, "svc_stall_seconds");
        self.violations.text(&mut text);
        if let Some(took) = self.ready.get() {
            head(&mut text, "svc_ready_seconds", "gauge");
            let _ = writeln!(text, "svc_ready_seconds {:.3}", took.as_secs_f64());
        }
        if let Some(membership) = self.membership.get() {
            membership.text(&mut text);
        }
        text
    }
}

fn head(text: &mut String, name: &str, kind: &str) {
    let _ = writeln!(text, "# TYPE {name} {kind}");
}

/// A label's value in the form of Prometheus.
fn escaped(value: &str) -> String {
    value.replace('\\', r"\\").replace('"', "\\\"").replace('\n', r"\n")
}

/// A request that is taken and not yet ended: counted as long as this is held.
pub struct InFlight(Arc<Metrics>);

impl InFlight {
    pub fn new(metrics: &Arc<Metrics>) -> InFlight {
        metrics.in_flight.add_one();
        InFlight(metrics.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
