//! The network: how long a message is on its way.

use std::collections::BTreeMap;

use crate::Micros;
use crate::random::Random;
use crate::site::NetworkKind;

/// Latencies between zones.
#[derive(Debug)]
pub struct Network {
    kind: NetworkKind,
    random: Random,
    /// One way, by zone and zone; both ways are alike.
    latencies: BTreeMap<(usize, usize), f64>,
}

impl Network {
    /// Latencies, drawn once for each pair of zones.
    pub fn new(kind: &NetworkKind, seed: u64) -> Network {
        let mut random = Random::new(seed, 4);
        let zones = kind.zones.len().max(1);
        let (least, most) = (kind.cross_zone[0].us() as f64, kind.cross_zone[1].us() as f64);
        let pairs = (0..zones).flat_map(|a| (a..zones).map(move |b| (a, b)));
        let mut draw = |(a, b)| match a == b {
            true => ((a, b), kind.same_zone.us() as f64),
            false => ((a, b), least + (most - least).max(0.0) * random.unit()),
        };
        let latencies = pairs.map(&mut draw).collect();
        Network { kind: kind.clone(), random, latencies }
    }

    /// One message's time from a zone to a zone.
    pub fn one_way(&mut self, from: usize, to: usize) -> Micros {
        let latency = self.usual(from, to) as f64;
        let jitter = self.kind.jitter.get();
        (latency * (1.0 + self.random.exponential(1.0).min(10.0) * jitter)) as Micros
    }

    /// The usual time from a zone to a zone, without jitter.
    pub fn usual(&self, from: usize, to: usize) -> Micros {
        self.latencies.get(&(from.min(to), from.max(to))).copied().unwrap_or(0.0) as Micros
    }
}
