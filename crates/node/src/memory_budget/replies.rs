//! The memory of replies that are read completely before they are passed on.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;

use super::{MemoryBudget, MemoryPermit};
use crate::relay::MAX_BUFFERED_BYTES;

/// The largest part of a reply other than its value, in bytes.
pub(crate) const MAX_ENVELOPE_BYTES: usize = 2 << 10;
/// The largest reply that is buffered completely, in bytes.
pub(crate) const MAX_REPLY_BYTES: usize = MAX_BUFFERED_BYTES + MAX_ENVELOPE_BYTES;

/// The memory that was reserved for the reply of a request before the request was started, if any. Clones share it: of a
/// request's attempts, the first one whose reply is buffered takes it.
#[derive(Clone, Default)]
pub(crate) struct ReplyReservation(Arc<Mutex<Option<MemoryPermit>>>);

impl ReplyReservation {
    /// Wraps the permit for a reply of [`MAX_REPLY_BYTES`].
    pub(crate) fn new(permit: Option<MemoryPermit>) -> ReplyReservation {
        ReplyReservation(Arc::new(Mutex::new(permit)))
    }

    /// Takes the memory for a reply of `bytes`, from the reservation or else from the budget. Returns what the reservation
    /// has too much. `None` if there is no memory. `bytes` is at most [`MAX_REPLY_BYTES`].
    pub(crate) fn take(&self, bytes: usize, budget: &MemoryBudget) -> Option<MemoryPermit> {
        let reserved = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        match reserved {
            Some(mut permit) => permit.split(bytes),
            None => budget.try_reserve_reply(bytes),
        }
    }

    /// Returns the reserved memory to the budget, unless it was taken.
    pub(crate) fn release(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }
}

/// A value that has been read completely, counted in the memory budget until it is dropped.
#[derive(Default)]
pub(crate) struct BufferedValue {
    /// The value.
    pub(crate) bytes: Bytes,
    /// `None` if the memory accounted for each open request covers the value.
    pub(crate) permit: Option<MemoryPermit>,
}

impl fmt::Debug for BufferedValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} bytes", self.bytes.len())
    }
}
