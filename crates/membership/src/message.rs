//! What nodes say to each other.

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
    /// Counts the sender's messages, so that a repeated one is found.
    pub sequence: u64,
    /// A hash of the sender's view, to find views that differ.
    pub digest: u32,
    /// What it is for.
    pub body: Body,
    /// News of members, its own among them.
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
    /// Asks to ping a member and to pass its answer on.
    PingRequest {
        /// The probe's number at its sender.
        probe: u32,
        /// The member.
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
    /// Carries members as the sender knows them. They are taken in and not passed on.
    Records,
    /// Hashes of parts of the sender's view. Those that differ are answered with records.
    Compare {
        /// One hash for each part, by the first bits of members' ids.
        parts: Vec<u32>,
        /// Whether the receiver should compare in turn.
        turn: bool,
    },
}

/// News of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub id: MemberId,
    /// The incarnation that this is said of.
    pub incarnation: u64,
    /// What is said.
    pub claim: Claim,
}

/// What is said of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// It lives, by its own word.
    Alive(Profile),
    /// It did not answer a probe of this member.
    Suspect {
        /// Who suspects it.
        by: MemberId,
    },
    /// This member has declared it failed.
    Failed {
        /// Who declared it.
        by: MemberId,
        /// For those who don't know it.
        profile: Profile,
    },
    /// It has left, by its own word.
    Left(Profile),
}
