//! Arguments of the small clients: `get`, `set` and `call`.

use std::net::SocketAddr;
use std::time::Duration;

use super::Format;

/// What get and set have in common.
#[derive(clap::Args)]
pub(crate) struct RequestArgs {
    /// The node.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:6379", env = "STONEFOLD_ADDRESS")]
    pub(crate) node: SocketAddr,
    /// The class, one of the node's settings; none is a plain request.
    #[arg(long)]
    pub(crate) class: Option<String>,
    /// The tenant.
    #[arg(long)]
    pub(crate) tenant: Option<String>,
    /// How long to wait for the answer.
    #[arg(long, value_name = "TIME", default_value = "1s", value_parser = humantime::parse_duration)]
    pub(crate) deadline: Duration,
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
    /// The value; `-` reads it from standard input.
    pub(crate) value: String,
    /// The key under which servers discard repeats.
    #[arg(long, value_name = "KEY")]
    pub(crate) idempotency_key: Option<String>,
    #[command(flatten)]
    pub(crate) request: RequestArgs,
}

const CALL_HELP: &str = "\
Calls: READY, STATS, DISABLE ID, ENABLE ID.

Examples:
  stonefold call 127.0.0.1:9901 READY
  stonefold call 127.0.0.1:9901 STATS --format json
  stonefold call 127.0.0.1:9901 DISABLE s-5be2a07c";

#[derive(clap::Args)]
#[command(after_help = CALL_HELP)]
pub(crate) struct CallArgs {
    /// Where operators call the node.
    pub(crate) address: SocketAddr,
    /// The call.
    #[arg(required = true, num_args = 1..)]
    pub(crate) call: Vec<String>,
    #[arg(long, value_enum, default_value_t)]
    pub(crate) format: Format,
}
