//! The messages between nodes. Their encoding is positional, so the order of fields and variants must not change.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::member::{MemberId, Profile};

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// Identifies the sender's process, see [`Profile::instance`].
    pub instance: u64,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The number of the message, counted by the sender; it reveals replays.
    pub sequence: u64,
    /// A hash of the sender's view; it reveals views that differ.
    pub digest: u32,
    /// The kind of the message and its content.
    pub body: Body,
    /// Updates about members, which may include the sender.
    pub updates: Vec<Update>,
}

/// The kind of a message and its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Ack`](Body::Ack) with the same number.
    Ping {
        /// The probe's number at its sender.
        probe: u32,
    },
    /// Answers a ping.
    Ack {
        /// The ping's number.
        probe: u32,
    },
    /// Asks the receiver for an indirect probe: to ping a member and to forward its answer.
    PingRequest {
        /// The probe's number at its sender.
        probe: u32,
        /// The member to ping.
        target: MemberId,
        /// The address of the member to ping, as the sender knows it.
        address: SocketAddr,
    },
    /// The target of a ping request has answered the ping.
    IndirectAck {
        /// The number in the ping request.
        probe: u32,
    },
    /// Carries only updates.
    Gossip,
    /// The sender knows no other live member and asks for members.
    Join,
    /// Carries members' records as the sender knows them. They are applied and not gossiped further.
    SyncRecords,
    /// Carries the digests of the sender's view. The receiver answers with [`SyncRecords`](Body::SyncRecords) of the
    /// buckets that differ.
    SyncDigests {
        /// One digest for each bucket of member ids.
        buckets: Vec<u32>,
        /// Whether the receiver should answer with its own digests.
        reply: bool,
    },
}

/// An update about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member that the update is about.
    pub id: MemberId,
    /// The incarnation of this member that the claim is about.
    pub incarnation: u64,
    /// What is claimed.
    pub claim: Claim,
}

/// What an update claims about its member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// The member itself states that it is alive.
    Alive(Profile),
    /// The member did not answer a probe.
    Suspect {
        /// The other member that suspects it.
        by: MemberId,
    },
    /// The member was declared failed.
    Failed {
        /// The other member that declared it failed.
        by: MemberId,
        /// The failed member's profile, for nodes that don't know it.
        profile: Profile,
    },
    /// The member itself states that it leaves the cluster.
    Left(Profile),
}

impl Claim {
    /// The profile of the member, where the claim carries it.
    pub(crate) fn profile(&self) -> Option<&Profile> {
        match self {
            Claim::Alive(profile) | Claim::Left(profile) | Claim::Failed { profile, .. } => Some(profile),
            Claim::Suspect { .. } => None,
        }
    }
}
