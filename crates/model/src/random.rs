//! The one source of random choices: the same seed gives the same choices on every machine.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, StandardNormal};
use rand_pcg::Pcg64Mcg;

/// A seeded source.
#[derive(Clone, Debug)]
pub struct Random(Pcg64Mcg);

impl Random {
    /// The source of one part, apart from those of other parts of the same seed.
    pub fn new(seed: u64, part: u64) -> Random {
        Random(Pcg64Mcg::seed_from_u64(seed ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    }

    /// 0 to 1, 1 not included.
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A whole number below `n`; 0 if `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        ((u128::from(self.0.next_u64()) * u128::from(n)) >> 64) as u64
    }

    /// Any 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Whether something of this chance happens.
    pub fn chance(&mut self, part: f64) -> bool {
        part > 0.0 && self.unit() < part
    }

    /// An exponential time of this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let sample: f64 = Exp1.sample(&mut self.0);
        mean * sample
    }

    /// A lognormal value of this mean; `sigma` is the deviation of its logarithm, 0 for none.
    pub fn lognormal(&mut self, mean: f64, sigma: f64) -> f64 {
        let normal: f64 = StandardNormal.sample(&mut self.0);
        mean * (sigma * normal - sigma * sigma / 2.0).exp()
    }

    pub(crate) fn sample<T>(&mut self, from: &impl Distribution<T>) -> T {
        from.sample(&mut self.0)
    }
}
