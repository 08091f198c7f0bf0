//! Arguments of `emulate` and `demo`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use stonefold_observe::Levels;

use super::Format;

const EMULATE_HELP: &str = "\
The control address answers GET /verdict, GET /servers and POST /faults. The body of POST /faults
is a fault as JSON, with the keys that a fault has in the site's file:
  curl -d '{\"kind\":\"kill\",\"server\":\"c-3\",\"for\":\"2s\"}' http://ADDRESS/faults
Exit code 1 also means that a rule was broken.

Examples:
  stonefold emulate deploy/sites/twelve.toml --configs /tmp/nodes
  stonefold emulate deploy/sites/twelve.toml --duration 1m --format json";

#[derive(clap::Args)]
#[command(after_help = EMULATE_HELP)]
pub(crate) struct EmulateArgs {
    /// The TOML file of the site; see deploy/sites.
    pub(crate) site: PathBuf,
    /// The control address: a loopback address; port 0 takes any free port.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:0")]
    pub(crate) control: SocketAddr,
    /// Write a configuration file for each node into this folder.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) configs: Option<PathBuf>,
    /// End after this time; without it, run until Ctrl-C.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    pub(crate) duration: Option<Duration>,
    /// Do not inject the site's faults.
    #[arg(long)]
    pub(crate) no_faults: bool,
    /// The number of threads that serve requests.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=256))]
    pub(crate) threads: u16,
    /// A value that overrides the site's; may be given more than once.
    #[arg(long, value_name = "KEY=VALUE")]
    pub(crate) set: Vec<String>,
    /// The lowest level that is logged, by target: `info`, `warn,stonefold_emulator=debug`.
    #[arg(long, value_name = "LEVELS", default_value = "info")]
    pub(crate) log: Levels,
    /// The format of the results.
    #[arg(long, value_enum, default_value_t)]
    pub(crate) format: Format,
}

#[derive(clap::Args)]
#[command(
    after_help = "Examples:\n  stonefold demo\n  stonefold demo --duration 1m --nodes 8 --caches 24\n  stonefold demo --duration 10s --keep"
)]
pub(crate) struct DemoArgs {
    /// The duration of the load.
    #[arg(long, value_name = "TIME", default_value = "20s", value_parser = humantime::parse_duration)]
    pub(crate) duration: Duration,
    /// The number of nodes to start.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub(crate) nodes: u16,
    /// The number of cache servers.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=512))]
    pub(crate) caches: u16,
    /// Requests per second; without it, the site's rate.
    #[arg(long)]
    pub(crate) rate: Option<f64>,
    /// The seed of all random choices of the site and its clients.
    #[arg(long, default_value_t = 7)]
    pub(crate) seed: u32,
    /// Keep the site and the nodes running after the load, and print their addresses and commands to try.
    #[arg(long)]
    pub(crate) keep: bool,
    /// The format of the results.
    #[arg(long, value_enum, default_value_t)]
    pub(crate) format: Format,
}
