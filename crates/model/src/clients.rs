//! Clients: an open-loop generator of requests, whose arrivals do not wait for answers.

use rand_distr::Zipf;

use crate::Micros;
use crate::random::{Random, stream};
use crate::site::Site;

/// One second, in microseconds: the mean gap between requests at a rate of one request per second.
const SECOND_US: f64 = 1e6;
/// Lowest request rate, in requests per second.
const MIN_RATE_PER_S: f64 = 1e-3;

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// When the client sends the request.
    pub at: Micros,
    /// Sequence number, from 0.
    pub number: u64,
    /// Index of its class in the site.
    pub class: usize,
    /// Index of its tenant in the site; `None` if the site has no tenants.
    pub tenant: Option<usize>,
    /// Index of the client's zone in the site.
    pub zone: usize,
    /// The requested key.
    pub key: u64,
    /// How long the client waits, from `at`.
    pub deadline: Micros,
    /// Amount of work, in microseconds of a standard core.
    pub cost: f64,
}

/// Generates the requests of all clients of a site.
#[derive(Debug)]
pub struct Clients {
    random: Random,
    popularity: Zipf<f64>,
    /// Cumulative shares of the classes.
    classes: Vec<f64>,
    /// Cumulative shares of the tenants' traffic.
    tenants: Vec<f64>,
    /// Requests per second.
    rate: f64,
    /// Time of the latest request, in microseconds.
    at: f64,
    number: u64,
    site: Site,
}

/// Running sums of the shares.
fn cumulative(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let sums = shares.scan(0.0, |sum, share| {
        *sum += share;
        Some(*sum)
    });
    sums.collect()
}

/// Draws an index with a probability proportional to its share.
fn draw_index(sums: &[f64], random: &mut Random) -> usize {
    let at = random.unit() * sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|&sum| sum <= at).min(sums.len().saturating_sub(1))
}

impl Clients {
    /// Creates the clients of a site with a total rate in requests per second.
    ///
    /// # Panics
    ///
    /// Panics if the number of keys or the Zipf exponent is out of range, which the types of a site rule out.
    #[must_use]
    pub fn new(site: &Site, rate: f64, seed: u64) -> Clients {
        let keys = site.keys.count.get() as f64;
        Clients {
            random: Random::new(seed, stream::CLIENTS),
            popularity: Zipf::new(keys, site.keys.zipf.get()).expect("a site's ranges lie within Zipf's"),
            classes: cumulative(site.classes.iter().map(|class| class.share.get())),
            tenants: cumulative(site.tenants.iter().map(|tenant| tenant.share.get() * tenant.usage.get())),
            rate,
            at: 0.0,
            number: 0,
            site: site.clone(),
        }
    }

    /// Sets the rate, in requests per second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Generates the next request.
    pub fn next_request(&mut self) -> ClientRequest {
        self.at += self.random.exponential(SECOND_US / self.rate.max(MIN_RATE_PER_S));
        let class = draw_index(&self.classes, &mut self.random);
        let tenant = (!self.tenants.is_empty()).then(|| draw_index(&self.tenants, &mut self.random));
        let rank: f64 = self.random.sample(&self.popularity);
        // The popularity ranks shift over the keys at a constant rate.
        let shift = (self.at / SECOND_US * self.site.keys.moves_per_s.get()) as u64;
        let class_kind = &self.site.classes[class];
        let request = ClientRequest {
            at: self.at as Micros,
            number: self.number,
            class,
            tenant,
            zone: self.random.below(self.site.network.zones.len().max(1) as u64) as usize,
            key: (rank as u64 + shift) % self.site.keys.count.get() as u64,
            deadline: class_kind.deadline.us(),
            cost: self.random.lognormal(class_kind.work.us() as f64, class_kind.work_sigma.get()),
        };
        self.number += 1;
        request
    }
}
