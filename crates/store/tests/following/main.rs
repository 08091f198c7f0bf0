//! Tests of the distribution to subscribers over TCP: members, relays and subscribers, and peers that must be rejected.

mod access;
mod failover;
mod nodes;
mod raw_peer;
mod sessions;
