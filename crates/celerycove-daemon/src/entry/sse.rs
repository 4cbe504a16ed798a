//! Reads a stream of completion chunks while it passes.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use celerycove_program::op::Answer;
use celerycove_types::id;
use serde_json::{Map, Value, json};

use super::chat::parse::Usage;

/// The longest event; a longer one is no completion chunk.
const LONGEST_EVENT: usize = 4 << 20;

/// What became of one event.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// Pass it on.
    Pass(Bytes),
    /// The end mark: the answer is whole.
    End(Bytes),
}

/// Splits bytes into events and collects the answer that they make.
#[derive(Debug, Default)]
pub struct Scanner {
    buffer: BytesMut,
    collect: bool,
    /// Whether the caller did not ask for the usage that the engine was asked for.
    hide_usage: bool,
    content: String,
    has_content: bool,
    tool_calls: Vec<Map<String, Value>>,
    finish: Option<String>,
    model: Option<String>,
    usage: Option<Usage>,
}

/// A stream that is not made of events.
#[derive(Debug, thiserror::Error)]
#[error("an event is longer than {LONGEST_EVENT} bytes")]
pub struct TooLong;

impl Scanner {
    /// A scanner that only looks for the end mark.
    pub fn passing() -> Self {
        Self::default()
    }

    /// A scanner that collects the answer.
    pub fn collecting(hide_usage: bool) -> Self {
        Self {
            collect: true,
            hide_usage,
            ..Self::default()
        }
    }

    /// Takes bytes in and gives the events that are whole now.
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<Event>, TooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.buffer) {
            let event = self.buffer.split_to(end).freeze();
            events.extend(self.event(event));
        }
        if self.buffer.len() > LONGEST_EVENT {
            return Err(TooLong);
        }
        Ok(events)
    }

    fn event(&mut self, event: Bytes) -> Option<Event> {
        let Some(data) = data(&event) else {
            return Some(Event::Pass(event));
        };
        if data == b"[DONE]" {
            return Some(Event::End(event));
        }
        if !self.collect {
            return Some(Event::Pass(event));
        }
        let Ok(chunk) = serde_json::from_slice::<Value>(data) else {
            return Some(Event::Pass(event));
        };
        let only_usage = chunk["choices"].as_array().is_some_and(Vec::is_empty);
        self.collect_chunk(&chunk);
        if only_usage && self.hide_usage {
            return None;
        }
        Some(Event::Pass(event))
    }

    fn collect_chunk(&mut self, chunk: &Value) {
        if let Some(model) = chunk["model"].as_str() {
            self.model.get_or_insert_with(|| model.to_owned());
        }
        if let Ok(usage) = serde_json::from_value(chunk["usage"].clone()) {
            self.usage = Some(usage);
        }
        let choice = &chunk["choices"][0];
        if let Some(finish) = choice["finish_reason"].as_str() {
            self.finish = Some(finish.to_owned());
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

    /// Joins the parts of a tool call: names come whole, arguments in pieces.
    fn collect_tool_call(&mut self, part: &Value) {
        const MOST_TOOL_CALLS: usize = 1024;
        let index = part["index"].as_u64().unwrap_or(0);
        let index = usize::try_from(index).unwrap_or(MOST_TOOL_CALLS);
        if index >= MOST_TOOL_CALLS {
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
        if let Some(more) = part["function"]["arguments"].as_str() {
            let known = function["arguments"].as_str().unwrap_or_default();
            function["arguments"] = format!("{known}{more}").into();
        }
    }

    /// The answer, if the stream said why it stopped and what it cost.
    pub fn answer(&self, backend: &id::Backend) -> Option<Answer> {
        let usage = self.usage?;
        let finish = self.finish.as_deref()?;
        let mut message = json!({"role": "assistant", "content": null});
        if self.has_content {
            message["content"] = self.content.as_str().into();
        }
        if !self.tool_calls.is_empty() {
            message["tool_calls"] = json!(self.tool_calls);
        }
        Some(Answer {
            message: Arc::from(message.to_string()),
            finish: finish.into(),
            model: self.model.as_deref().unwrap_or_default().into(),
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            backend: backend.clone(),
        })
    }
}

/// Where the first event ends, with its blank line.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let unix = buffer
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2);
    let dos = buffer
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .map(|at| at + 4);
    match (unix, dos) {
        (Some(unix), Some(dos)) => Some(unix.min(dos)),
        (unix, dos) => unix.or(dos),
    }
}

fn data(event: &[u8]) -> Option<&[u8]> {
    event.strip_prefix(b"data:").map(<[u8]>::trim_ascii)
}
