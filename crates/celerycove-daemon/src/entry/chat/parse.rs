//! Parses chat requests without decoding their messages, and writes the requests to engines.

use std::{collections::BTreeMap, sync::Arc};

use celerycove_program::op::{Answer, ChatMessage};
use celerycove_types::id;
use serde::Deserialize;
use serde_json::{Value, value::RawValue};

use crate::entry::refuse::Refusal;

/// An upper bound of the bytes that the engine's prompt template adds to a message.
const MESSAGE_OVERHEAD_BYTES: usize = 16;

/// A parsed chat request.
#[derive(Debug)]
pub struct Chat {
    pub model: String,
    pub stream: bool,
    pub max_tokens: Option<id::Tokens>,
    /// Whether the caller requests the token usage at the end of a stream.
    pub include_usage: bool,
    /// The messages, as the JSON that the caller sent.
    pub turns: Vec<ChatMessage>,
    /// All other fields, as the JSON that the caller sent.
    other_fields: BTreeMap<String, Box<RawValue>>,
}

impl Chat {
    pub fn parse(bytes: &[u8]) -> Result<Self, Refusal> {
        let mut fields: BTreeMap<String, Box<RawValue>> =
            serde_json::from_slice(bytes).map_err(|error| Refusal::invalid_field("body", error))?;
        let model: String = take_required(&mut fields, "model")?;
        let messages: Vec<Box<RawValue>> = take_required(&mut fields, "messages")?;
        if messages.is_empty() {
            return Err(Refusal::invalid_field("messages", "at least one is needed"));
        }
        for (index, message) in messages.iter().enumerate() {
            check_message(index, message)?;
        }
        let old_limit: Option<id::Tokens> = take_optional(&mut fields, "max_tokens")?;
        let new_limit: Option<id::Tokens> = take_optional(&mut fields, "max_completion_tokens")?;
        let max_tokens = new_limit.or(old_limit);
        if max_tokens == Some(0) {
            return Err(Refusal::invalid_field("max_tokens", "must be at least 1"));
        }
        let options: Option<Value> = take_optional(&mut fields, "stream_options")?;
        let include_usage =
            options.is_some_and(|options| options["include_usage"] == Value::Bool(true));
        Ok(Self {
            model,
            stream: take_optional(&mut fields, "stream")?.unwrap_or(false),
            max_tokens,
            include_usage,
            turns: messages
                .iter()
                .map(|message| message.get().into())
                .collect(),
            other_fields: fields,
        })
    }

    /// Returns an upper bound of the tokens in the new messages.
    pub fn max_turn_tokens(&self) -> id::Tokens {
        let bytes: usize = self
            .turns
            .iter()
            .map(|turn| turn.len() + MESSAGE_OVERHEAD_BYTES)
            .sum();
        bytes as id::Tokens
    }

    /// Returns the JSON of the request to the engine, with the whole history of the chain of calls.
    pub fn engine_request(&self, history: &[ChatMessage], max_tokens: id::Tokens) -> String {
        let messages_length: usize = history
            .iter()
            .chain(&self.turns)
            .map(|turn| turn.len() + 1)
            .sum();
        let mut text = String::with_capacity(messages_length + 1024);
        text.push_str("{\"model\":");
        text.push_str(&Value::from(self.model.as_str()).to_string());
        text.push_str(",\"messages\":[");
        for (index, turn) in history.iter().chain(&self.turns).enumerate() {
            if index > 0 {
                text.push(',');
            }
            text.push_str(turn);
        }
        text.push_str("],\"max_tokens\":");
        text.push_str(&max_tokens.to_string());
        if self.stream {
            text.push_str(",\"stream\":true,\"stream_options\":{\"include_usage\":true}");
        }
        for (key, value) in &self.other_fields {
            text.push(',');
            text.push_str(&Value::from(key.as_str()).to_string());
            text.push(':');
            text.push_str(value.get());
        }
        text.push('}');
        text
    }
}

fn check_message(index: usize, message: &RawValue) -> Result<(), Refusal> {
    // Error messages to callers contain the name of this type.
    #[derive(Deserialize)]
    struct Shape {
        role: String,
    }
    let field = format!("messages[{index}]");
    let message: Shape = serde_json::from_str(message.get())
        .map_err(|error| Refusal::invalid_field(&field, error))?;
    if message.role.is_empty() {
        return Err(Refusal::invalid_field(&field, "role is empty"));
    }
    Ok(())
}

fn take_optional<T: for<'de> Deserialize<'de>>(
    fields: &mut BTreeMap<String, Box<RawValue>>,
    name: &str,
) -> Result<Option<T>, Refusal> {
    match fields.remove(name) {
        Some(value) => {
            serde_json::from_str(value.get()).map_err(|error| Refusal::invalid_field(name, error))
        }
        None => Ok(None),
    }
}

fn take_required<T: for<'de> Deserialize<'de>>(
    fields: &mut BTreeMap<String, Box<RawValue>>,
    name: &str,
) -> Result<T, Refusal> {
    take_optional(fields, name)?.ok_or_else(|| Refusal::invalid_field(name, "is missing"))
}

/// Parses the engine's answer to a call that is not streamed.
pub fn parse_answer(bytes: &[u8], backend: &id::Backend) -> Result<Answer, serde_json::Error> {
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

/// The token usage that the engine reports.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Usage {
    pub prompt_tokens: id::Tokens,
    pub completion_tokens: id::Tokens,
}

/// Returns the completion of a call that finished earlier, from its recorded answer.
pub fn recorded_completion(answer: &Answer, call: &Arc<str>) -> Value {
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
