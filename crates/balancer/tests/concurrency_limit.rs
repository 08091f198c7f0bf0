//! The adaptive concurrency limit on attempts in flight.

mod common;
use common::*;
use stonefold_balancer::*;

#[test]
fn timeouts_lower_the_limit_and_answers_raise_it_again() {
    // Clients that disconnect before they get an answer must not keep the limit low, nor the caches avoided.
    let mut node = Node::new(settings(CacheMode::Through), 4);
    let mut id = 0;
    // Runs 40 reads that arrive together and whose attempts all end alike. Returns how many attempts were in
    // flight together.
    let mut round = |node: &mut Node, outcome, elapsed| {
        let start = id;
        id += 40;
        let reads: Vec<Vec<Action>> = (start..id).map(|i| node.read(i, &format!("k{i}"))).collect();
        let sent_id = |a: &Action| match a {
            Action::Send { request: id, .. } => Some(id.0),
            _ => None,
        };
        let mut sends: Vec<u32> = reads.iter().flatten().filter_map(sent_id).collect();
        let in_flight = sends.len();
        node.now += elapsed;
        while let Some(i) = sends.pop() {
            sends.extend(node.finish(i, 0, outcome, elapsed).iter().filter_map(sent_id));
        }
        in_flight
    };
    let mut last_round =
        |n, node: &mut Node, outcome, elapsed| (0..n).map(|_| round(node, outcome, elapsed)).last().unwrap();
    let healthy = last_round(40, &mut node, Outcome::Success, 50_000);
    let overloaded = last_round(40, &mut node, Outcome::TimedOut, SECOND);
    let recovered = last_round(12, &mut node, Outcome::Success, 50_000);
    assert!(
        healthy > 8 && overloaded <= 4 && recovered > 8,
        "in flight together: {healthy} at first, {overloaded} under timeouts, {recovered} after them"
    );
}

#[test]
fn a_restarted_node_reaches_its_limit_soon_without_overloading_caches() {
    // A restarted node must not reject its usual load, nor double its limit until the caches slow down.
    let mut node = Node::new(settings(CacheMode::Through), 10);
    let sent_ids = |actions: &[Action]| {
        let sent_id = |a: &Action| match a {
            Action::Send { request: id, .. } => Some(id.0),
            _ => None,
        };
        actions.iter().filter_map(sent_id).collect::<Vec<u32>>()
    };
    let mut most_in_flight = 0;
    // Bursts of 100 reads whose attempts take 50 ms. From the second burst on, all reads are served well
    // within their latency objective of 300 ms.
    for burst in 0..5 {
        let start = node.now;
        let reads = burst * 1000..burst * 1000 + 100;
        let mut in_flight: Vec<u32> = reads.flat_map(|i| sent_ids(&node.read(i, &format!("k{i}")))).collect();
        while !in_flight.is_empty() {
            most_in_flight = most_in_flight.max(in_flight.len());
            node.now += 50_000;
            in_flight = in_flight
                .into_iter()
                .flat_map(|i| sent_ids(&node.finish(i, 0, Outcome::Success, 50_000)))
                .collect();
        }
        assert!(burst < 1 || node.now - start <= 250_000, "burst {burst} took {} us", node.now - start);
    }
    assert!(most_in_flight < 50, "{most_in_flight} in flight at ten caches within a second of the start");
}

