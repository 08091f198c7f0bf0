//! The type configuration of openraft, the consensus engine, and the async runtime that the engine uses.

use std::future::Future;
use std::io::Cursor;
use std::time::Duration;

use openraft::{AsyncRuntime, BasicNode, TokioRuntime};

use crate::state::{Proposal, Reply};

/// The id of a member. The id of a removed member is never reused.
pub type MemberId = u64;

openraft::declare_raft_types!(
    /// The types that openraft is instantiated with.
    pub TypeConfig:
        D = Proposal,
        R = Reply,
        NodeId = MemberId,
        Node = BasicNode,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = SeedableRuntime,
);

/// The consensus engine.
pub type Raft = openraft::Raft<TypeConfig>;
/// An entry of the replicated log.
pub type Entry = openraft::Entry<TypeConfig>;
/// The term and index of a log entry.
pub type LogId = openraft::LogId<MemberId>;
/// An error of the storage, as the engine expects it.
pub type StorageError = openraft::StorageError<MemberId>;
/// The members as of a log entry.
pub type StoredMembership = openraft::StoredMembership<MemberId, BasicNode>;
/// A snapshot's metadata: the last entry that it covers, and the members as of that entry.
pub type SnapshotMeta = openraft::SnapshotMeta<MemberId, BasicNode>;

/// The Tokio runtime, except that its random numbers, which choose election timeouts, can be seeded by a simulation.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SeedableRuntime;

/// The thread's random number generator, which [`fastrand::seed`] seeds.
#[derive(Debug)]
pub struct ThreadRng;

impl rand_core::RngCore for ThreadRng {
    fn next_u32(&mut self) -> u32 {
        fastrand::u32(..)
    }
    fn next_u64(&mut self) -> u64 {
        fastrand::u64(..)
    }
    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        fastrand::fill(bytes);
    }
    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), rand_core::Error> {
        fastrand::fill(bytes);
        Ok(())
    }
}

impl AsyncRuntime for SeedableRuntime {
    type JoinError = <TokioRuntime as AsyncRuntime>::JoinError;
    type JoinHandle<T: Send + 'static> = <TokioRuntime as AsyncRuntime>::JoinHandle<T>;
    type Sleep = <TokioRuntime as AsyncRuntime>::Sleep;
    type Instant = <TokioRuntime as AsyncRuntime>::Instant;
    type TimeoutError = <TokioRuntime as AsyncRuntime>::TimeoutError;
    type Timeout<R, T: Future<Output = R> + Send> = <TokioRuntime as AsyncRuntime>::Timeout<R, T>;
    type ThreadLocalRng = ThreadRng;
    type OneshotSender<T: Send> = <TokioRuntime as AsyncRuntime>::OneshotSender<T>;
    type OneshotReceiver<T: Send> = <TokioRuntime as AsyncRuntime>::OneshotReceiver<T>;
    type OneshotReceiverError = <TokioRuntime as AsyncRuntime>::OneshotReceiverError;

    fn spawn<T>(future: T) -> Self::JoinHandle<T::Output>
    where
        T: Future + Send + 'static,
        T::Output: Send + 'static,
    {
        TokioRuntime::spawn(future)
    }
    fn sleep(duration: Duration) -> Self::Sleep {
        TokioRuntime::sleep(duration)
    }
    fn sleep_until(deadline: Self::Instant) -> Self::Sleep {
        TokioRuntime::sleep_until(deadline)
    }
    fn timeout<R, F: Future<Output = R> + Send>(duration: Duration, future: F) -> Self::Timeout<R, F> {
        TokioRuntime::timeout(duration, future)
    }
    fn timeout_at<R, F: Future<Output = R> + Send>(
        deadline: Self::Instant,
        future: F,
    ) -> Self::Timeout<R, F> {
        TokioRuntime::timeout_at(deadline, future)
    }
    fn is_panic(error: &Self::JoinError) -> bool {
        TokioRuntime::is_panic(error)
    }
    fn thread_rng() -> ThreadRng {
        ThreadRng
    }
    fn oneshot<T: Send>() -> (Self::OneshotSender<T>, Self::OneshotReceiver<T>) {
        TokioRuntime::oneshot()
    }
}
