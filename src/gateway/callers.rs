//! Connections from callers.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use monoio::net::TcpListener;
use monoio_http::common::request::RequestHead;

use super::request::{self, refusal_response};
use super::Shared;
use crate::platform::headers;
use crate::refusal::Refusal;
use crate::routing::CallerLimits;
use crate::server::{Error, Request, RequestLimits, Socket};

/// Delay after a failed accept, for example because the process has no file descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Share of the file descriptors that is reserved for connections to upstreams and to the store, in percent.
const OUTGOING_DESCRIPTORS_PERCENT: u64 = 40;

/// Memory of one connection beside what it holds of the buffer budget, from which the maximum number follows.
const CONNECTION_BYTES: u64 = 24 << 10;

/// Time in which a caller must take a refusal of a request that it has not sent to its end.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which an idle connection checks whether the process is shutting down.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Accepts connections until the process ends; connections beyond the limit of the resources are closed at once.
pub(super) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    let resources = &shared.settings.resources;
    let by_descriptors = resources.descriptors * (100 - OUTGOING_DESCRIPTORS_PERCENT) / 100;
    let by_memory = (resources.memory_mb << 20) / CONNECTION_BYTES;
    let limit = by_descriptors.min(by_memory) as usize;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) if has_place(&shared, limit) => {
                let account = shared.buffers.open(peer.ip());
                let socket = Socket::of_caller(stream, account);
                // Counted before the task runs, so that a burst of connections does not exceed the limit.
                shared.connections.set(shared.connections.get() + 1);
                monoio::spawn(serve_connection(Rc::clone(&shared), socket));
            }
            Ok(_) => shared.metrics.add("connections_rejected", 1),
            Err(error) => {
                log::warn!(step = "accept"; "accepting a connection failed: {error}");
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns whether a new connection may be served, if need be in the place of one without progress.
fn has_place(shared: &Shared, limit: usize) -> bool {
    shared.connections.get() < limit || shared.buffers.evict_connection()
}

async fn serve_connection(shared: Rc<Shared>, mut socket: Socket) {
    serve_requests(&shared, &mut socket).await;
    shared.connections.set(shared.connections.get() - 1);
}

/// Serves the requests of one connection one after the other.
async fn serve_requests(shared: &Shared, socket: &mut Socket) {
    loop {
        if !wait_for_input(shared, socket).await {
            return;
        }
        let team_of = |head: &RequestHead| team_of(shared, head);
        match Request::read(socket, request_limits(shared), team_of).await {
            Ok(request) => {
                // The future of a request is large, so it is boxed: an idle connection does not hold it.
                let keeps_connection = Box::pin(request::serve(shared, socket, &request)).await;
                drop(request);
                if !keeps_connection {
                    socket.linger_if_unread().await;
                    return;
                }
                socket.end_request();
                socket.pause_if_pipelined().await;
            }
            Err(Error::Refused(refusal, message)) => {
                log::info!(
                    step = "refuse", status = refusal.status(), code = refusal.code(),
                    at_ms = shared.now_ms();
                    "{message}"
                );
                shared.metrics.count_refusal(refusal);
                refuse_unread(socket, refusal).await;
                return;
            }
            Err(Error::Closed) => return,
            Err(error @ Error::Io(_)) => {
                log::info!(step = "read", at_ms = shared.now_ms(); "{error}");
                return;
            }
        }
    }
}

/// Refuses a request that was not read to its end, before the connection is closed.
async fn refuse_unread(socket: &mut Socket, refusal: Refusal) {
    let account = socket.account().filter(|_| refusal == Refusal::BuffersFull);
    let retry_after_ms = account.map(|account| account.retry_after_ms());
    let response = refusal_response(refusal, "", retry_after_ms, false);
    if socket.is_evicted() {
        socket.close_evicted(response).await;
        return;
    }
    socket.end_request();
    let write = monoio::time::timeout(REFUSAL_TIMEOUT, socket.write_all(response));
    if matches!(write.await, Ok(Ok(()))) {
        socket.linger().await;
    }
}

/// Returns the team of a request by its key, for its share of the buffer budget.
fn team_of(shared: &Shared, head: &RequestHead) -> Option<CompactString> {
    let table = shared.table.borrow();
    let table = table.as_ref()?;
    let host = request::host_of(&head.uri, &head.headers);
    let route = table.route(table.find_route(host, head.uri.path())?);
    let key = headers::bearer_key(&head.headers);
    let team = table.authenticate(route, key).ok()??;
    Some(table.team(team).name.clone())
}

/// Waits for the first byte of the next request; returns whether it arrived.
///
/// During a graceful shutdown an idle connection is closed only after the load balancer has had time to stop sending
/// connections, because a request that is in transit while its connection is closed is lost. For the same reason a new
/// configuration can only extend the idle timeout of a connection that is idle already; its caller may rely on either.
async fn wait_for_input(shared: &Shared, socket: &mut Socket) -> bool {
    let Some(account) = socket.account().cloned() else {
        return false;
    };
    let mut idle_ms = 0;
    let since_ms = shared.now_ms();
    while socket.input_len() == 0 {
        idle_ms = idle_ms.max(request_limits(shared).idle_timeout.as_millis() as u64);
        if shared.closes_idle_connections() || shared.now_ms().saturating_sub(since_ms) >= idle_ms {
            shared.metrics.add("idle_connections_closed", 1);
            return false;
        }
        let input = monoio::time::timeout(SHUTDOWN_POLL_INTERVAL, socket.fill());
        match account.run_until_evicted(input).await {
            Some(Ok(Ok(1..))) => return true,
            Some(Ok(_)) | None => return false,
            Some(Err(_)) => {}
        }
    }
    true
}

fn request_limits(shared: &Shared) -> RequestLimits {
    let table = shared.table.borrow();
    let limits = table
        .as_ref()
        .map_or_else(CallerLimits::default, |table| table.limits());
    RequestLimits {
        head_bytes: limits.head_bytes as usize,
        body_bytes: limits.body_bytes as usize,
        head_timeout: Duration::from_millis(limits.head_timeout_ms),
        read_timeout: Duration::from_millis(limits.idle_timeout_ms),
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
    }
}
