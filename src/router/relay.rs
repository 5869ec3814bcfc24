//! Relay of an engine's stream of events to the caller.
//!
//! The relay counts the events that it has forwarded. If the stream breaks, it continues at that index: it resumes the
//! stream at the same engine, or runs the request again with the same key and skips the events that were forwarded. The
//! events with the usage and the end of the response are held back until the bill is durable.
//!
//! While the caller reads slowly, the relay stops reading. If its buffer stays full, it detaches: it closes the
//! connection to the engine, which keeps the stream, and resumes once the caller has read most of the buffer.

mod run_indexes;
mod wait;

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use monoio::time::timeout;

use super::attempt::{self, Attempts, WithUsage};
use super::call::{Call, Refused};
use super::pools::Slot;
use super::response_writer::ResponseWriter;
use super::Shared;
use crate::backpressure::ReadPermit;
use crate::refusal::Refusal;
use crate::server::ResponseHead;
use crate::upstream_client::{Error, Event, EventSplitter, UpstreamResponse};

use run_indexes::RunIndexes;
use wait::WaitEvent;

/// Time without a byte from an engine after which its stream is resumed on a new connection, or moves to another engine
/// that can take it.
///
/// It is far above the p95 inter-token latency of 32 ms and covers the prefill of a long prompt. A shorter timeout
/// would run requests again that an engine is still processing.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which the buffer must be full before the relay detaches from the engine.
///
/// Until then the relay only stops reading, so that a short stall of a fast reader does not cost a new connection.
const DETACH_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of stream breaks that one response survives.
const MAX_STREAM_BREAKS: u32 = 8;

/// Time limit for receiving the last chunk from the engine, without which its connection cannot be reused.
const LAST_CHUNK_TIMEOUT: Duration = Duration::from_millis(5);

/// Source of the events.
enum Source {
    /// The stream of an engine is open.
    Open(UpstreamResponse),
    /// No stream is open, because the buffer for the caller was full; the engine keeps the stream.
    Detached,
    /// No stream is open, because none was opened yet or the last one broke.
    Closed,
}

/// The relay of one response from an engine to the caller.
pub(super) struct Relay<'a> {
    shared: &'a Rc<Shared>,
    call: &'a Call,
    attempts: Attempts<'a>,
    writer: ResponseWriter,
    keep_alive: bool,
    source: Source,
    splitter: EventSplitter,
    slot: Option<Slot>,
    /// Index of the next event to forward.
    next_index: u64,
    /// Indexes of the events of the open stream.
    indexes: RunIndexes,
    /// Whether the engine of the slot may keep the stream.
    is_resumable: bool,
    /// Whether the relay has ever detached, because the caller read slowly.
    was_detached: bool,
    has_started: bool,
    is_complete: bool,
    breaks: u32,
    charge_tokens: Option<u64>,
    /// Time from dispatch to the first forwarded event.
    first_latency_ms: Option<u64>,
    /// Events that are held back until the bill is durable.
    tail: Vec<Bytes>,
    last_received: Instant,
    full_since: Option<Instant>,
}

impl<'a> Relay<'a> {
    pub(super) fn new(
        shared: &'a Rc<Shared>,
        call: &'a Call,
        attempts: Attempts<'a>,
        writer: ResponseWriter,
        keep_alive: bool,
    ) -> Self {
        Self {
            shared,
            call,
            attempts,
            writer,
            keep_alive,
            source: Source::Closed,
            splitter: EventSplitter::default(),
            slot: None,
            next_index: 0,
            indexes: RunIndexes::starting_at(0),
            is_resumable: false,
            was_detached: false,
            has_started: false,
            is_complete: false,
            breaks: 0,
            charge_tokens: None,
            first_latency_ms: None,
            tail: Vec::new(),
            last_received: Instant::now(),
            full_since: None,
        }
    }

    /// Returns whether the head of the response was queued for the caller.
    pub(super) fn has_started(&self) -> bool {
        self.has_started
    }

    /// Returns the writer with the output that it buffers.
    pub(super) fn into_writer(self) -> ResponseWriter {
        self.writer
    }

