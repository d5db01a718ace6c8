//! Peers that pass a connection on and write messages without end, as fast as the connection takes them.
//!
//! The runtime has one thread, like that of an edge instance.

use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use firdock_node::endpoint::Target;
use firdock_node::http::{CallError, Connection};
use firdock_node::peer::{Link, PeerDirectory, PeerInfo, TunnelClient};
use firdock_wire::message::{TunnelData, TunnelOpened};
use firdock_wire::{Body, FrameCodec};
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Encoder as _;
use uuid::Uuid;

const KEY: &[u8] = b"a key that all share";
const PEER: &str = "peer";
/// Longest time until an endless answer is given up.
const READ_LIMIT: Duration = Duration::from_secs(1);
/// Longest time for which other tasks may wait for their turn.
const TURN_LIMIT: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_millis(5);
/// Size of a write, in bytes.
const WRITE_BYTES: usize = 256 << 10;
/// Largest message that the stand-in peer encodes, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// What a peer writes once the connection to the endpoint is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Messages {
    /// Messages without a byte of the endpoint's.
    Empty,
    /// Zeros in place of the size of a chunk, each in a message of its own.
    SingleBytes,
    /// A message as long as peers' messages may be at all.
    Long,
}

impl Messages {
    /// Returns what comes before the repeated bytes.
    fn start(self) -> Vec<u8> {
        match self {
            Self::Empty => Vec::new(),
            Self::SingleBytes => {
                message(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec())
            }
            Self::Long => (MAX_MESSAGE_BYTES as u32).to_be_bytes().to_vec(),
        }
    }

    fn repeated(self) -> Vec<u8> {
        match self {
            Self::Empty => message(Vec::new()),
            Self::SingleBytes => message(b"0".to_vec()),
            Self::Long => Vec::new(),
        }
    }
}

/// Encodes a message with bytes of an endpoint's.
fn message(data: Vec<u8>) -> Vec<u8> {
    let mut encoded = BytesMut::new();
    let body = Body::TunnelData(TunnelData { data });
    let mut codec = FrameCodec::new(MAX_MESSAGE_BYTES);
    codec.encode(body, &mut encoded).expect("a short message");
    encoded.to_vec()
}

/// Starts a peer, and returns a client of another instance.
async fn start_peer(messages: Messages) -> TunnelClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if let Some(stream) = open_tunnel(stream).await {
                write_without_end(stream, messages);
            }
        }
    });
    let directory = Arc::new(PeerDirectory::new("me".to_owned(), "zone".to_owned()));
    let info = PeerInfo {
        name: PEER,
        zone: "zone",
        millicores: 0,
    };
    directory.record_heartbeat(info, address, Duration::from_secs(1));
    TunnelClient::new("me".to_owned(), Arc::from(KEY), directory)
}

async fn open_tunnel(stream: TcpStream) -> Option<TcpStream> {
    let mut link = Link::accept(stream, PEER, KEY, |_| true).await.ok()?;
    let _asked = link.receive().await.ok()?;
    let opened = Body::TunnelOpened(TunnelOpened {});
    link.send(opened).await.ok()?;
    link.into_stream().ok()
}

/// Writes on a thread of its own until the connection is closed.
fn write_without_end(stream: TcpStream, messages: Messages) {
    let stream = stream.into_std().expect("a socket");
    stream.set_nonblocking(false).expect("a blocking socket");
    thread::spawn(move || {
        // An error means that the other side has closed the connection.
        let _closed = write(stream, messages);
    });
}

fn write(mut stream: std::net::TcpStream, messages: Messages) -> std::io::Result<()> {
    stream.write_all(&messages.start())?;
    let unit = messages.repeated();
    if unit.is_empty() {
        std::io::copy(&mut stream, &mut std::io::sink())?;
        return Ok(());
    }
    let bytes = unit.repeat(WRITE_BYTES / unit.len());
    loop {
        stream.write_all(&bytes)?;
    }
}

/// Calls an endpoint through the peer and reads its answer to the end.
async fn call(client: &TunnelClient) -> Result<(), String> {
    let address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let target = Target {
        name: "e1".to_owned(),
        address,
    };
    let opened = client.open(&PEER.to_owned(), &target, Uuid::nil()).await;
    let mut connection = Connection::open(opened.expect("a tunnel"))
        .await
        .expect("a connection");
    let request = Request::get("/").body(Full::<Bytes>::default());
    let calling = connection.call(request.expect("a request"), 4 * READ_LIMIT);
    let response = calling.await.map_err(|e| describe(&e))?;
    let reading = response.into_body().collect();
    let read = reading.await.map_err(|e| format!("{e:?}"))?;
    Err(format!("a whole answer of {} bytes", read.to_bytes().len()))
}

fn describe(error: &CallError) -> String {
    format!("{error:?}")
}

/// Records the longest time between two turns of a task, until dropped.
async fn watch_turns(longest: &mut Duration) {
    loop {
        let began = Instant::now();
        sleep(TICK).await;
        *longest = (*longest).max(began.elapsed().saturating_sub(TICK));
    }
}

/// Checks that a call through the peer fails soon, and that other tasks have their turns meanwhile.
async fn check(messages: Messages) {
    let client = start_peer(messages).await;
    let mut longest = Duration::ZERO;
    let began = Instant::now();
    let failed = tokio::select! {
        failed = timeout(4 * READ_LIMIT, call(&client)) => failed,
        () = watch_turns(&mut longest) => unreachable!("it watches for ever"),
    };
    let took = began.elapsed();
    println!("{messages:?}: {took:?}, others waited at most {longest:?}, {failed:?}");
    assert!(took < READ_LIMIT, "{messages:?}: {took:?}, {failed:?}");
    assert!(
        longest < TURN_LIMIT,
        "{messages:?}: others waited {longest:?}"
    );
}

/// Guards against a peer that keeps an instance busy with messages that hold no byte of the endpoint's.
#[tokio::test]
async fn empty_messages_without_end_break_the_tunnel() {
    check(Messages::Empty).await;
}

/// Guards against a peer that passes on bytes without end that bring nothing, each in a message of its own.
#[tokio::test]
async fn messages_of_one_byte_without_end_break_the_tunnel() {
    check(Messages::SingleBytes).await;
}

/// Guards against a peer for whose messages an instance keeps far more memory than it asked for.
#[tokio::test]
async fn a_message_longer_than_a_peer_passes_on_at_once_breaks_the_tunnel() {
    check(Messages::Long).await;
}
