//! Counts the answers and the rule violations of the nodes, from events observed outside them.

use std::collections::HashMap;
use std::num::NonZeroUsize;

use lru::LruCache;
use serde::Serialize;

use crate::Micros;
use crate::site::RuleThresholds;

/// The answer that a client got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value for this request.
    Served,
    /// A rejection.
    Rejected,
    /// An error.
    Failed,
    /// A value that no server produced for this request.
    Wrong,
}

/// Counts of requests, answers and rule violations so far. All but the first four and `origin_stops` are rule
/// violations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Requests that nodes accepted.
    pub requests: u64,
    /// Requests answered with their value.
    pub served: u64,
    /// Requests rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests answered with an error.
    pub failed: u64,
    /// Requests accepted by a node that stayed alive and answered late or not at all.
    pub lost: u64,
    /// Answers to requests that were already answered or never made.
    #[serde(rename = "doubled")]
    pub duplicate_answers: u64,
    /// Requests answered with a value that no server produced for them.
    pub wrong: u64,
    /// Requests sent to a server after the grace period that follows the node's notification of its draining or
    /// removal.
    pub sent_after_grace: u64,
    /// Servers that collapsed while warming up.
    #[serde(rename = "cold_pushed_over")]
    pub warm_up_collapses: u64,
    /// Overload outages of the origin to which misses at servers that are warming up contributed much.
    #[serde(rename = "origin_stopped_by_cold")]
    pub origin_stops_from_warm_up: u64,
    /// Repeated runs of requests that are not idempotent.
    #[serde(rename = "run_twice")]
    pub repeated_runs: u64,
    /// All overload outages of the origin; not a violation by themselves.
    pub origin_stops: u64,
}

impl Verdict {
    /// Total number of rule violations.
    #[must_use]
    pub fn rules_broken(&self) -> u64 {
        self.lost
            + self.duplicate_answers
            + self.wrong
            + self.sent_after_grace
            + self.warm_up_collapses
            + self.origin_stops_from_warm_up
            + self.repeated_runs
    }
}

/// A request sent to a server after the grace period that follows the node's notification. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateSend {
    /// The node that sent it.
    pub node: usize,
    /// The server.
    pub server: usize,
    /// When the node was notified that the server drains or is removed.
    pub notified_at: Micros,
    /// When the request arrived at the server.
    pub sent_at: Micros,
}

/// Finds violations of the four rules of the protocol in the events that it is given.
#[derive(Debug)]
pub struct RuleChecker {
    rules: RuleThresholds,
    /// Deadlines of the requests that are not answered yet.
    open: HashMap<u64, Micros>,
    /// By node and server: since when the node knows that the server drains or is removed.
    not_serving_since: HashMap<(usize, usize), Micros>,
    /// Latest run of each request that is not idempotent; the least recent ones are forgotten.
    runs: LruCache<String, Micros>,
    /// The first requests that were sent after a grace period.
    late_sends: Vec<LateSend>,
    verdict: Verdict,
}

/// Share of the load from which an outage of the origin is attributed to servers that are warming up.
const MIN_WARM_UP_SHARE: f64 = 0.3;
/// Number of late sends that are remembered.
const MAX_LATE_SENDS: usize = 16;
/// Number of runs that are remembered.
const MAX_RUNS: NonZeroUsize = NonZeroUsize::new(100_000).unwrap();

impl RuleChecker {
    /// Creates a rule checker with these thresholds.
    #[must_use]
    pub fn new(rules: &RuleThresholds) -> RuleChecker {
        RuleChecker {
            rules: rules.clone(),
            open: HashMap::new(),
            not_serving_since: HashMap::new(),
            runs: LruCache::new(MAX_RUNS),
            late_sends: Vec::new(),
            verdict: Verdict::default(),
        }
    }

    /// Records that a node accepted a request with this deadline.
    pub fn request_accepted(&mut self, request: u64, deadline: Micros) {
        self.verdict.requests += 1;
        self.open.insert(request, deadline);
    }

