//! The network: one-way latencies of messages between zones.

use std::collections::BTreeMap;

use crate::Micros;
use crate::random::{Random, stream};
use crate::site::NetworkKind;

/// Highest jitter of a message, as a multiple of the mean jitter.
const MAX_JITTER_FACTOR: f64 = 10.0;

/// Latencies between zones.
#[derive(Debug)]
pub struct Network {
    kind: NetworkKind,
    random: Random,
    /// One-way latency by pair of zones, the lower zone first; the latency is the same in both directions.
    latencies: BTreeMap<(usize, usize), f64>,
}

impl Network {
    /// Draws the latency of each pair of zones once.
    #[must_use]
    pub fn new(kind: &NetworkKind, seed: u64) -> Network {
        let mut random = Random::new(seed, stream::NETWORK);
        let zones = kind.zones.len().max(1);
        let (least, most) = (kind.cross_zone[0].us() as f64, kind.cross_zone[1].us() as f64);
        let pairs = (0..zones).flat_map(|lower| (lower..zones).map(move |upper| (lower, upper)));
        let mut draw = |(lower, upper)| {
            let latency = if lower == upper {
                kind.same_zone.us() as f64
            } else {
                least + (most - least).max(0.0) * random.unit()
            };
            ((lower, upper), latency)
        };
        let latencies = pairs.map(&mut draw).collect();
        Network { kind: kind.clone(), random, latencies }
    }

    /// Draws the latency of one message, with jitter.
    pub fn one_way(&mut self, from: usize, to: usize) -> Micros {
        let latency = self.base_latency(from, to) as f64;
        let jitter = self.kind.jitter.get();
        (latency * (1.0 + self.random.exponential(1.0).min(MAX_JITTER_FACTOR) * jitter)) as Micros
    }

    /// One-way latency between two zones, without jitter.
    #[must_use]
    pub fn base_latency(&self, from: usize, to: usize) -> Micros {
        self.latencies.get(&(from.min(to), from.max(to))).copied().unwrap_or(0.0) as Micros
    }
}
