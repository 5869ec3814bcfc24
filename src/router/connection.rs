//! Connections of callers, from accepting a connection to the last byte of each response.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::request::RequestHead;

use super::call::{Call, Refused};
use super::response_writer::ResponseWriter;
use super::{attempt, call, crash_counts, stream, Phase, Shared};
use crate::ids::RequestKey;
use crate::refusal::Refusal;
use crate::server::{error_body, Error, ErrorDetail, Request, RequestLimits, ResponseHead, Socket};

/// Time for which an idle connection is kept open for the next request.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay after a failed accept, for example because the process has no file descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time in which a caller must take a refusal of a request that it has not sent to its end.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of connections above the limit that get a refusal; further ones are closed without a response.
const MAX_EXCESS_CONNECTIONS: u32 = 64;

/// Accepts connections of callers until the process ends.
pub(super) async fn accept_callers(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => accept(&shared, stream, peer.ip()),
            Err(error) => {
                log::warn!(step = "accept"; "{error}");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn accept(shared: &Rc<Shared>, stream: TcpStream, address: IpAddr) {
    let limit = shared.settings.limits.connections;
    let open = shared.connections.get();
    if open >= limit.saturating_add(MAX_EXCESS_CONNECTIONS) {
        return;
    }
    let has_place = open < limit || shared.buffers.evict_connection();
    shared.connections.set(open + 1);
    let mut socket = Socket::of_caller(stream, shared.buffers.open(address));
    let shared = Rc::clone(shared);
    monoio::spawn(async move {
        if has_place {
            serve(&shared, socket).await;
        } else {
            let refused = Refused::new(
                Refusal::TooManyConnections,
                "the router has as many connections as its limit allows",
            );
            send_refusal(&shared, &mut socket, &refused, None, false).await;
        }
        shared.connections.set(shared.connections.get() - 1);
    });
}

/// Serves the requests of one connection one after the other.
async fn serve(shared: &Rc<Shared>, socket: Socket) {
    let mut connection = Some(socket);
    while let Some(mut socket) = connection.take() {
        let team_of = |head: &RequestHead| team_of(shared, head);
        match Request::read(&mut socket, request_limits(shared), team_of).await {
            Ok(request) => {
                // The future of a request is large. Boxed, it takes no memory while the connection waits for a request.
                connection = Box::pin(handle_request(shared, socket, request)).await;
                if let Some(socket) = &mut connection {
                    socket.end_request();
                    socket.pause_if_pipelined().await;
                }
            }
            Err(Error::Refused(refusal, message)) => {
                refuse_unread(shared, &mut socket, Refused::new(refusal, message)).await;
            }
            Err(Error::Closed) => {}
            Err(Error::Io(error)) => log::debug!(step = "read request"; "{error}"),
        }
    }
}

/// Refuses a request that was not read to its end, before the connection is closed.
async fn refuse_unread(shared: &Shared, socket: &mut Socket, mut refused: Refused) {
    let account = socket.account();
    let account = account.filter(|_| refused.refusal == Refusal::BuffersFull);
    refused.retry_after_ms = account.map(|account| account.retry_after_ms());
    if socket.is_evicted() {
        shared.metrics.count_refusal(refused.refusal);
        let response = encode_refusal(&refused, None, false);
        socket.close_evicted(response).await;
        return;
    }
    socket.end_request();
    let refuse = send_refusal(shared, socket, &refused, None, false);
    if monoio::time::timeout(REFUSAL_TIMEOUT, refuse).await.is_ok() {
        socket.linger().await;
    }
}

/// Returns the customer of a request by its key, for its share of the buffer budget.
fn team_of(shared: &Shared, head: &RequestHead) -> Option<CompactString> {
    let customer = call::customer_of(shared, &head.headers)?;
    let state = shared.fleet.state();
    let in_force = state.contracts.get(&customer)?;
    Some(in_force.contract.customer.clone())
}

pub(super) fn request_limits(shared: &Shared) -> RequestLimits {
    let limits = &shared.settings.limits;
    RequestLimits {
        head_bytes: limits.head_bytes as usize,
        body_bytes: limits.body_bytes as usize,
        head_timeout: Duration::from_millis(limits.request_read_timeout_ms),
        read_timeout: Duration::from_millis(limits.request_read_timeout_ms),
        idle_timeout: KEEP_ALIVE_TIMEOUT,
    }
}

/// Handles one request; returns the connection if it stays open.
async fn handle_request(
    shared: &Rc<Shared>,
    mut socket: Socket,
    request: Request,
) -> Option<Socket> {
    let keep_alive = request.keep_alive && shared.phase.get() != Phase::Stopping;
    match request.uri.path() {
        "/healthz" => return respond_to_probe(socket, 200, "ok", keep_alive).await,
        "/readyz" => {
            let (status, text) = match shared.phase.get() {
                Phase::Starting => (503, "starting"),
                Phase::Serving => (200, "ready"),
                Phase::Stopping => (503, "stopping"),
            };
            return respond_to_probe(socket, status, text, keep_alive).await;
        }
        _ => {}
    }
    let admitted = check_phase(shared)
        .map_err(|refused| (refused, None))
        .and_then(|()| Call::from_request(shared, request))
        .and_then(|call| {
            let key = call.key;
            OpenRequest::new(shared, &call)
                .map(|open_request| (call, open_request))
                .map_err(|refused| (refused, Some(key)))
        });
    let (call, open_request) = match admitted {
        Ok(admitted) => admitted,
        Err((refused, key)) => {
            send_refusal(shared, &mut socket, &refused, key, keep_alive).await;
            return keep_alive.then_some(socket);
        }
    };
    shared.metrics.count_request(call.priority);
    let connection = if call.is_stream() {
        stream::serve(shared, &call, socket, keep_alive).await
    } else {
        serve_buffered(shared, &call, socket, keep_alive).await
    };
    drop(open_request);
    connection
}

async fn serve_buffered(
    shared: &Rc<Shared>,
    call: &Call,
    mut socket: Socket,
    keep_alive: bool,
) -> Option<Socket> {
    match attempt::run(shared, call).await {
        Ok(response) => {
            let head = ResponseHead {
                status: response.status,
                content_type: &response.content_type,
                keep_alive,
                retry_after_s: None,
            };
            let mut writer = ResponseWriter::new(shared, call.priority, socket);
            writer.push(head.with_body(&response.body));
            drop(response);
            writer.finish().await.filter(|_| keep_alive)
        }
        Err(refused) => {
            send_refusal(shared, &mut socket, &refused, Some(call.key), keep_alive).await;
            keep_alive.then_some(socket)
        }
    }
}

async fn respond_to_probe(
    mut socket: Socket,
    status: u16,
    text: &str,
    keep_alive: bool,
) -> Option<Socket> {
    let head = ResponseHead {
        status,
        content_type: "text/plain",
        keep_alive,
        retry_after_s: None,
    };
    let written = socket.write_all(head.with_body(text.as_bytes())).await;
    (written.is_ok() && keep_alive).then_some(socket)
}

fn check_phase(shared: &Shared) -> Result<(), Refused> {
    match shared.phase.get() {
        Phase::Serving => Ok(()),
        Phase::Starting => Err(Refused::new(
            Refusal::NoUpstream,
            "the router has not read the fleet state yet",
        )
        .retry_after(1_000)),
        Phase::Stopping => {
            Err(Refused::new(Refusal::ShuttingDown, "the router is shutting down").retry_after(0))
        }
    }
}

/// Encodes a refusal with its body.
fn encode_refusal(refused: &Refused, key: Option<RequestKey>, keep_alive: bool) -> Bytes {
    let detail = ErrorDetail {
        message: &refused.message,
        retry_after_ms: refused.retry_after_ms,
        request_key: key,
    };
    let head = ResponseHead {
        status: refused.refusal.status(),
        content_type: "application/json",
        keep_alive,
        retry_after_s: refused.retry_after_ms.map(|ms| ms.div_ceil(1_000)),
    };
    head.with_body(&error_body(
        refused.refusal,
        refused.execution_status,
        &detail,
    ))
}

/// Records and sends a refusal; gives up if the caller does not read it within the idle timeout.
pub(super) async fn send_refusal(
    shared: &Shared,
    socket: &mut Socket,
    refused: &Refused,
    key: Option<RequestKey>,
    keep_alive: bool,
) {
    shared.metrics.count_refusal(refused.refusal);
    socket.record_refusal(refused.refusal.status(), refused.retry_after_ms);
    if let Some(key) = key {
        shared.record_decision(key, refused.explanation());
    }
    let output = encode_refusal(refused, key, keep_alive);
    let write = socket.write_all(output);
    // A failure means that the caller has disconnected or does not read.
    let _ = monoio::time::timeout(shared.reader_idle_timeout(), write).await;
}

/// Entry of a request in the table of open requests; dropping it removes the entry.
struct OpenRequest {
    shared: Rc<Shared>,
    key: RequestKey,
}

impl OpenRequest {
    /// Adds a request to the table, unless its key was used for another request, it is quarantined, or an earlier
    /// attempt at a non-repeatable call is open.
    fn new(shared: &Rc<Shared>, call: &Call) -> Result<Self, Refused> {
        check_key(shared, call)?;
        let mut open_keys = shared.open_keys.borrow_mut();
        let entry = open_keys.entry(call.key).or_insert((call.fingerprint, 0));
        if entry.0 != call.fingerprint {
            return Err(key_reused());
        }
        if entry.1 > 0 && !call.is_repeatable() {
            return Err(Refused::new(
                Refusal::EarlierAttempt,
                "an earlier attempt with this idempotency key is running",
            ));
        }
        entry.1 += 1;
        shared.open_requests.set(shared.open_requests.get() + 1);
        Ok(Self {
            shared: Rc::clone(shared),
            key: call.key,
        })
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let shared = &self.shared;
        shared.open_requests.set(shared.open_requests.get() - 1);
        let mut open_keys = shared.open_keys.borrow_mut();
        if let Some(entry) = open_keys.get_mut(&self.key) {
            entry.1 -= 1;
            if entry.1 == 0 {
                open_keys.remove(&self.key);
            }
        }
    }
}

fn check_key(shared: &Shared, call: &Call) -> Result<(), Refused> {
    let state = shared.fleet.state();
    let claimed = state.intents.get(call.key).map(|claim| claim.fingerprint());
    let pending = shared.budget.pending_fingerprint(call.key);
    for known in [state.ledger.billed(call.key), pending, claimed]
        .into_iter()
        .flatten()
    {
        if known != call.fingerprint {
            return Err(key_reused());
        }
    }
    if shared.is_quarantined(call.fingerprint) || crash_counts::is_refused(shared, call) {
        return Err(attempt::quarantined());
    }
    Ok(())
}

fn key_reused() -> Refused {
    Refused::new(
        Refusal::KeyReused,
        "the idempotency key was used before with another request",
    )
}
