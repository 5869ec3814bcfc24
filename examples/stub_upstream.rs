//! Stub of a model engine and a plain service in one process, for tests and measurements.
//!
//! Responses are a function of the request key, so that two runs of one request can be compared. Tokens are produced at
//! a fixed rate from the start of a stream, whether or not they are read. `POST /fault` injects failures, and
//! `GET /executions` returns how often each request key ran.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use clap::{Arg, Command};
use monsoonfield::server::{listen, ChatRequest, Request, RequestLimits, ResponseHead, Socket};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// Longest sleep of a task, after which it checks for changed faults.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Largest number of events that a stream produces at once.
const MAX_NEW_EVENTS: u64 = 4;

const LIMITS: RequestLimits = RequestLimits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(10),
    read_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(600),
};

/// Faults to inject; `POST /fault` replaces all of them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Fault {
    /// Delay before every response.
    stall_ms: u64,
    /// Number of requests that are executed before their connection is closed without a response.
    drop_after_acting: u32,
    /// Number of requests that are not executed but answered with status 500.
    fail: u32,
    /// Additional delay of requests whose model or path contains `slow_route`.
    slow_ms: u64,
    /// Text in the model or path of requests to which `slow_ms` applies; empty applies it to all requests.
    slow_route: String,
    /// Ends the process once a request whose body contains this text has got `crash_after_events` events.
    crash_on: String,
    /// Number of events that are sent before the process ends.
    crash_after_events: u64,
    /// Number of streams whose connection is closed after `break_after_events` events.
    break_streams: u32,
    /// Number of events that are sent before a stream breaks.
    break_after_events: u64,
    /// Drops the state of broken streams, like an engine without resumption.
    forget_streams: bool,
    /// Closes every connection without a response, except for requests to `/fault`, `/executions` and `/counters`.
    unavailable: bool,
    /// Omits every n-th cache event; 0 omits none.
    cache_gap_every: u64,
    /// Age that the load report states.
    load_lag_ms: u64,
    /// Reports that the upstream is leaving, and refuses new work.
    leaving: bool,
}

struct Stream {
    started: Instant,
    total_events: u64,
    prompt_tokens: u64,
    crashes: bool,
}

struct Stub {
    version: String,
    tokens_per_second: u64,
    event_bytes: usize,
    checks_fencing: bool,
    fault: RefCell<Fault>,
    streams: RefCell<HashMap<String, Stream>>,
    executions: RefCell<BTreeMap<String, u64>>,
    resumes: Cell<u64>,
    attached: Cell<u64>,
    max_attached: Cell<u64>,
    fence: Cell<u64>,
    orders: RefCell<Vec<Value>>,
    /// Cache events: a block of a prompt prefix, and whether it was stored.
    cache: RefCell<Vec<(u64, bool)>>,
    /// Largest index from which cache events were requested.
    cache_asked_from: Cell<u64>,
}

/// The connection is closed, or has to be closed without a response.
struct ConnectionClosed;

impl From<std::io::Error> for ConnectionClosed {
    fn from(_: std::io::Error) -> Self {
        Self
    }
}

#[derive(Deserialize)]
struct Chat {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

fn main() {
    let matches = command().get_matches();
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| *matches.get_one::<u64>(name).unwrap_or(&0);
    let stub = Rc::new(Stub {
        version: text("version"),
        tokens_per_second: number("tokens-per-second"),
        event_bytes: number("event-bytes") as usize,
        checks_fencing: !matches.get_flag("ignore-fencing"),
        fault: RefCell::default(),
        streams: RefCell::default(),
        executions: RefCell::default(),
        resumes: Cell::new(0),
        attached: Cell::new(0),
        max_attached: Cell::new(0),
        fence: Cell::new(0),
        orders: RefCell::default(),
        cache: RefCell::default(),
        cache_asked_from: Cell::new(0),
    });
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime starts");
    runtime.block_on(serve(stub, &text("listen")));
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(clap::value_parser!(u64))
            .default_value(default)
    };
    Command::new("stub_upstream")
        .about("Stub of a model engine and a plain service, with fault injection")
        .arg(
            Arg::new("listen")
                .long("listen")
                .default_value("127.0.0.1:0"),
        )
        .arg(Arg::new("version").long("version").default_value("v1"))
        .arg(
            number("tokens-per-second", "1000")
                .help("Tokens per second and stream; 0 means unlimited"),
        )
        .arg(number("event-bytes", "8").help("Bytes of text per event"))
        .arg(
            Arg::new("ignore-fencing")
                .long("ignore-fencing")
                .action(clap::ArgAction::SetTrue),
        )
}

