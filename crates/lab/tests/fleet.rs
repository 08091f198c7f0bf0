//! Runs short scenarios in virtual time: no node skips a change or applies an older list, and injected faults are
//! found.

use std::time::Duration;

use stonefold_config::{Count, Positive};
use stonefold_lab::hollow::fleet::{Fleet, FleetPlan, InjectedFault};
use stonefold_lab::hollow::scenario::{Scenario, run_scenario};
use stonefold_model::site::DiscoveryKind;
use tokio::runtime::Handle;

const NODES: usize = 40;
const LASTS: Duration = Duration::from_secs(30);
const CATCH_UP: Duration = Duration::from_secs(60);

async fn start_fleet(subscribe: bool) -> Fleet {
    let discovery = DiscoveryKind { calls_per_s: Positive::new(200.0), ..DiscoveryKind::default() };
    let plan = FleetPlan { nodes: NODES, others: 0, servers: 60, discovery, subscribe, seed: 7 };
    let mut fleet = Fleet::start(plan, vec![Handle::current()]).await.unwrap();
    (0..NODES).for_each(|node| fleet.start_node(node).unwrap());
    assert!(fleet.wait_until_settled(CATCH_UP).await, "{:?}", fleet.lagging_nodes());
    fleet
}

/// Runs a scenario with a required watch and without: all changes must reach all nodes.
async fn assert_all_changes_reach_all_nodes(scenario: Scenario, changes: usize) {
    for subscribe in [true, false] {
        let mut fleet = start_fleet(subscribe).await;
        run_scenario(&mut fleet, scenario, changes, LASTS).await.unwrap();
        assert!(fleet.wait_until_settled(CATCH_UP).await, "{scenario:?}: {:?}", fleet.lagging_nodes());
        let findings = fleet.findings();
        assert_eq!(
            (findings.skipped, findings.backwards),
            (0, 0),
            "{scenario:?}: {:?}",
            findings.descriptions
        );
        let (node_times, last_node_times) = fleet.propagation_times();
        assert!(last_node_times.len() >= changes as u64 && node_times.len() >= NODES as u64, "{scenario:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn frequent_changes_reach_all_nodes() {
    assert_all_changes_reach_all_nodes(Scenario::Calm, 200).await;
}

#[tokio::test(start_paused = true)]
async fn restarted_nodes_catch_up() {
    assert_all_changes_reach_all_nodes(Scenario::Restarts(Count::new(12)), 40).await;
}

#[tokio::test(start_paused = true)]
async fn all_nodes_catch_up_when_restarted_at_once() {
    assert_all_changes_reach_all_nodes(Scenario::RestartAll, 40).await;
}

#[tokio::test(start_paused = true)]
async fn a_returning_zone_reaches_all_nodes() {
    assert_all_changes_reach_all_nodes(Scenario::ZoneReturns, 4).await;
}

#[tokio::test(start_paused = true)]
async fn changes_during_an_outage_of_discovery_reach_all_nodes_afterwards() {
    assert_all_changes_reach_all_nodes(Scenario::DiscoveryUnavailable, 40).await;
}

/// Injects a fault into an answer of discovery to one node between changes, and returns the findings.
async fn with_injected_fault(fault: InjectedFault) -> stonefold_lab::hollow::list_checker::Findings {
    let mut fleet = start_fleet(true).await;
    run_scenario(&mut fleet, Scenario::Calm, 5, LASTS / 4).await.unwrap();
    assert!(fleet.wait_until_settled(CATCH_UP).await);
    assert_eq!((fleet.findings().skipped, fleet.findings().backwards), (0, 0));
    fleet.inject_fault(fault);
    run_scenario(&mut fleet, Scenario::Calm, 5, LASTS / 4).await.unwrap();
    fleet.wait_until_settled(CATCH_UP).await;
    fleet.findings()
}

#[tokio::test(start_paused = true)]
async fn a_change_left_out_for_one_node_is_found() {
    let findings = with_injected_fault(InjectedFault::Skip).await;
    assert!(findings.skipped > 0 && findings.backwards == 0, "{findings:?}");
}

#[tokio::test(start_paused = true)]
async fn an_older_list_at_one_node_is_found() {
    let findings = with_injected_fault(InjectedFault::StepBack).await;
    assert!(findings.backwards > 0, "{findings:?}");
}
