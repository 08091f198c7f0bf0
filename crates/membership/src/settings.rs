//! Intervals and bounds of the protocol.

use crate::Micros;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;

/// Intervals and bounds of the protocol. All nodes of a fleet should have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Each node probes one member this often.
    pub probe_interval: Micros,
    /// An unanswered ping of a probe is repeated after this time, times the local health multiplier.
    pub ping_timeout: Micros,
    /// Pings of one probe.
    pub pings: u32,
    /// Members that are asked to ping a target in turn, from the second ping on.
    pub helpers: usize,
    /// Pings of the last probe, before a member is declared failed.
    pub last_pings: u32,
    /// Last probes that run at once; others wait their turn.
    pub last_probes: usize,
    /// Queued updates are sent this often.
    pub gossip_interval: Micros,
    /// Members that queued updates are sent to each time.
    pub gossip_fanout: usize,
    /// How often one node sends one update.
    pub transmissions: u32,
    /// Updates in one message at most.
    pub updates_per_message: usize,
    /// Suspicion lasts at least this time, times the decimal logarithm of the number of members (at least 1).
    pub suspicion: Micros,
    /// Unconfirmed suspicion lasts this many times longer.
    pub unconfirmed_factor: u64,
    /// Independent confirmations that shorten suspicion to its least.
    pub confirmations: usize,
    /// A timer that is later than this shows that the process was paused.
    pub pause: Micros,
    /// A failed member is probed this often, to find out that it is back.
    pub failed_probe_interval: Micros,
    /// Views that differ are compared at most this often.
    pub sync_interval: Micros,
    /// Failed and left members are forgotten after this time.
    pub forget_after: Micros,
    /// A change of a member's reachability is reported at most this often.
    pub reach_interval: Micros,
    /// A process younger than this takes news of another process under its name for its predecessor's.
    pub settle: Micros,
    /// Incarnations that lie further in the future are refused. Covers clocks that differ between nodes.
    pub incarnation_ahead_ms: u64,
    /// Members at most; others are refused.
    pub max_members: usize,
}

impl Settings {
    /// The defaults, with all that goes by the probe interval scaled to another one.
    pub fn with_probe_interval(probe_interval: Micros) -> Settings {
        let default = Settings::default();
        let scaled = |time: Micros| (time * probe_interval / default.probe_interval).max(MILLISECOND);
        Settings {
            probe_interval,
            ping_timeout: scaled(default.ping_timeout),
            gossip_interval: scaled(default.gossip_interval),
            suspicion: scaled(default.suspicion),
            failed_probe_interval: scaled(default.failed_probe_interval),
            sync_interval: scaled(default.sync_interval),
            reach_interval: scaled(default.reach_interval),
            ..default
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            probe_interval: 2 * SECOND,
            ping_timeout: 500 * MILLISECOND,
            pings: 6,
            helpers: 3,
            last_pings: 10,
            last_probes: 8,
            gossip_interval: 500 * MILLISECOND,
            gossip_fanout: 2,
            transmissions: 8,
            updates_per_message: 12,
            suspicion: 8 * SECOND,
            unconfirmed_factor: 2,
            confirmations: 3,
            pause: 300 * MILLISECOND,
            failed_probe_interval: 5 * SECOND,
            sync_interval: 5 * SECOND,
            forget_after: 24 * 3_600 * SECOND,
            reach_interval: 60 * SECOND,
            settle: 30 * SECOND,
            incarnation_ahead_ms: 3_600_000,
            max_members: 4_096,
        }
    }
}
