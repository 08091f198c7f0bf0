//! Scenarios that the membership has to handle. Each is played from a seed and returns the violations of its rules.

use stonefold_membership::{Event, MemberId, Micros, Reachability, State};

use crate::sim::{Defect, Fleet, MILLISECOND, Network, SECOND, name};

/// In a fleet of at most 30 nodes, all others declare a silent node failed within this time.
pub(crate) const DETECTION_BOUND: Micros = 60 * SECOND;
/// No node is declared failed for a pause of at most this length.
pub(crate) const TOLERATED_PAUSE: Micros = 10 * SECOND;
/// In a fleet of at most 30 nodes, all views agree within this time after all datagrams pass again.
pub(crate) const CONVERGENCE_BOUND: Micros = 60 * SECOND;
/// More notices than a failed member would get if each other node sent them only as often as any other update.
const LOST_NOTICES: usize = 200;
/// A node that was declared failed learns of that within this time after it resumes, if [`LOST_NOTICES`] are lost.
const NOTICE_BOUND: Micros = 600 * SECOND;
/// In a fleet of at most 30 nodes, nodes that start together know each other after this time.
const STARTUP_TIME: Micros = 20 * SECOND;

/// A scenario in a simulated fleet, and the rules that have to hold in it.
pub(crate) struct Case {
    pub(crate) name: &'static str,
    /// Plays the scenario from a seed, with a defect if there is one, and returns the violations of its rules.
    pub(crate) play: fn(u64, Option<Defect>) -> Vec<String>,
}

pub(crate) const CASES: &[Case] = &[
    Case { name: "lossy network", play: lossy_network },
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

/// The size of the fleet for a seed.
fn nodes(seed: u64) -> usize {
    [4, 5, 8, 12][(seed % 4) as usize]
}

/// The network for a seed: reliable for even seeds, with 10% loss for odd ones.
fn network(seed: u64) -> Network {
    if seed.is_multiple_of(2) { Network::RELIABLE } else { Network::with_loss(0.1) }
}

/// A fleet whose nodes know each other.
fn fleet(nodes: usize, network: Network, seed: u64, defect: Option<Defect>) -> Fleet {
    let mut fleet = Fleet::new(nodes, network, seed);
    fleet.defect = defect;
    (0..nodes).for_each(|node| fleet.start(node, 0));
    fleet.run_for(STARTUP_TIME);
    fleet
}

/// Reports each declaration of failure after a time, except those of dead nodes.
fn check_no_live_node_failed(fleet: &Fleet, since: Micros, dead: &[usize], violations: &mut Vec<String>) {
    for (at, by, of) in fleet.declared_failed(since) {
        if !dead.contains(&of) {
            violations.push(format!("{} declared {} failed at {} ms", name(by), name(of), at / MILLISECOND));
        }
    }
}

/// Runs until all views agree, and reports if they don't within `max_wait`.
fn check_views_agree_within(fleet: &mut Fleet, max_wait: Micros, violations: &mut Vec<String>) {
    if fleet.run_until(max_wait, Fleet::views_agree).is_none() {
        violations.push("views do not agree in time".into());
    }
}

/// The network loses 30% of the datagrams, delays them by up to 200 ms, duplicates and reorders them: no node is
/// declared failed.
fn lossy_network(seed: u64, defect: Option<Defect>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut fleet = fleet(nodes(seed), Network::LOSSY, seed, defect);
    fleet.run_for(300 * SECOND);
    check_no_live_node_failed(&fleet, 0, &[], &mut violations);
    check_views_agree_within(&mut fleet, CONVERGENCE_BOUND, &mut violations);
    violations
}

/// A node is paused: it declares no other node failed, and is not declared failed itself if the pause was brief.
fn pauses(seed: u64, defect: Option<Defect>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, defect);
    let start = fleet.now;
    let lengths = [200 * MILLISECOND, 2 * SECOND, TOLERATED_PAUSE, 30 * SECOND];
    for length in lengths {
        fleet.pause(1, length);
        fleet.run_for(length + 40 * SECOND);
        for (at, by, of) in fleet.declared_failed(start) {
            if by == 1 || of != 1 || length <= TOLERATED_PAUSE {
                violations.push(format!("{} declared {} failed at {at} us", name(by), name(of)));
            }
        }
    }
    let failed = !fleet.declared_failed(start).is_empty();
    let learned = |(_, node, event): &(Micros, usize, Event)| {
        *node == 1 && matches!(event, Event::DeclaredFailed { .. })
    };
    if failed && !fleet.events.iter().any(learned) {
        violations.push("the node that was declared failed does not learn of that".into());
    }
    // All nodes are paused at once, as on a machine that is suspended.
    (0..fleet.processes.len()).for_each(|node| fleet.pause(node, 20 * SECOND));
    let since = fleet.now;
    fleet.run_for(60 * SECOND);
    check_no_live_node_failed(&fleet, since, &[], &mut violations);
    check_views_agree_within(&mut fleet, CONVERGENCE_BOUND, &mut violations);
    violations
}

