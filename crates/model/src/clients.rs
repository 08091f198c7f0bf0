//! Clients: who asks for what, and when. Arrivals don't wait for answers.

use rand_distr::Zipf;

use crate::Micros;
use crate::random::Random;
use crate::site::Site;

/// One request, as a client makes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// When it is to be sent.
    pub at: Micros,
    /// Its number, from 0.
    pub number: u64,
    /// Its class, an index into the site's.
    pub class: usize,
    /// Its tenant, an index into the site's; nothing where there are none.
    pub tenant: Option<usize>,
    /// The zone its client stands in.
    pub zone: usize,
    /// What it concerns.
    pub key: u64,
    /// How long its client waits.
    pub deadline: Micros,
    /// How much work it is, in microseconds of a standard core.
    pub cost: f64,
}

/// Draws requests one by one.
#[derive(Debug)]
pub struct Clients {
    random: Random,
    popularity: Zipf<f64>,
    /// Sums of the classes' and the tenants' parts of the traffic.
    classes: Vec<f64>,
    tenants: Vec<f64>,
    rate: f64,
    at: f64,
    number: u64,
    site: Site,
}

fn sums(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    let sums = parts.scan(0.0, |sum, part| {
        *sum += part;
        Some(*sum)
    });
    sums.collect()
}

fn draw(sums: &[f64], random: &mut Random) -> usize {
    let at = random.unit() * sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|&sum| sum <= at).min(sums.len().saturating_sub(1))
}

impl Clients {
    /// Clients of a site, with this many requests a second.
    pub fn new(site: &Site, rate: f64, seed: u64) -> Clients {
        let keys = site.keys.count.get() as f64;
        Clients {
            random: Random::new(seed, 5),
            popularity: Zipf::new(keys, site.keys.zipf.get()).expect("a site's ranges lie within Zipf's"),
            classes: sums(site.classes.iter().map(|class| class.share.get())),
            tenants: sums(site.tenants.iter().map(|tenant| tenant.share.get() * tenant.usage.get())),
            rate,
            at: 0.0,
            number: 0,
            site: site.clone(),
        }
    }

    /// From now on so many requests a second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// The next request.
    pub fn next_ask(&mut self) -> Ask {
        self.at += self.random.exponential(1e6 / self.rate.max(1e-3));
        let class = draw(&self.classes, &mut self.random);
        let tenant = (!self.tenants.is_empty()).then(|| draw(&self.tenants, &mut self.random));
        let rank: f64 = self.random.sample(&self.popularity);
        // Popularity moves on: each second so many keys give their rank to the next.
        let moved = (self.at / 1e6 * self.site.keys.moves_per_s.get()) as u64;
        let of = &self.site.classes[class];
        let ask = Ask {
            at: self.at as Micros,
            number: self.number,
            class,
            tenant,
            zone: self.random.below(self.site.network.zones.len().max(1) as u64) as usize,
            key: (rank as u64 + moved) % self.site.keys.count.get() as u64,
            deadline: of.deadline.us(),
            cost: self.random.lognormal(of.work.us() as f64, of.work_sigma.get()),
        };
        self.number += 1;
        ask
    }
}
