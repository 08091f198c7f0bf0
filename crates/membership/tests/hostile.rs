//! Hostile input is rejected as a whole and counted by reason, and memory stays bounded.

use std::net::SocketAddr;

use proptest::prelude::*;
use stonefold_membership::{
    Body, Claim, Codec, CodecError, Detector, MAX_DATAGRAM, MemberId, Message, Output, Profile, Settings,
    Update,
};

const KEY: [u8; 32] = [1; 32];
const OTHER_KEY: [u8; 32] = [2; 32];
/// The Unix time of the detector's start, in milliseconds.
const START_MS: u64 = 1_790_000_000_000;
const HOUR_MS: u64 = 3_600_000;

fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn profile(name: &str, instance: u64) -> Profile {
    Profile { name: name.into(), address: loopback(7_000), instance }
}

fn detector(settings: Settings) -> Detector {
    Detector::new(settings, profile("me", 1), vec![], START_MS, 0, 7)
}

fn alive(name: &str, incarnation: u64) -> Update {
    Update { id: MemberId::of(name), incarnation, claim: Claim::Alive(profile(name, 9)) }
}

fn message(sequence: u64, updates: Vec<Update>) -> Message {
    let (from, instance, incarnation) = (MemberId::of("other"), 9, START_MS);
    Message { from, instance, incarnation, sequence, digest: 0, body: Body::Gossip, updates }
}

fn deliver(detector: &mut Detector, message: Message) -> Vec<Output> {
    let mut out = Vec::new();
    detector.on_message(1, loopback(7_001), message, &mut out);
    out
}

#[test]
fn datagram_round_trips_or_is_rejected_with_its_reason() {
    let codec = Codec::new("a", &[KEY]);
    let sent = message(1, vec![alive("other", START_MS)]);
    let bytes = codec.encode(&sent).unwrap();
    assert_eq!(codec.decode(&bytes), Ok(sent.clone()));
    let rejected = |codec: &Codec, bytes: &[u8]| codec.decode(bytes).unwrap_err();
    assert_eq!(rejected(&Codec::new("b", &[KEY]), &bytes), CodecError::WrongCluster);
    assert_eq!(rejected(&Codec::new("a", &[OTHER_KEY]), &bytes), CodecError::UnknownKey);
    assert_eq!(rejected(&codec, &[]), CodecError::TooShort);
    assert_eq!(rejected(&codec, &bytes[..20]), CodecError::TooShort);
    assert_eq!(rejected(&codec, &bytes[..bytes.len() - 1]), CodecError::BadMac);
    assert_eq!(rejected(&codec, &vec![1; MAX_DATAGRAM + 1]), CodecError::TooLong);
    let mut other = bytes.clone();
    other[0] = 9;
    assert_eq!(rejected(&codec, &other), CodecError::UnknownVersion);
    for index in 9..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        assert!(
            matches!(rejected(&codec, &changed), CodecError::BadMac | CodecError::UnknownKey),
            "byte {index}"
        );
    }
    // Two keys are accepted during a key rotation.
    assert_eq!(Codec::new("a", &[OTHER_KEY, KEY]).decode(&bytes), Ok(sent));
}

#[test]
fn name_that_is_too_long_or_of_another_member_is_rejected() {
    let codec = Codec::new("a", &[KEY]);
    let long = "n".repeat(65);
    let of_another = Update { id: MemberId::of("x"), ..alive("y", START_MS) };
    for update in [alive(&long, START_MS), of_another] {
        let bytes = codec.encode(&message(1, vec![update])).unwrap();
        assert_eq!(codec.decode(&bytes), Err(CodecError::BadName));
    }
}

#[test]
fn replayed_message_is_dropped() {
    let mut detector = detector(Settings::default());
    deliver(&mut detector, message(1, vec![alive("other", START_MS)]));
    for _ in 0..3 {
        deliver(&mut detector, message(2, vec![alive("third", START_MS)]));
    }
    assert_eq!(detector.counters().replayed, 2);
    // Reordered messages within the replay window of 64 numbers are accepted once, older ones never.
    for (sequence, replayed) in [(100, 2), (50, 2), (50, 3), (36, 4), (37, 4)] {
        deliver(&mut detector, message(sequence, vec![]));
        assert_eq!(detector.counters().replayed, replayed, "number {sequence}");
    }
}

