//! Prints the events of a seed: `cargo run -p stonefold-soak --example schedule -- SEED NODES SECONDS`.

use std::time::Duration;

use stonefold_soak::schedule::schedule;

fn main() {
    let mut numbers = std::env::args().skip(1).filter_map(|text| text.parse::<u64>().ok());
    let (seed, nodes, seconds) = (numbers.next(), numbers.next(), numbers.next());
    let until = Duration::from_secs(seconds.unwrap_or(20)).mul_f64(0.75);
    for event in schedule(seed.unwrap_or(1), nodes.unwrap_or(12) as usize, until) {
        println!("{:>7.3} n{} {:?}", event.at.as_secs_f64(), event.node, event.action);
    }
}
