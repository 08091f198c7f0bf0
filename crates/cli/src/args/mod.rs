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

/// A cache proxy: many nodes in front of one slow origin.
#[derive(Parser)]
#[command(name = "stonefold", version = VERSION, arg_required_else_help = true, after_help = EXIT_CODES)]
pub(crate) struct Args {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run one node until it is stopped.
    Node(NodeArgs),
    /// Check a configuration file as a node does before it uses it.
    Check(CheckArgs),
    /// Emulate a whole site on loopback: cache servers, origin, discovery and faults, with checks of what nodes do.
    Emulate(EmulateArgs),
    /// Run a demonstration: a site, nodes and a load, with a rolling restart of the cache servers halfway through.
    Demo(DemoArgs),
    /// Read one key through a node.
    Get(GetArgs),
    /// Write one key through a node.
    Set(SetArgs),
    /// Send one operator command to a node.
    Call(CallArgs),
    /// Create, query and change the store that nodes replicate.
    #[command(subcommand)]
    Store(StoreCommand),
    /// Change the configuration that all nodes of a store share.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Measure how the cost of a node's own code depends on the size of the system around it; see `stonefold lab --help`.
    #[command(disable_help_flag = true)]
    Lab {
        /// The arguments of the lab.
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        args: Vec<OsString>,
    },
    /// Print the completions for a shell.
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

/// The format of the results.
#[derive(Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub(crate) enum Format {
    /// Text for people.
    #[default]
    Text,
    /// JSON for programs.
    Json,
}
