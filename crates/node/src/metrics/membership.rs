//! Metrics of the membership, shown if it is enabled.

use stonefold_membership::{CodecError, DropCounters, Member, Reachability, State};

use super::prometheus::{write_labelled, write_value};
use crate::counter::Counter;

/// Values of the label `state`. The last counts the live members that don't answer this node directly.
const STATES: [&str; 5] = ["alive", "suspect", "failed", "left", "unreachable"];
/// Values of the label `reason` of rejected datagrams.
const REJECTION_REASONS: [&str; 8] =
    ["short", "long", "version", "cluster", "key", "mac", "malformed", "name"];
/// Values of the label `reason` of dropped messages and claims.
const DROP_REASONS: [&str; 4] = ["repeated", "far_future", "stale", "members_full"];
/// Values of the label `direction`.
const DIRECTIONS: [&str; 2] = ["out", "in"];

/// The direction of a datagram; its discriminant is the index in [`DIRECTIONS`].
#[derive(Clone, Copy)]
enum Direction {
    Sent,
    Received,
}

/// Metrics of the membership.
#[derive(Debug, Default)]
pub(crate) struct MembershipMetrics {
    /// Datagrams that could not be sent.
    pub(crate) send_errors: Counter,
    /// Failed reads from the socket.
    pub(crate) receive_errors: Counter,
    members: [Counter; STATES.len()],
    rejected: [Counter; REJECTION_REASONS.len()],
    dropped: [Counter; DROP_REASONS.len()],
    datagrams: [Counter; DIRECTIONS.len()],
    bytes: [Counter; DIRECTIONS.len()],
}

impl MembershipMetrics {
    /// Counts a sent datagram and its bytes.
    pub(crate) fn record_sent(&self, bytes: usize) {
        self.record_datagram(Direction::Sent, bytes);
    }

    /// Counts a received datagram and its bytes.
    pub(crate) fn record_received(&self, bytes: usize) {
        self.record_datagram(Direction::Received, bytes);
    }

    fn record_datagram(&self, direction: Direction, bytes: usize) {
        self.datagrams[direction as usize].increment();
        self.bytes[direction as usize].add(bytes as u64);
    }

    /// Counts a rejected datagram.
    pub(crate) fn record_rejected(&self, error: CodecError) {
        let reason = match error {
            CodecError::TooShort => 0,
            CodecError::TooLong => 1,
            CodecError::UnknownVersion => 2,
            CodecError::WrongCluster => 3,
            CodecError::UnknownKey => 4,
            CodecError::BadMac => 5,
            CodecError::Malformed => 6,
            CodecError::BadName => 7,
        };
        self.rejected[reason].increment();
    }

    /// Copies the counts of messages and claims that the detector has dropped so far.
    pub(crate) fn set_dropped(&self, counters: DropCounters) {
        let DropCounters { replayed, far_future, stale, members_full, .. } = counters;
        for (counter, value) in self.dropped.iter().zip([replayed, far_future, stale, members_full]) {
            counter.set(value);
        }
    }

    /// Replaces the counts of members by those of `members`.
    pub(crate) fn set_members<'a>(&self, members: impl Iterator<Item = &'a Member>) {
        let mut counts = [0; STATES.len()];
        for member in members {
            let state = match member.state {
                State::Alive => 0,
                State::Suspect => 1,
                State::Failed => 2,
                State::Left => 3,
            };
            counts[state] += 1;
            let live = matches!(member.state, State::Alive | State::Suspect);
            counts[4] += u64::from(live && member.reachability == Reachability::IndirectOnly);
        }
        for (counter, count) in self.members.iter().zip(counts) {
            counter.set(count);
        }
    }

    /// Appends the metrics.
    pub(super) fn write(&self, text: &mut String) {
        let rejected = rows(&REJECTION_REASONS, &self.rejected);
        write_labelled(text, "svc_members", "gauge", "state", rows(&STATES, &self.members));
        write_labelled(text, "svc_membership_refused_total", "counter", "reason", rejected);
        let dropped = rows(&DROP_REASONS, &self.dropped);
        write_labelled(text, "svc_membership_dropped_total", "counter", "reason", dropped);
        let datagrams = rows(&DIRECTIONS, &self.datagrams);
        write_labelled(text, "svc_membership_datagrams_total", "counter", "direction", datagrams);
        let bytes = rows(&DIRECTIONS, &self.bytes);
        write_labelled(text, "svc_membership_bytes_total", "counter", "direction", bytes);
        write_value(text, "svc_membership_send_errors_total", "counter", self.send_errors.get());
        write_value(text, "svc_membership_receive_errors_total", "counter", self.receive_errors.get());
    }
}

fn rows<'a>(labels: &'a [&'a str], counters: &'a [Counter]) -> impl Iterator<Item = (&'a str, &'a Counter)> {
    labels.iter().copied().zip(counters)
}
