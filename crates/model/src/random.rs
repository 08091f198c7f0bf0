//! Seeded random numbers: the same seed gives the same sequence on every platform.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, StandardNormal};
use rand_pcg::Pcg64Mcg;

/// Multiplier that separates the streams of a seed (the golden ratio in 64 bits).
const STREAM_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Stream numbers of the parts of the model; each part draws from its own stream of the seed.
pub(crate) mod stream {
    /// Service times of the origin.
    pub(crate) const ORIGIN: u64 = 2;
    /// Propagation delays of discovery.
    pub(crate) const DISCOVERY: u64 = 3;
    /// Latencies between zones and their jitter.
    pub(crate) const NETWORK: u64 = 4;
    /// Arrivals, classes, tenants, keys and costs of requests.
    pub(crate) const CLIENTS: u64 = 5;
    /// Backoffs of the clients.
    pub(crate) const RETRIES: u64 = 6;
    /// Stream of the first cache server; those of the others follow by their numbers.
    pub(crate) const FIRST_CACHE: u64 = 1_000;
}

/// A seeded random number generator.
#[derive(Clone, Debug)]
pub struct Random(Pcg64Mcg);

impl Random {
    /// Creates the generator of one stream of a seed. Streams with different numbers are independent.
    #[must_use]
    pub fn new(seed: u64, stream: u64) -> Random {
        Random(Pcg64Mcg::seed_from_u64(seed ^ stream.wrapping_mul(STREAM_MULTIPLIER)))
    }

    /// A uniform number from 0 to 1, excluding 1.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A uniform integer below `limit`; 0 if `limit` is 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        ((u128::from(self.0.next_u64()) * u128::from(limit)) >> 64) as u64
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// `true` with this probability; draws nothing if it is 0.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.unit() < probability
    }

    /// An exponentially distributed value with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let sample: f64 = Exp1.sample(&mut self.0);
        mean * sample
    }

    /// A lognormally distributed value with this mean; `sigma` is the standard deviation of its logarithm.
    pub fn lognormal(&mut self, mean: f64, sigma: f64) -> f64 {
        let normal: f64 = StandardNormal.sample(&mut self.0);
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }

    /// A value from a distribution.
    pub(crate) fn sample<T>(&mut self, distribution: &impl Distribution<T>) -> T {
        distribution.sample(&mut self.0)
    }
}
