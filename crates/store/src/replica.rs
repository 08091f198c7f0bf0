//! A replica: the engine on its disk, and what members and clients may ask of it.
#![allow(clippy::result_large_err)] // the engine's own error types

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::{BoxFuture, join_all};
use openraft::error::{
    CheckIsLeaderError, ClientWriteError, InstallSnapshotError, NetworkError, PayloadTooLarge, RPCError,
    RaftError, RemoteError, Unreachable,
};
use openraft::network::{Backoff, RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{BasicNode, ChangeMembers, Config, SnapshotPolicy};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::info;

use crate::codec;
use crate::disk::{Disk, DiskError, Identity};
use crate::engine::{MemberId, Raft, Types};
use crate::freshness::Freshness;
use crate::machine::{Machine, SNAPSHOT, Shared};
use crate::members::{self, Member, Members};
use crate::message::{Party, Request, Response, Status, Unavailable};
use crate::state::{Proposal, Reply};

/// Heartbeats of a leader, and how long others wait for one before they campaign, in ms.
const HEARTBEAT: u64 = 120;
const ELECTION: (u64, u64) = (250, 500);
/// Parts of a snapshot, in bytes.
const PART: u64 = 256 << 10;
/// Entries in one message, and their bytes together, but for one that is longer. The engine gives up an answer that
/// takes longer than a heartbeat, and sends the same again: what can't be sent and synced in that time never gets there.
const BATCH: u64 = 24;
const FIT: usize = 1 << 20;
/// Changes that wait for a quorum at a time.
const CHANGES: usize = 64;
/// Entries that wait for a quorum: without one, nothing more is written to the log.
const WAITING: u64 = 256;
/// A change, a question to a quorum, a new member's catching up.
const IN_TIME: Duration = Duration::from_secs(3);
const CATCH_UP: Duration = Duration::from_secs(30);
/// Who has not answered after so long is out of reach.
const REACH: Duration = Duration::from_millis(1_500);
const PAUSE: Duration = Duration::from_millis(50);

/// Carries questions to other members.
pub trait Transport: Clone + Send + Sync + 'static {
    /// Asks a member at an address, and waits for its answer for so long.
    fn ask(
        &self,
        member: MemberId,
        addr: &str,
        request: Request,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Response, Unavailable>>;
}

/// How a replica is started.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where it listens, as the others know it.
    pub addr: String,
    /// Its start waits for the others up to this.
    pub bound: Duration,
    /// A snapshot is made after so many entries ...
    pub snapshot_after: u64,
    /// ... and so many are kept behind it, for replicas that lag a little.
    pub kept: u64,
}

impl Options {
    /// The usual ones, for a replica at this address.
    pub fn at(addr: impl Into<String>) -> Options {
        Options { addr: addr.into(), bound: Duration::from_secs(2), snapshot_after: 512, kept: 64 }
    }
}

/// A running replica; its clones are the same one.
#[derive(Clone)]
pub struct Replica<T> {
    raft: Raft,
    identity: Identity,
    addr: String,
    shared: Shared,
    applied: watch::Receiver<u64>,
    changes: Arc<Semaphore>,
    freshness: Arc<Mutex<Freshness>>,
    start: Instant,
    transport: T,
}

impl<T: Transport> Replica<T> {
    /// Starts the replica of a disk.
    ///
    /// # Errors
    /// If what is on the disk can't be read, or is another version's.
    pub async fn start(disk: Disk, options: Options, transport: T) -> Result<Replica<T>, StartError> {
        let Options { addr, bound, snapshot_after, kept } = options;
        let identity = disk.identity();
        let (sender, applied) = watch::channel(0);
        let machine = Machine::new(disk.clone(), sender)?;
        let shared = machine.shared();
        let config = Config {
            cluster_name: format!("{:032x}", identity.cluster),
            heartbeat_interval: HEARTBEAT,
            election_timeout_min: ELECTION.0,
            election_timeout_max: ELECTION.1,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(snapshot_after),
            max_in_snapshot_log_to_keep: kept,
            replication_lag_threshold: snapshot_after,
            snapshot_max_chunk_size: PART,
            max_payload_entries: BATCH,
            ..Config::default()
        };
        let config = config.validate().map_err(|error| StartError::Engine(error.to_string()))?;
        let network = Network { transport: transport.clone() };
        let raft = Raft::new(identity.member, Arc::new(config), network, disk, machine)
            .await
            .map_err(|error| StartError::Engine(error.to_string()))?;
        let list = shared.read().state.list().map_or(0, |list| list.version);
        let freshness = Freshness::new(0, bound.as_millis() as u64, list);
        Ok(Replica {
            raft,
            identity,
            addr,
            shared,
            applied,
            changes: Arc::new(Semaphore::new(CHANGES)),
            freshness: Arc::new(Mutex::new(freshness)),
            start: Instant::now(),
            transport,
        })
    }

