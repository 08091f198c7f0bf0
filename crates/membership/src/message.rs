//! The messages between nodes. Their encoding depends on the order of fields and variants, which must not change.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::member::{MemberId, Profile};

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// The sender's process.
    pub instance: u64,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Counts the sender's messages, so that replays are detected.
    pub sequence: u64,
    /// A hash of the sender's view, by which views that differ are found.
    pub digest: u32,
    /// What the message is for.
    pub body: Body,
    /// Updates about members, the sender among them.
    pub updates: Vec<Update>,
}

/// What a message is for.
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
    /// Asks the receiver to ping a member and to forward its answer: an indirect probe.
    PingRequest {
        /// The probe's number at its sender.
        probe: u32,
        /// The member to ping.
        target: MemberId,
        /// Its address, as the sender knows it.
        address: SocketAddr,
    },
    /// The member of a ping request has answered.
    IndirectAck {
        /// The request's number.
        probe: u32,
    },
    /// Carries updates alone.
    Gossip,
    /// The sender starts, and asks for members.
    Join,
    /// Carries members as the sender knows them. They are applied and not disseminated further.
    SyncRecords,
    /// Digests of the sender's view. Buckets that differ are answered with [`SyncRecords`](Body::SyncRecords).
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
    /// The member.
    pub id: MemberId,
    /// The incarnation that the claim is about.
    pub incarnation: u64,
    /// What is claimed.
    pub claim: Claim,
}

/// What an update claims about its member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// It is alive, as stated by itself.
    Alive(Profile),
    /// It did not answer a probe.
    Suspect {
        /// The member that suspects it.
        by: MemberId,
    },
    /// It was declared failed.
    Failed {
        /// The member that declared it.
        by: MemberId,
        /// For nodes that don't know it.
        profile: Profile,
    },
    /// It has left, as stated by itself.
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
