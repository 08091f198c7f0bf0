//! Runs an experiment: its samples one after the other, each in a process of its own.

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

/// A sample that is told to end has so long for it.
const END: Duration = Duration::from_secs(5);
/// A sample's answer is no longer than this, in bytes.
const ANSWER: u64 = 16 << 20;

/// How samples are started.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program, and what it is called with before `--size N --repeat N`. It must end when its standard input does.
    pub path: PathBuf,
    /// See `path`.
    pub args: Vec<String>,
}

/// Why an experiment gave nothing.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A sample can't be started, or not be read.
    #[error("size {size}, repeat {repeat}: {source}")]
    Start {
        /// The sample's size.
        size: usize,
        /// Its repeat.
        repeat: usize,
        /// Why.
        source: io::Error,
    },
    /// A sample failed; it has said why.
    #[error("size {size}, repeat {repeat}: the sample ended with {status}")]
    Failed {
        /// The sample's size.
        size: usize,
        /// Its repeat.
        repeat: usize,
        /// How it ended.
        status: ExitStatus,
    },
    /// What a sample said can't be read.
    #[error("size {size}, repeat {repeat}: {source}")]
    Unreadable {
        /// The sample's size.
        size: usize,
        /// Its repeat.
        repeat: usize,
        /// Why.
        source: serde_json::Error,
    },
    /// Somebody ended it.
    #[error("interrupted: nothing is written")]
    Interrupted,
    /// Signals can't be waited for.
    #[error("{0}")]
    Signals(io::Error),
}

enum Taken {
    Sample(Sample),
    /// The time is over.
    Late,
}

/// Takes all samples, until the experiment's time limit: the report then holds those that were taken, and says so.
///
/// # Errors
/// If a sample fails, or on SIGINT and SIGTERM. No process is left then.
pub async fn run(
    experiment: Experiment,
    program: &Program,
    told: impl Fn(&Sample),
) -> Result<Report, RunError> {
    let mut interrupted = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let mut terminated = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let until = Instant::now() + experiment.time_limit.duration();
    let mut samples = Vec::new();
    let mut stopped = None;
    // Repeats outside: what changes with time befalls all sizes alike.
    let all =
        (0..experiment.repeats.get()).flat_map(|repeat| experiment.sizes().map(move |size| (size, repeat)));
    for (size, repeat) in all.collect::<Vec<_>>() {
        let mut child =
            start(program, size, repeat).map_err(|source| RunError::Start { size, repeat, source })?;
        let taken = tokio::select! {
            taken = take(&mut child, size, repeat, until) => Some(taken),
            _ = interrupted.recv() => None,
            _ = terminated.recv() => None,
        };
        match taken {
            Some(Ok(Taken::Sample(sample))) => {
                told(&sample);
                samples.push(sample);
            }
            Some(Ok(Taken::Late)) => {
                end(child).await;
                let limit = experiment.time_limit.duration();
                stopped = Some(format!("time limit of {limit:?}: stopped in size {size}, repeat {repeat}"));
                break;
            }
            Some(Err(error)) => {
                end(child).await;
                return Err(error);
            }
            None => {
                end(child).await;
                return Err(RunError::Interrupted);
            }
        }
    }
    Ok(Report::new(experiment, samples, stopped))
}

fn start(program: &Program, size: usize, repeat: usize) -> io::Result<Child> {
    Command::new(&program.path)
        .args(&program.args)
        .args(["--size", &size.to_string(), "--repeat", &repeat.to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
}

async fn take(child: &mut Child, size: usize, repeat: usize, until: Instant) -> Result<Taken, RunError> {
    let failed = |source| RunError::Start { size, repeat, source };
    let mut said = Vec::new();
    let out = child.stdout.take().ok_or_else(|| failed(io::ErrorKind::BrokenPipe.into()))?;
    let ending = async {
        out.take(ANSWER).read_to_end(&mut said).await?;
        // Its standard input stays open meanwhile.
        let _input = &child.stdin;
        Ok::<_, io::Error>(())
    };
    match timeout_at(until, ending).await {
        Ok(read) => read.map_err(failed)?,
        Err(_) => return Ok(Taken::Late),
    }
    let status = child.wait().await.map_err(failed)?;
    if !status.success() {
        return Err(RunError::Failed { size, repeat, status });
    }
    serde_json::from_slice(&said).map(Taken::Sample).map_err(|source| RunError::Unreadable {
        size,
        repeat,
        source,
    })
}

/// Ends a sample: by its input's end, so that it can end what it has started; by its id if it doesn't.
async fn end(mut child: Child) {
    drop(child.stdin.take());
    if timeout(END, child.wait()).await.is_err() {
        let _ = child.kill().await; // it has ended meanwhile
    }
}
