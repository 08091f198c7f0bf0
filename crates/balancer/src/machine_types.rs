//! The capacity of caches by their type of machine, measured where the endpoint list has no weights.
//!
//! Machines of one type are about equally fast, so their response times are pooled. Where the list has
//! different weights, only the weights count.
//!
//! Inputs: the weights of the endpoint list, and response times as multiples of the average.

use std::collections::BTreeMap;

/// Number of samples that the initial ratio of 1 counts for.
const INITIAL_SAMPLES: f64 = 8.0;
/// Number of samples over which the ratio is averaged at most.
const MAX_SAMPLES: f64 = 64.0;

/// The state of one type of machine.
struct MachineType {
    /// Response times of its caches as a multiple of the average of all caches.
    latency_ratio: f64,
    /// Number of samples in the ratio, up to [`MAX_SAMPLES`].
    samples: f64,
    /// Sum of the weights of its caches in service.
    total_weight: f64,
}

impl MachineType {
    fn new() -> Self {
        MachineType { latency_ratio: 1.0, samples: INITIAL_SAMPLES, total_weight: 0.0 }
    }

    fn record(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        self.latency_ratio += (sample - self.latency_ratio) / self.samples;
    }
}

/// The weight and machine type of a cache in service.
#[derive(Clone, Copy)]
pub(crate) struct ListedWeight {
    /// The number that identifies the machine type.
    pub(crate) machine_type: u32,
    /// The weight from the endpoint list, or the default weight if the listed one is not used.
    pub(crate) weight: f64,
}

/// The machine types of all caches.
pub(crate) struct MachineTypes {
    /// The types, by number.
    types: BTreeMap<u32, MachineType>,
    /// Whether the caches in service have different weights.
    is_weighted: bool,
}

impl MachineTypes {
    /// The state before the first endpoint list.
    pub(crate) fn new() -> Self {
        MachineTypes { types: BTreeMap::new(), is_weighted: false }
    }

    /// Follows the endpoint list: `caches` are those in service now. Measured ratios stay.
    pub(crate) fn update_list(&mut self, caches: impl Iterator<Item = ListedWeight> + Clone) {
        self.types.values_mut().for_each(|machine_type| machine_type.total_weight = 0.0);
        for cache in caches.clone() {
            let machine_type = self.types.entry(cache.machine_type).or_insert_with(MachineType::new);
            machine_type.total_weight += cache.weight;
        }
        let next_caches = caches.clone().skip(1);
        self.is_weighted = !caches.zip(next_caches).all(|(cache, next)| cache.weight == next.weight);
    }

    /// Records a response time of a cache of this type, as a multiple of the average.
    pub(crate) fn record(&mut self, machine_type: u32, sample: f64) {
        self.types.entry(machine_type).or_insert_with(MachineType::new).record(sample);
    }

    /// The response times of a type as a multiple of the average; 1 where the list has different weights.
    #[inline]
    pub(crate) fn latency_ratio(&self, machine_type: u32) -> f64 {
        self.types.get(&machine_type).map_or(1.0, |machine_type| self.effective_ratio(machine_type))
    }

    /// The fraction of the capacity of all caches that one cache has.
    pub(crate) fn capacity_share(&self, cache: ListedWeight) -> f64 {
        let capacity = |of: &MachineType| of.total_weight / self.effective_ratio(of);
        let total: f64 = self.types.values().map(capacity).sum();
        cache.weight / self.latency_ratio(cache.machine_type) / total.max(f64::MIN_POSITIVE)
    }

    fn effective_ratio(&self, machine_type: &MachineType) -> f64 {
        if self.is_weighted { 1.0 } else { machine_type.latency_ratio }
    }
}
