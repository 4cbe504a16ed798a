//! Connections to backend servers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use celerycove_types::{Map, Timestamp, id};
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::{TrySendError, http1::SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::{clock, http, link::lock};

/// How long opening a connection may take: many round trips within a region.
const CONNECT: Duration = Duration::from_millis(350);
/// How long an idle connection is kept where the backend server does not say.
const IDLE: Duration = Duration::from_secs(3);
/// Part of the told idle time after which a connection is no longer used: it may be closed while
/// the next request is on its way.
const SAFE: f64 = 0.7;
/// Idle connections kept to one backend server.
const MOST_IDLE: usize = 24;

/// Names one incarnation of a backend server.
pub(super) type Key = (id::Backend, id::Incarnation);

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    until: Timestamp,
}

/// Idle connections by backend server.
#[derive(Default)]
pub(super) struct Pool {
    idle: Mutex<Map<Key, Vec<Idle>>>,
}

/// A connection in use; closed when dropped, unless it is given back.
pub(super) struct Lease {
    pool: Arc<Pool>,
    key: Key,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    /// Whether the connection had answered a request before.
    pub(super) reused: bool,
}

/// Why a request got no answer.
#[derive(Debug)]
pub(super) enum SendError {
    /// Nothing was written: the request has not run.
    NotSent,
    /// Something may have been written.
    Broken(hyper::Error),
}

impl Pool {
    /// An idle connection, or a new one.
    pub(super) async fn lease(
        self: &Arc<Self>,
        key: Key,
        address: SocketAddr,
    ) -> std::io::Result<Lease> {
        if let Some(lease) = self.reuse(&key) {
            return Ok(lease);
        }
        let stream = match timeout(CONNECT, TcpStream::connect(address)).await {
            Ok(connected) => connected?,
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        };
        http::tune(&stream);
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // Errors reach whoever uses the connection.
            let _ = connection.await;
        });
        Ok(Lease {
            pool: self.clone(),
            key,
            sender: Some(sender),
            task: task.abort_handle(),
            reused: false,
        })
    }

    fn reuse(self: &Arc<Self>, key: &Key) -> Option<Lease> {
        let now = clock::now();
        let mut pool = lock(&self.idle);
        let idle = pool.get_mut(key)?;
        while let Some(connection) = idle.pop() {
            if connection.until > now && connection.sender.is_ready() {
                return Some(Lease {
                    pool: self.clone(),
                    key: key.clone(),
                    sender: Some(connection.sender),
                    task: connection.task,
                    reused: true,
                });
            }
            connection.task.abort();
        }
        pool.remove(key);
        None
    }

    fn give_back(&self, key: Key, idle: Idle) {
        let mut pool = lock(&self.idle);
        let connections = pool.entry(key).or_default();
        if connections.len() < MOST_IDLE {
            connections.push(idle);
        } else {
            idle.task.abort();
        }
    }
}

impl Lease {
    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let Some(sender) = self.sender.as_mut() else {
            return Err(SendError::NotSent);
        };
        if sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        let sent = sender.try_send_request(request).await;
        sent.map_err(|mut error: TrySendError<_>| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::Broken(error.into_error()),
        })
    }

    /// Keeps the connection for another request, after an answer was read to its end.
    pub(super) fn give_back(mut self, idle: Option<Duration>) {
        if let Some(sender) = self.sender.take()
            && !sender.is_closed()
        {
            let lasts = idle.unwrap_or(IDLE).mul_f64(SAFE);
            let idle = Idle {
                sender,
                task: self.task.clone(),
                until: clock::now() + lasts,
            };
            self.pool.give_back(self.key.clone(), idle);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}
