//! The experiment file: one typed tree, and the bounds that a plan must keep.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use stonefold_config::{Check, CheckError, Count, DurationMillis};
use stonefold_model::site::DiscoveryKind;

use crate::hollow::fleet::InjectedFault;
use crate::hollow::scenario::Scenario;
use crate::machine;

const MIB: u64 = 1 << 20;
/// Half of the machine that the laboratory was made for.
const MOST_MEMORY: u64 = 12 << 30;
const MOST_PROCESSES: usize = 200;
/// Fewer sizes or repeats are no slope.
const LEAST_SIZES: usize = 4;
const LEAST_REPEATS: usize = 3;
/// What a sample takes beside its measured time: its process, its members' start.
const START: Duration = Duration::from_millis(200);

/// A size: so many servers, members or nodes.
pub type Size = Count<1, 1_000_000>;
/// A measured time.
pub type Span = DurationMillis<100, 600_000>;

/// An experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name, which its results carry: lower-case letters, digits and hyphens.
    pub name: String,
    /// What is varied, as the plot's axis names it.
    pub against: String,
    /// The sizes, each larger than the one before.
    pub sizes: Vec<Size>,
    /// How often each size is measured.
    pub repeats: Count<1, 100>,
    /// Seeds every random choice.
    #[serde(default)]
    pub seed: Count<0, { u32::MAX as u64 }>,
    /// The runner stops after so long.
    pub time_limit: DurationMillis<1_000, 3_600_000>,
    /// What is measured, and how.
    pub measure: Measure,
}

/// What is measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Measure {
    /// How long the balancer decides.
    Decision(Decision),
    /// What a balancer holds in memory.
    Memory(Memory),
    /// What the store's members say to each other.
    Store(Store),
    /// What the control of hollow nodes costs, and whether anything is missed.
    Hollow(HollowPlan),
    /// The same at one size, with something that befalls all of it.
    Scenario(HollowPlan),
}

/// The time of a decision against servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Decision {
    /// Decisions that are timed, after a tenth as many that are not.
    pub requests: Count<100, 10_000_000>,
}

/// The memory of a balancer against servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Memory {
    /// Balancers that are held at once.
    pub copies: Count<1, 10_000>,
    /// Requests that each has served, so that it knows its servers.
    pub requests: Count<0, 100_000>,
}

/// What a store's members cost, all of them voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// How long nothing is asked.
    pub idle: Span,
    /// And then, how long each member asks the leader once a second what is committed.
    pub asking: Span,
}

/// Hollow nodes before hollow servers, over loopback.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HollowPlan {
    /// Which of the following the sizes stand for.
    pub vary: VariedQuantity,
    /// Hollow nodes.
    pub nodes: Count<1, 100_000>,
    /// Nodes beside them that are processes.
    #[serde(default)]
    pub real_nodes: Count<0, 1_000>,
    /// Servers.
    pub servers: Count<1, 65_000>,
    /// Changes of the list in a minute.
    pub changes_per_min: Count<0, 60_000>,
    /// How long it is played, once all nodes have started.
    pub lasts: Span,
    /// How long all of them may take for their start, and again at the end for what is new.
    #[serde(default = "catch_up")]
    pub catch_up: Span,
    /// What befalls them.
    #[serde(default, rename = "play")]
    pub scenario: Scenario,
    /// Whether each hollow node has a thread of its own, which wakes up for it alone, as a process does; for 200 at most.
    #[serde(default, rename = "apart")]
    pub thread_per_node: bool,
    /// Something wrong that discovery does to one node half way: a trial of what finds it.
    #[serde(default, rename = "plant", skip_serializing_if = "Option::is_none")]
    pub injected_fault: Option<InjectedFault>,
    /// Whether the list must be subscribed to, and discovery bears that it is asked.
    #[serde(default = "subscribed")]
    pub subscribe: bool,
    /// Discovery.
    #[serde(default)]
    pub discovery: DiscoveryKind,
}

fn catch_up() -> Span {
    Span::new(30_000)
}

fn subscribed() -> bool {
    true
}

/// What the sizes of a hollow fleet stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VariedQuantity {
    /// Hollow nodes.
    Nodes,
    /// Servers.
    Servers,
    /// Changes in a minute.
    Changes,
}

impl HollowPlan {
    /// With the size in its place.
    pub fn at(&self, size: usize) -> HollowPlan {
        let mut at = self.clone();
        match self.vary {
            VariedQuantity::Nodes => at.nodes = Count::new(size as u64),
            VariedQuantity::Servers => at.servers = Count::new(size as u64),
            VariedQuantity::Changes => at.changes_per_min = Count::new(size as u64),
        }
        at
    }

    fn memory(&self) -> u64 {
        let (nodes, servers) = (self.nodes.get() as u64, self.servers.get() as u64);
        128 * MIB + nodes * (96 << 10) + nodes * servers * 2048 + self.real_nodes.get() as u64 * 48 * MIB
    }
}

