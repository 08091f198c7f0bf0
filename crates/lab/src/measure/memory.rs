//! The memory of a balancer by the number of servers.

use super::servers::BalancerHarness;
use crate::experiment::MemoryPlan;
use crate::machine;
use crate::sample::Figures;

/// Creates many balancers and divides the growth of the process's resident memory by their number.
pub fn measure(plan: &MemoryPlan, servers: usize, seed: u64) -> Figures {
    let copies = plan.copies.get();
    // The first balancer causes the allocations that happen only once; it is not counted.
    let first = BalancerHarness::new(servers, seed);
    let before = machine::resident_bytes();
    let mut balancers = Vec::with_capacity(copies);
    for copy in 0..copies {
        let mut harness = BalancerHarness::new(servers, seed + copy as u64);
        for _ in 0..plan.requests.get() {
            let request = harness.next_request();
            harness.decide(request);
            harness.answer();
        }
        balancers.push(harness);
    }
    let grown = machine::resident_bytes().saturating_sub(before);
    drop((first, balancers));
    let mut figures = Figures::default();
    figures.put("balancer_bytes", grown as f64 / copies as f64);
    figures
}
