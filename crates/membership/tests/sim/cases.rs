//! Scenarios that the membership has to handle, each from a seed; each returns the violations of its rules.

use stonefold_membership::{Event, MemberId, Micros, Reachability, State};

use crate::sim::{Fleet, MILLISECOND, Network, Planted, SECOND, name};

/// A silent node is declared failed by all others within this time, among at most 30 nodes.
pub(crate) const DETECTION_BOUND: Micros = 60 * SECOND;
/// A pause shorter than this never gets a node declared failed.
pub(crate) const TOLERATED_PAUSE: Micros = 10 * SECOND;
/// After a heal all views agree within this time, among at most 30 nodes.
pub(crate) const CONVERGENCE_BOUND: Micros = 60 * SECOND;
/// More notices of its failure than all other nodes together send a member, if each sends it as often as an update.
const LOST_NOTICES: usize = 200;
/// A node that was declared failed learns of it within this time after it runs again, where so many notices are lost.
const NOTICE_BOUND: Micros = 600 * SECOND;
/// Nodes that start together know each other after this time, among at most 30.
const STARTUP_TIME: Micros = 20 * SECOND;

/// A case.
pub(crate) struct Case {
    pub(crate) name: &'static str,
    /// Plays it with a seed and returns the violations.
    pub(crate) play: fn(u64, Option<Planted>) -> Vec<String>,
}

pub(crate) const CASES: &[Case] = &[
    Case { name: "rough network", play: rough_network },
    Case { name: "pauses", play: pauses },
    Case { name: "pause until failed", play: pause_until_failed },
    Case { name: "pause with a suspicion", play: pause_with_a_suspicion },
    Case { name: "kill", play: kill },
    Case { name: "one-sided cut of two", play: one_sided_cut },
    Case { name: "nothing sent arrives", play: nothing_sent_arrives },
    Case { name: "partition", play: partition },
    Case { name: "restart", play: restart },
    Case { name: "two under one name", play: two_under_one_name },
    Case { name: "leave", play: leave },
    Case { name: "flapping link", play: flapping_link },
];

fn nodes(seed: u64) -> usize {
    [4, 5, 8, 12][(seed % 4) as usize]
}

fn network(seed: u64) -> Network {
    if seed.is_multiple_of(2) { Network::CALM } else { Network::losing(0.1) }
}

fn fleet(nodes: usize, network: Network, seed: u64, planted: Option<Planted>) -> Fleet {
    let mut fleet = Fleet::new(nodes, network, seed);
    fleet.planted = planted;
    (0..nodes).for_each(|node| fleet.start(node, 0));
    fleet.run_for(STARTUP_TIME);
    fleet
}

/// No live node may be declared failed.
fn none_failed(fleet: &Fleet, since: Micros, dead: &[usize], found: &mut Vec<String>) {
    for (at, by, of) in fleet.declared_failed(since) {
        if !dead.contains(&of) {
            found.push(format!("{} declared {} failed at {} ms", name(by), name(of), at / MILLISECOND));
        }
    }
}

fn agree_in(fleet: &mut Fleet, most: Micros, found: &mut Vec<String>) {
    if fleet.run_until(most, Fleet::agreed).is_none() {
        found.push("views do not agree in time".into());
    }
}

/// 30% loss, delays to 200 ms, duplicated and reordered: nobody is declared failed.
fn rough_network(seed: u64, planted: Option<Planted>) -> Vec<String> {
    let mut found = Vec::new();
    let mut fleet = fleet(nodes(seed), Network::ROUGH, seed, planted);
    fleet.run_for(300 * SECOND);
    none_failed(&fleet, 0, &[], &mut found);
    agree_in(&mut fleet, CONVERGENCE_BOUND, &mut found);
    found
}

