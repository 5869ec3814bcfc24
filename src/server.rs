//! HTTP/1.1 server for callers and operators.
//!
//! The head and chunk decoders of `monoio-http` run on a buffer that this module fills itself. The reader of that crate
//! has no limit on the size of a head or body and keeps two 8 KiB buffers for each connection, which exceeds the memory
//! target for open streams. See `docs/design.md`, section 5.

mod buffers;
mod chat;
mod request;
mod response;
mod socket;

pub use buffers::{BufferAccount, CallerBuffers};
pub use chat::ChatRequest;
pub use request::{Error, Request, RequestLimits};
pub use response::{error_body, ErrorDetail, ResponseHead};
pub use socket::Socket;

use std::io;
use std::net::SocketAddr;

use monoio::net::{ListenerOpts, TcpListener};

/// Maximum number of connections that the kernel has established and the process has not accepted yet.
const LISTEN_BACKLOG: i32 = 4096;

/// Opens a listening socket, with a fixed size of the send buffers of its connections if one is given.
///
/// # Errors
///
/// Returns an error if the address is not valid or the kernel rejects it, for example because it is in use.
pub fn listen(address: &str, send_buffer_bytes: Option<usize>) -> io::Result<TcpListener> {
    let address: SocketAddr = address
        .parse()
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
    let mut options = ListenerOpts::new()
        .backlog(LISTEN_BACKLOG)
        .reuse_port(false);
    if let Some(bytes) = send_buffer_bytes {
        options = options.send_buf_size(bytes);
    }
    TcpListener::bind_with_config(address, &options)
}
