//! Connections that fall silent for good, without a word to either side.
//!
//! A cut link or a machine without power resets nothing: what waits to be read never comes, and
//! nobody tells. Only the operating system can tell that from a far end that is slow, since it is
//! answered by the other one whatever the process there does.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time without a word after which the far end's system is asked whether it is there.
const ASK_AFTER: Duration = Duration::from_secs(1);
/// Pause between two such questions; shorter ones cannot be set.
const ASK_PAUSE: Duration = Duration::from_secs(1);
/// Questions without an answer after which the connection is given up: two may be lost on a link that
/// loses one packet in forty, three hardly.
const QUESTIONS: u32 = 3;
/// Time after which a connection is given up on which nothing that was sent arrives, the same as by
/// the questions. Callers leave a stream of which they hear nothing for 4.8 s on the sites with the
/// longest targets, so that one that may be resumed still goes on.
pub const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(4);

/// Bounds the time for which a connection may be silent though its far end is lost.
///
/// # Errors
///
/// Returns the operating system's error.
pub fn set_dead_peer_timeouts(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let questions = TcpKeepalive::new()
        .with_time(ASK_AFTER)
        .with_interval(ASK_PAUSE)
        .with_retries(QUESTIONS);
    socket.set_tcp_keepalive(&questions)?;
    socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT))
}
