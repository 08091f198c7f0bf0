//! Arguments of `store` and `config`, the commands of the replicated store.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Subcommand;

use super::Format;

const STORE_HELP: &str = "\
The leader makes changes; it is found through any member. Only its owner may have access to the key
file. If the file contains two keys, both are accepted, and the first is used.

Examples:
  stonefold store init --dir /var/lib/stonefold --member 1 --listen 127.0.0.1:7101 --key-file /etc/stonefold/key
  stonefold store init --dir /var/lib/stonefold --member 2 --listen 127.0.0.1:7102 --key-file /etc/stonefold/key --join CLUSTER
  stonefold store add 2 127.0.0.1:7102 --at 127.0.0.1:7101 --key-file /etc/stonefold/key
  stonefold store status --at 127.0.0.1:7101 --key-file /etc/stonefold/key";

/// The arguments of the commands that connect to a member of the store.
#[derive(clap::Args)]
pub(crate) struct StoreClientArgs {
    /// The address of a member.
    #[arg(long, value_name = "ADDRESS", env = "STONEFOLD_STORE")]
    pub(crate) at: SocketAddr,
    /// The file of the key that all members share.
    #[arg(long, value_name = "FILE", env = "STONEFOLD_STORE_KEY")]
    pub(crate) key_file: PathBuf,
    /// The format of the results.
    #[arg(long, value_enum, default_value_t)]
    pub(crate) format: Format,
}

#[derive(Subcommand)]
#[command(after_help = STORE_HELP)]
pub(crate) enum StoreCommand {
    /// Create a member's store in a folder: the first member of a new cluster, or one that is to be added to a cluster.
    Init {
        /// The folder of the store.
        #[arg(long)]
        dir: PathBuf,
        /// The member's number, unique in the cluster; numbers of removed members are never reused.
        #[arg(long, value_parser = clap::value_parser!(u64).range(1..))]
        member: u64,
        /// The loopback address at which others will reach the member.
        #[arg(long, value_name = "ADDRESS")]
        listen: SocketAddr,
        /// The file of the key that all members share; created if it is absent.
        #[arg(long, value_name = "FILE")]
        key_file: PathBuf,
        /// The id of the cluster that the member will be added to, as the cluster's first `init` printed it.
        #[arg(long, value_name = "CLUSTER")]
        join: Option<String>,
    },
    /// Write a key file that allows nodes to follow the store, and nothing else.
    SubscriberKey {
        /// The file of the key that all members share.
        #[arg(long, value_name = "FILE")]
        key_file: PathBuf,
        /// The key file to create.
        out: PathBuf,
    },
    /// Purge a key: tell all nodes that follow the store that its value must not be served any more.
    Purge {
        /// The key to purge.
        key: String,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Print the status of each member.
    Status(StoreClientArgs),
    /// Print the members.
    Members(StoreClientArgs),
    /// Add a member: it has no vote until it has caught up.
    Add {
        /// The member's number.
        member: u64,
        /// The address at which the member listens.
        address: SocketAddr,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Remove a member permanently.
    Remove {
        /// The member's number.
        member: u64,
        /// Remove the member even if too few of the others can be reached.
        #[arg(long)]
        force: bool,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Print a document's latest revision.
    Get {
        /// The document's name.
        name: String,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Write a document from a file; `-` is standard input.
    Set {
        /// The document's name.
        name: String,
        /// The file with the document's text.
        file: PathBuf,
        /// Write only if this is the latest revision; 0 if the document must not exist yet.
        #[arg(long, value_name = "REVISION")]
        after: Option<u64>,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Print the stored revisions of a document.
    History {
        /// The document's name.
        name: String,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Write the text of an earlier revision as a document's new revision.
    Rollback {
        /// The document's name.
        name: String,
        /// The earlier revision.
        revision: u64,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Write the state of the store to a file, with a checksum.
    Snapshot {
        /// The file to create; it must not exist.
        file: PathBuf,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Write a snapshot's documents, overrides and server list into a new cluster.
    Restore {
        /// The file of the snapshot.
        file: PathBuf,
        #[command(flatten)]
        store: StoreClientArgs,
    },
    /// Read the whole store in a folder, and report whether it is intact; no other process may be using it.
    Verify {
        /// The folder of the store.
        #[arg(long)]
        dir: PathBuf,
    },
}

#[derive(Subcommand)]
pub(crate) enum ConfigCommand {
    /// Check a file, commit it, and wait until every member uses it; report the members that do not.
    #[command(
        after_help = "Example: stonefold config push shared.toml --at 127.0.0.1:7101 --key-file /etc/stonefold/key"
    )]
    Push {
        /// A TOML file with sections of a node's configuration, except `node`, `limits`, `log` and `store`, which are each
        /// node's own.
        file: PathBuf,
        /// How long to wait until every member uses the configuration.
        #[arg(long, value_name = "TIME", default_value = "10s", value_parser = humantime::parse_duration)]
        wait: Duration,
        #[command(flatten)]
        store: StoreClientArgs,
    },
}
