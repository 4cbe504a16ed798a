//! A stand-in for a model engine with an OpenAI-compatible chat surface.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use celerycove_types::id;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header,
};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::{
    cache::Cache,
    http::{self, Answer, Body, read_json},
};

/// How the engine behaves.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Requests at once when warm; more than twice as many crash it.
    pub capacity: u32,
    /// How long one token takes to generate.
    pub token: Duration,
    /// How long one token of the prompt takes that is not cached.
    pub prefill: Duration,
    /// Tokens that the prefix cache holds.
    pub cache: id::Tokens,
    /// How long it is cold after a start; it then bears a quarter and takes three times as long.
    pub cold: Duration,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fence: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 16,
            token: Duration::from_millis(2),
            prefill: Duration::from_micros(50),
            cache: 200_000,
            cold: Duration::ZERO,
            checks_fence: false,
        }
    }
}

/// A stand-in engine.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    started: Mutex<Instant>,
    boot: AtomicU64,
    running: AtomicU32,
    served: AtomicU64,
    prefilled: AtomicU64,
    crashes: AtomicU32,
    down: AtomicBool,
    fence: AtomicU64,
    orders: Mutex<Vec<Value>>,
    cache: Mutex<Cache>,
    headers: Mutex<Vec<String>>,
}

/// Counts a running request until it is dropped, however it ends.
struct Running(Arc<Engine>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, SeqCst);
    }
}

/// What to generate.
#[derive(Debug, Clone)]
struct Plan {
    model: String,
    words: Vec<String>,
    prompt: id::Tokens,
    cached: id::Tokens,
    pace: Duration,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts the tokens of a message: one for four bytes, and four for its frame.
#[must_use]
pub fn tokens(message: &str) -> id::Tokens {
    (message.len() as id::Tokens).div_ceil(4) + 4
}

impl Engine {
    /// Creates an engine that starts cold now.
    #[must_use]
    pub fn new(options: Options) -> Arc<Self> {
        Arc::new(Self {
            options,
            started: Mutex::new(Instant::now()),
            boot: AtomicU64::new(1),
            running: AtomicU32::new(0),
            served: AtomicU64::new(0),
            prefilled: AtomicU64::new(0),
            crashes: AtomicU32::new(0),
            down: AtomicBool::new(false),
            fence: AtomicU64::new(0),
            orders: Mutex::new(Vec::new()),
            cache: Mutex::new(Cache::new(options.cache)),
            headers: Mutex::new(Vec::new()),
        })
    }

    /// Serves on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<SocketAddr> {
        http::serve(self.clone(), address).await
    }

    /// Restarts: the cache is lost and the engine is cold again.
    pub fn restart(&self) {
        *locked(&self.started) = Instant::now();
        *locked(&self.cache) = Cache::new(self.options.cache);
        self.boot.fetch_add(1, SeqCst);
    }

