//! What a node does with the list's history is judged as it is: nothing skipped, nothing backwards.

use stonefold_lab::hollow::list_checker::{Standing, Truth};
use stonefold_model::{Listed, State};

fn listed(server: usize, state: State) -> Listed {
    Listed { server, state, started: 0 }
}

fn truth(nodes: usize) -> Truth {
    Truth::new(1, (0..3).map(|server| listed(server, State::Serving)), nodes)
}

/// A node that has all servers as they were listed first, but for these.
fn but(others: &[(usize, Standing)]) -> impl Fn(usize) -> Standing {
    move |server| {
        let other = others.iter().find(|(of, _)| *of == server);
        other.map_or((server < 3).then_some((State::Serving, 0)), |(_, standing)| *standing)
    }
}

#[test]
fn a_node_that_follows_is_found_to_have_missed_nothing() {
    let mut truth = truth(1);
    truth.acted(0, 10, 1, (3, 3), but(&[]));
    truth.learned(20, &[listed(1, State::Draining)]);
    truth.learned(30, &[listed(2, State::Deleted), listed(3, State::Serving)]);
    assert_eq!(truth.behind().collect::<Vec<_>>(), [(0, Some(1))]);
    let drains = Some((State::Draining, 0));
    assert_eq!(truth.acted(0, 25, 2, (3, 3), but(&[(1, drains)])), [5]);
    let now = [(1, drains), (2, None), (3, Some((State::Serving, 0)))];
    assert_eq!(truth.acted(0, 70, 4, (3, 3), but(&now)), [40, 40]);
    assert_eq!(truth.behind().count(), 0);
    assert_eq!(truth.everywhere().collect::<Vec<_>>(), [5, 40, 40]);
    assert_eq!((truth.found().skipped, truth.found().backwards), (0, 0), "{:?}", truth.found());
}

#[test]
fn a_change_that_a_node_skips_is_found() {
    let mut truth = truth(2);
    truth.learned(20, &[listed(1, State::Draining), listed(2, State::Draining)]);
    truth.acted(0, 30, 3, (3, 3), but(&[(2, Some((State::Draining, 0)))]));
    assert_eq!(truth.found().skipped, 1);
    assert!(truth.found().words[0].contains("node 0 at version 3 has server 1"), "{:?}", truth.found());
    // Another start of a server is another standing, and one too many is one too many.
    truth.learned(40, &[Listed { started: 7, ..listed(0, State::Serving) }]);
    truth.acted(1, 50, 4, (4, 4), but(&[(1, Some((State::Draining, 0))), (2, Some((State::Draining, 0)))]));
    assert_eq!(truth.found().skipped, 3);
}

#[test]
fn a_module_that_has_other_servers_than_its_node_is_found() {
    let mut truth = truth(1);
    truth.acted(0, 10, 1, (3, 2), but(&[]));
    assert_eq!(truth.found().skipped, 1);
}

#[test]
fn a_list_that_is_older_than_the_last_or_than_any_is_found() {
    let mut truth = truth(1);
    truth.learned(20, &[listed(1, State::Draining)]);
    let drains = [(1, Some((State::Draining, 0)))];
    truth.acted(0, 30, 2, (3, 3), but(&drains));
    truth.acted(0, 40, 1, (3, 3), but(&[]));
    truth.acted(0, 50, 3, (3, 3), but(&drains));
    assert_eq!((truth.found().skipped, truth.found().backwards), (0, 2));
    assert!(truth.found().words[0].contains("from version 2 to 1"), "{:?}", truth.found());
}

#[test]
fn a_node_that_starts_anew_may_begin_with_what_it_was_configured_with_and_has_changes_from_its_start() {
    let mut truth = truth(1);
    truth.learned(20, &[listed(1, State::Draining)]);
    let drains = [(1, Some((State::Draining, 0)))];
    truth.acted(0, 30, 2, (3, 3), but(&drains));
    truth.started(0, 100);
    assert_eq!(truth.behind().count(), 1);
    assert_eq!(truth.acted(0, 103, 2, (3, 3), but(&drains)), [3]);
    assert_eq!((truth.found().backwards, truth.behind().count()), (0, 0));
}

#[test]
fn a_change_counts_from_when_discovery_had_it_and_could_be_reached() {
    let mut truth = truth(1);
    truth.acted(0, 10, 1, (3, 3), but(&[]));
    truth.away(100..200);
    truth.learned(90, &[listed(0, State::Draining)]);
    truth.learned(150, &[listed(1, State::Draining)]);
    truth.learned(210, &[listed(2, State::Draining)]);
    let drains = [0, 1, 2].map(|server| (server, Some((State::Draining, 0))));
    assert_eq!(truth.acted(0, 230, 4, (3, 3), but(&drains)), [140, 30, 20]);
}
