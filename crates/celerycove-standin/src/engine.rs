//! A stand-in for a model engine with an OpenAI-compatible chat API.

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
    http::{self, Body, Handler, read_json},
};

/// Performance and limits of the engine.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Concurrent requests that the warm engine runs at full speed; more than twice as many crash
    /// it.
    pub capacity: u32,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Time to process one prompt token that is not cached.
    pub prefill_time: Duration,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: id::Tokens,
    /// Length of the cold phase after a start, during which the capacity is a quarter and
    /// generating a token takes three times as long.
    pub cold_time: Duration,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_fence: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 16,
            token_time: Duration::from_millis(2),
            prefill_time: Duration::from_micros(50),
            cache_tokens: 200_000,
            cold_time: Duration::ZERO,
            checks_fence: false,
        }
    }
}

/// A simulated model engine.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    started: Mutex<Instant>,
    /// Number of the current start, from 1.
    boot: AtomicU64,
    running: AtomicU32,
    served: AtomicU64,
    /// Prompt tokens processed because they were not cached.
    prefilled: AtomicU64,
    crashes: AtomicU32,
    down: AtomicBool,
    /// The highest fencing token of an order.
    fence: AtomicU64,
    orders: Mutex<Vec<Value>>,
    cache: Mutex<Cache>,
    headers: Mutex<Vec<String>>,
}

/// Decrements the number of running requests when a request ends, also if it is cancelled.
struct RunningGuard(Arc<Engine>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, SeqCst);
    }
}