/// A paused node declares nobody failed; one that was paused briefly is declared failed by nobody.
fn pauses(seed: u64, planted: Option<Planted>) -> Vec<String> {
    let mut found = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, planted);
    let start = fleet.now;
    let lengths = [200 * MILLISECOND, 2 * SECOND, TOLERATED_PAUSE, 30 * SECOND];
    for length in lengths {
        fleet.pause(1, length);
        fleet.run_for(length + 40 * SECOND);
        for (at, by, of) in fleet.declared_failed(start) {
            if by == 1 || of != 1 || length <= TOLERATED_PAUSE {
                found.push(format!("{} declared {} failed at {at} us", name(by), name(of)));
            }
        }
    }
    let failed = !fleet.declared_failed(start).is_empty();
    let learned = |(_, node, event): &(Micros, usize, Event)| {
        *node == 1 && matches!(event, Event::DeclaredFailed { .. })
    };
    if failed && !fleet.events.iter().any(learned) {
        found.push("the node that was failed does not learn of it".into());
    }
    // All are stopped at once, as on a machine that sleeps.
    (0..fleet.processes.len()).for_each(|node| fleet.pause(node, 20 * SECOND));
    let since = fleet.now;
    fleet.run_for(60 * SECOND);
    none_failed(&fleet, since, &[], &mut found);
    agree_in(&mut fleet, CONVERGENCE_BOUND, &mut found);
    found
}

/// A node is paused until all others have declared it failed. When it resumes it learns of that, though the first
/// datagrams that tell it are lost: none, as many as one node sends of an update, or many.
fn pause_until_failed(seed: u64, planted: Option<Planted>) -> Vec<String> {
    let mut found = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, planted);
    let others: Vec<usize> = (0..fleet.processes.len()).filter(|node| *node != 1).collect();
    fleet.pause(1, DETECTION_BOUND);
    let failed = |fleet: &Fleet| others.iter().all(|by| fleet.state(*by, 1) == Some(State::Failed));
    if fleet.run_until(DETECTION_BOUND, failed).is_none() {
        return vec!["the paused node is not failed in time".into()];
    }
    fleet.lost_failure_notices =
        [0, fleet.settings.transmissions as usize, LOST_NOTICES][(seed % 3) as usize];
    let learned = |fleet: &Fleet| {
        fleet
            .events
            .iter()
            .any(|(_, node, event)| *node == 1 && matches!(event, Event::DeclaredFailed { .. }))
    };
    if fleet.run_until(DETECTION_BOUND + NOTICE_BOUND, learned).is_none() {
        found.push("the node that was failed does not learn of it".into());
    }
    agree_in(&mut fleet, CONVERGENCE_BOUND, &mut found);
    found
}

/// A node is paused while it suspects another one, which refutes that in this time: it declares nobody failed when it
/// resumes.
fn pause_with_a_suspicion(seed: u64, planted: Option<Planted>) -> Vec<String> {
    let mut found = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, planted);
    fleet.pause(2, TOLERATED_PAUSE);
    let suspects = |fleet: &Fleet| fleet.state(1, 2) == Some(State::Suspect);
    if fleet.run_until(TOLERATED_PAUSE, suspects).is_some() {
        let since = fleet.now;
        fleet.pause(1, 30 * SECOND);
        fleet.run_for(30 * SECOND + SECOND);
        found.extend(fleet.declared_failed(since).iter().filter(|(_, by, _)| *by == 1).map(|(at, _, of)| {
            format!("the resumed node declared {} failed at {} ms", name(*of), at / MILLISECOND)
        }));
    }
    fleet.run_for(60 * SECOND);
    agree_in(&mut fleet, CONVERGENCE_BOUND, &mut found);
    found
}

/// A node that dies is failed everywhere in time, and nobody else is.
fn kill(seed: u64, planted: Option<Planted>) -> Vec<String> {
    let mut found = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, planted);
    fleet.kill(2);
    let failed = |fleet: &Fleet| fleet.running().all(|(node, _)| fleet.state(node, 2) == Some(State::Failed));
    if fleet.run_until(DETECTION_BOUND, failed).is_none() {
        found.push("the dead node is not failed everywhere in time".into());
    }
    fleet.run_for(120 * SECOND);
    none_failed(&fleet, 0, &[2], &mut found);
    // It returns, and is taken in again.
    fleet.start(2, 0);
    agree_in(&mut fleet, CONVERGENCE_BOUND, &mut found);
    found
}

