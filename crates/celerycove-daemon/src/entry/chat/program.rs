//! Calls of programs: their home gives leave, and holds the answer before the caller has it whole.

use std::sync::Arc;

use bytes::Bytes;
use celerycove_program::{
    Request as HomeRequest, Response as HomeResponse,
    op::{Answer, CallName, Ending},
    request::Grant,
};
use celerycove_route::Need;
use celerycove_types::{id, label};
use celerycove_wire::{Run, header};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use sha2::{Digest, Sha256};

use super::{
    EXPECTED_SHARE, chat_order,
    parse::{self, Chat},
    relay::{Cut, Relay, channel_body, clean},
};
use crate::{
    entry::{
        Entry,
        admit::Caller,
        dispatch::{Dispatched, Load},
        refuse::Refusal,
        sse::{Event, Scanner},
    },
    http::{Body, answer},
    requests::Guard,
};

/// The chain of calls that name no agent.
const MAIN: &str = "main";

/// A call that its home gave leave to dispatch.
struct Granted {
    name: CallName,
    grant: Grant,
    chat: Chat,
    caller: Caller,
}

impl Entry {
    pub(super) async fn program_call(
        self: &Arc<Self>,
        request: &id::Request,
        caller: Caller,
        headers: &HeaderMap,
        chat: Chat,
        body: &[u8],
    ) -> Result<Response<Body>, Refusal> {
        let name = call_name(headers)?;
        let running = self.process.requests.begin(request);
        let begin = HomeRequest::Begin {
            name: name.clone(),
            organisation: caller.organisation.clone(),
            digest: hex::encode(Sha256::digest(body)).into(),
            turns: chat.turns.clone(),
            turn_tokens: chat.turn_tokens(),
            max_tokens: chat.max_tokens,
            default_tokens: self.setting.max_tokens,
            request: request.clone(),
            entry: self.process.dispatcher(),
        };
        let grant = match self.ask_home(&name.program, begin).await? {
            HomeResponse::Granted(grant) => grant,
            HomeResponse::Recorded(known) => return Ok(repeat(&known, &name, &chat)),
            _ => {
                return Err(Refusal::unavailable(
                    "home_unavailable",
                    "the home gave no answer",
                ));
            }
        };
        let granted = Granted {
            name,
            grant,
            chat,
            caller,
        };
        // The rest goes on if the caller goes away, so that the call gets its ending.
        let entry = self.clone();
        let request = request.clone();
        let headers = headers.clone();
        let work =
            tokio::spawn(async move { entry.run_call(&request, &headers, granted, running).await });
        work.await
            .unwrap_or_else(|_| Err(Refusal::unknown("failed", "the call may have run")))
    }

    async fn run_call(
        self: Arc<Self>,
        request: &id::Request,
        headers: &HeaderMap,
        granted: Granted,
        running: Guard,
    ) -> Result<Response<Body>, Refusal> {
        let grant = &granted.grant;
        let body = granted.chat.write(&grant.history, grant.max_tokens);
        let need = Need {
            prompt: grant.history_tokens
                + super::tokens(body.len().saturating_sub(history_bytes(grant))),
            cached: grant.history_tokens,
            generate: (grant.max_tokens / EXPECTED_SHARE).max(1),
            last: grant.backend.clone(),
            avoid: Vec::new(),
        };
        let mut order = chat_order(
            request,
            &granted.caller,
            &granted.chat,
            headers,
            need,
            body.into(),
        );
        order.program = Some(granted.name.program.clone());
        order.attained = grant.spent;
        match self.dispatch(order).await {
            Ok(dispatched) => self.answer_call(dispatched, granted, running).await,
            Err(refusal) => {
                let ending = match refusal.run {
                    Run::NotRun => Ending::NotRun,
                    Run::Done | Run::Unknown => Ending::Unknown,
                };
                self.settle(&granted, ending).await?;
                Err(refusal)
            }
        }
    }

    async fn answer_call(
        self: Arc<Self>,
        dispatched: Dispatched,
        granted: Granted,
        running: Guard,
    ) -> Result<Response<Body>, Refusal> {
        if !dispatched.response.status().is_success() {
            // The engine refused the request itself; it generated nothing.
            self.settle(&granted, Ending::NotRun).await?;
            return Ok(Relay::pass(&self, dispatched));
        }
        if granted.chat.stream {
            return Ok(self.stream_call(dispatched, granted, running));
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
            return Err(self.lost(&granted, "the answer was cut off").await);
        };
        let Ok(known) = parse::answer(&bytes, &backend) else {
            load.failed(self.process.now());
            return Err(self.lost(&granted, "the answer can't be read").await);
        };
        load.served(self.process.now());
        self.settle(&granted, Ending::Done(known)).await?;
        let mut response = Response::from_parts(parts, crate::http::full(bytes));
        clean(&mut response);
        Ok(response)
    }

