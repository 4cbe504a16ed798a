//! Chat completions: single calls and calls of programs.

pub(super) mod parse;
pub(super) mod program;
pub(super) mod relay;

use std::sync::Arc;

use celerycove_route::{Need, pool::Target};
use celerycove_types::id;
use celerycove_wire::header;
use hyper::{HeaderMap, Method, Request, Response, body::Incoming};

use super::{Entry, admit::Caller, dispatch::Order, refuse::Refusal, service::passed};
use crate::http::Body;
use parse::Chat;
use relay::Relay;

/// The path of completions, at callers and at engines.
const PATH: &str = "/v1/chat/completions";
/// Tokens that a call is expected to generate, of the most that it may.
const EXPECTED_SHARE: id::Tokens = 4;
/// Bytes of JSON for one token, on average.
const BYTES_PER_TOKEN: usize = 4;

impl Entry {
    pub(super) async fn chat(
        self: &Arc<Self>,
        name: &id::Request,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let caller = self.authenticate(request.headers())?;
        let (parts, body) = request.into_parts();
        let bytes = self.read(body).await?;
        let chat = Chat::parse(&bytes)?;
        self.admit(&caller).await?;
        if parts.headers.contains_key(header::PROGRAM) {
            return self
                .program_call(name, caller, &parts.headers, chat, &bytes)
                .await;
        }
        let max_tokens = chat.max_tokens.unwrap_or(self.setting.max_tokens);
        let need = Need {
            prompt: tokens(bytes.len()),
            generate: (max_tokens / EXPECTED_SHARE).max(1),
            ..Need::default()
        };
        let order = chat_order(name, &caller, &chat, &parts.headers, need, bytes);
        let dispatched = self.dispatch(order).await?;
        Ok(Relay::chat(self, caller, dispatched, chat.stream))
    }
}

/// Estimates the tokens of so many bytes of JSON.
fn tokens(bytes: usize) -> id::Tokens {
    (bytes / BYTES_PER_TOKEN) as id::Tokens
}

fn chat_order(
    name: &id::Request,
    caller: &Caller,
    chat: &Chat,
    headers: &HeaderMap,
    need: Need,
    body: bytes::Bytes,
) -> Order {
    Order {
        request: name.clone(),
        organisation: Some(caller.organisation.clone()),
        weight: caller.weight,
        program: None,
        attained: 0,
        target: Target::Model(chat.model.clone()),
        need,
        // Generating text again changes nothing outside.
        repeatable: true,
        method: Method::POST,
        path: PATH.to_owned(),
        headers: passed(headers),
        body,
    }
}
