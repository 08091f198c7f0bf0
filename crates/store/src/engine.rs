//! The types that the consensus engine is set up with, and the runtime it uses.

use std::future::Future;
use std::io::Cursor;
use std::time::Duration;

use openraft::{AsyncRuntime, BasicNode, TokioRuntime};

use crate::state::{Proposal, Reply};

/// Names a member; the same for all of its life, and never given twice.
pub type MemberId = u64;

openraft::declare_raft_types!(
    /// The engine's types.
    pub Types:
        D = Proposal,
        R = Reply,
        NodeId = MemberId,
        Node = BasicNode,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = Runtime,
);

/// The engine.
pub type Raft = openraft::Raft<Types>;
/// An entry of the log.
pub type Entry = openraft::Entry<Types>;
/// The place of an entry.
pub type LogId = openraft::LogId<MemberId>;
/// An error of the disk, as the engine has it.
pub type StorageError = openraft::StorageError<MemberId>;
/// Members as of some entry.
pub type Membership = openraft::StoredMembership<MemberId, BasicNode>;
/// What an entry stands for in a snapshot.
pub type SnapshotMeta = openraft::SnapshotMeta<MemberId, BasicNode>;

/// Tokio, with random choices (the times of elections) that a simulation can seed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Runtime;

/// The thread's own generator, which [`fastrand::seed`] seeds.
#[derive(Debug)]
pub struct ThreadRandom;

impl rand_core::RngCore for ThreadRandom {
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

impl AsyncRuntime for Runtime {
    type JoinError = <TokioRuntime as AsyncRuntime>::JoinError;
    type JoinHandle<T: Send + 'static> = <TokioRuntime as AsyncRuntime>::JoinHandle<T>;
    type Sleep = <TokioRuntime as AsyncRuntime>::Sleep;
    type Instant = <TokioRuntime as AsyncRuntime>::Instant;
    type TimeoutError = <TokioRuntime as AsyncRuntime>::TimeoutError;
    type Timeout<R, T: Future<Output = R> + Send> = <TokioRuntime as AsyncRuntime>::Timeout<R, T>;
    type ThreadLocalRng = ThreadRandom;
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
    fn thread_rng() -> ThreadRandom {
        ThreadRandom
    }
    fn oneshot<T: Send>() -> (Self::OneshotSender<T>, Self::OneshotReceiver<T>) {
        TokioRuntime::oneshot()
    }
}
