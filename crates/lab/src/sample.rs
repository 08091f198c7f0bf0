//! One sample: what one run at one size gave.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::experiment::{Experiment, Measure};
use crate::machine;
use crate::measure::{decision, hollow, memory, store};

/// What one run at one size gave.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The size.
    pub size: usize,
    /// Which of the repeats, from 0.
    pub repeat: usize,
    /// Figures by their names, which end in their unit.
    pub figures: BTreeMap<String, f64>,
    /// What must not be, and was.
    pub broken: Vec<String>,
    /// Processor time that others used meanwhile, in cores.
    pub others_cores: f64,
    /// How long it took, in seconds.
    pub took_s: f64,
}

/// Why there is no sample.
#[derive(Debug, thiserror::Error)]
pub enum SampleError {
    /// The store that is measured.
    #[error("store: {0}")]
    Store(#[from] store::StoreError),
    /// The fleet that is measured.
    #[error("fleet: {0}")]
    Hollow(#[from] hollow::HollowError),
    /// The runtime, or a socket.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// The figures of one run, as each measure gives them.
#[derive(Debug, Default)]
pub struct Figures {
    /// By their names, which end in their unit.
    pub figures: BTreeMap<String, f64>,
    /// What must not be, and was.
    pub broken: Vec<String>,
}

impl Figures {
    /// Adds a figure.
    pub fn put(&mut self, name: &str, value: f64) {
        self.figures.insert(name.to_owned(), value);
    }
}

/// Takes one sample, in this process; `node` is the node's program, `stop` ends what would leave something behind.
///
/// # Errors
/// If something that it needs can't be had, or it is told to stop.
pub fn take(
    experiment: &Experiment,
    size: usize,
    repeat: usize,
    node: &Path,
    stop: &CancellationToken,
) -> Result<Sample, SampleError> {
    let seed = (experiment.seed.get() as u64) << 8 | repeat as u64;
    let (began, own, busy) = (Instant::now(), machine::own_time(), machine::busy_time());
    let Figures { figures, broken } = match &experiment.measure {
        Measure::Decision(of) => decision::measure(of, size, seed),
        Measure::Memory(of) => memory::measure(of, size, seed),
        Measure::Store(of) => store::measure(of, size, stop)?,
        Measure::Hollow(of) | Measure::Scenario(of) => hollow::measure(&of.at(size), seed, node, stop)?,
    };
    let took_s = began.elapsed().as_secs_f64();
    let others = (machine::busy_time() - busy) - (machine::own_time() - own);
    let others_cores = (others / took_s.max(0.01)).max(0.0);
    Ok(Sample { size, repeat, figures, broken, others_cores, took_s })
}
