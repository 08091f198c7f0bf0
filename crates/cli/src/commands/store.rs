use std::fs::{self, OpenOptions};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use stonefold_config::{Config as Tree, Layers, SharedDocument, load};
use stonefold_store::client::Client;
use stonefold_store::disk::{Disk, Identity};
use stonefold_store::message::{MemberStatus, Request, Status};
use stonefold_store::replica::bootstrap;
use stonefold_store::snapshot::open_snapshot;
use stonefold_store::state::{Change, Reply, Revision};
use stonefold_store::wire::{Keys, MAX_MESSAGE_BYTES};
use tokio::time::{Instant, sleep};

use crate::args::{ConfigCommand, Format, ReachArgs, StoreCommand};
use crate::failure::Failure;
use crate::shared::CONFIG;

const PAUSE: Duration = Duration::from_millis(100);

/// Makes, asks or changes a store.
pub fn run(command: StoreCommand) -> Result<(), Failure> {
    match command {
        StoreCommand::Init { dir, member, listen, key_file, join } => {
            init(&dir, member, listen, &key_file, join)
        }
        StoreCommand::Verify { dir } => verify(&dir),
        StoreCommand::SubscriberKey { key_file, out } => {
            let keys = Keys::read(&key_file).map_err(Failure::unusable)?;
            keys.write_subscriber_keys(&out).map_err(Failure::failed)
        }
        command => blocking(remote(command)),
    }
}

/// Changes the configuration that all nodes share.
pub fn config(command: ConfigCommand) -> Result<(), Failure> {
    let ConfigCommand::Push { file, wait, reach } = command;
    blocking(push(&file, wait, &reach))
}

fn blocking(work: impl Future<Output = Result<(), Failure>>) -> Result<(), Failure> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}

fn client(reach: &ReachArgs) -> Result<Client, Failure> {
    let keys = Keys::read(&reach.key_file).map_err(Failure::unusable)?;
    Ok(Client::new(keys, 0, reach.at.to_string()))
}

fn init(
    dir: &Path,
    member: u64,
    listen: SocketAddr,
    key_file: &Path,
    join: Option<String>,
) -> Result<(), Failure> {
    if !listen.ip().is_loopback() {
        return Err(Failure::unusable(format!(
            "{listen} is no loopback address: the store listens on those alone"
        )));
    }
    let cluster = match &join {
        Some(cluster) => u128::from_str_radix(cluster, 16)
            .map_err(|_| Failure::unusable(format!("{cluster:?} is no cluster: expected 32 hex digits")))?,
        None => fastrand::u128(1..),
    };
    if !key_file.exists() {
        Keys::generate(key_file).map_err(Failure::failed)?;
    }
    Keys::read(key_file).map_err(Failure::unusable)?;
    let disk = Disk::create(dir, Identity { cluster, member }).map_err(Failure::failed)?;
    if join.is_none() {
        blocking(async { bootstrap(disk, listen.to_string()).await.map_err(Failure::failed) })?;
    }
    writeln!(io::stdout(), "{cluster:032x}")?;
    Ok(())
}

fn verify(dir: &Path) -> Result<(), Failure> {
    let found = Disk::open(dir).and_then(|disk| disk.verify()).map_err(Failure::failed)?;
    writeln!(io::stdout(), "{found}")?;
    Ok(())
}

async fn remote(command: StoreCommand) -> Result<(), Failure> {
    match command {
        // Done without a member.
        StoreCommand::Init { .. } | StoreCommand::Verify { .. } | StoreCommand::SubscriberKey { .. } => {
            Ok(())
        }
        StoreCommand::Purge { key, reach } => {
            let index = made(&mut client(&reach)?, Change::Purge { key }).await?;
            told(&reach, index)
        }
        StoreCommand::Status(reach) => status(&reach).await,
        StoreCommand::Members(reach) => members(&reach).await,
        StoreCommand::Add { member, address, reach } => {
            let add = Request::AddMember { member, addr: address.to_string() };
            client(&reach)?.change_members(add).await.map_err(Failure::failed)
        }
        StoreCommand::Remove { member, force, reach } => client(&reach)?
            .change_members(Request::RemoveMember { member, force })
            .await
            .map_err(Failure::failed),
        StoreCommand::Get { name, reach } => {
            let latest = latest(&mut client(&reach)?, &name).await?;
            match reach.format {
                Format::Text => io::stdout().write_all(latest.text.as_bytes())?,
                Format::Json => writeln!(io::stdout(), "{}", json!(latest))?,
            }
            Ok(())
        }
        StoreCommand::Set { name, file, after, reach } => {
            let revision = write(&mut client(&reach)?, &name, read(&file)?, after).await?;
            told(&reach, revision)
        }
        StoreCommand::History { name, reach } => history(&name, &reach).await,
        StoreCommand::Rollback { name, revision, reach } => rollback(&name, revision, &reach).await,
        StoreCommand::Snapshot { file, reach } => snapshot(&file, &reach).await,
        StoreCommand::Restore { file, reach } => restore(&file, &reach).await,
    }
}

