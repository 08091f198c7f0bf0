//! A client's request and its answer, whatever protocol they came by and go out on.

use std::str;
use std::time::Duration;

use bytes::Bytes;
use stonefold_balancer::Micros;
use stonefold_proto::resp;

use crate::relay::Stream;

/// Kept back from a client's time, for the way of the answer and the grain of timers.
pub const ANSWER_RESERVE: Duration = Duration::from_millis(5);

/// A client's request.
#[derive(Debug)]
pub struct Command {
    pub key: String,
    pub id: Bytes,
    /// Names and values.
    pub facts: Bytes,
    /// What a write stores.
    pub value: Option<Bytes>,
    /// How long the client will wait.
    pub wait: Micros,
}

impl Command {
    /// A value by its name.
    pub fn fact(&self, name: &str) -> Option<&str> {
        resp::fact(str::from_utf8(&self.facts).ok()?, name)
    }

    /// The names and values as they came, except that `d` states the time left, in whole milliseconds.
    ///
    /// Called right before an attempt is written. Guards against a server that works on for a client whose time was
    /// spent on earlier attempts, or on opening the connection.
    pub fn facts_with_wait(&self, left: Duration) -> Vec<u8> {
        let wait = format!("d={}", left.as_millis());
        let facts = self.facts.split(|&b| b == b',').map(|fact| match fact.starts_with(b"d=") {
            true => wait.as_bytes(),
            false => fact,
        });
        facts.collect::<Vec<_>>().join(&b","[..])
    }
}

/// The final answer to a request.
pub enum Answer {
    Served(Bytes),
    /// Served, in so far as the rest comes.
    Stream(Stream),
    /// Refused; the client should stay away so long, if that is not 0.
    Busy(Micros),
    Failed,
}

#[cfg(test)]
mod tests;
