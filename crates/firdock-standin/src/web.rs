//! HTTP helpers shared by the stand-ins.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use firdock_node::endpoint::NOT_STARTED_HEADER;
use firdock_node::http::{ServerOptions, SocketBuffers, listen, serve};
use http_body_util::{BodyExt as _, Collected, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 80 << 20;
/// Limits of the stand-ins' servers.
const OPTIONS: ServerOptions = ServerOptions {
    connections: 8_192,
    header_bytes: 64 << 10,
    header_time: Duration::from_secs(30),
    buffers: SocketBuffers::SYSTEM,
};

/// A stand-in's server that runs until it is dropped.
#[derive(Debug)]
pub struct Served {
    /// Address on which it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
    stop: watch::Sender<bool>,
}

impl Served {
    /// Serves `handle` on an address (port 0 for any free one).
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn start<F, Fut>(address: SocketAddr, handle: F) -> io::Result<Self>
    where
        F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
        Fut: Future<Output = Response<Reply>> + Send + 'static,
    {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(serve(listener, OPTIONS, stopped, handle));
        Ok(Self {
            address,
            task,
            stop,
        })
    }

    /// Closes the listening socket at once, as a killed process does.
    pub fn close(&self) {
        self.task.abort();
    }

    /// Stops accepting connections and waits until the open ones have ended.
    pub async fn stop(mut self) {
        self.stop.send_replace(true);
        let _ = (&mut self.task).await;
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Response body: complete, or chunks received from a channel.
#[derive(Debug)]
pub struct Reply {
    whole: Option<Bytes>,
    chunks: Option<mpsc::Receiver<Option<Bytes>>>,
}

/// Error that breaks a response body off.
#[derive(Debug)]
pub struct CutOff;

impl std::fmt::Display for CutOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut off")
    }
}

impl std::error::Error for CutOff {}

impl Reply {
    /// Creates a complete body.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            whole: Some(bytes.into()),
            chunks: None,
        }
    }

    /// Creates a body of chunks; `None` on the channel ends it properly, a closed channel breaks it off.
    #[must_use]
    pub fn chunks(chunks: mpsc::Receiver<Option<Bytes>>) -> Self {
        Self {
            whole: None,
            chunks: Some(chunks),
        }
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        if let Some(bytes) = self.whole.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let Some(chunks) = &mut self.chunks else {
            return Poll::Ready(None);
        };
        let Poll::Ready(chunk) = chunks.poll_recv(cx) else {
            return Poll::Pending;
        };
        match chunk {
            Some(Some(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(None) => {
                self.chunks = None;
                Poll::Ready(None)
            }
            None => {
                self.chunks = None;
                Poll::Ready(Some(Err(CutOff)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.whole.is_none() && self.chunks.is_none()
    }
}

/// Creates a JSON response.
pub fn json<T: Serialize>(value: &T) -> Response<Reply> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Reply::whole(body));
    let kind = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    response
}

/// Creates a refusal that says the call was not started, with `Retry-After` in seconds unless it is 0.
#[must_use]
pub fn refused(retry_after: u32) -> Response<Reply> {
    let mut response = status(503, "refused before anything was done");
    let headers = response.headers_mut();
    headers.insert(NOT_STARTED_HEADER, HeaderValue::from_static("true"));
    if retry_after > 0 {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after));
    }
    response
}

/// Creates a response with a status and a text.
#[must_use]
pub fn status(code: u16, text: &str) -> Response<Reply> {
    let mut response = Response::new(Reply::whole(text.to_owned()));
    *response.status_mut() = StatusCode::from_u16(code).unwrap_or(StatusCode::BAD_REQUEST);
    response
}

/// Reads a complete body; `None` if it is too long or breaks off.
pub async fn read(body: Incoming) -> Option<Bytes> {
    Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .ok()
        .map(Collected::to_bytes)
}

/// Reads a JSON body.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    serde_json::from_slice(&read(body).await?).ok()
}

/// Returns a number from the query string.
#[must_use]
pub fn query(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(n, _)| *n == name)?.1.parse().ok()
}

/// Waits forever, so that the caller receives no answer.
pub async fn never() -> Infallible {
    std::future::pending().await
}