/// Datagrams between two nodes are lost in one direction or both; both reach the rest: alive, reachable only indirectly.
fn one_sided_cut(seed: u64, planted: Option<Planted>) -> Vec<String> {
    let mut found = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, planted);
    let both = seed.is_multiple_of(3);
    fleet.cut = Box::new(move |from, to| (from, to) == (0, 1) || both && (from, to) == (1, 0));
    let start = fleet.now;
    fleet.run_for(180 * SECOND);
    none_failed(&fleet, start, &[], &mut found);
    let reported = fleet.events.iter().any(|(at, node, event)| {
        let cut = Event::ReachabilityChanged { name: name(1), reachability: Reachability::IndirectOnly };
        *at >= start && *node == 0 && *event == cut
    });
    if !reported {
        found.push("the cut is not reported".into());
    }
    fleet.cut = Box::new(|_, _| false);
    fleet.run_for(180 * SECOND);
    let id = MemberId::of(&name(1));
    let reach =
        fleet.processes[0].detector.as_ref().and_then(|d| d.member(id)).map(|member| member.reachability);
    if reach != Some(Reachability::Direct) {
        found.push(format!("after the heal the member is {reach:?}"));
    }
    found
}

/// One node receives everything and nothing of it arrives: declared failed everywhere, it declares nobody failed, and
/// learns of it.
fn nothing_sent_arrives(seed: u64, planted: Option<Planted>) -> Vec<String> {
    let mut found = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, planted);
    fleet.cut = Box::new(|from, _| from == 3);
    let start = fleet.now;
    let failed = |fleet: &Fleet| {
        fleet
            .running()
            .filter(|(node, _)| *node != 3)
            .all(|(node, _)| fleet.state(node, 3) == Some(State::Failed))
    };
    if fleet.run_until(DETECTION_BOUND, failed).is_none() {
        found.push("it is not failed everywhere in time".into());
    }
    fleet.run_for(60 * SECOND);
    none_failed(&fleet, start, &[3], &mut found);
    let learned = |(at, node, event): &(Micros, usize, Event)| {
        *at >= start && *node == 3 && matches!(event, Event::DeclaredFailed { .. })
    };
    if !fleet.events.iter().any(learned) {
        found.push("it does not learn of it".into());
    }
    fleet.cut = Box::new(|_, _| false);
    agree_in(&mut fleet, CONVERGENCE_BOUND, &mut found);
    found
}

/// Both sides go on, each declares the other failed; a heal merges them with nobody declared failed anew.
fn partition(seed: u64, planted: Option<Planted>) -> Vec<String> {
    let mut found = Vec::new();
    let nodes = nodes(seed);
    let mut fleet = fleet(nodes, network(seed), seed, planted);
    let side = move |node: usize| node < nodes / 2;
    fleet.cut = Box::new(move |from, to| side(from) != side(to));
    let split = |fleet: &Fleet| {
        fleet.running().all(|(node, _)| {
            (0..nodes).filter(|of| *of != node).all(|of| {
                let expected = if side(node) == side(of) { State::Alive } else { State::Failed };
                fleet.state(node, of) == Some(expected)
            })
        })
    };
    if fleet.run_until(2 * DETECTION_BOUND, split).is_none() {
        found.push("the sides do not know what they lost in time".into());
    }
    fleet.cut = Box::new(|_, _| false);
    let healed = fleet.now;
    agree_in(&mut fleet, CONVERGENCE_BOUND, &mut found);
    fleet.run_for(60 * SECOND);
    none_failed(&fleet, healed, &[], &mut found);
    found
}