    /// Makes this member the first and only one of its cluster: once.
    ///
    /// # Errors
    /// If the cluster has members already.
    pub async fn bootstrap(&self) -> Result<(), Unavailable> {
        let me = BTreeMap::from([(self.identity.member, BasicNode::new(&self.addr))]);
        self.raft.initialize(me).await.map_err(|error| Unavailable::Members(error.to_string()))
    }

    /// Whose replica this is.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// The state as it is applied here.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// The index of the last entry applied here, as it grows.
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.applied.clone()
    }

    /// What this node knows of how fresh it is, with the time in ms since its start.
    pub fn freshness<R>(&self, work: impl FnOnce(&mut Freshness, u64) -> R) -> R {
        let now = self.start.elapsed().as_millis() as u64;
        let mut freshness = self.freshness.lock().unwrap_or_else(PoisonError::into_inner);
        let applied = self.shared.read();
        freshness.list_committed(applied.state.list().map_or(0, |list| list.version));
        freshness.applied(applied.last.map_or(0, |last| last.index));
        drop(applied);
        work(&mut freshness, now)
    }

    /// Asks whoever leads up to where all is committed, until it is applied here or `until`.
    ///
    /// # Errors
    /// If nobody could tell in time.
    pub async fn confirm(&self, until: Instant) -> Result<(), Unavailable> {
        let mut last = Unavailable::NoQuorum;
        let mut applied = self.applied.clone();
        while Instant::now() < until {
            let asked = self.freshness(|_, now| now);
            match self.at_leader(Request::Confirm, until).await {
                Ok(Response::Confirmed(Ok(index))) => {
                    self.freshness(|freshness, _| freshness.answered(asked, index));
                    let there = timeout_at(until, applied.wait_for(|&applied| applied >= index)).await;
                    if there.is_ok_and(|there| there.is_ok()) {
                        return self.freshness(|_, _| Ok(()));
                    }
                }
                Ok(Response::Confirmed(Err(error))) | Err(error) => last = error,
                Ok(_) => return Err(Unavailable::Unreachable("an answer to another question".into())),
            }
            sleep(PAUSE).await;
        }
        Err(last)
    }

    /// Proposes a change to whoever leads, again under the same number until there is an answer or `until`.
    ///
    /// # Errors
    /// If there was no answer in time: the change may or may not be made.
    pub async fn propose(&self, proposal: Proposal, until: Instant) -> Result<Reply, Unavailable> {
        let mut last = Unavailable::NoQuorum;
        while Instant::now() < until {
            match self.at_leader(Request::Propose(proposal.clone()), until).await {
                Ok(Response::Proposed(Ok(reply))) => return Ok(reply),
                Ok(Response::Proposed(Err(error))) | Err(error) => last = error,
                Ok(_) => return Err(Unavailable::Unreachable("an answer to another question".into())),
            }
            if let Unavailable::Stopped(_) = last {
                break;
            }
            sleep(PAUSE).await;
        }
        Err(last)
    }

    async fn at_leader(&self, request: Request, until: Instant) -> Result<Response, Unavailable> {
        let wait = until.saturating_duration_since(Instant::now()).min(IN_TIME);
        let leader = self.raft.metrics().borrow().current_leader;
        match leader {
            Some(leader) if leader != self.identity.member => {
                let addr = self.members().get(&leader).map(|member| member.addr.clone());
                let addr = addr.ok_or(Unavailable::NotLeader { leader: None })?;
                self.transport.ask(leader, &addr, request, wait).await
            }
            Some(_) => Ok(self.answer(Party::Member(self.identity.member), request).await),
            None => Err(Unavailable::NoQuorum),
        }
    }

    /// The members as this replica knows them.
    pub fn members(&self) -> Members {
        let metrics = self.raft.metrics().borrow().membership_config.clone();
        let voters: Vec<MemberId> = metrics.voter_ids().collect();
        let member = |(&id, node): (&MemberId, &BasicNode)| {
            (id, Member { addr: node.addr.clone(), votes: voters.contains(&id) })
        };
        metrics.nodes().map(member).collect()
    }

    /// Answers one question of somebody who was heard.
    pub async fn answer(&self, party: Party, request: Request) -> Response {
        let among_members = matches!(request, Request::Append(_) | Request::Vote(_) | Request::Snapshot(_));
        if among_members && !matches!(party, Party::Member(_)) {
            return Response::Changed(Err(Unavailable::Refused("only members say that".into())));
        }
        if party == Party::Subscriber {
            return Response::Changed(Err(Unavailable::Refused("a subscriber follows, and no more".into())));
        }
        match request {
            Request::Append(request) => Response::Append(self.raft.append_entries(request).await),
            Request::Vote(request) => Response::Vote(self.raft.vote(request).await),
            Request::Snapshot(request) => self.take_part(request).await,
            Request::Propose(proposal) => Response::Proposed(self.write(proposal).await),
            Request::Confirm => Response::Confirmed(self.read_index().await),
            Request::Status => Response::Status(Box::new(self.status())),
            Request::Add { member, addr } => Response::Changed(self.add(member, addr).await),
            Request::Remove { member, force } => Response::Changed(self.remove(member, force).await),
            Request::Document { name, history } => Response::Document(self.document(&name, history)),
            Request::Export => Response::Snapshotted(self.export()),
        }
    }

    async fn take_part(&self, request: InstallSnapshotRequest<Types>) -> Response {
        if request.offset + request.data.len() as u64 > SNAPSHOT as u64 {
            return Response::Changed(Err(Unavailable::Refused(format!("a snapshot over {SNAPSHOT} bytes"))));
        }
        Response::Snapshot(self.raft.install_snapshot(request).await)
    }

    async fn write(&self, proposal: Proposal) -> Result<Reply, Unavailable> {
        let _one = self.changes.try_acquire().map_err(|_| Unavailable::Busy)?;
        // Guards against: a leader that has lost its quorum, whose log grows with every change that is tried again.
        let (last, applied) = {
            let metrics = self.raft.metrics();
            let metrics = metrics.borrow();
            (metrics.last_log_index.unwrap_or(0), metrics.last_applied.map_or(0, |applied| applied.index))
        };
        if last.saturating_sub(applied) >= WAITING {
            return Err(Unavailable::NoQuorum);
        }
        match timeout(IN_TIME, self.raft.client_write(proposal)).await {
            Ok(Ok(done)) => Ok(done.data),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(to)))) => {
                Err(not_leader(to.leader_id, to.leader_node))
            }
            Ok(Err(error)) => Err(Unavailable::Stopped(error.to_string())),
            Err(_) => Err(Unavailable::NoQuorum),
        }
    }

    async fn read_index(&self) -> Result<u64, Unavailable> {
        match timeout(IN_TIME, self.raft.get_read_log_id()).await {
            Ok(Ok((read, _))) => Ok(read.map_or(0, |read| read.index)),
            Ok(Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(to)))) => {
                Err(not_leader(to.leader_id, to.leader_node))
            }
            Ok(Err(RaftError::APIError(CheckIsLeaderError::QuorumNotEnough(_)))) | Err(_) => {
                Err(Unavailable::NoQuorum)
            }
            Ok(Err(RaftError::Fatal(error))) => Err(Unavailable::Stopped(error.to_string())),
        }
    }

    /// How this replica stands.
    pub fn status(&self) -> Status {
        let metrics = self.raft.metrics().borrow().clone();
        let (stale_ms, acted) =
            self.freshness(|freshness, now| (freshness.stale_for(now), freshness.acted()));
        let applied = self.shared.read();
        Status {
            cluster: self.identity.cluster,
            member: self.identity.member,
            leader: metrics.current_leader,
            term: metrics.current_term,
            last: metrics.last_log_index.unwrap_or(0),
            applied: applied.last.map_or(0, |last| last.index),
            snapshot: metrics.snapshot.map_or(0, |last| last.index),
            list: applied.state.list().map_or(0, |list| list.version),
            acted,
            stale_ms,
            members: self.members().into_iter().map(|(id, member)| (id, member.addr, member.votes)).collect(),
            stopped: metrics.running_state.err().map(|error| error.to_string()),
        }
    }

    fn document(&self, name: &str, history: bool) -> Vec<crate::state::Revision> {
        let applied = self.shared.read();
        match history {
            true => applied.state.history(name).cloned().collect(),
            false => applied.state.document(name).cloned().into_iter().collect(),
        }
    }

    fn export(&self) -> Result<Vec<u8>, Unavailable> {
        crate::codec::seal("a snapshot", &*self.shared.read())
            .map_err(|error| Unavailable::Stopped(error.to_string()))
    }

    /// Adds a member: it learns until it has caught up, then it votes.
    async fn add(&self, member: MemberId, addr: String) -> Result<(), Unavailable> {
        self.read_index().await?; // only whoever leads knows the members
        let refused = |error: members::MembersError| Unavailable::Members(error.to_string());
        members::may_add(member, &addr, &self.members(), self.shared.read().state.removed())
            .map_err(refused)?;
        let changed = self.raft.add_learner(member, BasicNode::new(&addr), false).await;
        let at = changed.map_err(change_failed)?.log_id.index;
        info!(event = "member_added", member, addr, "a member learns, and votes once it has caught up");
        self.caught_up(member, at).await?;
        let voter = ChangeMembers::AddVoterIds([member].into());
        self.raft.change_membership(voter, true).await.map_err(change_failed)?;
        info!(event = "member_votes", member, "a member votes");
        Ok(())
    }

    async fn caught_up(&self, member: MemberId, index: u64) -> Result<(), Unavailable> {
        let mut metrics = self.raft.metrics();
        let there = metrics.wait_for(|metrics| {
            let matched = metrics.replication.as_ref().and_then(|all| *all.get(&member)?);
            metrics.replication.is_none() || matched.is_some_and(|matched| matched.index >= index)
        });
        match timeout(CATCH_UP, there).await {
            Ok(Ok(metrics)) if metrics.replication.is_some() => Ok(()),
            Ok(_) => Err(Unavailable::NotLeader { leader: None }),
            Err(_) => Err(Unavailable::Members(format!(
                "member {member} has not caught up within {} s: it learns on; add it again once it can be reached",
                CATCH_UP.as_secs()
            ))),
        }
    }

    /// The members that answer now, this one among them.
    async fn within_reach(&self) -> Vec<MemberId> {
        let me = self.identity.member;
        let others = self.members().into_iter().filter(|(id, _)| *id != me);
        let asked = others.map(|(id, member)| async move {
            let answer = self.transport.ask(id, &member.addr, Request::Status, REACH).await;
            matches!(answer, Ok(Response::Status(_))).then_some(id)
        });
        join_all(asked).await.into_iter().flatten().chain([me]).collect()
    }

    async fn remove(&self, member: MemberId, force: bool) -> Result<(), Unavailable> {
        self.read_index().await?;
        let near = self.within_reach().await;
        members::may_remove(member, &self.members(), |id| near.contains(&id), force)
            .map_err(|error| Unavailable::Members(error.to_string()))?;
        let votes = self.members().get(&member).is_some_and(|member| member.votes);
        let change = match votes {
            true => ChangeMembers::RemoveVoters([member].into()),
            false => ChangeMembers::RemoveNodes([member].into()),
        };
        self.raft.change_membership(change, false).await.map_err(change_failed)?;
        info!(event = "member_removed", member, "a member is none any more");
        Ok(())
    }

    /// Ends the engine; what was answered for is on the disk.
    pub async fn stop(&self) {
        let _ = self.raft.shutdown().await; // an engine that has ended is what was wanted
    }
}

