//! Crowds of clients that send large, slow or endless requests, against processes of both roles.
//!
//! The tests check only what does not depend on the speed of the machine: the process lives, its resident memory and
//! its descriptors stay under a bound, and an ordinary request is served while the crowd holds its connections open.

mod gateway_common;
mod http_common;

use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Barrier, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use gateway_common::{
    configuration, signed_response, wait_for, Action, CallerRequest, FleetSettings, Gateway,
    StoreStub, UpstreamStub, KEY,
};
use http_common::{Deployment, HttpRequest, Router, BEARER};
use monsoonfield::settings::Limits;

/// Budget that no test uses up.
const LARGE_BUDGET: u64 = 1_000_000_000;

/// Memory of the VM of the gateway under test; its process must stay below.
const GATEWAY_MEMORY_MB: u64 = 48;

/// Largest body that the gateway under test accepts.
const GATEWAY_BODY_BYTES: usize = 2 << 20;

/// Resident memory below which the router under test must stay, with the default settings of its buffers.
const ROUTER_MEMORY_MB: u64 = 128;

/// Largest body that the router under test accepts.
const ROUTER_BODY_BYTES: usize = 4 << 20;

/// Resident memory that may be left when the crowd is gone, in addition to that of the idle process.
const RETAINED_KB: u64 = 12 << 10;

/// Number of clients of a crowd.
const CROWD: u64 = 64;

/// Descriptors that a process may have open, of 1,024.
const MAX_DESCRIPTORS: usize = 800;

/// Time after which a client gives up writing to a process that reads no more.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Most bytes that a client without end sends.
const ENDLESS_BYTES: usize = 8 << 20;

/// Bytes that a client sends in chunks of one byte before it goes on with large ones.
const TINY_CHUNKS: usize = 4 << 10;

/// Timeout of requests that no test reaches, so that held connections end by it in none.
const LONG_TIMEOUT_MS: u64 = 100_000;

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attack {
    /// A chunked body that stops one byte short of the limit, in chunks of one byte first and large ones then.
    ChunksOneByteShort,
    /// A body with a length that stops one byte short of the limit.
    LengthOneByteShort,
    /// Complete bodies near the limit, in one chunk.
    CompleteChunks,
    /// A body over the limit that is announced.
    AnnouncedOverLimit,
    /// A chunked body over the limit.
    SentOverLimit,
    /// A chunk extension without end.
    ChunkExtension,
    /// Trailer fields without end.
    Trailers,
    /// A head without end.
    Head,
    /// Requests without a pause, whose responses are not read.
    Pipelined,
}

const ATTACKS: [Attack; 9] = [
    Attack::ChunksOneByteShort,
    Attack::LengthOneByteShort,
    Attack::CompleteChunks,
    Attack::AnnouncedOverLimit,
    Attack::SentOverLimit,
    Attack::ChunkExtension,
    Attack::Trailers,
    Attack::Head,
    Attack::Pipelined,
];

/// Runs one test at a time, because each loads the machine.
fn one_at_a_time() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A process under test.
struct Target {
    id: u32,
    callers: SocketAddr,
    /// Start of a request, up to its framing.
    head: String,
    body_bytes: usize,
    memory_mb: u64,
}

impl Target {
    fn of_gateway(gateway: &Gateway) -> Self {
        Self {
            id: gateway.id(),
            callers: gateway.callers.parse().expect("an address"),
            head: format!(
                "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: crowd\r\n\
                 Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 2500\r\n"
            ),
            body_bytes: GATEWAY_BODY_BYTES,
            memory_mb: GATEWAY_MEMORY_MB,
        }
    }

    fn of_router(router: &Router) -> Self {
        Self {
            id: router.process.id(),
            callers: router.callers.parse().expect("an address"),
            head: format!(
                "POST /services/prices/crowd HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {BEARER}\r\n\
                 Idempotency-Key: crowd\r\n"
            ),
            body_bytes: ROUTER_BODY_BYTES,
            memory_mb: ROUTER_MEMORY_MB,
        }
    }

