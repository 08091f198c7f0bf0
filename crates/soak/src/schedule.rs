//! Draws the fault schedule of a seed, without I/O.

use std::ops::Range;
use std::time::Duration;

use fastrand::Rng;
use stonefold_config::{DurationMicros, Fraction, Positive};
use stonefold_faults::Fault as CallFault;
use stonefold_model::site::{Fault as SiteFault, FaultKind};

/// The longest pause of a process; deadlines are checked with this much slack.
pub const LONGEST_STALL: Duration = Duration::from_millis(150);
/// Mean time between the starts of two faults; the times are exponentially distributed.
const MEAN_INTERVAL: Duration = Duration::from_millis(120);
/// Duration of system call faults and site faults, in milliseconds.
const FAULT_DURATION_MS: Range<u64> = 500..4_000;
/// Maximum number of signals in a series.
const MAX_SERIES_LENGTH: usize = 4;
/// Time between two signals that are close together, in milliseconds.
const CLOSE_GAP_MS: Range<u64> = 0..30;
/// Time between two signals of which the second comes while the node still handles the first, in milliseconds.
const WIDE_GAP_MS: Range<u64> = 30..2_000;
/// One run in this many has idle clients.
const RUNS_PER_IDLE_CLIENTS_RUN: u64 = 3;
/// Fractions of the system calls that fail.
const CALL_FAULT_RATES: [f64; 3] = [0.01, 0.05, 0.2];
/// Steps of the wall clock, in milliseconds.
const CLOCK_STEPS_MS: [i64; 4] = [-3_600_000, -5_000, 5_000, 3_600_000];
/// System call faults that are injected. Broken connections are excluded: they end client connections through no fault
/// of the node.
const CALL_FAULTS: [CallFault; 8] = [
    CallFault::ShortRead,
    CallFault::ShortWrite,
    CallFault::InterruptedRead,
    CallFault::InterruptedWrite,
    CallFault::InterruptedWait,
    CallFault::Accept,
    CallFault::Socket,
    CallFault::Connect,
];
/// Faults of the site that are injected. Partitions are covered by the emulator's own tests.
const SITE_FAULTS: [FaultKind; 11] = [
    FaultKind::Kill,
    FaultKind::Replace,
    FaultKind::Drain,
    FaultKind::Stall,
    FaultKind::Slow,
    FaultKind::Cut,
    FaultKind::Reset,
    FaultKind::Silence,
    FaultKind::OriginSlow,
    FaultKind::DiscoveryUnavailable,
    FaultKind::DiscoveryStale,
];

/// A fault of a node or of the site.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Pauses the process (SIGSTOP, then SIGCONT) for this time.
    Stall(Duration),
    /// Sends a series of signals. After its first SIGTERM, SIGKILL follows once the platform's grace period has ended,
    /// and the node is restarted.
    Signals(Vec<TimedSignal>),
    /// Sends SIGKILL and restarts the node.
    Kill,
    /// Makes a fraction of some system calls fail for a time.
    Calls {
        /// The calls that fail, and how.
        fault: CallFault,
        /// Fraction of these calls that fail, 0 to 1.
        rate: f64,
        /// How long calls fail.
        lasts: Duration,
    },
    /// Sets the offset of the wall clock, in milliseconds, for the rest of the run.
    ClockStep(i64),
    /// A fault of the site; it does not concern the node of the event.
    Site(Box<SiteFault>),
}

/// The kind of a signal in a series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeSignal {
    /// SIGHUP; the configuration is unchanged.
    Reload,
    /// SIGTERM.
    Terminate,
}

/// A signal of a series.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedSignal {
    /// Time since the start of the series.
    pub after: Duration,
    /// The kind of the signal.
    pub order: NodeSignal,
}

/// A fault at a point in time.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Time since the start of the run.
    pub at: Duration,
    /// Number of the node.
    pub node: usize,
    /// The fault.
    pub action: Action,
}

/// Returns the events of a seed that start before `until`, ordered by time.
pub fn schedule(seed: u64, nodes: usize, until: Duration) -> Vec<Event> {
    let mut rng = Rng::with_seed(seed);
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += MEAN_INTERVAL.mul_f64(-(1.0 - rng.f64()).ln());
        if at >= until {
            return events;
        }
        let node = rng.usize(0..nodes);
        let action = draw_action(&mut rng);
        events.push(Event { at, node, action });
    }
}

/// Draws an action; the ranges of the match are its weights in percent.
fn draw_action(rng: &mut Rng) -> Action {
    let lasts = Duration::from_millis(rng.u64(FAULT_DURATION_MS));
    match rng.u32(0..100) {
        0..30 => Action::Stall(LONGEST_STALL.mul_f64(rng.f64())),
        30..45 => Action::Signals(draw_signals(rng)),
        45..50 => Action::Kill,
        50..70 => {
            let fault = CALL_FAULTS[rng.usize(0..CALL_FAULTS.len())];
            let rate = CALL_FAULT_RATES[rng.usize(0..CALL_FAULT_RATES.len())];
            Action::Calls { fault, rate, lasts }
        }
        70..75 => Action::ClockStep(CLOCK_STEPS_MS[rng.usize(0..CLOCK_STEPS_MS.len())]),
        _ => Action::Site(Box::new(draw_site_fault(rng, lasts))),
    }
}

/// Draws a series of reloads and terminations, each close to the one before or while that is still being handled.
fn draw_signals(rng: &mut Rng) -> Vec<TimedSignal> {
    let mut after = Duration::ZERO;
    let mut signals = Vec::new();
    for _ in 0..rng.usize(1..=MAX_SERIES_LENGTH) {
        let order = if rng.bool() { NodeSignal::Reload } else { NodeSignal::Terminate };
        signals.push(TimedSignal { after, order });
        let gap = if rng.bool() { CLOSE_GAP_MS } else { WIDE_GAP_MS };
        after += Duration::from_millis(rng.u64(gap));
    }
    signals
}

/// Whether a run has idle clients that take the nodes to their limit of file descriptors.
pub fn has_idle_clients(seed: u64) -> bool {
    seed.is_multiple_of(RUNS_PER_IDLE_CLIENTS_RUN)
}

fn draw_site_fault(rng: &mut Rng, lasts: Duration) -> SiteFault {
    let kind = SITE_FAULTS[rng.usize(0..SITE_FAULTS.len())];
    let part = kind.needs_servers().then(|| Fraction::new(0.1 + 0.2 * rng.f64()));
    let slow = matches!(kind, FaultKind::Slow | FaultKind::OriginSlow);
    SiteFault {
        at: DurationMicros::new(0),
        kind,
        server: None,
        part,
        zone: None,
        lasts: DurationMicros::new(lasts.as_micros() as u64),
        factor: slow.then(|| Positive::new(2.0 + 6.0 * rng.f64())),
    }
}
