//! Relay of an engine's stream of events to its reader.
//!
//! The relay knows how many events it has passed on. Whatever happens upstream, it continues at that index: it resumes
//! the stream at the same engine, or runs the request again under the same key and skips the events that were passed on.
//! The events that carry the usage and the end are held back until the bill is safe.

mod wait;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use monoio::time::timeout;

use super::attempt::{self, Attempts, WithUsage};
use super::call::{Call, Refused};
use super::pools::Slot;
use super::writer::Reader;
use super::Shared;
use crate::backpressure::ReadPermit;
use crate::engine::{Error, Event, EventSplitter, Exchange};
use crate::refusal::Refusal;
use crate::server::ResponseHead;

use wait::Wake;

/// Time without a byte from an engine after which its stream counts as broken.
///
/// It is far above the p95 inter-token latency of 32 ms and covers a long prompt; a shorter time would run requests
/// again that an engine is still working on.
const UPSTREAM_SILENCE: Duration = Duration::from_secs(10);

/// Time for which a full buffer only stops reading before the engine's stream is closed.
///
/// A fast reader with a short hiccup is not worth a new connection.
const DETACH_DELAY: Duration = Duration::from_millis(20);

/// Breaks of one response that are mended.
const MAX_BREAKS: u32 = 8;

/// Time for the engine's last chunk, so that its connection can be used again.
const LAST_CHUNK_WAIT: Duration = Duration::from_millis(5);

/// Where events come from.
enum Source {
    /// A stream is open.
    Open(Exchange),
    /// No stream is open, because the reader's buffer is full; the engine keeps the stream.
    Paused,
    /// No stream is open yet, or it broke.
    Closed,
}

/// One response between an engine and its reader.
pub(super) struct Relay<'a> {
    shared: &'a Rc<Shared>,
    call: &'a Call,
    attempts: Attempts<'a>,
    reader: Reader,
    keep_alive: bool,
    source: Source,
    splitter: EventSplitter,
    slot: Option<Slot>,
    /// Index of the next event to pass on.
    next_index: u64,
    /// Index of the next event of the open stream, if the engine does not give one.
    source_index: u64,
    /// Whether the engine at the place may hold the stream.
    is_resumable: bool,
    was_paused: bool,
    is_begun: bool,
    is_complete: bool,
    breaks: u32,
    charge_tokens: Option<u64>,
    /// Time from dispatch to the first event.
    first_latency_ms: Option<u64>,
    /// Events that are held back until the bill is safe.
    tail: Vec<Bytes>,
    last_received: Instant,
    full_since: Option<Instant>,
}

impl<'a> Relay<'a> {
    pub(super) fn new(
        shared: &'a Rc<Shared>,
        call: &'a Call,
        attempts: Attempts<'a>,
        reader: Reader,
        keep_alive: bool,
    ) -> Self {
        Self {
            shared,
            call,
            attempts,
            reader,
            keep_alive,
            source: Source::Closed,
            splitter: EventSplitter::default(),
            slot: None,
            next_index: 0,
            source_index: 0,
            is_resumable: false,
            was_paused: false,
            is_begun: false,
            is_complete: false,
            breaks: 0,
            charge_tokens: None,
            first_latency_ms: None,
            tail: Vec::new(),
            last_received: Instant::now(),
            full_since: None,
        }
    }

    /// Returns whether a part of the response was sent.
    pub(super) fn is_begun(&self) -> bool {
        self.is_begun
    }

    /// Returns the reader with what is held for it.
    pub(super) fn into_reader(self) -> Reader {
        self.reader
    }

