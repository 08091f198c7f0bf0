//! The plan of an experiment: the types of its TOML file, and the bounds that a plan must keep.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stonefold_config::{Check, CheckError, Count, DurationMillis};
use stonefold_model::site::DiscoveryKind;

use crate::hollow::fleet::InjectedFault;
use crate::hollow::scenario::Scenario;
use crate::machine;

/// One mebibyte, in bytes.
const MIB: u64 = 1 << 20;
/// Most memory that a sample may need: half of the memory of the machine that the lab is written for.
const MAX_MEMORY_BYTES: u64 = 12 << 30;
/// Most processes of a sample, and most threads that run one hollow node each.
const MAX_PROCESSES: usize = 200;
/// Fewest sizes from which a slope is fitted.
const MIN_SIZES: usize = 4;
/// Fewest repeats of each size from which a slope is fitted.
const MIN_REPEATS: usize = 3;
/// Time that a sample takes besides its measured time, to start its process and its members.
const SAMPLE_OVERHEAD: Duration = Duration::from_millis(200);

/// A size of an experiment: a number of servers, members, nodes or changes per minute.
pub type ExperimentSize = Count<1, 1_000_000>;
/// The duration of a measurement.
pub type MeasuredTime = DurationMillis<100, 600_000>;

/// The plan of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment and of its result files: lower-case letters, digits and hyphens.
    pub name: String,
    /// What is varied; the label of the plot's horizontal axis.
    pub against: String,
    /// The sizes, in ascending order.
    pub sizes: Vec<ExperimentSize>,
    /// Number of samples of each size.
    pub repeats: Count<1, 100>,
    /// Seed of every random choice.
    #[serde(default)]
    pub seed: Count<0, { u32::MAX as u64 }>,
    /// Time after which the runner stops.
    pub time_limit: DurationMillis<1_000, 3_600_000>,
    /// What is measured, with its settings.
    pub measure: Measurement,
}

/// What is measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measurement {
    /// Time in which the balancer decides where a request is sent.
    Decision(DecisionPlan),
    /// Memory of a balancer.
    Memory(MemoryPlan),
    /// Traffic and processor time of the store's members.
    Store(StorePlan),
    /// Traffic and processor time of the control code of hollow nodes, and whether a node misses a change of the list.
    Hollow(HollowPlan),
    /// The same for a scenario, which may run at a single size, without a slope.
    Scenario(HollowPlan),
}

/// Settings for measuring the time of a decision by the number of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionPlan {
    /// Number of timed decisions. A tenth as many, which are not timed, come first.
    pub requests: Count<100, 10_000_000>,
}

/// Settings for measuring the memory of a balancer by the number of servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemoryPlan {
    /// Number of balancers that exist at once.
    pub copies: Count<1, 10_000>,
    /// Requests that each balancer handles first, so that it has state about its servers.
    pub requests: Count<0, 100_000>,
}

/// Settings for measuring the members of a store, all of them voters, by their number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StorePlan {
    /// Duration of the first phase, without requests.
    pub idle: MeasuredTime,
    /// Duration of the second phase, in which each member asks the leader once a second for the committed position.
    pub asking: MeasuredTime,
}

