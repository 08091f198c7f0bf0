//! Locks that are not poisoned for good.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Guards a lock's data even after a panic elsewhere: what is in it is still true.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
