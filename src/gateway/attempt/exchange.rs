//! One request at one upstream: sending it and reading the head of its response.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use compact_str::{format_compact, CompactString};

use super::encode::encode;
use super::{InFlight, StartedResponse, Target};
use crate::directory::UpstreamEntry;
use crate::gateway::request::Call;
use crate::gateway::{availability, Shared};
use crate::platform::headers;
use crate::server::Socket;
use crate::upstream_client::UpstreamResponse;

/// Largest response that is discarded to reach the one that belongs to the request.
const MAX_SKIPPED_BYTES: usize = 256 << 10;

/// Number of responses that are discarded before the connection is given up.
const MAX_SKIPPED_RESPONSES: u32 = 2;

/// Head of a response, or why there is none.
pub(super) type HeadResult = Result<StartedResponse, CompactString>;

/// A request that is being sent to an upstream or awaits the head of its response. Dropping it closes the connection.
pub(in crate::gateway) struct Exchange<'a, 'c> {
    pub(super) in_flight: InFlight<'a>,
    pub(super) started_ms: u64,
    head: Pin<Box<dyn Future<Output = HeadResult> + 'c>>,
}

impl<'a: 'c, 'c> Exchange<'a, 'c> {
    /// Starts to send a request on a connection to the upstream of `target`.
    pub(super) fn start(
        shared: &'a Shared,
        call: &'c Call<'_>,
        target: &Target<'_>,
        socket: Socket,
        in_flight: InFlight<'a>,
    ) -> Self {
        let output = encode(shared, call, target);
        let upstream = (target.id.clone(), target.entry.clone());
        Self {
            in_flight,
            started_ms: shared.now_ms(),
            head: Box::pin(send_request(shared, call, upstream, socket, output)),
        }
    }
}

impl Future for Exchange<'_, '_> {
    type Output = HeadResult;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        self.head.as_mut().poll(context)
    }
}

/// Writes a request and reads the head of its response, skipping late responses to earlier requests.
async fn send_request(
    shared: &Shared,
    call: &Call<'_>,
    (id, entry): (CompactString, UpstreamEntry),
    socket: Socket,
    output: [Bytes; 2],
) -> HeadResult {
    let record_availability = |response: &UpstreamResponse| {
        let (status, fields) = (response.status(), response.headers());
        availability::record_response(shared, &id, &entry, status, fields);
    };
    shared.record_dispatch(call);
    let started = UpstreamResponse::request(socket, output, &id).await;
    let mut upstream_response = started.map_err(|failed| format_compact!("{}", failed.error))?;
    record_availability(&upstream_response);
    for _ in 0..MAX_SKIPPED_RESPONSES {
        if headers::matches_request_id(upstream_response.headers(), &call.meta.id) {
            break;
        }
        log::warn!(
            step = "response", request_id = call.meta.id.as_str(), upstream = id.as_str();
            "skipped a response to another request on the same connection"
        );
        let next = upstream_response.skip(MAX_SKIPPED_BYTES).await;
        upstream_response = next.map_err(|error| format_compact!("{error}"))?;
        record_availability(&upstream_response);
    }
    shared
        .placement
        .borrow_mut()
        .record_activity(&id, shared.now_ms());
    Ok(StartedResponse {
        upstream: id,
        upstream_response: Box::new(upstream_response),
    })
}