    /// Makes all requests fail, or serve again.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, SeqCst);
    }

    /// How often it fell over under more than it bears.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        self.crashes.load(SeqCst)
    }

    /// Requests served to the end.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.served.load(SeqCst)
    }

    /// Names and values of all headers seen, for checks that no key arrives.
    #[must_use]
    pub fn headers_seen(&self) -> Vec<String> {
        locked(&self.headers).clone()
    }

    /// Orders carried out.
    #[must_use]
    pub fn orders(&self) -> Vec<Value> {
        locked(&self.orders).clone()
    }

    fn is_cold(&self) -> bool {
        locked(&self.started).elapsed() < self.options.cold
    }

    fn bearable(&self) -> u32 {
        if self.is_cold() {
            (self.options.capacity / 4).max(1)
        } else {
            self.options.capacity
        }
    }

    fn note_headers(&self, request: &Request<Incoming>) {
        const REMEMBERED: usize = 4096;
        let mut seen = locked(&self.headers);
        if seen.len() < REMEMBERED {
            let lines = request.headers().iter().map(|(name, value)| {
                format!("{name}: {}", String::from_utf8_lossy(value.as_bytes()))
            });
            seen.extend(lines);
        }
    }

    async fn chat(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        if self.down.load(SeqCst) {
            return http::json(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "down"}));
        }
        let echo = request.headers().get("x-request-id").cloned();
        let Some(body) = read_json(request).await else {
            return http::json(StatusCode::BAD_REQUEST, &json!({"error": "not JSON"}));
        };
        let running = self.running.fetch_add(1, SeqCst) + 1;
        let guard = Running(self.clone());
        let bearable = self.bearable();
        if running > bearable * 2 {
            // Falls over: everything cached is lost and it must warm up again.
            self.crashes.fetch_add(1, SeqCst);
            self.restart();
            return http::json(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({"error": "overload"}),
            );
        }
        let plan = self.plan(&body, running, bearable);
        let stream = body["stream"].as_bool().unwrap_or(false);
        let usage = body["stream_options"]["include_usage"]
            .as_bool()
            .unwrap_or(false);
        let uncached = u32::try_from(plan.prompt - plan.cached).unwrap_or(u32::MAX);
        self.prefilled.fetch_add(u64::from(uncached), SeqCst);
        tokio::time::sleep(self.options.prefill * uncached).await;
        let mut response = if stream {
            self.stream(plan, usage, guard)
        } else {
            let tokens = u32::try_from(plan.words.len()).unwrap_or(u32::MAX);
            tokio::time::sleep(plan.pace * tokens).await;
            self.served.fetch_add(1, SeqCst);
            http::json(StatusCode::OK, &plan.whole())
        };
        let headers = response.headers_mut();
        if let Some(echo) = echo {
            headers.insert("x-request-id", echo);
        }
        headers.insert("x-boot-id", self.boot.load(SeqCst).into());
        response
    }

    fn plan(&self, body: &Value, running: u32, bearable: u32) -> Plan {
        let empty = Vec::new();
        let messages = body["messages"].as_array().unwrap_or(&empty);
        let texts: Vec<String> = messages.iter().map(ToString::to_string).collect();
        let prompt = texts.iter().map(|text| tokens(text)).sum();
        let cached = locked(&self.cache).visit(texts.iter().map(|t| (t.as_str(), tokens(t))));
        let limit = body["max_tokens"].as_u64().unwrap_or(64);
        let wanted = body["celerycove_standin_tokens"].as_u64().unwrap_or(24);
        let last = messages.last().map(|m| m["content"].to_string());
        let subject = last.unwrap_or_default();
        let words = (0..limit.min(wanted).max(1))
            .map(|n| match n {
                0 => format!("answer {} to {subject}", messages.len()),
                _ => format!(" {n}"),
            })
            .collect();
        let crowded = f64::from(running.max(1)) / f64::from(bearable);
        let slowdown = if self.is_cold() { 3.0 } else { 1.0 } * crowded.max(1.0);
        Plan {
            model: body["model"].as_str().unwrap_or("stand-in").to_owned(),
            words,
            prompt,
            cached,
            pace: self.options.token.mul_f64(slowdown),
        }
    }

    fn stream(self: &Arc<Self>, plan: Plan, usage: bool, guard: Running) -> Response<Body> {
        let (sender, mut receiver) = mpsc::channel::<Bytes>(4);
        let engine = self.clone();
        tokio::spawn(async move {
            let _guard = guard;
            for chunk in plan.chunks(usage) {
                tokio::time::sleep(plan.pace).await;
                if sender.send(chunk).await.is_err() {
                    return;
                }
            }
            engine.served.fetch_add(1, SeqCst);
        });
        let frames = futures_util::stream::poll_fn(move |context| receiver.poll_recv(context))
            .map(|chunk| Ok(Frame::data(chunk)));
        let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
        let kind = header::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }

    fn load(&self) -> Response<Body> {
        http::json(
            StatusCode::OK,
            &json!({
                "boot": self.boot.load(SeqCst),
                "running": self.running.load(SeqCst),
                "capacity": self.options.capacity,
                "cold": self.is_cold(),
                "cached_tokens": locked(&self.cache).used(),
                "prefilled_tokens": self.prefilled.load(SeqCst),
                "served": self.served(),
                "crashes": self.crashes(),
            }),
        )
    }

    async fn order(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Some(order) = read_json(request).await else {
            return http::json(StatusCode::BAD_REQUEST, &json!({"error": "not JSON"}));
        };
        let fence = order["fence"].as_u64().unwrap_or(0);
        let latest = self.fence.fetch_max(fence, SeqCst);
        if self.options.checks_fence && fence < latest {
            return http::json(StatusCode::CONFLICT, &json!({"error": "old fence"}));
        }
        locked(&self.orders).push(order);
        http::json(StatusCode::OK, &json!({"fence": fence}))
    }
}

impl Plan {
    fn text(&self) -> String {
        self.words.concat()
    }

    fn usage(&self) -> Value {
        let completion = self.words.len();
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": completion,
            "total_tokens": self.prompt + completion as u64,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        })
    }

    fn whole(&self) -> Value {
        json!({
            "id": "chatcmpl-stand-in",
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.text()},
                "finish_reason": "stop",
            }],
            "usage": self.usage(),
        })
    }

    fn chunks(&self, usage: bool) -> Vec<Bytes> {
        let event = |choices: Value, usage: Option<Value>| {
            let mut chunk = json!({
                "id": "chatcmpl-stand-in",
                "object": "chat.completion.chunk",
                "model": self.model,
                "choices": choices,
            });
            if let Some(usage) = usage {
                chunk["usage"] = usage;
            }
            Bytes::from(format!("data: {chunk}\n\n"))
        };
        let mut chunks: Vec<Bytes> = self
            .words
            .iter()
            .map(|word| {
                event(
                    json!([{"index": 0, "delta": {"content": word}, "finish_reason": null}]),
                    None,
                )
            })
            .collect();
        chunks.push(event(
            json!([{"index": 0, "delta": {}, "finish_reason": "stop"}]),
            None,
        ));
        if usage {
            chunks.push(event(json!([]), Some(self.usage())));
        }
        chunks.push(Bytes::from_static(b"data: [DONE]\n\n"));
        chunks
    }
}

impl Answer for Engine {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.note_headers(&request);
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(request).await,
            (&Method::GET, "/engine/load") => self.load(),
            (&Method::POST, "/engine/order") => self.order(request).await,
            (&Method::POST, "/engine/release" | "/engine/cancel") => {
                http::json(StatusCode::OK, &json!({}))
            }
            _ => {
                let mut response = Response::new(Full::default().boxed());
                *response.status_mut() = StatusCode::NOT_FOUND;
                response
            }
        }
    }
}
