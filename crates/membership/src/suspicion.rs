//! Suspicions and their timeouts, which get shorter the more members confirm a suspicion independently (Lifeguard).

use crate::Micros;
use crate::member::MemberId;
use crate::settings::Settings;

/// A suspicion of one member.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When the suspicion began, or was last restarted.
    pub(crate) since: Micros,
    /// The members that hold the suspicion, in the order in which this node learned of their suspicions.
    pub(crate) by: Vec<MemberId>,
    /// Whether the confirming probe has begun.
    pub(crate) confirming: bool,
}

impl Suspicion {
    /// A new suspicion by one member.
    pub(crate) fn new(since: Micros, by: MemberId) -> Suspicion {
        Suspicion { since, by: vec![by], confirming: false }
    }

    /// Records that another member suspects the same one; returns whether that is new and should be gossiped.
    pub(crate) fn confirm(&mut self, by: MemberId, settings: &Settings) -> bool {
        if self.by.contains(&by) || self.by.len() > settings.confirmations {
            return false;
        }
        self.by.push(by);
        true
    }

    /// Restarts the timeout, after which another confirming probe is sent. The confirmations stay.
    pub(crate) fn restart(&mut self, now: Micros) {
        self.since = now;
        self.confirming = false;
    }

    /// When the suspicion expires in a cluster of this size.
    pub(crate) fn expires_at(&self, cluster_size: usize, settings: &Settings) -> Micros {
        self.since.saturating_add(timeout(self.by.len() - 1, cluster_size, settings))
    }
}

/// The timeout of a suspicion with so many confirmations. It falls from the maximum to the minimum with the logarithm
/// of the number of confirmations.
fn timeout(confirmations: usize, cluster_size: usize, settings: &Settings) -> Micros {
    let min = settings.min_suspicion as f64 * (cluster_size.max(1) as f64).log10().max(1.0);
    let max = min * settings.max_suspicion_multiplier as f64;
    // All members can confirm except the suspect and the member whose suspicion is confirmed.
    let needed = settings.confirmations.min(cluster_size.saturating_sub(2)) as f64;
    let progress = if needed == 0.0 { 1.0 } else { (confirmations as f64 + 1.0).ln() / (needed + 1.0).ln() };
    (max - (max - min) * progress.min(1.0)) as Micros
}
