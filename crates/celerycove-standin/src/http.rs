//! What both stand-ins need of HTTP.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, header, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;

/// The body of an answer.
pub type Body = BoxBody<Bytes, Infallible>;

/// Answers requests.
pub trait Answer: Send + Sync + 'static {
    /// Answers one request.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Serves until the task is dropped; gives the address once it listens.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve<A: Answer>(answer: Arc<A>, address: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let answer = answer.clone();
            let service = service_fn(move |request| {
                let answer = answer.clone();
                async move { Ok::<_, Infallible>(answer.answer(request).await) }
            });
            tokio::spawn(async move {
                let connection = hyper::server::conn::http1::Builder::new();
                if let Err(error) = connection
                    .serve_connection(TokioIo::new(stream), service)
                    .await
                {
                    log::debug!("stand-in: connection ended: {error}");
                }
            });
        }
    });
    Ok(address)
}

/// A JSON answer.
#[must_use]
pub fn json(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(value.to_string())).boxed());
    *response.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Reads a JSON body.
pub async fn read_json(request: Request<Incoming>) -> Option<Value> {
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}
