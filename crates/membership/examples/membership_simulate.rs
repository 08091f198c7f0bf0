//! Simulates the membership in virtual time: plays all cases with many seeds, or measures fleets of several sizes.
//!
//!     cargo run --release -p stonefold-membership --example membership_simulate -- cases 1000
//!     cargo run --release -p stonefold-membership --example membership_simulate -- table 4 30 300 900
//!     cargo run --release -p stonefold-membership --example membership_simulate -- hour 4 30 300 900

#[path = "../tests/sim/cases.rs"]
mod cases;
#[path = "../tests/sim/mod.rs"]
mod sim;

use std::process::ExitCode;
use std::thread;
use std::time::Instant;

use cases::CASES;
use sim::{Fleet, MILLISECOND, Network, SECOND};
use stonefold_membership::{Micros, State};

/// For how long the cost of an idle fleet is measured.
const IDLE_MEASUREMENT: Micros = 60 * SECOND;
/// The longest time that a fleet may take until all views agree or a failure is detected.
const MAX_WAIT: Micros = 600 * SECOND;
/// The fractions of lost datagrams that are measured.
const LOSSES: [f64; 3] = [0.0, 0.1, 0.3];

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let numbers = || arguments[1..].iter().map(|text| text.parse().expect("a number"));
    match arguments.first().map(String::as_str) {
        Some("cases") => run_cases(numbers().next().unwrap_or(1_000)),
        Some("table") => print_table(&numbers().map(|nodes| nodes as usize).collect::<Vec<_>>()),
        Some("hour") => run_hour(&numbers().map(|nodes| nodes as usize).collect::<Vec<_>>()),
        _ => {
            eprintln!("cases SEEDS | table NODES ... | hour NODES ...");
            ExitCode::FAILURE
        }
    }
}

/// Plays all cases with this many seeds, each case on a thread of its own.
fn run_cases(seeds: u64) -> ExitCode {
    let play = |case: &'static cases::Case| {
        let of_seed = |seed| {
            (case.play)(seed, None).into_iter().map(move |violation| format!("seed {seed}: {violation}"))
        };
        (0..seeds).flat_map(of_seed).collect::<Vec<String>>()
    };
    let violation_count: usize = thread::scope(|scope| {
        let threads: Vec<_> = CASES.iter().map(|case| (case, scope.spawn(move || play(case)))).collect();
        let results = threads.into_iter().map(|(case, thread)| (case, thread.join().expect("no panic")));
        results
            .map(|(case, violations)| {
                println!("{}: {} of {seeds} seeds, {} wrong", case.name, seeds, violations.len());
                violations.iter().take(5).for_each(|violation| println!("  {violation}"));
                violations.len()
            })
            .sum()
    });
    if violation_count == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Prints a table with one row for each size and fraction of lost datagrams.
