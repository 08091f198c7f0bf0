//! Which faults a seed gives, and when: pure.

use std::time::Duration;

use fastrand::Rng;
use stonefold_config::{DurationMicros, Fraction, Positive};
use stonefold_faults::Fault as CallFault;
use stonefold_model::site::{Fault as SiteFault, FaultKind};

/// The longest stall that the rules allow for.
pub const LONGEST_STALL: Duration = Duration::from_millis(150);
/// Mean time between the beginnings of two faults.
const MEAN_PAUSE: Duration = Duration::from_millis(120);
/// Faults of calls and sites last between these times.
const LASTS: std::ops::Range<u64> = 500..4_000;
/// System calls fail at one of these rates.
const RATES: [f64; 3] = [0.01, 0.05, 0.2];
/// Steps of the wall clock, in ms.
const CLOCK_STEPS: [i64; 4] = [-3_600_000, -5_000, 5_000, 3_600_000];
/// Calls that fail. A broken path is left out: it ends clients' connections, for which nobody is at fault.
const CALLS: [CallFault; 8] = [
    CallFault::ShortRead,
    CallFault::ShortWrite,
    CallFault::InterruptedRead,
    CallFault::InterruptedWrite,
    CallFault::InterruptedWait,
    CallFault::Accept,
    CallFault::Socket,
    CallFault::Connect,
];
/// What befalls the site. A partition is left to the emulator's own tests.
const SITE: [FaultKind; 11] = [
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

/// What happens to a node, or to the site.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The process is stopped for so long.
    Stall(Duration),
    /// SIGTERM, and SIGKILL if it is still there when the platform would kill it; then it starts again.
    Terminate,
    /// SIGKILL, and it starts again.
    Kill,
    /// SIGHUP, with the configuration as it is.
    Reload,
    /// A part of these calls fails for so long.
    Calls {
        /// Which.
        fault: CallFault,
        /// How many of them, 0 to 1.
        rate: f64,
        /// For how long.
        lasts: Duration,
    },
    /// The wall clock is so many ms ahead, or behind, for good.
    ClockStep(i64),
    /// Something befalls the site, whichever node the event names.
    Site(Box<SiteFault>),
}

/// One event of a schedule.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// When, from the start.
    pub at: Duration,
    /// Which node.
    pub node: usize,
    /// What.
    pub action: Action,
}

/// The events of a seed, in the order of their times.
pub fn schedule(seed: u64, nodes: usize, until: Duration) -> Vec<Event> {
    let mut rng = Rng::with_seed(seed);
    let mut events = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += MEAN_PAUSE.mul_f64(-(1.0 - rng.f64()).ln());
        if at >= until {
            return events;
        }
        let node = rng.usize(0..nodes);
        events.push(Event { at, node, action: action(&mut rng) });
    }
}

fn action(rng: &mut Rng) -> Action {
    let lasts = Duration::from_millis(rng.u64(LASTS));
    match rng.u32(0..100) {
        0..30 => Action::Stall(LONGEST_STALL.mul_f64(rng.f64())),
        30..38 => Action::Terminate,
        38..43 => Action::Kill,
        43..50 => Action::Reload,
        50..70 => {
            let (fault, rate) = (CALLS[rng.usize(0..CALLS.len())], RATES[rng.usize(0..RATES.len())]);
            Action::Calls { fault, rate, lasts }
        }
        70..75 => Action::ClockStep(CLOCK_STEPS[rng.usize(0..CLOCK_STEPS.len())]),
        _ => Action::Site(Box::new(site_fault(rng, lasts))),
    }
}

fn site_fault(rng: &mut Rng, lasts: Duration) -> SiteFault {
    let kind = SITE[rng.usize(0..SITE.len())];
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
