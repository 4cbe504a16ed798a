//! The requests that this process runs, so that homes can ask whether it still does.

use std::sync::{Arc, Mutex, PoisonError};

use celerycove_types::{Set, id};

/// The requests that this process runs.
#[derive(Debug, Default)]
pub struct Requests {
    running: Mutex<Set<id::Request>>,
}

/// Counts a request as running until it is dropped.
#[derive(Debug)]
pub struct Guard {
    requests: Arc<Requests>,
    name: id::Request,
}

impl Requests {
    /// Begins to run a request.
    pub fn begin(self: &Arc<Self>, name: &id::Request) -> Guard {
        self.with(|running| running.insert(name.clone()));
        Guard {
            requests: self.clone(),
            name: name.clone(),
        }
    }

    /// Gives those of the requests that this process does not run, or no longer.
    #[must_use]
    pub fn abandoned(&self, requests: Vec<id::Request>) -> Vec<id::Request> {
        self.with(|running| {
            requests
                .into_iter()
                .filter(|request| !running.contains(request))
                .collect()
        })
    }

    fn with<T>(&self, work: impl FnOnce(&mut Set<id::Request>) -> T) -> T {
        work(&mut self.running.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.requests.with(|running| running.remove(&self.name));
    }
}
