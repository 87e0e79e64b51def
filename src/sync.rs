//! The one way in which this crate locks.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic elsewhere: no holder leaves a change half-made.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
