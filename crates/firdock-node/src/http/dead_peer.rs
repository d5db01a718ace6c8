//! Detection of connections whose remote host is lost.
//!
//! A broken link or a host without power does not reset connections: reads wait forever without an error. Only
//! the operating system can distinguish this from a slow remote process, since the remote system acknowledges
//! keepalive probes whatever the process there does.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time after which the first keepalive probe is sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes; the system allows no shorter one.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection is closed. Two in a row may be lost on a link that
/// loses one packet in forty; the loss of three is very unlikely.
const KEEPALIVE_PROBES: u32 = 3;
/// Time without acknowledgement of sent data after which the connection is closed, the same as with keepalive
/// probes. At the sites with the longest targets, callers abandon a stream after 4.8 s without data, so a
/// stream that can be resumed is still resumed in time.
pub const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// Limits the time until the loss of the remote host closes a connection.
///
/// # Errors
///
/// Returns the operating system's error.
pub fn set_dead_peer_timeouts(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT))
}