/// Settings for measuring hollow nodes with listed servers that do not run, over loopback.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HollowPlan {
    /// The setting that the sizes replace.
    pub vary: VariedQuantity,
    /// Number of hollow nodes.
    pub nodes: Count<1, 100_000>,
    /// Number of additional nodes that run as processes.
    #[serde(default)]
    pub real_nodes: Count<0, 1_000>,
    /// Number of listed servers.
    pub servers: Count<1, 65_000>,
    /// Changes of the list per minute.
    pub changes_per_min: Count<0, 60_000>,
    /// Duration of the scenario, once all nodes have started.
    pub lasts: MeasuredTime,
    /// Time within which all nodes must apply the latest list after their start, and again at the end.
    #[serde(default = "default_catch_up")]
    pub catch_up: MeasuredTime,
    /// The scenario that is run.
    #[serde(default, rename = "play")]
    pub scenario: Scenario,
    /// Whether each hollow node has its own thread, which wakes up for it alone, as a process does; for at most 200
    /// nodes.
    #[serde(default, rename = "apart")]
    pub thread_per_node: bool,
    /// A fault that discovery injects into one answer to one node after the first half of the scenario, to test that
    /// the checks find it.
    #[serde(default, rename = "plant", skip_serializing_if = "Option::is_none")]
    pub injected_fault: Option<InjectedFault>,
    /// Whether nodes must get the list by a watch, which discovery must be able to serve; otherwise they choose how to
    /// get it.
    #[serde(default = "default_subscribe")]
    pub subscribe: bool,
    /// Delays and limits of discovery.
    #[serde(default)]
    pub discovery: DiscoveryKind,
}

fn default_catch_up() -> MeasuredTime {
    MeasuredTime::new(30_000)
}

fn default_subscribe() -> bool {
    true
}

/// The setting of a hollow fleet that the sizes of the experiment replace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VariedQuantity {
    /// Number of hollow nodes.
    Nodes,
    /// Number of servers.
    Servers,
    /// Changes of the list per minute.
    Changes,
}

impl HollowPlan {
    /// Returns the plan with the varied setting replaced by a size.
    pub fn with_size(&self, size: usize) -> HollowPlan {
        let mut plan = self.clone();
        match self.vary {
            VariedQuantity::Nodes => plan.nodes = Count::new(size as u64),
            VariedQuantity::Servers => plan.servers = Count::new(size as u64),
            VariedQuantity::Changes => plan.changes_per_min = Count::new(size as u64),
        }
        plan
    }

    /// Memory that a sample is expected to need, in bytes.
    fn memory_bytes(&self) -> u64 {
        let (nodes, servers) = (self.nodes.get() as u64, self.servers.get() as u64);
        128 * MIB + nodes * (96 << 10) + nodes * servers * 2048 + self.real_nodes.get() as u64 * 48 * MIB
    }
}

impl Experiment {
    /// The sizes, as numbers.
    pub fn sizes(&self) -> impl Iterator<Item = usize> {
        self.sizes.iter().map(|size| size.get())
    }

    fn max_size(&self) -> usize {
        self.sizes().max().unwrap_or(0)
    }
}

impl Measurement {
    /// Memory that a sample of this size is expected to need, in bytes: measured figures, rounded up.
    pub fn memory_bytes(&self, size: usize) -> u64 {
        let size = size as u64;
        match self {
            Measurement::Decision(_) => 32 * MIB + size * 4096,
            Measurement::Memory(plan) => 32 * MIB + plan.copies.get() as u64 * (4096 + size * 2048),
            // Each member has the cache of its disk, and connections to all others.
            Measurement::Store(_) => 64 * MIB + size * 24 * MIB + size * size * 8192,
            Measurement::Hollow(plan) | Measurement::Scenario(plan) => {
                plan.with_size(size as usize).memory_bytes()
            }
        }
    }

    /// Number of processes of a sample, including its own.
    pub fn processes(&self) -> usize {
        match self {
            Measurement::Hollow(plan) | Measurement::Scenario(plan) => 1 + plan.real_nodes.get(),
            _ => 1,
        }
    }

    /// Number of descriptors that one process of a sample of this size has open at once.
    pub fn descriptors(&self, size: usize) -> usize {
        match self {
            Measurement::Decision(_) | Measurement::Memory(_) => 32,
            // Both ends of the leader's two connections to each member, and each member's listener and disk.
            Measurement::Store(_) => 64 + size * 12,
            // A listener and both ends of a connection for each node, and one more while a node restarts.
            Measurement::Hollow(plan) | Measurement::Scenario(plan) => {
                let plan = plan.with_size(size);
                128 + plan.nodes.get() * 4 + plan.real_nodes.get() * 3
            }
        }
    }

