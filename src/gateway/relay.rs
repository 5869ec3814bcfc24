//! Relays a response to the caller and counts what is delivered.
//!
//! The body passes unchanged. Streams pass event by event, so that a stream that breaks at its upstream can continue
//! at another one behind the last whole event, and so that only delivered tokens are charged. A body that ends early
//! never looks complete: the connection to the caller is closed instead of ending the body.

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use compact_str::{format_compact, CompactString};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

use super::attempt::{self, put_fields, Attempts, Response, Sent};
use super::request::Call;
use super::Shared;
use crate::placement::Outcome;
use crate::platform::headers;
use crate::routing::RetrySemantics;
use crate::server::Socket;
use crate::upstream_client::EventSplitter;

/// Bytes of one response that wait for a slow reader before the upstream is no longer read.
const MAX_WAITING_BYTES: usize = 64 << 10;

/// Bytes that are read from an upstream at once.
const READ_BYTES: usize = 16 << 10;

/// Pause of a stream after which its upstream counts as lost, if it may continue elsewhere; callers leave after 2 s.
const SILENCE: Duration = Duration::from_millis(1_200);

/// What became of a response.
pub(super) struct Delivery {
    /// Status that the caller got; 0 if none.
    pub(super) status: u16,
    /// Whole events that were written to the caller.
    pub(super) events: u64,
    /// Time of the first byte of the body.
    pub(super) first_byte_ms: u64,
    /// How it ended, for the log.
    pub(super) end: CompactString,
    /// Whether the caller's connection can carry another request.
    pub(super) keeps_connection: bool,
}

impl Delivery {
    /// Makes the result of a request without a response.
    pub(super) fn failed(end: &str) -> Self {
        Self {
            status: 0,
            events: 0,
            first_byte_ms: 0,
            end: end.into(),
            keeps_connection: false,
        }
    }
}

/// How the body is written to the caller.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// As it is; the head gave its length.
    Length,
    /// In chunks.
    Chunked,
}

/// What ended the wait.
enum Wake {
    Received(Result<(), crate::upstream_client::Error>),
    Writable,
    CallerReadable,
    Silent,
    Deadline,
}

/// Why relaying ended.
enum End {
    Complete,
    UpstreamLost(CompactString),
    CallerGone,
    Deadline,
}

struct Relay<'r> {
    shared: &'r Shared,
    call: &'r Call<'r>,
    framing: Framing,
    /// Bytes for the caller: first those that were offered to the kernel, then the rest.
    writing: Bytes,
    queued: BytesMut,
    splitter: EventSplitter,
    delivery: Delivery,
    last_event_id: Option<u64>,
    is_watching: bool,
}

/// Relays a response; a stream that may continue elsewhere does so when its upstream breaks off.
pub(super) async fn run<'a>(
    shared: &'a Shared,
    call: &Call<'_>,
    caller: &mut Socket,
    response: Response,
    mut sent: Sent<'a>,
    attempts: &mut Attempts,
) -> Delivery {
    let keeps = shared.keeps_connection(call.request);
    let mut response = response;
    let status = response.exchange.status();
    let is_event_stream = call.route().is_stream && status == 200;
    let may_resume = is_event_stream && call.route().retry_semantics == RetrySemantics::Resumable;
    let framing = match response.exchange.content_length() {
        Some(_) if !may_resume => Framing::Length,
        _ => Framing::Chunked,
    };
    let mut relay = Relay {
        shared,
        call,
        framing,
        writing: Bytes::new(),
        queued: head(&response, framing, keeps),
        splitter: EventSplitter::default(),
        delivery: Delivery::failed("complete"),
        last_event_id: call.meta.last_event_id,
        is_watching: caller.input_len() == 0,
    };
    relay.delivery.status = status;
    loop {
        let end = relay
            .body(caller, &mut response, is_event_stream, may_resume)
            .await;
        let is_failure = status >= 500;
        match end {
            End::Complete => {
                sent.set_outcome(if is_failure {
                    Outcome::Failed
                } else {
                    Outcome::Served
                });
                release(shared, response);
                relay.delivery.keeps_connection = keeps;
                return relay.delivery;
            }
            End::UpstreamLost(reason) => {
                sent.set_outcome(Outcome::Failed);
                attempts.last = format_compact!("{}: {reason}", response.upstream);
                if may_resume && attempts.runs < call.route().max_attempts {
                    log::info!(step = "resume", request_id = call.meta.id.as_str(), upstream = response.upstream.as_str(), events = relay.delivery.events; "{reason}");
                    drop(sent);
                    drop(response);
                    let next = attempt::run(shared, call, caller, attempts, relay.last_event_id);
                    if let Ok((next, next_sent)) = next.await {
                        if next.exchange.status() == 200 {
                            response = next;
                            sent = next_sent;
                            relay.splitter = EventSplitter::default();
                            continue;
                        }
                    }
                }
                relay.delivery.end = format_compact!("broken off: {reason}");
                return relay.delivery;
            }
            End::CallerGone => {
                relay.delivery.end = "the caller left".into();
                return relay.delivery;
            }
            End::Deadline => {
                relay.delivery.end = "broken off: no time is left".into();
                return relay.delivery;
            }
        }
    }
}

