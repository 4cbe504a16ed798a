//! Questions to the homes of programs.

use std::time::Duration;

use celerycove_program::{Request, Response};
use celerycove_wire::method;

use super::{Entry, refuse::Refusal};

/// The first pause before a question is asked again; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(320);
/// How much longer than a request's patience an ending is tried: it concerns what has run.
const ENDING_PATIENCE: u32 = 5;

impl Entry {
    /// Asks the home of `name`, again while it moves; each question may be asked twice.
    pub(super) async fn ask_home(&self, name: &str, request: Request) -> Result<Response, Refusal> {
        let ends = matches!(request, Request::Settle { .. } | Request::Conclude { .. });
        let patience = self.patience() * if ends { ENDING_PATIENCE } else { 1 };
        let deadline = self.process.now() + patience;
        let mut pause = FIRST_PAUSE;
        loop {
            match self.ask_once(name, &request).await {
                Some(Response::Refused(refusal)) => return Err(refusal.into()),
                Some(Response::NotPrimary) | None => {}
                Some(response) => return Ok(response),
            }
            if self.process.now() + pause >= deadline {
                return Err(Refusal::unavailable(
                    "home_unavailable",
                    "the program's home did not answer in time",
                ));
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn ask_once(&self, name: &str, request: &Request) -> Option<Response> {
        let (shard, primary) = self.share.view().home_of(name)?;
        if primary == self.process.name {
            return Some(self.homes.as_ref()?.request(shard, request.clone()).await);
        }
        let request = method::Request {
            shard,
            request: request.clone(),
        };
        match self.peers.ask(&primary, method::REQUEST, &request).await {
            Ok(response) => Some(response),
            Err(error) => {
                log::debug!(target: "entry", to:% = primary, error:% = error; "the home did not answer");
                None
            }
        }
    }
}