/// A node is paused until all others have declared it failed. When it resumes it learns of that, even if the first
/// datagrams that notify it are lost. Depending on the seed none are lost, as many as one node sends of an update, or
/// [`LOST_NOTICES`].
fn pause_until_failed(seed: u64, defect: Option<Defect>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, defect);
    let others: Vec<usize> = (0..fleet.processes.len()).filter(|node| *node != 1).collect();
    fleet.pause(1, DETECTION_BOUND);
    let failed = |fleet: &Fleet| others.iter().all(|by| fleet.state(*by, 1) == Some(State::Failed));
    if fleet.run_until(DETECTION_BOUND, failed).is_none() {
        return vec!["the paused node is not declared failed in time".into()];
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
        violations.push("the node that was declared failed does not learn of that".into());
    }
    check_views_agree_within(&mut fleet, CONVERGENCE_BOUND, &mut violations);
    violations
}

/// A node is paused while it suspects another one, which refutes the suspicion meanwhile. When the node resumes, it
/// declares no other node failed.
fn pause_with_a_suspicion(seed: u64, defect: Option<Defect>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, defect);
    fleet.pause(2, TOLERATED_PAUSE);
    let suspects = |fleet: &Fleet| fleet.state(1, 2) == Some(State::Suspect);
    if fleet.run_until(TOLERATED_PAUSE, suspects).is_some() {
        let since = fleet.now;
        fleet.pause(1, 30 * SECOND);
        fleet.run_for(30 * SECOND + SECOND);
        violations.extend(fleet.declared_failed(since).iter().filter(|(_, by, _)| *by == 1).map(
            |(at, _, of)| {
                format!("the resumed node declared {} failed at {} ms", name(*of), at / MILLISECOND)
            },
        ));
    }
    fleet.run_for(60 * SECOND);
    check_views_agree_within(&mut fleet, CONVERGENCE_BOUND, &mut violations);
    violations
}

/// A node is killed: all others declare it failed in time, and no other node.
fn kill(seed: u64, defect: Option<Defect>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, defect);
    fleet.kill(2);
    let failed = |fleet: &Fleet| fleet.running().all(|(node, _)| fleet.state(node, 2) == Some(State::Failed));
    if fleet.run_until(DETECTION_BOUND, failed).is_none() {
        violations.push("the dead node is not declared failed by all others in time".into());
    }
    fleet.run_for(120 * SECOND);
    check_no_live_node_failed(&fleet, 0, &[2], &mut violations);
    // The node starts again, and the others accept it as a member.
    fleet.start(2, 0);
    check_views_agree_within(&mut fleet, CONVERGENCE_BOUND, &mut violations);
    violations
}

/// Datagrams between two nodes are lost in one direction or in both, while the other links work. Both nodes stay alive,
/// and are reported as reachable only indirectly.
fn one_sided_cut(seed: u64, defect: Option<Defect>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, defect);
    let both = seed.is_multiple_of(3);
    fleet.cut = Box::new(move |from, to| (from, to) == (0, 1) || both && (from, to) == (1, 0));
    let start = fleet.now;
    fleet.run_for(180 * SECOND);
    check_no_live_node_failed(&fleet, start, &[], &mut violations);
    let reported = fleet.events.iter().any(|(at, node, event)| {
        let expected = Event::ReachabilityChanged { name: name(1), reachability: Reachability::IndirectOnly };
        *at >= start && *node == 0 && *event == expected
    });
    if !reported {
        violations.push("the lost reachability is not reported".into());
    }
    fleet.cut = Box::new(|_, _| false);
    fleet.run_for(180 * SECOND);
    let id = MemberId::of(&name(1));
    let reachability =
        fleet.processes[0].detector.as_ref().and_then(|d| d.member(id)).map(|member| member.reachability);
    if reachability != Some(Reachability::Direct) {
        violations.push(format!("the member is {reachability:?} after the link works again"));
    }
    violations
}

/// All datagrams that one node sends are lost, and it receives everything. All others declare it failed; it learns of
/// that and declares no other node failed.
fn nothing_sent_arrives(seed: u64, defect: Option<Defect>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, defect);
    fleet.cut = Box::new(|from, _| from == 3);
    let start = fleet.now;
    let failed = |fleet: &Fleet| {
        fleet
            .running()
            .filter(|(node, _)| *node != 3)
            .all(|(node, _)| fleet.state(node, 3) == Some(State::Failed))
    };
    if fleet.run_until(DETECTION_BOUND, failed).is_none() {
        violations.push("the node is not declared failed by all others in time".into());
    }
    fleet.run_for(60 * SECOND);
    check_no_live_node_failed(&fleet, start, &[3], &mut violations);
    let learned = |(at, node, event): &(Micros, usize, Event)| {
        *at >= start && *node == 3 && matches!(event, Event::DeclaredFailed { .. })
    };
    if !fleet.events.iter().any(learned) {
        violations.push("the node does not learn that it was declared failed".into());
    }
    fleet.cut = Box::new(|_, _| false);
    check_views_agree_within(&mut fleet, CONVERGENCE_BOUND, &mut violations);
    violations
}

