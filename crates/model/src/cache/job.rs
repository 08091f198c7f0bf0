//! Requests to a cache server and their outcomes.

use crate::Micros;

/// Identifier of a job, unique within a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// The operation of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Reads a key.
    Read(String),
    /// Writes a key. The server only answers with a miss; the write itself goes to the origin.
    Write(String),
}

/// A request as it reaches a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The operation.
    pub work: Work,
    /// Amount of work, in microseconds of a standard core.
    pub cost: f64,
    /// Time at which the client stops waiting; a job that is still queued by then is dropped.
    pub deadline: Micros,
}

/// Why a server rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full.
    QueueFull,
    /// The server has collapsed or was stopped.
    Down,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The value is cached; its size in bytes.
    Hit(u64),
    /// The value is not cached.
    Miss,
    /// The value is not cached, and an earlier miss is being fetched from the origin.
    Pending,
    /// The job failed after it may have run.
    Failed,
    /// The deadline passed while the job was queued; the client gets no answer.
    Expired,
}

/// The end of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Identifier of the job.
    pub id: JobId,
    /// How the job ended.
    pub outcome: Outcome,
}
