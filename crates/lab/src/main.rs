//! `stonefold lab`: a program of its own, so that the node's carries nothing of it.
#![allow(unreachable_pub, clippy::pedantic, rustdoc::all)] // not yet at the workspace's standard

use std::error::Error;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use stonefold_config::{Layers, load};
use stonefold_lab::experiment::Experiment;
use stonefold_lab::runner::{self, Program, RunError};
use stonefold_lab::sample::{self, Sample};
use stonefold_lab::{plot, report};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// A sample that is told to end has so long for it, which is less than it is given.
const GRACE: Duration = Duration::from_secs(3);

const EXIT_CODES: &str = "\
Exit codes: 0 done; 1 failed, stopped at the time limit, or something broken was found; 2 usage, or a plan that is
refused; 130 interrupted.

Examples:
  stonefold lab scale deploy/experiments/decision-servers.toml
  stonefold lab scale deploy/experiments/store-members.toml --set repeats=5 --out /tmp/results";

/// Measures what the node's control code costs against the size of what stands round it.
#[derive(Parser)]
#[command(name = "stonefold-lab", bin_name = "stonefold lab", version, arg_required_else_help = true, after_help = EXIT_CODES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment: some sizes, some repeats, the slope, a plot.
    Scale {
        #[command(flatten)]
        plan: Plan,
        /// Where the results go, as NAME.json and NAME.svg.
        #[arg(long, value_name = "FOLDER", default_value = "docs/measurements/capacity")]
        out: PathBuf,
        /// Check the plan, and run nothing.
        #[arg(long)]
        check: bool,
    },
    /// One sample, for `scale`: it ends when its standard input does.
    #[command(hide = true)]
    Sample {
        #[command(flatten)]
        plan: Plan,
        #[arg(long)]
        size: usize,
        #[arg(long)]
        repeat: usize,
    },
}

#[derive(Args)]
struct Plan {
    /// A TOML file; see deploy/experiments.
    experiment: PathBuf,
    /// A value that goes before the file's.
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<String>,
}

type Failure = Box<dyn Error + Send + Sync>;

/// How it ended, and what to say of it.
enum End {
    Done,
    Failed(Failure),
    Refused(Failure),
    Interrupted(Failure),
}

impl From<Failure> for End {
    fn from(failure: Failure) -> End {
        End::Failed(failure)
    }
}

fn main() -> ExitCode {
    let end = match Cli::parse().command {
        Command::Scale { plan, out, check } => scale(&plan, &out, check),
        Command::Sample { plan, size, repeat } => take(&plan, size, repeat),
    };
    let (code, failure) = match end.unwrap_or_else(|end| end) {
        End::Done => return ExitCode::SUCCESS,
        End::Failed(failure) => (1, failure),
        End::Refused(failure) => (2, failure),
        End::Interrupted(failure) => (130, failure),
    };
    // Standard error may be closed.
    let _ = writeln!(io::stderr(), "stonefold lab: {failure}");
    ExitCode::from(code)
}

fn read(plan: &Plan) -> Result<Experiment, End> {
    let layers = Layers { file: Some(plan.experiment.clone()), flags: plan.set.clone(), ..Layers::default() };
    load(&layers).map(|loaded| loaded.tree).map_err(|error| End::Refused(error.into()))
}

fn scale(plan: &Plan, out: &Path, check: bool) -> Result<End, End> {
    let experiment = read(plan)?;
    if check {
        return Ok(End::Done);
    }
    let path = std::env::current_exe().map_err(Failure::from)?;
    let mut args = vec!["sample".to_owned(), plan.experiment.display().to_string()];
    plan.set.iter().for_each(|value| args.extend(["--set".to_owned(), value.clone()]));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(Failure::from)?;
    let report = runtime.block_on(runner::run(experiment, &Program { path, args }, tell));
    let report = report.map_err(|error| match error {
        RunError::Interrupted => End::Interrupted(error.into()),
        error => End::Failed(error.into()),
    })?;
    let picture = report.is_slope().then(|| plot::svg(&report)).transpose().map_err(Failure::from)?;
    let written = report.write(out, picture.as_deref()).map_err(Failure::from)?;
    print!("{}", report.text());
    written.iter().for_each(|path| println!("{}", path.display()));
    ended(&report)
}

fn ended(report: &report::Report) -> Result<End, End> {
    if report.conditions.beside_other_work {
        println!("beside other work: others used up to {:.1} cores", report.conditions.others_cores);
    }
    if !report.broken.is_empty() {
        return Err(End::Failed(format!("broken:\n{}", report.broken.join("\n")).into()));
    }
    match &report.stopped {
        Some(why) => Err(End::Failed(format!("not complete: {why}").into())),
        None => Ok(End::Done),
    }
}

fn tell(sample: &Sample) {
    eprintln!("size {}, repeat {}: {:.1} s", sample.size, sample.repeat, sample.took_s);
}

/// One sample, that ends whatever it has started when it is told to.
fn take(plan: &Plan, size: usize, repeat: usize) -> Result<End, End> {
    let experiment = read(plan)?;
    let stop = CancellationToken::new();
    stop_on_signals(stop.clone())?;
    let told = stop.clone();
    // Whoever started this has ended, or wants it to end.
    thread::spawn(move || {
        let _ = io::stdin().read_to_end(&mut Vec::new());
        told.cancel();
        thread::sleep(GRACE);
        std::process::exit(1); // it has nothing to put away, or hangs
    });
    let sample = sample::take(&experiment, size, repeat, &node_program()?, &stop).map_err(Failure::from)?;
    println!("{}", serde_json::to_string(&sample).map_err(Failure::from)?);
    Ok(End::Done)
}

/// The node's program, which lies beside this one.
fn node_program() -> Result<PathBuf, Failure> {
    Ok(std::env::current_exe()?.with_file_name("stonefold"))
}

/// Ctrl-C reaches this process too: it must not end before what it has started.
fn stop_on_signals(stop: CancellationToken) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let guard = runtime.enter();
    let (mut interrupted, mut terminated) =
        (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    drop(guard);
    thread::spawn(move || {
        runtime.block_on(async {
            tokio::select! {
                _ = interrupted.recv() => {}
                _ = terminated.recv() => {}
            }
        });
        stop.cancel();
    });
    Ok(())
}
