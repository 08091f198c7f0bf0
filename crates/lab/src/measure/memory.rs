//! What a balancer holds in memory, against servers.

use super::servers::Decider;
use crate::experiment::Memory;
use crate::machine;
use crate::sample::Figures;

/// Holds many balancers at once: what the process has grown by, shared among them.
pub fn measure(of: &Memory, servers: usize, seed: u64) -> Figures {
    let copies = of.copies.get();
    // The first one takes what is taken once.
    let first = Decider::new(servers, seed);
    let before = machine::resident();
    let mut held = Vec::with_capacity(copies);
    for copy in 0..copies {
        let mut decider = Decider::new(servers, seed + copy as u64);
        for _ in 0..of.requests.get() {
            let request = decider.next();
            decider.decide(request);
            decider.serve();
        }
        held.push(decider);
    }
    let grown = machine::resident().saturating_sub(before);
    drop((first, held));
    let mut figures = Figures::default();
    figures.put("balancer_bytes", grown as f64 / copies as f64);
    figures
}
