//! Timeouts of connections whose peer is lost without closing them.

use std::time::Duration;

use firdock_node::http::{DEAD_PEER_TIMEOUT, set_dead_peer_timeouts};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn a_connection_probes_its_peer_and_times_out_when_it_is_dead() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    set_dead_peer_timeouts(&stream).expect("the options are set");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("an option"));
    let interval = socket.tcp_keepalive_interval().expect("an option");
    let probes = socket.tcp_keepalive_retries().expect("an option");
    let idle = socket.tcp_keepalive_time().expect("an option");
    assert_eq!(idle + interval * probes, DEAD_PEER_TIMEOUT);
    let user_timeout = socket.tcp_user_timeout().expect("an option");
    assert_eq!(user_timeout, Some(DEAD_PEER_TIMEOUT));
    // A caller abandons a stream after the longest of 2 s, four targets and eight pauses.
    assert!(DEAD_PEER_TIMEOUT < Duration::from_millis(4_800));
}
