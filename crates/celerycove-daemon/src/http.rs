//! HTTP listeners, clients and bodies that the whole daemon uses.

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

/// A boxed error, as hyper's bodies report it.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// The body of a request or response.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;
/// An HTTP client with a connection pool.
pub type HttpClient = Client<HttpConnector, Body>;

/// Limits that a listener puts on request heads.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The largest request head in bytes; at least 8 KiB are allowed.
    pub max_head_bytes: usize,
    /// How long reading a request head may take.
    pub head_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 64 << 10,
            head_timeout: Duration::from_mins(1),
        }
    }
}

/// Handles the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// An open listener and its connections.
pub struct Server {
    /// The address to which the listener is bound.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
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
        let (stop, stop_receiver) = watch::channel(false);
        let task = tokio::spawn(accept_loop(listener, limits, handler, stop_receiver));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Stops accepting connections, lets open connections finish their current requests, and
    /// returns when the last connection has ended.
    pub async fn close(self) {
        self.stop.send_replace(true);
        // Even if the task panicked, the listener is closed.
        let _ = self.task.await;
    }
}

async fn accept_loop<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    handler: Arc<H>,
    mut stop_receiver: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes.max(8 << 10));
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
            () = wait_for_stop(&mut stop_receiver) => break,
        };
        // Latency matters more than the number of packets. Without TCP_NODELAY, the connection
        // still works.
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
                log::debug!(target: "run", error:% = error; "connection closed with an error");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn wait_for_stop(stop_receiver: &mut watch::Receiver<bool>) {
    // An error means that the server was dropped, which closes the listener too.
    let _ = stop_receiver.wait_for(|stop| *stop).await;
}

/// Creates an HTTP client.
#[must_use]
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(30))
        // The client must not resend a request that may already have run.
        .retry_canceled_requests(false)
        .build(connector)
}

/// Creates a body from complete bytes.
#[must_use]
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a response with a complete body.
#[must_use]
pub fn response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
