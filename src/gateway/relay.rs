//! Relays a response to the caller and counts what is delivered.
//!
//! The body is passed on unchanged. Streams are relayed event by event, so that a stream whose upstream fails can
//! resume at another upstream after the last complete event, and only delivered tokens are charged. A truncated body
//! never looks complete: the connection to the caller is closed without the end of the body.

mod head;
mod wait;

use std::collections::VecDeque;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use compact_str::{format_compact, CompactString};

use super::attempt::{
    self, find_successor, hand_over, Attempts, Exchange, Failure, HandOver, InFlight, Interrupt,
    StartedResponse, Successor, SEARCH_INTERVAL, WATCH_BYTES,
};
use super::crashes::{self, Proof, ResponseProgress};
use super::request::Call;
use super::Shared;
use crate::placement::Outcome;
use crate::platform::headers;
use crate::refusal::Refusal;
use crate::routing::RetrySemantics;
use crate::server::Socket;
use crate::stream_position::{Disposition, StreamPosition};
use crate::upstream_client::{Event, EventSplitter};
use crate::version_canary::Response;

use head::{encode_head, Framing};
use wait::{wait, WaitEvent};

/// Buffered bytes of one response, for a slow reader, from which on the upstream is no longer read.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Bytes that are read from an upstream at once.
const READ_BYTES: usize = 16 << 10;

/// Unread bytes of one response from which on they are accounted for, and bytes that are read at once while the buffer
/// budget is nearly used up.
const MIN_READ_BYTES: usize = 2 << 10;

/// Time without a byte after which a resumable stream may move to another upstream; callers give up after 2 s.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Number of reads after which a response that arrives without pause is set aside for [`TURN_PAUSE`].
const READS_PER_TURN: u32 = 8;

/// Time within which that many reads count as being without pause.
const TURN_TIME: Duration = Duration::from_millis(2);

/// Pause of such a response. The event loop processes timers and other connections only when no task is ready, which
/// would never happen beside an upstream that sends as fast as its caller reads.
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// Number of events over which the time per output token is measured. One pause says little, and each measurement takes
/// processor time.
const EVENTS_PER_MEASUREMENT: u64 = 4;

/// Number of events of a stream after which a crash of its upstream is not put down to its request. A request that crashes
/// upstreams does so when they begin to answer, while most streams at an upstream are further than that.
const MAX_SUSPECT_EVENTS: u64 = 4;

/// Reason in the log for a stream that has left a silent upstream.
const SILENCE_REASON: &str = "the upstream is silent";

/// Reason in the log for a response that ended at the deadline.
const DEADLINE_REASON: &str = "deadline reached";

/// Result of relaying a response.
pub(super) struct Delivery {
    /// Status that the caller received; 0 if none.
    pub(super) status: u16,
    /// Number of complete events that were written to the caller's connection.
    pub(super) events: u64,
    /// Time of the first byte of the body; 0 if none arrived.
    pub(super) first_byte_ms: u64,
    /// Time of the last byte from the upstream; 0 if none arrived after the head.
    pub(super) last_byte_ms: u64,
    /// How the response ended, for the log.
    pub(super) end: CompactString,
    /// Whether the connection to the caller can carry another request.
    pub(super) keeps_connection: bool,
    /// Status to send instead of the response, of which nothing was sent.
    pub(super) refusal: Option<Refusal>,
}

impl Delivery {
    /// Creates the result of a request of which nothing has been delivered yet.
    pub(super) fn new(end: &str) -> Self {
        Self {
            status: 0,
            events: 0,
            first_byte_ms: 0,
            last_byte_ms: 0,
            end: end.into(),
            keeps_connection: false,
            refusal: None,
        }
    }
}

/// Why relaying the body of one response ended.
enum End {
    Complete,
    UpstreamLost(CompactString),
    /// The upstream is silent and another one can take the stream over.
    Silent(Box<Successor>),
    CallerGone,
    Deadline,
}

