//! Parses the headers with which an entry describes a request that it dispatches.

use std::{str::FromStr, time::Duration};

use celerycove_queue::Job;
use celerycove_types::Timestamp;
use celerycove_wire::header;
use hyper::HeaderMap;

/// Parses the job from the headers; `None` if a required header is missing or malformed.
pub(crate) fn parse(headers: &HeaderMap, now: Timestamp) -> Option<Job> {
    let deadline = header_number::<u64>(headers, header::DEADLINE_MS).map(Duration::from_millis);
    Some(Job {
        id: header_text(headers, header::DISPATCH)?.into(),
        organisation: header_text(headers, header::ORGANISATION)?.into(),
        weight: header_number(headers, header::WEIGHT)?,
        program: header_text(headers, header::PROGRAM).map(Into::into),
        attained_tokens: header_number(headers, header::ATTAINED_TOKENS).unwrap_or(0),
        cost: header_number(headers, header::COST)?,
        deadline: deadline.map(|deadline| now + deadline),
        at_most_once: header_text(headers, header::AT_MOST_ONCE) == Some("true"),
    })
}

pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

pub(crate) fn header_number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}
