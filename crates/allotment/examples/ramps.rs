//! Simulates slow starts of a server under fleets of several sizes in virtual time, and prints the results.
//!
//!     cargo run --release -p stonefold-allotment --example ramps [RAMPS [SEED]]
//!
//! The same seed gives the same figures.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::{Demand, Scenario, Summary, simulate_many};

fn main() {
    let mut numbers = std::env::args().skip(1).map(|text| text.parse::<u64>());
    let mut next_number = |default| match numbers.next() {
        Some(Ok(number)) => number,
        None => default,
        Some(Err(error)) => {
            eprintln!("ramps: RAMPS and SEED are whole numbers: {error}");
            std::process::exit(2);
        }
    };
    let (ramps, seed) = (next_number(1_000), next_number(1));
    println!("{ramps} ramps from seed {seed}; one node in ten restarted, one server in five started twice");
    println!(
        "demand: times N from all nodes together, or everywhere times a node's part of N (one call per window at least)"
    );
    println!("nodes  estimates   demand           excess/sqrt(N)  overloads  sent/N  sent/demand");
    for nodes in [4, 20, 30, 300, 900] {
        for (name, noisy, bias, demand) in [
            ("true", false, 1.0, Demand::Everywhere(8.0)),
            ("noisy", true, 1.0, Demand::Everywhere(8.0)),
            ("noisy x0.7", true, 0.7, Demand::Everywhere(8.0)),
            ("noisy x1.1", true, 1.1, Demand::Everywhere(8.0)),
            ("noisy", true, 1.0, Demand::Together(3.0)),
            ("noisy", true, 1.0, Demand::Together(0.3)),
        ] {
            let scenario =
                Scenario { nodes, capacity: 0.0, demand, bias, noisy, restarted: 0.1, server_restarts: true };
            let Summary { worst_excess, overloads, used, served } = simulate_many(scenario, ramps, seed);
            let demand = format!("{demand:?}");
            println!(
                "{nodes:>5}  {name:<10}  {demand:<15} {worst_excess:>15.2}  {overloads:>9}  {used:>6.2}  \
                 {served:>11.2}"
            );
        }
    }
}
