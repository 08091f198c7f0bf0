//! Runs an experiment: takes its samples one after the other, each in its own process.

use std::io;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::process::{Child, Command};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, timeout, timeout_at};

use crate::experiment::Experiment;
use crate::report::Report;
use crate::sample::Sample;

/// Time that a sample has to exit after its standard input is closed, before it is killed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest output that is read from a sample, in bytes.
const MAX_OUTPUT_BYTES: u64 = 16 << 20;

/// The command that takes a sample.
#[derive(Clone, Debug)]
pub struct SampleProgram {
    /// Path of the program. It must exit when its standard input is closed.
    pub path: PathBuf,
    /// Arguments before `--size N --repeat N`.
    pub args: Vec<String>,
}

/// Why an experiment has no report.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A sample could not be started or its output could not be read.
    #[error("size {size}, repeat {repeat}: {source}")]
    Start {
        /// Size of the sample.
        size: usize,
        /// Number of the repeat.
        repeat: usize,
        /// The cause.
        source: io::Error,
    },
    /// A sample failed; it has written the reason to standard error.
    #[error("size {size}, repeat {repeat}: the sample ended with {status}")]
    Failed {
        /// Size of the sample.
        size: usize,
        /// Number of the repeat.
        repeat: usize,
        /// Exit status of its process.
        status: ExitStatus,
    },
    /// The output of a sample is not valid.
    #[error("size {size}, repeat {repeat}: invalid output: {source}")]
    InvalidOutput {
        /// Size of the sample.
        size: usize,
        /// Number of the repeat.
        repeat: usize,
        /// The cause.
        source: serde_json::Error,
    },
    /// SIGINT or SIGTERM was received.
    #[error("interrupted: no results are written")]
    Interrupted,
    /// The signal handlers could not be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
}

/// How the run of a sample's process ended without an error.
enum SampleOutcome {
    /// The process printed its sample.
    Completed(Sample),
    /// The time limit of the experiment passed first.
    TimeLimitReached,
}

/// Takes all samples and calls `on_sample` for each. At the time limit of the experiment it stops: the report then has
/// the samples taken so far and the reason why it is not complete.
///
/// # Errors
/// If a sample fails, or on SIGINT or SIGTERM. No process is left running then.
pub async fn run(
    experiment: Experiment,
    program: &SampleProgram,
    on_sample: impl Fn(&Sample),
) -> Result<Report, RunError> {
    let mut interrupted = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let mut terminated = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let deadline = Instant::now() + experiment.time_limit.duration();
    let mut samples = Vec::new();
    let mut stop_reason = None;
    // The repeats are the outer loop, so that conditions that change with time affect all sizes alike.
    let runs =
        (0..experiment.repeats.get()).flat_map(|repeat| experiment.sizes().map(move |size| (size, repeat)));
    for (size, repeat) in runs.collect::<Vec<_>>() {
        let mut child =
            start_sample(program, size, repeat).map_err(|source| RunError::Start { size, repeat, source })?;
        let outcome = tokio::select! {
            outcome = read_sample(&mut child, size, repeat, deadline) => Some(outcome),
            _ = interrupted.recv() => None,
            _ = terminated.recv() => None,
        };
        match outcome {
            Some(Ok(SampleOutcome::Completed(sample))) => {
                on_sample(&sample);
                samples.push(sample);
            }
            Some(Ok(SampleOutcome::TimeLimitReached)) => {
                stop_sample(child).await;
                let limit = experiment.time_limit.duration();
                stop_reason =
                    Some(format!("time limit of {limit:?} reached at size {size}, repeat {repeat}"));
                break;
            }
            Some(Err(error)) => {
                stop_sample(child).await;
                return Err(error);
            }
            None => {
                stop_sample(child).await;
                return Err(RunError::Interrupted);
            }
        }
    }
    Ok(Report::new(experiment, samples, stop_reason))
}

fn start_sample(program: &SampleProgram, size: usize, repeat: usize) -> io::Result<Child> {
    Command::new(&program.path)
        .args(&program.args)
        .args(["--size", &size.to_string(), "--repeat", &repeat.to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
}

/// Reads the output of a sample until it exits or the deadline passes.
async fn read_sample(
    child: &mut Child,
    size: usize,
    repeat: usize,
    deadline: Instant,
) -> Result<SampleOutcome, RunError> {
    let read_error = |source| RunError::Start { size, repeat, source };
    let mut output = Vec::new();
    let stdout = child.stdout.take().ok_or_else(|| read_error(io::ErrorKind::BrokenPipe.into()))?;
    let reading = async {
        stdout.take(MAX_OUTPUT_BYTES).read_to_end(&mut output).await?;
        // The standard input stays open while the sample runs: closing it would stop the sample.
        let _input = &child.stdin;
        Ok::<_, io::Error>(())
    };
    match timeout_at(deadline, reading).await {
        Ok(result) => result.map_err(read_error)?,
        Err(_) => return Ok(SampleOutcome::TimeLimitReached),
    }
    let status = child.wait().await.map_err(read_error)?;
    if !status.success() {
        return Err(RunError::Failed { size, repeat, status });
    }
    serde_json::from_slice(&output).map(SampleOutcome::Completed).map_err(|source| RunError::InvalidOutput {
        size,
        repeat,
        source,
    })
}

/// Stops a sample: closes its standard input, so that it can clean up what it has started, and kills its process if it
/// does not exit in time.
async fn stop_sample(mut child: Child) {
    drop(child.stdin.take());
    if timeout(EXIT_TIMEOUT, child.wait()).await.is_err() {
        let _ = child.kill().await; // fails only if it has exited meanwhile
    }
}
