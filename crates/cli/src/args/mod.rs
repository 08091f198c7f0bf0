//! The command line. Doc comments of arguments are the text of `--help`.

mod emulate;
mod node;
mod request;
mod store;

use std::ffi::OsString;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

pub(crate) use emulate::{DemoArgs, EmulateArgs};
pub(crate) use node::{CheckArgs, NodeArgs};
pub(crate) use request::{CallArgs, GetArgs, RequestArgs, SetArgs};
pub(crate) use store::{ConfigCommand, StoreClientArgs, StoreCommand};

/// The version and the commit that the program was built from.
const VERSION: &str = concat!(env!("CARGO_PKG_VERSION"), " (", env!("STONEFOLD_COMMIT"), ")");

/// Shown after the help of each command.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 usage or bad configuration.";

/// A cache proxy for many nodes before one slow origin.
#[derive(Parser)]
#[command(name = "stonefold", version = VERSION, arg_required_else_help = true, after_help = EXIT_CODES)]
pub(crate) struct Args {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run one node until it is told to stop.
    Node(NodeArgs),
    /// Check a configuration file, as a node would before it acts on it.
    Check(CheckArgs),
    /// Play a whole site on loopback: caches, origin, discovery, faults, and a judge of what nodes do.
    Emulate(EmulateArgs),
    /// Show all of it at work: a site, nodes, a load, a rolling restart half way.
    Demo(DemoArgs),
    /// Read one key through a node.
    Get(GetArgs),
    /// Write one key through a node.
    Set(SetArgs),
    /// Make one operators' call to a node.
    Call(CallArgs),
    /// Make, ask and change the store that nodes keep together.
    #[command(subcommand)]
    Store(StoreCommand),
    /// Change the configuration that all nodes of a store share.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Measure what the node's control costs against the size of what stands round it; see `stonefold lab --help`.
    #[command(disable_help_flag = true)]
    Lab {
        /// What the laboratory is asked for.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
    /// Print completions for a shell.
    #[command(
        after_help = "Example: stonefold completions bash > ~/.local/share/bash-completion/completions/stonefold"
    )]
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Print the manual page.
    #[command(after_help = "Example: stonefold man | man -l -")]
    Man,
}

/// How results are printed.
#[derive(Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub(crate) enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}
