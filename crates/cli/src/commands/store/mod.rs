//! `stonefold store` and `stonefold config`: commands of the replicated store.

mod documents;
mod folder;
mod members;
mod push;
mod snapshot;

use std::fs;
use std::io::{self, Write};
use std::path::Path;

use serde_json::json;
use stonefold_store::client::Client;
use stonefold_store::state::{Change, Reply};
use stonefold_store::wire::Keys;

use crate::args::{ConfigCommand, Format, StoreClientArgs, StoreCommand};
use crate::failure::Failure;

/// Stands for any cluster: the member's address and the key file determine the cluster.
const ANY_CLUSTER: u128 = 0;
/// The file name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Runs a `store` command.
pub(crate) fn run(command: StoreCommand) -> Result<(), Failure> {
    match command {
        StoreCommand::Init { dir, member, listen, key_file, join } => {
            folder::init(&dir, member, listen, &key_file, join.as_deref())
        }
        StoreCommand::Verify { dir } => folder::verify(&dir),
        StoreCommand::SubscriberKey { key_file, out } => folder::write_subscriber_keys(&key_file, &out),
        StoreCommand::Purge { key, store } => block_on(purge(key, &store)),
        StoreCommand::Status(store) => block_on(members::print_status(&store)),
        StoreCommand::Members(store) => block_on(members::print_members(&store)),
        StoreCommand::Add { member, address, store } => block_on(members::add(member, address, &store)),
        StoreCommand::Remove { member, force, store } => block_on(members::remove(member, force, &store)),
        StoreCommand::Get { name, store } => block_on(documents::print_latest(&name, &store)),
        StoreCommand::Set { name, file, after, store } => {
            block_on(documents::set(&name, &file, after, &store))
        }
        StoreCommand::History { name, store } => block_on(documents::print_history(&name, &store)),
        StoreCommand::Rollback { name, revision, store } => {
            block_on(documents::roll_back(&name, revision, &store))
        }
        StoreCommand::Snapshot { file, store } => block_on(snapshot::export(&file, &store)),
        StoreCommand::Restore { file, store } => block_on(snapshot::restore(&file, &store)),
    }
}

/// Runs a `config` command, on the configuration that all nodes share.
pub(crate) fn config(command: ConfigCommand) -> Result<(), Failure> {
    let ConfigCommand::Push { file, wait, store } = command;
    block_on(push::push(&file, wait, &store))
}

fn block_on(work: impl Future<Output = Result<(), Failure>>) -> Result<(), Failure> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}

fn client(store: &StoreClientArgs) -> Result<Client, Failure> {
    let keys = Keys::read(&store.key_file).map_err(Failure::unusable)?;
    Ok(Client::new(keys, ANY_CLUSTER, store.at.to_string()))
}

async fn purge(key: String, store: &StoreClientArgs) -> Result<(), Failure> {
    let revision = apply(&mut client(store)?, Change::Purge { key }).await?;
    print_revision(store, revision)
}

/// Makes a change and returns its revision.
async fn apply(client: &mut Client, change: Change) -> Result<u64, Failure> {
    match client.change(change).await.map_err(Failure::failed)? {
        Reply::Applied(revision) => Ok(revision),
        Reply::Rejected(reason) => Err(Failure::failed(reason)),
        Reply::Empty => Ok(0),
    }
}

fn print_revision(store: &StoreClientArgs, revision: u64) -> Result<(), Failure> {
    match store.format {
        Format::Text => writeln!(io::stdout(), "revision {revision}")?,
        Format::Json => writeln!(io::stdout(), "{}", json!({"revision": revision}))?,
    }
    Ok(())
}

fn read_text(file: &Path) -> Result<String, Failure> {
    let text = if file.as_os_str() == STANDARD_INPUT {
        io::read_to_string(io::stdin())
    } else {
        fs::read_to_string(file)
    };
    text.map_err(|error| Failure::unusable(format!("{}: {error}", file.display())))
}