    /// Records that a client got an answer.
    pub fn request_answered(&mut self, now: Micros, request: u64, answer: Answer) {
        let Some(deadline) = self.open.remove(&request) else {
            self.verdict.duplicate_answers += 1;
            return;
        };
        match answer {
            _ if now > deadline + self.rules.answer_slack.us() => self.verdict.lost += 1,
            Answer::Served => self.verdict.served += 1,
            Answer::Rejected => self.verdict.rejected += 1,
            Answer::Failed => self.verdict.failed += 1,
            Answer::Wrong => self.verdict.wrong += 1,
        }
    }

    /// Records that the node closed the connection of an accepted request before its answer was complete.
    pub fn request_abandoned(&mut self, request: u64) {
        if self.open.remove(&request).is_some() {
            self.verdict.lost += 1;
        }
    }

    /// Records that a request needs no answer: its node was killed while the request was in flight, or closed the
    /// connection without reading it while idle clients occupied its file descriptors.
    pub fn request_excused(&mut self, request: u64) {
        self.open.remove(&request);
    }

    /// Records that an answer arrived on a connection without an open request.
    pub fn unexpected_answer(&mut self) {
        self.verdict.duplicate_answers += 1;
    }

    /// Counts open requests past their deadline and its tolerance as lost.
    pub fn expire_requests(&mut self, now: Micros) {
        let slack = self.rules.answer_slack.us();
        let before = self.open.len();
        self.open.retain(|_, deadline| now <= *deadline + slack);
        self.verdict.lost += (before - self.open.len()) as u64;
    }

    /// Records that a node was notified whether a server serves, or drains or is removed.
    pub fn server_notified(&mut self, now: Micros, node: usize, server: usize, serving: bool) {
        if serving {
            self.not_serving_since.remove(&(node, server));
        } else {
            self.not_serving_since.entry((node, server)).or_insert(now);
        }
    }

    /// Records that a node was notified that of all `known` servers exactly these serve.
    pub fn server_list_notified(&mut self, now: Micros, node: usize, serving: &[usize], known: usize) {
        for server in 0..known {
            self.server_notified(now, node, server, serving.contains(&server));
        }
    }

    /// Records that a node sent a new request to a server.
    pub fn request_sent(&mut self, now: Micros, node: usize, server: usize) {
        let Some(&notified_at) = self.not_serving_since.get(&(node, server)) else { return };
        if now > notified_at + self.rules.drain_grace.us() {
            self.verdict.sent_after_grace += 1;
            if self.late_sends.len() < MAX_LATE_SENDS {
                self.late_sends.push(LateSend { node, server, notified_at, sent_at: now });
            }
        }
    }

    /// Records that a node restarted and has lost the notifications it received.
    pub fn node_restarted(&mut self, node: usize) {
        self.not_serving_since.retain(|(notified, _), _| *notified != node);
    }

    /// Records that a server that is warming up collapsed.
    pub fn server_collapsed(&mut self) {
        self.verdict.warm_up_collapses += 1;
    }

    /// Records that the origin stopped after overload. `warm_up_share` is the fraction of its load that followed misses
    /// at servers that are warming up.
    pub fn origin_stopped(&mut self, warm_up_share: f64) {
        self.verdict.origin_stops += 1;
        if warm_up_share > MIN_WARM_UP_SHARE {
            self.verdict.origin_stops_from_warm_up += 1;
        }
    }

    /// Records that a non-idempotent request ran. Duplicates within `window` are discarded and do not count; 0 for no
    /// window.
    pub fn request_run(&mut self, now: Micros, identity: &str, window: Micros) {
        match self.runs.get(identity) {
            Some(&at) if now < at + window => return, // a discarded duplicate
            Some(_) => self.verdict.repeated_runs += 1,
            None => {}
        }
        self.runs.put(identity.to_owned(), now);
    }

    /// The counts so far.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// The first requests that were sent after a grace period.
    #[must_use]
    pub fn late_sends(&self) -> &[LateSend] {
        &self.late_sends
    }

    /// Number of requests that are not answered yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }
}