    /// Relays the response except its held-back end; returns the charge.
    ///
    /// If the caller disconnects, the engine continues: the complete response is billed, and a retry with the same key
    /// receives it completely.
    pub(super) async fn run(&mut self) -> Result<u64, Refused> {
        let result = self.relay().await;
        if let Some(slot) = &mut self.slot {
            if result.is_err() {
                self.attempts.release(slot);
                if self.is_resumable {
                    self.shared
                        .client
                        .cancel(&slot.address, self.call.key)
                        .await;
                }
            }
        }
        result
    }

    /// Queues the held-back end of the response and returns the writer.
    pub(super) async fn complete(mut self) -> ResponseWriter {
        let tail = std::mem::take(&mut self.tail);
        self.writer.push_chunk(&tail);
        self.writer.push(Bytes::from_static(b"0\r\n\r\n"));
        self.writer.try_write();
        self.reuse_connection().await;
        self.writer
    }

    async fn relay(&mut self) -> Result<u64, Refused> {
        loop {
            if self.should_attach() {
                self.attach().await?;
            }
            if let Err(error) = self.process_events() {
                self.on_break(&error).await?;
                continue;
            }
            self.writer.try_write();
            if self.is_complete {
                return Ok(self.charge_tokens.unwrap_or(self.call.max_charge_tokens));
            }
            let permit = self.writer.read_permit(self.splitter.pending_bytes());
            self.update_full_since(permit);
            match self.wait(permit).await {
                WaitEvent::Received(Ok(())) => self.last_received = Instant::now(),
                WaitEvent::Received(Err(error)) => self.on_break(&error).await?,
                WaitEvent::Writable => {}
                WaitEvent::Readable => self.writer.try_read(),
                WaitEvent::Timer => self.on_timer(permit).await?,
            }
        }
    }

    fn should_attach(&self) -> bool {
        match self.source {
            Source::Open(_) => false,
            Source::Detached => self.writer.should_resume(),
            Source::Closed => true,
        }
    }

    /// Opens a stream: resumes it at the same engine if that may keep it, otherwise runs the request again.
    async fn attach(&mut self) -> Result<(), Refused> {
        self.splitter = EventSplitter::default();
        self.last_received = Instant::now();
        self.full_since = None;
        if self.is_resumable {
            if self.resume().await? {
                return Ok(());
            }
            self.check_deadline()?;
        }
        loop {
            self.is_resumable = false;
            let mut slot = self.attempts.next_slot().await?;
            let answer = attempt::send(self.shared, self.call, &slot);
            let answer = attempt::with_overdue_report(self.shared, &slot, answer);
            match self.await_engine(&slot, answer).await {
                Some(Ok(response)) if response.status() == 200 => {
                    self.is_resumable = true;
                    self.attempts.may_have_run = true;
                    self.indexes = RunIndexes::starting_at(0);
                    self.source = Source::Open(response);
                    self.slot = Some(slot);
                    return Ok(());
                }
                Some(Ok(response)) if response.status() < 500 => {
                    self.attempts.release(&mut slot);
                    return Err(rejected(response.status()));
                }
                Some(Ok(_)) => self.attempts.record_failure(&mut slot, "server error"),
                Some(Err(error)) => self.attempts.record_send_error(&mut slot, &error).await?,
                None => {
                    self.attempts
                        .record_failure(&mut slot, "no response within the time limit");
                    self.check_deadline()?;
                }
            }
        }
    }

    /// Resumes the stream at the engine that may keep it; returns whether that succeeded.
    async fn resume(&mut self) -> Result<bool, Refused> {
        let Some(mut slot) = self.slot.take() else {
            return Ok(false);
        };
        let client = &self.shared.client;
        let resumed = client.resume(&slot.address, self.call.key, self.next_index);
        let resumed = self.await_engine(&slot, resumed).await;
        let result = match resumed {
            Some(Ok(response)) if response.status() == 200 => {
                self.indexes = RunIndexes::starting_at(self.next_index);
                self.source = Source::Open(response);
                Ok(true)
            }
            Some(Ok(_)) => {
                let reason = "the engine does not have the stream";
                self.attempts.record_failure(&mut slot, reason);
                Ok(false)
            }
            Some(Err(error)) => {
                // A refused connection here means that the engine is gone, and the stream with it. The engine has run
                // the request, so the error must not count as "not sent".
                let error = Error::Broken("resuming", slot.address.to_string(), error.to_string());
                let recorded = self.attempts.record_send_error(&mut slot, &error).await;
                recorded.map(|()| false)
            }
            None => {
                let reason = "no response to the resumption within the time limit";
                self.attempts.record_failure(&mut slot, reason);
                Ok(false)
            }
        };
        self.slot = Some(slot);
        result
    }

