//! Mutex locking that ignores poisoning.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if it is poisoned by a panic.
///
/// Every value behind a mutex in this program is consistent between any two statements. Continuing
/// to use it is therefore safe, and better than a panic in every thread that locks it later.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
