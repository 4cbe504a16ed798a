//! Reads request bodies within limits of size and time.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{StatusCode, body::Incoming};

use super::{Entry, refuse::Refusal};

impl Entry {
    /// Reads a whole body, or refuses it as too large or too slow.
    pub(super) async fn read_body(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let limit = self.setting.max_body.0;
        let collect = Limited::new(body, limit).collect();
        let result = tokio::time::timeout(self.setting.read_timeout.0, collect).await;
        match result {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
                format!("the body is longer than {limit} bytes"),
            )),
            Ok(Err(error)) => Err(Refusal::invalid_field("body", error)),
            Err(_) => Err(Refusal::new(
                StatusCode::REQUEST_TIMEOUT,
                "body_timeout",
                "the body took too long",
            )),
        }
    }
}
