//! Commands on the members of the cluster.

use std::io::{self, Write};
use std::net::SocketAddr;

use serde_json::{Value, json};
use stonefold_store::message::{MemberStatus, Request, Status};

use super::client;
use crate::args::{Format, StoreClientArgs};
use crate::failure::Failure;

/// A member, and its status or the reason why it sent none.
pub(super) struct MemberReport {
    member: u64,
    addr: String,
    status: Result<Status, String>,
}

impl MemberReport {
    /// Describes the member if its node does not use this revision of the configuration yet, or sent no status.
    pub(super) fn behind(&self, revision: u64) -> Option<String> {
        let MemberReport { member, addr, status } = self;
        match status {
            Ok(status) if status.in_use.config >= revision => None,
            Ok(status) => {
                Some(format!("member {member} at {addr}, which has revision {}", status.in_use.config))
            }
            Err(reason) => Some(format!("member {member} at {addr}: {reason}")),
        }
    }

    fn as_text(&self) -> String {
        let MemberReport { member, addr, status } = self;
        match status {
            Ok(status) => format!(
                "member {member} at {addr}: {}, entry {} of {}, list {}, configuration {}, stale for {} ms{}",
                if status.leader == Some(*member) { "leads" } else { "follows" },
                status.applied_index,
                status.last_index,
                status.list_version,
                status.in_use.config,
                status.stale_ms,
                status.stopped.as_ref().map_or(String::new(), |reason| format!(", STOPPED: {reason}")),
            ),
            Err(reason) => format!("member {member} at {addr}: no answer: {reason}"),
        }
    }

    fn as_json(&self) -> Value {
        let MemberReport { member, addr, status } = self;
        match status {
            Ok(status) => json!({
                "member": member,
                "at": addr,
                "cluster": format!("{:032x}", status.cluster),
                "leader": status.leader,
                "term": status.term,
                "last": status.last_index,
                "applied": status.applied_index,
                "snapshot": status.snapshot_index,
                "list": status.list_version,
                "acted_list": status.in_use.list,
                "acted_config": status.in_use.config,
                "stale_ms": status.stale_ms,
                "stopped": status.stopped,
            }),
            Err(reason) => json!({"member": member, "at": addr, "error": reason}),
        }
    }
}

/// Requests the status of every member that the addressed one knows.
pub(super) async fn reports(store: &StoreClientArgs) -> Result<Vec<MemberReport>, Failure> {
    let client = client(store)?;
    let first = client.status(&store.at.to_string()).await.map_err(Failure::failed)?;
    let mut reports = Vec::new();
    for MemberStatus { member, addr, .. } in first.members {
        let status = client.status(&addr).await.map_err(|error| error.to_string());
        reports.push(MemberReport { member, addr, status });
    }
    Ok(reports)
}

/// Prints the status of every member.
pub(super) async fn print_status(store: &StoreClientArgs) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    for report in reports(store).await? {
        match store.format {
            Format::Text => writeln!(out, "{}", report.as_text())?,
            Format::Json => writeln!(out, "{}", report.as_json())?,
        }
    }
    Ok(())
}

/// Prints the members as the addressed one knows them.
pub(super) async fn print_members(store: &StoreClientArgs) -> Result<(), Failure> {
    let status = client(store)?.status(&store.at.to_string()).await.map_err(Failure::failed)?;
    let mut out = io::stdout().lock();
    for MemberStatus { member, addr, is_voter } in status.members {
        match store.format {
            Format::Text => {
                writeln!(out, "{member}  {addr}  {}", if is_voter { "votes" } else { "learns" })?;
            }
            Format::Json => {
                writeln!(out, "{}", json!({"member": member, "at": addr, "votes": is_voter}))?;
            }
        }
    }
    Ok(())
}

/// Adds a member, and waits until it is a voter.
pub(super) async fn add(member: u64, address: SocketAddr, store: &StoreClientArgs) -> Result<(), Failure> {
    let request = Request::AddMember { member, addr: address.to_string() };
    client(store)?.change_members(request).await.map_err(Failure::failed)
}

/// Removes a member; with `force`, even if too few of the others can be reached.
pub(super) async fn remove(member: u64, force: bool, store: &StoreClientArgs) -> Result<(), Failure> {
    let request = Request::RemoveMember { member, force };
    client(store)?.change_members(request).await.map_err(Failure::failed)
}
