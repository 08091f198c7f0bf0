//! The sealed form of a snapshot.

use serde::Deserialize;

use crate::applied::AppliedState;
use crate::change_index::ChangeIndex;
use crate::codec::{self, CodecError};
use crate::raft::{LogId, StoredMembership};
use crate::state::State;

/// The largest snapshot that is accepted, in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

/// What errors call a snapshot.
pub(crate) const SNAPSHOT: &str = "a snapshot";

/// The form of snapshots from before subscribers existed: it ends where the [`ChangeIndex`] would begin.
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
    codec::seal(SNAPSHOT, applied)
}

/// Reads a sealed snapshot.
///
/// # Errors
/// If it is damaged, cut short, or of another version.
pub fn open_snapshot(sealed: &[u8]) -> Result<AppliedState, CodecError> {
    codec::unseal(SNAPSHOT, sealed).or_else(|error| {
        codec::unseal::<WithoutChangeIndex>(SNAPSHOT, sealed).map(AppliedState::from).map_err(|_| error)
    })
}
