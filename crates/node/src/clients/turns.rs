//! Bounds what commands cost that no server answers: errors, pings, rejected and failed requests.
//!
//! A client can send such commands faster than the node replies to them, on any number of connections, and their
//! processor time is what the requests of others need. So each connection may have [`COMMANDS_PER_TURN`] of them, and
//! starts no other command until it has had a turn. The turns of all connections are [`TURN_INTERVAL`] apart, in the
//! order in which they were requested. Requests that are served cost no turn.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// The number of unserved commands that a connection may have for one turn.
const COMMANDS_PER_TURN: usize = 16;
/// The time between two turns. With as many connections as a node has descriptors, each has its turn within the 3 s in
/// which a client is told that its command is invalid.
const TURN_INTERVAL: Duration = Duration::from_millis(2);

/// The turns of all connections of a node.
pub(crate) struct TurnSchedule {
    /// The time of the next turn that nobody has reserved.
    next_free: Mutex<Instant>,
}

impl TurnSchedule {
    /// Creates a schedule on which no turn is reserved.
    pub(crate) fn new() -> TurnSchedule {
        TurnSchedule { next_free: Mutex::new(Instant::now()) }
    }

    /// Reserves the next turn, and returns its time. It is over if no other connection needs one.
    fn reserve(&self, now: Instant) -> Instant {
        let mut next_free = self.next_free.lock().unwrap_or_else(PoisonError::into_inner);
        let turn = now.max(*next_free);
        *next_free = turn + TURN_INTERVAL;
        turn
    }
}

/// The unserved commands of one connection, and the turn that it waits for.
#[derive(Default)]
pub(crate) struct TurnAccount {
    /// The number of unserved commands that no turn has paid for.
    unpaid: usize,
    /// When the next turn of the connection is due, if it has reserved one.
    turn_at: Option<Instant>,
}

impl TurnAccount {
    /// Records replies to unserved commands.
    pub(crate) fn charge(&mut self, replies: usize) {
        self.unpaid += replies;
    }

    /// Whether the connection may start commands before its next turn.
    pub(crate) fn may_start(&self) -> bool {
        self.unpaid < COMMANDS_PER_TURN
    }

    /// Takes the turns that are due, and reserves the next one if the connection needs it. Returns whether a wait for a
    /// turn has begun.
    pub(crate) fn update(&mut self, schedule: &TurnSchedule) -> bool {
        while !self.may_start() {
            let now = Instant::now();
            let is_new = self.turn_at.is_none();
            let turn_at = *self.turn_at.get_or_insert_with(|| schedule.reserve(now));
            if turn_at > now {
                return is_new;
            }
            self.turn_at = None;
            self.unpaid -= COMMANDS_PER_TURN;
        }
        false
    }

    /// When the turn is due that the connection waits for. `None` if it may start commands.
    pub(crate) fn turn_at(&self) -> Option<Instant> {
        self.turn_at
    }
}

#[cfg(test)]
mod tests;
