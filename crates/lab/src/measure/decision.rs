//! How long the balancer decides, against servers.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use super::servers::Decider;
use crate::experiment::Decision;
use crate::machine;
use crate::sample::Figures;

/// Longer times count as this, in ns.
const LONGEST: u64 = 1_000_000_000;

/// Times decisions one by one, and a request and its answer together by the thread's processor time.
pub fn measure(of: &Decision, servers: usize, seed: u64) -> Figures {
    let mut decider = Decider::new(servers, seed);
    let requests = of.requests.get();
    for _ in 0..requests / 10 {
        let request = decider.next();
        decider.decide(request);
        decider.serve();
    }
    let mut took = Histogram::<u64>::new_with_max(LONGEST, 3).expect("bounds that a histogram can hold");
    let (before, mut unsent) = (machine::on_processor("thread-self"), 0);
    let mut deciding = Duration::ZERO;
    for _ in 0..requests {
        let request = decider.next();
        let began = Instant::now();
        unsent += u64::from(!decider.decide(request));
        let elapsed = began.elapsed();
        deciding += elapsed;
        took.saturating_record(elapsed.as_nanos() as u64);
        decider.serve();
    }
    let used = machine::on_processor("thread-self").saturating_sub(before);
    let mut figures = Figures::default();
    figures.put("decision_mean_ns", deciding.as_nanos() as f64 / requests as f64);
    figures.put("decision_p50_ns", took.value_at_quantile(0.5) as f64);
    figures.put("decision_p99_ns", took.value_at_quantile(0.99) as f64);
    figures.put("request_processor_ns", used as f64 / requests as f64);
    if unsent > 0 {
        figures.broken.push(format!("{unsent} of {requests} requests were not sent, with all servers up"));
    }
    figures
}
