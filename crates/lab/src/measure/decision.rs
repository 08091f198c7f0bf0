//! The time of a balancer's decision by the number of servers.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::servers::BalancerHarness;
use crate::experiment::DecisionPlan;
use crate::machine;
use crate::sample::Figures;

/// Longest time that is recorded, in nanoseconds; longer ones count as this.
const MAX_RECORDED_NS: u64 = 1_000_000_000;

/// Measures the elapsed time of each decision, and the mean processor time of the thread for a request and its answer.
pub fn measure(plan: &DecisionPlan, servers: usize, seed: u64) -> Figures {
    let mut harness = BalancerHarness::new(servers, seed);
    let requests = plan.requests.get();
    for _ in 0..requests / 10 {
        let request = harness.next_request();
        harness.decide(request);
        harness.answer();
    }
    let mut times =
        Histogram::<u64>::new_with_max(MAX_RECORDED_NS, 3).expect("bounds that a histogram can hold");
    let (processor_before, mut unsent) = (machine::task_processor_ns("thread-self"), 0);
    let mut total = Duration::ZERO;
    for _ in 0..requests {
        let request = harness.next_request();
        let started_at = Instant::now();
        unsent += u64::from(!harness.decide(request));
        let elapsed = started_at.elapsed();
        total += elapsed;
        times.saturating_record(elapsed.as_nanos() as u64);
        harness.answer();
    }
    let processor_ns = machine::task_processor_ns("thread-self").saturating_sub(processor_before);
    let mut figures = Figures::default();
    figures.put("decision_mean_ns", total.as_nanos() as f64 / requests as f64);
    figures.put("decision_p50_ns", times.value_at_quantile(0.5) as f64);
    figures.put("decision_p99_ns", times.value_at_quantile(0.99) as f64);
    figures.put("request_processor_ns", processor_ns as f64 / requests as f64);
    if unsent > 0 {
        figures
            .broken
            .push(format!("{unsent} of {requests} requests were not sent although all servers are up"));
    }
    figures
}