fn told(reach: &ReachArgs, revision: u64) -> Result<(), Failure> {
    match reach.format {
        Format::Text => writeln!(io::stdout(), "revision {revision}")?,
        Format::Json => writeln!(io::stdout(), "{}", json!({"revision": revision}))?,
    }
    Ok(())
}

fn read(file: &Path) -> Result<String, Failure> {
    let failed = |error: io::Error| Failure::unusable(format!("{}: {error}", file.display()));
    match file.as_os_str() == "-" {
        true => io::read_to_string(io::stdin()).map_err(failed),
        false => fs::read_to_string(file).map_err(failed),
    }
}

fn author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".into())
}

async fn write(client: &mut Client, name: &str, text: String, after: Option<u64>) -> Result<u64, Failure> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let at_ms = now.as_millis() as u64;
    let change = Change::Document { name: name.into(), text, author: author(), at_ms, after };
    made(client, change).await
}

async fn made(client: &mut Client, change: Change) -> Result<u64, Failure> {
    match client.change(change).await.map_err(Failure::failed)? {
        Reply::Applied(revision) => Ok(revision),
        Reply::Rejected(why) => Err(Failure::failed(why)),
        Reply::Empty => Ok(0),
    }
}

async fn latest(client: &mut Client, name: &str) -> Result<Revision, Failure> {
    let revisions = client.document(name, false).await.map_err(Failure::failed)?;
    revisions.into_iter().next_back().ok_or_else(|| Failure::failed(format!("no document {name:?}")))
}

async fn history(name: &str, reach: &ReachArgs) -> Result<(), Failure> {
    let revisions = client(reach)?.document(name, true).await.map_err(Failure::failed)?;
    let mut out = io::stdout().lock();
    for Revision { revision, text, author, at_ms } in revisions {
        let bytes = text.len();
        match reach.format {
            Format::Text => writeln!(out, "{revision}  {at_ms} ms  {author}  {bytes} bytes")?,
            Format::Json => writeln!(
                out,
                "{}",
                json!({"revision": revision, "at_ms": at_ms, "author": author, "text": text})
            )?,
        }
    }
    Ok(())
}

async fn rollback(name: &str, revision: u64, reach: &ReachArgs) -> Result<(), Failure> {
    let mut client = client(reach)?;
    let revisions = client.document(name, true).await.map_err(Failure::failed)?;
    let after = revisions.last().map(|latest| latest.revision);
    let Some(old) = revisions.into_iter().find(|old| old.revision == revision) else {
        return Err(Failure::failed(format!("{name:?} has no revision {revision}: see `store history`")));
    };
    // Only over what was just read: a change in between is not undone unseen.
    told(reach, write(&mut client, name, old.text, after).await?)
}

/// Every member that the first one knows, and what it says.
async fn all(reach: &ReachArgs) -> Result<Vec<(u64, String, Result<Status, String>)>, Failure> {
    let client = client(reach)?;
    let first = client.status(&reach.at.to_string()).await.map_err(Failure::failed)?;
    let mut all = Vec::new();
    for MemberStatus { member, addr, .. } in first.members {
        let status = client.status(&addr).await.map_err(|error| error.to_string());
        all.push((member, addr, status));
    }
    Ok(all)
}

