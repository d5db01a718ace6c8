//! HTTP/1.1 with `hyper`: listener, server loop and client calls.
//!
//! `hyper` is used instead of `rouille`, which buffers streamed bodies and lets some connections wait behind
//! others; the measurements are in `docs/design/http.md`.

mod answer_bytes;
mod bounded;
mod caller;
mod client;
mod dead_peer;
mod framing;
mod hidden_chunks;
mod listener;
mod response;
mod server;
mod socket_buffers;

pub(crate) use answer_bytes::ANSWER_START;
pub use bounded::EndlessBytes;
pub use caller::CallerHandle;
pub use client::{CallError, Connection, Connector, TcpConnector, connect, connect_stream};
pub use dead_peer::{DEAD_PEER_TIMEOUT, set_dead_peer_timeouts};
pub use framing::{Framing, InvalidHead, check_request};
pub(crate) use hidden_chunks::is_prefix;
pub use listener::{Acceptor, listen};
pub use response::{BodyError, ResponseBody};
pub use server::{ServerOptions, serve};
pub use socket_buffers::SocketBuffers;

use hyper::HeaderMap;
use hyper::header::{self, HeaderName};

/// Headers that belong to one connection and are never forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers that belong to one connection, and those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