/// A new process replaces the old one at once, also where the clock went back and the old one's leave arrives late.
fn restart(seed: u64, planted: Option<Planted>) -> Vec<String> {
    let mut found = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, planted);
    for clock_ms in [0, -600_000] {
        let since = fleet.now;
        if seed.is_multiple_of(3) {
            fleet.kill(1);
        } else {
            fleet.leave(1); // its leave is in flight while the next process starts
        }
        fleet.start(1, clock_ms);
        agree_in(&mut fleet, 30 * SECOND, &mut found);
        fleet.run_for(30 * SECOND);
        none_failed(&fleet, since, &[], &mut found);
        for node in (0..fleet.processes.len()).filter(|node| *node != 1) {
            if old_leave_wins(&fleet, node, since) {
                found.push(format!("{} attributes the old process's leave to the new one", name(node)));
            }
        }
    }
    found
}

/// Whether a node that knew of node 1's new process saw it leave later.
fn old_leave_wins(fleet: &Fleet, node: usize, since: Micros) -> bool {
    let here = fleet.events.iter().filter(|(at, by, _)| *at > since && *by == node);
    let mut new_is_known = false;
    for (_, _, event) in here {
        match event {
            Event::Restarted { name: of } | Event::Returned { name: of } if *of == name(1) => {
                new_is_known = true;
            }
            Event::Left { name: of } if *of == name(1) && new_is_known => return true,
            _ => {}
        }
    }
    false
}

/// Two processes run under one name: the older one reports that and falls silent.
fn two_under_one_name(seed: u64, planted: Option<Planted>) -> Vec<String> {
    let mut found = Vec::new();
    let nodes = nodes(seed);
    let mut fleet = Fleet::new(nodes + 1, network(seed), seed);
    fleet.planted = planted;
    (0..nodes).for_each(|node| fleet.start(node, 0));
    fleet.run_for(40 * SECOND);
    fleet.start_as(nodes, 1);
    let reported = |fleet: &Fleet| {
        let conflict = |event: &Event| matches!(event, Event::NameConflict { .. });
        fleet.events.iter().any(|(_, node, event)| *node == 1 && conflict(event))
    };
    if fleet.run_until(30 * SECOND, reported).is_none() {
        found.push("the older process does not report the other".into());
    }
    fleet.run_for(60 * SECOND);
    none_failed(&fleet, 0, &[], &mut found);
    let conflicts = fleet.events.iter().filter(|(_, _, event)| matches!(event, Event::NameConflict { .. }));
    if conflicts.count() > 1 {
        found.push("more than one process yields".into());
    }
    found
}

/// A node that announces its leave has left, and is never declared failed.
fn leave(seed: u64, planted: Option<Planted>) -> Vec<String> {
    let mut found = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, planted);
    fleet.leave(2);
    let left = |fleet: &Fleet| fleet.running().all(|(node, _)| fleet.state(node, 2) == Some(State::Left));
    if fleet.run_until(30 * SECOND, left).is_none() {
        found.push("it has not left everywhere in time".into());
    }
    fleet.run_for(120 * SECOND);
    none_failed(&fleet, 0, &[], &mut found);
    found
}

/// A link that comes and goes each second: a bounded number of events.
fn flapping_link(seed: u64, planted: Option<Planted>) -> Vec<String> {
    const EVENTS_A_MINUTE: usize = 2;
    let mut found = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, planted);
    let start = fleet.now;
    for second in 0..180 {
        let gone = second % 2 == 0;
        fleet.cut = Box::new(move |from, to| gone && from.min(to) == 0 && from.max(to) == 1);
        fleet.run_for(SECOND);
    }
    none_failed(&fleet, start, &[], &mut found);
    let reach = |(at, _, event): &&(Micros, usize, Event)| {
        *at >= start && matches!(event, Event::ReachabilityChanged { .. })
    };
    let events = fleet.events.iter().filter(reach).count();
    if events > 3 * 2 * EVENTS_A_MINUTE {
        found.push(format!("{events} reports of reachability"));
    }
    found
}
