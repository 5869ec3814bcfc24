//! Memory of a gateway by size of bodies, size of chunks and number of callers, and beside callers that read nothing.

mod gateway_common;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

use gateway_common::*;

/// Budget that no test uses up.
const LARGE_BUDGET: u64 = 1_000_000_000;

/// Memory of the VM in the benchmark, and what its process may use of it.
const VM_MEMORY_MB: u64 = 110;
const MAX_PEAK_MB: u64 = 90;

/// Time for which the upstream processes a request in the benchmark, and the gateway keeps its body.
const PROCESSING_TIME: Duration = Duration::from_millis(300);

/// Chunks that all callers of one cell of the benchmark may send together; cells above would take minutes.
const MAX_CHUNKS: usize = 4_000_000;

fn start(memory_mb: u64, upstream: &UpstreamStub) -> (StoreStub, Gateway) {
    let mut configuration = configuration(1, LARGE_BUDGET);
    configuration["limits"] = serde_json::json!({
        "max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    });
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = 15_000.into();
    }
    // A gateway takes its share of a large fleet until it has read the presence reports.
    configuration["services"][0]["max_conns"] = 40_000.into();
    let store = StoreStub::start();
    store.configure(&configuration);
    let mut entry = upstream.entry("desk", "ready");
    entry["slots"] = 400.into();
    store.put("keyed.servers", &upstream.id, entry.to_string().as_bytes());
    let fleet = FleetSettings {
        memory_mb,
        ..FleetSettings::default()
    };
    let gateway = Gateway::start_in(&store, "edge-memory", &fleet);
    gateway.wait_ready();
    (store, gateway)
}

fn head(framing: &str) -> String {
    format!(
        "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r-1\r\nAuthorization: Bearer {KEY}\r\n\
         X-Deadline-Ms: 15000\r\n{framing}\r\n\r\n"
    )
}

/// Sends one chunked body; returns the status, 0 if the connection was closed without one.
fn send_chunked(gateway: &Gateway, body_bytes: usize, chunk_bytes: usize) -> u16 {
    let mut stream = connect(&gateway.callers);
    let _ = stream.set_write_timeout(Some(TEST_TIMEOUT));
    let chunk = [
        format!("{chunk_bytes:x}\r\n").as_bytes(),
        &vec![b'x'; chunk_bytes],
        b"\r\n",
    ]
    .concat();
    // Chunks leave together, so that the figures are those of the gateway and not of the client.
    let per_write = (64 << 10) / chunk.len() + 1;
    let mut left = body_bytes / chunk_bytes;
    let mut is_written = stream
        .write_all(head("Transfer-Encoding: chunked").as_bytes())
        .is_ok();
    while is_written && left > 0 {
        let count = left.min(per_write);
        is_written = stream.write_all(&chunk.repeat(count)).is_ok();
        left -= count;
    }
    if is_written {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
    read_response(&mut BufReader::new(stream)).status()
}

/// Measures one cell: the peak of the resident memory in MB, and how many callers were served.
fn measure(body_bytes: usize, chunk_bytes: usize, callers: usize) -> (u64, usize) {
    let upstream = UpstreamStub::start(|request, _| Action::Pause {
        first: Vec::new(),
        pause: PROCESSING_TIME,
        rest: signed_response(request, 200, "done"),
    });
    let (_store, gateway) = start(VM_MEMORY_MB, &upstream);
    let served = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..callers)
            .map(|_| scope.spawn(|| send_chunked(&gateway, body_bytes, chunk_bytes)))
            .collect();
        let statuses = threads
            .into_iter()
            .map(|thread| thread.join().expect("a status"));
        statuses.filter(|status| *status == 200).count()
    });
    (gateway.peak_memory_kb() >> 10, served)
}

/// Benchmark of the peak memory; guards against a size of bodies, chunks or crowds whose overhead is not accounted for.
///
/// `cargo test --locked --test caller_memory -- --ignored --nocapture` prints the table.
#[test]
#[ignore = "a benchmark; prints a table"]
fn peak_memory_stays_below_the_bound_in_each_cell() {
    println!("| body bytes | chunk bytes | callers | peak MB | served |\n| --- | --- | --- | --- | --- |");
    let mut worst_mb = 0;
    for body_bytes in [1 << 10, 64 << 10, 1 << 20, 4 << 20] {
        for chunk_bytes in [1, 1 << 10, 64 << 10] {
            for callers in [1, 20, 200] {
                let is_too_large = body_bytes / chunk_bytes * callers > MAX_CHUNKS;
                if chunk_bytes > body_bytes || is_too_large {
                    continue;
                }
                let (peak_mb, served) = measure(body_bytes, chunk_bytes, callers);
                println!("| {body_bytes} | {chunk_bytes} | {callers} | {peak_mb} | {served} |");
                worst_mb = worst_mb.max(peak_mb);
            }
        }
    }
    assert!(worst_mb < MAX_PEAK_MB, "{worst_mb} MB");
}

/// Connects with a small receive buffer, so that unread bytes stay at the gateway.
fn connect_slow_reader(gateway: &Gateway) -> TcpStream {
    let address: SocketAddr = gateway.callers.parse().expect("an address");
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    socket.set_recv_buffer_size(4 << 10).expect("a socket");
    socket.connect(&address.into()).expect("a listener");
    socket.into()
}

/// Guards against responses that callers do not read and that together fill the memory of the VM.
#[test]
fn unread_responses_stay_within_the_memory_of_the_vm() {
    const READERS: usize = 300;
    const MEMORY_MB: u64 = 48;
    let upstream = UpstreamStub::start(|request, _| Action::Flood {
        first: signed_head(request, "Transfer-Encoding: chunked\r\n").into_bytes(),
        repeated: [b"1000\r\n".as_slice(), &[b'x'; 0x1000], b"\r\n"].concat(),
        pause: None,
    });
    let (_store, gateway) = start(MEMORY_MB, &upstream);

    let readers: Vec<TcpStream> = (0..READERS)
        .map(|_| {
            let mut stream = connect_slow_reader(&gateway);
            let request = head("Content-Length: 0");
            stream.write_all(request.as_bytes()).expect("written");
            stream
        })
        .collect();
    wait_for("requests at the upstream", || {
        upstream.requests().len() >= READERS / 2
    });
    wait_for("responses that are read no further", || {
        let before_kb = gateway.peak_memory_kb();
        std::thread::sleep(Duration::from_millis(500));
        gateway.peak_memory_kb() == before_kb
    });

    let peak_mb = gateway.peak_memory_kb() >> 10;
    println!(
        "{} of {READERS} at the upstream, peak {peak_mb} MB",
        upstream.requests().len()
    );
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB");
    drop(readers);
    wait_for("end of the floods", || {
        upstream.abandoned.load(Ordering::SeqCst) >= upstream.requests().len() as u64
    });
}
