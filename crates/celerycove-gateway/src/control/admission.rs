//! Bounds on the bodies of requests to a control instance, one by one and together.
//!
//! Short bodies, such as heartbeats, have room of their own, so that they don't wait for operators'
//! configurations.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::time::timeout;

use crate::{
    http,
    memory::{Account, Grant, Part},
};

/// The longest body that counts as short: many times a heartbeat.
const MAX_SHORT_BYTES: usize = 16 << 10;
/// How many times its length a body takes until the request is completed: its text, which is kept
/// with the configuration, what it is parsed into, and the encoded command for the log and for its
/// members.
const BODY_FACTOR: usize = 4;
/// The longest body, however large the memory limit: a frame between processes must hold it.
const MAX_BODY_BYTES: usize = 16 << 20;
/// How long a request waits for room: with the time of a commit, little more than the second after
/// which an operator tries another instance.
const ROOM_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a sender may pause within a body: it keeps room from others.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Why a body is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Error {
    /// It is longer than this instance can ever accept.
    TooLong {
        /// The longest that it can accept.
        limit: usize,
    },
    /// Other requests hold the room that it needs.
    NoRoom {
        /// The part that has no room.
        part: Part,
    },
    /// The connection failed before its end, or its sender was too slow.
    Incomplete,
}

/// A body and the room that it takes until it is dropped.
pub(super) struct Admitted {
    pub(super) bytes: Bytes,
    _room: Vec<Grant>,
}

/// Reads a whole body when there is room for it.
///
/// # Errors
///
/// Returns an error if it is too long, if there is no room in time, or if it does not arrive in time.
pub(super) async fn read(mut body: Incoming, account: &Arc<Account>) -> Result<Admitted, Error> {
    let reading = timeout(BODY_TIMEOUT, read_admitted(&mut body, account));
    let result = reading.await.unwrap_or(Err(Error::Incomplete));
    if result.is_err() {
        http::discard(&mut body).await;
    }
    result
}

async fn read_admitted(body: &mut Incoming, account: &Arc<Account>) -> Result<Admitted, Error> {
    let limit = (account.limit(Part::OperatorBodies) / BODY_FACTOR).min(MAX_BODY_BYTES);
    let declared = body.size_hint().exact();
    let declared = declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if declared.is_some_and(|length| length > limit) {
        return Err(Error::TooLong { limit });
    }
    // A body without a declared length reserves what arrives.
    let mut reserved = declared.unwrap_or_default();
    let mut room = vec![reserve(account, reserved, reserved).await?];
    let mut bytes = BytesMut::with_capacity(reserved);
    while let Some(frame) = next(body).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > limit {
            return Err(Error::TooLong { limit });
        }
        if length > reserved {
            room.push(reserve(account, length - reserved, length).await?);
            reserved = length;
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Admitted {
        bytes: bytes.freeze(),
        _room: room,
    })
}

/// Waits for room for `bytes` more of a body of `length` bytes so far.
async fn reserve(account: &Arc<Account>, bytes: usize, length: usize) -> Result<Grant, Error> {
    let part = if length <= MAX_SHORT_BYTES {
        Part::ShortBodies
    } else {
        Part::OperatorBodies
    };
    let room = account.reserve(part, bytes * BODY_FACTOR);
    let room = timeout(ROOM_TIMEOUT, room).await;
    room.map_err(|_| Error::NoRoom { part })
}

async fn next(body: &mut Incoming) -> Result<Option<hyper::body::Frame<Bytes>>, Error> {
    match timeout(PAUSE_TIMEOUT, body.frame()).await {
        Ok(frame) => frame.transpose().map_err(|_| Error::Incomplete),
        Err(_) => Err(Error::Incomplete),
    }
}
