//! Reads the bodies of callers, within limits of size and time.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{StatusCode, body::Incoming};

use super::{Entry, refuse::Refusal};

impl Entry {
    /// Reads a whole body.
    pub(super) async fn read(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let limit = self.setting.max_body.0;
        let read = Limited::new(body, limit).collect();
        let read = tokio::time::timeout(self.setting.read_timeout.0, read).await;
        match read {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
                format!("the body is longer than {limit} bytes"),
            )),
            Ok(Err(error)) => Err(Refusal::field("body", error)),
            Err(_) => Err(Refusal::new(
                StatusCode::REQUEST_TIMEOUT,
                "body_timeout",
                "the body took too long",
            )),
        }
    }
}
