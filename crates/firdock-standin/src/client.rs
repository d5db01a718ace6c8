//! Test client that verifies each answer: complete, meant for this caller, with exactly one outcome.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use firdock_node::http::connect;
use http_body_util::{BodyExt as _, Collected, Full};
use hyper::{HeaderMap, Method, Request};
use serde_json::{Value, json};

use crate::engine::text;
use crate::service::{WORK_HEADER, expected_answer};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for the head of a response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Work that a call asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// A model call.
    Model {
        /// Name of the model.
        model: String,
        /// Prompt.
        prompt: String,
        /// Number of tokens in the answer.
        tokens: u32,
        /// Whether the answer is requested as an event stream.
        stream: bool,
        /// Whether it is a chat call.
        chat: bool,
    },
    /// A plain call.
    Plain {
        /// Method.
        method: Method,
        /// Path and query.
        target: String,
        /// Body.
        body: String,
    },
}

/// A call to send to an entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Bearer key.
    pub bearer: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Name of the piece of work, the same in all retries; stand-in services count runs by it.
    pub work_name: Option<String>,
    /// Work that the call asks for.
    pub work: Work,
}

impl Call {
    /// Creates a model call with a streamed answer.
    #[must_use]
    pub fn model(bearer: &str, model: &str, prompt: &str, tokens: u32) -> Self {
        let work = Work::Model {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            tokens,
            stream: true,
            chat: false,
        };
        Self {
            bearer: bearer.to_owned(),
            key: None,
            work_name: None,
            work,
        }
    }

    /// Creates a plain call.
    #[must_use]
    pub fn plain(bearer: &str, method: Method, target: &str, body: &str) -> Self {
        let work = Work::Plain {
            method,
            target: target.to_owned(),
            body: body.to_owned(),
        };
        Self {
            bearer: bearer.to_owned(),
            key: None,
            work_name: None,
            work,
        }
    }

    /// Sets whether the answer is requested as an event stream or in one piece.
    #[must_use]
    pub fn with_stream(mut self, wanted: bool) -> Self {
        if let Work::Model { stream, .. } = &mut self.work {
            *stream = wanted;
        }
        self
    }

    /// Turns a model call into a chat call.
    #[must_use]
    pub fn with_chat(mut self) -> Self {
        if let Work::Model { chat, .. } = &mut self.work {
            *chat = true;
        }
        self
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets the name of the piece of work.
    #[must_use]
    pub fn with_work_name(mut self, name: &str) -> Self {
        self.work_name = Some(name.to_owned());
        self
    }

    fn request(&self) -> Option<Request<Full<Bytes>>> {
        let (method, target, body) = match &self.work {
            Work::Model { chat, .. } => {
                let path = if *chat {
                    "/v1/chat/completions"
                } else {
                    "/v1/completions"
                };
                (Method::POST, path.to_owned(), self.model_body().to_string())
            }
            Work::Plain {
                method,
                target,
                body,
            } => (method.clone(), target.clone(), body.clone()),
        };
        let mut builder = Request::builder()
            .method(method)
            .uri(target)
            .header("host", "firdock")
            .header("authorization", format!("Bearer {}", self.bearer));
        if let Some(key) = &self.key {
            builder = builder.header("idempotency-key", key);
        }
        if let Some(name) = &self.work_name {
            builder = builder.header(WORK_HEADER, name);
        }
        builder.body(Full::new(Bytes::from(body))).ok()
    }

    fn model_body(&self) -> Value {
        let Work::Model {
            model,
            prompt,
            tokens,
            stream,
            chat,
        } = &self.work
        else {
            return Value::Null;
        };
        let mut body = json!({"model": model, "max_tokens": tokens, "stream": stream});
        if *chat {
            body["messages"] = json!([{"role": "user", "content": prompt}]);
        } else {
            body["prompt"] = json!(prompt);
        }
        body
    }

    /// Returns the text of the complete answer to this call.
    fn expected(&self) -> String {
        match &self.work {
            Work::Model {
                prompt,
                tokens,
                chat: true,
                ..
            } => text::whole(&format!("user\n{prompt}\n"), *tokens),
            Work::Model { prompt, tokens, .. } => text::whole(prompt, *tokens),
            Work::Plain {
                method,
                target,
                body,
            } => expected_answer(method.as_str(), target, body.as_bytes()),
        }
    }
}

/// Response to a call, with the checks made on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Got {
    /// HTTP status; 0 if no response head was received.
    pub status: u16,
    /// Value of `Firdock-Outcome`; empty without the header.
    pub outcome: String,
    /// Reason in the problem document.
    pub reason: String,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// Whether the body ended properly by HTTP's framing.
    pub ended: bool,
    /// Whether the answer is complete and belongs to this call.
    pub own: bool,
    /// Text of the body, or the joined text of the tokens.
    pub text: String,
    /// Response headers.
    pub headers: HeaderMap,
    /// Time from the call to the first byte of the body.
    pub first: Duration,
    /// Time from the call to the end of the body.
    pub total: Duration,
}