    /// Waits for the response of an engine; gives up at the deadline, or after [`SILENCE_TIMEOUT`] if another engine can
    /// take the request at once.
    async fn await_engine<T>(&self, slot: &Slot, answer: impl Future<Output = T>) -> Option<T> {
        let mut answer = pin!(answer);
        loop {
            if let Ok(answer) = timeout(self.open_timeout(), answer.as_mut()).await {
                return Some(answer);
            }
            if self.check_deadline().is_err() || self.attempts.can_move(slot) {
                return None;
            }
        }
    }

    async fn on_break(&mut self, error: &Error) -> Result<(), Refused> {
        log::info!(step = "relay", request_key:% = self.call.key, index = self.next_index; "{error}");
        self.source = Source::Closed;
        if !self.indexes.are_reliable() {
            return Err(self
                .attempts
                .failure_refusal("the ids of the events contradict their places"));
        }
        self.breaks += 1;
        if self.breaks > MAX_STREAM_BREAKS {
            return Err(self
                .attempts
                .failure_refusal("the stream of the response broke too often"));
        }
        Ok(())
    }

    /// Processes the events that were received.
    fn process_events(&mut self) -> Result<(), Error> {
        let Source::Open(response) = &mut self.source else {
            return Ok(());
        };
        let mut batch = Vec::new();
        let mut is_ended = false;
        let mut failure = None;
        loop {
            match response.take_bytes() {
                Ok(Some(piece)) => self.splitter.push(&piece),
                Ok(None) => {
                    is_ended = response.is_ended();
                    break;
                }
                Err(error) => {
                    failure = Some(error);
                    break;
                }
            }
        }
        // The events before a break are forwarded, so that the resumed stream starts after them.
        let processed = self.process_complete_events(&mut batch);
        self.forward(&batch);
        processed?;
        if is_ended && !self.is_complete {
            return Err(broken("the stream ended without its last event"));
        }
        // The last event shows that the response is complete, whatever follows it on the connection.
        match failure {
            Some(error) if !self.is_complete => Err(error),
            _ => Ok(()),
        }
    }

    /// Processes the events that are complete, up to one that shows that the stream is broken.
    fn process_complete_events(&mut self, batch: &mut Vec<Bytes>) -> Result<(), Error> {
        while let Some(event) = self.splitter.next_event().map_err(broken)? {
            self.process_event(event, batch)?;
        }
        Ok(())
    }

    fn process_event(&mut self, event: Event, batch: &mut Vec<Bytes>) -> Result<(), Error> {
        if self.is_complete {
            return Ok(());
        }
        if event.is_comment() {
            let output = if self.tail.is_empty() {
                batch
            } else {
                &mut self.tail
            };
            output.push(event.raw);
            return Ok(());
        }
        let index = self.indexes.index_of(event.id);
        let index = index.map_err(|reason| broken(&reason))?;
        if index < self.next_index {
            return Ok(());
        }
        self.next_index += 1;
        if event.is_done() {
            self.is_complete = true;
            self.tail.push(event.raw);
        } else if let Some(usage) = usage_tokens(&event) {
            self.charge_tokens = Some(usage);
            self.tail.push(event.raw);
        } else if self.tail.is_empty() {
            batch.push(event.raw);
        } else {
            self.tail.push(event.raw);
        }
        Ok(())
    }

    /// Queues events for the caller, preceded by the head of the response when they are the first.
    fn forward(&mut self, batch: &[Bytes]) {
        if !self.has_started && (!batch.is_empty() || self.is_complete) {
            self.has_started = true;
            let head = ResponseHead {
                status: 200,
                content_type: "text/event-stream",
                keep_alive: self.keep_alive,
                retry_after_s: None,
            };
            self.writer.push(head.chunked());
            self.record_first_event();
        }
        self.writer.push_chunk(batch);
    }

