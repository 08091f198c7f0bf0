//! One sample: the figures of one run at one size.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::experiment::{Experiment, Measurement};
use crate::machine;
use crate::measure::{decision, hollow, memory, store};

/// The results of one run at one size.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The size.
    pub size: usize,
    /// Number of the repeat, from 0.
    pub repeat: usize,
    /// Figures by name; a name ends in the unit.
    pub figures: BTreeMap<String, f64>,
    /// Violations: conditions that must not occur and did.
    pub broken: Vec<String>,
    /// Processor time that other processes used during the sample, in cores.
    pub others_cores: f64,
    /// Duration of the run, in seconds.
    pub took_s: f64,
}

/// Why a sample failed.
#[derive(Debug, thiserror::Error)]
pub enum SampleError {
    /// Measuring the store failed.
    #[error("store: {0}")]
    Store(#[from] store::StoreError),
    /// Measuring the fleet failed.
    #[error("fleet: {0}")]
    Hollow(#[from] hollow::HollowError),
    /// A runtime or a socket could not be created.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// The figures and violations that one measurement returns.
#[derive(Debug, Default)]
pub struct Figures {
    /// Figures by name; a name ends in the unit.
    pub figures: BTreeMap<String, f64>,
    /// Violations: conditions that must not occur and did.
    pub broken: Vec<String>,
}

impl Figures {
    /// Sets a figure.
    pub fn put(&mut self, name: &str, value: f64) {
        self.figures.insert(name.to_owned(), value);
    }
}

/// Takes one sample in this process. `node_program` is the path of the node's program. Cancelling `stop` ends a
/// measurement that would otherwise leave processes or files behind.
///
/// # Errors
/// If a runtime, a socket, a file or a process that it needs can't be created, or if it is stopped.
pub fn take_sample(
    experiment: &Experiment,
    size: usize,
    repeat: usize,
    node_program: &Path,
    stop: &CancellationToken,
) -> Result<Sample, SampleError> {
    let seed = (experiment.seed.get() as u64) << 8 | repeat as u64;
    let (started_at, own_before, busy_before) =
        (Instant::now(), machine::own_processor_s(), machine::busy_processor_s());
    let Figures { figures, broken } = match &experiment.measure {
        Measurement::Decision(plan) => decision::measure(plan, size, seed),
        Measurement::Memory(plan) => memory::measure(plan, size, seed),
        Measurement::Store(plan) => store::measure(plan, size, stop)?,
        Measurement::Hollow(plan) | Measurement::Scenario(plan) => {
            hollow::measure(&plan.with_size(size), seed, node_program, stop)?
        }
    };
    let took_s = started_at.elapsed().as_secs_f64();
    let others_s = (machine::busy_processor_s() - busy_before) - (machine::own_processor_s() - own_before);
    let others_cores = (others_s / took_s.max(0.01)).max(0.0);
    Ok(Sample { size, repeat, figures, broken, others_cores, took_s })
}
