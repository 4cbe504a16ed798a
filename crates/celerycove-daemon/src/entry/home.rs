//! Sends requests to the homes of programs.

use std::time::Duration;

use celerycove_program::{Request, Response};
use celerycove_wire::method;

use super::{Entry, refuse::Refusal};

/// The delay before the first retry; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The longest delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(320);
/// The factor by which requests that end a call are retried for longer than others, as the call has
/// already run.
const ENDING_TIMEOUT_FACTOR: u32 = 5;

impl Entry {
    /// Sends a request to the home of `name`, a program's id or an idempotency key, and retries
    /// while the home moves to another process. The home may receive the request more than once.
    pub(super) async fn send_to_home(
        &self,
        name: &str,
        request: Request,
    ) -> Result<Response, Refusal> {
        let ends = matches!(request, Request::Settle { .. } | Request::Conclude { .. });
        let timeout = self.retry_timeout() * if ends { ENDING_TIMEOUT_FACTOR } else { 1 };
        let deadline = self.process.now() + timeout;
        let mut delay = FIRST_RETRY_DELAY;
        loop {
            match self.try_send_to_home(name, &request).await {
                Some(Response::Refused(refusal)) => return Err(refusal.into()),
                Some(Response::NotPrimary) | None => {}
                Some(response) => return Ok(response),
            }
            if self.process.now() + delay >= deadline {
                return Err(Refusal::unavailable(
                    "home_unavailable",
                    "the program's home did not answer in time",
                ));
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Sends a request to the home of `name` once; `None` if there is no answer.
    async fn try_send_to_home(&self, name: &str, request: &Request) -> Option<Response> {
        let (shard, primary) = self.state.view().primary_of(name)?;
        if primary == self.process.name {
            return Some(
                self.replicas
                    .as_ref()?
                    .request(shard, request.clone())
                    .await,
            );
        }
        let request = method::Request {
            shard,
            request: request.clone(),
        };
        match self.peers.call(&primary, method::REQUEST, &request).await {
            Ok(response) => Some(response),
            Err(error) => {
                log::debug!(target: "entry", to:% = primary, error:% = error; "the home did not answer");
                None
            }
        }
    }
}
