//! Draws the fault schedule of a seed; does no I/O.

use std::ops::Range;
use std::time::Duration;

use fastrand::Rng;
use stonefold_config::{DurationMicros, Fraction, Positive};
use stonefold_faults::Fault as CallFault;
use stonefold_model::site::{Fault as SiteFault, FaultKind};

/// The longest pause of a process; deadlines are checked with this much slack.
pub const LONGEST_STALL: Duration = Duration::from_millis(150);
/// Mean time between the beginnings of two faults; the times are exponentially distributed.
const MEAN_INTERVAL: Duration = Duration::from_millis(120);
/// Duration of system call faults and site faults, in milliseconds.
const FAULT_DURATION_MS: Range<u64> = 500..4_000;
/// Fractions of the system calls that fail.
const CALL_FAULT_RATES: [f64; 3] = [0.01, 0.05, 0.2];
/// Steps of the wall clock, in milliseconds.
const CLOCK_STEPS_MS: [i64; 4] = [-3_600_000, -5_000, 5_000, 3_600_000];
/// System call faults. A broken connection is left out: it ends client connections without fault of the node.
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
/// Faults of the site. Partitions are left to the emulator's own tests.
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
    /// Sends SIGTERM, then SIGKILL after the grace period of the platform, and restarts the node.
    Terminate,
    /// Sends SIGKILL and restarts the node.
    Kill,
    /// Sends SIGHUP; the configuration is unchanged.
    Reload,
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
    /// A fault of the site; the node of the event has no part in it.
    Site(Box<SiteFault>),
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

/// Returns the events of a seed, before `until` and ordered by time.
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
        30..38 => Action::Terminate,
        38..43 => Action::Kill,
        43..50 => Action::Reload,
        50..70 => {
            let fault = CALL_FAULTS[rng.usize(0..CALL_FAULTS.len())];
            let rate = CALL_FAULT_RATES[rng.usize(0..CALL_FAULT_RATES.len())];
            Action::Calls { fault, rate, lasts }
        }
        70..75 => Action::ClockStep(CLOCK_STEPS_MS[rng.usize(0..CLOCK_STEPS_MS.len())]),
        _ => Action::Site(Box::new(draw_site_fault(rng, lasts))),
    }
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
