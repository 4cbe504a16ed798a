//! HTTP server and JSON helpers shared by both stand-ins.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, header, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;

/// A response body.
pub type Body = BoxBody<Bytes, Infallible>;

/// Handles HTTP requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Starts a server in a background task and returns the address that it is bound to.
///
/// The server runs until the runtime shuts down.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve<H: Handler>(
    handler: Arc<H>,
    address: SocketAddr,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler.handle(request).await) }
            });
            tokio::spawn(async move {
                let connection = hyper::server::conn::http1::Builder::new();
                if let Err(error) = connection
                    .serve_connection(TokioIo::new(stream), service)
                    .await
                {
                    log::debug!("stand-in: connection failed: {error}");
                }
            });
        }
    });
    Ok(address)
}

/// Creates a response with a JSON body.
#[must_use]
pub fn json(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())).boxed());
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Reads a JSON body; returns `None` if it is incomplete or not JSON.
pub async fn read_json(request: Request<Incoming>) -> Option<Value> {
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
