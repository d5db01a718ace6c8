//! Listening sockets with a large backlog, for bursts of connections.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;

/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 4_096;

/// Opens a listening socket.
///
/// # Errors
///
/// Returns the operating system's error, such as an address in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
