//! Finds messages that were received before: a sliding window over a sender's sequence numbers (as RFC 4303 has it).

/// Numbers behind the highest that are told apart.
const WINDOW: u64 = 64;

/// What was received of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    instance: u64,
    highest: u64,
    /// Bit n: whether `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Whether a message is new; it counts as received from then on. A new process begins anew.
    pub fn accept(&mut self, instance: u64, sequence: u64) -> bool {
        if self.instance != instance {
            *self = ReplayWindow { instance, highest: sequence, received: 1 };
            return true;
        }
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.received = if ahead < WINDOW { self.received << ahead | 1 } else { 1 };
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        let bit = 1u64.checked_shl(behind as u32).unwrap_or(0);
        let new = behind < WINDOW && self.received & bit == 0;
        self.received |= bit;
        new
    }
}
