//! Reads a chat request without decoding the messages, and writes the one for the engine.

use std::{collections::BTreeMap, sync::Arc};

use celerycove_program::op::{Answer, Turn};
use celerycove_types::id;
use serde::Deserialize;
use serde_json::{Value, value::RawValue};

use crate::entry::refuse::Refusal;

/// Bytes that a message may add to a prompt besides its own, as an upper bound.
const FRAME_BYTES: usize = 16;

/// A chat request.
#[derive(Debug)]
pub struct Chat {
    pub model: String,
    pub stream: bool,
    pub max_tokens: Option<id::Tokens>,
    /// Whether the caller wants the usage at the end of a stream.
    pub usage: bool,
    pub turns: Vec<Turn>,
    /// All other fields, as they came.
    rest: BTreeMap<String, Box<RawValue>>,
}

impl Chat {
    pub fn parse(bytes: &[u8]) -> Result<Self, Refusal> {
        let mut fields: BTreeMap<String, Box<RawValue>> =
            serde_json::from_slice(bytes).map_err(|error| Refusal::field("body", error))?;
        let model: String = required(&mut fields, "model")?;
        let messages: Vec<Box<RawValue>> = required(&mut fields, "messages")?;
        if messages.is_empty() {
            return Err(Refusal::field("messages", "at least one is needed"));
        }
        for (at, message) in messages.iter().enumerate() {
            check_message(at, message)?;
        }
        let limit: Option<id::Tokens> = optional(&mut fields, "max_tokens")?;
        let newer: Option<id::Tokens> = optional(&mut fields, "max_completion_tokens")?;
        let max_tokens = newer.or(limit);
        if max_tokens == Some(0) {
            return Err(Refusal::field("max_tokens", "must be at least 1"));
        }
        let options: Option<Value> = optional(&mut fields, "stream_options")?;
        let usage = options.is_some_and(|options| options["include_usage"] == Value::Bool(true));
        Ok(Self {
            model,
            stream: optional(&mut fields, "stream")?.unwrap_or(false),
            max_tokens,
            usage,
            turns: messages
                .iter()
                .map(|message| message.get().into())
                .collect(),
            rest: fields,
        })
    }

    /// The most tokens that the new turns can count.
    pub fn turn_tokens(&self) -> id::Tokens {
        let bytes: usize = self.turns.iter().map(|turn| turn.len() + FRAME_BYTES).sum();
        bytes as id::Tokens
    }

    /// Writes the request for the engine, with the whole history.
    pub fn write(&self, history: &[Turn], max_tokens: id::Tokens) -> String {
        let length: usize = history
            .iter()
            .chain(&self.turns)
            .map(|turn| turn.len() + 1)
            .sum();
        let mut text = String::with_capacity(length + 1024);
        text.push_str("{\"model\":");
        text.push_str(&Value::from(self.model.as_str()).to_string());
        text.push_str(",\"messages\":[");
        for (at, turn) in history.iter().chain(&self.turns).enumerate() {
            if at > 0 {
                text.push(',');
            }
            text.push_str(turn);
        }
        text.push_str("],\"max_tokens\":");
        text.push_str(&max_tokens.to_string());
        if self.stream {
            text.push_str(",\"stream\":true,\"stream_options\":{\"include_usage\":true}");
        }
        for (key, value) in &self.rest {
            text.push(',');
            text.push_str(&Value::from(key.as_str()).to_string());
            text.push(':');
            text.push_str(value.get());
        }
        text.push('}');
        text
    }
}

fn check_message(at: usize, message: &RawValue) -> Result<(), Refusal> {
    #[derive(Deserialize)]
    struct Shape {
        role: String,
    }
    let field = format!("messages[{at}]");
    let shape: Shape =
        serde_json::from_str(message.get()).map_err(|error| Refusal::field(&field, error))?;
    if shape.role.is_empty() {
        return Err(Refusal::field(&field, "role is empty"));
    }
    Ok(())
}

fn optional<T: for<'de> Deserialize<'de>>(
    fields: &mut BTreeMap<String, Box<RawValue>>,
    name: &str,
) -> Result<Option<T>, Refusal> {
    match fields.remove(name) {
        Some(value) => {
            serde_json::from_str(value.get()).map_err(|error| Refusal::field(name, error))
        }
        None => Ok(None),
    }
}

fn required<T: for<'de> Deserialize<'de>>(
    fields: &mut BTreeMap<String, Box<RawValue>>,
    name: &str,
) -> Result<T, Refusal> {
    optional(fields, name)?.ok_or_else(|| Refusal::field(name, "is missing"))
}

/// Reads the answer to a call that is not streamed.
pub fn answer(bytes: &[u8], backend: &id::Backend) -> Result<Answer, serde_json::Error> {
    #[derive(Deserialize)]
    struct Completion {
        model: Option<String>,
        choices: [Choice; 1],
        usage: Usage,
    }
    #[derive(Deserialize)]
    struct Choice {
        message: Box<RawValue>,
        finish_reason: Option<String>,
    }
    let completion: Completion = serde_json::from_slice(bytes)?;
    let [choice] = completion.choices;
    Ok(Answer {
        message: choice.message.get().into(),
        finish: choice.finish_reason.as_deref().unwrap_or("stop").into(),
        model: completion.model.as_deref().unwrap_or_default().into(),
        prompt_tokens: completion.usage.prompt_tokens,
        completion_tokens: completion.usage.completion_tokens,
        backend: backend.clone(),
    })
}

/// Tokens as the engine counts them.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Usage {
    pub prompt_tokens: id::Tokens,
    pub completion_tokens: id::Tokens,
}

/// Writes the answer of a call that was completed before.
pub fn recorded(answer: &Answer, call: &Arc<str>) -> Value {
    let message: Value = serde_json::from_str(&answer.message).unwrap_or_default();
    serde_json::json!({
        "id": format!("chatcmpl-{call}"),
        "object": "chat.completion",
        "model": answer.model,
        "choices": [{"index": 0, "message": message, "finish_reason": answer.finish}],
        "usage": {
            "prompt_tokens": answer.prompt_tokens,
            "completion_tokens": answer.completion_tokens,
            "total_tokens": answer.prompt_tokens + answer.completion_tokens,
        },
    })
}
