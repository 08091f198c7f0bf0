//! The scenarios in which a fleet is simulated, with the times of their changes and faults.

/// A point in virtual time or a duration, in microseconds.
pub(super) type Micros = u64;

/// Microseconds in a second.
pub(super) const SECOND: Micros = 1_000_000;
/// A change is late if it takes longer than this to reach a node once it is available.
pub(super) const DEADLINE: Micros = 6 * SECOND;
/// When the scenario starts. Unless it is [`Scenario::FleetStart`], the nodes have started before, each at its own
/// time.
pub(super) const START: Micros = 40 * SECOND;
/// When the run ends.
pub(super) const END: Micros = 70 * SECOND;
/// How long the fault of a scenario lasts.
pub(super) const FAULT_DURATION: Micros = 8 * SECOND;

/// What happens to discovery and its fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Scenario {
    /// The list changes, and there is no fault.
    Calm,
    /// Discovery goes down, which ends the watches. The list changes while it is down, and after it is back.
    Down,
    /// Other clients poll three times as often as discovery can answer.
    Overloaded,
    /// All open watches fall silent.
    WatchesSilent,
    /// The network drops all packets to discovery for a while; connects time out.
    Blackholed,
    /// All nodes start at once, with an outdated list.
    FleetStart,
}

impl Scenario {
    /// When discovery's list changes.
    pub(super) fn changes(self) -> Vec<Micros> {
        match self {
            Scenario::Calm => vec![START, START + 10 * SECOND, START + 20 * SECOND],
            Scenario::Down | Scenario::Blackholed => vec![START + SECOND, START + FAULT_DURATION + SECOND],
            Scenario::Overloaded => vec![START + FAULT_DURATION, START + FAULT_DURATION + SECOND],
            Scenario::WatchesSilent => vec![START + SECOND / 2, START + 2 * SECOND],
            Scenario::FleetStart => vec![START - SECOND, START + SECOND],
        }
    }
}

/// All scenarios.
pub(super) const SCENARIOS: [Scenario; 6] = [
    Scenario::Calm,
    Scenario::Down,
    Scenario::Overloaded,
    Scenario::WatchesSilent,
    Scenario::Blackholed,
    Scenario::FleetStart,
];
