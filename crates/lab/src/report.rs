//! The report of an experiment: samples, fits and conditions, written as JSON with a plot.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::{fs, thread};

use serde::Serialize;
use tempfile::NamedTempFile;

use crate::experiment::Experiment;
use crate::fit::{Fit, fit};
use crate::sample::Sample;

/// Processor time of other processes, in cores, above which measured times are not reliable.
const MAX_OTHERS_CORES: f64 = 0.25;

/// The results of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The plan.
    pub experiment: Experiment,
    /// Whether all samples were taken.
    pub complete: bool,
    /// Why the experiment stopped before all samples were taken.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stopped: Option<String>,
    /// The conditions of the measurement.
    pub conditions: Conditions,
    /// Violations: conditions that must not occur and did, with the size and repeat of each.
    pub broken: Vec<String>,
    /// How each figure grows with the size.
    pub fits: BTreeMap<String, Fit>,
    /// The samples in the order in which they were taken.
    pub samples: Vec<Sample>,
}

/// The machine and the program on which an experiment ran.
#[derive(Clone, Debug, Serialize)]
pub struct Conditions {
    /// Version of the program.
    pub version: &'static str,
    /// Number of cores of the machine.
    pub cores: usize,
    /// Highest processor time that other processes used during a sample, in cores.
    pub others_cores: f64,
    /// Whether other processes used so much processor time that measured times are not reliable.
    pub beside_other_work: bool,
}

impl Report {
    /// Creates the report of these samples; `stopped` is the reason if they are not complete.
    pub fn new(experiment: Experiment, samples: Vec<Sample>, stopped: Option<String>) -> Report {
        let others_cores = samples.iter().map(|sample| sample.others_cores).fold(0.0, f64::max);
        let describe = |sample: &Sample, violation: &String| {
            format!("size {}, repeat {}: {violation}", sample.size, sample.repeat)
        };
        let broken = samples
            .iter()
            .flat_map(|sample| sample.broken.iter().map(|violation| describe(sample, violation)));
        Report {
            complete: stopped.is_none(),
            stopped,
            conditions: Conditions {
                version: env!("CARGO_PKG_VERSION"),
                cores: thread::available_parallelism().map_or(0, usize::from),
                others_cores,
                beside_other_work: others_cores > MAX_OTHERS_CORES,
            },
            broken: broken.collect(),
            fits: names(&samples)
                .into_iter()
                .filter_map(|name| Some((name.clone(), fit(&points(&samples, &name))?)))
                .collect(),
            samples,
            experiment,
        }
    }

    /// The names of all figures.
    pub fn names(&self) -> BTreeSet<String> {
        names(&self.samples)
    }

    /// The size and the value of a figure in each sample.
    pub fn points(&self, name: &str) -> Vec<(f64, f64)> {
        points(&self.samples, name)
    }

    /// Formats a table for people: the median of each figure at each size, and how it grows.
    pub fn table(&self) -> String {
        let mut table = String::new();
        for name in self.names() {
            let by_size = medians(&self.points(&name));
            let values: Vec<String> =
                by_size.iter().map(|(size, value)| format!("{size}: {}", format_short(*value))).collect();
            table += &format!("{name:32} {}", values.join("  "));
            if let Some(fit) = self.fits.get(&name) {
                table += &format!(
                    "  | {} per unit, residual {:.0}%",
                    format_short(fit.slope),
                    fit.residual * 100.0
                );
                if let Some((exponent, residual)) = fit.exponent.zip(fit.exponent_residual) {
                    table += &format!("; exponent {exponent:.2}, residual {residual:.2}");
                }
            }
            table += "\n";
        }
        table
    }

    /// Whether the samples have more than one size, so that growth can be plotted.
    pub fn has_several_sizes(&self) -> bool {
        self.samples.iter().any(|sample| sample.size != self.samples[0].size)
    }

    /// Writes the results and their plot to a folder, each file atomically. Returns the paths of the files.
    ///
    /// # Errors
    /// If the folder can't be created or a file can't be written.
    pub fn write(&self, folder: &Path, plot: Option<&str>) -> io::Result<Vec<PathBuf>> {
        fs::create_dir_all(folder)?;
        let json = serde_json::to_string_pretty(self)? + "\n";
        let mut written = Vec::new();
        for (extension, text) in [("json", Some(json.as_str())), ("svg", plot)] {
            let Some(text) = text else { continue };
            let path = folder.join(format!("{}.{extension}", self.experiment.name));
            write_atomically(&path, text)?;
            written.push(path);
        }
        Ok(written)
    }
}

/// The median of the values at each size.
pub fn medians(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let mut points = points.to_vec();
    points.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
    points.chunk_by(|a, b| a.0 == b.0).map(|group| group[group.len() / 2]).collect()
}

/// Formats a value for people, with about three significant digits.
pub fn format_short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        magnitude if magnitude >= 100.0 => format!("{value:.0}"),
        magnitude if magnitude >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.3e}"),
    }
}

fn names(samples: &[Sample]) -> BTreeSet<String> {
    samples.iter().flat_map(|sample| sample.figures.keys().cloned()).collect()
}

fn points(samples: &[Sample], name: &str) -> Vec<(f64, f64)> {
    samples.iter().filter_map(|sample| Some((sample.size as f64, *sample.figures.get(name)?))).collect()
}

/// Writes a file under a temporary name and renames it.
fn write_atomically(path: &Path, text: &str) -> io::Result<()> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let mut file = NamedTempFile::new_in(folder)?;
    file.write_all(text.as_bytes())?;
    file.as_file().sync_all()?;
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o644);
    file.as_file().set_permissions(mode)?;
    file.persist(path).map(drop).map_err(|error| error.error)
}
