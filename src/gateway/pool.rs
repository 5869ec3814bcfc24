//! Pool of connections to upstreams.
//!
//! Connections are pooled for each upstream and not for each address, because the address of an upstream that is gone
//! can be assigned to another one.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

use compact_str::CompactString;
use monoio::net::TcpStream;
use quick_error::quick_error;

use crate::collections::FastMap;
use crate::placement::Outcome;
use crate::server::Socket;

/// Time within which an upstream must accept a connection; data centres are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time within which the host of an upstream must respond when it is probed; a caller may wait for the result.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which the kernel closes a connection whose sent bytes are not acknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle timeout of a connection whose upstream does not state one.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;

/// Margin before the idle timeout that the upstream stated, within which a connection is no longer used, in
/// milliseconds.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Maximum number of idle connections to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 64;

quick_error! {
    /// Why no connection to an upstream could be opened.
    #[derive(Debug)]
    pub enum ConnectError {
        /// Nothing was received within [`CONNECT_TIMEOUT`].
        TimedOut {
            display("connecting: timed out")
        }
        /// The host refused the connection, or the kernel could not open it.
        Failed(error: io::Error) {
            display("connecting: {}", error)
        }
    }
}

impl ConnectError {
    /// Returns what the error says about the upstream.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Self::TimedOut => Outcome::Unanswered,
            Self::Failed(error) if error.kind() == io::ErrorKind::TimedOut => Outcome::Unanswered,
            Self::Failed(_) => Outcome::Unreachable,
        }
    }

    /// Returns whether no process listens at the address any more.
    pub(super) fn is_refused(&self) -> bool {
        match self {
            Self::Failed(error) => error.kind() == io::ErrorKind::ConnectionRefused,
            Self::TimedOut => false,
        }
    }
}

struct IdleConnection {
    socket: Socket,
    idle_since_ms: u64,
    expires_ms: u64,
}

/// Idle connections by upstream.
#[derive(Default)]
pub(super) struct Pool {
    idle: RefCell<FastMap<CompactString, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes a connection that has been idle for at most `max_idle_ms` and that the upstream has not visibly closed.
    pub(super) fn take(&self, id: &str, max_idle_ms: u64, now_ms: u64) -> Option<Socket> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(id)?;
        while let Some(mut connection) = connections.pop() {
            let is_recent = now_ms.saturating_sub(connection.idle_since_ms) <= max_idle_ms;
            // A connection with unread input or at the end of its stream cannot carry another request.
            if is_recent && now_ms < connection.expires_ms && connection.socket.try_fill().is_none()
            {
                return Some(connection.socket);
            }
            if !is_recent {
                connections.push(connection);
                return None;
            }
        }
        None
    }

    /// Returns a connection to the pool; `keep_alive_s` is the idle timeout that the upstream stated.
    pub(super) fn put(&self, id: &str, socket: Socket, keep_alive_s: Option<u64>, now_ms: u64) {
        let idle_ms = match keep_alive_s {
            Some(seconds) => (seconds * 1_000).saturating_sub(IDLE_MARGIN_MS),
            None => DEFAULT_IDLE_TIMEOUT_MS,
        };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id.into()).or_default();
        if idle_ms > 0 && connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(IdleConnection {
                socket,
                idle_since_ms: now_ms,
                expires_ms: now_ms + idle_ms,
            });
        }
    }

    /// Closes all idle connections to an upstream.
    pub(super) fn close_all(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes the connections whose idle timeout has expired.
    pub(super) fn close_expired(&self, now_ms: u64) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|connection| now_ms < connection.expires_ms);
            !connections.is_empty()
        });
    }
}

/// Opens a connection to an upstream.
///
/// # Errors
///
/// Returns why the connection could not be opened.
pub(super) async fn connect(address: SocketAddr) -> Result<Socket, ConnectError> {
    match monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(address)).await {
        Ok(Ok(stream)) => {
            set_user_timeout(&stream);
            Ok(Socket::new(stream))
        }
        Ok(Err(error)) => Err(ConnectError::Failed(error)),
        Err(_) => Err(ConnectError::TimedOut),
    }
}

/// Returns whether the host of an upstream refuses connections, so that no process listens there any more.
///
/// A connection that can be opened is added to the pool.
pub(super) async fn refuses_connections(
    pool: &Pool,
    id: &str,
    address: SocketAddr,
    now_ms: u64,
) -> bool {
    match monoio::time::timeout(PROBE_TIMEOUT, TcpStream::connect_addr(address)).await {
        Ok(Ok(stream)) => {
            set_user_timeout(&stream);
            pool.put(id, Socket::new(stream), None, now_ms);
            false
        }
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Err(_) => false,
    }
}

fn set_user_timeout(stream: &TcpStream) {
    // SAFETY: The descriptor is owned by `stream`, which outlives the borrow.
    let descriptor = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    let result = socket2::SockRef::from(&descriptor).set_tcp_user_timeout(Some(USER_TIMEOUT));
    if let Err(error) = result {
        log::debug!(step = "connect"; "setting TCP_USER_TIMEOUT failed: {error}");
    }
}