#[test]
fn congestion_at_most_caches_does_not_delay_reads_at_idle_ones() {
    // Attempts at slow caches may use up the limit while fast caches are idle.
    let mut node = Node::new(settings(CacheMode::Through), 9);
    node.serve_many();
    // Runs reads that the caches 8 and 9 answer in 50 ms and the others in 900 ms. Returns how many reads
    // the fast caches answered.
    let mut late: Vec<(u32, usize)> = Vec::new();
    let mut round = |node: &mut Node, ids: std::ops::Range<u32>| {
        let mut served_fast = 0;
        node.now += SECOND;
        let mut todo: Vec<Action> = Vec::new();
        for (id, attempt) in std::mem::take(&mut late) {
            todo.extend(node.finish(id, attempt, Outcome::Success, 900_000));
        }
        let mut attempts = std::collections::HashMap::new();
        for id in ids.clone() {
            todo.extend(node.read(id, &format!("k{id}")));
            while let Some(action) = todo.pop() {
                if let Action::Send { request: id, server, .. } = action {
                    let attempt = *attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                    if server >= ServerId(8) {
                        served_fast += 1;
                        todo.extend(node.finish(id.0, attempt, Outcome::Success, 50_000));
                    } else {
                        late.push((id.0, attempt));
                    }
                }
            }
        }
        ids.for_each(|id| drop(node.handle(Event::ClientDisconnected(RequestId(id)))));
        served_fast
    };
    let served_fast: u32 = (10..40).map(|n| round(&mut node, 100 * n..100 * n + 40)).skip(20).sum();
    assert!(served_fast > 60, "caches 8 and 9 answered {served_fast} of 400 reads");
}

#[test]
fn slow_misses_lower_the_limit() {
    // Where most reads miss, only misses can show that the caches are congested.
    let in_flight_with_latency = |elapsed: Micros| {
        let mut node = Node::new(settings(CacheMode::Aside), 6);
        let mut in_flight = 0;
        for round in 1..40 {
            let ids = 100 * round..100 * round + 40;
            let is_sent_to_cache =
                |id: &u32| sent_to(&node.read(*id, &format!("k{id}"))).is_some_and(|to| to != ServerId(99));
            let sent: Vec<u32> = ids.clone().filter(is_sent_to_cache).collect();
            in_flight = sent.len();
            node.now += elapsed;
            // All reads miss at the caches; the origin answers at once.
            let mut todo: Vec<(u32, usize)> = sent.iter().map(|&id| (id, 0)).collect();
            while let Some((id, attempt)) = todo.pop() {
                let at_cache = attempt == 0;
                let actions = if at_cache {
                    node.finish(id, attempt, Outcome::CacheMiss, elapsed)
                } else {
                    node.finish(id, attempt, Outcome::Success, 20_000)
                };
                todo.extend(actions.iter().filter_map(|a| match a {
                    Action::Send { request: id, server, .. } => {
                        Some((id.0, usize::from(*server == ServerId(99))))
                    }
                    _ => None,
                }));
            }
            ids.for_each(|id| drop(node.handle(Event::ClientDisconnected(RequestId(id)))));
        }
        in_flight
    };
    // The latency objective is 300 ms, and the fetch after a miss needs a part of it.
    let (quick, slow) = (in_flight_with_latency(30_000), in_flight_with_latency(250_000));
    assert!(slow * 3 <= quick, "in flight together: {quick} with quick misses, {slow} with slow ones");
}

#[test]
fn even_under_overload_each_cache_can_have_an_attempt() {
    let mut node = Node::new(settings(CacheMode::Aside), 6);
    // All attempts time out, and the clients disconnect.
    for id in 0..200 {
        node.read(id, &format!("k{id}"));
        if id % 4 == 3 {
            node.now += SECOND - 10_000;
            (id - 3..=id).for_each(|id| _ = node.finish(id, 0, Outcome::TimedOut, SECOND - 10_000));
            (id - 3..=id).for_each(|id| _ = node.handle(Event::ClientDisconnected(RequestId(id))));
        }
    }
    let sent = (200..206).filter(|&id| sent_to(&node.read(id, &format!("k{id}"))).is_some()).count();
    assert_eq!(sent, 6);
}

