//! A member that was declared failed and has returned is notified of its failure.

use std::net::SocketAddr;

use stonefold_membership::{
    Body, Claim, Detector, MemberId, Message, Micros, Output, Profile, Settings, Update,
};

const START_MS: u64 = 1_790_000_000_000;
const SECOND: Micros = 1_000_000;
/// The process of the member that fails and returns.
const INSTANCE: u64 = 9;

fn at(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn profile(name: &str, instance: u64) -> Profile {
    Profile { name: name.into(), address: at(7_000), instance }
}

/// A detector, and the member that returns.
struct Pair {
    detector: Detector,
    sequence: u64,
}

impl Pair {
    /// A detector that knows the member as failed.
    fn with_failed_member() -> Pair {
        let detector = Detector::new(Settings::default(), profile("me", 1), vec![], START_MS, 0, 7);
        let mut pair = Pair { detector, sequence: 0 };
        let claim = Claim::Failed { by: MemberId::of("third"), profile: profile("other", INSTANCE) };
        pair.claim(1, START_MS, claim);
        pair
    }

    /// Delivers what a third member claims of the member.
    fn claim(&mut self, sequence: u64, incarnation: u64, claim: Claim) {
        let message = Message {
            from: MemberId::of("third"),
            instance: 3,
            incarnation: START_MS,
            sequence,
            digest: 0,
            body: Body::SyncRecords,
            updates: vec![Update { id: MemberId::of("other"), incarnation, claim }],
        };
        self.detector.on_message(1, at(7_002), message, &mut Vec::new());
    }

    /// Delivers a message of the member in this incarnation, and returns what the detector sends.
    fn deliver(&mut self, now: Micros, incarnation: u64, body: Body) -> Vec<Message> {
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
        self.detector.on_message(now, at(7_000), message, &mut out);
        sent(out)
    }

    /// Whether the answer to a ping of the member tells it of its failure.
    fn tells(&mut self, now: Micros, incarnation: u64) -> bool {
        self.deliver(now, incarnation, Body::Ping { probe: 1 }).iter().any(is_notice)
    }
}

fn sent(out: Vec<Output>) -> Vec<Message> {
    let message = |output| match output {
        Output::Send { message, .. } => Some(message),
        Output::Event(_) => None,
    };
    out.into_iter().filter_map(message).collect()
}

fn is_notice(message: &Message) -> bool {
    let notice =
        |update: &Update| update.id == MemberId::of("other") && matches!(update.claim, Claim::Failed { .. });
    message.updates.iter().any(notice)
}

/// Guards against the notice being dropped where the member refutes a second claim before it was notified of the first.
#[test]
fn a_member_that_returns_and_refutes_again_is_still_notified_of_its_failure() {
    let mut pair = Pair::with_failed_member();
    assert!(pair.deliver(2, START_MS + 1, Body::Gossip).iter().all(|message| !is_notice(message)));
    pair.deliver(3, START_MS + 2, Body::Gossip);
    assert!(pair.tells(4, START_MS + 2));
    // Nor does a suspicion take its place.
    pair.claim(2, START_MS + 2, Claim::Suspect { by: MemberId::of("third") });
    assert!(pair.tells(5, START_MS + 2));
}

/// Guards against a notice that is lost with the datagrams that carried it.
#[test]
fn a_returned_member_is_notified_until_it_has_answered_a_ping_that_carried_the_notice() {
    let mut pair = Pair::with_failed_member();
    // None of these answers shows that it was received.
    for round in 0..50 {
        assert!(pair.tells(2 + round, START_MS + 1), "answer {round}");
    }
    let mut out = Vec::new();
    let mut now = 100;
    let probe = loop {
        now += SECOND;
        pair.detector.on_timer(now, &mut out);
        let pings = sent(std::mem::take(&mut out)).into_iter().filter(is_notice);
        let mut numbers = pings.filter_map(|message| match message.body {
            Body::Ping { probe } => Some(probe),
            _ => None,
        });
        if let Some(probe) = numbers.next() {
            break probe;
        }
        assert!(now < 60 * SECOND, "no ping carries the notice");
    };
    pair.deliver(now + 1, START_MS + 1, Body::Ack { probe });
    assert!(!pair.tells(now + 2, START_MS + 1), "it has received the notice");
}
