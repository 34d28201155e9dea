//! Values that one thread replaces and others read, and mutexes without poisoning.
//!
//! A panic while a lock is held ends the process anyway, so poisoning is ignored.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

/// Shared reference to the current version of a value.
#[derive(Debug, Default)]
pub(crate) struct SharedValue<T> {
    value: RwLock<Arc<T>>,
}

impl<T> SharedValue<T> {
    /// Creates a shared value.
    pub(crate) fn new(value: T) -> Self {
        Self {
            value: RwLock::new(Arc::new(value)),
        }
    }

    /// Returns the current version.
    pub(crate) fn get(&self) -> Arc<T> {
        let value = self.value.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&value)
    }

    /// Replaces the value.
    pub(crate) fn set(&self, value: Arc<T>) {
        *self.value.write().unwrap_or_else(PoisonError::into_inner) = value;
    }
}

/// Locks a mutex and ignores poisoning.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
