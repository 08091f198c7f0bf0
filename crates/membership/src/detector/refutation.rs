//! Handling of updates about this node: refutation by a higher incarnation, and conflicts with another process that
//! runs under its name.

use super::{Detector, Event, Output};
use crate::Micros;
use crate::member::Profile;
use crate::message::{Claim, Update};

impl Detector {
    /// Applies an update about this node. A claim that contradicts its state is refuted by a higher incarnation.
    pub(super) fn apply_update_about_self(&mut self, update: Update, now: Micros, out: &mut Vec<Output>) {
        if self.leaving || self.superseded {
            return;
        }
        if let Claim::Failed { by, .. } = update.claim
            && update.incarnation >= self.next_reported_failure
        {
            self.next_reported_failure = update.incarnation + 1;
            out.push(Output::Event(Event::DeclaredFailed { by }));
        }
        if update.incarnation < self.local.incarnation {
            return;
        }
        if let Claim::Alive(profile) = &update.claim {
            let own_instance = self.local.profile.instance;
            if profile.instance == own_instance {
                return;
            }
            // Of two processes that started in the same millisecond, the one with the higher instance keeps the name.
            let started_together = update.incarnation == self.local.incarnation;
            if started_together && profile.instance < own_instance {
                return;
            }
            if started_together || self.is_past_startup_grace(now) {
                return self.yield_name(profile, out);
            }
            // The record is that of this process's predecessor, whose clock was ahead. It is refuted.
        }
        self.local.incarnation = update.incarnation + 1;
        let refutation = self.own_update();
        self.gossip.push(refutation);
    }

    /// Whether this process has run for so long that a record of its name can no longer be its predecessor's.
    fn is_past_startup_grace(&self, now: Micros) -> bool {
        now.saturating_sub(self.started.at) > self.settings.startup_grace
    }

    /// Stops taking part, because a later process runs under this node's name.
    fn yield_name(&mut self, other: &Profile, out: &mut Vec<Output>) {
        self.superseded = true;
        self.probes.clear();
        out.push(Output::Event(Event::NameConflict { address: other.address }));
    }
}
