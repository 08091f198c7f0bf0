//! When discovery is called and for how long an answer is waited for: a plan without I/O and without a clock.
//!
//! What discovery has to tell must reach the node 6 s after discovery had it and could be reached ([`TOLD`]), whatever
//! became of the call that was out. The plan adds up to less than that by design: two calls begin [`SPACING`] apart at
//! most, pause, connect, queue and answer of the first counted in, and the second is answered within [`LIMIT`]. A watch
//! that falls silent is the first of the two, and has its wait and [`LATE`].
//!
//! Discovery is shared by all nodes and answers in turn. What it bears grows with them as far as a node can know, so
//! that the pauses spread the calls of all nodes over the time that there is, with full jitter, and a watch waits for
//! as long as the clock allows, or for longer where discovery is asked or shows that it is crowded.

use std::time::Duration;

use crate::message::DiscoverySettings;

/// What discovery has counts as told so long after it could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// Two calls begin no farther apart than this, if the first fails and is no watch that was long open.
const SPACING: Duration = Duration::from_millis(3_500);
/// A call that waits for no news is given up after this, connect and queue counted in. Guards against: calls that are
/// given up shortly before their turn, so that discovery works for nobody. It lets them wait 2 s or so.
const LIMIT: Duration = Duration::from_millis(2_200);
/// How much longer than its wait a watch may take.
const LATE: Duration = Duration::from_secs(1);
/// A connection that is not up after so long will not come up.
pub const CONNECT: Duration = Duration::from_secs(1);
/// The rest of an answer that has begun. Guards against: an answer that stalls in its body, held as long as the watch.
pub const BODY: Duration = Duration::from_millis(1_500);

/// How long a watch waits for news where lists are pushed. Guards against: a discovery that has fallen silent and is
/// believed to have no news for long.
const WAIT: Duration = Duration::from_secs(2);
/// Where discovery shows that it is crowded a watch waits for up to so long, and where it is asked.
const LONGEST_WAIT: Duration = Duration::from_secs(20);
/// An answer so much later than its wait, without news, shows that calls queue.
const CROWDED: Duration = Duration::from_millis(750);

/// The first of the pauses after failed calls, for so many nodes: more nodes call more rarely, since all of them may
/// have been turned away at once.
const PAUSE: Duration = Duration::from_millis(600);
/// The same after a silence, whose news count as told soon: it is called again for what was missed.
const MISSED: Duration = Duration::from_millis(200);
const NODES_A_PAUSE: usize = 8;
/// From so many times that on it is the spacing that holds.
const LONGEST_PAUSES: usize = 8;

/// Where a watch has fallen silent, its news count as told 6 s after that, or 2 s after its wait is over: by then
/// it is opened anew, and pushed lists have 0.3 s to spare.
const _: () = {
    let margin = 300;
    assert!(SPACING.as_millis() + LIMIT.as_millis() + margin <= TOLD.as_millis());
    assert!(WAIT.as_millis() + LATE.as_millis() + LIMIT.as_millis() + margin <= TOLD.as_millis());
    assert!(BODY.as_millis() + LIMIT.as_millis() + margin <= TOLD.as_millis());
    assert!(LIMIT.as_millis() < SPACING.as_millis() && CONNECT.as_millis() < LIMIT.as_millis());
};

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// It begins so long after the last one has ended.
    pub pause: Duration,
    /// It waits for news so long; zero: it asks for what is new already.
    pub wait: Duration,
    /// It is given up so long after it began.
    pub limit: Duration,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a list, or with no news.
    Answered,
    /// Discovery turned it away.
    Refused,
    /// It could not be made, broke off, or brought what can't be read.
    Broken,
    /// Nothing came, or nothing more: it was given up.
    Silent,
}