async fn status(reach: &ReachArgs) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    for (member, addr, status) in all(reach).await? {
        match (&status, reach.format) {
            (Ok(status), Format::Text) => writeln!(
                out,
                "member {member} at {addr}: {}, entry {} of {}, list {}, configuration {}, stale for {} ms{}",
                if status.leader == Some(member) { "leads" } else { "follows" },
                status.applied_index,
                status.last_index,
                status.list_version,
                status.in_use.config,
                status.stale_ms,
                status.stopped.as_ref().map_or(String::new(), |why| format!(", STOPPED: {why}")),
            )?,
            (Err(why), Format::Text) => writeln!(out, "member {member} at {addr}: no answer: {why}")?,
            (status, Format::Json) => writeln!(out, "{}", status_json(member, &addr, status))?,
        }
    }
    Ok(())
}

fn status_json(member: u64, addr: &str, status: &Result<Status, String>) -> Value {
    match status {
        Ok(status) => json!({"member": member, "at": addr, "cluster": format!("{:032x}", status.cluster),
            "leader": status.leader, "term": status.term, "last": status.last_index, "applied": status.applied_index,
            "snapshot": status.snapshot_index, "list": status.list_version, "acted_list": status.in_use.list,
            "acted_config": status.in_use.config, "stale_ms": status.stale_ms, "stopped": status.stopped}),
        Err(why) => json!({"member": member, "at": addr, "error": why}),
    }
}

async fn members(reach: &ReachArgs) -> Result<(), Failure> {
    let status = client(reach)?.status(&reach.at.to_string()).await.map_err(Failure::failed)?;
    let mut out = io::stdout().lock();
    for MemberStatus { member, addr, is_voter } in status.members {
        match reach.format {
            Format::Text => writeln!(out, "{member}  {addr}  {}", if is_voter { "votes" } else { "learns" })?,
            Format::Json => writeln!(out, "{}", json!({"member": member, "at": addr, "votes": is_voter}))?,
        }
    }
    Ok(())
}

async fn snapshot(file: &Path, reach: &ReachArgs) -> Result<(), Failure> {
    let sealed = client(reach)?.export_snapshot().await.map_err(Failure::failed)?;
    let failed = |error: io::Error| Failure::failed(format!("{}: {error}", file.display()));
    let mut out = OpenOptions::new().write(true).create_new(true).open(file).map_err(failed)?;
    out.write_all(&sealed).and_then(|()| out.sync_all()).map_err(failed)
}

async fn restore(file: &Path, reach: &ReachArgs) -> Result<(), Failure> {
    let failed = |error: io::Error| Failure::unusable(format!("{}: {error}", file.display()));
    let mut sealed = Vec::new();
    fs::File::open(file)
        .map_err(failed)?
        .take(MAX_MESSAGE_BYTES as u64)
        .read_to_end(&mut sealed)
        .map_err(failed)?;
    let kept = open_snapshot(&sealed).map_err(Failure::unusable)?;
    let change = Change::Restore { state: Box::new(kept.state) };
    made(&mut client(reach)?, change).await.map(drop)
}

/// Checked as a node would take it, over an otherwise whole file; committed; waited for.
async fn push(file: &Path, wait: Duration, reach: &ReachArgs) -> Result<(), Failure> {
    let text = read(file)?;
    let shared = Some(SharedDocument { name: file.display().to_string(), text: text.clone() });
    let flags = ["node.listen=127.0.0.1:1", "node.discovery=127.0.0.1:1"].map(String::from).to_vec();
    load::<Tree>(&Layers { shared, flags, ..Layers::default() }).map_err(Failure::unusable)?;
    let mut client = client(reach)?;
    // Of two pushes at once the second is told so, and not made unseen over the first.
    let latest = client.document(CONFIG, false).await.map_err(Failure::failed)?;
    let after = latest.last().map_or(0, |latest| latest.revision);
    let revision = write(&mut client, CONFIG, text, Some(after)).await?;
    told(reach, revision)?;
    let until = Instant::now() + wait;
    loop {
        let all = all(reach).await?;
        let behind: Vec<String> = all.iter().filter_map(|one| behind(one, revision)).collect();
        if behind.is_empty() {
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(Failure::failed(format!("committed, but not in force at {}", behind.join("; "))));
        }
        sleep(PAUSE).await;
    }
}

fn behind((member, addr, status): &(u64, String, Result<Status, String>), revision: u64) -> Option<String> {
    match status {
        Ok(status) if status.in_use.config >= revision => None,
        Ok(status) => Some(format!("member {member} at {addr}, which has revision {}", status.in_use.config)),
        Err(why) => Some(format!("member {member} at {addr}: {why}")),
    }
}
