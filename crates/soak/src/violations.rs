//! Invariant violations that nodes count themselves and export as metrics.

use std::collections::BTreeMap;

/// Prefix of the exported counter, up to the value of its only label.
const COUNTER_PREFIX: &str = "svc_invariant_violations_total{invariant=\"";

/// Number of violations by the name of the invariant.
pub type ViolationCounts = BTreeMap<String, u64>;

/// Adds the violation counters found in a node's exported metrics to `counts`.
pub fn add_violations(metrics: &str, counts: &mut ViolationCounts) {
    for line in metrics.lines().filter_map(|line| line.strip_prefix(COUNTER_PREFIX)) {
        if let Some((name, count)) = line.split_once("\"} ") {
            *counts.entry(name.to_owned()).or_default() += count.parse::<u64>().unwrap_or(0);
        }
    }
}
