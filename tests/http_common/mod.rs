//! Fixtures for tests that send HTTP requests to a router process.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use monsoonfield::ids::{IncarnationId, RequestKey};
use monsoonfield::record::{Batch, ConfigurationEntry, ContractEntry, Entry};
use monsoonfield::settings::{Limits, Timing};
use prost::Message;
use serde_json::{json, Value};
use sha2::{Digest, Sha256};

#[path = "../common/mod.rs"]
pub mod common;

pub use common::{PlatformStub, TEST_TIMEOUT};

/// Bearer key of the customer `tapak`.
pub const BEARER: &str = "key-of-tapak";

/// Prepaid total of the customer `tapak`, in tokens.
pub const PREPAID_TOKENS: u64 = 10_000_000;

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns a number that is unique within this test process.
pub fn unique_number() -> u64 {
    NEXT_NUMBER.fetch_add(1, Ordering::Relaxed)
}

/// A child process that prints its addresses as one line of JSON.
pub struct ChildProcess {
    child: Child,
    pub addresses: Value,
}

impl ChildProcess {
    pub fn start(mut command: Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{command:?}: {error}"));
        let mut line = String::new();
        let stdout = child.stdout.take().expect("the output is piped");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the process prints its addresses");
        let addresses = serde_json::from_str(&line)
            .unwrap_or_else(|error| panic!("{command:?} printed {line:?}: {error}"));
        Self { child, addresses }
    }

    pub fn address(&self, name: &str) -> String {
        self.addresses[name].as_str().expect("an address").into()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: libc::c_int) {
        // SAFETY: kill only takes numbers, and the child has not been waited for, so its id is not in use again.
        let result = unsafe { libc::kill(self.child.id() as libc::pid_t, signal) };
        assert_eq!(result, 0, "the signal is sent");
    }

    /// Waits until the process has ended; panics after the time limit.
    pub fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the child can be waited for") {
                return status;
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "the process ends");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Failures are ignored, because the process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A stub upstream, which runs as a separate process.
pub struct UpstreamStub {
    pub process: ChildProcess,
    pub address: String,
}

impl UpstreamStub {
    pub fn start(arguments: &[&str]) -> Self {
        let mut path = std::env::current_exe().expect("the test has a path");
        path.pop();
        path.pop();
        let mut command = Command::new(path.join("examples/stub_upstream"));
        command.args(arguments);
        let process = ChildProcess::start(command);
        let address = process.address("listen");
        Self { process, address }
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, fault: Value) {
        let response = HttpRequest::new("POST", "/fault")
            .body(fault.to_string())
            .send(&self.address);
        assert_eq!(response.status, 200, "the stub accepts the faults");
    }

    /// Returns how often the upstream ran a request with this key.
    pub fn executions(&self, key: RequestKey) -> u64 {
        self.get("/executions")[key.to_string()]
            .as_u64()
            .unwrap_or(0)
    }

    pub fn get(&self, path: &str) -> Value {
        let response = HttpRequest::new("GET", path).send(&self.address);
        response.json()
    }
}

/// A platform stub and upstream stubs, with one published configuration.
pub struct Deployment {
    pub platform: PlatformStub,
    pub upstreams: Vec<UpstreamStub>,
}

impl Deployment {
    /// Starts a platform and one upstream for each list of arguments, and publishes a contract and the configuration.
    pub fn start(engines: &[&[&str]]) -> Self {
        Self::start_with_capacity(engines, 10_000)
    }

    /// Does the same with upstreams that run up to `capacity_requests` requests at once.
    pub fn start_with_capacity(engines: &[&[&str]], capacity_requests: u64) -> Self {
        let deployment = Self {
            platform: PlatformStub::start(),
            upstreams: engines
                .iter()
                .map(|arguments| UpstreamStub::start(arguments))
                .collect(),
        };
        deployment.publish(vec![
            contract("tapak", BEARER, PREPAID_TOKENS),
            deployment.configuration(capacity_requests),
        ]);
        deployment
    }

    /// Returns the number of engines that have not ended.
    pub fn running_engines(&mut self) -> usize {
        let upstreams = self.upstreams.iter_mut();
        upstreams
            .filter_map(|upstream| upstream.process.is_running().then_some(()))
            .count()
    }

    pub fn publish(&self, entries: Vec<Entry>) {
        let writer = IncarnationId(0x7e57_0000 + unique_number());
        let batch = Batch::new(writer, 1, entries);
        self.platform.append("fleet", &batch.encode_to_vec());
    }

