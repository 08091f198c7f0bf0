//! One probe of a member: pings that are repeated, and others who are asked to ping it.

use crate::Micros;
use crate::member::MemberId;
use crate::settings::Settings;

/// Why a member is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Its turn has come.
    Routine,
    /// Its suspicion is over: the last chance before it is declared failed.
    Last,
    /// It is failed, and might be back.
    Return,
}

/// A probe that is under way.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Whom.
    pub target: MemberId,
    /// Why.
    pub purpose: Purpose,
    /// When it began.
    pub began: Micros,
    /// Whether the target has answered somebody who was asked.
    pub through_others: bool,
    sent: u32,
    pings: u32,
    /// When the next ping goes out, or the probe ends.
    pub next_at: Micros,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ping the target; ask others to do so too, if so told.
    Ping {
        /// Whether others are asked.
        ask_others: bool,
    },
    /// The target has not answered this node.
    Over,
}

impl Probe {
    /// A probe whose first ping is due now.
    pub fn new(target: MemberId, purpose: Purpose, now: Micros, settings: &Settings) -> Probe {
        let pings = match purpose {
            Purpose::Routine => settings.pings,
            Purpose::Last => settings.last_pings,
            Purpose::Return => 1,
        };
        Probe { target, purpose, began: now, through_others: false, sent: 0, pings, next_at: now }
    }

    /// The next step, when its time has come. The timeout is that of one ping.
    pub fn step(&mut self, now: Micros, timeout: Micros) -> Step {
        if self.sent >= self.pings {
            return Step::Over;
        }
        self.sent += 1;
        self.next_at = now + timeout;
        Step::Ping { ask_others: self.sent > 1 && self.purpose != Purpose::Return && !self.through_others }
    }
}
