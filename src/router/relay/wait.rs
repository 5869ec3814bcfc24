//! Waiting for the next event of a relay.

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use super::{Relay, Source, DETACH_DELAY, SILENCE_TIMEOUT};
use crate::backpressure::ReadPermit;
use crate::upstream_client::Error;

/// Interval at which a detached relay checks whether enough memory is free to resume.
const DETACHED_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Event that ended a wait.
pub(super) enum WaitEvent {
    /// Bytes were received from the engine, or its stream broke.
    Received(Result<(), Error>),
    /// Bytes can be written to the caller.
    Writable,
    /// The caller sent data or closed the connection.
    Readable,
    /// A time limit may have passed.
    Timer,
}

impl Relay<'_> {
    /// Waits for the engine, the caller or the next time limit, whichever comes first.
    pub(super) async fn wait(&mut self, permit: ReadPermit) -> WaitEvent {
        let end = self.next_deadline(permit);
        let limit_bytes = match permit {
            ReadPermit::Read(bytes) => Some(bytes),
            ReadPermit::Pause => None,
        };
        let source = &mut self.source;
        let writer = &self.writer;
        let mut received = pin!(async move {
            match (source, limit_bytes) {
                (Source::Open(response), Some(bytes)) => response.receive(bytes).await,
                _ => std::future::pending().await,
            }
        });
        let mut writable = pin!(writer.writable());
        let mut readable = pin!(writer.readable());
        let mut timer = pin!(monoio::time::sleep_until(end.into()));
        poll_fn(|context| {
            if let Poll::Ready(result) = received.as_mut().poll(context) {
                return Poll::Ready(WaitEvent::Received(result));
            }
            if writable.as_mut().poll(context).is_ready() {
                return Poll::Ready(WaitEvent::Writable);
            }
            if readable.as_mut().poll(context).is_ready() {
                return Poll::Ready(WaitEvent::Readable);
            }
            if timer.as_mut().poll(context).is_ready() {
                return Poll::Ready(WaitEvent::Timer);
            }
            Poll::Pending
        })
        .await
    }

    fn next_deadline(&self, permit: ReadPermit) -> Instant {
        let now = Instant::now();
        let mut end = match permit {
            ReadPermit::Read(_) => self.last_received + SILENCE_TIMEOUT,
            ReadPermit::Pause => self.full_since.unwrap_or(now) + DETACH_DELAY,
        };
        if matches!(self.source, Source::Detached) {
            end = now + DETACHED_POLL_INTERVAL;
        }
        if let Some(idle_deadline) = self.writer.idle_deadline() {
            end = end.min(idle_deadline);
        }
        if !self.was_detached {
            let left_ms = self.call.deadline_ms.saturating_sub(self.shared.now_ms());
            end = end.min(now + Duration::from_millis(left_ms));
        }
        end
    }
}
