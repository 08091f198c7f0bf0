//! Intervals and bounds of the protocol.

use crate::Micros;

/// Microseconds in a millisecond.
const MILLISECOND: Micros = 1_000;
/// Microseconds in a second.
const SECOND: Micros = 1_000 * MILLISECOND;
/// Microseconds in an hour.
const HOUR: Micros = 3_600 * SECOND;
/// Milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;

/// Default of [`Settings::probe_interval`].
const PROBE_INTERVAL: Micros = 2 * SECOND;
/// Default of [`Settings::ping_timeout`].
const PING_TIMEOUT: Micros = 500 * MILLISECOND;
/// Default of [`Settings::pings`].
const PINGS: u32 = 6;
/// Default of [`Settings::indirect_probes`].
const INDIRECT_PROBES: usize = 3;
/// Default of [`Settings::confirming_pings`].
const CONFIRMING_PINGS: u32 = 10;
/// Default of [`Settings::max_confirming_probes`].
const MAX_CONFIRMING_PROBES: usize = 8;
/// Default of [`Settings::gossip_interval`].
const GOSSIP_INTERVAL: Micros = 500 * MILLISECOND;
/// Default of [`Settings::gossip_fanout`], in members.
const GOSSIP_FANOUT: usize = 2;
/// Default of [`Settings::transmissions`].
const TRANSMISSIONS: u32 = 8;
/// Default of [`Settings::updates_per_message`].
const UPDATES_PER_MESSAGE: usize = 12;
/// Default of [`Settings::min_suspicion`].
const MIN_SUSPICION: Micros = 8 * SECOND;
/// Default of [`Settings::max_suspicion_multiplier`].
const MAX_SUSPICION_MULTIPLIER: u64 = 2;
/// Default of [`Settings::confirmations`].
const CONFIRMATIONS: usize = 3;
/// Default of [`Settings::pause_threshold`].
const PAUSE_THRESHOLD: Micros = 300 * MILLISECOND;
/// Default of [`Settings::recovery_probe_interval`].
const RECOVERY_PROBE_INTERVAL: Micros = 5 * SECOND;
/// Default of [`Settings::sync_interval`].
const SYNC_INTERVAL: Micros = 5 * SECOND;
/// Default of [`Settings::reap_after`].
const REAP_AFTER: Micros = 24 * HOUR;
/// Default of [`Settings::reachability_interval`].
const REACHABILITY_INTERVAL: Micros = 60 * SECOND;
/// Default of [`Settings::startup_grace`].
const STARTUP_GRACE: Micros = 30 * SECOND;
/// Default of [`Settings::max_incarnation_lead_ms`], in milliseconds.
const MAX_INCARNATION_LEAD_MS: u64 = HOUR_MS;
/// Default of [`Settings::max_members`].
const MAX_MEMBERS: usize = 4_096;

/// Intervals and bounds of the protocol. All nodes of a fleet should have the same. Durations are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Each node probes one member per interval, which is the protocol period of SWIM.
    pub probe_interval: Micros,
    /// An unanswered ping of a probe is repeated after this time, multiplied by the factor of the local health score.
    pub ping_timeout: Micros,
    /// The number of unanswered pings of a periodic probe after which its target is suspected.
    pub pings: u32,
    /// The number of members that are asked for an indirect probe with each ping of a probe except the first: the
    /// parameter k of SWIM.
    pub indirect_probes: usize,
    /// The number of unanswered pings of a confirming probe after which its target is declared failed.
    pub confirming_pings: u32,
    /// The most confirming probes that run at the same time. Other expired suspicions wait.
    pub max_confirming_probes: usize,
    /// Queued updates are sent this often.
    pub gossip_interval: Micros,
    /// The number of members to which queued updates are sent per gossip interval.
    pub gossip_fanout: usize,
    /// How many times a node sends the same update, and to how many members it announces that it leaves.
    pub transmissions: u32,
    /// The most updates in one gossip message.
    pub updates_per_message: usize,
    /// The shortest suspicion timeout, before it is multiplied by the decimal logarithm of the number of live members
    /// (or by 1 if that is higher).
    pub min_suspicion: Micros,
    /// The timeout of an unconfirmed suspicion is this many times the shortest one.
    pub max_suspicion_multiplier: u64,
    /// The number of independent confirmations that shorten a suspicion timeout to its minimum.
    pub confirmations: usize,
    /// A timer that fires late by more than this shows that the process was paused.
    pub pause_threshold: Micros,
    /// The mean interval of the probes that look for failed members that are back.
    pub recovery_probe_interval: Micros,
    /// Views that differ are synchronised at most this often.
    pub sync_interval: Micros,
    /// Failed and left members are removed after this time.
    pub reap_after: Micros,
    /// A change of a member's reachability is reported at most this often.
    pub reachability_interval: Micros,
    /// For this time after its start, a process attributes updates about another process of its name to its
    /// predecessor.
    pub startup_grace: Micros,
    /// Incarnations that are further in the future are rejected, in milliseconds. The margin covers clocks that differ
    /// between nodes.
    pub max_incarnation_lead_ms: u64,
    /// The most members, without this node, that a node records; further ones are rejected.
    pub max_members: usize,
}

impl Settings {
    /// The default settings for another probe interval. The durations that depend on it are scaled with it.
    pub fn with_probe_interval(probe_interval: Micros) -> Settings {
        let default = Settings::default();
        let scaled = |time: Micros| (time * probe_interval / default.probe_interval).max(MILLISECOND);
        Settings {
            probe_interval,
            ping_timeout: scaled(default.ping_timeout),
            gossip_interval: scaled(default.gossip_interval),
            min_suspicion: scaled(default.min_suspicion),
            recovery_probe_interval: scaled(default.recovery_probe_interval),
            sync_interval: scaled(default.sync_interval),
            reachability_interval: scaled(default.reachability_interval),
            ..default
        }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            probe_interval: PROBE_INTERVAL,
            ping_timeout: PING_TIMEOUT,
            pings: PINGS,
            indirect_probes: INDIRECT_PROBES,
            confirming_pings: CONFIRMING_PINGS,
            max_confirming_probes: MAX_CONFIRMING_PROBES,
            gossip_interval: GOSSIP_INTERVAL,
            gossip_fanout: GOSSIP_FANOUT,
            transmissions: TRANSMISSIONS,
            updates_per_message: UPDATES_PER_MESSAGE,
            min_suspicion: MIN_SUSPICION,
            max_suspicion_multiplier: MAX_SUSPICION_MULTIPLIER,
            confirmations: CONFIRMATIONS,
            pause_threshold: PAUSE_THRESHOLD,
            recovery_probe_interval: RECOVERY_PROBE_INTERVAL,
            sync_interval: SYNC_INTERVAL,
            reap_after: REAP_AFTER,
            reachability_interval: REACHABILITY_INTERVAL,
            startup_grace: STARTUP_GRACE,
            max_incarnation_lead_ms: MAX_INCARNATION_LEAD_MS,
            max_members: MAX_MEMBERS,
        }
    }
}
