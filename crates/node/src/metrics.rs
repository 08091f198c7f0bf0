//! The node's figures: plain counters, each incremented at the one place where the thing happens, and read
//! by operators without going through the driver.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use stonefold_observe::Dropped;

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
    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// How the requests of one class ended.
#[derive(Default, Debug)]
pub struct Outcomes {
    pub served: Figure,
    pub refused: Figure,
    pub failed: Figure,
}

/// All figures of this process.
#[derive(Default)]
pub struct Metrics {
    classes: Mutex<BTreeMap<String, Arc<Outcomes>>>,
    /// Attempts written whole to servers.
    pub calls: Figure,
    in_flight: Figure,
    pub listed: Figure,
    pub avoided: Figure,
    pub reloads: Figure,
    pub reloads_refused: Figure,
    log: Dropped,
}

impl Metrics {
    /// Figures that show how many log lines were dropped.
    pub fn new(log: Dropped) -> Metrics {
        Metrics { log, ..Metrics::default() }
    }

    /// The counts of a class, which are shown from now on.
    pub fn class(&self, name: &str) -> Arc<Outcomes> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        match classes.get(name) {
            Some(outcomes) => outcomes.clone(),
            None => classes.entry(name.to_owned()).or_default().clone(),
        }
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
            ("svc_inflight", "gauge", self.in_flight.get()),
            ("svc_hosts_listed", "gauge", self.listed.get()),
            ("svc_hosts_down", "gauge", self.avoided.get()),
            ("svc_reconfig_ok_total", "counter", self.reloads.get()),
            ("svc_reconfig_failed_total", "counter", self.reloads_refused.get()),
            ("svc_log_dropped_total", "counter", self.log.lines()),
        ] {
            head(&mut text, name, kind);
            let _ = writeln!(text, "{name} {value}");
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
mod tests {
    use super::*;

    #[test]
    fn a_class_is_shown_from_nought_and_keeps_its_counts() {
        let metrics = Metrics::default();
        metrics.class("read").served.add_one();
        metrics.class("put");
        metrics.class("read").served.add_one();
        let text = metrics.text();
        for line in [
            "svc_success_total{tier=\"read\"} 2",
            "svc_success_total{tier=\"put\"} 0",
            "svc_busy_total{tier=\"read\"} 0",
            "svc_failure_total{tier=\"put\"} 0",
            "svc_backend_calls_total 0",
            "svc_inflight 0",
            "svc_hosts_listed 0",
            "svc_hosts_down 0",
            "svc_reconfig_ok_total 0",
            "svc_reconfig_failed_total 0",
        ] {
            assert!(text.lines().any(|l| l == line), "{line} in {text}");
        }
    }

    #[test]
    fn labels_are_escaped() {
        let metrics = Metrics::default();
        metrics.class("a\"b\\c\nd");
        assert!(metrics.text().contains(r#"svc_busy_total{tier="a\"b\\c\nd"} 0"#), "{}", metrics.text());
    }

    #[test]
    fn a_request_is_in_flight_while_its_guard_lives() {
        let metrics = Arc::new(Metrics::default());
        let guards = [(); 3].map(|()| InFlight::new(&metrics));
        assert!(metrics.text().contains("svc_inflight 3\n"));
        drop(guards);
        assert!(metrics.text().contains("svc_inflight 0\n"));
    }
}
