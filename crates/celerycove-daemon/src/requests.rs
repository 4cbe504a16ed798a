//! Registry of the requests that this process is running, which homes query to find requests that
//! were abandoned.

use std::sync::{Arc, Mutex, PoisonError};

use celerycove_types::{Set, id};

/// The requests that this process is running.
#[derive(Debug, Default)]
pub struct Registry {
    running: Mutex<Set<id::Request>>,
}

/// Keeps a request in the registry until dropped.
#[derive(Debug)]
pub struct Guard {
    requests: Arc<Registry>,
    request: id::Request,
}

impl Registry {
    /// Adds a request until the guard is dropped.
    pub fn register(self: &Arc<Self>, request: &id::Request) -> Guard {
        self.with_running(|running| running.insert(request.clone()));
        Guard {
            requests: self.clone(),
            request: request.clone(),
        }
    }

    /// Returns those of the given requests that this process is not running.
    #[must_use]
    pub fn not_running(&self, requests: Vec<id::Request>) -> Vec<id::Request> {
        self.with_running(|running| {
            requests
                .into_iter()
                .filter(|request| !running.contains(request))
                .collect()
        })
    }

    fn with_running<T>(&self, work: impl FnOnce(&mut Set<id::Request>) -> T) -> T {
        work(&mut self.running.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.requests
            .with_running(|running| running.remove(&self.request));
    }
}