/// The generated answer to one request, with its cost.
#[derive(Debug, Clone)]
struct Completion {
    model: String,
    /// The text of each token.
    tokens: Vec<String>,
    prompt_tokens: id::Tokens,
    cached_tokens: id::Tokens,
    /// Time to generate one token at the present load.
    token_time: Duration,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Estimates the tokens of a message: one for four bytes, and four for the role and delimiters.
#[must_use]
pub fn estimate_tokens(message: &str) -> id::Tokens {
    (message.len() as id::Tokens).div_ceil(4) + 4
}

impl Engine {
    /// Creates an engine whose cold phase starts now.
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
            cache: Mutex::new(Cache::new(options.cache_tokens)),
            headers: Mutex::new(Vec::new()),
        })
    }

    /// Starts serving on an address and returns the address that it is bound to.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<SocketAddr> {
        http::serve(self.clone(), address).await
    }

    /// Restarts the engine with an empty cache and a new cold phase.
    pub fn restart(&self) {
        *lock(&self.started) = Instant::now();
        *lock(&self.cache) = Cache::new(self.options.cache_tokens);
        self.boot.fetch_add(1, SeqCst);
    }

    /// Sets whether chat requests fail with status 503.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, SeqCst);
    }

    /// Returns how often it crashed because of overload.
    #[must_use]
    pub fn crashes(&self) -> u32 {
        self.crashes.load(SeqCst)
    }

    /// Returns the number of completed requests.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.served.load(SeqCst)
    }

    /// Returns the headers of received requests as `name: value`, so that tests can check that no
    /// API key is forwarded. Stops recording once it holds 4096 headers.
    #[must_use]
    pub fn headers_seen(&self) -> Vec<String> {
        lock(&self.headers).clone()
    }

    /// Returns the orders that were accepted.
    #[must_use]
    pub fn orders(&self) -> Vec<Value> {
        lock(&self.orders).clone()
    }

    fn is_cold(&self) -> bool {
        lock(&self.started).elapsed() < self.options.cold_time
    }

    fn effective_capacity(&self) -> u32 {
        if self.is_cold() {
            (self.options.capacity / 4).max(1)
        } else {
            self.options.capacity
        }
    }

    fn record_headers(&self, request: &Request<Incoming>) {
        const MAX_RECORDED_HEADERS: usize = 4096;
        let mut seen = lock(&self.headers);
        if seen.len() < MAX_RECORDED_HEADERS {
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
        let request_id = request.headers().get("x-request-id").cloned();
        let Some(body) = read_json(request).await else {
            return http::json(StatusCode::BAD_REQUEST, &json!({"error": "not JSON"}));
        };
        let running = self.running.fetch_add(1, SeqCst) + 1;
        let running_guard = RunningGuard(self.clone());
        let effective_capacity = self.effective_capacity();
        if running > effective_capacity * 2 {
            // A crash loses the cache and starts a new cold phase.
            self.crashes.fetch_add(1, SeqCst);
            self.restart();
            return http::json(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({"error": "overload"}),
            );
        }
        let completion = self.generate(&body, running, effective_capacity);
        let stream = body["stream"].as_bool().unwrap_or(false);
        let include_usage = body["stream_options"]["include_usage"]
            .as_bool()
            .unwrap_or(false);
        let uncached =
            u32::try_from(completion.prompt_tokens - completion.cached_tokens).unwrap_or(u32::MAX);
        self.prefilled.fetch_add(u64::from(uncached), SeqCst);
        tokio::time::sleep(self.options.prefill_time * uncached).await;
        let mut response = if stream {
            self.stream(completion, include_usage, running_guard)
        } else {
            let tokens = u32::try_from(completion.tokens.len()).unwrap_or(u32::MAX);
            tokio::time::sleep(completion.token_time * tokens).await;
            self.served.fetch_add(1, SeqCst);
            http::json(StatusCode::OK, &completion.response_body())
        };
        let headers = response.headers_mut();
        if let Some(request_id) = request_id {
            headers.insert("x-request-id", request_id);
        }
        headers.insert("x-boot-id", self.boot.load(SeqCst).into());
        response
    }

    fn generate(&self, body: &Value, running: u32, effective_capacity: u32) -> Completion {
        let empty = Vec::new();
        let messages = body["messages"].as_array().unwrap_or(&empty);
        let texts: Vec<String> = messages.iter().map(ToString::to_string).collect();
        let prompt_tokens = texts.iter().map(|text| estimate_tokens(text)).sum();
        let cached_tokens = lock(&self.cache).lookup_and_insert(
            texts
                .iter()
                .map(|text| (text.as_str(), estimate_tokens(text))),
        );
        let max_tokens = body["max_tokens"].as_u64().unwrap_or(64);
        let answer_tokens = body["celerycove_standin_tokens"].as_u64().unwrap_or(24);
        let last_content = messages
            .last()
            .map(|message| message["content"].to_string())
            .unwrap_or_default();
        let tokens = (0..max_tokens.min(answer_tokens).max(1))
            .map(|index| match index {
                0 => format!("answer {} to {last_content}", messages.len()),
                _ => format!(" {index}"),
            })
            .collect();
        let utilisation = f64::from(running.max(1)) / f64::from(effective_capacity);
        let slowdown = if self.is_cold() { 3.0 } else { 1.0 } * utilisation.max(1.0);
        Completion {
            model: body["model"].as_str().unwrap_or("stand-in").to_owned(),
            tokens,
            prompt_tokens,
            cached_tokens,
            token_time: self.options.token_time.mul_f64(slowdown),
        }
    }

    fn stream(
        self: &Arc<Self>,
        completion: Completion,
        include_usage: bool,
        running_guard: RunningGuard,
    ) -> Response<Body> {
        let (sender, mut receiver) = mpsc::channel::<Bytes>(4);
        let engine = self.clone();
        tokio::spawn(async move {
            let _running_guard = running_guard;
            for chunk in completion.chunks(include_usage) {
                tokio::time::sleep(completion.token_time).await;
                if sender.send(chunk).await.is_err() {
                    return;
                }
            }
            engine.served.fetch_add(1, SeqCst);
        });
        let frames = futures_util::stream::poll_fn(move |context| receiver.poll_recv(context))
            .map(|chunk| Ok(Frame::data(chunk)));
        let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
        let content_type = header::HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
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
                "cached_tokens": lock(&self.cache).used(),
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
        let highest_fence = self.fence.fetch_max(fence, SeqCst);
        if self.options.checks_fence && fence < highest_fence {
            return http::json(StatusCode::CONFLICT, &json!({"error": "old fence"}));
        }
        lock(&self.orders).push(order);
        http::json(StatusCode::OK, &json!({"fence": fence}))
    }
}

impl Completion {
    fn text(&self) -> String {
        self.tokens.concat()
    }

    fn usage(&self) -> Value {
        let completion_tokens = self.tokens.len();
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": self.prompt_tokens + completion_tokens as u64,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        })
    }

    /// Returns the body of a response that is not streamed.
    fn response_body(&self) -> Value {
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

    /// Returns the server-sent events of a streamed response.
    fn chunks(&self, include_usage: bool) -> Vec<Bytes> {
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
            .tokens
            .iter()
            .map(|token| {
                event(
                    json!([{"index": 0, "delta": {"content": token}, "finish_reason": null}]),
                    None,
                )
            })
            .collect();
        chunks.push(event(
            json!([{"index": 0, "delta": {}, "finish_reason": "stop"}]),
            None,
        ));
        if include_usage {
            chunks.push(event(json!([]), Some(self.usage())));
        }
        chunks.push(Bytes::from_static(b"data: [DONE]\n\n"));
        chunks
    }
}

impl Handler for Engine {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        self.record_headers(&request);
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
