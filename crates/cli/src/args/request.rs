//! Arguments of the commands that send one request to a node: `get`, `set` and `call`.

use std::net::SocketAddr;
use std::time::Duration;

use super::Format;

/// The arguments that `get` and `set` have in common.
#[derive(clap::Args)]
pub(crate) struct RequestArgs {
    /// The address at which the node serves clients.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:6379", env = "STONEFOLD_ADDRESS")]
    pub(crate) node: SocketAddr,
    /// The class of the request, one of those in the node's configuration; without it, the request states none.
    #[arg(long)]
    pub(crate) class: Option<String>,
    /// The tenant of the request; without it, the request states none.
    #[arg(long)]
    pub(crate) tenant: Option<String>,
    /// The deadline of the request: how long to wait for the reply.
    #[arg(long, value_name = "TIME", default_value = "1s", value_parser = humantime::parse_duration)]
    pub(crate) deadline: Duration,
    /// The format of the results.
    #[arg(long, value_enum, default_value_t)]
    pub(crate) format: Format,
}

#[derive(clap::Args)]
#[command(
    after_help = "Example: stonefold get book:12 --node 127.0.0.1:6379 --class record-lookup --deadline 600ms"
)]
pub(crate) struct GetArgs {
    /// The key.
    pub(crate) key: String,
    #[command(flatten)]
    pub(crate) request: RequestArgs,
}

#[derive(clap::Args)]
#[command(
    after_help = "Example: stonefold set hold:12 reader-7 --class hold-place --idempotency-key 5c0f6e1a --deadline 5s"
)]
pub(crate) struct SetArgs {
    /// The key.
    pub(crate) key: String,
    /// The value; `-` reads the value from standard input.
    pub(crate) value: String,
    /// The idempotency key of the request, by which servers discard repeats.
    #[arg(long, value_name = "KEY")]
    pub(crate) idempotency_key: Option<String>,
    #[command(flatten)]
    pub(crate) request: RequestArgs,
}

const CALL_HELP: &str = "\
Commands: READY, STATS, DISABLE ID, ENABLE ID.

Examples:
  stonefold call 127.0.0.1:9901 READY
  stonefold call 127.0.0.1:9901 STATS --format json
  stonefold call 127.0.0.1:9901 DISABLE s-5be2a07c";

#[derive(clap::Args)]
#[command(after_help = CALL_HELP)]
pub(crate) struct CallArgs {
    /// The address at which the node takes operator commands.
    pub(crate) address: SocketAddr,
    /// The operator command and its argument.
    #[arg(required = true, num_args = 1..)]
    pub(crate) call: Vec<String>,
    /// The format of the results.
    #[arg(long, value_enum, default_value_t)]
    pub(crate) format: Format,
}
