//! Tests of callers that read slowly.

mod http_common;

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use http_common::{chat, connect, key, read_response, Router, Site, TEST_TIMEOUT};
use monsoonfield::settings::Limits;

/// An engine whose whole response of 1,000 events of 1 KB is there at once.
const LARGE: &[&str] = &["--tokens-per-second", "0", "--event-bytes", "1000"];

/// A response of 1 MB is far larger than what the kernel buffers for a connection on which nothing is read.
const EVENTS: u64 = 1_000;

fn limits(reader_buffer_bytes: u64, reader_idle_timeout_ms: u64) -> Limits {
    Limits {
        reader_buffer_bytes,
        reader_idle_timeout_ms,
        ..Limits::default()
    }
}

/// Opens a stream without reading any of it.
fn open_slowly(router: &Router, name: &str) -> TcpStream {
    let mut stream = connect(&router.callers).expect("the router accepts");
    let request = chat(name, "text", EVENTS, true);
    stream
        .write_all(&request.encode())
        .expect("the router reads");
    stream
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "not within {TEST_TIMEOUT:?}: {what}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn held_bytes(router: &Router) -> u64 {
    router.status()["process"]["held_bytes"]
        .as_u64()
        .expect("a number")
}

/// Guards against memory that grows with the number of slow readers, and against engine slots that they occupy.
#[test]
fn slow_readers_hold_little_and_no_engine_slot() {
    const TOTAL_BYTES: u64 = 1 << 20;
    const READERS: u64 = 50;
    let site = Site::start(&[LARGE]);
    let router = site.router_with(
        "vm-1",
        limits(TOTAL_BYTES, 30_000),
        http_common::common::short_timing(),
    );
    let mut readers: Vec<_> = (0..READERS)
        .map(|number| open_slowly(&router, &format!("slow-{number}")))
        .collect();

    let mut greatest = 0;
    wait_until("all streams of the engine are closed", || {
        greatest = greatest.max(held_bytes(&router));
        let open = router.status()["process"]["open_responses"].as_u64();
        open == Some(READERS) && site.upstreams[0].get("/counters")["attached"] == 0
    });

    assert!(greatest <= TOTAL_BYTES, "{greatest} bytes were held");
    chat("fast", "text", 5, true)
        .send(&router.callers)
        .assert_whole_stream(5);
    std::thread::scope(|scope| {
        for stream in &mut readers {
            scope.spawn(|| {
                read_response(&mut BufReader::new(stream))
                    .expect("the response ends")
                    .assert_whole_stream(EVENTS);
            });
        }
    });
    assert_eq!(site.upstreams[0].executions(key("slow-0")), 1);
    assert_eq!(site.bills(key("slow-0")).len(), 1);
    wait_until("nothing is held", || held_bytes(&router) == 0);
}

/// Guards against a reader that takes nothing and holds its memory and its connection for ever.
#[test]
fn a_reader_that_takes_nothing_is_disconnected() {
    let site = Site::start(&[LARGE]);
    let router = site.router_with(
        "vm-1",
        limits(1 << 20, 500),
        http_common::common::short_timing(),
    );
    let mut stream = open_slowly(&router, "idle");

    wait_until("the reader is disconnected", || {
        let process = router.status();
        process["process"]["open_responses"] == 0 && !site.bills(key("idle")).is_empty()
    });

    assert_eq!(held_bytes(&router), 0);
    let mut rest = Vec::new();
    // Either a reset or an early end shows that the response is not whole.
    let _ = stream.read_to_end(&mut rest);
    assert!(!rest.ends_with(b"0\r\n\r\n"), "the response is cut off");
    chat("idle", "text", EVENTS, true)
        .send(&router.callers)
        .assert_whole_stream(EVENTS);
    assert_eq!(site.bills(key("idle")).len(), 1);
}

/// Guards against a reader that is disconnected although it takes bytes from time to time.
#[test]
fn a_reader_that_takes_little_is_served() {
    let site = Site::start(&[LARGE]);
    let router = site.router_with(
        "vm-1",
        limits(1 << 20, 400),
        http_common::common::short_timing(),
    );
    let mut stream = open_slowly(&router, "little");
    let started = Instant::now();
    let mut body = Vec::new();
    let mut buffer = [0; 16 << 10];

    // The pace makes the whole response take longer than the idle time limit.
    while !body.ends_with(b"\r\n0\r\n\r\n") {
        let count = stream.read(&mut buffer).expect("the router writes");
        assert!(count > 0, "the response ended after {} bytes", body.len());
        body.extend_from_slice(&buffer[..count]);
        std::thread::sleep(Duration::from_millis(20));
    }

    assert!(started.elapsed() > Duration::from_millis(400));
    read_response(&mut body.as_slice())
        .expect("a response")
        .assert_whole_stream(EVENTS);
}

/// Guards against a second run of the request when an engine forgot the stream of a slow reader.
#[test]
fn a_slow_reader_gets_its_response_from_an_engine_that_cannot_resume() {
    let site = Site::start(&[LARGE]);
    let router = site.router_with(
        "vm-1",
        limits(1 << 20, 30_000),
        http_common::common::short_timing(),
    );
    let mut stream = open_slowly(&router, "forgotten");
    wait_until("the stream of the engine is closed", || {
        router.status()["process"]["open_responses"] == 1
            && site.upstreams[0].get("/counters")["attached"] == 0
    });
    site.upstreams[0].fault(serde_json::json!({ "forget_streams": true, "break_streams": 1 }));

    let response = read_response(&mut BufReader::new(&mut stream)).expect("the response ends");

    response.assert_whole_stream(EVENTS);
    assert_eq!(site.bills(key("forgotten")).len(), 1);
}
