//! Plays the membership scenarios in virtual time with 50 seeds each. `examples/membership_simulate.rs` plays more.

#[path = "sim/cases.rs"]
mod cases;
#[path = "sim/mod.rs"]
mod sim;

use cases::{CASES, Case};
use sim::Defect;

/// How many seeds each case is played with.
const SEEDS: u64 = 50;

/// Plays a case with this many seeds and returns the violations, each with its seed.
fn violations(case: &Case, seeds: u64, defect: Option<Defect>) -> Vec<String> {
    let of_seed = |seed| {
        (case.play)(seed, defect).into_iter().map(move |violation| format!("seed {seed}: {violation}"))
    };
    (0..seeds).flat_map(of_seed).collect()
}

/// Defines a test for each case, so that the cases run in parallel.
macro_rules! cases {
    ($($test:ident: $name:literal),* $(,)?) => {
        $(#[test]
        fn $test() {
            let case = CASES.iter().find(|case| case.name == $name).expect("a case of this name");
            let violations = violations(case, SEEDS, None);
            assert!(violations.is_empty(), "{violations:#?}");
        })*

        #[test]
        fn every_case_has_a_test() {
            let tested = [$($name),*];
            assert!(CASES.iter().all(|case| tested.contains(&case.name)));
        }
    };
}

cases! {
    no_node_is_declared_failed_on_a_lossy_network: "lossy network",
    paused_node_declares_no_other_failed_nor_is_after_a_brief_pause: "pauses",
    node_paused_until_it_is_declared_failed_learns_of_that: "pause until failed",
    node_paused_during_a_suspicion_declares_no_node_failed: "pause with a suspicion",
    killed_node_is_declared_failed_by_all_others_in_time: "kill",
    nodes_cut_off_from_each_other_stay_alive_and_report_reachability: "one-sided cut of two",
    node_whose_datagrams_are_all_lost_declares_no_node_failed: "nothing sent arrives",
    views_agree_after_a_partition_without_new_failures: "partition",
    restarted_process_replaces_the_old_one_despite_a_late_leave: "restart",
    older_of_two_processes_under_one_name_stops_taking_part: "two under one name",
    node_that_leaves_is_not_declared_failed: "leave",
    flapping_link_causes_a_bounded_number_of_events: "flapping link",
}

/// The violations in a case whose nodes have a defect.
fn violations_with(defect: Defect, case: &str) -> Vec<String> {
    let case = CASES.iter().find(|known| known.name == case).expect("a case of this name");
    violations(case, SEEDS, Some(defect))
}

#[test]
fn checks_detect_a_node_that_ignores_its_pause() {
    let case = "pause with a suspicion";
    assert!(!violations_with(Defect::IgnoresPause, case).is_empty());
    let without = violations_with(Defect::NoConfirmingProbe, case);
    assert!(without.is_empty(), "detecting the pause suffices: {without:#?}");
}

#[test]
fn checks_detect_an_ignored_refutation() {
    assert!(!violations_with(Defect::IgnoresRefutation, "partition").is_empty());
}

#[test]
fn checks_detect_a_stale_incarnation_that_wins() {
    assert!(!violations_with(Defect::StaleIncarnationWins, "restart").is_empty());
}