/// Result of an attempt to move a stream from a silent upstream to a successor.
enum Move<'a, 'c> {
    /// The stream stays where it is.
    None,
    /// The successor has the request and has not responded yet.
    Begun(Exchange<'a, 'c>),
    /// The successor has responded.
    Done(StartedResponse, InFlight<'a>),
}

struct Relay<'r> {
    shared: &'r Shared,
    call: &'r Call<'r>,
    framing: Framing,
    /// Output for the caller: first the bytes that were already offered to the kernel, then the queued ones.
    writing: Bytes,
    queued: BytesMut,
    /// Whether only the head is queued. It is sent with the first part of the body, so that a response that fails
    /// before can be replaced by a status that says so.
    holds_head: bool,
    /// Bytes that were queued and written so far, and the positions at which events end that are not written yet.
    queued_bytes: u64,
    written_bytes: u64,
    event_ends: VecDeque<u64>,
    splitter: EventSplitter,
    delivery: Delivery,
    position: StreamPosition,
    /// Whether a part of the body of the current response has arrived.
    has_body: bool,
    /// Whether an event of the current response has been passed on.
    has_event: bool,
    /// Time of the first event of the current response, and the number of its events.
    first_event_ms: u64,
    response_events: u64,
    /// Time and number of the event at which the measurement of the time per output token began; `(0, 0)` if it begins
    /// with the next event.
    measured_from: (u64, u64),
    is_watching_caller: bool,
    /// Whether the buffer budget contains the unread output.
    accounts_for_output: bool,
    /// Time without a byte after which another upstream is sought.
    silence_timeout: Duration,
}

/// Relays a response. A resumable stream whose upstream fails is resumed at another upstream.
pub(super) async fn run<'a>(
    shared: &'a Shared,
    call: &Call<'_>,
    caller: &mut Socket,
    response: StartedResponse,
    mut in_flight: InFlight<'a>,
    attempts: &mut Attempts,
) -> Delivery {
    let keep_alive = shared.keeps_connection(call.request, caller);
    let _sending = shared.load.begin_sending(caller);
    let mut response = response;
    let status = response.upstream_response.status();
    let is_event_stream = call.route().is_stream && status == 200;
    let may_resume = is_event_stream && call.route().retry_semantics == RetrySemantics::Resumable;
    let framing = match response.upstream_response.content_length() {
        Some(_) if !may_resume => Framing::Length,
        _ => Framing::Chunked,
    };
    let head = encode_head(&response, framing, keep_alive);
    let mut relay = Relay {
        shared,
        call,
        framing,
        writing: Bytes::new(),
        queued_bytes: head.len() as u64,
        queued: head,
        holds_head: true,
        written_bytes: 0,
        event_ends: VecDeque::new(),
        splitter: EventSplitter::default(),
        delivery: Delivery::new("complete"),
        position: StreamPosition::new(call.meta.last_event_id),
        has_body: false,
        has_event: false,
        first_event_ms: 0,
        response_events: 0,
        measured_from: (0, 0),
        is_watching_caller: caller.input_len() == 0,
        accounts_for_output: false,
        silence_timeout: SILENCE_TIMEOUT,
    };
    relay.delivery.status = status;
    loop {
        let end = relay
            .relay_body(
                caller,
                &mut response,
                &in_flight,
                attempts,
                is_event_stream,
                may_resume,
            )
            .await;
        let is_failure = status >= 500;
        let (reason, exchange) = match end {
            End::Complete => {
                if !is_failure {
                    crashes::record_served(shared, call, Proof::Complete);
                }
                if is_failure {
                    in_flight.set_failed_response();
                } else {
                    in_flight.set_outcome(Outcome::Served);
                }
                let outcome = if is_failure {
                    Some(Response::Failed)
                } else {
                    relay.timing(&in_flight, is_event_stream)
                };
                if let Some(outcome) = outcome {
                    in_flight.record_response(call, outcome);
                }
                relay.record_output(is_event_stream && !is_failure);
                return_to_pool(shared, response, &in_flight);
                relay.delivery.keeps_connection = keep_alive;
                return relay.delivery;
            }
            End::UpstreamLost(reason) => {
                in_flight.set_outcome(Outcome::Failed);
                in_flight.record_response(call, Response::Failed);
                attempts.last = format_compact!("{}: {reason}", response.upstream);
                // A response that is spoilt on a live connection shows no crash.
                let progress = relay.progress(is_event_stream);
                let is_disconnected = response.upstream_response.is_disconnected();
                if let Some(progress) = progress.filter(|_| is_disconnected) {
                    in_flight.record_lost_connection(call, progress).await;
                }
                let is_resumable = may_resume && relay.position.is_resumable();
                if !is_resumable || attempts.runs >= call.route().max_attempts {
                    return relay.truncated(Refusal::UpstreamFailed, &reason);
                }
                (reason, None)
            }
            End::Silent(successor) => {
                let silent = &mut response;
                let moved = relay.move_stream(shared, call, caller, attempts, silent, successor);
                match moved.await {
                    Ok(Move::None) => continue,
                    Ok(Move::Begun(next)) => {
                        relay.record_moved(&mut in_flight, attempts, &response);
                        (SILENCE_REASON.into(), Some(next))
                    }
                    Ok(Move::Done(next, next_in_flight)) => {
                        relay.record_moved(&mut in_flight, attempts, &response);
                        relay.log_resume(&response, SILENCE_REASON);
                        response = next;
                        in_flight = next_in_flight;
                        relay.begin_response();
                        continue;
                    }
                    Err(Interrupt::CallerGone) => return relay.abandoned(),
                    Err(Interrupt::Deadline) => {
                        return relay.truncated(Refusal::TimedOut, DEADLINE_REASON)
                    }
                }
            }
            End::CallerGone => return relay.abandoned(),
            End::Deadline => {
                // A version that is several times slower shows in responses that never end in time.
                in_flight.record_response(call, Response::Failed);
                return relay.truncated(Refusal::TimedOut, DEADLINE_REASON);
            }
        };
        relay.log_resume(&response, &reason);
        drop(in_flight);
        drop(response);
        let last_event_id = relay.position.resume_after();
        let next = attempt::run(shared, call, caller, attempts, last_event_id, exchange);
        match next.await {
            Ok((next, next_in_flight)) if next.upstream_response.status() == 200 => {
                response = next;
                in_flight = next_in_flight;
                relay.begin_response();
            }
            Ok((next, _)) => {
                let status = next.upstream_response.status();
                return relay.truncated(
                    Refusal::UpstreamFailed,
                    &format_compact!("{reason}; then status {status}"),
                );
            }
            Err(Failure::CallerGone) => return relay.abandoned(),
            Err(Failure::Refused(_, next_reason, _)) => {
                return relay.truncated(
                    Refusal::UpstreamFailed,
                    &format_compact!("{reason}; then {next_reason}"),
                );
            }
        }
    }
}

