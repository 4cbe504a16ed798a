//! Calls that belong to a program: the program's home grants each call, and records the answer
//! before the caller has received all of it.

use std::sync::Arc;

use bytes::Bytes;
use celerycove_program::{
    Request as HomeRequest, Response as HomeResponse,
    op::{Answer, CallId, Outcome},
    request::Grant,
};
use celerycove_route::Request;
use celerycove_types::{id, label};
use celerycove_wire::{Execution, header};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use sha2::{Digest, Sha256};

use super::{
    EXPECTED_OUTPUT_DIVISOR, dispatch_request,
    parse::{self, Chat},
    relay::{self, Relay, channel_body, rewrite_headers},
};
use crate::{
    entry::{
        Entry,
        admit::Caller,
        dispatch::{Dispatched, LoadGuard},
        refuse::Refusal,
        sse::{Event, Scanner},
    },
    http::{Body, response},
    requests::Guard,
};

/// The agent to which calls without an agent header belong.
const DEFAULT_AGENT: &str = "main";

/// A call that the program's home has granted.
struct GrantedCall {
    name: CallId,
    grant: Grant,
    chat: Chat,
    caller: Caller,
}

impl Entry {
    pub(super) async fn program_call(
        self: &Arc<Self>,
        request_id: &id::Request,
        caller: Caller,
        headers: &HeaderMap,
        chat: Chat,
        body: &[u8],
    ) -> Result<Response<Body>, Refusal> {
        let name = call_name(headers)?;
        let running = self.process.requests.register(request_id);
        let begin = HomeRequest::Begin {
            name: name.clone(),
            organisation: caller.organisation.clone(),
            digest: hex::encode(Sha256::digest(body)).into(),
            turns: chat.turns.clone(),
            turn_tokens: chat.max_turn_tokens(),
            max_tokens: chat.max_tokens,
            default_tokens: self.setting.max_tokens,
            request: request_id.clone(),
            entry: self.process.dispatcher(),
        };
        let grant = match self.send_to_home(&name.program, begin).await? {
            HomeResponse::Granted(grant) => grant,
            HomeResponse::Recorded(answer) => return Ok(recorded_response(&answer, &name, &chat)),
            _ => {
                return Err(Refusal::unavailable(
                    "home_unavailable",
                    "the home gave no answer",
                ));
            }
        };
        let granted = GrantedCall {
            name,
            grant,
            chat,
            caller,
        };
        // A task of its own continues if the caller disconnects, so that the call is always
        // settled.
        let entry = self.clone();
        let request_id = request_id.clone();
        let headers = headers.clone();
        let task = tokio::spawn(async move {
            entry
                .run_call(&request_id, &headers, granted, running)
                .await
        });
        task.await
            .unwrap_or_else(|_| Err(Refusal::may_have_run("failed", "the call may have run")))
    }

    async fn run_call(
        self: Arc<Self>,
        request_id: &id::Request,
        headers: &HeaderMap,
        granted: GrantedCall,
        running: Guard,
    ) -> Result<Response<Body>, Refusal> {
        let grant = &granted.grant;
        let body = granted
            .chat
            .engine_request(&grant.history, grant.max_tokens);
        let route_request = Request {
            prompt_tokens: grant.history_tokens
                + super::estimate_tokens(body.len().saturating_sub(history_bytes(grant))),
            cached_tokens: grant.history_tokens,
            output_tokens: (grant.max_tokens / EXPECTED_OUTPUT_DIVISOR).max(1),
            last_backend: grant.backend.clone(),
            excluded: Vec::new(),
        };
        let mut request = dispatch_request(
            request_id,
            &granted.caller,
            &granted.chat,
            headers,
            route_request,
            body.into(),
        );
        request.program = Some(granted.name.program.clone());
        request.attained_tokens = grant.spent;
        match self.dispatch(request).await {
            Ok(dispatched) => self.relay_answer(dispatched, granted, running).await,
            Err(refusal) => {
                let ending = match refusal.run {
                    Execution::NotRun => Outcome::NotRun,
                    Execution::Done | Execution::Unknown => Outcome::Unknown,
                };
                self.settle(&granted, ending).await?;
                Err(refusal)
            }
        }
    }

    async fn relay_answer(
        self: Arc<Self>,
        dispatched: Dispatched,
        granted: GrantedCall,
        running: Guard,
    ) -> Result<Response<Body>, Refusal> {
        if !dispatched.response.status().is_success() {
            // The engine rejected the request before it generated anything.
            self.settle(&granted, Outcome::NotRun).await?;
            return Ok(Relay::forward(&self, dispatched));
        }
        if granted.chat.stream {
            return Ok(self.relay_stream(dispatched, granted, running));
        }
        let Dispatched {
            response,
            backend,
            load,
        } = dispatched;
        let (parts, body) = response.into_parts();
        let collected = tokio::time::timeout(self.setting.answer_timeout.0, body.collect()).await;
        let bytes = if let Ok(Ok(collected)) = collected {
            collected.to_bytes()
        } else {
            load.failed(self.process.now());
            return Err(self.settle_lost(&granted, "the answer was cut off").await);
        };
        let Ok(answer) = parse::parse_answer(&bytes, &backend) else {
            load.failed(self.process.now());
            return Err(self.settle_lost(&granted, "the answer can't be read").await);
        };
        load.served(self.process.now());
        self.settle(&granted, Outcome::Done(answer)).await?;
        let mut response = Response::from_parts(parts, crate::http::full_body(bytes));
        rewrite_headers(&mut response);
        Ok(response)
    }