impl Experiment {
    /// The sizes as numbers.
    pub fn sizes(&self) -> impl Iterator<Item = usize> {
        self.sizes.iter().map(|size| size.get())
    }

    fn largest(&self) -> usize {
        self.sizes().max().unwrap_or(0)
    }
}

impl Measure {
    /// What a sample of this size is expected to hold, in bytes: rounded up from what was measured.
    pub fn memory(&self, size: usize) -> u64 {
        let size = size as u64;
        match self {
            Measure::Decision(_) => 32 * MIB + size * 4096,
            Measure::Memory(of) => 32 * MIB + of.copies.get() as u64 * (4096 + size * 2048),
            // Each keeps its disk's cache, and links to all others.
            Measure::Store(_) => 64 * MIB + size * 24 * MIB + size * size * 8192,
            Measure::Hollow(of) | Measure::Scenario(of) => of.at(size as usize).memory(),
        }
    }

    /// Processes of a sample, its own included.
    pub fn processes(&self) -> usize {
        match self {
            Measure::Hollow(of) | Measure::Scenario(of) => 1 + of.real_nodes.get(),
            _ => 1,
        }
    }

    /// Descriptors that one process of a sample of this size needs at once.
    pub fn descriptors(&self, size: usize) -> usize {
        match self {
            Measure::Decision(_) | Measure::Memory(_) => 32,
            // The leader's two links to each member, both of their ends, and each one's listener and disk.
            Measure::Store(_) => 64 + size * 12,
            // A listener and both ends of a connection for each; one more while a node is started anew.
            Measure::Hollow(of) | Measure::Scenario(of) => {
                let of = of.at(size);
                128 + of.nodes.get() * 4 + of.real_nodes.get() * 3
            }
        }
    }

    /// How long a sample lasts at least.
    fn lasts(&self) -> Duration {
        match self {
            Measure::Decision(_) | Measure::Memory(_) => START,
            Measure::Store(of) => START + of.idle.duration() + of.asking.duration(),
            Measure::Hollow(of) | Measure::Scenario(of) => START + of.lasts.duration(),
        }
    }

    /// Sizes and repeats: a scenario is played at one size, and is no slope.
    fn least(&self) -> (usize, usize) {
        if let Measure::Scenario(_) = self { (1, 1) } else { (LEAST_SIZES, LEAST_REPEATS) }
    }
}

fn wrong<T>(key: &str, what: impl Into<String>) -> Result<T, CheckError> {
    Err(CheckError::new(key, what))
}

impl Check for Experiment {
    fn check(&self) -> Result<(), CheckError> {
        let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if self.name.is_empty() || !self.name.chars().all(plain) {
            return wrong(
                "name",
                format!("{:?}: expected lower-case letters, digits and hyphens", self.name),
            );
        }
        let (sizes, repeats) = self.measure.least();
        if self.sizes.len() < sizes {
            return wrong("sizes", format!("{}: a slope needs at least {sizes}", self.sizes.len()));
        }
        if let Some(n) = self.sizes.windows(2).position(|pair| pair[0] >= pair[1]) {
            return wrong(&format!("sizes[{}]", n + 1), "must be larger than the one before");
        }
        if self.repeats.get() < repeats {
            return wrong("repeats", format!("{}: at least {repeats}", self.repeats.get()));
        }
        self.check_bounds(machine::descriptor_limit())
    }
}

impl Experiment {
    /// Whether the plan keeps to the bounds, on a machine that allows a process so many descriptors.
    ///
    /// # Errors
    /// The key that asks for more, what it asks for, and the bound.
    pub fn check_bounds(&self, descriptors: usize) -> Result<(), CheckError> {
        let largest = self.largest();
        let memory = self.measure.memory(largest);
        if memory > MOST_MEMORY {
            let (memory, most) = (memory / MIB, MOST_MEMORY / MIB);
            return wrong("sizes", format!("{largest} would take some {memory} MiB: at most {most} MiB"));
        }
        if let Measure::Hollow(of) | Measure::Scenario(of) = &self.measure
            && of.thread_per_node
            && of.at(largest).nodes.get() > MOST_PROCESSES
        {
            return wrong("measure", format!("nodes apart are threads: at most {MOST_PROCESSES}"));
        }
        let processes = self.measure.processes();
        if processes > MOST_PROCESSES {
            return wrong("measure", format!("{processes} processes at once: at most {MOST_PROCESSES}"));
        }
        let wanted = self.measure.descriptors(largest);
        if wanted > descriptors {
            return wrong(
                "sizes",
                format!("{largest} would need {wanted} descriptors: this machine allows {descriptors}"),
            );
        }
        let samples = u32::try_from(self.sizes.len() * self.repeats.get()).unwrap_or(u32::MAX);
        let (least, limit) = (self.measure.lasts().saturating_mul(samples), self.time_limit.duration());
        if least > limit {
            return wrong(
                "time_limit",
                format!("{limit:?} is too short: {samples} samples take {least:?} at least"),
            );
        }
        Ok(())
    }
}