impl Relay<'_> {
    /// Returns the result for a response whose end does not reach the caller; `refusal` replaces it if nothing was sent.
    fn truncated(mut self, refusal: Refusal, reason: &str) -> Delivery {
        if self.holds_head {
            self.delivery.status = refusal.status();
            self.delivery.refusal = Some(refusal);
            self.delivery.end = format_compact!("no part of the body: {reason}");
        } else {
            self.shared.metrics.add("responses_truncated", 1);
            self.delivery.end = format_compact!("truncated: {reason}");
        }
        self.delivery
    }

    /// Returns the result for a caller that has disconnected.
    fn abandoned(mut self) -> Delivery {
        self.delivery.end = "caller disconnected".into();
        self.delivery
    }

    fn log_resume(&self, response: &StartedResponse, reason: &str) {
        log::info!(
            step = "resume", request_id = self.call.meta.id.as_str(),
            upstream = response.upstream.as_str(), events = self.delivery.events,
            last_event_id = self.position.resume_after();
            "resuming the stream at another upstream: {reason}"
        );
    }

    /// Sends the request to a successor of a silent upstream, which keeps the stream if it sends anything meanwhile or if
    /// the successor does not take the stream.
    async fn move_stream<'a: 'c, 'c>(
        &mut self,
        shared: &'a Shared,
        call: &'c Call<'_>,
        caller: &mut Socket,
        attempts: &mut Attempts,
        response: &mut StartedResponse,
        successor: Box<Successor>,
    ) -> Result<Move<'a, 'c>, Interrupt> {
        let last_event_id = self.position.resume_after();
        let present = response.upstream_response.receive(READ_BYTES);
        let handed = hand_over(
            shared,
            call,
            caller,
            attempts,
            present,
            successor,
            last_event_id,
        );
        match handed.await? {
            HandOver::Present(Ok(()), next) if response.upstream_response.is_broken_off() => {
                Ok(Move::Begun(next))
            }
            HandOver::Present(Ok(()), _) => {
                // The successor may have begun to run the request.
                attempts.runs += 1;
                self.record_received(response);
                Ok(Move::None)
            }
            HandOver::Present(Err(_), next) | HandOver::Unanswered(next) => Ok(Move::Begun(next)),
            HandOver::Successor(next, next_in_flight) if next.upstream_response.status() == 200 => {
                attempts.runs += 1;
                Ok(Move::Done(next, next_in_flight))
            }
            HandOver::Successor(next, next_in_flight) => {
                let reason = format_compact!("status {}", next.upstream_response.status());
                attempts.record_failed_run(call, next_in_flight, &reason);
                self.silence_timeout = SEARCH_INTERVAL;
                Ok(Move::None)
            }
            HandOver::Refused => {
                self.silence_timeout = SEARCH_INTERVAL;
                Ok(Move::None)
            }
        }
    }

    /// Records that a stream has left a silent upstream.
    fn record_moved(
        &self,
        in_flight: &mut InFlight<'_>,
        attempts: &mut Attempts,
        response: &StartedResponse,
    ) {
        in_flight.set_outcome(Outcome::Failed);
        in_flight.record_response(self.call, Response::Failed);
        attempts.last = format_compact!("{}: {SILENCE_REASON}", response.upstream);
    }

    /// Prepares for the first byte of the response of another upstream.
    fn begin_response(&mut self) {
        self.splitter = EventSplitter::default();
        self.position.begin_run();
        self.has_body = false;
        self.has_event = false;
        self.measured_from = (0, 0);
        self.silence_timeout = SILENCE_TIMEOUT;
    }

    /// Records that the upstream has sent some bytes.
    fn record_received(&mut self, response: &StartedResponse) {
        let now_ms = self.shared.now_ms();
        let mut placement = self.shared.placement.borrow_mut();
        placement.record_activity(&response.upstream, now_ms);
        self.delivery.last_byte_ms = now_ms;
        self.silence_timeout = SILENCE_TIMEOUT;
    }

    /// Relays the body of one response until it ends or fails.
    async fn relay_body(
        &mut self,
        caller: &mut Socket,
        response: &mut StartedResponse,
        in_flight: &InFlight<'_>,
        attempts: &Attempts,
        is_event_stream: bool,
        may_resume: bool,
    ) -> End {
        let may_move = may_resume && attempts.may_move(self.call);
        let remaining = Duration::from_millis(self.call.remaining_ms(self.shared));
        let mut deadline = pin!(monoio::time::sleep_until(
            (Instant::now() + remaining).into()
        ));
        let mut is_ended = false;
        let mut reads: u32 = 0;
        let mut turn_started = Instant::now();
        loop {
            while !is_ended {
                match response.upstream_response.take_bytes() {
                    Ok(Some(piece)) => {
                        if let Err(reason) = self.process_body(response, &piece, is_event_stream) {
                            if self.flush(caller).is_err() {
                                return End::CallerGone;
                            }
                            return End::UpstreamLost(reason.into());
                        }
                    }
                    Ok(None) if response.upstream_response.is_ended() => {
                        if let Err(reason) = self.check_end(response, is_event_stream) {
                            if self.flush(caller).is_err() {
                                return End::CallerGone;
                            }
                            return End::UpstreamLost(reason.into());
                        }
                        is_ended = true;
                        self.finish();
                    }
                    Ok(None) => break,
                    Err(error) => {
                        // Complete events that were received are delivered nevertheless.
                        let _ = self.flush(caller);
                        return End::UpstreamLost(format_compact!("{error}"));
                    }
                }
            }
            if self.flush(caller).is_err() {
                return End::CallerGone;
            }
            let is_written = self.holds_head || self.writing.is_empty() && self.queued.is_empty();
            if is_ended && is_written {
                return End::Complete;
            }
            let read_bytes = if is_ended {
                0
            } else {
                self.read_permit_bytes(caller)
            };
            if read_bytes == 0 && !is_ended {
                // The time until the next read is that of the caller, not of the engine.
                self.measured_from = (0, 0);
            }
            let may_move = may_move && read_bytes > 0 && self.position.is_resumable();
            let silence = may_move.then_some(self.silence_timeout);
            let successor =
                find_successor(self.shared, self.call, &attempts.tried, silence, || true);
            let event = wait(
                caller,
                response,
                read_bytes,
                !is_written,
                self.is_watching_caller,
                successor,
                deadline.as_mut(),
            );
            match event.await {
                WaitEvent::Received(Ok(())) => {
                    self.record_received(response);
                    self.measure_output_time(in_flight);
                    reads += 1;
                    if reads.is_multiple_of(READS_PER_TURN) {
                        if turn_started.elapsed() < TURN_TIME {
                            monoio::time::sleep(TURN_PAUSE).await;
                        }
                        turn_started = Instant::now();
                    }
                }
                WaitEvent::Received(Err(error)) => {
                    return End::UpstreamLost(format_compact!("{error}"));
                }
                WaitEvent::Writable => {}
                WaitEvent::CallerReadable => match caller.try_fill_up_to(WATCH_BYTES) {
                    Some(Ok(0) | Err(_)) => return End::CallerGone,
                    Some(Ok(_)) => self.is_watching_caller = false,
                    None => {}
                },
                WaitEvent::Silent(successor) => return End::Silent(successor),
                WaitEvent::Deadline => return End::Deadline,
            }
        }
    }

    /// Queues a piece of the body for the caller; of an event stream only complete events.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is too large, so that the upstream sends something other than events, or if an
    /// event of a resumed stream does not join those before.
    fn process_body(
        &mut self,
        response: &StartedResponse,
        piece: &[u8],
        is_event_stream: bool,
    ) -> Result<(), &'static str> {
        self.has_body = true;
        if self.delivery.first_byte_ms == 0 {
            self.delivery.first_byte_ms = self.shared.now_ms();
        }
        if !is_event_stream {
            self.enqueue(piece);
            return Ok(());
        }
        self.splitter.push(piece);
        while let Some(event) = self.splitter.next_event()? {
            if event.is_comment() {
                self.enqueue(&event.raw);
                continue;
            }
            if self.accept(response, &event)? == Disposition::Repeated {
                continue;
            }
            if !std::mem::replace(&mut self.has_event, true) {
                crashes::record_served(self.shared, self.call, Proof::Begun);
                self.first_event_ms = self.shared.now_ms();
                self.response_events = 0;
                self.measured_from = (0, 0);
            }
            self.response_events += 1;
            if self.measured_from.1 == 0 {
                self.measured_from = (self.shared.now_ms(), self.response_events);
            }
            self.enqueue(&event.raw);
            self.event_ends.push_back(self.queued_bytes);
        }
        Ok(())
    }

    /// Decides whether an event is passed on, and logs what leaves no trace in the response.
    ///
    /// # Errors
    ///
    /// Returns an error if an event of a resumed stream does not join those before.
    fn accept(
        &mut self,
        response: &StartedResponse,
        event: &Event,
    ) -> Result<Disposition, &'static str> {
        let before = self.position;
        let disposition = self.position.accept(event.id)?;
        let lost_position = self.position.is_unknown() && !before.is_unknown();
        let message = match disposition {
            Disposition::Repeated => "dropping a repeated event of a resumed stream",
            Disposition::New if lost_position => {
                "the ids do not increase, the stream is not resumable"
            }
            Disposition::New => return Ok(disposition),
        };
        log::info!(
            step = "relay", request_id = self.call.meta.id.as_str(),
            upstream = response.upstream.as_str(), event_id:% = event.id,
            last_event_id = before.last_id();
            "{message}"
        );
        Ok(disposition)
    }

    /// Returns how much of the current response has arrived; `None` if so much that a crash says nothing about its
    /// request.
    fn progress(&self, is_event_stream: bool) -> Option<ResponseProgress> {
        let is_underway = if is_event_stream {
            self.has_event
        } else {
            self.has_body
        };
        match is_underway {
            false => Some(ResponseProgress::Begun),
            true if is_event_stream && self.response_events > MAX_SUSPECT_EVENTS => None,
            true => Some(ResponseProgress::Underway),
        }
    }

    /// Returns the time per unit of work of a complete response: between two events of a stream, or in all. A stream of
    /// one event has none.
    fn timing(&self, in_flight: &InFlight<'_>, is_event_stream: bool) -> Option<Response> {
        let unit_ms = if is_event_stream {
            let pauses = self
                .response_events
                .checked_sub(1)
                .filter(|pauses| *pauses > 0)?;
            self.shared.now_ms().saturating_sub(self.first_event_ms) as f64 / pauses as f64
        } else {
            in_flight.elapsed_ms() as f64
        };
        Some(Response::Served { unit_ms })
    }

    /// Measures the time per output token each time some more events have arrived.
    fn measure_output_time(&mut self, in_flight: &InFlight<'_>) {
        let (from_ms, from_event) = self.measured_from;
        let events = self.response_events.saturating_sub(from_event);
        if events < EVENTS_PER_MEASUREMENT || from_event == 0 {
            return;
        }
        let now_ms = self.delivery.last_byte_ms;
        self.measured_from = (now_ms, self.response_events);
        let tokens = events * self.call.event_tokens();
        in_flight.record_output_time(tokens, now_ms.saturating_sub(from_ms));
    }

    /// Records the number of output tokens of a complete response, unless its caller had received a part of it before.
    fn record_output(&self, is_stream: bool) {
        if !is_stream || self.call.meta.last_event_id.is_some() {
            return;
        }
        if let Some(key) = self.call.output_key() {
            let tokens = self.delivery.events * self.call.event_tokens();
            let mut placement = self.shared.placement.borrow_mut();
            placement.record_output_tokens(&key, tokens);
        }
    }

    /// Returns how many bytes may be read from the upstream now; 0 until the caller has taken some of the output.
    ///
    /// Only output that a caller leaves unread is accounted for, so that fast readers cost nothing. A response that has
    /// nothing unread goes on in small steps even if the budget is used up, and so does one whose head is held back,
    /// which can be written only with the first part of the body.
    fn read_permit_bytes(&mut self, caller: &Socket) -> usize {
        let unread_bytes = self.writing.len() + self.queued.len();
        let Some(account) = caller.account() else {
            return READ_BYTES;
        };
        if self.holds_head || unread_bytes < MIN_READ_BYTES {
            if std::mem::take(&mut self.accounts_for_output) {
                account.hold_output(0);
            }
            return if account.is_scarce() {
                MIN_READ_BYTES
            } else {
                READ_BYTES
            };
        }
        self.accounts_for_output = true;
        if unread_bytes < MAX_BUFFERED_BYTES && account.try_resize_output(unread_bytes + READ_BYTES)
        {
            return READ_BYTES;
        }
        account.hold_output(unread_bytes);
        0
    }

    /// Checks that the body may be complete where the current response ends.
    ///
    /// # Errors
    ///
    /// Returns an error if a resumed stream has not reached the events that the caller has, or if the connection ends a
    /// stream elsewhere than after an event.
    fn check_end(
        &self,
        response: &StartedResponse,
        is_event_stream: bool,
    ) -> Result<(), &'static str> {
        if !is_event_stream {
            return Ok(());
        }
        self.position.check_end()?;
        let is_at_event_end = self.splitter.pending_bytes() == 0 && self.position.has_begun();
        if response.upstream_response.is_unframed() && !is_at_event_end {
            return Err("the connection ended inside an event");
        }
        Ok(())
    }

    /// Queues the rest of the body and its end.
    fn finish(&mut self) {
        self.holds_head = false;
        let rest = self.splitter.take_rest();
        if !rest.is_empty() {
            self.enqueue(&rest);
        }
        if self.framing == Framing::Chunked {
            self.put(b"0\r\n\r\n");
        }
    }

    fn enqueue(&mut self, content: &[u8]) {
        if self.framing == Framing::Length {
            self.put(content);
            return;
        }
        self.put(format!("{:x}\r\n", content.len()).as_bytes());
        self.put(content);
        self.put(b"\r\n");
    }

    fn put(&mut self, bytes: &[u8]) {
        self.holds_head = false;
        self.queued.put_slice(bytes);
        self.queued_bytes += bytes.len() as u64;
    }

    /// Counts bytes that were written to the caller, and the events that they complete.
    fn record_written(&mut self, bytes: usize) {
        self.written_bytes += bytes as u64;
        while self
            .event_ends
            .front()
            .is_some_and(|end| *end <= self.written_bytes)
        {
            self.event_ends.pop_front();
            self.delivery.events += 1;
        }
    }

    /// Writes as much as the kernel accepts without blocking.
    fn flush(&mut self, caller: &mut Socket) -> Result<(), ()> {
        if self.holds_head {
            return Ok(());
        }
        loop {
            if self.writing.is_empty() {
                if self.queued.is_empty() {
                    return Ok(());
                }
                self.writing = self.queued.split().freeze();
            }
            match caller.try_write(&mut self.writing) {
                Some(Ok(count @ 1..)) => self.record_written(count),
                Some(_) => return Err(()),
                None => return Ok(()),
            }
            if !self.writing.has_remaining() {
                self.writing = Bytes::new();
            }
        }
    }
}

/// Returns the connection of a complete response to the pool.
fn return_to_pool(shared: &Shared, response: StartedResponse, in_flight: &InFlight<'_>) {
    let keep_alive_s = headers::keep_alive_s(response.upstream_response.headers());
    let is_current = shared
        .directory
        .borrow()
        .get(&response.upstream)
        .is_some_and(|entry| !entry.is_draining && in_flight.is_at(entry));
    if !is_current {
        return;
    }
    if let Some(socket) = response.upstream_response.into_reusable() {
        let now_ms = shared.now_ms();
        shared
            .pool
            .put(&response.upstream, socket, keep_alive_s, now_ms);
    }
}
