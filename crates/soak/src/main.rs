//! `stonefold-soak`: runs seeds in order and prints a line for each, up to the last seed or, without `--all`, the first
//! that breaks a rule.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use stonefold_soak::{SoakOptions, run};
use tokio::task::JoinSet;

/// Exit code if a seed could not be run; a seed that broke a rule gives the ordinary failure code.
const EXIT_NOT_RUN: u8 = 2;

/// Runs many real nodes under randomized faults and checks the rules that every request must keep.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The program that runs a node.
    #[arg(long, default_value = "target/release/stonefold")]
    program: PathBuf,
    /// The preloaded library that makes the node's system calls fail.
    #[arg(long, default_value = "target/release/libstonefold_faults_preload.so")]
    library: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// The number of nodes.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(1..=40))]
    nodes: u32,
    /// The duration of a seed's run, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The requests per second of all clients together.
    #[arg(long, default_value_t = 600.0)]
    rate: f64,
    /// The number of seeds that run at the same time.
    #[arg(long, default_value_t = 1)]
    jobs: usize,
    /// Writes the nodes' logs to this directory, at level trace.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Continues after a seed that broke a rule.
    #[arg(long)]
    all: bool,
}

impl Arguments {
    /// The parameters of one seed's run.
    fn options(&self, seed: u64) -> SoakOptions {
        SoakOptions {
            program: self.program.clone(),
            library: self.library.clone(),
            seed,
            nodes: self.nodes,
            duration: Duration::from_secs(self.seconds),
            rate: self.rate,
            logs: self.logs.clone(),
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut seeds = arguments.seed..arguments.seed + arguments.seeds;
    let mut runs = JoinSet::new();
    let mut failed_seeds = 0;
    loop {
        let continues = arguments.all || failed_seeds == 0;
        while continues
            && runs.len() < arguments.jobs
            && let Some(seed) = seeds.next()
        {
            runs.spawn(run(arguments.options(seed)));
        }
        // A panic of a run also ends the program.
        match runs.join_next().await.map(|joined| joined.expect("a run has panicked")) {
            Some(Ok(report)) => {
                println!("{report}");
                failed_seeds += u64::from(!report.is_clean());
            }
            Some(Err(error)) => {
                eprintln!("stonefold-soak: {error}");
                return ExitCode::from(EXIT_NOT_RUN);
            }
            None => break,
        }
    }
    if failed_seeds > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
