//! Locks that outlive a thread that died while it held one.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A poisoned lock means that another thread died half way; going on with its data is the best
/// that is left, since every value behind a lock here is whole between two steps.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
