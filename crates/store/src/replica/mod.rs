//! A running replica: the consensus engine on its disk, and the requests that members and clients may send to it.

mod membership;
mod network;
mod request;
mod transport;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use openraft::{BasicNode, Config, SnapshotPolicy};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, timeout_at};

use self::network::Network;
use self::transport::NoTransport;
pub use self::transport::Transport;
use crate::applied::SharedState;
use crate::disk::{Disk, DiskError, Identity};
use crate::freshness::Freshness;
use crate::members::{Member, Members};
use crate::message::{Caller, Request, RequestError, Response};
use crate::raft::{MemberId, Raft};
use crate::state::{Proposal, Reply};
use crate::state_machine::StateMachine;

/// The interval at which a leader sends heartbeats, in ms.
const HEARTBEAT_INTERVAL_MS: u64 = 120;
/// The shortest time without a heartbeat after which a member starts an election, in ms.
const MIN_ELECTION_TIMEOUT_MS: u64 = 250;
/// The longest time without a heartbeat after which a member starts an election, in ms.
const MAX_ELECTION_TIMEOUT_MS: u64 = 500;
/// The longest part of a snapshot in one message, in bytes.
const SNAPSHOT_CHUNK_BYTES: u64 = 256 << 10;
/// The largest number of log entries in one message.
const MAX_APPEND_ENTRIES: u64 = 24;
/// The largest number of proposals that may wait for a quorum at a time.
const MAX_CONCURRENT_PROPOSALS: usize = 64;
/// How long one attempt to commit a proposal or to confirm a read index may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause between two attempts of a request to the leader.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// The default of [`ReplicaOptions::startup_timeout`].
const DEFAULT_STARTUP_TIMEOUT: Duration = Duration::from_secs(2);
/// The default of [`ReplicaOptions::snapshot_interval`], in entries.
const DEFAULT_SNAPSHOT_INTERVAL: u64 = 512;
/// The default of [`ReplicaOptions::retained_entries`].
const DEFAULT_RETAINED_ENTRIES: u64 = 64;

/// The options of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// The address that the replica listens on, as the other members know it.
    pub addr: String,
    /// How long the startup waits for the other members.
    pub startup_timeout: Duration,
    /// The number of log entries after which a new snapshot is taken.
    pub snapshot_interval: u64,
    /// The number of entries before a snapshot that stay in the log, so that a replica that lags a little needs no
    /// snapshot.
    pub retained_entries: u64,
}

impl ReplicaOptions {
    /// The default options for a replica at this address.
    pub fn new(addr: impl Into<String>) -> ReplicaOptions {
        ReplicaOptions {
            addr: addr.into(),
            startup_timeout: DEFAULT_STARTUP_TIMEOUT,
            snapshot_interval: DEFAULT_SNAPSHOT_INTERVAL,
            retained_entries: DEFAULT_RETAINED_ENTRIES,
        }
    }
}

/// The reason why a replica can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The replica's disk can't be used.
    #[error("{0}")]
    Disk(#[from] DiskError),
    /// The consensus engine can't start: it can't read the disk, or doesn't accept the options.
    #[error("the store can't start: {0}")]
    Engine(String),
}

/// A handle to a running replica. All clones refer to the same replica.
#[derive(Clone)]
pub struct Replica<T> {
    raft: Raft,
    identity: Identity,
    addr: String,
    shared: SharedState,
    applied_index: watch::Receiver<u64>,
    /// One permit for each proposal that may wait for a quorum.
    proposal_permits: Arc<Semaphore>,
    freshness: Arc<Mutex<Freshness>>,
    started_at: Instant,
    transport: T,
}

