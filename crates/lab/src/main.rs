//! `stonefold lab`: a separate program, so that the node's program contains none of its code.
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
use stonefold_lab::runner::{self, RunError, SampleProgram};
use stonefold_lab::sample::{self, Sample};
use stonefold_lab::{plot, report};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Time after which a stopped sample exits in any case. It is shorter than the time after which the runner kills the
/// process.
const STOP_GRACE: Duration = Duration::from_secs(3);

const EXIT_CODES: &str = "\
Exit codes: 0 complete; 1 failed, stopped at the time limit, or a violation was found; 2 wrong usage or an invalid
plan; 130 interrupted.

Examples:
  stonefold lab scale deploy/experiments/decision-servers.toml
  stonefold lab scale deploy/experiments/store-members.toml --set repeats=5 --out /tmp/results";

/// Measures how the cost of the node's control code grows with the number of nodes, servers and store members.
#[derive(Parser)]
#[command(name = "stonefold-lab", bin_name = "stonefold lab", version, arg_required_else_help = true, after_help = EXIT_CODES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment: measure its sizes, each several times, fit the slope and draw a plot.
    Scale {
        #[command(flatten)]
        plan: PlanArgs,
        /// Folder for the results, NAME.json and NAME.svg.
        #[arg(long, value_name = "FOLDER", default_value = "docs/measurements/capacity")]
        out: PathBuf,
        /// Check the plan only; run nothing.
        #[arg(long)]
        check: bool,
    },
    /// Take one sample, for `scale`. It exits when its standard input is closed.
    #[command(hide = true)]
    Sample {
        #[command(flatten)]
        plan: PlanArgs,
        #[arg(long)]
        size: usize,
        #[arg(long)]
        repeat: usize,
    },
}

#[derive(Args)]
struct PlanArgs {
    /// The plan, a TOML file; see deploy/experiments.
    experiment: PathBuf,
    /// A value that overrides the one in the file.
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<String>,
}

type Failure = Box<dyn Error + Send + Sync>;

/// How the command ended, with the error to print. It determines the exit code.
enum CommandEnd {
    Done,
    Failed(Failure),
    InvalidPlan(Failure),
    Interrupted(Failure),
}

impl From<Failure> for CommandEnd {
    fn from(failure: Failure) -> CommandEnd {
        CommandEnd::Failed(failure)
    }
}

fn main() -> ExitCode {
    let end = match Cli::parse().command {
        Command::Scale { plan, out, check } => scale(&plan, &out, check),
        Command::Sample { plan, size, repeat } => run_sample(&plan, size, repeat),
    };
    let (code, failure) = match end.unwrap_or_else(|end| end) {
        CommandEnd::Done => return ExitCode::SUCCESS,
        CommandEnd::Failed(failure) => (1, failure),
        CommandEnd::InvalidPlan(failure) => (2, failure),
        CommandEnd::Interrupted(failure) => (130, failure),
    };
    // An error is ignored, as standard error may be closed.
    let _ = writeln!(io::stderr(), "stonefold lab: {failure}");
    ExitCode::from(code)
}

fn read_plan(plan: &PlanArgs) -> Result<Experiment, CommandEnd> {
    let layers = Layers { file: Some(plan.experiment.clone()), flags: plan.set.clone(), ..Layers::default() };
    load(&layers).map(|loaded| loaded.tree).map_err(|error| CommandEnd::InvalidPlan(error.into()))
}

fn scale(plan: &PlanArgs, out: &Path, check: bool) -> Result<CommandEnd, CommandEnd> {
    let experiment = read_plan(plan)?;
    if check {
        return Ok(CommandEnd::Done);
    }
    let path = std::env::current_exe().map_err(Failure::from)?;
    let mut args = vec!["sample".to_owned(), plan.experiment.display().to_string()];
    plan.set.iter().for_each(|value| args.extend(["--set".to_owned(), value.clone()]));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(Failure::from)?;
    let report = runtime.block_on(runner::run(experiment, &SampleProgram { path, args }, print_progress));
    let report = report.map_err(|error| match error {
        RunError::Interrupted => CommandEnd::Interrupted(error.into()),
        error => CommandEnd::Failed(error.into()),
    })?;
    let plot = report.has_several_sizes().then(|| plot::svg(&report)).transpose().map_err(Failure::from)?;
    let written = report.write(out, plot.as_deref()).map_err(Failure::from)?;
    print!("{}", report.table());
    written.iter().for_each(|path| println!("{}", path.display()));
    check_report(&report)
}

/// Warns if other processes were busy during the samples. Fails if there are violations or samples are missing.
fn check_report(report: &report::Report) -> Result<CommandEnd, CommandEnd> {
    if report.conditions.beside_other_work {
        println!(
            "other processes used up to {:.1} cores: times are not reliable",
            report.conditions.others_cores
        );
    }
    if !report.broken.is_empty() {
        return Err(CommandEnd::Failed(format!("broken:\n{}", report.broken.join("\n")).into()));
    }
    match &report.stopped {
        Some(reason) => Err(CommandEnd::Failed(format!("not complete: {reason}").into())),
        None => Ok(CommandEnd::Done),
    }
}

fn print_progress(sample: &Sample) {
    eprintln!("size {}, repeat {}: {:.1} s", sample.size, sample.repeat, sample.took_s);
}

/// Takes one sample. When it is stopped, it first ends what it has started.
fn run_sample(plan: &PlanArgs, size: usize, repeat: usize) -> Result<CommandEnd, CommandEnd> {
    let experiment = read_plan(plan)?;
    let stop = CancellationToken::new();
    stop_on_signals(stop.clone())?;
    let stop_on_input_end = stop.clone();
    // The end of the input means that the runner has exited or wants the sample to stop.
    thread::spawn(move || {
        let _ = io::stdin().read_to_end(&mut Vec::new());
        stop_on_input_end.cancel();
        thread::sleep(STOP_GRACE);
        std::process::exit(1); // there was nothing to clean up, or the cleanup hangs
    });
    let sample = sample::take_sample(&experiment, size, repeat, &node_program_path()?, &stop)
        .map_err(Failure::from)?;
    println!("{}", serde_json::to_string(&sample).map_err(Failure::from)?);
    Ok(CommandEnd::Done)
}

/// Path of the node's program, which is in the same folder as this one.
fn node_program_path() -> Result<PathBuf, Failure> {
    Ok(std::env::current_exe()?.with_file_name("stonefold"))
}

/// Cancels `stop` on SIGINT and SIGTERM. Ctrl-C in a terminal reaches this process too, and it must not exit before it
/// has ended what it has started.
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
