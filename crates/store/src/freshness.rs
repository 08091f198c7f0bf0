//! Which list and which configuration a node may act on: pure, with every time told.
//!
//! Two rules: no node ever acts on a list older than the last one it knows to be committed, nor on a configuration
//! older than one it has acted on. And one promise: who starts asks the others first, within a bound.

/// A point in time or a duration, in milliseconds.
pub type Millis = u64;

/// What a node knows of how fresh it is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Freshness {
    /// The latest list known to be committed, and the latest acted on; 0 for none.
    list: u64,
    acted: u64,
    /// The latest configuration acted on.
    config: u64,
    /// Until when the start waits for the others.
    until: Millis,
    /// When the others last confirmed what is committed, by the time the question was asked.
    confirmed: Option<Millis>,
    started: Millis,
    /// The entry up to which all must be applied before the start counts as confirmed.
    wanted: Option<(u64, Millis)>,
}

/// Whether something may be acted on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may; it is newer than what was acted on before.
    Act,
    /// It is what is acted on already.
    Same,
    /// A newer one is known.
    Old {
        /// That one.
        known: u64,
    },
}

impl Freshness {
    /// A node that starts now, and whose disk tells this list to be committed. It waits for others up to `bound`.
    pub fn new(now: Millis, bound: Millis, list: u64) -> Freshness {
        Freshness {
            list,
            acted: 0,
            config: 0,
            until: now.saturating_add(bound),
            confirmed: None,
            started: now,
            wanted: None,
        }
    }

    /// A list was committed, as the store tells it.
    pub fn list_committed(&mut self, version: u64) {
        self.list = self.list.max(version);
    }

    /// Whether a list may be acted on; from then on it is. It may come from the store or from discovery, which may
    /// know a newer one than is committed.
    pub fn list(&mut self, version: u64) -> Verdict {
        let known = self.list.max(self.acted);
        if version < known {
            return Verdict::Old { known };
        }
        let same = version == self.acted;
        self.acted = version;
        if same { Verdict::Same } else { Verdict::Act }
    }

    /// Whether a configuration may be acted on; from then on it is.
    pub fn config(&mut self, revision: u64) -> Verdict {
        if revision < self.config {
            return Verdict::Old { known: self.config };
        }
        let same = revision == self.config;
        self.config = revision;
        if same { Verdict::Same } else { Verdict::Act }
    }

    /// The others told up to which entry all is committed, for a question that was asked at this time.
    pub fn answered(&mut self, asked: Millis, index: u64) {
        self.wanted = Some(match self.wanted {
            Some((before, at)) => (before.max(index), at.max(asked)),
            None => (index, asked),
        });
    }

    /// Everything up to this entry is applied here.
    pub fn applied(&mut self, index: u64) {
        if let Some((wanted, asked)) = self.wanted
            && index >= wanted
        {
            self.confirmed = self.confirmed.max(Some(asked));
            self.wanted = None;
        }
    }

    /// Whether the start is over: confirmed by the others, or waited for long enough.
    pub fn ready(&self, now: Millis) -> bool {
        self.confirmed.is_some() || now >= self.until
    }

    /// For how long nobody has confirmed what this node goes by. A clock that went back counts as no time.
    pub fn stale_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.confirmed.unwrap_or(self.started))
    }

    /// Whether the others have confirmed it since the start.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.is_some()
    }

    /// The latest list acted on and the latest configuration.
    pub fn acted(&self) -> (u64, u64) {
        (self.acted, self.config)
    }
}