impl<T: Transport> Replica<T> {
    /// Starts the replica of a disk.
    ///
    /// # Errors
    /// If what is on the disk can't be read, or is of another version.
    pub async fn start(disk: Disk, options: ReplicaOptions, transport: T) -> Result<Replica<T>, StartError> {
        let identity = disk.identity();
        let (index_sender, applied_index) = watch::channel(0);
        let machine = StateMachine::new(disk.clone(), index_sender)?;
        let shared = machine.shared();
        let config = engine_config(identity, &options)?;
        let network = Network { transport: transport.clone() };
        let raft = Raft::new(identity.member, Arc::new(config), network, disk, machine)
            .await
            .map_err(|error| StartError::Engine(error.to_string()))?;
        let list_version = shared.read().state.list().map_or(0, |list| list.version);
        let freshness = Freshness::new(0, options.startup_timeout.as_millis() as u64, list_version);
        Ok(Replica {
            raft,
            identity,
            addr: options.addr,
            shared,
            applied_index,
            proposal_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_PROPOSALS)),
            freshness: Arc::new(Mutex::new(freshness)),
            started_at: Instant::now(),
            transport,
        })
    }

    /// Makes this member the first and only one of its cluster. It must be called only once for each cluster.
    ///
    /// # Errors
    /// If the cluster has members already.
    pub async fn bootstrap(&self) -> Result<(), RequestError> {
        let members = BTreeMap::from([(self.identity.member, BasicNode::new(&self.addr))]);
        self.raft.initialize(members).await.map_err(|error| RequestError::Members(error.to_string()))
    }

    /// The cluster and the member that this replica belongs to.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// The state that this replica has applied.
    pub fn shared(&self) -> &SharedState {
        &self.shared
    }

    /// Watches the index of the last entry that this replica has applied.
    pub fn applied_index(&self) -> watch::Receiver<u64> {
        self.applied_index.clone()
    }

    /// Runs `work` on this node's freshness, updated to the applied state. `work` also gets the time since the
    /// replica's start, in ms.
    pub fn freshness<R>(&self, work: impl FnOnce(&mut Freshness, u64) -> R) -> R {
        let now = self.started_at.elapsed().as_millis() as u64;
        let mut freshness = self.freshness.lock().unwrap_or_else(PoisonError::into_inner);
        let applied = self.shared.read();
        freshness.list_committed(applied.state.list().map_or(0, |list| list.version));
        freshness.index_applied(applied.last_index());
        drop(applied);
        work(&mut freshness, now)
    }

    /// Asks the leader up to which entry everything is committed, and waits until that entry is applied here.
    ///
    /// # Errors
    /// If no leader has confirmed the index, or the entry is not applied, by the deadline.
    pub async fn confirm(&self, deadline: Instant) -> Result<(), RequestError> {
        let mut last_error = RequestError::NoQuorum;
        let mut applied_index = self.applied_index.clone();
        while Instant::now() < deadline {
            let requested_at = self.freshness(|_, now| now);
            match self.request_leader(Request::ReadIndex, deadline).await {
                Ok(Response::ReadIndex(Ok(index))) => {
                    self.freshness(|freshness, _| freshness.read_index_received(requested_at, index));
                    let caught_up =
                        timeout_at(deadline, applied_index.wait_for(|&applied| applied >= index)).await;
                    if caught_up.is_ok_and(|caught_up| caught_up.is_ok()) {
                        self.freshness(|_, _| ()); // records the applied index, which completes the confirmation
                        return Ok(());
                    }
                }
                Ok(Response::ReadIndex(Err(error))) | Err(error) => last_error = error,
                Ok(_) => return Err(RequestError::unexpected_response()),
            }
            sleep(RETRY_DELAY).await;
        }
        Err(last_error)
    }

    /// Proposes a change to the leader, and retries with the same sequence number until there is a reply.
    ///
    /// # Errors
    /// If there is no reply by the deadline. The change may have been made nevertheless.
    pub async fn propose(&self, proposal: Proposal, deadline: Instant) -> Result<Reply, RequestError> {
        let mut last_error = RequestError::NoQuorum;
        while Instant::now() < deadline {
            match self.request_leader(Request::Propose(proposal.clone()), deadline).await {
                Ok(Response::Proposed(Ok(reply))) => return Ok(reply),
                Ok(Response::Proposed(Err(error))) | Err(error) => last_error = error,
                Ok(_) => return Err(RequestError::unexpected_response()),
            }
            if let RequestError::Stopped(_) = last_error {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        Err(last_error)
    }

    /// Sends a request to the leader, which may be this member.
    async fn request_leader(&self, request: Request, deadline: Instant) -> Result<Response, RequestError> {
        let timeout = deadline.saturating_duration_since(Instant::now()).min(REQUEST_TIMEOUT);
        let leader = self.raft.metrics().borrow().current_leader;
        match leader {
            Some(leader) if leader != self.identity.member => {
                let addr = self.members().get(&leader).map(|member| member.addr.clone());
                let addr = addr.ok_or(RequestError::NotLeader { leader: None })?;
                self.transport.request(leader, &addr, request, timeout).await
            }
            Some(_) => Ok(self.answer(Caller::Member(self.identity.member), request).await),
            None => Err(RequestError::NoQuorum),
        }
    }

    /// The members of the cluster, as this replica knows them.
    pub fn members(&self) -> Members {
        let membership = self.raft.metrics().borrow().membership_config.clone();
        let voters: Vec<MemberId> = membership.voter_ids().collect();
        let member = |(&id, node): (&MemberId, &BasicNode)| {
            (id, Member { addr: node.addr.clone(), is_voter: voters.contains(&id) })
        };
        membership.nodes().map(member).collect()
    }

    /// Stops the consensus engine. Everything that it has acknowledged is already on the disk.
    pub async fn stop(&self) {
        let _ = self.raft.shutdown().await; // the engine may have ended already
    }
}

fn engine_config(identity: Identity, options: &ReplicaOptions) -> Result<Config, StartError> {
    let config = Config {
        cluster_name: format!("{:032x}", identity.cluster),
        heartbeat_interval: HEARTBEAT_INTERVAL_MS,
        election_timeout_min: MIN_ELECTION_TIMEOUT_MS,
        election_timeout_max: MAX_ELECTION_TIMEOUT_MS,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(options.snapshot_interval),
        max_in_snapshot_log_to_keep: options.retained_entries,
        replication_lag_threshold: options.snapshot_interval,
        snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
        max_payload_entries: MAX_APPEND_ENTRIES,
        ..Config::default()
    };
    config.validate().map_err(|error| StartError::Engine(error.to_string()))
}

/// Makes the member that owns a disk the first and only one of its cluster. Other members reach it at this address.
///
/// # Errors
/// If the disk can't be used, or the cluster has members already.
pub async fn bootstrap(disk: Disk, addr: String) -> Result<(), StartError> {
    let replica = Replica::start(disk, ReplicaOptions::new(addr), NoTransport).await?;
    let result = replica.bootstrap().await;
    replica.stop().await;
    result.map_err(|error| StartError::Engine(error.to_string()))
}