impl Relay<'_> {
    /// Relays the body of one response.
    async fn body(
        &mut self,
        caller: &mut Socket,
        response: &mut Response,
        is_event_stream: bool,
        may_resume: bool,
    ) -> End {
        let left = Duration::from_millis(self.call.left_ms(self.shared));
        let mut deadline = pin!(monoio::time::sleep_until((Instant::now() + left).into()));
        let mut is_ended = false;
        loop {
            while !is_ended {
                match response.exchange.take_bytes() {
                    Ok(Some(piece)) => self.accept(&piece, is_event_stream),
                    Ok(None) if response.exchange.is_ended() => {
                        is_ended = true;
                        self.finish();
                    }
                    Ok(None) => break,
                    Err(error) => {
                        // Whole events that were received are delivered all the same.
                        let _ = self.flush(caller);
                        return End::UpstreamLost(format_compact!("{error}"));
                    }
                }
            }
            if self.flush(caller).is_err() {
                return End::CallerGone;
            }
            let is_written = self.writing.is_empty() && self.queued.is_empty();
            if is_ended && is_written {
                return End::Complete;
            }
            let can_read = !is_ended && self.queued.len() < MAX_WAITING_BYTES;
            let silence = (may_resume && can_read).then_some(SILENCE);
            let wake = wait(
                caller,
                response,
                can_read,
                !is_written,
                self.is_watching,
                silence,
                deadline.as_mut(),
            );
            match wake.await {
                Wake::Received(Ok(())) => {
                    let now_ms = self.shared.now_ms();
                    let mut placement = self.shared.placement.borrow_mut();
                    placement.record_activity(&response.upstream, now_ms);
                }
                Wake::Received(Err(error)) => {
                    return End::UpstreamLost(format_compact!("{error}"));
                }
                Wake::Writable => {}
                Wake::CallerReadable => match caller.try_fill() {
                    Some(Ok(0) | Err(_)) => return End::CallerGone,
                    Some(Ok(_)) => self.is_watching = false,
                    None => {}
                },
                Wake::Silent => return End::UpstreamLost("the upstream is silent".into()),
                Wake::Deadline => return End::Deadline,
            }
        }
    }

    /// Takes a piece of the body.
    fn accept(&mut self, piece: &[u8], is_event_stream: bool) {
        if self.delivery.first_byte_ms == 0 {
            self.delivery.first_byte_ms = self.shared.now_ms();
        }
        if !is_event_stream {
            self.push(piece);
            return;
        }
        self.splitter.push(piece);
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => {
                    // A resumed stream may repeat events that the caller has.
                    if event.index.is_some() && event.index <= self.last_event_id {
                        continue;
                    }
                    self.last_event_id = event.index.or(self.last_event_id);
                    self.delivery.events += 1;
                    self.push(&event.raw);
                }
                Ok(None) => return,
                Err(error) => {
                    log::warn!(step = "relay", request_id = self.call.meta.id.as_str(); "{error}");
                    return;
                }
            }
        }
    }

    /// Ends the body.
    fn finish(&mut self) {
        let rest = self.splitter.take_rest();
        if !rest.is_empty() {
            self.push(&rest);
        }
        if self.framing == Framing::Chunked {
            self.queued.put_slice(b"0\r\n\r\n");
        }
    }

    fn push(&mut self, content: &[u8]) {
        if self.framing == Framing::Length {
            self.queued.put_slice(content);
            return;
        }
        self.queued
            .put_slice(format!("{:x}\r\n", content.len()).as_bytes());
        self.queued.put_slice(content);
        self.queued.put_slice(b"\r\n");
    }

    /// Writes as much as the kernel takes.
    fn flush(&mut self, caller: &mut Socket) -> Result<(), ()> {
        loop {
            if self.writing.is_empty() {
                if self.queued.is_empty() {
                    return Ok(());
                }
                self.writing = self.queued.split().freeze();
            }
            match caller.try_write(&mut self.writing) {
                Some(Ok(1..)) => {}
                Some(_) => return Err(()),
                None => return Ok(()),
            }
            if !self.writing.has_remaining() {
                self.writing = Bytes::new();
            }
        }
    }
}

