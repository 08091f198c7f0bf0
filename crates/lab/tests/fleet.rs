//! The scenarios in short, in virtual time: nothing is skipped, nothing applied backwards; and what is, is found.

use std::time::Duration;

use stonefold_config::{Count, Positive};
use stonefold_lab::hollow::fleet::{Fleet, InjectedFault, Plan};
use stonefold_lab::hollow::scenario::{Scenario, run_scenario};
use stonefold_model::site::DiscoveryKind;
use tokio::runtime::Handle;

const NODES: usize = 40;
const LASTS: Duration = Duration::from_secs(30);
const CATCH_UP: Duration = Duration::from_secs(60);

async fn fleet(subscribe: bool) -> Fleet {
    let discovery = DiscoveryKind { calls_per_s: Positive::new(200.0), ..DiscoveryKind::default() };
    let plan = Plan { nodes: NODES, others: 0, servers: 60, discovery, subscribe, seed: 7 };
    let mut fleet = Fleet::start(plan, vec![Handle::current()]).await.unwrap();
    (0..NODES).for_each(|node| fleet.start_node(node).unwrap());
    assert!(fleet.settled(CATCH_UP).await, "{:?}", fleet.behind());
    fleet
}

/// Plays it where lists are asked for and where they are pushed: all changes get everywhere.
async fn is_whole(of: Scenario, changes: usize) {
    for subscribe in [true, false] {
        let mut fleet = fleet(subscribe).await;
        run_scenario(&mut fleet, of, changes, LASTS).await.unwrap();
        assert!(fleet.settled(CATCH_UP).await, "{of:?}: {:?}", fleet.behind());
        let found = fleet.found();
        assert_eq!((found.skipped, found.backwards), (0, 0), "{of:?}: {:?}", found.words);
        let (took, everywhere) = fleet.took();
        assert!(everywhere.len() >= changes as u64 && took.len() >= NODES as u64, "{of:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_days_changes_get_everywhere() {
    is_whole(Scenario::Calm, 200).await;
}

#[tokio::test(start_paused = true)]
async fn nodes_that_are_restarted_catch_up() {
    is_whole(Scenario::Restarts(Count::new(12)), 40).await;
}

#[tokio::test(start_paused = true)]
async fn all_nodes_that_are_restarted_at_once_catch_up() {
    is_whole(Scenario::RestartAll, 40).await;
}

#[tokio::test(start_paused = true)]
async fn a_zone_that_returns_is_known_everywhere() {
    is_whole(Scenario::ZoneReturns, 4).await;
}

#[tokio::test(start_paused = true)]
async fn what_changed_while_discovery_was_away_gets_everywhere_once_it_is_back() {
    is_whole(Scenario::DiscoveryUnavailable, 40).await;
}

/// Discovery does something wrong to one node, in the middle of changes.
async fn with_injected_fault(fault: InjectedFault) -> stonefold_lab::hollow::list_checker::Found {
    let mut fleet = fleet(true).await;
    run_scenario(&mut fleet, Scenario::Calm, 5, LASTS / 4).await.unwrap();
    assert!(fleet.settled(CATCH_UP).await);
    assert_eq!((fleet.found().skipped, fleet.found().backwards), (0, 0));
    fleet.inject_fault(fault);
    run_scenario(&mut fleet, Scenario::Calm, 5, LASTS / 4).await.unwrap();
    fleet.settled(CATCH_UP).await;
    fleet.found()
}

#[tokio::test(start_paused = true)]
async fn a_change_that_one_node_was_not_told_is_found() {
    let found = with_injected_fault(InjectedFault::Skip).await;
    assert!(found.skipped > 0 && found.backwards == 0, "{found:?}");
}

#[tokio::test(start_paused = true)]
async fn a_list_that_goes_back_at_one_node_is_found() {
    let found = with_injected_fault(InjectedFault::StepBack).await;
    assert!(found.backwards > 0, "{found:?}");
}
