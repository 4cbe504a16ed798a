//! Parses a stream of completion chunks (server-sent events) while it is forwarded.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use celerycove_program::op::Answer;
use celerycove_types::id;
use serde_json::{Map, Value, json};

use super::chat::parse::Usage;

/// The longest event in bytes; a longer one is no completion chunk.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// What to do with one event of the stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// Forward it to the caller.
    Forward(Bytes),
    /// The `[DONE]` event: the answer is complete.
    Done(Bytes),
}

/// Splits bytes into events and collects the answer that they form.
#[derive(Debug, Default)]
pub struct Scanner {
    buffer: BytesMut,
    collect: bool,
    /// Whether to drop the event with the token usage, which the entry requested from the engine
    /// but the caller did not request.
    hide_usage: bool,
    content: String,
    has_content: bool,
    tool_calls: Vec<Map<String, Value>>,
    finish_reason: Option<String>,
    model: Option<String>,
    usage: Option<Usage>,
}

/// An event exceeds the size limit.
#[derive(Debug, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

impl Scanner {
    /// Creates a scanner that only looks for the `[DONE]` event.
    pub fn done_only() -> Self {
        Self::default()
    }

    /// Creates a scanner that also collects the answer.
    pub fn collecting(hide_usage: bool) -> Self {
        Self {
            collect: true,
            hide_usage,
            ..Self::default()
        }
    }

    /// Adds bytes and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, TooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end).freeze();
            events.extend(self.handle_event(event));
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        Ok(events)
    }

    /// Returns what to do with an event; `None` if it is dropped.
    fn handle_event(&mut self, event: Bytes) -> Option<Event> {
        let Some(data) = event_data(&event) else {
            return Some(Event::Forward(event));
        };
        if data == b"[DONE]" {
            return Some(Event::Done(event));
        }
        if !self.collect {
            return Some(Event::Forward(event));
        }
        let Ok(chunk) = serde_json::from_slice::<Value>(data) else {
            return Some(Event::Forward(event));
        };
        let is_usage_only = chunk["choices"].as_array().is_some_and(Vec::is_empty);
        self.collect_chunk(&chunk);
        if is_usage_only && self.hide_usage {
            return None;
        }
        Some(Event::Forward(event))
    }

    fn collect_chunk(&mut self, chunk: &Value) {
        if let Some(model) = chunk["model"].as_str() {
            self.model.get_or_insert_with(|| model.to_owned());
        }
        if let Ok(usage) = serde_json::from_value(chunk["usage"].clone()) {
            self.usage = Some(usage);
        }
        let choice = &chunk["choices"][0];
        if let Some(finish_reason) = choice["finish_reason"].as_str() {
            self.finish_reason = Some(finish_reason.to_owned());
        }
        if let Some(content) = choice["delta"]["content"].as_str() {
            self.content.push_str(content);
            self.has_content = true;
        }
        let parts = choice["delta"]["tool_calls"].as_array();
        for part in parts.into_iter().flatten() {
            self.collect_tool_call(part);
        }
    }

    /// Merges a part of a tool call: names arrive complete, arguments in fragments.
    fn collect_tool_call(&mut self, part: &Value) {
        const MAX_TOOL_CALLS: usize = 1024;
        let index = part["index"].as_u64().unwrap_or(0);
        let index = usize::try_from(index).unwrap_or(MAX_TOOL_CALLS);
        if index >= MAX_TOOL_CALLS {
            return;
        }
        if self.tool_calls.len() <= index {
            self.tool_calls.resize_with(index + 1, Map::new);
        }
        let call = &mut self.tool_calls[index];
        for key in ["id", "type"] {
            if part[key].is_string() {
                call.insert(key.to_owned(), part[key].clone());
            }
        }
        let function = call
            .entry("function")
            .or_insert_with(|| json!({"arguments": ""}));
        if part["function"]["name"].is_string() {
            function["name"] = part["function"]["name"].clone();
        }
        if let Some(fragment) = part["function"]["arguments"].as_str() {
            let previous = function["arguments"].as_str().unwrap_or_default();
            function["arguments"] = format!("{previous}{fragment}").into();
        }
    }

    /// Returns the collected answer, if the stream contained a finish reason and the token usage.
    pub fn answer(&self, backend: &id::Backend) -> Option<Answer> {
        let usage = self.usage?;
        let finish_reason = self.finish_reason.as_deref()?;
        let mut message = json!({"role": "assistant", "content": null});
        if self.has_content {
            message["content"] = self.content.as_str().into();
        }
        if !self.tool_calls.is_empty() {
            message["tool_calls"] = json!(self.tool_calls);
        }
        Some(Answer {
            message: Arc::from(message.to_string()),
            finish: finish_reason.into(),
            model: self.model.as_deref().unwrap_or_default().into(),
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            backend: backend.clone(),
        })
    }
}

/// Returns the length of the first event in bytes, including the blank line that ends it.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let lf_end = buffer
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2);
    let crlf_end = buffer
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .map(|at| at + 4);
    match (lf_end, crlf_end) {
        (Some(lf_end), Some(crlf_end)) => Some(lf_end.min(crlf_end)),
        (lf_end, crlf_end) => lf_end.or(crlf_end),
    }
}

fn event_data(event: &[u8]) -> Option<&[u8]> {
    event.strip_prefix(b"data:").map(<[u8]>::trim_ascii)
}
