//! Tests of callers that read their responses slowly.

mod http_common;

use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use http_common::{chat, connect, key, read_response, Deployment, Router, TEST_TIMEOUT};
use monsoonfield::settings::Limits;

/// Arguments of an engine that produces its complete response of 1,000 events of 1 KB at once.
const LARGE_RESPONSE_ENGINE: &[&str] = &["--tokens-per-second", "0", "--event-bytes", "1000"];

/// Number of events of a response. Its 1 MB is far more than the kernel buffers for a connection that is not read.
const EVENTS: u64 = 1_000;

fn limits(reader_buffer_bytes: u64, reader_idle_timeout_ms: u64) -> Limits {
    Limits {
        reader_buffer_bytes,
        reader_idle_timeout_ms,
        ..Limits::default()
    }
}

/// Requests a stream and reads nothing of it.
fn open_unread_stream(router: &Router, name: &str) -> TcpStream {
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

/// Guards against memory that grows with the number of slow readers, and against slow readers that occupy the slots
/// and streams of an engine.
#[test]
fn slow_readers_hold_bounded_memory_and_no_engine_slot() {
    const TOTAL_BYTES: u64 = 1 << 20;
    const READERS: u64 = 50;
    let deployment = Deployment::start(&[LARGE_RESPONSE_ENGINE]);
    let router = deployment.router_with(
        "vm-1",
        limits(TOTAL_BYTES, 30_000),
        http_common::common::short_timing(),
    );
    let mut readers: Vec<_> = (0..READERS)
        .map(|number| open_unread_stream(&router, &format!("slow-{number}")))
        .collect();

    let mut greatest = 0;
    wait_until("all streams of the engine are closed", || {
        greatest = greatest.max(held_bytes(&router));
        let open = router.status()["process"]["open_responses"].as_u64();
        open == Some(READERS) && deployment.upstreams[0].get("/counters")["attached"] == 0
    });

    assert!(greatest <= TOTAL_BYTES, "{greatest} bytes were held");
    chat("fast", "text", 5, true)
        .send(&router.callers)
        .assert_complete_stream(5);
    std::thread::scope(|scope| {
        for stream in &mut readers {
            scope.spawn(|| {
                read_response(&mut BufReader::new(stream))
                    .expect("the response ends")
                    .assert_complete_stream(EVENTS);
            });
        }
    });
    assert_eq!(deployment.upstreams[0].executions(key("slow-0")), 1);
    assert_eq!(deployment.bills(key("slow-0")).len(), 1);
    wait_until("nothing is held", || held_bytes(&router) == 0);
}

/// Guards against a reader that reads nothing and occupies its memory and its connection forever.
#[test]
fn an_idle_reader_is_disconnected() {
    let deployment = Deployment::start(&[LARGE_RESPONSE_ENGINE]);
    let router = deployment.router_with(
        "vm-1",
        limits(1 << 20, 500),
        http_common::common::short_timing(),
    );
    let mut stream = open_unread_stream(&router, "idle");

    wait_until("the reader is disconnected", || {
        let process = router.status();
        process["process"]["open_responses"] == 0 && !deployment.bills(key("idle")).is_empty()
    });

    assert_eq!(held_bytes(&router), 0);
    let mut rest = Vec::new();
    // Either a reset or an early end shows that the response is incomplete.
    let _ = stream.read_to_end(&mut rest);
    assert!(!rest.ends_with(b"0\r\n\r\n"), "the response is cut off");
    chat("idle", "text", EVENTS, true)
        .send(&router.callers)
        .assert_complete_stream(EVENTS);
    assert_eq!(deployment.bills(key("idle")).len(), 1);
}

/// Guards against disconnecting a reader that reads slowly but steadily.
#[test]
fn a_slow_but_active_reader_is_served() {
    let deployment = Deployment::start(&[LARGE_RESPONSE_ENGINE]);
    let router = deployment.router_with(
        "vm-1",
        limits(1 << 20, 400),
        http_common::common::short_timing(),
    );
    let mut stream = open_unread_stream(&router, "little");
    let started = Instant::now();
    let mut body = Vec::new();
    let mut buffer = [0; 16 << 10];

    // At this pace, the complete response takes longer than the idle timeout.
    while !body.ends_with(b"\r\n0\r\n\r\n") {
        let count = stream.read(&mut buffer).expect("the router writes");
        assert!(count > 0, "the response ended after {} bytes", body.len());
        body.extend_from_slice(&buffer[..count]);
        std::thread::sleep(Duration::from_millis(20));
    }

    assert!(started.elapsed() > Duration::from_millis(400));
    read_response(&mut body.as_slice())
        .expect("a response")
        .assert_complete_stream(EVENTS);
}

/// Guards against a broken response or a second bill when an engine has lost the stream of a slow reader.
#[test]
fn a_slow_reader_gets_its_response_after_the_engine_lost_the_stream() {
    let deployment = Deployment::start(&[LARGE_RESPONSE_ENGINE]);
    let router = deployment.router_with(
        "vm-1",
        limits(1 << 20, 30_000),
        http_common::common::short_timing(),
    );
    let mut stream = open_unread_stream(&router, "forgotten");
    wait_until("the stream of the engine is closed", || {
        router.status()["process"]["open_responses"] == 1
            && deployment.upstreams[0].get("/counters")["attached"] == 0
    });
    deployment.upstreams[0]
        .set_faults(serde_json::json!({ "forget_streams": true, "break_streams": 1 }));

    let response = read_response(&mut BufReader::new(&mut stream)).expect("the response ends");

    response.assert_complete_stream(EVENTS);
    assert_eq!(deployment.bills(key("forgotten")).len(), 1);
}
