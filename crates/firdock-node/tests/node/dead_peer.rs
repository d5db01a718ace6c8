//! Connections whose far end is lost without a word are given up.

use std::time::Duration;

use firdock_node::http::{DEAD_PEER_TIMEOUT, set_dead_peer_timeouts};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn a_connection_asks_whether_its_far_end_is_there_and_gives_it_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    set_dead_peer_timeouts(&stream).expect("it is bounded");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("an option"));
    let pause = socket.tcp_keepalive_interval().expect("an option");
    let questions = socket.tcp_keepalive_retries().expect("an option");
    let idle = socket.tcp_keepalive_time().expect("an option");
    assert_eq!(idle + pause * questions, DEAD_PEER_TIMEOUT);
    let unanswered = socket.tcp_user_timeout().expect("an option");
    assert_eq!(unanswered, Some(DEAD_PEER_TIMEOUT));
    // A caller leaves a stream after the longest of 2 s, four targets and eight pauses.
    assert!(DEAD_PEER_TIMEOUT < Duration::from_millis(4_800));
}