    /// Returns a figure of `/proc/PID/status`, in KiB.
    fn status_kb(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id));
        let status = status.expect("the process lives");
        let line = status.lines().find(|line| line.starts_with(field));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number
            .and_then(|text| text.parse().ok())
            .unwrap_or_else(|| panic!("no {field}, the process has ended"))
    }

    fn descriptors(&self) -> usize {
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.id));
        entries.expect("the process lives").count()
    }

    fn assert_bounds(&self, attack: impl std::fmt::Debug) {
        let peak_mb = self.status_kb("VmHWM:") >> 10;
        let descriptors = self.descriptors();
        println!("{attack:?}: peak {peak_mb} MB, {descriptors} descriptors");
        assert!(
            peak_mb < self.memory_mb,
            "{attack:?}: {peak_mb} MB of {} MB",
            self.memory_mb
        );
        assert!(
            descriptors < MAX_DESCRIPTORS,
            "{attack:?}: {descriptors} descriptors"
        );
    }
}

/// Opens a connection from a loopback address; `source` 0 is the usual one.
fn connect_from(source: u64, target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    if source > 0 {
        let address = Ipv4Addr::new(127, 0, 1, source as u8);
        socket.bind(&SocketAddr::new(IpAddr::V4(address), 0).into())?;
    }
    socket.connect(&target.into())?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_read_timeout(Some(WRITE_TIMEOUT))?;
    Ok(socket.into())
}

/// Writes a piece again and again until a number of bytes is written or the connection fails.
fn write_repeated(stream: &mut TcpStream, piece: &[u8], bytes: usize) {
    let large = piece.repeat((64 << 10) / piece.len() + 1);
    let mut left = bytes;
    while left > 0 {
        let count = left.min(large.len());
        match stream.write(&large[..count]) {
            Ok(written) => left -= written,
            Err(_) => return,
        }
    }
}

fn write_chunk(stream: &mut TcpStream, size: usize, sent: usize) {
    let head = format!("{size:x}\r\n");
    if stream.write_all(head.as_bytes()).is_ok() {
        write_repeated(stream, b"x", sent);
    }
}

/// Sends one request of an attack; the process may refuse it or close the connection at any time.
fn attack(target: &Target, attack: Attack, stream: &mut TcpStream) {
    let head = match attack {
        Attack::LengthOneByteShort => format!("Content-Length: {}\r\n\r\n", target.body_bytes),
        Attack::AnnouncedOverLimit => format!("Content-Length: {}\r\n\r\n", 8 * target.body_bytes),
        Attack::Head => "X-Filler: ".into(),
        Attack::Pipelined => "Content-Length: 0\r\n\r\n".into(),
        _ => "Transfer-Encoding: chunked\r\n\r\n".into(),
    };
    let head = format!("{}{head}", target.head);
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    match attack {
        Attack::ChunksOneByteShort => {
            write_repeated(stream, b"1\r\nx\r\n", TINY_CHUNKS * 6);
            let size = target.body_bytes - TINY_CHUNKS;
            write_chunk(stream, size, size - 1);
        }
        Attack::LengthOneByteShort => write_repeated(stream, b"x", target.body_bytes - 1),
        Attack::CompleteChunks => {
            let size = target.body_bytes - 16;
            write_chunk(stream, size, size);
            let _ = stream.write_all(b"\r\n0\r\n\r\n");
        }
        Attack::AnnouncedOverLimit => write_repeated(stream, b"x", ENDLESS_BYTES),
        Attack::SentOverLimit => {
            let chunk = [b"1000\r\n".as_slice(), &[b'x'; 0x1000], b"\r\n"].concat();
            write_repeated(stream, &chunk, ENDLESS_BYTES);
        }
        Attack::ChunkExtension => {
            let _ = stream.write_all(b"5;");
            write_repeated(stream, b"a=b;", ENDLESS_BYTES);
        }
        Attack::Trailers => {
            let _ = stream.write_all(b"5\r\nxxxxx\r\n0\r\n");
            write_repeated(stream, b"X-Filler: x\r\n", ENDLESS_BYTES);
        }
        Attack::Head => write_repeated(stream, b"x", ENDLESS_BYTES),
        Attack::Pipelined => write_repeated(stream, head.as_bytes(), ENDLESS_BYTES),
    }
}

