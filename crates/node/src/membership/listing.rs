//! Formats the members as text for operators.

use std::iter;

use stonefold_membership::{Detector, Member, Micros, Profile, Reachability, State};

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Formats one line for each member: this node first, the others sorted by name.
pub(super) fn list(detector: &Detector, now: Micros) -> String {
    let mut members: Vec<&Member> = detector.members().map(|(_, member)| member).collect();
    members.sort_by(|a, b| a.profile.name.cmp(&b.profile.name));
    let all = iter::once(detector.local_member()).chain(members);
    all.map(|member| line(member, now)).collect()
}

fn line(member: &Member, now: Micros) -> String {
    let state = match member.state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Failed => "failed",
        State::Left => "left",
    };
    let Profile { name, address, .. } = &member.profile;
    let seconds = now.saturating_sub(member.since) as f64 / MICROS_PER_SECOND;
    let reach = reachability_label(member.reachability);
    let incarnation = member.incarnation;
    format!("{name} {state} incarnation={incarnation} for_s={seconds:.1} reach={reach} at={address}\n")
}

/// The text for a reachability in operators' output and in the log.
pub(super) fn reachability_label(reachability: Reachability) -> &'static str {
    match reachability {
        Reachability::Unknown => "untried",
        Reachability::Direct => "direct",
        Reachability::IndirectOnly => "others-only",
    }
}

#[cfg(test)]
mod tests;