/// Plans the calls of one node.
#[derive(Debug)]
pub struct Pace {
    /// Calls that failed in a row.
    failed: u32,
    /// How much of the spacing the last call has used up.
    spent: Duration,
    /// Whether the next call waits for no news.
    at_once: bool,
    /// Whether a call has met silence or discovery has moved, and what was missed is not yet known.
    missed: bool,
    /// For how long a watch waits where lists are pushed.
    wait: Duration,
}

impl Pace {
    /// A plan whose first call asks for what is new already, or opens a watch at once.
    pub fn new(at_once: bool) -> Pace {
        Pace { failed: 0, spent: Duration::ZERO, at_once, missed: false, wait: WAIT }
    }

    /// Calls that failed in a row.
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Discovery has moved: it is called there at once, for what is new, which counts as told 4 s later.
    pub fn moved(&mut self) {
        *self = Pace { wait: self.wait, missed: true, ..Pace::new(true) };
    }

    /// The next call asks for what there is already.
    pub fn ask_at_once(&mut self) {
        self.at_once = true;
    }

    /// The next call. The same state and the same random numbers give the same call.
    pub fn next(&self, following: DiscoverySettings, rng: &mut fastrand::Rng) -> Call {
        let pause = self.longest_pause(following).mul_f64(rng.f64());
        if self.at_once {
            return Call { pause, wait: Duration::ZERO, limit: LIMIT };
        }
        let wait = self.longest_wait(following, rng.f64());
        Call { pause, wait, limit: wait + LATE }
    }

    /// Nothing after an answer. Doubles with each failure, and leaves of the spacing what the failed call has not used up.
    fn longest_pause(&self, following: DiscoverySettings) -> Duration {
        // After an answer the next watch is opened at once. Guards against: a queue of watches put off till later, in which
        // stand those that go on, and whose news count as told meanwhile.
        let Some(doubled) = self.failed.checked_sub(1) else { return Duration::ZERO };
        let shares = (following.node_count / NODES_A_PAUSE).clamp(1, LONGEST_PAUSES) as u32;
        let first = if self.missed { MISSED } else { PAUSE * shares };
        let most = first.saturating_mul(1 << doubled.min(8));
        most.min(SPACING.saturating_sub(self.spent))
    }

    /// How long a watch waits for news; `roll` is 0 to 1.
    ///
    /// Guards against: a discovery that is asked again and again for nothing, so that its callers queue and what is
    /// new reaches them late. Where it is asked, it has to bear that each node asks as often as the settings state:
    /// a watch waits for longer than that. It waits for a random time, so that nodes whose watches fall silent
    /// together don't all come back at once.
    fn longest_wait(&self, following: DiscoverySettings, roll: f64) -> Duration {
        if following.watch {
            let least = following.max_poll_interval.clamp(WAIT / 2, LONGEST_WAIT / 2);
            return least + least.mul_f64(roll);
        }
        self.wait
    }

    /// A call has ended, so long after it began.
    pub fn ended(&mut self, call: Call, end: End, took: Duration) {
        if end == End::Answered {
            *self = Pace { wait: self.wait, ..Pace::new(false) };
            // News before the wait is over tells nothing of a queue.
            if !call.wait.is_zero() && took >= call.wait {
                self.stretch(took - call.wait > CROWDED);
            }
            return;
        }
        self.failed = self.failed.saturating_add(1);
        // Guards against: a second silence, held for as long as a watch. A discovery that speaks is asked only once.
        self.missed |= end == End::Silent;
        self.at_once |= self.missed;
        // A watch that was long open and broke has used up nothing: all nodes' may have, at once.
        self.spent = if end == End::Silent || took < SPACING { took } else { Duration::ZERO };
        if end == End::Refused {
            self.stretch(true);
        }
    }

    /// Guards against: watches that are too short for what a discovery bears, so that its callers queue.
    fn stretch(&mut self, crowded: bool) {
        self.wait = match crowded {
            true => (self.wait * 2).min(LONGEST_WAIT),
            false => self.wait.mul_f64(0.75).max(WAIT),
        };
    }
}
