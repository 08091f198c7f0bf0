//! Compatibility of the wire format: datagrams of every kind, recorded from an earlier version, decode to the same
//! messages, and these are still encoded to the same bytes.

use std::net::SocketAddr;

use stonefold_membership::{Body, Claim, Codec, MemberId, Profile, Update};

const CLUSTER: &str = "fixture";
const KEY: [u8; 32] = [7; 32];
const NODE_1: MemberId = MemberId(0x0db0_9edf_d945_8385);
const NODE_2: MemberId = MemberId(0x1cc6_c50c_6b36_742e);
const NODE_3: MemberId = MemberId(0x5098_e099_7e7c_c12f);

/// Checks that a recorded datagram decodes to the message it was recorded from, and that the message encodes to it.
fn assert_decodes_and_encodes(recorded: &[u8], body: Body, updates: Vec<Update>) {
    let codec = Codec::new(CLUSTER, &[KEY]);
    let message = codec.decode(recorded).expect("a datagram of this cluster");
    assert_eq!(message.from, NODE_1);
    assert_eq!(message.instance, 0x1122_3344_5566_7788);
    assert_eq!(message.incarnation, 1_790_000_000_123);
    assert_eq!(message.sequence, 300);
    assert_eq!(message.digest, 0xdead_beef);
    assert_eq!(message.body, body);
    assert_eq!(message.updates, updates);
    assert_eq!(codec.encode(&message).as_deref(), Some(recorded));
}

fn ipv4_address() -> SocketAddr {
    "10.1.2.3:7946".parse().unwrap()
}

fn ipv6_address() -> SocketAddr {
    "[fd00::12]:7946".parse().unwrap()
}

fn profile(name: &str, address: SocketAddr) -> Profile {
    Profile { name: name.to_owned(), address, instance: 42 }
}

#[test]
fn member_ids_are_the_recorded_hashes_of_names() {
    assert_eq!(MemberId::of("node-1"), NODE_1);
    assert_eq!(MemberId::of("node-2"), NODE_2);
    assert_eq!(MemberId::of("node-3"), NODE_3);
}

#[test]
fn recorded_ping_decodes_and_encodes_unchanged() {
    assert_decodes_and_encodes(include_bytes!("fixtures/ping.bin"), Body::Ping { probe: 70_000 }, vec![]);
}

#[test]
fn recorded_ack_decodes_and_encodes_unchanged() {
    assert_decodes_and_encodes(include_bytes!("fixtures/ack.bin"), Body::Ack { probe: 70_000 }, vec![]);
}

#[test]
fn recorded_ping_request_decodes_and_encodes_unchanged() {
    let body = Body::PingRequest { probe: 9, target: NODE_2, address: ipv4_address() };
    assert_decodes_and_encodes(include_bytes!("fixtures/ping_request.bin"), body, vec![]);
}

#[test]
fn recorded_ping_request_to_an_ipv6_address_decodes_and_encodes_unchanged() {
    let body = Body::PingRequest { probe: 9, target: NODE_2, address: ipv6_address() };
    assert_decodes_and_encodes(include_bytes!("fixtures/ping_request_ipv6.bin"), body, vec![]);
}

#[test]
fn recorded_indirect_ack_decodes_and_encodes_unchanged() {
    assert_decodes_and_encodes(
        include_bytes!("fixtures/indirect_ack.bin"),
        Body::IndirectAck { probe: 9 },
        vec![],
    );
}

#[test]
fn recorded_gossip_with_every_claim_decodes_and_encodes_unchanged() {
    let updates = vec![
        Update {
            id: NODE_1,
            incarnation: 1_790_000_000_123,
            claim: Claim::Alive(profile("node-1", ipv4_address())),
        },
        Update { id: NODE_2, incarnation: 5, claim: Claim::Suspect { by: NODE_3 } },
        Update {
            id: NODE_2,
            incarnation: 6,
            claim: Claim::Failed { by: NODE_1, profile: profile("node-2", ipv6_address()) },
        },
        Update { id: NODE_3, incarnation: 7, claim: Claim::Left(profile("node-3", ipv4_address())) },
    ];
    assert_decodes_and_encodes(include_bytes!("fixtures/gossip.bin"), Body::Gossip, updates);
}

#[test]
fn recorded_join_decodes_and_encodes_unchanged() {
    let own = Update { id: NODE_1, incarnation: 1, claim: Claim::Alive(profile("node-1", ipv4_address())) };
    assert_decodes_and_encodes(include_bytes!("fixtures/join.bin"), Body::Join, vec![own]);
}

#[test]
fn recorded_sync_records_decode_and_encode_unchanged() {
    let record =
        Update { id: NODE_3, incarnation: 2, claim: Claim::Alive(profile("node-3", ipv6_address())) };
    assert_decodes_and_encodes(include_bytes!("fixtures/sync_records.bin"), Body::SyncRecords, vec![record]);
}

#[test]
fn recorded_sync_digests_decode_and_encode_unchanged() {
    let buckets: Vec<u32> = (0..64).map(|bucket| bucket * 0x0101_0101).collect();
    assert_decodes_and_encodes(
        include_bytes!("fixtures/sync_digests.bin"),
        Body::SyncDigests { buckets, reply: true },
        vec![],
    );
}

#[test]
fn recorded_sync_digests_in_reply_decode_and_encode_unchanged() {
    let buckets = vec![0; 64];
    assert_decodes_and_encodes(
        include_bytes!("fixtures/sync_digests_in_reply.bin"),
        Body::SyncDigests { buckets, reply: false },
        vec![],
    );
}
