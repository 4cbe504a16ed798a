//! What callers and backend servers saw, and the promises that it must keep.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, PoisonError},
};

use celerycove_platform::outside::{EVENT_TOKENS, Told};

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Names the promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

/// Statuses that promise that a request has not run and never will.
const NOT_RUN: [u16; 6] = [402, 404, 408, 421, 429, 503];

/// One program's tokens.
#[derive(Debug, Default)]
struct Account {
    budget: u64,
    most: u64,
    handed: u64,
}

#[derive(Debug, Default)]
struct Book {
    violations: BTreeSet<Violation>,
    /// How often each request ran.
    ran: BTreeMap<String, u32>,
    /// Requests that may run once at most.
    once: BTreeSet<String>,
    /// Requests that were refused, with the status.
    refused: BTreeMap<String, u16>,
    /// The body that an engine must get for a turn.
    bodies: BTreeMap<String, Vec<u8>>,
    accounts: BTreeMap<String, Account>,
    served: BTreeMap<&'static str, u64>,
}

/// What was seen so far.
#[derive(Debug, Default)]
pub struct Ledger(Mutex<Book>);

impl Ledger {
    fn book(&self) -> std::sync::MutexGuard<'_, Book> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a broken promise.
    pub fn accuse(&self, promise: &'static str, seen: String) {
        self.book().violations.insert(Violation { promise, seen });
    }

    /// Notes that a caller is about to send a request that may run once at most.
    pub fn send_once(&self, request: &str) {
        self.book().once.insert(request.to_owned());
    }

    /// Notes that a caller is about to send a turn, and what its engine must get.
    pub fn send_turn(
        &self,
        request: &str,
        body: Vec<u8>,
        program: &str,
        (budget, most): (u64, u64),
    ) {
        let mut book = self.book();
        book.once.insert(request.to_owned());
        book.bodies.insert(request.to_owned(), body);
        let account = book.accounts.entry(program.to_owned()).or_default();
        (account.budget, account.most) = (budget, most);
    }

    /// Notes the status with which a request ended.
    pub fn end(&self, request: &str, status: u16) {
        let mut book = self.book();
        if NOT_RUN.contains(&status) {
            book.refused.insert(request.to_owned(), status);
        }
        if status == 200 {
            let kind = if book.bodies.contains_key(request) {
                "turns"
            } else {
                "calls"
            };
            *book.served.entry(kind).or_default() += 1;
        }
    }

    /// Notes that a caller was handed an event of a program's stream.
    pub fn hand(&self, program: &str) {
        let mut book = self.book();
        let account = book.accounts.entry(program.to_owned()).or_default();
        account.handed += EVENT_TOKENS;
        if account.handed > account.budget + account.most {
            let seen = format!("{program} was handed {account:?}");
            book.violations.insert(Violation {
                promise: "budget",
                seen,
            });
        }
    }

    /// Notes that a backend server runs a request.
    pub fn run(&self, backend: &str, told: &Told, body: &[u8]) {
        let mut book = self.book();
        let count = book.ran.entry(told.request.clone()).or_default();
        *count += 1;
        let mut broken = Vec::new();
        if *count > 1 && book.once.contains(&told.request) {
            broken.push(("at most once", format!("{} ran again", told.request)));
        }
        let expected = book.bodies.get(&told.request);
        if expected.is_some_and(|expected| expected != body) {
            let seen = format!("{} came with {} bytes", told.request, body.len());
            broken.push(("chain", seen));
        }
        if told.shows_key || told.organisation != "standin" {
            broken.push(("organisation", format!("{told:?}")));
        }
        if told.backend != backend {
            broken.push(("backend server", format!("{told:?} reached {backend}")));
        }
        let broken = broken.into_iter();
        let broken = broken.map(|(promise, seen)| Violation { promise, seen });
        book.violations.extend(broken);
    }

    /// How many requests of a kind were served.
    #[must_use]
    pub fn served(&self, kind: &str) -> u64 {
        self.book().served.get(kind).copied().unwrap_or_default()
    }

    /// All broken promises, once nothing runs any more.
    #[must_use]
    pub fn verdict(&self) -> Vec<Violation> {
        let mut book = self.book();
        let false_refusals: Vec<Violation> = book
            .refused
            .iter()
            .filter(|(request, _)| book.ran.contains_key(*request))
            .map(|(request, status)| Violation {
                promise: "refusals are true",
                seen: format!("{request} was answered {status} and ran"),
            })
            .collect();
        book.violations.extend(false_refusals);
        book.violations.iter().cloned().collect()
    }
}
