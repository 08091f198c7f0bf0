//! Figures of the membership, shown where it is on.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

use stonefold_membership::{CodecError, Counters, Member, Reachability, State};

use crate::metrics::Figure;

/// The reasons for which datagrams are refused, as they are labelled.
const REASONS: [&str; 8] = ["short", "long", "version", "cluster", "key", "mac", "malformed", "name"];
const STATES: [&str; 5] = ["alive", "suspect", "failed", "left", "unreachable"];

/// Figures of the membership.
#[derive(Debug, Default)]
pub struct MembershipFigures {
    /// Datagrams that could not be sent.
    pub send_errors: Figure,
    /// Failed reads of the socket.
    pub receive_errors: Figure,
    members: [AtomicU64; STATES.len()],
    refused: [AtomicU64; REASONS.len()],
    /// Messages and claims that were dropped: repeated, far future, stale, members full.
    dropped: [AtomicU64; 4],
    datagrams: [AtomicU64; 2],
    bytes: [AtomicU64; 2],
}

impl MembershipFigures {
    /// A datagram went out.
    pub fn sent(&self, bytes: usize) {
        self.transferred(0, bytes);
    }

    /// A datagram came in.
    pub fn received(&self, bytes: usize) {
        self.transferred(1, bytes);
    }

    fn transferred(&self, direction: usize, bytes: usize) {
        self.datagrams[direction].fetch_add(1, Ordering::Relaxed);
        self.bytes[direction].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// A datagram was refused.
    pub fn refused(&self, error: CodecError) {
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
        self.refused[reason].fetch_add(1, Ordering::Relaxed);
    }

    /// What the detector has dropped so far.
    pub fn dropped(&self, counters: Counters) {
        let Counters { replayed, far_future, stale, members_full, .. } = counters;
        for (figure, value) in self.dropped.iter().zip([replayed, far_future, stale, members_full]) {
            figure.store(value, Ordering::Relaxed);
        }
    }

    /// Counts the members anew.
    pub fn count<'a>(&self, members: impl Iterator<Item = &'a Member>) {
        let mut counts = [0; STATES.len()];
        for member in members {
            let state = match member.state {
                State::Alive => 0,
                State::Suspect => 1,
                State::Failed => 2,
                State::Left => 3,
            };
            counts[state] += 1;
            let lives = matches!(member.state, State::Alive | State::Suspect);
            counts[4] += u64::from(lives && member.reachability == Reachability::IndirectOnly);
        }
        for (figure, count) in self.members.iter().zip(counts) {
            figure.store(count, Ordering::Relaxed);
        }
    }

    /// Appends the figures in the form of Prometheus. Writing to a string can't fail.
    pub fn text(&self, text: &mut String) {
        rows(text, "svc_members", "gauge", "state", &STATES, &self.members);
        rows(text, "svc_membership_refused_total", "counter", "reason", &REASONS, &self.refused);
        let reasons = ["repeated", "far_future", "stale", "members_full"];
        rows(text, "svc_membership_dropped_total", "counter", "reason", &reasons, &self.dropped);
        let directions = ["out", "in"];
        rows(text, "svc_membership_datagrams_total", "counter", "direction", &directions, &self.datagrams);
        rows(text, "svc_membership_bytes_total", "counter", "direction", &directions, &self.bytes);
        for (name, figure) in [
            ("svc_membership_send_errors_total", &self.send_errors),
            ("svc_membership_receive_errors_total", &self.receive_errors),
        ] {
            let _ = writeln!(text, "# TYPE {name} counter\n{name} {}", figure.get());
        }
    }
}

fn rows(text: &mut String, name: &str, kind: &str, label: &str, values: &[&str], figures: &[AtomicU64]) {
    let _ = writeln!(text, "# TYPE {name} {kind}");
    for (value, figure) in values.iter().zip(figures) {
        let _ = writeln!(text, "{name}{{{label}=\"{value}\"}} {}", figure.load(Ordering::Relaxed));
    }
}
