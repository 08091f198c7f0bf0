//! The members of a cluster: which callers are admitted, and which membership changes are safe. Pure code without I/O.

use std::collections::{BTreeMap, BTreeSet};

use crate::message::{Caller, Introduction};
use crate::raft::MemberId;

/// The members of the cluster, as a replica knows them.
pub type Members = BTreeMap<MemberId, Member>;

/// A member of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The address that the member listens on.
    pub addr: String,
    /// Whether the member is a voter; otherwise it is a learner.
    pub is_voter: bool,
}

/// The reason why a caller is not admitted, or a membership change is not made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembersError {
    /// The caller belongs to another cluster.
    #[error("cluster {theirs:032x} is not ours, which is {ours:032x}")]
    ForeignCluster {
        /// The caller's cluster.
        theirs: u128,
        /// This cluster.
        ours: u128,
    },
    /// There is no member with this id: it was never added, or was removed.
    #[error("{0} is not a member: it was removed, or never added")]
    NotMember(MemberId),
    /// The caller has this member's own id: its disk may be a copy of this member's.
    #[error("{0} is this member's own id: is its disk a copy of this one?")]
    OwnId(MemberId),
    /// The caller's address differs from the one that the members know: its disk may be a copy.
    #[error("member {member} is at {known}, not at {found}: is its disk a copy?")]
    AddressMismatch {
        /// The id that the caller gives.
        member: MemberId,
        /// The address that the members know.
        known: String,
        /// The address that the caller gives.
        found: String,
    },
    /// The id belonged to a member that was removed.
    #[error("member {0} was removed, and ids are not reused: create a new store with a new id")]
    Removed(MemberId),
    /// The new member is already a member.
    #[error("{0} is already a member")]
    AlreadyMember(MemberId),
    /// The new member's address belongs to another member.
    #[error("{addr} is the address of member {member}")]
    AddressInUse {
        /// The new member's address.
        addr: String,
        /// The member that already has this address.
        member: MemberId,
    },
    /// The caller is not a subscriber, and a relay serves only subscribers.
    #[error("this is a relay: it serves subscribers, and nobody else; ask a member")]
    NotServedByRelay,
    /// The member is the last voter.
    #[error("{0} is the last voter and cannot be removed")]
    LastVoter(MemberId),
    /// No quorum of the remaining voters is reachable.
    #[error(
        "only {reachable} of the {voters} remaining voters can be reached, and {quorum} are needed: repair them first, or use --force"
    )]
    QuorumUnreachable {
        /// The number of remaining voters.
        voters: usize,
        /// The number of remaining voters that are reachable.
        reachable: usize,
        /// The number of voters that makes a quorum.
        quorum: usize,
    },
}

/// Checks whether this member admits a caller. A member that doesn't know any members yet admits every member of its
/// cluster, because one of them is the leader that sends it the membership.
///
/// # Errors
/// The reason why the caller is not admitted.
pub fn admit(
    introduction: &Introduction,
    cluster: u128,
    own_id: MemberId,
    members: &Members,
) -> Result<(), MembersError> {
    // A client holds the key of this cluster, so it need not know the cluster's id.
    let any_cluster = introduction.caller == Caller::Client && introduction.cluster == 0;
    if introduction.cluster != cluster && !any_cluster {
        return Err(MembersError::ForeignCluster { theirs: introduction.cluster, ours: cluster });
    }
    let Caller::Member(member) = introduction.caller else { return Ok(()) };
    if member == own_id {
        return Err(MembersError::OwnId(own_id));
    }
    match members.get(&member) {
        _ if members.is_empty() => Ok(()),
        None => Err(MembersError::NotMember(member)),
        Some(known) if known.addr != introduction.addr => {
            let (known, found) = (known.addr.clone(), introduction.addr.clone());
            Err(MembersError::AddressMismatch { member, known, found })
        }
        Some(_) => Ok(()),
    }
}

/// Checks whether a member may be added.
///
/// # Errors
/// The reason why it may not be added.
pub fn check_add(
    member: MemberId,
    addr: &str,
    members: &Members,
    removed: &BTreeSet<MemberId>,
) -> Result<(), MembersError> {
    if removed.contains(&member) {
        return Err(MembersError::Removed(member));
    }
    if members.get(&member).is_some_and(|known| known.is_voter || known.addr != addr) {
        return Err(MembersError::AlreadyMember(member));
    }
    match members.iter().find(|(other, known)| **other != member && known.addr == addr) {
        Some((&member, _)) => Err(MembersError::AddressInUse { addr: addr.into(), member }),
        None => Ok(()),
    }
}

/// Checks whether a member may be removed: unless `force` is set, a quorum of the remaining voters must be reachable.
///
/// # Errors
/// The reason why it may not be removed.
pub fn check_remove(
    member: MemberId,
    members: &Members,
    is_reachable: impl Fn(MemberId) -> bool,
    force: bool,
) -> Result<(), MembersError> {
    if !members.contains_key(&member) {
        return Err(MembersError::NotMember(member));
    }
    let remaining = members.iter().filter(|(id, known)| **id != member && known.is_voter);
    let voters: Vec<MemberId> = remaining.map(|(&id, _)| id).collect();
    if voters.is_empty() {
        return Err(MembersError::LastVoter(member));
    }
    let quorum = voters.len() / 2 + 1;
    let reachable = voters.iter().filter(|&&id| is_reachable(id)).count();
    if reachable < quorum && !force {
        return Err(MembersError::QuorumUnreachable { voters: voters.len(), reachable, quorum });
    }
    Ok(())
}
