//! Tests of invalid input and of misbehaving callers.

mod http_common;

use std::io::{BufReader, Read, Write};
use std::time::{Duration, Instant};

use http_common::{
    chat, connect, contract, key, read_response, send_raw, Deployment, HttpRequest, Router, BEARER,
    PREPAID_TOKENS, TEST_TIMEOUT,
};
use monsoonfield::record::Entry;
use monsoonfield::settings::Limits;
use serde_json::{json, Value};

const ENGINE: &[&str] = &["--tokens-per-second", "2000"];

fn strict_limits() -> Limits {
    Limits {
        body_bytes: 10_000,
        head_bytes: 4_096,
        connections: 20,
        request_read_timeout_ms: 300,
        reader_idle_timeout_ms: 1_000,
        ..Limits::default()
    }
}

fn chat_body(body: &str) -> HttpRequest {
    HttpRequest::new("POST", "/v1/chat/completions")
        .customer_headers("input")
        .body(body)
}

/// Checks that the router still serves requests.
fn assert_serves(router: &Router, name: &str) {
    let response = chat(name, "text", 3, false).send(&router.callers);
    assert_eq!(response.status, 200, "{response:?}");
}

/// Guards against invalid requests that reach an engine or are refused with the wrong status or code.
#[test]
fn invalid_requests_are_refused_with_a_code() {
    let deployment = Deployment::start(&[ENGINE]);
    let router = deployment.router("vm-1");
    let valid = r#"{"model":"quotes","messages":[{"role":"user","content":"x"}]}"#;
    let chat_path = "/v1/chat/completions";
    let bearer = format!("Bearer {BEARER}");
    let cases: Vec<(&str, HttpRequest, u16, &str)> = vec![
        ("no JSON", chat_body("{"), 400, "bad_request"),
        (
            "no UTF-8",
            HttpRequest::new("POST", chat_path)
                .customer_headers("input")
                .body([0xff, 0xfe]),
            400,
            "bad_request",
        ),
        ("an array", chat_body("[]"), 400, "bad_request"),
        (
            "no model",
            chat_body(r#"{"messages":[]}"#),
            400,
            "bad_request",
        ),
        (
            "no messages",
            chat_body(r#"{"model":"quotes","messages":[]}"#),
            400,
            "bad_request",
        ),
        (
            "a number as content",
            chat_body(r#"{"model":"quotes","messages":[{"role":"user","content":1}]}"#),
            400,
            "bad_request",
        ),
        (
            "a negative limit",
            chat_body(
                r#"{"model":"quotes","messages":[{"role":"user","content":"x"}],"max_tokens":-1}"#,
            ),
            400,
            "bad_request",
        ),
        (
            "a limit of zero",
            chat_body(
                r#"{"model":"quotes","messages":[{"role":"user","content":"x"}],"max_tokens":0}"#,
            ),
            400,
            "bad_request",
        ),
        (
            "a limit above the model's",
            chat_body(
                r#"{"model":"quotes","messages":[{"role":"user","content":"x"}],"max_tokens":5000}"#,
            ),
            400,
            "bad_request",
        ),
        (
            "a huge limit",
            chat_body(
                r#"{"model":"quotes","messages":[{"role":"user","content":"x"}],"max_tokens":99999999999999999999999}"#,
            ),
            400,
            "bad_request",
        ),
        (
            "a string as stream",
            chat_body(
                r#"{"model":"quotes","messages":[{"role":"user","content":"x"}],"stream":"yes"}"#,
            ),
            400,
            "bad_request",
        ),
        (
            "an unknown model",
            chat_body(r#"{"model":"other","messages":[{"role":"user","content":"x"}]}"#),
            404,
            "not_found",
        ),
        (
            "another method",
            HttpRequest::new("GET", chat_path).customer_headers("input"),
            405,
            "method_not_allowed",
        ),
        (
            "an unknown path",
            HttpRequest::new("GET", "/v2/other").customer_headers("input"),
            404,
            "not_found",
        ),
        (
            "an unknown service",
            HttpRequest::new("GET", "/services/none/x").customer_headers("input"),
            404,
            "not_found",
        ),
        (
            "a method that services do not accept",
            HttpRequest::new("TRACE", "/services/prices/x").customer_headers("input"),
            405,
            "method_not_allowed",
        ),
        (
            "no bearer key",
            HttpRequest::new("POST", chat_path)
                .header("idempotency-key", "k")
                .body(valid),
            401,
            "unauthorized",
        ),
        (
            "another scheme",
            HttpRequest::new("POST", chat_path)
                .header("authorization", "Basic abc")
                .header("idempotency-key", "k")
                .body(valid),
            401,
            "unauthorized",
        ),
        (
            "an unknown bearer key",
            HttpRequest::new("POST", chat_path)
                .header("authorization", "Bearer none")
                .header("idempotency-key", "k")
                .body(valid),
            401,
            "unauthorized",
        ),
        (
            "no idempotency key",
            HttpRequest::new("POST", chat_path)
                .header("authorization", &bearer)
                .body(valid),
            400,
            "missing_idempotency_key",
        ),
        (
            "an empty idempotency key",
            HttpRequest::new("POST", chat_path)
                .customer_headers("")
                .body(valid),
            400,
            "missing_idempotency_key",
        ),
        (
            "a long idempotency key",
            HttpRequest::new("POST", chat_path)
                .customer_headers(&"k".repeat(300))
                .body(valid),
            400,
            "missing_idempotency_key",
        ),
    ];

    for (what, request, status, code) in cases {
        let response = request.send(&router.callers);
        assert_eq!(response.status, status, "{what}: {response:?}");
        assert_eq!(response.error(), (code.into(), "not_run".into()), "{what}");
    }
    assert_eq!(
        deployment.upstreams[0].get("/executions"),
        json!({}),
        "no request was run"
    );
    assert_serves(&router, "after");
}

/// Guards against malformed HTTP that crashes the process, is misinterpreted or gets no response.
#[test]
fn malformed_http_is_refused() {
    let deployment = Deployment::start(&[ENGINE]);
    let router =
        deployment.router_with("vm-1", strict_limits(), http_common::common::short_timing());
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(50_000));
    let large = format!(
        "POST / HTTP/1.1\r\ncontent-length: 20000\r\n\r\n{}",
        "z".repeat(20_000)
    );
    let large_chunks = format!(
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
        format!("1000\r\n{}\r\n", "z".repeat(4096)).repeat(5)
    );
    let cases: Vec<(&str, &[u8], u16)> = vec![
        ("no HTTP", b"hello\r\n\r\n", 400),
        ("binary", b"\x00\x01\x02\xff\r\n\r\n", 400),
        ("a truncated head", b"GET / HTTP/1.1\r\nhost", 400),
        ("a long head", long_head.as_bytes(), 431),
        (
            "a truncated body",
            b"POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc",
            400,
        ),
        ("a large body", large.as_bytes(), 413),
        (
            "a huge length",
            b"POST / HTTP/1.1\r\ncontent-length: 18446744073709551615\r\n\r\n",
            413,
        ),
        (
            "a length above 64 bits",
            b"POST / HTTP/1.1\r\ncontent-length: 99999999999999999999\r\n\r\n",
            400,
        ),
        (
            "a negative length",
            b"POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
            400,
        ),
        (
            "two lengths",
            b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
            400,
        ),
        (
            "length and chunks",
            b"POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            "an unknown coding",
            b"POST / HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n",
            400,
        ),
        (
            "a bad chunk size",
            b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            400,
        ),
        (
            "a huge chunk size",
            b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n",
            400,
        ),
        ("many chunks", large_chunks.as_bytes(), 413),
    ];

    for (what, bytes, status) in cases {
        let response = send_raw(&router.callers, bytes);
        let response = response.unwrap_or_else(|error| panic!("{what}: {error}"));
        assert_eq!(response.status, status, "{what}: {response:?}");
        assert_eq!(response.error().1, "not_run", "{what}");
    }
    assert_serves(&router, "after");
}

/// Guards against a chunked request body that is not decoded correctly.
#[test]
fn a_chunked_request_is_served() {
    let deployment = Deployment::start(&[ENGINE]);
    let router = deployment.router("vm-1");
    let body = r#"{"model":"quotes","messages":[{"role":"user","content":"x"}],"max_tokens":2}"#;
    let (one, two) = body.split_at(20);
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer {BEARER}\r\nidempotency-key: chunks\r\n\
         transfer-encoding: chunked\r\n\r\n{:x}\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\n\r\n",
        one.len(),
        two.len()
    );
    let mut stream = connect(&router.callers).expect("the router accepts");

    stream
        .write_all(request.as_bytes())
        .expect("the router reads");
    let response = read_response(&mut BufReader::new(stream)).expect("the router answers");

    assert_eq!(response.status, 200, "{response:?}");
}

/// Guards against a connection that serves only its first request or mixes up the responses to several.
#[test]
fn pipelined_requests_are_served_in_order() {
    let deployment = Deployment::start(&[ENGINE]);
    let router = deployment.router("vm-1");
    let mut stream = connect(&router.callers).expect("the router accepts");
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut pipelined = chat("turn-0", "text", 3, true).encode();
    pipelined.extend(chat("turn-1", "text", 4, true).encode());

    stream.write_all(&pipelined).expect("the router reads");
    let first = read_response(&mut reader).expect("the router answers");
    let second = read_response(&mut reader).expect("the router answers");

    first.assert_complete_stream(3);
    second.assert_complete_stream(4);
}

/// Guards against a response to the wrong request when a key is used for two different requests.
#[test]
fn a_reused_key_is_refused() {
    let deployment = Deployment::start(&[ENGINE]);
    let router = deployment.router("vm-1");
    let first = chat("reused", "text", 3, false).send(&router.callers);
    assert_eq!(first.status, 200, "{first:?}");

    let second = chat("reused", "another text", 3, false).send(&router.callers);

    assert_eq!(second.status, 409, "{second:?}");
    assert_eq!(second.error(), ("key_reused".into(), "not_run".into()));
}

/// Guards against a key that can be used for another request while the bill of the first one is not folded yet.
#[test]
fn a_reused_key_is_refused_before_its_bill_is_folded() {
    let deployment = Deployment::start(&[ENGINE]);
    let router = deployment.router("vm-1");
    // With a second router, a response completes as soon as that router has a copy of the bill.
    let _witness = deployment.router("vm-2");

    for number in 0..10 {
        let name = format!("quick-{number}");
        let first = chat(&name, "text", 3, false).send(&router.callers);
        let second = chat(&name, "another text", 3, false).send(&router.callers);

        assert_eq!(first.status, 200, "{first:?}");
        assert_eq!(second.status, 409, "{second:?}");
    }
}

/// Guards against a stream that outlives the time limit of the contract after its caller has disconnected.
#[test]
fn an_abandoned_stream_ends_at_its_deadline() {
    let deployment = Deployment::start(&[&["--tokens-per-second", "2"]]);
    let Entry::Contract(mut revised) = contract("tapak", BEARER, PREPAID_TOKENS) else {
        panic!("a contract");
    };
    let mut body: Value = serde_json::from_slice(&revised.body_json).expect("JSON");
    body["response_time_limit_ms"] = json!(2_000);
    (revised.revision, revised.replaces) = (2, 1);
    revised.body_json = body.to_string().into_bytes();
    deployment.publish(vec![Entry::Contract(revised)]);
    let router = deployment.router("vm-1");
    let mut stream = connect(&router.callers).expect("the router accepts");
    stream
        .write_all(&chat("left", "text", 1_000, true).encode())
        .expect("the router reads");
    let mut start = [0; 64];
    stream.read_exact(&mut start).expect("the response begins");

    drop(stream);

    let started = Instant::now();
    while router.status()["process"]["open_responses"] != 0 {
        assert!(started.elapsed() < TEST_TIMEOUT, "the request ends");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against callers that occupy a connection forever by sending a request slowly.
#[test]
fn a_slow_request_is_refused() {
    let deployment = Deployment::start(&[ENGINE]);
    let router =
        deployment.router_with("vm-1", strict_limits(), http_common::common::short_timing());
    let mut stream = connect(&router.callers).expect("the router accepts");
    stream.write_all(b"GET / HT").expect("the router reads");

    let response = read_response(&mut BufReader::new(stream)).expect("the router answers");

    assert_eq!(response.status, 408, "{response:?}");
    assert_eq!(
        response.error(),
        ("request_timeout".into(), "not_run".into())
    );
}

/// Guards against unbounded memory use when many connections are opened, and against connections that stay occupied
/// after they were closed.
#[test]
fn connections_above_the_limit_are_refused() {
    let deployment = Deployment::start(&[ENGINE]);
    let router =
        deployment.router_with("vm-1", strict_limits(), http_common::common::short_timing());
    let mut open = Vec::new();
    for _ in 0..20 {
        let mut stream = connect(&router.callers).expect("the router accepts");
        stream
            .write_all(&HttpRequest::new("GET", "/healthz").encode())
            .expect("the router reads");
        let response = read_response(&mut BufReader::new(&mut stream)).expect("the router answers");
        assert_eq!(response.status, 200);
        open.push(stream);
    }

    let refused = read_response(&mut BufReader::new(
        connect(&router.callers).expect("accepted"),
    ));

    assert_eq!(
        refused.expect("an answer").error().0,
        "too_many_connections"
    );
    drop(open);
    let started = Instant::now();
    while HttpRequest::new("GET", "/healthz")
        .try_send(&router.callers)
        .map(|r| r.status)
        .ok()
        != Some(200)
    {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the closed connections are freed"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against memory that stays allocated, or a request that is not billed, after a caller disconnects during a
/// stream.
#[test]
fn a_disconnected_caller_is_billed_and_holds_no_memory() {
    let deployment = Deployment::start(&[&["--tokens-per-second", "500"]]);
    let router = deployment.router("vm-1");
    let mut stream = connect(&router.callers).expect("the router accepts");
    stream
        .write_all(&chat("gone", "text", 100, true).encode())
        .expect("the router reads");
    let mut start = [0; 64];
    stream.read_exact(&mut start).expect("the response begins");

    drop(stream);

    let started = Instant::now();
    while deployment.bills(key("gone")).is_empty()
        || router.status()["process"]["open_responses"] != 0
    {
        assert!(started.elapsed() < TEST_TIMEOUT, "the request ends");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(router.status()["process"]["held_bytes"], 0);
    chat("gone", "text", 100, true)
        .send(&router.callers)
        .assert_complete_stream(100);
    assert_eq!(deployment.bills(key("gone")).len(), 1);
}