/// Waits for whatever happens next.
async fn wait(
    caller: &Socket,
    response: &mut Response,
    can_read: bool,
    wants_write: bool,
    is_watching: bool,
    silence: Option<Duration>,
    mut deadline: std::pin::Pin<&mut monoio::time::Sleep>,
) -> Wake {
    let mut received = pin!(response.exchange.receive(READ_BYTES));
    let mut writable = pin!(caller.writable());
    let mut readable = pin!(caller.readable());
    let mut silent = pin!(async {
        match silence {
            Some(silence) => monoio::time::sleep(silence).await,
            None => std::future::pending().await,
        }
    });
    poll_fn(|context| {
        if can_read {
            if let Poll::Ready(result) = received.as_mut().poll(context) {
                return Poll::Ready(Wake::Received(result));
            }
        }
        if wants_write && writable.as_mut().poll(context).is_ready() {
            return Poll::Ready(Wake::Writable);
        }
        if is_watching && readable.as_mut().poll(context).is_ready() {
            return Poll::Ready(Wake::CallerReadable);
        }
        if silent.as_mut().poll(context).is_ready() {
            return Poll::Ready(Wake::Silent);
        }
        if deadline.as_mut().poll(context).is_ready() {
            return Poll::Ready(Wake::Deadline);
        }
        Poll::Pending
    })
    .await
}

/// Encodes the head for the caller.
fn head(response: &Response, framing: Framing, keeps: bool) -> BytesMut {
    let status = response.exchange.status();
    let phrase = http::StatusCode::from_u16(status).ok();
    let phrase = phrase.and_then(|status| status.canonical_reason());
    let mut output = BytesMut::with_capacity(512);
    output.put_slice(format!("HTTP/1.1 {status} {}\r\n", phrase.unwrap_or("Unknown")).as_bytes());
    let mut fields = headers::end_to_end(response.exchange.headers());
    fields.remove(TRANSFER_ENCODING);
    if framing == Framing::Chunked {
        fields.remove(CONTENT_LENGTH);
    }
    put_fields(&mut output, &fields);
    match framing {
        Framing::Chunked => output.put_slice(b"transfer-encoding: chunked\r\n"),
        Framing::Length if !fields.contains_key(CONTENT_LENGTH) => {
            output.put_slice(b"content-length: 0\r\n");
        }
        Framing::Length => {}
    }
    if !keeps {
        output.put_slice(b"connection: close\r\n");
    }
    output.put_slice(b"\r\n");
    output
}

/// Keeps the connection of a complete response for the next request.
fn release(shared: &Shared, response: Response) {
    let keep_alive_s = headers::keep_alive_s(response.exchange.headers());
    let is_current = shared
        .directory
        .borrow()
        .get(&response.upstream)
        .is_some_and(|entry| !entry.is_draining);
    if !response.is_reusable || !is_current {
        return;
    }
    if let Some(socket) = response.exchange.into_reusable() {
        let now_ms = shared.now_ms();
        shared
            .pool
            .keep(&response.upstream, socket, keep_alive_s, now_ms);
    }
}
