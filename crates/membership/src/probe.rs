//! One probe of a member: repeated pings, and indirect probes through other members.

use crate::Micros;
use crate::member::MemberId;
use crate::settings::Settings;

/// Why a member is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// The member is the next one in probe order; one member is probed per protocol period.
    Periodic,
    /// The suspicion of the member has expired. It is declared failed unless it answers this probe.
    Confirming,
    /// The member has failed and may be back.
    Recovery,
}

/// A probe in progress.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    /// The member that is probed.
    pub(crate) target: MemberId,
    pub(crate) purpose: Purpose,
    /// When the probe began.
    pub(crate) started: Micros,
    /// Whether the target has answered an indirect probe.
    pub(crate) indirectly_acked: bool,
    /// The number of pings sent so far.
    sent: u32,
    /// The number of pings that the probe sends in all.
    pings: u32,
    /// When the next ping is due or, after the last one, the probe times out.
    pub(crate) next_step: Micros,
}

/// What a probe does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// Ping the target.
    Ping {
        /// Whether to ask other members for an indirect probe too.
        indirect: bool,
    },
    /// The target has not answered this node in time.
    TimedOut,
}

impl Probe {
    /// A probe whose first ping is due now.
    pub(crate) fn new(target: MemberId, purpose: Purpose, now: Micros, settings: &Settings) -> Probe {
        let pings = match purpose {
            Purpose::Periodic => settings.pings,
            Purpose::Confirming => settings.confirming_pings,
            Purpose::Recovery => 1,
        };
        Probe { target, purpose, started: now, indirectly_acked: false, sent: 0, pings, next_step: now }
    }

    /// Takes the step that is due. The following step is due after `ping_timeout`.
    pub(crate) fn step(&mut self, now: Micros, ping_timeout: Micros) -> Step {
        if self.sent >= self.pings {
            return Step::TimedOut;
        }
        self.sent += 1;
        self.next_step = now + ping_timeout;
        let first = self.sent == 1;
        Step::Ping { indirect: !first && self.purpose != Purpose::Recovery && !self.indirectly_acked }
    }
}
