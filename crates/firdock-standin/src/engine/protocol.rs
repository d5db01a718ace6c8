//! What the stand-in engine reads and writes: the OpenAI-compatible protocol with numbered tokens.

use bytes::Bytes;
use serde_json::{Value, json};

/// Most tokens of an answer that does not say.
const DEFAULT_TOKENS: u32 = 64;

/// A call, as far as the stand-in reads it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Whether it is a chat call.
    pub chat: bool,
    /// Text of the prompt.
    pub prompt: String,
    /// Tokens of the whole answer.
    pub tokens: u32,
    /// Tokens that another engine generated before.
    pub resume_from: u32,
    /// 0 goes first.
    pub priority: u8,
}

impl Call {
    /// Reads a call; `None` for a malformed one.
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

    /// Writes the event of the token at `offset`.
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

    /// Writes the last event and the end of the stream.
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

/// Puts the text of a chat together as firdock does for its prefixes.
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
