//! Logs the detector's events.

use stonefold_membership::{Detector, Event, MemberId, Micros};
use tracing::{info, warn};

use super::listing::reachability_label;

/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Logs one event.
pub(super) fn log_event(detector: &Detector, event: &Event) {
    match event {
        Event::Joined { name } => info!(event = "member_joined", member = name, "a node has joined"),
        Event::Suspected { name, by } => {
            let by = name_of(detector, *by);
            info!(event = "member_suspected", member = name, by, "a node did not answer a probe");
        }
        Event::Refuted { name } => info!(event = "member_refuted", member = name, "a suspicion has ended"),
        Event::Failed { name, suspected_by } => {
            let names: Vec<String> = suspected_by.iter().map(|id| name_of(detector, *id)).collect();
            let suspected_by = names.join(",");
            warn!(
                event = "member_failed",
                member = name,
                suspected_by,
                "a node has failed: it did not refute its suspicion"
            );
        }
        Event::Returned { name } => {
            info!(event = "member_returned", member = name, "a failed or left node is back");
        }
        Event::Restarted { name } => {
            info!(event = "member_restarted", member = name, "a node runs in a new process");
        }
        Event::Left { name } => info!(event = "member_left", member = name, "a node has left"),
        Event::ReachabilityChanged { name, reachability } => {
            let reach = reachability_label(*reachability);
            warn!(
                event = "member_reachability_changed",
                member = name,
                reach,
                "a node's reachability from this node has changed"
            );
        }
        Event::Reaped { name } => {
            info!(event = "member_reaped", member = name, "a failed or left node is no longer listed");
        }
        Event::DeclaredFailed { by } => {
            let by = name_of(detector, *by);
            warn!(event = "declared_failed", by, "this node was declared failed and has refuted that");
        }
        Event::Paused { duration } => {
            let ms = duration / MICROS_PER_MILLISECOND;
            warn!(
                event = "process_paused",
                ms,
                "this process was paused or its timers were late; answers missing in that time cause no suspicion"
            );
        }
        Event::NameConflict { address } => {
            let name = &detector.local_member().profile.name;
            warn!(event = "name_conflict", name, other = %address,
                "a later process runs under this node's name; this one no longer takes part in the membership");
        }
    }
}

/// A member's name, or its id if it is not known.
fn name_of(detector: &Detector, id: MemberId) -> String {
    match detector.member(id) {
        Some(member) => member.profile.name.clone(),
        None if id == MemberId::of(&detector.local_member().profile.name) => "this node".into(),
        None => id.to_string(),
    }
}
