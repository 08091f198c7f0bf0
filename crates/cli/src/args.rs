//! The command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use stonefold_observe::{Format as LogFormat, Levels};

const VERSION: &str = concat!(env!("CARGO_PKG_VERSION"), " (", env!("STONEFOLD_COMMIT"), ")");

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 usage or bad configuration.";

/// A cache proxy for many nodes before one slow origin.
#[derive(Parser)]
#[command(name = "stonefold", version = VERSION, arg_required_else_help = true, after_help = EXIT_CODES)]
pub struct Args {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
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

const NODE_HELP: &str = "\
Without --config the node takes the platform's environment: EDGE_CONFIG names a JSON file; EDGE_LISTEN,
EDGE_DISCOVERY and EDGE_OPERATOR go before what it says. SIGHUP takes a changed file whole or not at all; SIGTERM
ends the node once all that it took is answered.

Examples:
  stonefold node --config deploy/node.toml
  stonefold node --config deploy/node.toml --set node.listen=127.0.0.1:7000 --log info,stonefold_node=debug
  EDGE_CONFIG=config.json EDGE_LISTEN=127.0.0.1:6379 EDGE_DISCOVERY=127.0.0.1:8500 stonefold node";

#[derive(clap::Args)]
#[command(after_help = NODE_HELP)]
pub struct NodeArgs {
    /// A TOML file; see deploy/node.toml.
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// A value that goes before the file's and the environment's; may be given more than once.
    #[arg(long, value_name = "KEY=VALUE", requires = "config")]
    pub set: Vec<String>,
    /// What is logged, by target: `info`, `warn,stonefold_node=debug`.
    #[arg(long, value_name = "LEVELS", env = "STONEFOLD_LOG")]
    pub log: Option<Levels>,
    /// The form of log lines: text or json.
    #[arg(long, value_name = "FORM", env = "STONEFOLD_LOG_FORMAT")]
    pub log_format: Option<LogFormat>,
}

const CHECK_HELP: &str = "\
A file that ends in .json is read as the platform's configuration, any other as TOML.

Examples:
  stonefold check deploy/node.toml
  stonefold check deploy/node.toml --explain
  stonefold check --schema > deploy/node.schema.json";

#[derive(clap::Args)]
#[command(after_help = CHECK_HELP)]
pub struct CheckArgs {
    /// The file.
    #[arg(required_unless_present = "schema")]
    pub file: Option<PathBuf>,
    /// Print every value that would be in force, and where it came from.
    #[arg(long)]
    pub explain: bool,
    /// Print the JSON Schema of the TOML file instead.
    #[arg(long, conflicts_with_all = ["file", "explain"])]
    pub schema: bool,
    /// A value that goes before the file's and the environment's.
    #[arg(long, value_name = "KEY=VALUE")]
    pub set: Vec<String>,
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

/// How results are printed.
#[derive(Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

const EMULATE_HELP: &str = "\
The control answers GET /verdict, GET /servers and POST /faults, the body of which is a fault as in the site's file:
  curl -d '{\"kind\":\"kill\",\"server\":\"c-3\",\"for\":\"2s\"}' http://ADDRESS/faults
Exit code 1 also means that a rule was broken.

Examples:
  stonefold emulate deploy/sites/twelve.toml --configs /tmp/nodes
  stonefold emulate deploy/sites/twelve.toml --duration 1m --format json";

#[derive(clap::Args)]
#[command(after_help = EMULATE_HELP)]
pub struct EmulateArgs {
    /// The site; see deploy/sites.
    pub site: PathBuf,
    /// Where the control answers: a loopback address, port 0 for any.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:0")]
    pub control: SocketAddr,
    /// Write a configuration for each node into this folder.
    #[arg(long, value_name = "FOLDER")]
    pub configs: Option<PathBuf>,
    /// End after so long; else on Ctrl-C.
    #[arg(long, value_name = "TIME", value_parser = humantime::parse_duration)]
    pub duration: Option<Duration>,
    /// Leave out the site's faults.
    #[arg(long)]
    pub no_faults: bool,
    /// Threads that serve.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=256))]
    pub threads: u16,
    /// A value that goes before the site's.
    #[arg(long, value_name = "KEY=VALUE")]
    pub set: Vec<String>,
    /// What is logged.
    #[arg(long, value_name = "LEVELS", default_value = "info")]
    pub log: Levels,
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

#[derive(clap::Args)]
#[command(
    after_help = "Examples:\n  stonefold demo\n  stonefold demo --duration 1m --nodes 8 --caches 24\n  stonefold demo --duration 10s --keep"
)]
pub struct DemoArgs {
    /// How long the load lasts.
    #[arg(long, value_name = "TIME", default_value = "20s", value_parser = humantime::parse_duration)]
    pub duration: Duration,
    /// Nodes.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub nodes: u16,
    /// Cache servers.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=512))]
    pub caches: u16,
    /// Requests a second; the site's own if it is absent.
    #[arg(long)]
    pub rate: Option<f64>,
    /// Seeds every random choice of the site and its clients.
    #[arg(long, default_value_t = 7)]
    pub seed: u32,
    /// Stay up afterwards, and print addresses and lines to try.
    #[arg(long)]
    pub keep: bool,
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

/// What get and set have in common.
#[derive(clap::Args)]
pub struct RequestArgs {
    /// The node.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:6379", env = "STONEFOLD_ADDRESS")]
    pub node: SocketAddr,
    /// The class, one of the node's settings; none is a plain request.
    #[arg(long)]
    pub class: Option<String>,
    /// The tenant.
    #[arg(long)]
    pub tenant: Option<String>,
    /// How long to wait for the answer.
    #[arg(long, value_name = "TIME", default_value = "1s", value_parser = humantime::parse_duration)]
    pub deadline: Duration,
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

#[derive(clap::Args)]
#[command(
    after_help = "Example: stonefold get book:12 --node 127.0.0.1:6379 --class record-lookup --deadline 600ms"
)]
pub struct GetArgs {
    /// The key.
    pub key: String,
    #[command(flatten)]
    pub request: RequestArgs,
}

#[derive(clap::Args)]
#[command(
    after_help = "Example: stonefold set hold:12 reader-7 --class hold-place --idempotency-key 5c0f6e1a --deadline 5s"
)]
pub struct SetArgs {
    /// The key.
    pub key: String,
    /// The value; `-` reads it from standard input.
    pub value: String,
    /// The key under which servers discard repeats.
    #[arg(long, value_name = "KEY")]
    pub idempotency_key: Option<String>,
    #[command(flatten)]
    pub request: RequestArgs,
}

