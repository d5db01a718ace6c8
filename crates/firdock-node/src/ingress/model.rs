//! OpenAI-compatible calls: the fields that firdock reads, and the assembly of complete answers.

use bytes::Bytes;
use serde_json::{Value, json};
use snafu::{OptionExt as _, ResultExt as _, Snafu};

/// Path of text completions.
pub const COMPLETIONS: &str = "/v1/completions";
/// Path of chat completions.
pub const CHAT: &str = "/v1/chat/completions";
/// Maximum tokens of an answer if the call does not set it.
const DEFAULT_MAX_TOKENS: u32 = 512;
/// Upper limit of the maximum tokens that a call may set.
const TOKEN_LIMIT: u64 = 1 << 20;

/// Error of parsing a model call.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum ModelCallError {
    /// The body is not JSON.
    #[snafu(display("the body is no JSON object"))]
    Json {
        /// Cause, with line and column.
        source: serde_json::Error,
    },
    /// A field is missing or of the wrong type.
    #[snafu(display("`{field}`: {expected}"))]
    Field {
        /// Name of the field.
        field: &'static str,
        /// Description of valid values.
        expected: &'static str,
    },
}

/// A model call, with the fields that firdock reads.
#[derive(Debug, Clone)]
pub struct ModelCall {
    /// Model name.
    pub model: String,
    /// Whether it is a chat call.
    pub chat: bool,
    /// Whether the caller wants the answer as a stream.
    pub stream: bool,
    /// Maximum tokens of the answer.
    pub max_tokens: u32,
    /// Text of the prompt, for estimates of its size and for prefix hashes.
    pub prompt: String,
    /// The whole body. The engine gets it with all its fields, including those that firdock doesn't know.
    pub body: Value,
}

impl ModelCall {
    /// Returns whether `path` is a path of model calls.
    #[must_use]
    pub fn is_path(path: &str) -> bool {
        path == COMPLETIONS || path == CHAT
    }

    /// Parses a model call.
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

    /// Creates the body of a complete, unstreamed answer.
    #[must_use]
    pub fn whole_answer(&self, id: &str, text: &str, usage: Usage) -> Bytes {
        let choice = if self.chat {
            let message = json!({"role": "assistant", "content": text});
            json!({"index": 0, "message": message, "finish_reason": usage.finish_reason()})
        } else {
            json!({"index": 0, "text": text, "finish_reason": usage.finish_reason()})
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

/// Token counts of a complete answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prompt that were cached.
    pub cached: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Whether the answer was cut off at its maximum of tokens.
    pub limited: bool,
}

impl Usage {
    fn finish_reason(self) -> &'static str {
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
    let number = value.as_u64().filter(|n| (1..=TOKEN_LIMIT).contains(n));
    let number = number.and_then(|n| u32::try_from(n).ok());
    number.context(FieldSnafu {
        field: "max_tokens",
        expected: "from 1 to 1048576",
    })
}
