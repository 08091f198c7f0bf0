//! Updates that wait to be sent: each a bounded number of times, the least sent first.

use std::collections::HashMap;

use crate::member::MemberId;
use crate::message::{Claim, Update};

/// Sorts a member's updates: a newer one of the same kind replaces the older, and suspicions of several members
/// go on beside each other.
type Subject = (MemberId, Option<MemberId>);

#[derive(Debug)]
struct Queued {
    update: Update,
    sent: u32,
    /// Later ones first among those sent equally often.
    order: u64,
}

/// Updates that wait to be sent.
#[derive(Debug, Default)]
pub struct Gossip {
    queue: HashMap<Subject, Queued>,
    order: u64,
}

impl Gossip {
    /// Queues an update in place of what it outdates.
    pub fn push(&mut self, update: Update) {
        let suspect_by = match update.claim {
            Claim::Suspect { by } => Some(by),
            _ => None,
        };
        if suspect_by.is_none() {
            self.queue.retain(|(id, _), _| *id != update.id);
        }
        self.order += 1;
        self.queue.insert((update.id, suspect_by), Queued { update, sent: 0, order: self.order });
    }

    /// Whether there is anything to send.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Up to so many updates, for one message; each is dropped after so many.
    pub fn take(&mut self, most: usize, transmissions: u32) -> Vec<Update> {
        let mut least: Vec<(u32, u64, Subject)> =
            self.queue.iter().map(|(subject, q)| (q.sent, u64::MAX - q.order, *subject)).collect();
        if least.len() > most {
            least.select_nth_unstable(most);
            least.truncate(most);
        }
        least.sort_unstable();
        let mut taken = Vec::with_capacity(least.len());
        for (_, _, subject) in least {
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