/// Makes a disk's member the first and only one of its cluster, to be reached at this address.
///
/// # Errors
/// If its disk can't be used, or the cluster has members already.
pub async fn bootstrap(disk: Disk, addr: String) -> Result<(), StartError> {
    let replica = Replica::start(disk, Options::at(addr), Nobody).await?;
    let done = replica.bootstrap().await;
    replica.stop().await;
    done.map_err(|error| StartError::Engine(error.to_string()))
}

/// Reaches nobody.
#[derive(Clone)]
struct Nobody;

impl Transport for Nobody {
    fn ask(
        &self,
        _: MemberId,
        _: &str,
        _: Request,
        _: Duration,
    ) -> BoxFuture<'static, Result<Response, Unavailable>> {
        Box::pin(async { Err(Unavailable::Unreachable("there is nobody else".into())) })
    }
}

/// Why a replica can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its disk.
    #[error("{0}")]
    Disk(#[from] DiskError),
    /// The engine, which tells what it could not read.
    #[error("the store can't start: {0}")]
    Engine(String),
}

fn not_leader(id: Option<MemberId>, node: Option<BasicNode>) -> Unavailable {
    Unavailable::NotLeader { leader: id.zip(node.map(|node| node.addr)) }
}

fn change_failed(error: RaftError<MemberId, ClientWriteError<MemberId, BasicNode>>) -> Unavailable {
    match error {
        RaftError::APIError(ClientWriteError::ForwardToLeader(to)) => {
            not_leader(to.leader_id, to.leader_node)
        }
        RaftError::APIError(ClientWriteError::ChangeMembershipError(error)) => {
            Unavailable::Members(error.to_string())
        }
        RaftError::Fatal(error) => Unavailable::Stopped(error.to_string()),
    }
}

