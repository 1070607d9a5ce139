//! Locks that stay usable after a thread has panicked while it held one.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also one that a panic has poisoned.
///
/// Every value behind a lock in this program is consistent between two statements, so that going on
/// with it is better than a panic in every thread that comes after.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