/// A partition divides the fleet: each side goes on and declares the other failed. After the partition ends, all views
/// agree again and no node is declared failed anew.
fn partition(seed: u64, defect: Option<Defect>) -> Vec<String> {
    let mut violations = Vec::new();
    let nodes = nodes(seed);
    let mut fleet = fleet(nodes, network(seed), seed, defect);
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
        violations.push("the sides do not declare each other failed in time".into());
    }
    fleet.cut = Box::new(|_, _| false);
    let healed = fleet.now;
    check_views_agree_within(&mut fleet, CONVERGENCE_BOUND, &mut violations);
    fleet.run_for(60 * SECOND);
    check_no_live_node_failed(&fleet, healed, &[], &mut violations);
    violations
}

/// A new process replaces the old one at once, also if the machine's clock was set back and the leave of the old
/// process arrives late.
fn restart(seed: u64, defect: Option<Defect>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, defect);
    for clock_ms in [0, -600_000] {
        let since = fleet.now;
        if seed.is_multiple_of(3) {
            fleet.kill(1);
        } else {
            fleet.leave(1); // the leave is in flight while the next process starts
        }
        fleet.start(1, clock_ms);
        check_views_agree_within(&mut fleet, 30 * SECOND, &mut violations);
        fleet.run_for(30 * SECOND);
        check_no_live_node_failed(&fleet, since, &[], &mut violations);
        for node in (0..fleet.processes.len()).filter(|node| *node != 1) {
            if new_process_is_reported_as_left(&fleet, node, since) {
                violations.push(format!("{} attributes the old process's leave to the new one", name(node)));
            }
        }
    }
    violations
}

/// Whether a node reported that node 1 left after it had reported its new process.
fn new_process_is_reported_as_left(fleet: &Fleet, node: usize, since: Micros) -> bool {
    let node_events = fleet.events.iter().filter(|(at, by, _)| *at > since && *by == node);
    let mut new_is_known = false;
    for (_, _, event) in node_events {
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

/// Two processes run under one name: the older one reports that and stops taking part.
fn two_under_one_name(seed: u64, defect: Option<Defect>) -> Vec<String> {
    let mut violations = Vec::new();
    let nodes = nodes(seed);
    let mut fleet = Fleet::new(nodes + 1, network(seed), seed);
    fleet.defect = defect;
    (0..nodes).for_each(|node| fleet.start(node, 0));
    fleet.run_for(40 * SECOND);
    fleet.start_as(nodes, 1);
    let reported = |fleet: &Fleet| {
        let is_conflict = |event: &Event| matches!(event, Event::NameConflict { .. });
        fleet.events.iter().any(|(_, node, event)| *node == 1 && is_conflict(event))
    };
    if fleet.run_until(30 * SECOND, reported).is_none() {
        violations.push("the older process does not report the name conflict".into());
    }
    fleet.run_for(60 * SECOND);
    check_no_live_node_failed(&fleet, 0, &[], &mut violations);
    let conflicts = fleet.events.iter().filter(|(_, _, event)| matches!(event, Event::NameConflict { .. }));
    if conflicts.count() > 1 {
        violations.push("more than one process reports a name conflict".into());
    }
    violations
}

/// A node announces that it leaves: all others report that it left, and none declares it failed.
fn leave(seed: u64, defect: Option<Defect>) -> Vec<String> {
    let mut violations = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, defect);
    fleet.leave(2);
    let left = |fleet: &Fleet| fleet.running().all(|(node, _)| fleet.state(node, 2) == Some(State::Left));
    if fleet.run_until(30 * SECOND, left).is_none() {
        violations.push("not all other nodes learn in time that the node left".into());
    }
    fleet.run_for(120 * SECOND);
    check_no_live_node_failed(&fleet, 0, &[], &mut violations);
    violations
}

/// A link fails and works again every second: the number of reported events is bounded.
fn flapping_link(seed: u64, defect: Option<Defect>) -> Vec<String> {
    const MAX_EVENTS_PER_MINUTE: usize = 2;
    let mut violations = Vec::new();
    let mut fleet = fleet(nodes(seed), network(seed), seed, defect);
    let start = fleet.now;
    for second in 0..180 {
        let link_down = second % 2 == 0;
        fleet.cut = Box::new(move |from, to| link_down && from.min(to) == 0 && from.max(to) == 1);
        fleet.run_for(SECOND);
    }
    check_no_live_node_failed(&fleet, start, &[], &mut violations);
    let reach = |(at, _, event): &&(Micros, usize, Event)| {
        *at >= start && matches!(event, Event::ReachabilityChanged { .. })
    };
    let events = fleet.events.iter().filter(reach).count();
    if events > 3 * 2 * MAX_EVENTS_PER_MINUTE {
        violations.push(format!("{events} reports of changed reachability"));
    }
    violations
}
