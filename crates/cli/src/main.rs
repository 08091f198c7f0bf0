//! The `stonefold` program: the command line of the other crates.

mod args;
mod client;
mod commands;
mod failure;
mod shared_state;

use std::process::ExitCode;

use clap::Parser;

use args::{Args, Command};

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Node(args) => commands::node::run(args),
        Command::Check(args) => commands::check::run(args),
        Command::Emulate(args) => commands::emulate::run(args),
        Command::Demo(args) => commands::demo::run(args),
        Command::Get(args) => commands::request::get(args),
        Command::Set(args) => commands::request::set(args),
        Command::Call(args) => commands::call::run(args),
        Command::Store(command) => commands::store::run(command),
        Command::Config(command) => commands::store::config(command),
        Command::Lab { args } => commands::lab::run(&args),
        Command::Completions { shell } => commands::texts::completions(shell),
        Command::Man => commands::texts::man(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(),
    }
}
