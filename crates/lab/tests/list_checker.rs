//! Tests of the list checker: it finds skipped changes and older lists, and nothing at a node that follows the list.

use stonefold_lab::hollow::list_checker::{ListChecker, ServerStatus};
use stonefold_model::{Listed, State};

fn listed(server: usize, state: State) -> Listed {
    Listed { server, state, started: 0 }
}

fn list_checker(nodes: usize) -> ListChecker {
    ListChecker::new(1, (0..3).map(|server| listed(server, State::Serving)), nodes)
}

/// The statuses at a node that has all servers as in the first list except for these.
fn statuses_except(others: &[(usize, ServerStatus)]) -> impl Fn(usize) -> ServerStatus {
    move |server| {
        let other = others.iter().find(|(number, _)| *number == server);
        other.map_or((server < 3).then_some((State::Serving, 0)), |(_, status)| *status)
    }
}

#[test]
fn a_node_that_follows_the_list_has_no_findings() {
    let mut checker = list_checker(1);
    checker.list_applied(0, 10, 1, (3, 3), statuses_except(&[]));
    checker.changes_published(20, &[listed(1, State::Draining)]);
    checker.changes_published(30, &[listed(2, State::Deleted), listed(3, State::Serving)]);
    assert_eq!(checker.lagging_nodes().collect::<Vec<_>>(), [(0, Some(1))]);
    let draining = Some((State::Draining, 0));
    assert_eq!(checker.list_applied(0, 25, 2, (3, 3), statuses_except(&[(1, draining)])), [5]);
    let latest = [(1, draining), (2, None), (3, Some((State::Serving, 0)))];
    assert_eq!(checker.list_applied(0, 70, 4, (3, 3), statuses_except(&latest)), [40, 40]);
    assert_eq!(checker.lagging_nodes().count(), 0);
    assert_eq!(checker.propagation_times().collect::<Vec<_>>(), [5, 40, 40]);
    assert_eq!(
        (checker.findings().skipped, checker.findings().backwards),
        (0, 0),
        "{:?}",
        checker.findings()
    );
}

#[test]
fn a_skipped_change_is_found() {
    let mut checker = list_checker(2);
    checker.changes_published(20, &[listed(1, State::Draining), listed(2, State::Draining)]);
    checker.list_applied(0, 30, 3, (3, 3), statuses_except(&[(2, Some((State::Draining, 0)))]));
    assert_eq!(checker.findings().skipped, 1);
    assert!(
        checker.findings().descriptions[0].contains("node 0 at version 3 has server 1"),
        "{:?}",
        checker.findings()
    );
    // A server with another start time is a finding, and so is a wrong number of servers.
    checker.changes_published(40, &[Listed { started: 7, ..listed(0, State::Serving) }]);
    checker.list_applied(
        1,
        50,
        4,
        (4, 4),
        statuses_except(&[(1, Some((State::Draining, 0))), (2, Some((State::Draining, 0)))]),
    );
    assert_eq!(checker.findings().skipped, 3);
}

#[test]
fn a_balancer_with_fewer_servers_than_its_node_is_found() {
    let mut checker = list_checker(1);
    checker.list_applied(0, 10, 1, (3, 2), statuses_except(&[]));
    assert_eq!(checker.findings().skipped, 1);
}

#[test]
fn a_list_older_than_the_last_or_newer_than_the_latest_is_found() {
    let mut checker = list_checker(1);
    checker.changes_published(20, &[listed(1, State::Draining)]);
    let draining = [(1, Some((State::Draining, 0)))];
    checker.list_applied(0, 30, 2, (3, 3), statuses_except(&draining));
    checker.list_applied(0, 40, 1, (3, 3), statuses_except(&[]));
    checker.list_applied(0, 50, 3, (3, 3), statuses_except(&draining));
    assert_eq!((checker.findings().skipped, checker.findings().backwards), (0, 2));
    assert!(checker.findings().descriptions[0].contains("from version 2 to 1"), "{:?}", checker.findings());
}

#[test]
fn a_restarted_node_begins_with_the_first_list_and_counts_from_its_start() {
    let mut checker = list_checker(1);
    checker.changes_published(20, &[listed(1, State::Draining)]);
    let draining = [(1, Some((State::Draining, 0)))];
    checker.list_applied(0, 30, 2, (3, 3), statuses_except(&draining));
    checker.node_started(0, 100);
    assert_eq!(checker.lagging_nodes().count(), 1);
    assert_eq!(checker.list_applied(0, 103, 2, (3, 3), statuses_except(&draining)), [3]);
    assert_eq!((checker.findings().backwards, checker.lagging_nodes().count()), (0, 0));
}

#[test]
fn propagation_counts_from_publication_and_from_the_end_of_an_outage() {
    let mut checker = list_checker(1);
    checker.list_applied(0, 10, 1, (3, 3), statuses_except(&[]));
    checker.discovery_unavailable(100..200);
    checker.changes_published(90, &[listed(0, State::Draining)]);
    checker.changes_published(150, &[listed(1, State::Draining)]);
    checker.changes_published(210, &[listed(2, State::Draining)]);
    let draining = [0, 1, 2].map(|server| (server, Some((State::Draining, 0))));
    assert_eq!(checker.list_applied(0, 230, 4, (3, 3), statuses_except(&draining)), [140, 30, 20]);
}
