//! Arguments of `emulate` and `demo`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use stonefold_observe::Levels;

use super::Format;

const EMULATE_HELP: &str = "\
The control answers GET /verdict, GET /servers and POST /faults, the body of which is a fault as in the site's file:
  curl -d '{\"kind\":\"kill\",\"server\":\"c-3\",\"for\":\"2s\"}' http://ADDRESS/faults
Exit code 1 also means that a rule was broken.

Examples:
  stonefold emulate deploy/sites/twelve.toml --configs /tmp/nodes
  stonefold emulate deploy/sites/twelve.toml --duration 1m --format json";

#[derive(clap::Args)]
#[command(after_help = EMULATE_HELP)]
pub(crate) struct EmulateArgs {
    /// The site; see deploy/sites.
    pub(crate) site: PathBuf,
    /// Where the control answers: a loopback address, port 0 for any.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:0")]
    pub(crate) control: SocketAddr,
    /// Write a configuration for each node into this folder.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) configs: Option<PathBuf>,
    /// End after so long; else on Ctrl-C.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    pub(crate) duration: Option<Duration>,
    /// Leave out the site's faults.
    #[arg(long)]
    pub(crate) no_faults: bool,
    /// Threads that serve.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=256))]
    pub(crate) threads: u16,
    /// A value that goes before the site's.
    #[arg(long, value_name = "KEY=VALUE")]
    pub(crate) set: Vec<String>,
    /// What is logged.
    #[arg(long, value_name = "LEVELS", default_value = "info")]
    pub(crate) log: Levels,
    #[arg(long, value_enum, default_value_t)]
    pub(crate) format: Format,
}

#[derive(clap::Args)]
#[command(
    after_help = "Examples:\n  stonefold demo\n  stonefold demo --duration 1m --nodes 8 --caches 24\n  stonefold demo --duration 10s --keep"
)]
pub(crate) struct DemoArgs {
    /// How long the load lasts.
    #[arg(long, value_name = "TIME", default_value = "20s", value_parser = humantime::parse_duration)]
    pub(crate) duration: Duration,
    /// Nodes.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub(crate) nodes: u16,
    /// Cache servers.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=512))]
    pub(crate) caches: u16,
    /// Requests a second; the site's own if it is absent.
    #[arg(long)]
    pub(crate) rate: Option<f64>,
    /// Seeds every random choice of the site and its clients.
    #[arg(long, default_value_t = 7)]
    pub(crate) seed: u32,
    /// Stay up afterwards, and print addresses and lines to try.
    #[arg(long)]
    pub(crate) keep: bool,
    #[arg(long, value_enum, default_value_t)]
    pub(crate) format: Format,
}
