//! Reads what an entry says of a request it forwards.

use std::{str::FromStr, time::Duration};

use celerycove_queue::Job;
use celerycove_types::Timestamp;
use celerycove_wire::header;
use hyper::HeaderMap;

/// Reads the job out of the headers; `None` if a header is missing or malformed.
pub(crate) fn read(headers: &HeaderMap, now: Timestamp) -> Option<Job> {
    let deadline = number::<u64>(headers, header::DEADLINE).map(Duration::from_millis);
    Some(Job {
        id: text(headers, header::DISPATCH)?.into(),
        organisation: text(headers, header::ORGANISATION)?.into(),
        weight: number(headers, header::WEIGHT)?,
        program: text(headers, header::PROGRAM).map(Into::into),
        attained: number(headers, header::ATTAINED).unwrap_or(0),
        cost: number(headers, header::COST)?,
        deadline: deadline.map(|deadline| now + deadline),
        once: text(headers, header::ONCE) == Some("true"),
    })
}

pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

pub(crate) fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}
