//! When what ends after word to stop. Decides nothing else, and has no clock.

use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The platform kills a process after the longest deadline, of which it grants so much at most ...
const LONGEST_GRANTED: Duration = ms(3_000);
/// ... and so much more. What came later than this after word to stop is lost if the kill finds it unanswered.
const GRANTED_BEYOND: Duration = ms(700);
/// New connections are on their way for so long, 0.4 s at most, unless a successor has them.
const STILL_ACCEPTING: Duration = ms(500);
/// A new connection's first request may be on its way for so long; it is not closed before, ...
const FIRST_REQUEST: Duration = ms(500);
/// ... unless what it brings would come too late: so long before that, the last connection has closed.
const SPARE: Duration = ms(50);
/// What is still open is answered so long before the kill, and the process ends with the last writes.
const ANSWERS: Duration = ms(200);
const WRITES: Duration = ms(100);

/// Times after word to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Connections are accepted until then; from then on those that have had a request close once nothing is owed.
    pub accepts: Duration,
    /// Those that have had none close too: nothing more comes in.
    pub silent: Duration,
    /// All that is open is answered.
    pub answers: Duration,
    /// The process ends, whatever is still being written.
    pub end: Duration,
}

impl Plan {
    /// The plan for clients that wait for so long at most, with a successor that accepts beside this process or not.
    pub fn new(longest: Duration, succeeded: bool) -> Plan {
        let killed = longest.min(LONGEST_GRANTED) + GRANTED_BEYOND;
        let accepts = if succeeded { Duration::ZERO } else { STILL_ACCEPTING };
        Plan {
            accepts,
            silent: (accepts + FIRST_REQUEST).min(GRANTED_BEYOND - SPARE),
            answers: killed - ANSWERS,
            end: killed - WRITES,
        }
    }
}

#[cfg(test)]
mod tests;
