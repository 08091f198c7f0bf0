//! How long a suspicion lasts: shorter the more members confirm it independently (Lifeguard).

use crate::Micros;
use crate::member::MemberId;
use crate::settings::Settings;

/// A suspicion of one member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When it began.
    pub since: Micros,
    /// Who suspects the member, the first first.
    pub by: Vec<MemberId>,
    /// Whether a last probe was begun since.
    pub checked: bool,
}

impl Suspicion {
    /// A suspicion by one member.
    pub fn new(since: Micros, by: MemberId) -> Suspicion {
        Suspicion { since, by: vec![by], checked: false }
    }

    /// Another member suspects it too. Whether that was not known, and is worth telling others.
    pub fn confirm(&mut self, by: MemberId, settings: &Settings) -> bool {
        if self.by.contains(&by) || self.by.len() > settings.confirmations {
            return false;
        }
        self.by.push(by);
        true
    }

    /// When it is over, among so many members.
    pub fn ends(&self, members: usize, settings: &Settings) -> Micros {
        self.since.saturating_add(duration(self.by.len() - 1, members, settings))
    }
}

/// How long a suspicion with so many confirmations lasts, among so many members.
fn duration(confirmations: usize, members: usize, settings: &Settings) -> Micros {
    let least = settings.suspicion as f64 * (members.max(1) as f64).log10().max(1.0);
    let most = least * settings.unconfirmed_factor as f64;
    // Fewer than three members have nobody who could confirm.
    let needed = settings.confirmations.min(members.saturating_sub(2)) as f64;
    let part = if needed == 0.0 { 1.0 } else { (confirmations as f64 + 1.0).ln() / (needed + 1.0).ln() };
    (most - (most - least) * part.min(1.0)) as Micros
}