#[test]
fn claim_about_a_far_future_incarnation_is_dropped_and_counted() {
    let mut detector = detector(Settings::default());
    deliver(&mut detector, message(1, vec![alive("other", START_MS)]));
    let far = START_MS + 2 * HOUR_MS;
    let suspect = |name: &str| {
        let claim = Claim::Suspect { by: MemberId::of("third") };
        Update { id: MemberId::of(name), incarnation: far, claim }
    };
    let out = deliver(&mut detector, message(2, vec![alive("third", far), suspect("other"), suspect("me")]));
    assert!(!out.iter().any(|output| matches!(output, Output::Event(_))), "{out:?}");
    assert_eq!(detector.counters().far_future, 3);
    assert_eq!((detector.members().count(), detector.local_member().incarnation), (1, START_MS));
}

#[test]
fn members_beyond_the_limit_are_rejected() {
    let mut detector = detector(Settings { max_members: 2, ..Settings::default() });
    let three = ["a", "b", "c"].map(|name| alive(name, START_MS));
    deliver(&mut detector, message(1, three.to_vec()));
    assert_eq!((detector.members().count(), detector.counters().members_full), (2, 1));
}

#[test]
fn flood_of_ping_requests_uses_bounded_memory_and_causes_at_most_one_ping_each() {
    let mut detector = detector(Settings::default());
    deliver(&mut detector, message(1, vec![alive("other", START_MS)]));
    for sequence in 2..10_000 {
        let body = Body::PingRequest { probe: 1, target: MemberId::of("other"), address: loopback(7_000) };
        let out = deliver(&mut detector, Message { body, ..message(sequence, vec![]) });
        let sent = out.iter().filter(|output| matches!(output, Output::Send { .. })).count();
        assert!(sent <= 2, "more than a ping and digests: {sent} messages");
    }
    assert!(format!("{detector:?}").len() < 64 << 10);
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..MAX_DATAGRAM + 9)) {
        prop_assert!(Codec::new("a", &[KEY]).decode(&bytes).is_err());
    }

    #[test]
    fn answers_to_authentic_messages_of_any_content_fit_in_a_datagram(
        probe in any::<u32>(),
        buckets in proptest::collection::vec(any::<u32>(), 0..70),
        kind in 0..5,
        reply in any::<bool>(),
    ) {
        let mut detector = detector(Settings::default());
        deliver(&mut detector, message(1, vec![alive("other", START_MS)]));
        let body = match kind {
            0 => Body::Ping { probe },
            1 => Body::Ack { probe },
            2 => Body::IndirectAck { probe },
            3 => Body::SyncDigests { buckets, reply },
            _ => Body::Join,
        };
        let out = deliver(&mut detector, Message { body, ..message(2, vec![]) });
        let codec = Codec::new("a", &[KEY]);
        for output in out {
            if let Output::Send { message, .. } = output {
                prop_assert!(codec.encode(&message).is_some(), "an answer longer than a datagram");
            }
        }
    }
}

#[test]
fn returned_member_is_notified_of_its_failure() {
    let mut detector = detector(Settings::default());
    let claim = Claim::Failed { by: MemberId::of("third"), profile: profile("other", 9) };
    let failed = Update { id: MemberId::of("other"), incarnation: START_MS, claim };
    let third = Message { from: MemberId::of("third"), ..message(1, vec![failed]) };
    deliver(&mut detector, third);
    let body = Body::Ack { probe: 7 };
    deliver(&mut detector, Message { body, incarnation: START_MS + 1, ..message(1, vec![]) });
    let body = Body::Ping { probe: 8 };
    let out = deliver(&mut detector, Message { body, incarnation: START_MS + 1, ..message(2, vec![]) });
    let notified = out.iter().any(|output| match output {
        Output::Send { message, .. } => {
            message.updates.iter().any(|update| matches!(update.claim, Claim::Failed { .. }))
        }
        Output::Event(_) => false,
    });
    assert!(notified, "{out:?}");
}
