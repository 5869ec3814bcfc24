//! Waiting for whatever happens next to a response.

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use super::{Relay, Source, DETACH_DELAY, UPSTREAM_SILENCE};
use crate::backpressure::ReadPermit;
use crate::upstream_client::Error;

/// Time after which a paused response looks again whether there is memory for more.
const MEMORY_POLL: Duration = Duration::from_millis(100);

/// What ended the wait.
pub(super) enum Wake {
    /// Bytes came from the engine, or its stream broke.
    Received(Result<(), Error>),
    /// The caller may take bytes.
    Writable,
    /// The caller sent something or closed the connection.
    Readable,
    /// A time limit may have passed.
    Timer,
}

impl Relay<'_> {
    /// Waits for the engine, the reader and the next time limit at once.
    pub(super) async fn wait(&mut self, permit: ReadPermit) -> Wake {
        let end = self.next_time_limit(permit);
        let limit_bytes = match permit {
            ReadPermit::Read(bytes) => Some(bytes),
            ReadPermit::Pause => None,
        };
        let source = &mut self.source;
        let reader = &self.reader;
        let mut received = pin!(async move {
            match (source, limit_bytes) {
                (Source::Open(exchange), Some(bytes)) => exchange.receive(bytes).await,
                _ => std::future::pending().await,
            }
        });
        let mut writable = pin!(reader.writable());
        let mut readable = pin!(reader.readable());
        let mut timer = pin!(monoio::time::sleep_until(end.into()));
        poll_fn(|context| {
            if let Poll::Ready(result) = received.as_mut().poll(context) {
                return Poll::Ready(Wake::Received(result));
            }
            if writable.as_mut().poll(context).is_ready() {
                return Poll::Ready(Wake::Writable);
            }
            if readable.as_mut().poll(context).is_ready() {
                return Poll::Ready(Wake::Readable);
            }
            if timer.as_mut().poll(context).is_ready() {
                return Poll::Ready(Wake::Timer);
            }
            Poll::Pending
        })
        .await
    }

    fn next_time_limit(&self, permit: ReadPermit) -> Instant {
        let now = Instant::now();
        let mut end = match permit {
            ReadPermit::Read(_) => self.last_received + UPSTREAM_SILENCE,
            ReadPermit::Pause => self.full_since.unwrap_or(now) + DETACH_DELAY,
        };
        if matches!(self.source, Source::Paused) {
            end = now + MEMORY_POLL;
        }
        if let Some(idle_end) = self.reader.idle_end() {
            end = end.min(idle_end);
        }
        if !self.was_paused {
            let left_ms = self.call.deadline_ms.saturating_sub(self.shared.now_ms());
            end = end.min(now + Duration::from_millis(left_ms));
        }
        end
    }
}
