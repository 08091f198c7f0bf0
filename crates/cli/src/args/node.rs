//! Arguments of `node` and `check`.

use std::path::PathBuf;

use stonefold_observe::{Format as LogFormat, Levels};

use super::Format;

const NODE_HELP: &str = "\
Without --config the node reads the platform's environment variables: EDGE_CONFIG names a JSON file;
EDGE_LISTEN, EDGE_DISCOVERY and EDGE_OPERATOR override the addresses in it. SIGHUP reloads a changed
file, which takes effect as a whole or not at all. SIGTERM ends the node after it has answered all
requests that it accepted.

Examples:
  stonefold node --config deploy/node.toml
  stonefold node --config deploy/node.toml --set node.listen=127.0.0.1:7000 --log info,stonefold_node=debug
  EDGE_CONFIG=config.json EDGE_LISTEN=127.0.0.1:6379 EDGE_DISCOVERY=127.0.0.1:8500 stonefold node";

#[derive(clap::Args)]
#[command(after_help = NODE_HELP)]
pub(crate) struct NodeArgs {
    /// The configuration, a TOML file; see deploy/node.toml.
    #[arg(long, value_name = "FILE")]
    pub(crate) config: Option<PathBuf>,
    /// A value that overrides the file's and the environment's; may be given more than once.
    #[arg(long, value_name = "KEY=VALUE", requires = "config")]
    pub(crate) set: Vec<String>,
    /// The lowest level that is logged, by target: `info`, `warn,stonefold_node=debug`.
    #[arg(long, value_name = "LEVELS", env = "STONEFOLD_LOG")]
    pub(crate) log: Option<Levels>,
    /// The format of the log lines: text or json.
    #[arg(long, value_name = "FORM", env = "STONEFOLD_LOG_FORMAT")]
    pub(crate) log_format: Option<LogFormat>,
}

const CHECK_HELP: &str = "\
A file that ends in .json is read as the platform's configuration, any other as TOML.

Examples:
  stonefold check deploy/node.toml
  stonefold check deploy/node.toml --explain
  stonefold check --schema > deploy/node.schema.json";

#[derive(clap::Args)]
#[command(after_help = CHECK_HELP)]
pub(crate) struct CheckArgs {
    /// The configuration file.
    #[arg(required_unless_present = "schema")]
    pub(crate) file: Option<PathBuf>,
    /// Print every value that would take effect, and where it came from.
    #[arg(long)]
    pub(crate) explain: bool,
    /// Print the JSON Schema of the TOML file instead.
    #[arg(long, conflicts_with_all = ["file", "explain"])]
    pub(crate) schema: bool,
    /// A value that overrides the file's and the environment's; may be given more than once.
    #[arg(long, value_name = "KEY=VALUE")]
    pub(crate) set: Vec<String>,
    /// The format of the results.
    #[arg(long, value_enum, default_value_t)]
    pub(crate) format: Format,
}
