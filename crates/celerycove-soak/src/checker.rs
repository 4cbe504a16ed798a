//! Records what callers and backend servers observe and checks it against the system's guarantees.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, PoisonError},
};

use celerycove_platform::simulation::{EVENT_TOKENS, ReceivedHeaders};

/// A violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// The name of the guarantee.
    pub promise: &'static str,
    /// The observation that contradicts it.
    pub seen: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

/// Statuses that guarantee that a request was not executed and never will be.
const NOT_EXECUTED_STATUSES: [u16; 6] = [402, 404, 408, 421, 429, 503];

/// The tokens of one program.
#[derive(Debug, Default)]
struct Account {
    /// Tokens that all turns of the program may generate.
    budget: u64,
    /// Tokens that one turn may generate.
    most: u64,
    /// Tokens that the caller received.
    handed: u64,
}

#[derive(Debug, Default)]
struct Observations {
    violations: BTreeSet<Violation>,
    /// Number of executions, by request.
    executions: BTreeMap<String, u32>,
    /// Requests that must not be executed more than once.
    non_idempotent: BTreeSet<String>,
    /// Refused requests and their statuses.
    refused: BTreeMap<String, u16>,
    /// The body that the engine must receive, by turn.
    expected_bodies: BTreeMap<String, Vec<u8>>,
    accounts: BTreeMap<String, Account>,
    /// Number of successful requests, by kind.
    served: BTreeMap<&'static str, u64>,
}

/// The observations of one run so far.
#[derive(Debug, Default)]
pub struct Checker(Mutex<Observations>);

impl Checker {
    fn lock(&self) -> std::sync::MutexGuard<'_, Observations> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violated guarantee.
    pub fn record_violation(&self, promise: &'static str, seen: String) {
        self.lock().violations.insert(Violation { promise, seen });
    }

    /// Records that a caller is about to send a request that must not be executed more than once.
    pub fn record_non_idempotent(&self, request: &str) {
        self.lock().non_idempotent.insert(request.to_owned());
    }

    /// Records that a caller is about to send a turn, and the body that the engine must receive.
    pub fn record_turn(
        &self,
        request: &str,
        expected_body: Vec<u8>,
        program: &str,
        (budget, most): (u64, u64),
    ) {
        let mut observations = self.lock();
        observations.non_idempotent.insert(request.to_owned());
        observations
            .expected_bodies
            .insert(request.to_owned(), expected_body);
        let account = observations.accounts.entry(program.to_owned()).or_default();
        (account.budget, account.most) = (budget, most);
    }

    /// Records the status with which a request completed.
    pub fn record_status(&self, request: &str, status: u16) {
        let mut observations = self.lock();
        if NOT_EXECUTED_STATUSES.contains(&status) {
            observations.refused.insert(request.to_owned(), status);
        }
        if status == 200 {
            let kind = if observations.expected_bodies.contains_key(request) {
                "turns"
            } else {
                "calls"
            };
            *observations.served.entry(kind).or_default() += 1;
        }
    }

    /// Records that a caller received an event of a program's stream.
    pub fn record_event(&self, program: &str) {
        let mut observations = self.lock();
        let account = observations.accounts.entry(program.to_owned()).or_default();
        account.handed += EVENT_TOKENS;
        if account.handed > account.budget + account.most {
            let seen = format!("{program} received {account:?}");
            observations.violations.insert(Violation {
                promise: "budget",
                seen,
            });
        }
    }

    /// Records that a backend server executes a request with the given headers and body.
    pub fn record_execution(&self, backend: &str, headers: &ReceivedHeaders, body: &[u8]) {
        let mut observations = self.lock();
        let count = observations
            .executions
            .entry(headers.request.clone())
            .or_default();
        *count += 1;
        let mut violations = Vec::new();
        if *count > 1 && observations.non_idempotent.contains(&headers.request) {
            violations.push((
                "at most once",
                format!("{} was executed again", headers.request),
            ));
        }
        let expected = observations.expected_bodies.get(&headers.request);
        if expected.is_some_and(|expected| expected != body) {
            let seen = format!(
                "{} arrived with an unexpected body of {} bytes",
                headers.request,
                body.len()
            );
            violations.push(("chain", seen));
        }
        if headers.has_authorization || headers.organisation != "standin" {
            violations.push(("organisation", format!("{headers:?}")));
        }
        if headers.backend != backend {
            violations.push((
                "backend server",
                format!("{headers:?} was received by {backend}"),
            ));
        }
        let violations = violations.into_iter();
        let violations = violations.map(|(promise, seen)| Violation { promise, seen });
        observations.violations.extend(violations);
    }

    /// Returns the number of successful requests of a kind.
    #[must_use]
    pub fn served(&self, kind: &str) -> u64 {
        self.lock().served.get(kind).copied().unwrap_or_default()
    }

    /// Returns all violations; call it when no request is in flight any more.
    #[must_use]
    pub fn violations_at_end(&self) -> Vec<Violation> {
        let mut observations = self.lock();
        let executed_refusals: Vec<Violation> = observations
            .refused
            .iter()
            .filter(|(request, _)| observations.executions.contains_key(*request))
            .map(|(request, status)| Violation {
                promise: "refusals are true",
                seen: format!("{request} was refused with status {status} but executed"),
            })
            .collect();
        observations.violations.extend(executed_refusals);
        observations.violations.iter().cloned().collect()
    }
}
