//! Values that are held back until they are complete.
//!
//! When a value breaks off after its first byte was written, the connection has to be closed, and the requests behind it
//! lose their replies. So while replies to other requests are due on the connection, a value is written only once it is
//! complete. If it is not complete in time, its request fails and the others get their replies.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use crate::memory_budget::{MemoryBudget, MemoryPermit};
use crate::relay::{Chunk, MAX_BUFFERED_BYTES, ValueStream};
use crate::request::RESPONSE_RESERVE;

/// How long a value is held back at most. A client is owed what its server has sent within 2 s.
const MAX_HOLD_TIME: Duration = Duration::from_millis(1_500);
/// How long a value may be held back although the time of its client is over, because replies before it took long. A
/// reply is lost if it comes half a second after its time.
const OVERDUE_HOLD_TIME: Duration = Duration::from_millis(250);

/// A value that is being held back.
pub(super) struct HeldValue {
    stream: ValueStream,
    /// When the hold ends.
    until: Instant,
}

impl HeldValue {
    /// Holds back a value whose turn is now and whose client waits until `deadline`.
    pub(super) fn new(stream: ValueStream, now: Instant, deadline: Instant) -> HeldValue {
        let due = deadline.checked_sub(RESPONSE_RESERVE).unwrap_or(now).max(now + OVERDUE_HOLD_TIME);
        HeldValue { stream, until: due.min(now + MAX_HOLD_TIME) }
    }

    /// Waits until the value is complete and returns it. `None` if it breaks off, or if it is not complete or there is no
    /// memory for it until the end of the hold.
    pub(super) async fn complete(self, budget: &MemoryBudget) -> Option<ValueStream> {
        let HeldValue { stream, until } = self;
        timeout_at(until, collect(stream, budget)).await.ok().flatten()
    }
}

/// Collects a value until it is complete; `None` if it breaks off.
async fn collect(mut stream: ValueStream, budget: &MemoryBudget) -> Option<ValueStream> {
    let first = stream.next_chunk().await?;
    if first.bytes.len() == stream.length {
        return Some(ValueStream::complete(first));
    }
    let permit = reserve(budget, stream.length).await?;
    let mut value = Vec::with_capacity(stream.length);
    value.extend_from_slice(&first.bytes);
    drop(first);
    while value.len() < stream.length {
        let chunk = stream.next_chunk().await?;
        if value.len() + chunk.bytes.len() > stream.length {
            return None;
        }
        value.extend_from_slice(&chunk.bytes);
    }
    Some(ValueStream::complete(Chunk::new(value.into(), Some(permit))))
}

/// Waits for the memory of a value of `length` bytes. `None` only if the budget is closed, which never happens.
async fn reserve(budget: &MemoryBudget, length: usize) -> Option<MemoryPermit> {
    let short = if length <= MAX_BUFFERED_BYTES { budget.try_reserve_reply(length) } else { None };
    match short {
        Some(permit) => Some(permit),
        None => budget.reserve_large(length).await.ok(),
    }
}

#[cfg(test)]
mod tests;
