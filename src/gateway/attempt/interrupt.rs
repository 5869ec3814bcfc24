//! Waiting for a future until the caller disconnects or the deadline is reached.

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use crate::gateway::request::Call;
use crate::gateway::Shared;
use crate::server::Socket;

/// Bytes that are read from a caller to find out whether it has disconnected; the rest of what it sends stays in the
/// kernel until its response is complete.
pub(in crate::gateway) const WATCH_BYTES: usize = 1 << 10;

/// Why a wait was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum Interrupt {
    /// The caller closed its connection.
    CallerGone,
    /// The deadline of the request was reached.
    Deadline,
}

/// Waits for a future until it completes, the caller disconnects or the deadline is reached.
///
/// Input that the caller sends meanwhile belongs to its next request; from then on its connection is no longer watched.
///
/// # Errors
///
/// Returns what interrupted the wait.
pub(in crate::gateway) async fn run_until_interrupted<F: Future>(
    shared: &Shared,
    call: &Call<'_>,
    caller: &mut Socket,
    future: F,
) -> Result<F::Output, Interrupt> {
    let end = Instant::now() + Duration::from_millis(call.remaining_ms(shared));
    let mut future = pin!(future);
    let mut deadline = pin!(monoio::time::sleep_until(end.into()));
    let mut is_watching_caller = caller.input_len() == 0;
    loop {
        let event = {
            let mut readable = pin!(caller.readable());
            poll_fn(|context| {
                if let Poll::Ready(output) = future.as_mut().poll(context) {
                    return Poll::Ready(Event::Done(output));
                }
                if is_watching_caller && readable.as_mut().poll(context).is_ready() {
                    return Poll::Ready(Event::CallerReadable);
                }
                if deadline.as_mut().poll(context).is_ready() {
                    return Poll::Ready(Event::Timer);
                }
                Poll::Pending
            })
            .await
        };
        match event {
            Event::Done(output) => return Ok(output),
            Event::Timer => return Err(Interrupt::Deadline),
            Event::CallerReadable => match caller.try_fill_up_to(WATCH_BYTES) {
                Some(Ok(0) | Err(_)) => return Err(Interrupt::CallerGone),
                Some(Ok(_)) => is_watching_caller = false,
                None => {}
            },
        }
    }
}

enum Event<T> {
    Done(T),
    CallerReadable,
    Timer,
}
