//! Caches that do not answer and zones that cannot be reached are avoided, and probed.

mod common;
use common::*;
use stonefold_balancer::*;

#[test]
fn a_silent_cache_is_ejected_after_two_attempts_and_probed_later() {
    let mut node = Node::new(settings(CacheMode::Through), 6);
    node.serve_many();
    let key = "k1";
    let first = sent_to(&node.read(1000, key)).unwrap();
    node.finish(1000, 0, Outcome::ConnectFailed, 150_000);
    node.handle(Event::ClientDisconnected(RequestId(1000)));
    node.finish(1000, 1, Outcome::Canceled, 1_000);
    assert_eq!(sent_to(&node.read(1001, key)), Some(first), "one failure is not enough");
    node.finish(1001, 0, Outcome::ConnectFailed, 150_000);
    node.handle(Event::ClientDisconnected(RequestId(1001)));
    node.finish(1001, 1, Outcome::Canceled, 1_000);
    let probe = sent_to(&node.read(1002, key));
    let next = sent_to(&node.read(1003, key));
    assert!(probe != Some(first) || next != Some(first), "at most one request at a time probes it");
    node.finish(1002, 0, Outcome::ConnectFailed, 150_000);
    node.finish(1003, 0, Outcome::Canceled, 1_000);
    node.now += 30 * SECOND;
    let again = (1100..1140).any(|id| sent_to(&node.read(id, key)) == Some(first));
    assert!(again, "probed again later");
}

/// Runs reads. Each attempt at a cache for which `fails` holds fails to connect, after `pause`; the others succeed.
/// Returns the caches that the attempts were sent to, in order.
fn run_reads(
    node: &mut Node,
    ids: std::ops::Range<u32>,
    pause: Micros,
    fails: impl Fn(u32) -> bool,
) -> Vec<u32> {
    let mut attempts_sent = Vec::new();
    for id in ids {
        let mut next = sent_to(&node.read(id, &format!("k{id}")));
        for attempt in 0.. {
            let Some(to) = next else { break };
            attempts_sent.push(to.0);
            let outcome = if fails(to.0) { Outcome::ConnectFailed } else { Outcome::Success };
            node.now += if fails(to.0) { pause } else { 20_000 };
            next = sent_to(&node.finish(id, attempt, outcome, 20_000));
        }
    }
    attempts_sent
}

#[test]
fn an_unreachable_zone_is_probed_by_one_request_at_a_time() {
    // A node with little traffic sends to each cache so rarely that no single cache seems to fail.
    let mut node = node_with_zones(settings(CacheMode::Through), 20, 2);
    node.serve_many();
    let unreachable = |to: u32| to % 2 == 1;
    let probes = run_reads(&mut node, 1000..1060, 1_000, unreachable)
        .into_iter()
        .filter(|&to| unreachable(to))
        .count();
    assert!((3..12).contains(&probes), "{probes} attempts at an unreachable zone");
    // The zone can be reached again: one probe shows that, and the zone is used.
    let mut served_there = 0;
    for id in 2000..2100 {
        served_there += node.serve(id, &format!("k{id}"), 60_000).0 % 2;
    }
    assert!(served_there > 20, "the zone served {served_there} of 100 reads");
}

#[test]
fn failed_caches_do_not_make_their_zone_unreachable() {
    let mut node = node_with_zones(settings(CacheMode::Through), 20, 2);
    node.serve_many();
    let failed = |to: u32| to == 1 || to == 3;
    let attempts_sent = run_reads(&mut node, 1001..1101, 20_000, failed);
    let attempts_sent = attempts_sent.into_iter().filter(|&to| to % 2 == 1 && !failed(to)).count();
    assert!(attempts_sent > 30, "the other caches of the zone got {attempts_sent} attempts");
}