    /// Settles a call whose answer was lost; the caller may send it again.
    async fn settle_lost(&self, granted: &GrantedCall, message: &str) -> Refusal {
        // If the home can't be reached either, it settles the call itself, once this process has
        // ended or the retention time of pending calls has passed.
        let _ = self.settle(granted, Outcome::Unknown).await;
        Refusal::may_have_run("answer_lost", message)
    }

    /// Reports to the home how the call ended.
    async fn settle(&self, granted: &GrantedCall, ending: Outcome<Answer>) -> Result<(), Refusal> {
        let settle = HomeRequest::Settle {
            name: granted.name.clone(),
            attempt: granted.grant.attempt,
            ending,
        };
        match self.send_to_home(&granted.name.program, settle).await {
            Ok(_) => Ok(()),
            Err(refusal) => Err(Refusal {
                run: Execution::Unknown,
                ..refusal
            }),
        }
    }

    fn relay_stream(
        self: Arc<Self>,
        dispatched: Dispatched,
        granted: GrantedCall,
        running: Guard,
    ) -> Response<Body> {
        let Dispatched {
            response,
            backend,
            load,
        } = dispatched;
        let (parts, body) = response.into_parts();
        let (frames, caller_body) = channel_body();
        let relay = Relay {
            entry: self,
            caller: Some(granted.caller.clone()),
            body,
            frames,
        };
        tokio::spawn(async move {
            run_stream(relay, granted, backend, load).await;
            drop(running);
        });
        let mut response = Response::from_parts(parts, caller_body);
        rewrite_headers(&mut response);
        response
    }
}

/// Forwards a stream, but its `[DONE]` event only once the home has recorded the answer.
async fn run_stream(mut relay: Relay, granted: GrantedCall, backend: id::Backend, load: LoadGuard) {
    let mut scanner = Scanner::collecting(!granted.chat.include_usage);
    let forwarded = forward_until_done(&mut relay, &mut scanner).await;
    let entry = relay.entry.clone();
    let completed = forwarded.and_then(|done_event| {
        let answer = scanner.answer(&backend).ok_or(relay::Error::Truncated)?;
        Ok((done_event, answer))
    });
    match completed {
        Ok((done_event, answer)) => {
            load.served(entry.process.now());
            match entry.settle(&granted, Outcome::Done(answer)).await {
                Ok(()) => {
                    // A caller that has disconnected gets the answer when it sends the call again.
                    let _ = relay.send(done_event).await;
                }
                Err(refusal) => {
                    let error = relay::Error::Broken(refusal.message.into());
                    relay.abort(&load, error).await;
                }
            }
        }
        Err(error) => {
            // If the home can't be reached either, it settles the call itself, once this process
            // has ended.
            let _ = entry.settle(&granted, Outcome::Unknown).await;
            relay.abort(&load, error).await;
        }
    }
}

/// Forwards all events up to the `[DONE]` event, which is returned instead. The call continues if
/// the caller disconnects: its tokens are charged, and the caller may request the answer again.
async fn forward_until_done(
    relay: &mut Relay,
    scanner: &mut Scanner,
) -> Result<Bytes, relay::Error> {
    loop {
        let Some(data) = relay.next_data().await? else {
            return Err(relay::Error::Truncated);
        };
        let events = scanner
            .push(&data)
            .map_err(|error| relay::Error::Broken(error.into()))?;
        for event in events {
            match event {
                Event::Forward(event) => {
                    let _ = relay.send(event).await;
                }
                Event::Done(event) => return Ok(event),
            }
        }
    }
}

fn history_bytes(grant: &Grant) -> usize {
    grant.history.iter().map(|turn| turn.len()).sum()
}

/// Parses the program, agent and number of a call from the headers.
fn call_name(headers: &HeaderMap) -> Result<CallId, Refusal> {
    let text = |name: &'static str| headers.get(name).and_then(|value| value.to_str().ok());
    let valid = |field: &str, value: Option<&str>| {
        value
            .filter(|value| label::is_valid(value))
            .map(ToOwned::to_owned)
            .ok_or_else(|| {
                Refusal::invalid_field(field, "letters, digits and -_./: are allowed, 128 at most")
            })
    };
    let program = valid("Celerycove-Program", text(header::PROGRAM))?;
    let agent = valid(
        "Celerycove-Agent",
        text(header::AGENT).or(Some(DEFAULT_AGENT)),
    )?;
    let call = text(header::CALL).and_then(|value| value.parse::<id::Call>().ok());
    let call = call
        .filter(|call| *call > 0)
        .ok_or_else(|| Refusal::invalid_field("Celerycove-Call", "a number from 1 is required"))?;
    Ok(CallId {
        program: program.into(),
        agent: agent.into(),
        call,
    })
}

/// Answers a call that was completed earlier, as a stream if the caller requests one.
fn recorded_response(recorded: &Answer, name: &CallId, chat: &Chat) -> Response<Body> {
    let id: Arc<str> = format!("{}-{}-{}", name.program, name.agent, name.call).into();
    let completion = parse::recorded_completion(recorded, &id);
    let mut response = if chat.stream {
        let mut chunk = completion.clone();
        chunk["object"] = "chat.completion.chunk".into();
        chunk["choices"][0]["delta"] = completion["choices"][0]["message"].clone();
        let body = format!("data: {chunk}\n\ndata: [DONE]\n\n");
        response(StatusCode::OK, "text/event-stream", body)
    } else {
        response(StatusCode::OK, "application/json", completion.to_string())
    };
    let headers = response.headers_mut();
    headers.insert(
        header::RUN,
        HeaderValue::from_static(Execution::Done.as_str()),
    );
    if let Ok(value) = HeaderValue::from_str(&recorded.backend) {
        headers.insert(header::BACKEND, value);
    }
    debug_assert!(headers.contains_key(CONTENT_TYPE));
    response
}
