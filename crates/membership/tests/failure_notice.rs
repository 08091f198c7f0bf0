//! Failure notices: a member that was declared failed and has returned is notified of its failure.

use std::net::SocketAddr;

use stonefold_membership::{
    Body, Claim, Detector, MemberId, Message, Micros, Output, Profile, Settings, Update,
};

/// The Unix time of the detector's start, in milliseconds.
const START_MS: u64 = 1_790_000_000_000;
const SECOND: Micros = 1_000_000;
/// The instance of the process that fails and returns.
const INSTANCE: u64 = 9;

fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn profile(name: &str, instance: u64) -> Profile {
    Profile { name: name.into(), address: loopback(7_000), instance }
}

/// A detector and a member that returns from failure.
struct DetectorAndMember {
    detector: Detector,
    /// The sequence number of the member's last message.
    sequence: u64,
}

impl DetectorAndMember {
    /// A detector in whose view the member has failed.
    fn with_failed_member() -> DetectorAndMember {
        let detector = Detector::new(Settings::default(), profile("me", 1), vec![], START_MS, 0, 7);
        let mut fixture = DetectorAndMember { detector, sequence: 0 };
        let claim = Claim::Failed { by: MemberId::of("third"), profile: profile("other", INSTANCE) };
        fixture.deliver_claim(1, START_MS, claim);
        fixture
    }

    /// Delivers a claim of a third member about the member.
    fn deliver_claim(&mut self, sequence: u64, incarnation: u64, claim: Claim) {
        let message = Message {
            from: MemberId::of("third"),
            instance: 3,
            incarnation: START_MS,
            sequence,
            digest: 0,
            body: Body::SyncRecords,
            updates: vec![Update { id: MemberId::of("other"), incarnation, claim }],
        };
        self.detector.on_message(1, loopback(7_002), message, &mut Vec::new());
    }

    /// Delivers a message of the member in this incarnation, and returns the messages that the detector sends.
    fn deliver_from_member(&mut self, now: Micros, incarnation: u64, body: Body) -> Vec<Message> {
        self.sequence += 1;
        let message = Message {
            from: MemberId::of("other"),
            instance: INSTANCE,
            incarnation,
            sequence: self.sequence,
            digest: 0,
            body,
            updates: vec![],
        };
        let mut out = Vec::new();
        self.detector.on_message(now, loopback(7_000), message, &mut out);
        sent_messages(out)
    }

    /// Whether the answer to a ping of the member notifies it of its failure.
    fn ack_carries_notice(&mut self, now: Micros, incarnation: u64) -> bool {
        self.deliver_from_member(now, incarnation, Body::Ping { probe: 1 }).iter().any(is_notice)
    }
}

/// The messages among the outputs.
fn sent_messages(out: Vec<Output>) -> Vec<Message> {
    let message = |output| match output {
        Output::Send { message, .. } => Some(message),
        Output::Event(_) => None,
    };
    out.into_iter().filter_map(message).collect()
}

/// Whether a message notifies the member of its failure.
fn is_notice(message: &Message) -> bool {
    let notice =
        |update: &Update| update.id == MemberId::of("other") && matches!(update.claim, Claim::Failed { .. });
    message.updates.iter().any(notice)
}

/// Guards against a notice that is dropped when the member refutes a second claim before it was notified of the first.
#[test]
fn returned_member_that_refutes_again_is_still_notified_of_its_failure() {
    let mut fixture = DetectorAndMember::with_failed_member();
    assert!(
        fixture.deliver_from_member(2, START_MS + 1, Body::Gossip).iter().all(|message| !is_notice(message))
    );
    fixture.deliver_from_member(3, START_MS + 2, Body::Gossip);
    assert!(fixture.ack_carries_notice(4, START_MS + 2));
    // A suspicion does not replace the notice either.
    fixture.deliver_claim(2, START_MS + 2, Claim::Suspect { by: MemberId::of("third") });
    assert!(fixture.ack_carries_notice(5, START_MS + 2));
}

/// Guards against a notice that is lost with the datagrams that carried it. Only the member's answer to a ping shows
/// that it has received the notice in that ping.
#[test]
fn returned_member_is_notified_until_it_answers_a_ping_with_the_notice() {
    let mut fixture = DetectorAndMember::with_failed_member();
    // No acknowledgement shows that the member received these answers.
    for round in 0..50 {
        assert!(fixture.ack_carries_notice(2 + round, START_MS + 1), "answer {round}");
    }
    let mut out = Vec::new();
    let mut now = 100;
    let probe = loop {
        now += SECOND;
        fixture.detector.on_timer(now, &mut out);
        let pings = sent_messages(std::mem::take(&mut out)).into_iter().filter(is_notice);
        let mut numbers = pings.filter_map(|message| match message.body {
            Body::Ping { probe } => Some(probe),
            _ => None,
        });
        if let Some(probe) = numbers.next() {
            break probe;
        }
        assert!(now < 60 * SECOND, "no ping carries the notice");
    };
    fixture.deliver_from_member(now + 1, START_MS + 1, Body::Ack { probe });
    assert!(
        !fixture.ack_carries_notice(now + 2, START_MS + 1),
        "the notice is sent again although it was received"
    );
}