    /// Relays the response up to its held-back end; returns the charge.
    ///
    /// A reader that goes away does not stop the engine: the response is billed whole, and a retry under the same key
    /// gets it whole.
    pub(super) async fn run(&mut self) -> Result<u64, Refused> {
        let result = self.relay().await;
        if let Some(slot) = &mut self.slot {
            if result.is_err() {
                self.attempts.abandon(slot);
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

    /// Adds the held-back end of the response and returns its reader.
    pub(super) async fn into_completed(mut self) -> Reader {
        let tail = std::mem::take(&mut self.tail);
        self.reader.push_chunk(&tail);
        self.reader.push(Bytes::from_static(b"0\r\n\r\n"));
        self.reader.write_now();
        self.reuse_connection().await;
        self.reader
    }

    async fn relay(&mut self) -> Result<u64, Refused> {
        loop {
            if self.may_attach() {
                self.attach().await?;
            }
            if let Err(error) = self.take_events() {
                self.on_break(&error).await?;
                continue;
            }
            self.reader.write_now();
            if self.is_complete {
                return Ok(self.charge_tokens.unwrap_or(self.call.bound_tokens));
            }
            let permit = self.reader.permit(self.splitter.pending_bytes());
            self.note_full(permit);
            match self.wait(permit).await {
                Wake::Received(Ok(())) => self.last_received = Instant::now(),
                Wake::Received(Err(error)) => self.on_break(&error).await?,
                Wake::Writable => {}
                Wake::Readable => self.reader.read_now(),
                Wake::Timer => self.on_timer(permit).await?,
            }
        }
    }

    fn may_attach(&self) -> bool {
        match self.source {
            Source::Open(_) => false,
            Source::Paused => self.reader.is_drained(),
            Source::Closed => true,
        }
    }

    /// Opens a stream at the next event: at the same engine if it holds the stream, else at another.
    async fn attach(&mut self) -> Result<(), Refused> {
        self.splitter = EventSplitter::default();
        self.last_received = Instant::now();
        self.full_since = None;
        if self.is_resumable && self.resume().await? {
            return Ok(());
        }
        loop {
            self.is_resumable = false;
            let mut slot = self.attempts.next_place().await?;
            let answer = attempt::send(self.shared, self.call, &slot);
            let answer = attempt::watched(self.shared, &slot, answer);
            let sent = timeout(self.open_limit(), answer).await;
            match sent {
                Ok(Ok(exchange)) if exchange.status() == 200 => {
                    self.is_resumable = true;
                    self.attempts.may_have_run = true;
                    self.source_index = 0;
                    self.source = Source::Open(exchange);
                    self.slot = Some(slot);
                    return Ok(());
                }
                Ok(Ok(exchange)) if exchange.status() < 500 => {
                    self.attempts.abandon(&mut slot);
                    return Err(rejected(exchange.status()));
                }
                Ok(Ok(_)) => self.attempts.note_error_status(&mut slot, "server error"),
                Ok(Err(error)) => self.attempts.note_failure(&mut slot, &error).await?,
                Err(_) => {
                    self.attempts
                        .note_error_status(&mut slot, "no response in time");
                    self.check_deadline()?;
                }
            }
        }
    }

    /// Resumes the stream at the engine that holds it; returns whether it did.
    async fn resume(&mut self) -> Result<bool, Refused> {
        let Some(slot) = &mut self.slot else {
            return Ok(false);
        };
        let resumed = self
            .shared
            .client
            .resume(&slot.address, self.call.key, self.next_index);
        match timeout(UPSTREAM_SILENCE, resumed).await {
            Ok(Ok(exchange)) if exchange.status() == 200 => {
                self.source_index = self.next_index;
                self.source = Source::Open(exchange);
                return Ok(true);
            }
            Ok(Ok(_)) => self
                .attempts
                .note_error_status(slot, "the stream is not kept"),
            Ok(Err(error)) => {
                // A refused connection here means that the engine went away with the stream.
                let error = Error::Broken("resuming", slot.address.to_string(), error.to_string());
                self.attempts.note_failure(slot, &error).await?;
            }
            Err(_) => self
                .attempts
                .note_error_status(slot, "no answer to resuming in time"),
        }
        Ok(false)
    }

    async fn on_break(&mut self, error: &Error) -> Result<(), Refused> {
        log::info!(step = "relay", request_key:% = self.call.key, index = self.next_index; "{error}");
        self.source = Source::Closed;
        self.breaks += 1;
        if self.breaks > MAX_BREAKS {
            return Err(self
                .attempts
                .failed("the streams of the response broke too often"));
        }
        Ok(())
    }

    /// Takes the events that were received.
    fn take_events(&mut self) -> Result<(), Error> {
        let Source::Open(exchange) = &mut self.source else {
            return Ok(());
        };
        let mut batch = Vec::new();
        let mut is_ended = false;
        let mut failure = None;
        loop {
            match exchange.take() {
                Ok(Some(piece)) => self.splitter.push(&piece),
                Ok(None) => {
                    is_ended = exchange.is_ended();
                    break;
                }
                Err(error) => {
                    failure = Some(error);
                    break;
                }
            }
        }
        // The events before a break count, so that the resumed stream starts behind them.
        while let Some(event) = self.splitter.next_event().map_err(broken)? {
            self.take_event(event, &mut batch)?;
        }
        self.pass_on(&batch);
        if is_ended && !self.is_complete {
            return Err(broken("the stream ended without its last event"));
        }
        failure.map_or(Ok(()), Err)
    }

    fn take_event(&mut self, event: Event, batch: &mut Vec<Bytes>) -> Result<(), Error> {
        let index = event.index.unwrap_or(self.source_index);
        self.source_index = index + 1;
        if index < self.next_index || self.is_complete {
            return Ok(());
        }
        if index > self.next_index {
            self.pass_on(&std::mem::take(batch));
            return Err(broken("the stream has a gap"));
        }
        self.next_index += 1;
        if event.is_done() {
            self.is_complete = true;
            self.tail.push(event.raw);
        } else if let Some(usage) = usage_of(&event) {
            self.charge_tokens = Some(usage);
            self.tail.push(event.raw);
        } else if self.tail.is_empty() {
            batch.push(event.raw);
        } else {
            self.tail.push(event.raw);
        }
        Ok(())
    }

    /// Gives events to the reader, with the head of the response before the first ones.
    fn pass_on(&mut self, batch: &[Bytes]) {
        if !self.is_begun && (!batch.is_empty() || self.is_complete) {
            self.is_begun = true;
            let head = ResponseHead {
                status: 200,
                content_type: "text/event-stream",
                keep_alive: self.keep_alive,
                retry_after_s: None,
            };
            self.reader.push(head.chunked());
            self.note_first_event();
        }
        self.reader.push_chunk(batch);
    }

    fn note_first_event(&mut self) {
        let now_ms = self.shared.now_ms();
        let call = self.call;
        self.first_latency_ms = self.slot.as_ref().map(|slot| now_ms - slot.dispatched_ms);
        self.shared.metrics.record_first_token(
            call.priority,
            &call.customer_name,
            now_ms - call.accepted_ms,
        );
    }

    fn note_full(&mut self, permit: ReadPermit) {
        match permit {
            ReadPermit::Read(_) => {
                if self.full_since.take().is_some() {
                    // The engine was not read meanwhile, so its silence starts now.
                    self.last_received = Instant::now();
                }
            }
            ReadPermit::Pause => {
                self.full_since.get_or_insert_with(Instant::now);
            }
        }
    }

    async fn on_timer(&mut self, permit: ReadPermit) -> Result<(), Refused> {
        self.reader.check_idle();
        if permit == ReadPermit::Pause && !self.reader.is_gone() {
            self.detach();
            return Ok(());
        }
        self.check_deadline()?;
        if matches!(self.source, Source::Open(_))
            && self.last_received.elapsed() >= UPSTREAM_SILENCE
        {
            self.on_break(&broken("no byte was received in time"))
                .await?;
        }
        Ok(())
    }

    /// Closes the engine's stream, which the engine keeps, and frees its place.
    fn detach(&mut self) {
        let is_full = self
            .full_since
            .is_some_and(|since| since.elapsed() >= DETACH_DELAY);
        if !is_full || !self.is_resumable || !matches!(self.source, Source::Open(_)) {
            return;
        }
        self.source = Source::Paused;
        self.was_paused = true;
        self.splitter = EventSplitter::default();
        if let Some(slot) = &mut self.slot {
            self.attempts.succeeded(slot, self.first_latency_ms);
        }
    }

    /// Refuses a response that is not complete in time, unless its reader is the reason.
    fn check_deadline(&self) -> Result<(), Refused> {
        if self.was_paused || self.shared.now_ms() < self.call.deadline_ms {
            return Ok(());
        }
        Err(self.attempts.with_ran(Refused::new(
            Refusal::TimedOut,
            "the response was not complete within the time limit of the contract",
        )))
    }

    fn open_limit(&self) -> Duration {
        let left_ms = self.call.deadline_ms.saturating_sub(self.shared.now_ms());
        UPSTREAM_SILENCE.min(Duration::from_millis(left_ms.max(1)))
    }

    /// Ends the use of the place and keeps the engine's connection for the next request.
    async fn reuse_connection(&mut self) {
        let Some(mut slot) = self.slot.take() else {
            return;
        };
        self.attempts.succeeded(&mut slot, self.first_latency_ms);
        if let Source::Open(mut exchange) = std::mem::replace(&mut self.source, Source::Closed) {
            if !exchange.is_ended() {
                // Without the last chunk the connection is closed, which costs only a new one.
                let _ = timeout(LAST_CHUNK_WAIT, exchange.receive(64)).await;
                let _ = exchange.take();
            }
            self.shared.client.finish(&slot.address, exchange);
        }
    }
}

fn usage_of(event: &Event) -> Option<u64> {
    let data = event.data();
    // Parsing every event would cost more than the rest of the relay.
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
    refused.ran = crate::refusal::ExecutionStatus::MayHaveRun;
    refused
}