/// Lets a crowd send its requests at once, and calls `observe` while all connections are still open.
fn with_crowd(target: &Target, kind: Attack, is_one_address: bool, observe: impl FnOnce()) {
    let has_sent = Arc::new(Barrier::new(CROWD as usize + 1));
    let may_close = Arc::new(Barrier::new(CROWD as usize + 1));
    std::thread::scope(|scope| {
        for client in 1..=CROWD {
            let (has_sent, may_close) = (Arc::clone(&has_sent), Arc::clone(&may_close));
            scope.spawn(move || {
                let source = if is_one_address { 0 } else { client };
                let stream = connect_from(source, target.callers);
                let stream = stream.map(|mut stream| {
                    attack(target, kind, &mut stream);
                    stream
                });
                has_sent.wait();
                may_close.wait();
                drop(stream);
            });
        }
        has_sent.wait();
        let observed = std::panic::catch_unwind(std::panic::AssertUnwindSafe(observe));
        may_close.wait();
        if let Err(panic) = observed {
            std::panic::resume_unwind(panic);
        }
    });
}

/// Plays an attack and checks memory, descriptors, an ordinary request beside it, and that the memory is released.
fn check_attack(target: &Target, kind: Attack, is_one_address: bool, serve: impl Fn() -> u16) {
    let idle_kb = target.status_kb("VmRSS:");
    with_crowd(target, kind, is_one_address, || {
        target.assert_bounds((kind, is_one_address));
        wait_for("response to an ordinary request", || serve() == 200);
        target.assert_bounds((kind, is_one_address));
    });
    // Requests that were served leave bills and statistics, so the memory is compared only after attacks on buffers.
    if kind != Attack::Pipelined {
        wait_for("release of the memory", || {
            target.status_kb("VmRSS:") < idle_kb + RETAINED_KB
        });
    }
}

fn start_gateway(memory_mb: u64, body_bytes: usize) -> (StoreStub, UpstreamStub, Gateway) {
    start_gateway_with_timeout(memory_mb, body_bytes, 15_000)
}

fn start_gateway_with_timeout(
    memory_mb: u64,
    body_bytes: usize,
    idle_timeout_ms: u64,
) -> (StoreStub, UpstreamStub, Gateway) {
    let upstream =
        UpstreamStub::start(|request, _| Action::Write(signed_response(request, 200, "done")));
    let mut configuration = configuration(1, LARGE_BUDGET);
    configuration["limits"] = serde_json::json!({
        "max_header_bytes": 16_384, "max_body_bytes": body_bytes, "header_timeout_ms": 3_000,
        "idle_timeout_ms": idle_timeout_ms,
    });
    let store = StoreStub::start();
    store.configure(&configuration);
    let entry = upstream.entry("desk", "ready").to_string();
    store.put("keyed.servers", &upstream.id, entry.as_bytes());
    let fleet = FleetSettings {
        memory_mb,
        ..FleetSettings::default()
    };
    let gateway = Gateway::start_in(&store, "edge-untrusted", &fleet);
    gateway.wait_ready();
    (store, upstream, gateway)
}

fn start_router() -> (Deployment, Router) {
    start_router_with_timeout(Limits::default().request_read_timeout_ms)
}

fn start_router_with_timeout(request_read_timeout_ms: u64) -> (Deployment, Router) {
    let deployment = Deployment::start(&[&[]]);
    let limits = Limits {
        body_bytes: ROUTER_BODY_BYTES as u64,
        connections: 600,
        request_read_timeout_ms,
        ..Limits::default()
    };
    let router = deployment.router_with("vm-1", limits, http_common::common::short_timing());
    (deployment, router)
}

fn serve_at_gateway(gateway: &Gateway) -> u16 {
    let Ok(mut stream) = TcpStream::connect(&gateway.callers) else {
        return 0;
    };
    let timeout = Some(gateway_common::TEST_TIMEOUT);
    stream.set_read_timeout(timeout).expect("a socket");
    let request = CallerRequest {
        body: b"ordinary",
        ..CallerRequest::default()
    };
    if stream.write_all(&request.encode()).is_err() {
        return 0;
    }
    gateway_common::read_response(&mut std::io::BufReader::new(stream)).status()
}

fn serve_at_router(router: &Router) -> u16 {
    let number = http_common::unique_number();
    let request = HttpRequest::new("POST", "/services/prices/1")
        .customer_headers(&format!("ordinary-{number}"))
        .body("ordinary");
    let response = request.try_send(&router.callers);
    response.map_or(0, |response| response.status)
}

fn check_gateway(attacks: &[Attack]) {
    let _guard = one_at_a_time();
    for kind in attacks {
        let (_store, _upstream, gateway) = start_gateway(GATEWAY_MEMORY_MB, GATEWAY_BODY_BYTES);
        for is_one_address in [true, false] {
            let target = Target::of_gateway(&gateway);
            check_attack(&target, *kind, is_one_address, || {
                serve_at_gateway(&gateway)
            });
        }
    }
}