async fn serve(stub: Rc<Stub>, address: &str) {
    let listener = listen(address, None).expect("the address is free");
    let local = listener.local_addr().expect("the listener has an address");
    println!("{}", json!({ "listen": local.to_string() }));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let stub = Rc::clone(&stub);
                monoio::spawn(async move {
                    let mut socket = Socket::new(stream);
                    while stub.serve_request(&mut socket).await.is_ok() {}
                });
            }
            Err(error) => {
                eprintln!("accept: {error}");
                monoio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}

impl Stub {
    async fn serve_request(&self, socket: &mut Socket) -> Result<(), ConnectionClosed> {
        let request = Request::read(socket, LIMITS, |_| None)
            .await
            .map_err(|_| ConnectionClosed)?;
        let path = request.uri.path().to_owned();
        match (request.method.as_str(), path.as_str()) {
            ("POST", "/fault") => {
                let parsed = serde_json::from_slice(&request.body);
                let Ok(fault) = parsed else {
                    return respond(socket, 400, &json!({ "error": "not a fault" })).await;
                };
                *self.fault.borrow_mut() = fault;
                respond(socket, 200, &json!({})).await
            }
            ("GET", "/executions") => {
                let counts = json!(*self.executions.borrow());
                respond(socket, 200, &counts).await
            }
            ("GET", "/counters") => respond(socket, 200, &self.counters()).await,
            _ if self.fault.borrow().unavailable => Err(ConnectionClosed),
            ("GET", "/v1/load") => respond(socket, 200, &self.load()).await,
            ("GET", "/v1/cache-events") => respond(socket, 200, &self.cache_events(&request)).await,
            ("POST", "/v1/orders") => self.order(socket, &request).await,
            ("POST", "/v1/chat/completions") => self.chat(socket, &request).await,
            (method, path) => match path.strip_prefix("/v1/streams/") {
                Some(key) if method == "GET" => self.resume(socket, &request, key).await,
                Some(key) if method == "DELETE" => {
                    self.cancel(key);
                    respond(socket, 200, &json!({})).await
                }
                _ => self.service_call(socket, &request).await,
            },
        }
    }

    fn counters(&self) -> Value {
        json!({
            "attached": self.attached.get(),
            "max_attached": self.max_attached.get(),
            "resumes": self.resumes.get(),
            "cache_asked_from": self.cache_asked_from.get(),
            "orders": *self.orders.borrow(),
        })
    }

    fn load(&self) -> Value {
        let streams = self.streams.borrow();
        let left: Vec<u64> = streams
            .values()
            .map(|stream| stream.total_events - self.produced_events(stream))
            .filter(|&events| events > 0)
            .collect();
        let fault = self.fault.borrow();
        json!({
            "running": left.len(),
            "waiting": 0,
            "outstanding_tokens": left.iter().sum::<u64>(),
            "age_ms": fault.load_lag_ms,
            "is_leaving": fault.leaving,
        })
    }

    fn cache_events(&self, request: &Request) -> Value {
        let from = query_number(request, "from").unwrap_or(0);
        self.cache_asked_from
            .set(self.cache_asked_from.get().max(from));
        let gap_every = self.fault.borrow().cache_gap_every;
        let cache = self.cache.borrow();
        let events: Vec<Value> = cache
            .iter()
            .enumerate()
            .skip(from as usize)
            .filter(|(index, _)| gap_every == 0 || !(*index as u64 + 1).is_multiple_of(gap_every))
            .map(|(index, &(prefix, stored))| {
                json!({ "index": index, "prefix": prefix, "stored": stored })
            })
            .collect();
        json!({ "events": events, "next": cache.len() })
    }

    async fn order(&self, socket: &mut Socket, request: &Request) -> Result<(), ConnectionClosed> {
        let Ok(order) = serde_json::from_slice::<Value>(&request.body) else {
            return respond(socket, 400, &json!({ "error": "not an order" })).await;
        };
        let fence = order["fence"].as_u64().unwrap_or(0);
        let accepted = !self.checks_fencing || fence >= self.fence.get();
        if accepted {
            self.fence.set(self.fence.get().max(fence));
            self.orders.borrow_mut().push(order);
        }
        let answer = json!({ "accepted": accepted, "fence": self.fence.get() });
        respond(socket, if accepted { 200 } else { 409 }, &answer).await
    }