impl Got {
    fn without_response(started: Instant) -> Self {
        Self {
            status: 0,
            outcome: String::new(),
            reason: String::new(),
            retry_after: None,
            ended: false,
            own: false,
            text: String::new(),
            headers: HeaderMap::new(),
            first: started.elapsed(),
            total: started.elapsed(),
        }
    }

    /// Returns whether the caller received its own complete answer.
    #[must_use]
    pub fn answered(&self) -> bool {
        self.outcome == "answered" && self.ended && self.own
    }

    /// Returns whether the response is valid for its outcome.
    ///
    /// An answer that started but is incomplete must end with a broken connection.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        match self.outcome.as_str() {
            "answered" => self.own || !self.ended || self.status >= 400,
            "not-run" | "unknown" => self.ended && self.status >= 400,
            _ => false,
        }
    }
}

/// Sends a call and checks the answer.
pub async fn call(address: SocketAddr, call: &Call) -> Got {
    let started = Instant::now();
    let Some(request) = call.request() else {
        return Got::without_response(started);
    };
    let Ok(mut connection) = connect(address, CONNECT_TIMEOUT).await else {
        return Got::without_response(started);
    };
    let Ok(response) = connection.call(request, HEAD_TIMEOUT).await else {
        return Got::without_response(started);
    };
    let (head, mut body) = response.into_parts();
    let mut got = Got {
        status: head.status.as_u16(),
        ..Got::without_response(started)
    };
    let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
    got.outcome = header("firdock-outcome").unwrap_or_default().to_owned();
    got.retry_after = header("retry-after").and_then(|v| v.parse().ok());
    let mut bytes = Vec::new();
    got.ended = loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if bytes.is_empty() {
                    got.first = started.elapsed();
                }
                bytes.extend_from_slice(frame.data_ref().map_or(&[], |d| d));
            }
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    got.total = started.elapsed();
    read_body(&mut got, call, &String::from_utf8_lossy(&bytes));
    got.headers = head.headers;
    got
}

fn read_body(got: &mut Got, call: &Call, body: &str) {
    if got.status >= 400 {
        let problem = serde_json::from_str::<Value>(body).unwrap_or_default();
        let reason = problem["reason"].as_str().unwrap_or_default();
        reason.clone_into(&mut got.reason);
        body.clone_into(&mut got.text);
        return;
    }
    got.text = match &call.work {
        Work::Model { stream: true, .. } => stream_text(body),
        Work::Model { .. } => single_answer_text(body),
        Work::Plain { .. } => body.to_owned(),
    };
    let complete = !matches!(&call.work, Work::Model { stream: true, .. })
        || body.trim_end().ends_with("data: [DONE]");
    got.own = complete && got.text == call.expected();
}

fn stream_text(body: &str) -> String {
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let json = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    json.map(|event| choice_text(&event["choices"][0], "delta"))
        .collect()
}

fn single_answer_text(body: &str) -> String {
    let answer = serde_json::from_str::<Value>(body).unwrap_or_default();
    choice_text(&answer["choices"][0], "message")
}

fn choice_text(choice: &Value, nested: &str) -> String {
    let text = choice["text"]
        .as_str()
        .or_else(|| choice[nested]["content"].as_str());
    text.unwrap_or_default().to_owned()
}

/// Calls the operator API or a stand-in; returns the status (0 without a response) and the body.
pub async fn operator_call(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: &str,
) -> (u16, String) {
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "firdock")
        .body(body);
    let (Ok(request), Ok(mut connection)) = (request, connect(address, CONNECT_TIMEOUT).await)
    else {
        return (0, String::new());
    };
    let Ok(response) = connection.call(request, HEAD_TIMEOUT).await else {
        return (0, String::new());
    };
    let status = response.status().as_u16();
    let bytes = response
        .into_body()
        .collect()
        .await
        .map(Collected::to_bytes)
        .unwrap_or_default();
    (status, String::from_utf8_lossy(&bytes).into_owned())
}
