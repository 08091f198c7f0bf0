//! The gossip queue: updates that wait to be sent, each a bounded number of times, the least sent first.

use std::collections::HashMap;

use crate::member::MemberId;
use crate::message::{Claim, Update};

/// What a queued update is about. A newer update with the same subject replaces the older one; suspicions by several
/// members are separate subjects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Subject {
    member: MemberId,
    suspected_by: Option<MemberId>,
}

/// An update in the queue.
#[derive(Debug)]
struct QueuedUpdate {
    update: Update,
    /// How often it was sent.
    sent: u32,
    /// The position in the order in which updates were queued.
    arrival: u64,
}

/// Updates that wait to be gossiped.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    queue: HashMap<Subject, QueuedUpdate>,
    /// How many updates were queued so far.
    arrivals: u64,
}

impl GossipQueue {
    /// Queues an update and drops the updates that it makes obsolete.
    pub(crate) fn push(&mut self, update: Update) {
        let suspected_by = match update.claim {
            Claim::Suspect { by } => Some(by),
            _ => None,
        };
        if suspected_by.is_none() {
            self.queue.retain(|subject, _| subject.member != update.id);
        }
        self.arrivals += 1;
        let subject = Subject { member: update.id, suspected_by };
        self.queue.insert(subject, QueuedUpdate { update, sent: 0, arrival: self.arrivals });
    }

    /// Whether there is nothing to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes at most `max` updates for one message: those sent least often, and among equals the latest. An update is
    /// dropped once it was taken `transmissions` times.
    pub(crate) fn take(&mut self, max: usize, transmissions: u32) -> Vec<Update> {
        let mut candidates: Vec<(u32, u64, Subject)> = self
            .queue
            .iter()
            .map(|(subject, queued)| (queued.sent, u64::MAX - queued.arrival, *subject))
            .collect();
        if candidates.len() > max {
            candidates.select_nth_unstable(max);
            candidates.truncate(max);
        }
        candidates.sort_unstable();
        let mut taken = Vec::with_capacity(candidates.len());
        for (_, _, subject) in candidates {
            let Some(queued) = self.queue.get_mut(&subject) else { continue };
            taken.push(queued.update.clone());
            queued.sent += 1;
            if queued.sent >= transmissions {
                self.queue.remove(&subject);
            }
        }
        taken
    }
}
