//! `stonefold-soak`: plays seeds one after the other, a line each, until the last or the first that breaks a rule.
#![allow(unreachable_pub, clippy::pedantic, rustdoc::all)] // not yet at the workspace's standard

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use stonefold_soak::{Options, play};

/// Randomized faults on many real nodes, judged by the rules that every request keeps.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// The program that runs a node.
    #[arg(long, default_value = "target/release/stonefold")]
    program: PathBuf,
    /// The library that makes its system calls fail.
    #[arg(long, default_value = "target/release/libstonefold_faults_preload.so")]
    library: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How many nodes.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(1..=40))]
    nodes: u32,
    /// How long a seed is played, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Requests a second of all clients.
    #[arg(long, default_value_t = 600.0)]
    rate: f64,
    /// Goes on after a seed that broke a rule.
    #[arg(long)]
    all: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let options = Options {
            program: arguments.program.clone(),
            library: arguments.library.clone(),
            seed,
            nodes: arguments.nodes,
            lasts: Duration::from_secs(arguments.seconds),
            rate: arguments.rate,
        };
        match play(options).await {
            Ok(report) => {
                println!("{report}");
                broken += u64::from(!report.is_clean());
            }
            Err(error) => {
                eprintln!("stonefold-soak: seed {seed}: {error}");
                return ExitCode::from(2);
            }
        }
        if broken > 0 && !arguments.all {
            break;
        }
    }
    if broken > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
