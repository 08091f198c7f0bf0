//! The findings of a run: the emulator's verdict, the nodes' own counters, and how processes exited.

use std::fmt;

use stonefold_emulator::LoadSummary;
use stonefold_model::{LateSend, Verdict};

use crate::violations::ViolationCounts;

/// The invariant that only the emulator's verdict checks. An answer may be late if its deadline passed while the
/// process was paused: the verdict allows for that, the node's own counter does not.
const CHECKED_BY_EMULATOR: &str = "answer_in_time";

/// A process that did not behave as expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProcessFault {
    /// The process exited without having been signalled, or exited with a failure.
    Crashed {
        /// Number of the node.
        node: usize,
        /// Exit status.
        status: String,
        /// The last lines of its log.
        log: Vec<String>,
    },
    /// The process was not ready 10 s after its start.
    NotReady {
        /// Number of the node.
        node: usize,
    },
}

/// The findings of one seed.
#[derive(Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Number of faults injected.
    pub events: usize,
    /// Whether idle clients occupied the nodes' file descriptors.
    pub idle_clients: bool,
    /// Rule violations observed by the emulator's clients, servers and origin.
    pub verdict: Verdict,
    /// The first requests that nodes sent to a server after its grace period had ended.
    pub late_sends: Vec<LateSend>,
    /// Outcomes of the clients' requests.
    pub summary: LoadSummary,
    /// Invariant violations counted by the nodes, over all processes that answered before they exited.
    pub violations: ViolationCounts,
    /// Processes that crashed or did not become ready.
    pub processes: Vec<ProcessFault>,
}

impl Report {
    /// Whether no rule was broken and every process behaved as expected.
    pub fn is_clean(&self) -> bool {
        let violations = self.violations.iter().filter(|(name, _)| *name != CHECKED_BY_EMULATOR);
        self.verdict.rules_broken() == 0
            && self.processes.is_empty()
            && violations.map(|(_, count)| count).sum::<u64>() == 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.is_clean() { "clean" } else { "BROKEN" };
        write!(
            formatter,
            "seed {}: {verdict}; {} faults{}, {} requests, {} served, {} refused, {} failed",
            self.seed,
            self.events,
            if self.idle_clients { " and a crowd" } else { "" },
            self.summary.requests,
            self.summary.served,
            self.summary.rejected,
            self.summary.failed
        )?;
        if self.verdict.rules_broken() > 0 {
            write!(formatter, "; {:?}", self.verdict)?;
        }
        for LateSend { node, server, notified_at, sent_at } in &self.late_sends {
            let after = sent_at - notified_at;
            write!(
                formatter,
                "; n{node} sent to server {server} at {sent_at} us, {after} us after its notification"
            )?;
        }
        for (name, count) in self.violations.iter().filter(|(_, count)| **count > 0) {
            write!(formatter, "; {name} {count}")?;
        }
        self.processes.iter().try_for_each(|fault| write!(formatter, "; {fault:?}"))
    }
}
