//! Listeners and bodies of HTTP.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, header, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
};

use crate::Error;

/// Any error, boxed at the border to hyper.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// The pause after a connection could not be accepted, mostly for want of descriptors.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The largest body of an operator or a backend server: a configuration of many routes.
pub const LARGEST_ORDER: usize = 16 << 20;
/// The smallest buffer that the library takes.
const LEAST_BUFFER: usize = 8 << 10;
/// A peer that acknowledges nothing for so long is gone: a partition closes no connection.
const PEER_GONE: Duration = Duration::from_secs(6);

/// Answers the requests of a listener.
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;

    /// Bounds on a connection that opens now.
    fn limits(&self) -> Limits {
        Limits::default()
    }
}

/// Bounds on those who connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// How long a connection may take to send a head, idle time included.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            idle: Duration::from_secs(30),
        }
    }
}

/// Opens a listener at once, also where an earlier process had it until just now.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let fault = |source| Error::Listen { address, source };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }
    .map_err(fault)?;
    socket.set_reuseaddr(true).map_err(fault)?;
    socket.bind(address).map_err(fault)?;
    socket.listen(BACKLOG).map_err(fault)
}

/// Sets what a connection needs: small delays, and an end when the peer is silently gone.
pub fn tune(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PEER_GONE / 3)
        .with_interval(PEER_GONE / 3)
        .with_retries(2);
    let tuned = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(PEER_GONE)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = tuned {
        log::debug!(target: "http", error:% = error; "could not set options of a connection");
    }
}

/// Serves a listener until `stop` is true, then lets open requests finish.
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
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            () = stopped(&mut stop) => break,
        };
        tune(&stream);
        let builder = builder(service.limits());
        let service = service.clone();
        let answer = service_fn(move |request| {
            let service = service.clone();
            async move { Ok::<_, Infallible>(service.answer(request).await) }
        });
        let connection = builder.serve_connection(TokioIo::new(stream), answer);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // How a caller's connection ends is told by the log lines of its requests.
            let _ = connection.await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Prepares a connection's side of HTTP. The library has one timer for a head and for the idle time
/// before it, so the longer of both bounds them.
fn builder(limits: Limits) -> hyper::server::conn::http1::Builder {
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head.max(LEAST_BUFFER));
    builder
}

/// Returns when the listener is to stop, never if nobody is left to say so.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    while !*stop.borrow_and_update() {
        if stop.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// A whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer with a short text.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    with_type(status, "text/plain", text.into().into())
}

/// An answer with JSON.
pub fn json(status: StatusCode, body: Bytes) -> Response<Body> {
    with_type(status, "application/json", body)
}

fn with_type(status: StatusCode, kind: &'static str, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// It broke off.
    #[error("the body broke off")]
    Broken,
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body is longer or breaks off.
pub async fn read(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLong),
        Err(_) => Err(BodyError::Broken),
    }
}