#[test]
fn one_of_many_nodes_starts_with_a_lower_limit() {
    let initial_limit = |nodes| {
        let mut node = Node::new(Settings { node_count: nodes, ..settings(CacheMode::Through) }, 2);
        (0..20).filter(|n| sent_to(&node.read(*n, "one key")).is_some()).count()
    };
    let (few, many) = (initial_limit(4), initial_limit(48));
    assert!(few > many && many >= 2, "{few} with few nodes, {many} with many");
}

#[test]
fn the_lowest_limit_falls_with_the_number_of_nodes() {
    let lowest_limit = |nodes| {
        let mut node = Node::new(Settings { node_count: nodes, ..settings(CacheMode::Through) }, 64);
        for id in 0..5_000 {
            let mut next = sent_to(&node.read(id, &format!("k{id}")));
            node.now += 5_000;
            for attempt in 0.. {
                let Some(_) = next.take() else { break };
                next = sent_to(&node.finish(id, attempt, Outcome::Rejected, 1_000));
            }
        }
        // None of these reads is answered. They share a key, since reads of several keys could also be sent
        // beyond the limit, each to an idle cache.
        let in_flight = |id: &u32| sent_to(&node.read(*id, "one key")).is_some();
        (10_000..10_200).filter(in_flight).count()
    };
    let (few, many) = (lowest_limit(4), lowest_limit(300));
    assert!(many * 4 < few, "{few} with few nodes, {many} with many");
}

#[test]
fn attempts_with_too_little_time_do_not_raise_the_limit() {
    let final_limit = |outcome| {
        let mut node = Node::new(settings(CacheMode::Aside), 4);
        let mut ids = 1000..;
        // Sends as many writes as the limit allows, which end after 90 ms, less than their latency objective;
        // returns how many.
        let mut fill = |node: &mut Node| {
            let mut in_flight = Vec::new();
            for id in ids.by_ref() {
                if sent_to(&node.request(id, "k", 2, true)).is_none() {
                    node.handle(Event::ClientDisconnected(RequestId(id)));
                    break;
                }
                in_flight.push(id);
            }
            node.now += 90_000;
            for id in &in_flight {
                node.finish(*id, 0, outcome, 90_000);
            }
            for id in &in_flight {
                node.handle(Event::ClientDisconnected(RequestId(*id)));
            }
            in_flight.len()
        };
        (0..40).map(|_| fill(&mut node)).last().unwrap()
    };
    let (answered, timed_out) = (final_limit(Outcome::Success), final_limit(Outcome::TimedOut));
    assert!(timed_out * 2 < answered, "{timed_out} in flight after timeouts, {answered} after answers");
}

#[test]
fn reads_back_off_before_an_overloaded_origin_and_writes_do_not() {
    // Many nodes with one or two fetches each can overload the origin; writes must still succeed.
    let (mut fetched, mut written) = (0, 0);
    for seed in 0..40 {
        let mut node = Node { balancer: Balancer::new(settings(CacheMode::Aside), seed, 0), now: 0 };
        let origin = Endpoint { is_origin: true, ..Endpoint::up(ServerId(99)) };
        node.update_endpoints(EndpointUpdate::Full, vec![Endpoint::up(ServerId(1)), origin]);
        for id in 0..5 {
            node.read(id, &format!("k{id}"));
            node.finish(id, 0, Outcome::CacheMiss, 5_000);
            node.now += SECOND;
            node.finish(id, 1, Outcome::TimedOut, SECOND);
        }
        node.read(100, "k100");
        let missed = node.finish(100, 0, Outcome::CacheMiss, 5_000);
        if sent_to(&missed) == Some(ServerId(99)) {
            fetched += 1;
        } else {
            assert!(first_timer(&missed).is_some_and(|(after, _)| after < SECOND), "the read backs off");
            written += usize::from(sent_to(&node.request(200, "k", 1, true)) == Some(ServerId(99)));
        }
    }
    assert!((10..35).contains(&fetched), "{fetched} of 40 reads go to the origin at once");
    assert_eq!(written, 40 - fetched, "a write goes to the origin at once");
}
