//! The chat completions API: single calls and calls that belong to a program.

pub(super) mod parse;
pub(super) mod program;
pub(super) mod relay;

use std::sync::Arc;

use celerycove_route::{Request as RouteRequest, pool::Target};
use celerycove_types::id;
use celerycove_wire::header;
use hyper::{HeaderMap, Method, Request, Response, body::Incoming};

use super::{
    Entry, admit::Caller, dispatch::DispatchRequest, refuse::Refusal, service::forwarded_headers,
};
use crate::http::Body;
use parse::Chat;
use relay::Relay;

/// The path of completions, both of this API and of the engines'.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// A call is expected to generate its token limit divided by this.
const EXPECTED_OUTPUT_DIVISOR: id::Tokens = 4;
/// The average number of bytes of JSON per token.
const BYTES_PER_TOKEN: usize = 4;

impl Entry {
    pub(super) async fn chat(
        self: &Arc<Self>,
        request_id: &id::Request,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let caller = self.authenticate(request.headers())?;
        let (parts, body) = request.into_parts();
        let bytes = self.read_body(body).await?;
        let chat = Chat::parse(&bytes)?;
        self.admit(&caller).await?;
        if parts.headers.contains_key(header::PROGRAM) {
            return self
                .program_call(request_id, caller, &parts.headers, chat, &bytes)
                .await;
        }
        let max_tokens = chat.max_tokens.unwrap_or(self.setting.max_tokens);
        let route_request = RouteRequest {
            prompt_tokens: estimate_tokens(bytes.len()),
            output_tokens: (max_tokens / EXPECTED_OUTPUT_DIVISOR).max(1),
            ..RouteRequest::default()
        };
        let request = dispatch_request(
            request_id,
            &caller,
            &chat,
            &parts.headers,
            route_request,
            bytes,
        );
        let dispatched = self.dispatch(request).await?;
        Ok(Relay::forward_chat(self, caller, dispatched, chat.stream))
    }
}

/// Estimates the number of tokens in JSON of this length.
fn estimate_tokens(bytes: usize) -> id::Tokens {
    (bytes / BYTES_PER_TOKEN) as id::Tokens
}

fn dispatch_request(
    request_id: &id::Request,
    caller: &Caller,
    chat: &Chat,
    headers: &HeaderMap,
    route_request: RouteRequest,
    body: bytes::Bytes,
) -> DispatchRequest {
    DispatchRequest {
        request_id: request_id.clone(),
        organisation: Some(caller.organisation.clone()),
        weight: caller.weight,
        program: None,
        attained_tokens: 0,
        target: Target::Model(chat.model.clone()),
        route_request,
        // Generating text has no side effects, so it may be repeated.
        retryable: true,
        method: Method::POST,
        path: COMPLETIONS_PATH.to_owned(),
        headers: forwarded_headers(headers),
        body,
    }
}