/// Gives the engine its ways to other members.
struct Network<T> {
    transport: T,
}

/// The way to one member.
struct Way<T> {
    transport: T,
    member: MemberId,
    addr: String,
}

impl<T: Transport> RaftNetworkFactory<Types> for Network<T> {
    type Network = Way<T>;

    async fn new_client(&mut self, member: MemberId, node: &BasicNode) -> Way<T> {
        Way { transport: self.transport.clone(), member, addr: node.addr.clone() }
    }
}

type Failure<E = RaftError<MemberId>> = RPCError<MemberId, BasicNode, E>;

impl<T: Transport> Way<T> {
    async fn ask<E: std::error::Error>(
        &self,
        request: Request,
        option: RPCOption,
    ) -> Result<Response, Failure<E>> {
        let answer = self.transport.ask(self.member, &self.addr, request, option.hard_ttl()).await;
        answer.map_err(|error| RPCError::Unreachable(Unreachable::new(&error)))
    }

    fn settle<R, E: std::error::Error>(&self, answer: Result<R, E>) -> Result<R, Failure<E>> {
        answer.map_err(|error| RPCError::RemoteError(RemoteError::new(self.member, error)))
    }
}

fn unasked<E: std::error::Error>(answer: &Response) -> Failure<E> {
    let why = match answer {
        Response::Changed(Err(why)) => why.clone(),
        _ => Unavailable::Unreachable("an answer to another question".into()),
    };
    RPCError::Network(NetworkError::new(&why))
}

