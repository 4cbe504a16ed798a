//! HTTP listeners, and request and response bodies.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Body as _, Incoming},
    header,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

use crate::{
    Error,
    memory::{Account, Part, Room},
};

/// The error type of bodies that are passed to hyper.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// The body of a response.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// The delay after a connection could not be accepted, mostly because the process is out of file
/// descriptors.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a stopping listener accepts connections that the system has established already. New ones
/// may come for longer than that.
const ACCEPT_BACKLOG_TIME: Duration = Duration::from_millis(300);
/// The most connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Time limit for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the rest of a rejected body is read before the response is sent.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest body that may use the part of the room that is kept for short ones.
const MAX_SHORT_BYTES: usize = 64 << 10;
/// The part of the room for callers' bodies that is kept for short ones.
const SHORT_BODIES_DIVISOR: usize = 4;
/// The smallest connection buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// A connection is closed when the peer acknowledges no data for this long: a network partition
/// closes no connection by itself.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(6);

/// Handles the requests of a listener.
pub trait Service: Send + Sync + 'static {
    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;

    /// The limits for a connection that is accepted now.
    fn limits(&self) -> Limits {
        Limits::default()
    }
}

/// Limits on a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest request head, in bytes.
    pub max_head_bytes: usize,
    /// How long a connection may take to send a request head, including the idle time before it.
    pub header_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            header_timeout: Duration::from_secs(30),
        }
    }
}

/// Opens a listener. Sets `SO_REUSEADDR`, so that it succeeds directly after an earlier process has
/// closed the address.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listen_error = |source| Error::Listen { address, source };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }
    .map_err(listen_error)?;
    socket.set_reuseaddr(true).map_err(listen_error)?;
    socket.bind(address).map_err(listen_error)?;
    socket.listen(LISTEN_BACKLOG).map_err(listen_error)
}

/// Sets the options of a connection: no delay of small segments, and time limits that close the
/// connection when the peer is unreachable.
pub fn set_socket_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(UNACKNOWLEDGED_TIMEOUT / 3)
        .with_interval(UNACKNOWLEDGED_TIMEOUT / 3)
        .with_retries(2);
    let result = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = result {
        log::debug!(target: "http", error:% = error; "could not set the options of a connection");
    }
}

/// Serves a listener until `stop` is true, then waits until open requests have finished.
pub async fn serve<S: Service>(
    listener: TcpListener,
    service: Arc<S>,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(target: "http", error:% = error; "could not accept a connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            () = stopped(&mut stop) => break,
        };
        spawn_connection(stream, &service, &graceful);
    }
    // Connections that the system has established already may carry requests; closing the listener
    // would reset them.
    let accepting = async {
        while let Ok(Ok((stream, _))) =
            tokio::time::timeout(ACCEPT_RETRY_DELAY, listener.accept()).await
        {
            spawn_connection(stream, &service, &graceful);
        }
    };
    if tokio::time::timeout(ACCEPT_BACKLOG_TIME, accepting)
        .await
        .is_err()
    {
        log::info!(target: "http", "the listener is closed while connections still arrive");
    }
    drop(listener);
    // Hyper closes a connection that has read nothing when it shuts down; the last ones accepted get
    // the time to read what was sent before.
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    graceful.shutdown().await;
}

/// Serves a connection in a task of its own.
fn spawn_connection<S: Service>(stream: TcpStream, service: &Arc<S>, graceful: &GracefulShutdown) {
    set_socket_options(&stream);
    let builder = builder(service.limits());
    let service = service.clone();
    let handler = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.handle(request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), handler);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // The log lines of its requests show how a caller's connection ended.
        let _ = connection.await;
    });
}

/// Configures the server side of a connection. Hyper has a single timer for a request head and the
/// idle time before it, so [`Limits::header_timeout`] is the longer of the two limits.
fn builder(limits: Limits) -> hyper::server::conn::http1::Builder {
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES));
    builder
}

/// Returns when `stop` is true; never returns if the sender is dropped before.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    while !*stop.borrow_and_update() {
        if stop.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Creates a body that holds all of `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a plain-text response.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    with_content_type(status, "text/plain", text.into().into())
}

/// Creates a JSON response.
pub fn json_response(status: StatusCode, body: Bytes) -> Response<Body> {
    with_content_type(status, "application/json", body)
}

fn with_content_type(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[error("the body is too long")]
    TooLong,
    /// The connection failed before the end of the body, or the body took too long.
    #[error("the body broke off")]
    Incomplete,
    /// Other callers' bodies take the memory that it needs.
    #[error("there is no memory for the body")]
    NoRoom,
}

/// Reads a whole body of at most `limit` bytes within ten seconds, and returns it with the room that it
/// takes. A declared length is reserved before the body is read, any other as the body arrives.
///
/// # Errors
///
/// Returns an error if the body is longer, takes longer, breaks off, or finds no room.
pub async fn read_body(
    mut body: Incoming,
    limit: usize,
    account: &Arc<Account>,
) -> Result<(Bytes, Room), BodyError> {
    let reading = read_counted(&mut body, limit, account);
    let reading = tokio::time::timeout(BODY_TIMEOUT, reading).await;
    let result = reading.unwrap_or(Err(BodyError::Incomplete));
    if result.is_err() {
        discard(&mut body).await;
    }
    result
}

async fn read_counted(
    body: &mut Incoming,
    limit: usize,
    account: &Arc<Account>,
) -> Result<(Bytes, Room), BodyError> {
    let mut room = account.empty(Part::CallerBodies);
    let Some(length) = body.size_hint().exact() else {
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Incomplete)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            let length = bytes.len() + data.len();
            if length > limit {
                return Err(BodyError::TooLong);
            }
            reserve(&mut room, data.len(), length, account)?;
            bytes.extend_from_slice(data);
        }
        return Ok((bytes.freeze(), room));
    };
    let length = usize::try_from(length).unwrap_or(usize::MAX);
    if length > limit {
        return Err(BodyError::TooLong);
    }
    reserve(&mut room, length, length, account)?;
    let collected = body.collect().await;
    let collected = collected.map_err(|_| BodyError::Incomplete)?;
    Ok((collected.to_bytes(), room))
}

/// Reserves `bytes` more of a body of `length` bytes so far.
fn reserve(
    room: &mut Room,
    bytes: usize,
    length: usize,
    account: &Account,
) -> Result<(), BodyError> {
    let limit = account.limit(Part::CallerBodies);
    let limit = if length > MAX_SHORT_BYTES {
        limit - limit / SHORT_BODIES_DIVISOR
    } else {
        limit
    };
    if room.try_extend_within(bytes, limit) {
        Ok(())
    } else {
        Err(BodyError::NoRoom)
    }
}

/// Reads and drops the rest of a rejected body, as far as it arrives soon. A connection that is closed
/// with unread data is reset, and its client may not see the response.
pub(crate) async fn discard(body: &mut Incoming) {
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    // Whether the client ends its body in time changes nothing.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}