    /// Shortest duration of a sample.
    fn min_duration(&self) -> Duration {
        match self {
            Measurement::Decision(_) | Measurement::Memory(_) => SAMPLE_OVERHEAD,
            Measurement::Store(plan) => SAMPLE_OVERHEAD + plan.idle.duration() + plan.asking.duration(),
            Measurement::Hollow(plan) | Measurement::Scenario(plan) => {
                SAMPLE_OVERHEAD + plan.lasts.duration()
            }
        }
    }

    /// Fewest sizes and repeats. A scenario may have a single size and repeat, as it needs no slope.
    fn min_sizes_and_repeats(&self) -> (usize, usize) {
        if let Measurement::Scenario(_) = self { (1, 1) } else { (MIN_SIZES, MIN_REPEATS) }
    }
}

fn invalid<T>(key: &str, reason: impl Into<String>) -> Result<T, CheckError> {
    Err(CheckError::new(key, reason))
}

impl Check for Experiment {
    fn check(&self) -> Result<(), CheckError> {
        let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if self.name.is_empty() || !self.name.chars().all(is_allowed) {
            return invalid(
                "name",
                format!("{:?}: expected lower-case letters, digits and hyphens", self.name),
            );
        }
        let (min_sizes, min_repeats) = self.measure.min_sizes_and_repeats();
        if self.sizes.len() < min_sizes {
            return invalid("sizes", format!("{}: a slope needs at least {min_sizes}", self.sizes.len()));
        }
        if let Some(n) = self.sizes.windows(2).position(|pair| pair[0] >= pair[1]) {
            return invalid(&format!("sizes[{}]", n + 1), "must be larger than the one before");
        }
        if self.repeats.get() < min_repeats {
            return invalid("repeats", format!("{}: at least {min_repeats} are needed", self.repeats.get()));
        }
        self.check_bounds(machine::descriptor_limit())
    }
}

impl Experiment {
    /// Checks that the plan stays within the bounds, on a machine that allows a process this number of descriptors.
    ///
    /// # Errors
    /// Returns the key that exceeds a bound, the value that it leads to, and the bound.
    pub fn check_bounds(&self, descriptors: usize) -> Result<(), CheckError> {
        let max_size = self.max_size();
        let memory_bytes = self.measure.memory_bytes(max_size);
        if memory_bytes > MAX_MEMORY_BYTES {
            let (memory, limit) = (memory_bytes / MIB, MAX_MEMORY_BYTES / MIB);
            return invalid(
                "sizes",
                format!("size {max_size} needs about {memory} MiB: at most {limit} MiB"),
            );
        }
        if let Measurement::Hollow(plan) | Measurement::Scenario(plan) = &self.measure
            && plan.thread_per_node
            && plan.with_size(max_size).nodes.get() > MAX_PROCESSES
        {
            return invalid("measure", format!("with `apart`, nodes are threads: at most {MAX_PROCESSES}"));
        }
        let processes = self.measure.processes();
        if processes > MAX_PROCESSES {
            return invalid("measure", format!("{processes} processes at once: at most {MAX_PROCESSES}"));
        }
        let needed = self.measure.descriptors(max_size);
        if needed > descriptors {
            return invalid(
                "sizes",
                format!("size {max_size} needs {needed} descriptors: this machine allows {descriptors}"),
            );
        }
        let samples = u32::try_from(self.sizes.len() * self.repeats.get()).unwrap_or(u32::MAX);
        let (min_duration, limit) =
            (self.measure.min_duration().saturating_mul(samples), self.time_limit.duration());
        if min_duration > limit {
            return invalid(
                "time_limit",
                format!("{limit:?} is too short: {samples} samples take at least {min_duration:?}"),
            );
        }
        Ok(())
    }
}
