//! Arguments of `store` and `config`, the commands of the replicated store.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Subcommand;

use super::Format;

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
pub(crate) struct StoreClientArgs {
    /// A member.
    #[arg(long, value_name = "ADDRESS", env = "STONEFOLD_STORE")]
    pub(crate) at: SocketAddr,
    /// The file of the key that all members share.
    #[arg(long, value_name = "FILE", env = "STONEFOLD_STORE_KEY")]
    pub(crate) key_file: PathBuf,
    #[arg(long, value_enum, default_value_t)]
    pub(crate) format: Format,
}

#[derive(Subcommand)]
#[command(after_help = STORE_HELP)]
pub(crate) enum StoreCommand {
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
        store: StoreClientArgs,
    },
    /// How each member stands.
    Status(StoreClientArgs),
    /// The members.
    Members(StoreClientArgs),
    /// Add a member: it learns until it has caught up, then it votes.
    Add {
        /// Its number.
        member: u64,
        /// Where it listens.
        address: SocketAddr,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Remove a member, for good.
    Remove {
        /// Its number.
        member: u64,
        /// Though too few of the others can be reached.
        #[arg(long)]
        force: bool,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Print a document's latest revision.
    Get {
        /// Its name.
        name: String,
        #[command(flatten)]
        store: StoreClientArgs,
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
        store: StoreClientArgs,
    },
    /// The revisions of a document that are kept.
    History {
        /// Its name.
        name: String,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Write an earlier revision of a document anew.
    Rollback {
        /// Its name.
        name: String,
        /// The revision.
        revision: u64,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Write all that is kept to a file, with its checksum.
    Snapshot {
        /// The file; it must not exist.
        file: PathBuf,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Put a snapshot's documents, orders and list into a new cluster.
    Restore {
        /// The file.
        file: PathBuf,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Read all of a folder's store, which nothing else may be using, and say whether it is whole.
    Verify {
        /// The folder.
        #[arg(long)]
        dir: PathBuf,
    },
}

#[derive(Subcommand)]
pub(crate) enum ConfigCommand {
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
        store: StoreClientArgs,
    },
}