const CALL_HELP: &str = "\
Calls: READY, STATS, DISABLE ID, ENABLE ID.

Examples:
  stonefold call 127.0.0.1:9901 READY
  stonefold call 127.0.0.1:9901 STATS --format json
  stonefold call 127.0.0.1:9901 DISABLE s-5be2a07c";

#[derive(clap::Args)]
#[command(after_help = CALL_HELP)]
pub struct CallArgs {
    /// Where operators call the node.
    pub address: SocketAddr,
    /// The call.
    #[arg(required = true, num_args = 1..)]
    pub call: Vec<String>,
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

const STORE_HELP: &str = "\
Changes are made by whoever leads, and found from any member. The key file is for its owner alone; two keys in it are
both believed, of which the first is used.

Examples:
  stonefold store init --dir /var/lib/stonefold --member 1 --listen 127.0.0.1:7101 --key-file /etc/stonefold/key
  stonefold store init --dir /var/lib/stonefold --member 2 --listen 127.0.0.1:7102 --key-file /etc/stonefold/key --join CLUSTER
  stonefold store add 2 127.0.0.1:7102 --at 127.0.0.1:7101 --key-file /etc/stonefold/key
  stonefold store status --at 127.0.0.1:7101 --key-file /etc/stonefold/key";

/// How a store is reached.
#[derive(clap::Args)]
pub struct ReachArgs {
    /// A member.
    #[arg(long, value_name = "ADDRESS", env = "STONEFOLD_STORE")]
    pub at: SocketAddr,
    /// The file of the key that all members share.
    #[arg(long, value_name = "FILE", env = "STONEFOLD_STORE_KEY")]
    pub key_file: PathBuf,
    #[arg(long, value_enum, default_value_t)]
    pub format: Format,
}

#[derive(Subcommand)]
#[command(after_help = STORE_HELP)]
pub enum StoreCommand {
    /// Make a member's store in a folder: the first of a new cluster, or one that is to be added.
    Init {
        /// The folder.
        #[arg(long)]
        dir: PathBuf,
        /// The member's number; none is ever given twice.
        #[arg(long, value_parser = clap::value_parser!(u64).range(1..))]
        member: u64,
        /// Where others will reach it.
        #[arg(long, value_name = "ADDRESS")]
        listen: SocketAddr,
        /// The file of the key; made if it is absent.
        #[arg(long, value_name = "FILE")]
        key_file: PathBuf,
        /// The cluster to be added to, as its first `init` printed it.
        #[arg(long, value_name = "CLUSTER")]
        join: Option<String>,
    },
    /// Write the key with which nodes follow the store, and can do nothing else.
    SubscriberKey {
        /// The file of the key that all members share.
        #[arg(long, value_name = "FILE")]
        key_file: PathBuf,
        /// The file to be made.
        out: PathBuf,
    },
    /// Tell all who follow the store that a key's value is not to be served any more.
    Purge {
        /// The key.
        key: String,
        #[command(flatten)]
        reach: ReachArgs,
    },
    /// How each member stands.
    Status(ReachArgs),
    /// The members.
    Members(ReachArgs),
    /// Add a member: it learns until it has caught up, then it votes.
    Add {
        /// Its number.
        member: u64,
        /// Where it listens.
        address: SocketAddr,
        #[command(flatten)]
        reach: ReachArgs,
    },
    /// Remove a member, for good.
    Remove {
        /// Its number.
        member: u64,
        /// Though too few of the others can be reached.
        #[arg(long)]
        force: bool,
        #[command(flatten)]
        reach: ReachArgs,
    },
    /// Print a document's latest revision.
    Get {
        /// Its name.
        name: String,
        #[command(flatten)]
        reach: ReachArgs,
    },
    /// Write a document from a file; `-` is standard input.
    Set {
        /// Its name.
        name: String,
        /// Its text.
        file: PathBuf,
        /// Only if this is the latest revision; 0 if there must be none.
        #[arg(long, value_name = "REVISION")]
        after: Option<u64>,
        #[command(flatten)]
        reach: ReachArgs,
    },
    /// The revisions of a document that are kept.
    History {
        /// Its name.
        name: String,
        #[command(flatten)]
        reach: ReachArgs,
    },
    /// Write an earlier revision of a document anew.
    Rollback {
        /// Its name.
        name: String,
        /// The revision.
        revision: u64,
        #[command(flatten)]
        reach: ReachArgs,
    },
    /// Write all that is kept to a file, with its checksum.
    Snapshot {
        /// The file; it must not exist.
        file: PathBuf,
        #[command(flatten)]
        reach: ReachArgs,
    },
    /// Put a snapshot's documents, orders and list into a new cluster.
    Restore {
        /// The file.
        file: PathBuf,
        #[command(flatten)]
        reach: ReachArgs,
    },
    /// Read all of a folder's store, which nothing else may be using, and say whether it is whole.
    Verify {
        /// The folder.
        #[arg(long)]
        dir: PathBuf,
    },
}

#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Check a file, commit it, and wait until every member has it in force or say which has not.
    #[command(
        after_help = "Example: stonefold config push shared.toml --at 127.0.0.1:7101 --key-file /etc/stonefold/key"
    )]
    Push {
        /// Parts of a node's TOML file, but for those that are each node's own.
        file: PathBuf,
        /// How long to wait for the members.
        #[arg(long, value_name = "TIME", default_value = "10s", value_parser = humantime::parse_duration)]
        wait: Duration,
        #[command(flatten)]
        reach: ReachArgs,
    },
}
