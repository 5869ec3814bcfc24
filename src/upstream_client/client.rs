//! Connections to upstreams and their reuse.

use std::cell::RefCell;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use http::HeaderMap;
use monoio::net::TcpStream;

use super::{Error, Progress, UpstreamResponse};
use crate::collections::FastMap;
use crate::ids::RequestKey;
use crate::server::Socket;

/// Maximum number of idle connections that are kept for one address.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Largest body that is copied behind its head.
const MAX_JOINED_BODY_BYTES: usize = 16 << 10;

/// Time limit for connecting; the round-trip time to an upstream is at most a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which an exiting process closes its listening socket after its connections.
const EXIT_CLOSE_TIMEOUT: Duration = Duration::from_millis(20);

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Key of the caller's request, by which the upstream detects a repetition.
    pub key: Option<RequestKey>,
    /// Priority class of the request.
    pub priority: Option<&'a str>,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Body; empty if there is none.
    pub body: Bytes,
    /// Whether the request may run more than once. If not, it is only sent on a new connection, because a reused one
    /// may fail after the request was sent.
    pub repeatable: bool,
}

impl<'a> UpstreamRequest<'a> {
    /// Creates a GET request.
    pub fn get(path: &'a str) -> Self {
        Self {
            method: "GET",
            path,
            key: None,
            priority: None,
            content_type: "application/json",
            body: Bytes::new(),
            repeatable: true,
        }
    }

    /// Encodes the request as parts to write one after the other.
    fn encode(&self, address: SocketAddr) -> [Bytes; 2] {
        let mut output = BytesMut::with_capacity(256);
        // Writing to a growable buffer cannot fail.
        let _ = write!(
            output,
            "{} {} HTTP/1.1\r\nhost: {address}\r\ncontent-type: {}\r\ncontent-length: {}\r\n",
            self.method,
            self.path,
            self.content_type,
            self.body.len()
        );
        if let Some(key) = self.key {
            let _ = write!(output, "x-request-key: {key}\r\n");
        }
        if let Some(priority) = self.priority {
            let _ = write!(output, "x-priority: {priority}\r\n");
        }
        output.put_slice(b"\r\n");
        join_small_body(output, &self.body)
    }
}

/// Returns a head and a body as parts to write; a small body is appended to the head, so that both leave in one segment.
///
/// A large body is not copied, because its bytes would be held twice until the upstream has read them.
pub(crate) fn join_small_body(mut head: BytesMut, body: &Bytes) -> [Bytes; 2] {
    if body.len() > MAX_JOINED_BODY_BYTES {
        return [head.freeze(), body.clone()];
    }
    head.put_slice(body);
    [head.freeze(), Bytes::new()]
}

/// Appends header fields in wire format.
pub(crate) fn put_fields(output: &mut BytesMut, fields: &HeaderMap) {
    for (name, value) in fields {
        output.put_slice(name.as_str().as_bytes());
        output.put_slice(b": ");
        output.put_slice(value.as_bytes());
        output.put_slice(b"\r\n");
    }
}

/// HTTP client with a pool of idle connections for each address.
#[derive(Default)]
pub struct Client {
    idle: RefCell<FastMap<SocketAddr, Vec<Socket>>>,
}

impl Client {
    /// Sends a request and reads the head of its response.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the request may have reached the upstream.
    pub async fn send(
        &self,
        address: &str,
        request: &UpstreamRequest<'_>,
    ) -> Result<UpstreamResponse, Error> {
        let target: SocketAddr = address
            .parse()
            .map_err(|error| not_sent("parsing the address", address, error))?;
        let output = request.encode(target);
        let mut may_have_run = false;
        if request.repeatable {
            while let Some(socket) = self.take_idle(target) {
                let exchanged = UpstreamResponse::request(socket, output.clone(), address).await;
                match exchanged {
                    Ok(response) => return Ok(response),
                    Err(failed) => match failed.progress {
                        Progress::Sending => {}
                        // Either the upstream closed the idle connection while the request was in transit, or it crashed
                        // while it ran the request. Only a new connection shows which.
                        Progress::Waiting => {
                            may_have_run = true;
                            break;
                        }
                        Progress::Responding => return Err(failed.error),
                    },
                }
            }
        }
        let socket = match connect(target, address).await {
            Err(error) if may_have_run => {
                return Err(Error::Broken("sending", address.into(), error.to_string()));
            }
            connected => connected?,
        };
        let exchanged = UpstreamResponse::request(socket, output, address).await;
        exchanged.map_err(|failed| failed.error)
    }

