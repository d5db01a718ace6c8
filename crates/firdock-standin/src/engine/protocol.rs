//! Protocol of the stand-in engine: OpenAI-compatible, with an offset on each token.

use bytes::Bytes;
use serde_json::{Value, json};

/// Length of the answer if the call does not set `max_tokens`.
const DEFAULT_TOKENS: u32 = 64;

/// Fields of a call that the stand-in uses.
#[derive(Debug, Clone)]
pub struct Call {
    /// Whether it is a chat call.
    pub chat: bool,
    /// Text of the prompt.
    pub prompt: String,
    /// Number of tokens in the complete answer.
    pub tokens: u32,
    /// Number of tokens that another engine has already generated.
    pub resume_from: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

impl Call {
    /// Parses a call; `None` if it is malformed.
    #[must_use]
    pub fn parse(path: &str, body: &[u8]) -> Option<Self> {
        let body = serde_json::from_slice::<Value>(body).ok()?;
        let chat = path.ends_with("/chat/completions");
        let prompt = if chat {
            chat_prompt(&body)?
        } else {
            body["prompt"].as_str()?.to_owned()
        };
        let number = |name: &str| body[name].as_u64().and_then(|n| u32::try_from(n).ok());
        Some(Self {
            chat,
            prompt,
            tokens: number("max_tokens").unwrap_or(DEFAULT_TOKENS).max(1),
            resume_from: number("resume_from").unwrap_or(0),
            priority: number("priority")
                .and_then(|n| u8::try_from(n).ok())
                .unwrap_or(u8::MAX),
        })
    }

    /// Encodes the event of the token at `offset`.
    #[must_use]
    pub fn token_event(&self, offset: u32, cached: u32, prompt_tokens: u32) -> Bytes {
        let text = super::text::token(&self.prompt, offset);
        let choice = if self.chat {
            json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
        } else {
            json!({"index": 0, "text": text, "finish_reason": null})
        };
        event(&json!({
            "object": self.object(),
            "choices": [choice],
            "offset": offset,
            "tokens": 1,
            "usage": usage(prompt_tokens, cached, offset + 1),
        }))
    }

    /// Encodes the last event and the end of the stream.
    #[must_use]
    pub fn end_event(&self, offset: u32, cached: u32, prompt_tokens: u32) -> Bytes {
        let choice = if self.chat {
            json!({"index": 0, "delta": {}, "finish_reason": "length"})
        } else {
            json!({"index": 0, "text": "", "finish_reason": "length"})
        };
        let mut bytes = event(&json!({
            "object": self.object(),
            "choices": [choice],
            "offset": offset,
            "tokens": 0,
            "usage": usage(prompt_tokens, cached, offset),
        }))
        .to_vec();
        bytes.extend_from_slice(b"data: [DONE]\n\n");
        Bytes::from(bytes)
    }

    fn object(&self) -> &'static str {
        if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        }
    }
}

/// Joins the messages of a chat in the same way as firdock does to compute prefix hashes.
fn chat_prompt(body: &Value) -> Option<String> {
    let mut text = String::new();
    for message in body["messages"].as_array()? {
        text.push_str(message["role"].as_str().unwrap_or_default());
        text.push('\n');
        text.push_str(message["content"].as_str().unwrap_or_default());
        text.push('\n');
    }
    Some(text)
}

fn usage(prompt: u32, cached: u32, output: u32) -> Value {
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": output,
        "total_tokens": prompt + output,
        "prompt_tokens_details": {"cached_tokens": cached},
    })
}

fn event(value: &Value) -> Bytes {
    Bytes::from(format!("data: {value}\n\n"))
}
