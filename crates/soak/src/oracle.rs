//! What a soak has found: the judge's verdict, the nodes' own counts, and how processes ended.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use stonefold_emulator::Summary;
use stonefold_model::Verdict;

/// A process serves after this time from its start at the latest.
pub const READY_WITHIN: Duration = Duration::from_secs(10);
/// The figure that counts broken rules, with one label.
const VIOLATIONS: &str = "svc_invariant_violations_total{invariant=\"";
/// An answer may be late where its time ended in a stall: the judge allows for that, the node's own count doesn't.
const COUNTED_BY_JUDGE: &str = "answer_in_time";

/// What went wrong with a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProcessFault {
    /// It ended though nobody told it to, or with a failure.
    Crashed {
        /// Which node.
        node: usize,
        /// How it ended.
        status: String,
        /// The last lines of its log.
        log: Vec<String>,
    },
    /// It did not serve in [`READY_WITHIN`].
    NotReady {
        /// Which node.
        node: usize,
    },
}

/// The findings of one seed.
#[derive(Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Faults that were played.
    pub events: usize,
    /// What the judge has seen from outside.
    pub verdict: Verdict,
    /// What clients got.
    pub summary: Summary,
    /// Rules that nodes counted as broken, by their names, over all processes that could still be asked.
    pub violations: BTreeMap<String, u64>,
    /// Processes that crashed or did not start.
    pub processes: Vec<ProcessFault>,
}

impl Report {
    /// Whether nothing was found.
    pub fn is_clean(&self) -> bool {
        let violations = self.violations.iter().filter(|(name, _)| *name != COUNTED_BY_JUDGE);
        self.verdict.rules_broken() == 0
            && self.processes.is_empty()
            && violations.map(|(_, count)| count).sum::<u64>() == 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_clean() { "clean" } else { "BROKEN" };
        write!(
            f,
            "seed {}: {verdict}; {} faults, {} requests, {} served, {} refused, {} failed",
            self.seed,
            self.events,
            self.summary.requests,
            self.summary.served,
            self.summary.refused,
            self.summary.failed
        )?;
        if self.verdict.rules_broken() > 0 {
            write!(f, "; {:?}", self.verdict)?;
        }
        for (name, count) in self.violations.iter().filter(|(_, count)| **count > 0) {
            write!(f, "; {name} {count}")?;
        }
        self.processes.iter().try_for_each(|fault| write!(f, "; {fault:?}"))
    }
}

/// Adds the counts of broken rules in a node's figures.
pub fn add_violations(figures: &str, counts: &mut BTreeMap<String, u64>) {
    for line in figures.lines().filter_map(|line| line.strip_prefix(VIOLATIONS)) {
        if let Some((name, count)) = line.split_once("\"} ") {
            *counts.entry(name.to_owned()).or_default() += count.parse::<u64>().unwrap_or(0);
        }
    }
}
