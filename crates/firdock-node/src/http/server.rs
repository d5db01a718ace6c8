//! The server loop, with a limit on connections, a time limit on request heads, and graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firdock_core::settings::Limits;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::task::yield_now;

use super::bounded::{BoundedStream, IdleBytes};
use super::caller::{CallerHandle, CallerStream};
use super::dead_peer::set_dead_peer_timeouts;
use super::listener::Acceptor;
use super::socket_buffers::SocketBuffers;

/// Limits of a server.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Maximum number of connections; further ones wait in the backlog.
    pub connections: usize,
    /// Maximum size of the head of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum time for a client to send the head.
    pub header_time: Duration,
    /// Socket buffers of the connections.
    pub buffers: SocketBuffers,
}

impl ServerOptions {
    /// Takes the limits of the ingress from the settings.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        Self {
            connections: limits.connections,
            header_bytes: limits.header_bytes,
            header_time: limits.header_timeout,
            buffers: SocketBuffers::SYSTEM,
        }
    }

    /// Sets socket buffers whose sizes the instance bounds.
    #[must_use]
    pub fn with_buffers(self, buffers: SocketBuffers) -> Self {
        Self { buffers, ..self }
    }
}

/// Serves until `stop` becomes true, then finishes the running requests and returns.
pub async fn serve<F, Fut, B>(
    listener: impl Into<Acceptor>,
    options: ServerOptions,
    mut stop: watch::Receiver<bool>,
    handle: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let acceptor = listener.into();
    let slots = Arc::new(Semaphore::new(options.connections));
    let all_slots = u32::try_from(options.connections).unwrap_or(u32::MAX);
    loop {
        let accepted = tokio::select! {
            accepted = accept(&acceptor, &slots) => accepted,
            _ = stop.wait_for(|s| *s) => break,
        };
        let Some((stream, slot)) = accepted else {
            return;
        };
        let (options, handle, stop) = (options.clone(), handle.clone(), stop.clone());
        tokio::spawn(async move {
            serve_connection(stream, options, stop, handle).await;
            drop(slot);
        });
    }
    drop(acceptor);
    // Each connection holds a slot, so once all slots are acquired, all connections have ended.
    let _all = slots.acquire_many(all_slots).await;
}

type Slot = tokio::sync::OwnedSemaphorePermit;

async fn accept(acceptor: &Acceptor, slots: &Arc<Semaphore>) -> Option<(TcpStream, Slot)> {
    let slot = Arc::clone(slots).acquire_owned().await.ok()?;
    Some((acceptor.accept().await, slot))
}

async fn serve_connection<F, Fut, B>(
    stream: TcpStream,
    options: ServerOptions,
    mut stop: watch::Receiver<bool>,
    handle: F,
) where
    F: Fn(Request<Incoming>) -> Fut + Send + 'static,
    Fut: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let _ = stream.set_nodelay(true);
    if set_dead_peer_timeouts(&stream).is_err() {
        // The client has already closed the connection.
        return;
    }
    let caller = CallerHandle::default();
    let given = caller.clone();
    let idle = IdleBytes::unlimited();
    let read = idle.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(given.clone());
        // It came with the one before: a client may send any number of them without waiting for answers.
        let is_pipelined = read.reset() == 0;
        // Idle connections take no memory for the call that they may serve.
        let answer = Box::pin(handle(request));
        async move {
            if is_pipelined {
                yield_now().await;
            }
            Ok::<_, Infallible>(answer.await)
        }
    });
    let buffers = options.buffers.connection();
    let stream = BoundedStream::new(CallerStream::new(stream, caller.clone(), buffers), idle);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(options.header_time)
        .max_buf_size(options.header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stopping = false;
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            // A change of the handle takes effect when the connection is polled again.
            () = caller.changed() => {}
            _ = stop.wait_for(|s| *s), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
        if caller.is_closing() {
            return;
        }
    }
}
