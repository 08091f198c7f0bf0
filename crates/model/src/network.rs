//! The network: how long a message is on its way.

use crate::Micros;
use crate::random::Random;
use crate::site::NetworkKind;

/// Latencies between zones.
#[derive(Debug)]
pub struct Network {
    kind: NetworkKind,
    random: Random,
    /// One way, by zone and zone.
    latencies: Vec<Vec<f64>>,
}

impl Network {
    /// Latencies, drawn once for each pair of zones.
    pub fn new(kind: &NetworkKind, seed: u64) -> Network {
        let mut random = Random::new(seed, 4);
        let zones = kind.zones.len().max(1);
        let (least, most) = (kind.cross_zone[0].us() as f64, kind.cross_zone[1].us() as f64);
        let mut latencies = vec![vec![kind.same_zone.us() as f64; zones]; zones];
        for a in 0..zones {
            for b in a + 1..zones {
                let latency = least + (most - least).max(0.0) * random.unit();
                (latencies[a][b], latencies[b][a]) = (latency, latency);
            }
        }
        Network { kind: kind.clone(), random, latencies }
    }

    /// One message's time from a zone to a zone.
    pub fn one_way(&mut self, from: usize, to: usize) -> Micros {
        let latency = self.latencies.get(from).and_then(|row| row.get(to)).copied().unwrap_or(0.0);
        let jitter = self.kind.jitter.get();
        (latency * (1.0 + self.random.exponential(1.0).min(10.0) * jitter)) as Micros
    }

    /// The usual time from a zone to a zone, without jitter.
    pub fn usual(&self, from: usize, to: usize) -> Micros {
        self.latencies.get(from).and_then(|row| row.get(to)).copied().unwrap_or(0.0) as Micros
    }
}