fn print_table(sizes: &[usize]) -> ExitCode {
    println!(
        "| nodes | loss | all known after s | bytes/s a node | packets/s | us of processor/s | detected s (p50 / p100) \
         | live failed | healed s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let rows = sizes.iter().flat_map(|&nodes| LOSSES.map(|loss| (nodes, loss)));
    for (nodes, loss) in rows {
        println!("{}", table_row(nodes, loss));
    }
    ExitCode::SUCCESS
}

/// Measures a fleet and returns its row of the table.
fn table_row(nodes: usize, loss: f64) -> String {
    let network = Network { loss, ..Network::LOSSY };
    let mut fleet = Fleet::started(nodes, network, 1, SECOND);
    let all_known = fleet.run_until(MAX_WAIT, Fleet::views_agree).map(|took| took + SECOND);
    fleet.run_for(60 * SECOND);
    let idle_cost = measure_idle_cost(&mut fleet, nodes);
    let (median, longest) = measure_detection(&mut fleet, nodes / 2);
    let dead = nodes / 2;
    let live_failed = fleet.declared_failed(0).iter().filter(|(_, _, of)| *of != dead).count();
    let healed = measure_healing(nodes, network);
    let seconds = |time: Option<Micros>| {
        time.map_or("not".into(), |time| format!("{:.1}", time as f64 / SECOND as f64))
    };
    format!(
        "| {nodes} | {:.0}% | {} | {:.0} | {:.2} | {:.0} | {} / {} | {live_failed} | {} |",
        loss * 100.0,
        seconds(all_known),
        idle_cost.bytes,
        idle_cost.packets,
        idle_cost.processor_us,
        seconds(median),
        seconds(longest),
        seconds(healed)
    )
}

/// The cost of an idle fleet, per node and second.
struct IdleCost {
    bytes: f64,
    packets: f64,
    processor_us: f64,
}

fn measure_idle_cost(fleet: &mut Fleet, nodes: usize) -> IdleCost {
    let count = |fleet: &Fleet| -> (u64, u64) {
        fleet.processes.iter().fold((0, 0), |(bytes, packets), p| (bytes + p.bytes, packets + p.packets))
    };
    let (before, start) = (count(fleet), Instant::now());
    fleet.run_for(IDLE_MEASUREMENT);
    let after = count(fleet);
    let per_node_and_second = |total: u64| total as f64 / nodes as f64 / (IDLE_MEASUREMENT / SECOND) as f64;
    IdleCost {
        bytes: per_node_and_second(after.0 - before.0),
        packets: per_node_and_second(after.1 - before.1),
        processor_us: per_node_and_second(start.elapsed().as_micros() as u64),
    }
}

/// Kills a node, and returns after what time half of the others and all others have declared it failed.
fn measure_detection(fleet: &mut Fleet, dead: usize) -> (Option<Micros>, Option<Micros>) {
    fleet.kill(dead);
    let start = fleet.now;
    let is_failed_at = |fleet: &Fleet, fraction: f64| {
        let all = fleet.running().count() as f64;
        let failed =
            fleet.running().filter(|(node, _)| fleet.state(*node, dead) == Some(State::Failed)).count();
        failed as f64 >= all * fraction
    };
    let median = fleet.run_until(MAX_WAIT, |fleet| is_failed_at(fleet, 0.5));
    let longest = fleet.run_until(MAX_WAIT, |fleet| is_failed_at(fleet, 1.0));
    (median, longest.map(|_| fleet.now - start))
}

/// Partitions a fleet into two halves for five minutes, and returns how long after that all views agree.
fn measure_healing(nodes: usize, network: Network) -> Option<Micros> {
    let mut fleet = Fleet::started(nodes, network, 2, SECOND);
    fleet.run_until(MAX_WAIT, Fleet::views_agree)?;
    let side = move |node: usize| node < nodes / 2;
    fleet.cut = Box::new(move |from, to| side(from) != side(to));
    fleet.run_for(300 * SECOND);
    fleet.cut = Box::new(|_, _| false);
    fleet.run_until(MAX_WAIT, Fleet::views_agree)
}

/// Simulates an hour at 30% loss and delays of up to 200 ms, and prints which live nodes were declared failed.
fn run_hour(sizes: &[usize]) -> ExitCode {
    for &nodes in sizes {
        let start = Instant::now();
        let mut fleet = Fleet::started(nodes, Network::LOSSY, 3, 120 * SECOND);
        let since = fleet.now;
        fleet.run_for(3_600 * SECOND);
        let failed = fleet.declared_failed(since);
        println!(
            "{nodes} nodes, an hour at 30% loss: {} declarations of {} live nodes, in {:.0} s",
            failed.len(),
            failed.iter().map(|(_, _, of)| of).collect::<std::collections::BTreeSet<_>>().len(),
            start.elapsed().as_secs_f64()
        );
        failed.iter().take(5).for_each(|(at, by, of)| println!("  at {} ms: {by} of {of}", at / MILLISECOND));
    }
    ExitCode::SUCCESS
}
