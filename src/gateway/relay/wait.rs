//! Waiting for the next event of a relay.

use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::task::Poll;

use crate::gateway::attempt::{StartedResponse, Successor};
use crate::server::Socket;
use crate::upstream_client::Error;

/// Event that ended a wait.
pub(super) enum WaitEvent {
    Received(Result<(), Error>),
    Writable,
    CallerReadable,
    /// The upstream has been silent for some time and another one can take the stream over.
    Silent(Box<Successor>),
    Deadline,
}

/// Waits for the first of the events that the relay reacts to.
pub(super) async fn wait(
    caller: &Socket,
    response: &mut StartedResponse,
    read_bytes: usize,
    wants_write: bool,
    is_watching_caller: bool,
    successor: impl Future<Output = Box<Successor>>,
    mut deadline: Pin<&mut monoio::time::Sleep>,
) -> WaitEvent {
    let mut received = pin!(response.upstream_response.receive(read_bytes));
    let mut writable = pin!(caller.writable());
    let mut readable = pin!(caller.readable());
    let mut successor = pin!(successor);
    poll_fn(|context| {
        // Checked first, because an upstream that sends without end is always readable.
        if deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(WaitEvent::Deadline);
        }
        if read_bytes > 0 {
            if let Poll::Ready(result) = received.as_mut().poll(context) {
                return Poll::Ready(WaitEvent::Received(result));
            }
        }
        if wants_write && writable.as_mut().poll(context).is_ready() {
            return Poll::Ready(WaitEvent::Writable);
        }
        if is_watching_caller && readable.as_mut().poll(context).is_ready() {
            return Poll::Ready(WaitEvent::CallerReadable);
        }
        successor.as_mut().poll(context).map(WaitEvent::Silent)
    })
    .await
}