/// How many entries fit into a message, where not all do; at least one, which always fits.
fn too_many(request: &AppendEntriesRequest<Types>) -> Option<u64> {
    let size = |entry| codec::encode("a log entry", entry).map_or(0, |bytes| bytes.len());
    let sums = request.entries.iter().scan(0, |sum, entry| {
        *sum += size(entry);
        Some(*sum)
    });
    let fit = sums.take_while(|&sum| sum <= FIT).count();
    (fit < request.entries.len() && request.entries.len() > 1).then(|| fit.max(1) as u64)
}

impl<T: Transport> RaftNetwork<Types> for Way<T> {
    async fn append_entries(
        &mut self,
        request: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Result<AppendEntriesResponse<MemberId>, Failure> {
        if let Some(fit) = too_many(&request) {
            return Err(PayloadTooLarge::new_entries_hint(fit).into());
        }
        match self.ask(Request::Append(request), option).await? {
            Response::Append(answer) => self.settle(answer),
            other => Err(unasked(&other)),
        }
    }

    async fn install_snapshot(
        &mut self,
        request: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Result<InstallSnapshotResponse<MemberId>, Failure<RaftError<MemberId, InstallSnapshotError>>> {
        match self.ask(Request::Snapshot(request), option).await? {
            Response::Snapshot(answer) => self.settle(answer),
            other => Err(unasked(&other)),
        }
    }

    async fn vote(
        &mut self,
        request: VoteRequest<MemberId>,
        option: RPCOption,
    ) -> Result<VoteResponse<MemberId>, Failure> {
        match self.ask(Request::Vote(request), option).await? {
            Response::Vote(answer) => self.settle(answer),
            other => Err(unasked(&other)),
        }
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(Duration::from_millis(HEARTBEAT)))
    }
}