    /// Applies delays and failures before a request is executed; returns whether it shall be executed.
    async fn apply_faults(
        &self,
        socket: &mut Socket,
        route: &str,
    ) -> Result<bool, ConnectionClosed> {
        let fault = self.fault.borrow().clone();
        let mut delay_ms = fault.stall_ms;
        if route.contains(&fault.slow_route) {
            delay_ms += fault.slow_ms;
        }
        if delay_ms > 0 {
            monoio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if fault.leaving {
            respond(socket, 503, &json!({ "error": "leaving" })).await?;
            return Ok(false);
        }
        if fault.fail > 0 {
            self.fault.borrow_mut().fail -= 1;
            respond(socket, 500, &json!({ "error": "injected failure" })).await?;
            return Ok(false);
        }
        Ok(true)
    }

    /// Counts an execution; fails if the response has to be lost.
    fn record_execution(&self, key: &str) -> Result<(), ConnectionClosed> {
        *self.executions.borrow_mut().entry(key.into()).or_default() += 1;
        let mut fault = self.fault.borrow_mut();
        if fault.drop_after_acting > 0 {
            fault.drop_after_acting -= 1;
            return Err(ConnectionClosed);
        }
        Ok(())
    }

    async fn chat(&self, socket: &mut Socket, request: &Request) -> Result<(), ConnectionClosed> {
        let Ok(chat) = serde_json::from_slice::<Chat>(&request.body) else {
            return respond(socket, 400, &json!({ "error": "not a chat request" })).await;
        };
        if !self.apply_faults(socket, &chat.model).await? {
            return Ok(());
        }
        let key = request.header("x-request-key").unwrap_or("none").to_owned();
        let is_known = self.streams.borrow().contains_key(&key);
        if !is_known {
            let text: usize = chat
                .messages
                .iter()
                .map(|message| message.content.len())
                .sum();
            let crash_on = self.fault.borrow().crash_on.clone();
            let body = String::from_utf8_lossy(&request.body);
            let stream = Stream {
                started: Instant::now(),
                total_events: chat.max_tokens.unwrap_or(16),
                prompt_tokens: (text as u64).div_ceil(4),
                crashes: !crash_on.is_empty() && body.contains(&crash_on),
            };
            self.streams.borrow_mut().insert(key.clone(), stream);
            let blocks = ChatRequest::from_json(&request.body).map(|chat| chat.prefix_hashes());
            let stored = blocks.unwrap_or_default().into_iter();
            self.cache
                .borrow_mut()
                .extend(stored.map(|block| (block, true)));
            self.record_execution(&key)?;
        }
        if chat.stream {
            return self.stream(socket, &key, 0).await;
        }
        self.write_whole(socket, &key).await
    }

    async fn resume(
        &self,
        socket: &mut Socket,
        request: &Request,
        key: &str,
    ) -> Result<(), ConnectionClosed> {
        if !self.streams.borrow().contains_key(key) {
            return respond(socket, 404, &json!({ "error": "unknown stream" })).await;
        }
        self.resumes.set(self.resumes.get() + 1);
        let from = query_number(request, "from").unwrap_or(0);
        self.stream(socket, key, from).await
    }

    fn cancel(&self, key: &str) {
        let mut streams = self.streams.borrow_mut();
        if let Some(stream) = streams.get_mut(key) {
            stream.total_events = self.produced_events(stream);
        }
    }

    fn produced_events(&self, stream: &Stream) -> u64 {
        if self.tokens_per_second == 0 {
            return stream.total_events;
        }
        let elapsed_us = stream.started.elapsed().as_micros() as u64;
        let produced = 1 + elapsed_us * self.tokens_per_second / 1_000_000;
        produced.min(stream.total_events)
    }

    /// Returns the next events from an index on, and whether they end the response.
    fn events_from(&self, key: &str, from: u64) -> Option<(Vec<String>, bool)> {
        let streams = self.streams.borrow();
        let stream = streams.get(key)?;
        let produced = self.produced_events(stream);
        let end = produced.min(from + MAX_NEW_EVENTS);
        let mut events: Vec<String> = (from..end).map(|i| self.event(key, i)).collect();
        let is_end = end == stream.total_events;
        if is_end {
            let last = stream.total_events;
            let usage = usage(stream);
            if from <= last {
                let body = json!({
                    "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
                    "usage": usage,
                });
                events.push(format!("id: {last}\ndata: {body}\n\n"));
            }
            events.push(format!("id: {}\ndata: [DONE]\n\n", last + 1));
        }
        Some((events, is_end))
    }

    fn event(&self, key: &str, index: u64) -> String {
        // The text needs no escaping. Building a JSON value per event would make the stub the bottleneck.
        let text = self.event_text(key, index);
        format!(
            "id: {index}\ndata: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n"
        )
    }

    fn event_text(&self, key: &str, index: u64) -> String {
        let tail = &key[key.len().saturating_sub(4)..];
        let mut text = format!("{tail}.{index} ");
        text.push_str(&"x".repeat(self.event_bytes.saturating_sub(text.len())));
        text
    }

    async fn stream(
        &self,
        socket: &mut Socket,
        key: &str,
        from: u64,
    ) -> Result<(), ConnectionClosed> {
        self.attached.set(self.attached.get() + 1);
        self.max_attached
            .set(self.max_attached.get().max(self.attached.get()));
        let result = self.write_stream(socket, key, from).await;
        self.attached.set(self.attached.get() - 1);
        result
    }

    async fn write_stream(
        &self,
        socket: &mut Socket,
        key: &str,
        from: u64,
    ) -> Result<(), ConnectionClosed> {
        let head = head(200, "text/event-stream");
        socket.write_all(head.chunked()).await?;
        let mut next = from;
        loop {
            let (events, is_end) = self.events_from(key, next).ok_or(ConnectionClosed)?;
            for event in &events {
                self.check_stream_fault(key, next)?;
                socket.write_all(chunk(event.as_bytes())).await?;
                next += 1;
            }
            if is_end {
                socket.write_all(Bytes::from_static(b"0\r\n\r\n")).await?;
                return Ok(());
            }
            if events.is_empty() {
                let interval = Duration::from_micros(1_000_000 / self.tokens_per_second.max(1));
                self.wait_while_connected(socket, interval.min(POLL_INTERVAL))
                    .await?;
            }
        }
    }

    /// Sleeps, and fails if the caller has closed the connection.
    async fn wait_while_connected(
        &self,
        socket: &mut Socket,
        time: Duration,
    ) -> Result<(), ConnectionClosed> {
        monoio::time::sleep(time).await;
        match socket.try_fill() {
            None | Some(Ok(1..)) => Ok(()),
            Some(_) => Err(ConnectionClosed),
        }
    }

    fn check_stream_fault(&self, key: &str, sent: u64) -> Result<(), ConnectionClosed> {
        let mut fault = self.fault.borrow_mut();
        let crashes = self.streams.borrow().get(key).is_some_and(|s| s.crashes);
        if crashes && sent >= fault.crash_after_events {
            std::process::exit(3);
        }
        if fault.break_streams > 0 && sent >= fault.break_after_events {
            fault.break_streams -= 1;
            if fault.forget_streams {
                self.streams.borrow_mut().remove(key);
            }
            return Err(ConnectionClosed);
        }
        Ok(())
    }

    async fn write_whole(&self, socket: &mut Socket, key: &str) -> Result<(), ConnectionClosed> {
        loop {
            let (left, body) = {
                let streams = self.streams.borrow();
                let stream = streams.get(key).ok_or(ConnectionClosed)?;
                if stream.crashes {
                    std::process::exit(3);
                }
                let left = stream.total_events - self.produced_events(stream);
                (left, usage(stream))
            };
            if left == 0 {
                let total = body["completion_tokens"].as_u64().unwrap_or(0);
                let text: String = (0..total)
                    .map(|index| self.event_text(key, index))
                    .collect();
                let answer = json!({
                    "choices": [{
                        "index": 0,
                        "message": { "role": "assistant", "content": text },
                        "finish_reason": "stop",
                    }],
                    "version": self.version,
                    "usage": body,
                });
                return respond(socket, 200, &answer).await;
            }
            let wait = Duration::from_micros(left * 1_000_000 / self.tokens_per_second.max(1));
            self.wait_while_connected(socket, wait.clamp(Duration::from_millis(1), POLL_INTERVAL))
                .await?;
        }
    }

    async fn service_call(
        &self,
        socket: &mut Socket,
        request: &Request,
    ) -> Result<(), ConnectionClosed> {
        let path = request.uri.path().to_owned();
        if !self.apply_faults(socket, &path).await? {
            return Ok(());
        }
        let crash_on = self.fault.borrow().crash_on.clone();
        if !crash_on.is_empty() && String::from_utf8_lossy(&request.body).contains(&crash_on) {
            std::process::exit(3);
        }
        let key = request.header("x-request-key").unwrap_or("none").to_owned();
        self.record_execution(&key)?;
        let padding = query_number(request, "bytes").unwrap_or(0);
        let answer = json!({
            "path": path,
            "method": request.method.as_str(),
            "body": String::from_utf8_lossy(&request.body),
            "version": self.version,
            "padding": "x".repeat(padding as usize),
        });
        respond(socket, 200, &answer).await
    }
}

fn usage(stream: &Stream) -> Value {
    json!({
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.total_events,
    })
}

fn query_number(request: &Request, name: &str) -> Option<u64> {
    request
        .uri
        .query()?
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?
        .parse()
        .ok()
}

fn head(status: u16, content_type: &str) -> ResponseHead<'_> {
    ResponseHead {
        status,
        content_type,
        keep_alive: true,
        retry_after_s: None,
    }
}

async fn respond(socket: &mut Socket, status: u16, body: &Value) -> Result<(), ConnectionClosed> {
    let response = head(status, "application/json").with_body(body.to_string().as_bytes());
    socket.write_all(response).await?;
    Ok(())
}

fn chunk(data: &[u8]) -> Bytes {
    let mut output = BytesMut::with_capacity(data.len() + 16);
    output.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    output.put_slice(data);
    output.put_slice(b"\r\n");
    output.freeze()
}