fn check_router(attacks: &[Attack]) {
    let _guard = one_at_a_time();
    for kind in attacks {
        let (_deployment, router) = start_router();
        for is_one_address in [true, false] {
            let target = Target::of_router(&router);
            check_attack(&target, *kind, is_one_address, || serve_at_router(&router));
        }
    }
}

/// Guards against bodies within the limit of one request that together exceed the memory of the VM of a gateway.
#[test]
fn a_gateway_outlasts_a_crowd_with_bodies_near_the_limit() {
    check_gateway(&ATTACKS[..3]);
}

/// Guards against input beyond the limits, or without end, that a gateway buffers, and against requests without pause
/// that keep its event loop from all other connections.
#[test]
fn a_gateway_outlasts_a_crowd_without_limits() {
    check_gateway(&ATTACKS[3..]);
}

/// Guards against bodies within the limit of one request that together exceed the memory of a router.
#[test]
fn a_router_outlasts_a_crowd_with_bodies_near_the_limit() {
    check_router(&ATTACKS[..3]);
}

/// Guards against input beyond the limits, or without end, that a router buffers or reads forever.
#[test]
fn a_router_outlasts_a_crowd_without_limits() {
    check_router(&ATTACKS[3..]);
}

/// Guards against a budget that refuses the largest body that the configuration allows, on the smallest VM.
#[test]
fn a_single_body_of_the_largest_size_is_served_on_a_small_vm() {
    let _guard = one_at_a_time();
    let (_store, _upstream, gateway) = start_gateway(88, 4_194_304);
    let body = vec![b'x'; 4_194_304];
    let request = CallerRequest {
        body: &body,
        ..CallerRequest::default()
    };

    let statuses: Vec<u16> = (0..3).map(|_| request.send(&gateway).status()).collect();

    assert_eq!(statuses, [200, 200, 200]);
}

/// Holds connections open, each with a body that stops one byte short, and opens those again that are closed.
fn hold_connections(target: &Target, count: usize, is_over: impl Fn() -> bool) {
    let request = format!("{}Content-Length: 10\r\n\r\n123456789", target.head);
    let mut held: Vec<Option<TcpStream>> = (0..count).map(|_| None).collect();
    while !is_over() {
        for slot in &mut held {
            let is_open = slot.as_mut().is_some_and(|stream| {
                let result = stream.read(&mut [0; 256]);
                matches!(result, Err(error) if error.kind() == ErrorKind::WouldBlock)
            });
            if !is_open {
                *slot = connect_from(0, target.callers).ok().and_then(|mut stream| {
                    stream.write_all(request.as_bytes()).ok()?;
                    stream.set_nonblocking(true).ok()?;
                    Some(stream)
                });
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Lets a client hold all connections that a process accepts, and checks that ordinary requests are served beside it.
fn check_held_connections(target: &Target, serve: impl Fn() -> u16) {
    const SERVED: u32 = 5;
    let is_over = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            hold_connections(target, 700, || {
                is_over.load(std::sync::atomic::Ordering::SeqCst)
            })
        });
        let observed = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            wait_for("held connections", || target.descriptors() > 600);
            let started = Instant::now();
            let mut served = 0;
            while served < SERVED {
                served += u32::from(serve() == 200);
                assert!(
                    started.elapsed() < 2 * gateway_common::TEST_TIMEOUT,
                    "{served} of {SERVED} served"
                );
            }
        }));
        is_over.store(true, std::sync::atomic::Ordering::SeqCst);
        if let Err(panic) = observed {
            std::panic::resume_unwind(panic);
        }
    });
}

/// Guards against a client that locks all others out of a gateway with connections whose requests never end.
#[test]
fn held_connections_lock_nobody_out_of_a_gateway() {
    let _guard = one_at_a_time();
    let (_store, _upstream, gateway) =
        start_gateway_with_timeout(100, GATEWAY_BODY_BYTES, LONG_TIMEOUT_MS);
    check_held_connections(&Target::of_gateway(&gateway), || serve_at_gateway(&gateway));
}

/// Guards against a client that locks all others out of a router with connections whose requests never end.
#[test]
fn held_connections_lock_nobody_out_of_a_router() {
    let _guard = one_at_a_time();
    let (_deployment, router) = start_router_with_timeout(LONG_TIMEOUT_MS);
    check_held_connections(&Target::of_router(&router), || serve_at_router(&router));
}