    /// Ends a call whose answer was lost; the caller may send it again.
    async fn lost(&self, granted: &Granted, why: &str) -> Refusal {
        // If the ending is lost too, the home finds out when this process is gone or time is up.
        let _ = self.settle(granted, Ending::Unknown).await;
        Refusal::unknown("answer_lost", why)
    }

    async fn settle(&self, granted: &Granted, ending: Ending<Answer>) -> Result<(), Refusal> {
        let settle = HomeRequest::Settle {
            name: granted.name.clone(),
            attempt: granted.grant.attempt,
            ending,
        };
        match self.ask_home(&granted.name.program, settle).await {
            Ok(_) => Ok(()),
            Err(refusal) => Err(Refusal {
                run: Run::Unknown,
                ..refusal
            }),
        }
    }

    fn stream_call(
        self: Arc<Self>,
        dispatched: Dispatched,
        granted: Granted,
        running: Guard,
    ) -> Response<Body> {
        let Dispatched {
            response,
            backend,
            load,
        } = dispatched;
        let (parts, body) = response.into_parts();
        let (frames, passed) = channel_body();
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
        let mut response = Response::from_parts(parts, passed);
        clean(&mut response);
        response
    }
}

/// Passes a stream on; its end mark only once the home holds the answer.
async fn run_stream(mut relay: Relay, granted: Granted, backend: id::Backend, load: Load) {
    let mut scanner = Scanner::collecting(!granted.chat.usage);
    let passed = pass(&mut relay, &mut scanner).await;
    let entry = relay.entry.clone();
    let whole = passed.and_then(|end| {
        let answer = scanner.answer(&backend).ok_or(Cut::Short)?;
        Ok((end, answer))
    });
    match whole {
        Ok((end, answer)) => {
            load.served(entry.process.now());
            match entry.settle(&granted, Ending::Done(answer)).await {
                Ok(()) => {
                    // A caller that has gone meanwhile gets the answer when it sends the call again.
                    let _ = relay.send(end).await;
                }
                Err(refusal) => relay.cut(&load, Cut::Broken(refusal.message.into())).await,
            }
        }
        Err(cut) => {
            // If the ending is lost too, the home finds out when this process is gone.
            let _ = entry.settle(&granted, Ending::Unknown).await;
            relay.cut(&load, cut).await;
        }
    }
}

/// Passes all events but the end mark, which is given back. A caller that goes away does not stop
/// the call: it is paid for and may be asked for again.
async fn pass(relay: &mut Relay, scanner: &mut Scanner) -> Result<Bytes, Cut> {
    loop {
        let Some(data) = relay.next().await? else {
            return Err(Cut::Short);
        };
        let events = scanner
            .take(&data)
            .map_err(|error| Cut::Broken(error.into()))?;
        for event in events {
            match event {
                Event::Pass(event) => {
                    let _ = relay.send(event).await;
                }
                Event::End(event) => return Ok(event),
            }
        }
    }
}

fn history_bytes(grant: &Grant) -> usize {
    grant.history.iter().map(|turn| turn.len()).sum()
}

fn call_name(headers: &HeaderMap) -> Result<CallName, Refusal> {
    let text = |name: &'static str| headers.get(name).and_then(|value| value.to_str().ok());
    let valid = |field: &str, value: Option<&str>| {
        value
            .filter(|value| label::is_valid(value))
            .map(ToOwned::to_owned)
            .ok_or_else(|| {
                Refusal::field(field, "letters, digits and -_./: are allowed, 128 at most")
            })
    };
    let program = valid("Celerycove-Program", text(header::PROGRAM))?;
    let agent = valid("Celerycove-Agent", text(header::AGENT).or(Some(MAIN)))?;
    let call = text(header::CALL).and_then(|value| value.parse::<id::Call>().ok());
    let call = call
        .filter(|call| *call > 0)
        .ok_or_else(|| Refusal::field("Celerycove-Call", "a number from 1 is required"))?;
    Ok(CallName {
        program: program.into(),
        agent: agent.into(),
        call,
    })
}

/// Answers a call that was completed before, in the form that the caller asks for.
fn repeat(known: &Answer, name: &CallName, chat: &Chat) -> Response<Body> {
    let id: Arc<str> = format!("{}-{}-{}", name.program, name.agent, name.call).into();
    let whole = parse::recorded(known, &id);
    let mut response = if chat.stream {
        let mut chunk = whole.clone();
        chunk["object"] = "chat.completion.chunk".into();
        chunk["choices"][0]["delta"] = whole["choices"][0]["message"].clone();
        let body = format!("data: {chunk}\n\ndata: [DONE]\n\n");
        answer(StatusCode::OK, "text/event-stream", body)
    } else {
        answer(StatusCode::OK, "application/json", whole.to_string())
    };
    let headers = response.headers_mut();
    headers.insert(header::RUN, HeaderValue::from_static(Run::Done.as_str()));
    if let Ok(value) = HeaderValue::from_str(&known.backend) {
        headers.insert(header::BACKEND, value);
    }
    debug_assert!(headers.contains_key(CONTENT_TYPE));
    response
}
