//! Replay detection: a sliding window over a sender's sequence numbers, as in RFC 4303.

/// The length of the window: the highest sequence number and those just below it, in all as many as a `u64` has bits.
const WINDOW: u64 = u64::BITS as u64;

/// The sequence numbers received from one process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplayWindow {
    instance: u64,
    highest: u64,
    /// Bit n tells whether `highest - n` was received.
    received: u64,
}

impl ReplayWindow {
    /// Records a message and returns whether it is new. Sequence numbers below the window count as received. A new
    /// process resets the window.
    pub(crate) fn accept(&mut self, instance: u64, sequence: u64) -> bool {
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