    /// Keeps the connection of a completely read response for the next request, if it can be reused.
    pub fn keep_connection(&self, address: &str, response: UpstreamResponse) {
        let (Some(socket), Ok(target)) = (response.into_reusable(), address.parse()) else {
            return;
        };
        let mut idle = self.idle.borrow_mut();
        let sockets = idle.entry(target).or_default();
        if sockets.len() < MAX_IDLE_CONNECTIONS {
            sockets.push(socket);
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response, or if it is invalid or larger than the limit.
    pub async fn fetch(
        &self,
        address: &str,
        request: &UpstreamRequest<'_>,
        limit_bytes: usize,
    ) -> Result<(u16, Bytes), Error> {
        let mut response = self.send(address, request).await?;
        let body = response.read_all(limit_bytes).await?;
        let status = response.status();
        self.keep_connection(address, response);
        Ok((status, body))
    }

    /// Asks an engine to stop generating a response. Failures are ignored, because the response may be complete
    /// already.
    pub async fn cancel(&self, address: &str, key: RequestKey) {
        let path = format!("/v1/streams/{key}");
        let request = UpstreamRequest {
            method: "DELETE",
            ..UpstreamRequest::get(&path)
        };
        if let Err(error) = self.fetch(address, &request, 4096).await {
            log::debug!("cancelling stream {key} at {address}: {error}");
        }
    }

    /// Resumes the stream of an engine at an event index.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine cannot be reached or sends no valid response.
    pub async fn resume(
        &self,
        address: &str,
        key: RequestKey,
        from_index: u64,
    ) -> Result<UpstreamResponse, Error> {
        let path = format!("/v1/streams/{key}?from={from_index}");
        self.send(address, &UpstreamRequest::get(&path)).await
    }

    /// Returns whether a process accepts connections at an address; after a crash, none does.
    ///
    /// When a process exits, the kernel may close its connections before its listening socket. A connection that is
    /// opened in between succeeds and is reset at once. Therefore, if the connection ends within `EXIT_CLOSE_TIMEOUT`,
    /// a second one is tried.
    pub async fn is_listening(&self, address: &str) -> bool {
        let Ok(target) = address.parse() else {
            return false;
        };
        let Ok(mut socket) = connect(target, address).await else {
            return false;
        };
        match monoio::time::timeout(EXIT_CLOSE_TIMEOUT, socket.fill()).await {
            Ok(Ok(1..)) | Err(_) => true,
            Ok(Ok(0) | Err(_)) => connect(target, address).await.is_ok(),
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take_idle(&self, target: SocketAddr) -> Option<Socket> {
        let mut idle = self.idle.borrow_mut();
        let sockets = idle.get_mut(&target)?;
        while let Some(mut socket) = sockets.pop() {
            // Data or the end of the stream on an idle connection means that the upstream closed it or will not use it.
            if socket.try_fill().is_none() {
                return Some(socket);
            }
        }
        None
    }
}

async fn connect(target: SocketAddr, address: &str) -> Result<Socket, Error> {
    match monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(target)).await {
        Ok(Ok(stream)) => Ok(Socket::new(stream)),
        Ok(Err(error)) => Err(not_sent("connecting", address, error)),
        Err(_) => Err(not_sent("connecting", address, "no answer within 1 s")),
    }
}

fn not_sent(step: &'static str, address: &str, reason: impl ToString) -> Error {
    Error::NotSent(step, address.into(), reason.to_string())
}