    /// Returns a configuration in which each upstream serves the model `quotes` and the services `orders` (not
    /// repeatable) and `prices` (repeatable).
    fn configuration(&self, capacity_requests: u64) -> Entry {
        let mut upstreams = Vec::new();
        for (number, upstream) in self.upstreams.iter().enumerate() {
            for (serves, kind) in [
                ("quotes", "engine"),
                ("orders", "service"),
                ("prices", "service"),
            ] {
                upstreams.push(json!({
                    "name": format!("{serves}-{number}"),
                    "address": upstream.address,
                    "data_centre": "dc-1",
                    "kind": kind,
                    "serves": serves,
                    "version": "v1",
                    "capacity_requests": capacity_requests,
                    "tokens_per_second": if kind == "engine" { 100_000 } else { 0 },
                }));
            }
        }
        let body = json!({
            "models": [{ "name": "quotes", "version": "v1", "max_output_tokens": 4096 }],
            "services": [
                { "name": "orders", "version": "v1", "repeatable": false, "timeout_ms": 5_000, "charge_tokens": 10 },
                { "name": "prices", "version": "v1", "repeatable": true, "timeout_ms": 5_000, "charge_tokens": 1 },
            ],
            "upstreams": upstreams,
        });
        Entry::Configuration(ConfigurationEntry {
            revision: 1,
            replaces: 0,
            body_json: body.to_string().into_bytes(),
        })
    }

    pub fn router(&self, vm: &str) -> Router {
        self.router_with(vm, Limits::default(), common::short_timing())
    }

    /// Starts a router process and waits until it is ready and has applied the configuration.
    pub fn router_with(&self, vm: &str, limits: Limits, timing: Timing) -> Router {
        let mut command = self.router_command(vm, limits, timing);
        command.args(["--log-level", "warn"]);
        Router::start(command)
    }

    /// Starts a router whose log lines are collected, also those of the level `debug`.
    pub fn router_with_log(&self, vm: &str) -> (Router, Arc<Mutex<Vec<String>>>) {
        let mut command = self.router_command(vm, Limits::default(), common::short_timing());
        command.args(["--log-level", "debug"]);
        command.stderr(Stdio::piped());
        let mut router = Router::start(command);
        let log_lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let collected = Arc::clone(&log_lines);
        let stderr = router.process.child.stderr.take().expect("piped");
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                collected.lock().unwrap().push(line);
            }
        });
        (router, log_lines)
    }

    fn router_command(&self, vm: &str, limits: Limits, timing: Timing) -> Command {
        let mut settings = self.platform.settings(vm, "dc-1", timing);
        settings.limits = limits;
        let path = settings_path();
        let text = serde_json::to_string(&settings).expect("settings serialise");
        std::fs::write(&path, text).expect("the settings are written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_monsoonfield"));
        command.arg("router").arg("--settings").arg(&path);
        command
    }

    /// Returns the charges of the bills in the log that were counted for a request.
    pub fn bills(&self, key: RequestKey) -> Vec<u64> {
        let mut state = monsoonfield::FleetState::default();
        let mut charges = Vec::new();
        for record in self.platform.read("fleet").records {
            for change in state.apply_payload(record.offset, &record.payload) {
                if let monsoonfield::fleet_state::Change::Bill { bill, effect, .. } = change {
                    let is_counted = effect == monsoonfield::ledger::BillEffect::Counted;
                    if bill.request_key() == key && is_counted {
                        charges.push(bill.charge_tokens());
                    }
                }
            }
        }
        charges
    }
}

fn settings_path() -> PathBuf {
    let name = format!(
        "monsoonfield-http-{}-{}.yaml",
        std::process::id(),
        unique_number()
    );
    std::env::temp_dir().join(name)
}

/// A router process.
pub struct Router {
    pub process: ChildProcess,
    pub callers: String,
    pub admin: String,
}

impl Router {
    fn start(command: Command) -> Self {
        let process = ChildProcess::start(command);
        let router = Self {
            callers: process.address("callers"),
            admin: process.address("admin"),
            process,
        };
        router.wait_until_serving();
        router
    }

