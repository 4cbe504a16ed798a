//! Pool of HTTP/1 connections to backend servers.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
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

use super::socket::{GivenUp, Socket};
use crate::{clock, http, link::lock};

/// Time limit for opening a connection: many round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// How long an idle connection is kept if the backend server does not announce its idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Fraction of the idle timeout after which a connection is no longer reused: the backend server
/// might close it while the next request is on its way.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Limit on idle connections kept for one backend server.
const MAX_IDLE_PER_BACKEND: usize = 24;

/// The largest head of a response, and the most that is read at once. Hyper's buffer grows to this
/// size while a backend server sends faster than the response is read.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// The most interim responses (1xx) before a response: reading them without end takes the processor
/// from other requests.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Identifies one incarnation of a backend server.
pub(super) type Key = (id::Backend, id::Incarnation);

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    given_up: GivenUp,
    usable_until: Timestamp,
}

/// Idle connections by backend server.
#[derive(Default)]
pub(super) struct Pool {
    idle: Mutex<Map<Key, Vec<IdleConnection>>>,
}

/// A connection in use. It is reset when dropped, unless its response was read to the end.
pub(super) struct PooledConnection {
    pool: Arc<Pool>,
    key: Key,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    given_up: GivenUp,
    /// Whether the connection has carried an earlier request.
    pub(super) reused: bool,
}

/// Why a request got no response.
#[derive(Debug)]
pub(super) enum SendError {
    /// Nothing was written, so the backend server has not run the request.
    NotSent,
    /// The connection failed after part of the request may have been written.
    Broken(hyper::Error),
}

impl Pool {
    /// Returns an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if a connection can't be opened in time.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        key: Key,
        address: SocketAddr,
    ) -> std::io::Result<PooledConnection> {
        if let Some(connection) = self.take_idle(&key) {
            return Ok(connection);
        }
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(connected) => connected?,
            Err(_) => return Err(std::io::ErrorKind::TimedOut.into()),
        };
        http::set_socket_options(&stream);
        let given_up = GivenUp::default();
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(Socket::new(stream, given_up.clone())))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            // Errors are reported to the user of the connection by `SendRequest`.
            let _ = connection.await;
        });
        Ok(PooledConnection {
            pool: self.clone(),
            key,
            sender: Some(sender),
            task: task.abort_handle(),
            given_up,
            reused: false,
        })
    }

    fn take_idle(self: &Arc<Self>, key: &Key) -> Option<PooledConnection> {
        let now = clock::now();
        let mut idle_by_backend = lock(&self.idle);
        let idle = idle_by_backend.get_mut(key)?;
        while let Some(connection) = idle.pop() {
            if connection.usable_until > now && connection.sender.is_ready() {
                return Some(PooledConnection {
                    pool: self.clone(),
                    key: key.clone(),
                    sender: Some(connection.sender),
                    task: connection.task,
                    given_up: connection.given_up,
                    reused: true,
                });
            }
            connection.task.abort();
        }
        idle_by_backend.remove(key);
        None
    }

    fn put_idle(&self, key: Key, connection: IdleConnection) {
        let mut idle_by_backend = lock(&self.idle);
        let connections = idle_by_backend.entry(key).or_default();
        if connections.len() < MAX_IDLE_PER_BACKEND {
            connections.push(connection);
        } else {
            connection.task.abort();
        }
    }
}

impl PooledConnection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns whether the backend server may have run the request.
    pub(super) async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let Some(sender) = self.sender.as_mut() else {
            return Err(SendError::NotSent);
        };
        if sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        let (task, interim) = (self.task.clone(), AtomicUsize::new(0));
        hyper::ext::on_informational(&mut request, move |_| {
            if interim.fetch_add(1, Relaxed) >= MAX_INTERIM_RESPONSES {
                task.abort();
            }
        });
        let sent = sender.try_send_request(request).await;
        sent.map_err(|mut error: TrySendError<_>| match error.take_message() {
            Some(_) => SendError::NotSent,
            None => SendError::Broken(error.into_error()),
        })
    }

    /// Ends the use of the connection after a response was read to its end: returns it to the pool, or
    /// closes it.
    pub(super) fn finish(mut self, keeps_alive: bool, idle_timeout: Option<Duration>) {
        if let Some(sender) = self.sender.take()
            && keeps_alive
            && !sender.is_closed()
        {
            let usable_for = idle_timeout
                .unwrap_or(DEFAULT_IDLE_TIMEOUT)
                .mul_f64(IDLE_TIMEOUT_FRACTION);
            let connection = IdleConnection {
                sender,
                task: self.task.clone(),
                given_up: self.given_up.clone(),
                usable_until: clock::now() + usable_for,
            };
            self.pool.put_idle(self.key.clone(), connection);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.given_up.store(true, Relaxed);
            self.task.abort();
        }
    }
}
