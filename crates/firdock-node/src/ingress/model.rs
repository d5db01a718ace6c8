//! OpenAI-compatible calls: what firdock reads of them, and the answers it puts together.

use bytes::Bytes;
use serde_json::{Value, json};
use snafu::{OptionExt as _, ResultExt as _, Snafu};

/// Path of text completions.
pub const COMPLETIONS: &str = "/v1/completions";
/// Path of chat completions.
pub const CHAT: &str = "/v1/chat/completions";
/// Tokens that an answer may have where the caller does not say.
const DEFAULT_MAX_TOKENS: u32 = 512;
/// Most tokens that a caller may ask for.
const MOST_TOKENS: u64 = 1 << 20;

/// What is wrong with a model call.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum ModelCallError {
    /// The body is no JSON.
    #[snafu(display("the body is no JSON object"))]
    Json {
        /// Cause, with line and column.
        source: serde_json::Error,
    },
    /// A field is missing or of the wrong type.
    #[snafu(display("`{field}`: {expected}"))]
    Field {
        /// Field.
        field: &'static str,
        /// What would be right.
        expected: &'static str,
    },
}

/// A model call, as far as firdock reads it.
#[derive(Debug, Clone)]
pub struct ModelCall {
    /// Model name.
    pub model: String,
    /// Whether it is a chat call.
    pub chat: bool,
    /// Whether the caller wants the answer as a stream.
    pub stream: bool,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Text of the prompt, for sizes and prefixes.
    pub prompt: String,
    /// The whole body, passed on to the engine with its unknown fields.
    pub body: Value,
}

impl ModelCall {
    /// Tells whether a path is one of model calls.
    #[must_use]
    pub fn is_path(path: &str) -> bool {
        path == COMPLETIONS || path == CHAT
    }

    /// Reads a model call.
    ///
    /// # Errors
    ///
    /// Fails with the field that is missing or of the wrong type.
    pub fn parse(path: &str, bytes: &Bytes) -> Result<Self, ModelCallError> {
        let body = serde_json::from_slice::<Value>(bytes).context(JsonSnafu)?;
        let expected = "a model name is needed";
        let model = body["model"].as_str().context(FieldSnafu {
            field: "model",
            expected,
        })?;
        let chat = path == CHAT;
        let prompt = if chat {
            chat_text(&body)?
        } else {
            prompt_text(&body)?
        };
        Ok(Self {
            model: model.to_owned(),
            chat,
            stream: read_stream(&body)?,
            max_tokens: read_max_tokens(&body)?,
            prompt,
            body,
        })
    }

    /// Puts the answer of a call together that does not want a stream.
    #[must_use]
    pub fn whole_answer(&self, id: &str, text: &str, usage: Usage) -> Bytes {
        let choice = if self.chat {
            let message = json!({"role": "assistant", "content": text});
            json!({"index": 0, "message": message, "finish_reason": usage.finish()})
        } else {
            json!({"index": 0, "text": text, "finish_reason": usage.finish()})
        };
        let object = if self.chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        let answer = json!({
            "id": id,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": usage.prompt,
                "completion_tokens": usage.output,
                "total_tokens": u64::from(usage.prompt) + u64::from(usage.output),
                "prompt_tokens_details": {"cached_tokens": usage.cached},
            },
        });
        Bytes::from(answer.to_string())
    }
}

/// Token counts of a whole answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prompt that were cached.
    pub cached: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Whether the answer ended because it reached its limit.
    pub limited: bool,
}

impl Usage {
    fn finish(self) -> &'static str {
        if self.limited { "length" } else { "stop" }
    }
}

fn prompt_text(body: &Value) -> Result<String, ModelCallError> {
    let expected = "a string or a list of one string is needed";
    let prompt = &body["prompt"];
    let single = prompt.as_array().filter(|a| a.len() == 1).map(|a| &a[0]);
    let text = single.unwrap_or(prompt).as_str();
    Ok(text
        .context(FieldSnafu {
            field: "prompt",
            expected,
        })?
        .to_owned())
}

fn chat_text(body: &Value) -> Result<String, ModelCallError> {
    let expected = "a list of messages is needed";
    let messages = body["messages"].as_array();
    let messages = messages.context(FieldSnafu {
        field: "messages",
        expected,
    })?;
    let mut text = String::new();
    for message in messages {
        text.push_str(message["role"].as_str().unwrap_or_default());
        text.push('\n');
        match &message["content"] {
            Value::String(content) => text.push_str(content),
            other => text.push_str(&other.to_string()),
        }
        text.push('\n');
    }
    Ok(text)
}

fn read_stream(body: &Value) -> Result<bool, ModelCallError> {
    match &body["stream"] {
        Value::Null => Ok(false),
        Value::Bool(stream) => Ok(*stream),
        _ => FieldSnafu {
            field: "stream",
            expected: "true or false",
        }
        .fail(),
    }
}

fn read_max_tokens(body: &Value) -> Result<u32, ModelCallError> {
    let either = [&body["max_tokens"], &body["max_completion_tokens"]];
    let Some(value) = either.into_iter().find(|v| !v.is_null()) else {
        return Ok(DEFAULT_MAX_TOKENS);
    };
    let number = value.as_u64().filter(|n| (1..=MOST_TOKENS).contains(n));
    let number = number.and_then(|n| u32::try_from(n).ok());
    number.context(FieldSnafu {
        field: "max_tokens",
        expected: "from 1 to 1048576",
    })
}