    fn wait_until_serving(&self) {
        let started = Instant::now();
        loop {
            let response = HttpRequest::new("GET", "/status").send(&self.admin);
            let is_configured =
                response.status == 200 && response.json()["configuration_revision"] != 0;
            let is_ready = HttpRequest::new("GET", "/readyz")
                .send(&self.callers)
                .status
                == 200;
            if is_configured && is_ready {
                return;
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "the router becomes ready");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn status(&self) -> Value {
        HttpRequest::new("GET", "/status").send(&self.admin).json()
    }
}

/// Creates a contract that allows the model and both services.
pub fn contract(customer: &str, bearer: &str, total_tokens: u64) -> Entry {
    let hash: String = Sha256::digest(bearer.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let body = json!({
        "customer": customer,
        "api_key_sha256": [hash],
        "prepaid_total_tokens": total_tokens,
        "window_ppm": 100_000,
        "priority": "normal",
        "response_time_limit_ms": 60_000,
        "models": [{ "model": "quotes" }],
        "services": ["orders", "prices"],
    });
    Entry::Contract(ContractEntry {
        customer: customer.into(),
        revision: 1,
        replaces: 0,
        body_json: body.to_string().into_bytes(),
    })
}

/// Returns the request key for an idempotency key of the customer `tapak`.
pub fn key(idempotency_key: &str) -> RequestKey {
    RequestKey::derive("tapak", idempotency_key)
}

/// Creates a chat request of the customer `tapak`.
pub fn chat(idempotency_key: &str, text: &str, tokens: u64, stream: bool) -> HttpRequest {
    let body = json!({
        "model": "quotes",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": tokens,
        "stream": stream,
    });
    HttpRequest::new("POST", "/v1/chat/completions")
        .customer_headers(idempotency_key)
        .body(body.to_string())
}

/// Returns a chat request whose conversation begins with a message that other requests share.
pub fn chat_after(
    idempotency_key: &str,
    shared_text: &str,
    text: &str,
    tokens: u64,
    stream: bool,
) -> HttpRequest {
    let body = json!({
        "model": "quotes",
        "messages": [{ "role": "system", "content": shared_text }, { "role": "user", "content": text }],
        "max_tokens": tokens,
        "stream": stream,
    });
    HttpRequest::new("POST", "/v1/chat/completions")
        .customer_headers(idempotency_key)
        .body(body.to_string())
}

/// One HTTP request.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    head: String,
    body: Vec<u8>,
}

/// One HTTP response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body ended according to its framing.
    pub is_complete: bool,
}

impl HttpRequest {
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            head: format!("{method} {path} HTTP/1.1\r\nhost: test\r\n"),
            body: Vec::new(),
        }
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.head.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    /// Adds the bearer key of the customer `tapak` and an idempotency key.
    pub fn customer_headers(self, idempotency_key: &str) -> Self {
        self.header("authorization", &format!("Bearer {BEARER}"))
            .header("idempotency-key", idempotency_key)
    }

    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut output = self.head.clone().into_bytes();
        output.extend(format!("content-length: {}\r\n\r\n", self.body.len()).bytes());
        output.extend(&self.body);
        output
    }

    pub fn send(&self, address: &str) -> Response {
        self.try_send(address).expect("the server answers")
    }

    pub fn try_send(&self, address: &str) -> std::io::Result<Response> {
        let mut stream = connect(address)?;
        stream.write_all(&self.encode())?;
        read_response(&mut BufReader::new(stream))
    }
}

pub fn connect(address: &str) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    stream.set_write_timeout(Some(TEST_TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends raw bytes, closes the sending direction and reads the response.
pub fn send_raw(address: &str, bytes: &[u8]) -> std::io::Result<Response> {
    let mut stream = connect(address)?;
    stream.write_all(bytes)?;
    stream.shutdown(Shutdown::Write)?;
    read_response(&mut BufReader::new(stream))
}

pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<(u16, String)> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if line == "\r\n" {
            break;
        }
        head.push_str(&line.to_ascii_lowercase());
    }
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    Ok((status.unwrap_or(0), head))
}

pub fn read_response(reader: &mut impl BufRead) -> std::io::Result<Response> {
    let (status, head) = read_head(reader)?;
    let mut body = Vec::new();
    let is_complete = if head.contains("transfer-encoding: chunked") {
        read_chunks(reader, &mut body)
    } else {
        let length: usize = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .and_then(|text| text.trim().parse().ok())
            .unwrap_or(0);
        body.resize(length, 0);
        reader.read_exact(&mut body).is_ok()
    };
    Ok(Response {
        status,
        head,
        body,
        is_complete,
    })
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return false;
        };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if length == 0 {
            return true;
        }
        body.extend(&chunk[..length]);
    }
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{}: {error}", String::from_utf8_lossy(&self.body)))
    }

    /// Returns the error code and the execution status.
    pub fn error(&self) -> (String, String) {
        let body = self.json();
        let text = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
        (text("code"), text("ran"))
    }

    /// Returns the indexes of the events and their concatenated text.
    pub fn events(&self) -> (Vec<u64>, String) {
        let text = String::from_utf8_lossy(&self.body);
        let mut indexes = Vec::new();
        let mut content = String::new();
        for event in text.split("\n\n") {
            for line in event.lines() {
                if let Some(id) = line.strip_prefix("id: ") {
                    indexes.push(id.parse().expect("a number"));
                }
                if let Some(data) = line.strip_prefix("data: {") {
                    let data: Value = serde_json::from_str(&format!("{{{data}")).expect("JSON");
                    content.push_str(
                        data["choices"][0]["delta"]["content"]
                            .as_str()
                            .unwrap_or_default(),
                    );
                }
            }
        }
        (indexes, content)
    }

    /// Checks that the response is a complete stream of `tokens` events, the usage and the end marker.
    pub fn assert_complete_stream(&self, tokens: u64) {
        assert_eq!(self.status, 200, "{}", String::from_utf8_lossy(&self.body));
        let end = &self.body[self.body.len().saturating_sub(400)..];
        assert!(
            self.is_complete,
            "the last chunk is missing after {} bytes: {}",
            self.body.len(),
            String::from_utf8_lossy(end)
        );
        let (indexes, _) = self.events();
        assert_eq!(indexes, (0..tokens + 2).collect::<Vec<_>>());
        assert!(self.body.ends_with(b"data: [DONE]\n\n"));
    }
}
