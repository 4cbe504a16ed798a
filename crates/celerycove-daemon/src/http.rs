//! Listeners and bodies that all HTTP surfaces share.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, header, service::service_fn};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{net::TcpListener, sync::watch};

/// Any error, boxed at the border to hyper.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// The body of a request or answer.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;
/// A client with its pool of connections.
pub type HttpClient = Client<HttpConnector, Body>;

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The largest head in bytes.
    pub head: usize,
    /// How long a head may take.
    pub head_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 64 << 10,
            head_timeout: Duration::from_mins(1),
        }
    }
}

/// Answers requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// A listener that is open.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    done: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Opens a listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn open<H: Handler>(
        address: SocketAddr,
        limits: Limits,
        handler: Arc<H>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let done = tokio::spawn(accept(listener, limits, handler, stopped));
        Ok(Self {
            address,
            stop,
            done,
        })
    }

    /// Accepts no more connections, lets those that are open finish their requests, and returns
    /// when the last has ended.
    pub async fn close(self) {
        self.stop.send_replace(true);
        // The task does not panic; if it did, the listener is closed all the same.
        let _ = self.done.await;
    }
}

async fn accept<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    handler: Arc<H>,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head.max(8 << 10));
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(target: "run", error:% = error; "could not accept a connection");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
            () = until_stopped(&mut stopped) => break,
        };
        // Latency matters more than the number of packets; a failure here harms nothing.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handler.handle(request).await) }
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "run", error:% = error; "a connection ended");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn until_stopped(stopped: &mut watch::Receiver<bool>) {
    // The sender lives as long as the server; without one, the listener is of no use either.
    let _ = stopped.wait_for(|stop| *stop).await;
}

/// Builds a client.
#[must_use]
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(30))
        // A request whose fate is not known is never sent again behind our back.
        .retry_canceled_requests(false)
        .build(connector)
}

/// A body that is whole.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer with a whole body.
#[must_use]
pub fn answer(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
