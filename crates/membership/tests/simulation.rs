//! Scenarios in virtual time, 50 seeds of each; `examples/membership_simulate.rs` plays more.

#[path = "sim/cases.rs"]
mod cases;
#[path = "sim/mod.rs"]
mod sim;

use cases::{CASES, Case};
use sim::Planted;

const SEEDS: u64 = 50;

/// Plays a case with all seeds; the violations that were found, each with its seed.
fn violations(case: &Case, seeds: u64, planted: Option<Planted>) -> Vec<String> {
    let found = |seed| (case.play)(seed, planted).into_iter().map(move |what| format!("seed {seed}: {what}"));
    (0..seeds).flat_map(found).collect()
}

/// One test for each case, so that they run beside each other.
macro_rules! cases {
    ($($test:ident: $name:literal),* $(,)?) => {
        $(#[test]
        fn $test() {
            let case = CASES.iter().find(|case| case.name == $name).expect("a case");
            let found = violations(case, SEEDS, None);
            assert!(found.is_empty(), "{found:#?}");
        })*

        #[test]
        fn every_case_has_its_test() {
            let tested = [$($name),*];
            assert!(CASES.iter().all(|case| tested.contains(&case.name)));
        }
    };
}

cases! {
    a_rough_network: "rough network",
    pauses: "pauses",
    a_pause_until_failed: "pause until failed",
    a_pause_with_a_suspicion: "pause with a suspicion",
    a_kill: "kill",
    a_one_sided_cut: "one-sided cut of two",
    a_node_whose_datagrams_are_lost: "nothing sent arrives",
    a_partition: "partition",
    a_restart: "restart",
    two_processes_under_one_name: "two under one name",
    a_leave: "leave",
    a_flapping_link: "flapping link",
}

/// What the checker finds in a case whose rules are broken on purpose.
fn found(planted: Planted, case: &str) -> Vec<String> {
    let case = CASES.iter().find(|known| known.name == case).expect("a case");
    violations(case, SEEDS, Some(planted))
}

#[test]
fn a_node_that_declares_others_failed_after_its_pause_is_detected() {
    let case = "pause with a suspicion";
    assert!(!found(Planted::SuspectsAfterPause, case).is_empty());
    let without = found(Planted::NoConfirmingProbe, case);
    assert!(without.is_empty(), "detecting the pause suffices: {without:#?}");
}

#[test]
fn an_ignored_refutation_is_detected() {
    assert!(!found(Planted::IgnoresRefutation, "partition").is_empty());
}

#[test]
fn a_stale_incarnation_that_wins_is_detected() {
    assert!(!found(Planted::StaleIncarnationWins, "restart").is_empty());
}