    fn record_first_event(&mut self) {
        let now_ms = self.shared.now_ms();
        let call = self.call;
        self.first_latency_ms = self.slot.as_ref().map(|slot| now_ms - slot.dispatched_ms);
        self.shared.metrics.record_first_token(
            call.priority,
            &call.customer_name,
            now_ms - call.accepted_ms,
        );
    }

    fn update_full_since(&mut self, permit: ReadPermit) {
        match permit {
            ReadPermit::Read(_) => {
                if self.full_since.take().is_some() {
                    // The engine was not read while the buffer was full, so the timeout starts again.
                    self.last_received = Instant::now();
                }
            }
            ReadPermit::Pause => {
                self.full_since.get_or_insert_with(Instant::now);
            }
        }
    }

    async fn on_timer(&mut self, permit: ReadPermit) -> Result<(), Refused> {
        self.writer.disconnect_if_idle();
        if permit == ReadPermit::Pause && !self.writer.is_disconnected() {
            self.detach();
            return Ok(());
        }
        self.check_deadline()?;
        if matches!(self.source, Source::Open(_)) && self.last_received.elapsed() >= SILENCE_TIMEOUT
        {
            self.on_break(&broken("no byte received within 10 s"))
                .await?;
        }
        Ok(())
    }

    /// Closes the connection to the engine, which keeps the stream, and releases the slot, if the buffer has been full
    /// for [`DETACH_DELAY`].
    fn detach(&mut self) {
        let is_full = self
            .full_since
            .is_some_and(|since| since.elapsed() >= DETACH_DELAY);
        if !is_full || !self.is_resumable || !matches!(self.source, Source::Open(_)) {
            return;
        }
        self.source = Source::Detached;
        self.was_detached = true;
        self.splitter = EventSplitter::default();
        if let Some(slot) = &mut self.slot {
            self.attempts.record_success(slot, self.first_latency_ms);
        }
    }

    /// Returns a refusal if the deadline has passed, unless the caller delayed the response by reading slowly.
    fn check_deadline(&self) -> Result<(), Refused> {
        if self.was_detached || self.shared.now_ms() < self.call.deadline_ms {
            return Ok(());
        }
        Err(self.attempts.with_execution_status(Refused::new(
            Refusal::TimedOut,
            "the response was not complete within the time limit of the contract",
        )))
    }

    fn open_timeout(&self) -> Duration {
        if self.was_detached {
            return SILENCE_TIMEOUT;
        }
        let left_ms = self.call.deadline_ms.saturating_sub(self.shared.now_ms());
        SILENCE_TIMEOUT.min(Duration::from_millis(left_ms.max(1)))
    }

    /// Records the success, releases the slot and keeps the connection to the engine for reuse.
    async fn reuse_connection(&mut self) {
        let Some(mut slot) = self.slot.take() else {
            return;
        };
        self.attempts
            .record_success(&mut slot, self.first_latency_ms);
        if let Source::Open(mut response) = std::mem::replace(&mut self.source, Source::Closed) {
            if !response.is_ended() {
                // Without the last chunk the connection cannot be reused; a new one is opened for the next request.
                let _ = timeout(LAST_CHUNK_TIMEOUT, response.receive(64)).await;
                let _ = response.take_bytes();
            }
            self.shared.client.keep_connection(&slot.address, response);
        }
    }
}

fn usage_tokens(event: &Event) -> Option<u64> {
    let data = event.data();
    // Parsing the JSON of every event would cost more than the rest of the relay.
    let text = std::str::from_utf8(data).ok()?;
    if !text.contains("\"usage\"") {
        return None;
    }
    let body: WithUsage = serde_json::from_slice(data).ok()?;
    body.usage.map(attempt::Usage::total_tokens)
}

fn broken(reason: &str) -> Error {
    Error::Broken("relaying", "engine".into(), reason.into())
}

fn rejected(status: u16) -> Refused {
    let mut refused = Refused::new(
        Refusal::BadRequest,
        format!("the engine rejected the request with status {status}"),
    );
    refused.execution_status = crate::refusal::ExecutionStatus::MayHaveRun;
    refused
}
