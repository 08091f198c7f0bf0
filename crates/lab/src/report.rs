//! The results of an experiment, as they are kept.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::{fs, thread};

use serde::Serialize;
use tempfile::NamedTempFile;

use crate::experiment::Experiment;
use crate::fit::{Fit, fit};
use crate::sample::Sample;

/// Others that use more of the machine than so many cores disturb what is measured.
const DISTURBED: f64 = 0.25;

/// All that an experiment gave.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What was asked for.
    pub experiment: Experiment,
    /// Whether all samples were taken.
    pub complete: bool,
    /// Why not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stopped: Option<String>,
    /// Where it was measured.
    pub conditions: Conditions,
    /// What must not be, and was, with the size and repeat where.
    pub broken: Vec<String>,
    /// How each figure grows with size.
    pub fits: BTreeMap<String, Fit>,
    /// Each run.
    pub samples: Vec<Sample>,
}

/// Where something was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Conditions {
    /// The program's version.
    pub version: &'static str,
    /// Cores of the machine.
    pub cores: usize,
    /// Processor time that others used at most during a sample, in cores.
    pub others_cores: f64,
    /// Whether that is so much that times are not to be relied on.
    pub beside_other_work: bool,
}

impl Report {
    /// What these samples show.
    pub fn new(experiment: Experiment, samples: Vec<Sample>, stopped: Option<String>) -> Report {
        let others_cores = samples.iter().map(|sample| sample.others_cores).fold(0.0, f64::max);
        let place = |sample: &Sample, what: &String| {
            format!("size {}, repeat {}: {what}", sample.size, sample.repeat)
        };
        let broken = samples.iter().flat_map(|sample| sample.broken.iter().map(|what| place(sample, what)));
        Report {
            complete: stopped.is_none(),
            stopped,
            conditions: Conditions {
                version: env!("CARGO_PKG_VERSION"),
                cores: thread::available_parallelism().map_or(0, usize::from),
                others_cores,
                beside_other_work: others_cores > DISTURBED,
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

    /// A figure's values, by size.
    pub fn points(&self, name: &str) -> Vec<(f64, f64)> {
        points(&self.samples, name)
    }

    /// A table for people: the median of each figure at each size, and how it grows.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for name in self.names() {
            let by_size = medians(&self.points(&name));
            let each: Vec<String> =
                by_size.iter().map(|(size, value)| format!("{size}: {}", short(*value))).collect();
            text += &format!("{name:32} {}", each.join("  "));
            if let Some(fit) = self.fits.get(&name) {
                text += &format!("  | {} a unit, off {:.0}%", short(fit.slope), fit.residual * 100.0);
                if let Some((exponent, off)) = fit.exponent.zip(fit.exponent_residual) {
                    text += &format!("; power {exponent:.2}, off {off:.2}");
                }
            }
            text += "\n";
        }
        text
    }

    /// Whether there is more than one size, over which something can grow.
    pub fn is_slope(&self) -> bool {
        self.samples.iter().any(|sample| sample.size != self.samples[0].size)
    }

    /// Writes the results, and their plot beside them, each whole or not at all; tells where.
    ///
    /// # Errors
    /// If one can't be written.
    pub fn write(&self, folder: &Path, plot: Option<&str>) -> io::Result<Vec<PathBuf>> {
        fs::create_dir_all(folder)?;
        let json = serde_json::to_string_pretty(self)? + "\n";
        let mut written = Vec::new();
        for (kind, text) in [("json", Some(json.as_str())), ("svg", plot)] {
            let Some(text) = text else { continue };
            let path = folder.join(format!("{}.{kind}", self.experiment.name));
            whole(&path, text)?;
            written.push(path);
        }
        Ok(written)
    }
}

/// The median of the values at each size.
pub fn medians(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let mut points = points.to_vec();
    points.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)));
    points.chunk_by(|a, b| a.0 == b.0).map(|same| same[same.len() / 2]).collect()
}

/// Three digits are enough for people.
pub fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.3e}"),
    }
}

fn names(samples: &[Sample]) -> BTreeSet<String> {
    samples.iter().flat_map(|sample| sample.figures.keys().cloned()).collect()
}

fn points(samples: &[Sample], name: &str) -> Vec<(f64, f64)> {
    samples.iter().filter_map(|sample| Some((sample.size as f64, *sample.figures.get(name)?))).collect()
}

fn whole(path: &Path, text: &str) -> io::Result<()> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let mut file = NamedTempFile::new_in(folder)?;
    file.write_all(text.as_bytes())?;
    file.as_file().sync_all()?;
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o644);
    file.as_file().set_permissions(mode)?;
    file.persist(path).map(drop).map_err(|error| error.error)
}
