//! Who belongs, and which changes of members are safe: pure.

use std::collections::{BTreeMap, BTreeSet};

use crate::engine::MemberId;
use crate::message::Party;

/// The members as a replica knows them: where each listens, and whether it votes.
pub type Members = BTreeMap<MemberId, Member>;

/// A member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Where it listens.
    pub addr: String,
    /// Whether it votes.
    pub votes: bool,
}

/// Why somebody is not heard, or a change of members not made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MembersError {
    /// It belongs to another cluster.
    #[error("cluster {theirs:032x} is not ours, {ours:032x}")]
    Stranger {
        /// Its cluster.
        theirs: u128,
        /// This one.
        ours: u128,
    },
    /// It was never a member, or was removed.
    #[error("{0} is not a member: it was removed, or never added")]
    NotMember(MemberId),
    /// It says that it is this very member: its disk is a copy.
    #[error("{0} is this member's own id: is its disk a copy of this one?")]
    Myself(MemberId),
    /// It is at another place than the members know: its disk may be a copy.
    #[error("member {member} is at {known}, not at {found}: is its disk a copy?")]
    Elsewhere {
        /// The member.
        member: MemberId,
        /// Where it is known to be.
        known: String,
        /// Where it says it is.
        found: String,
    },
    /// Its id was another's, or its own before it was removed.
    #[error("{0} was removed, and no id is given twice: make a new store under a new id")]
    Removed(MemberId),
    /// It is a member already.
    #[error("{0} is a member already")]
    Known(MemberId),
    /// The address is another member's.
    #[error("{addr} is the address of member {member}")]
    Taken {
        /// The address.
        addr: String,
        /// Whose it is.
        member: MemberId,
    },
    /// It asks a relay what only a member answers.
    #[error("this is a relay: it serves subscribers, and nobody else; ask a member")]
    Relay,
    /// The last one.
    #[error("{0} is the last member that votes")]
    Last(MemberId),
    /// Too few of those who would be left can be reached.
    #[error(
        "of the {voters} that would vote only {reachable} can be reached, and {needed} are needed: mend them first, or use --force"
    )]
    Unsafe {
        /// Who would vote.
        voters: usize,
        /// Those of them within reach.
        reachable: usize,
        /// How many it takes.
        needed: usize,
    },
}

/// Who says hello.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello<'a> {
    /// Its cluster.
    pub cluster: u128,
    /// Who it is.
    pub party: Party,
    /// Where it says that it listens; of a client nothing.
    pub addr: &'a str,
}

/// Whether whoever says hello is heard by this member. A member that doesn't know any others yet hears all that
/// belong to its cluster: one of them leads, and tells it who belongs.
///
/// # Errors
/// Why it is not.
pub fn admit(hello: &Hello, cluster: u128, me: MemberId, members: &Members) -> Result<(), MembersError> {
    // Whoever has the key may ask the one cluster that is there, without naming it.
    let unnamed = hello.party == Party::Client && hello.cluster == 0;
    if hello.cluster != cluster && !unnamed {
        return Err(MembersError::Stranger { theirs: hello.cluster, ours: cluster });
    }
    let Party::Member(member) = hello.party else { return Ok(()) };
    if member == me {
        return Err(MembersError::Myself(me));
    }
    match members.get(&member) {
        _ if members.is_empty() => Ok(()),
        None => Err(MembersError::NotMember(member)),
        Some(known) if known.addr != hello.addr => {
            Err(MembersError::Elsewhere { member, known: known.addr.clone(), found: hello.addr.into() })
        }
        Some(_) => Ok(()),
    }
}

/// Whether a member may be added.
///
/// # Errors
/// Why not.
pub fn may_add(
    member: MemberId,
    addr: &str,
    members: &Members,
    removed: &BTreeSet<MemberId>,
) -> Result<(), MembersError> {
    if removed.contains(&member) {
        return Err(MembersError::Removed(member));
    }
    if members.get(&member).is_some_and(|known| known.votes || known.addr != addr) {
        return Err(MembersError::Known(member));
    }
    match members.iter().find(|(other, known)| **other != member && known.addr == addr) {
        Some((&member, _)) => Err(MembersError::Taken { addr: addr.into(), member }),
        None => Ok(()),
    }
}

/// Whether a member may be removed, where these can be reached. A quorum of those who vote then must be among them.
///
/// # Errors
/// Why not.
pub fn may_remove(
    member: MemberId,
    members: &Members,
    reachable: impl Fn(MemberId) -> bool,
    force: bool,
) -> Result<(), MembersError> {
    if !members.contains_key(&member) {
        return Err(MembersError::NotMember(member));
    }
    let left: Vec<MemberId> =
        members.iter().filter(|(id, known)| **id != member && known.votes).map(|(&id, _)| id).collect();
    if left.is_empty() {
        return Err(MembersError::Last(member));
    }
    let (needed, within) = (left.len() / 2 + 1, left.iter().filter(|&&id| reachable(id)).count());
    match within >= needed || force {
        true => Ok(()),
        false => Err(MembersError::Unsafe { voters: left.len(), reachable: within, needed }),
    }
}
