//! Values that one thread replaces and others read.
//!
//! A panic while a lock is held ends the process anyway, so a poisoned lock is read as it is.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

/// The newest version of a value.
#[derive(Debug, Default)]
pub(crate) struct Slot<T> {
    value: RwLock<Arc<T>>,
}

impl<T> Slot<T> {
    /// Creates a slot.
    pub(crate) fn new(value: T) -> Self {
        Self {
            value: RwLock::new(Arc::new(value)),
        }
    }

    /// Returns the newest version.
    pub(crate) fn get(&self) -> Arc<T> {
        let value = self.value.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&value)
    }

    /// Replaces the value.
    pub(crate) fn set(&self, value: Arc<T>) {
        *self.value.write().unwrap_or_else(PoisonError::into_inner) = value;
    }
}

/// Locks a mutex.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
