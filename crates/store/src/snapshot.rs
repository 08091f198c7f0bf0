//! The sealed (checksummed and versioned) form of a snapshot.

use serde::Deserialize;

use crate::applied::AppliedState;
use crate::change_index::ChangeIndex;
use crate::codec::{self, CodecError};
use crate::raft::{LogId, StoredMembership};
use crate::state::State;

/// The largest snapshot that is accepted, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

/// The name of a snapshot in error messages.
pub(crate) const SNAPSHOT_LABEL: &str = "a snapshot";

/// The older form of a snapshot, from before subscribers existed: it lacks the [`ChangeIndex`] at the end.
#[derive(Deserialize)]
struct WithoutChangeIndex {
    last: Option<LogId>,
    members: StoredMembership,
    state: State,
}

impl From<WithoutChangeIndex> for AppliedState {
    fn from(WithoutChangeIndex { last, members, state }: WithoutChangeIndex) -> AppliedState {
        let changes = ChangeIndex::changed_at(last.map_or(0, |last| last.index), &state);
        AppliedState { last, members, state, changes }
    }
}

/// Seals a snapshot of an applied state.
///
/// # Errors
/// As [`codec::seal`].
pub fn seal_snapshot(applied: &AppliedState) -> Result<Vec<u8>, CodecError> {
    codec::seal(SNAPSHOT_LABEL, applied)
}

/// Reads a sealed snapshot.
///
/// # Errors
/// If it is damaged, truncated, or of another version.
pub fn open_snapshot(sealed: &[u8]) -> Result<AppliedState, CodecError> {
    codec::unseal(SNAPSHOT_LABEL, sealed).or_else(|error| {
        codec::unseal::<WithoutChangeIndex>(SNAPSHOT_LABEL, sealed).map(AppliedState::from).map_err(|_| error)
    })
}
