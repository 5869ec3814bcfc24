//! Tests of a gateway process over HTTP, with stubs of the upstreams and of the platform's store.

mod gateway_common;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use gateway_common::{
    configuration, connect, event_chunk, get, read_response, signed_head, signed_response,
    start_fleet, start_token_stream_upstream, wait_for, write_settings, Action, CallerRequest,
    Gateway, Message, StoreMode, StoreStub, UpstreamStub, KEY,
};

/// Budget that is too large to be exhausted by a test.
const LARGE_BUDGET: u64 = 1_000_000_000;

fn start_ok_upstream() -> UpstreamStub {
    UpstreamStub::start(|request, _| Action::Write(signed_response(request, 200, "done")))
}

fn stream_request(path: &'static str) -> CallerRequest<'static> {
    CallerRequest {
        path,
        headers: "X-Model: m\r\nX-Token-Count: 100,50\r\nX-Prompt-Prefix: aa:60,bb:40\r\n",
        ..CallerRequest::default()
    }
}

/// Returns the ids of the events in a body.
fn event_ids(response: &Message) -> Vec<u32> {
    let text = response.text();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a number")).collect()
}

/// Guards against requests and responses that are altered in transit, and against a bearer key or a forged header field
/// that reaches an upstream.
#[test]
fn requests_and_responses_are_forwarded_with_router_headers() {
    let upstream = start_ok_upstream();
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let caller = CallerRequest {
        path: "/read/x%2Fy?q=1&r=%20",
        headers:
            "X-Tenant: forged\r\nX-Target-Instance: forged\r\nX-Hold: forged\r\nKv-From: forged\r\n\
                  X-Pin-Ms: 9\r\nX-Kv-Backup: forged\r\nX-Own: kept\r\nX-Model: m\r\n\
                  Connection: X-Model, X-Hop\r\nX-Hop: dropped\r\nTE: trailers\r\n",
        body: b"payload",
        ..CallerRequest::default()
    };
    let response = caller.send(&gateway);
    assert_eq!((response.status(), response.text().as_str()), (200, "done"));
    assert_eq!(response.header("x-server-signature"), Some("s.1"));
    let request = &upstream.requests()[0];
    assert_eq!(request.start, "POST /read/x%2Fy?q=1&r=%20 HTTP/1.1");
    assert_eq!(request.body, b"payload");
    let expected = [
        ("x-request-id", Some("r-1")),
        ("x-target-instance", Some(upstream.id.as_str())),
        ("x-tenant", Some("soles")),
        ("x-own", Some("kept")),
        ("x-model", Some("m")),
        ("authorization", None),
        ("x-hold", None),
        ("kv-from", None),
        ("x-pin-ms", None),
        ("x-kv-backup", None),
        ("x-hop", None),
        ("te", None),
    ];
    for (name, value) in expected {
        assert_eq!(request.header(name), value, "{name}");
    }
    let left: u64 = request.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!((2_000..=2_500).contains(&left), "{left}");
}

/// Guards against request smuggling: a second request in the body of the first one, and heads that two parsers could
/// interpret differently.
#[test]
fn ambiguous_requests_are_refused_before_an_upstream_sees_them() {
    let upstream = start_ok_upstream();
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let start =
        format!("POST /read/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer {KEY}\r\n");
    let hidden = "GET /read/hidden HTTP/1.1\r\nHost: a.example\r\n\r\n";
    let cases = [
        format!("{start}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"),
        format!("{start}Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n{hidden}"),
        format!("{start}Content-Length: 4\r\nContent-Length: 60\r\n\r\nabcd{hidden}"),
        format!("{start}Content-Length: +4\r\n\r\nabcd{hidden}"),
        format!("{start}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n{hidden}"),
    ];
    for case in cases {
        let mut stream = connect(&gateway.callers);
        stream.write_all(case.as_bytes()).unwrap();
        let response = read_response(&mut BufReader::new(stream));
        assert_eq!(response.status(), 400, "{case}");
    }
    assert!(upstream.requests().is_empty());
}

/// Guards against a success response that no upstream signed, and against the response to another request.
#[test]
fn only_a_signed_response_to_the_request_is_a_success() {
    let upstream = UpstreamStub::start(|request, _| {
        let unsigned = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad".to_owned();
        Action::Write(match request.header("x-case") {
            Some("unsigned") => unsigned.into_bytes(),
            Some("encoded") => {
                let extra = "Content-Encoding: gzip\r\nContent-Length: 3\r\n";
                (signed_head(request, extra) + "bad").into_bytes()
            }
            Some("garbage") => b"\x00\x01 not a response\r\n\r\n".to_vec(),
            Some("late") => {
                // A repeated response to an earlier request comes first.
                let mut other = request.clone();
                other
                    .headers
                    .retain(|(name, _)| !name.eq_ignore_ascii_case("x-request-id"));
                other.headers.push(("x-request-id".into(), "r-0".into()));
                let mut bytes = signed_response(&other, 200, "of another request");
                bytes.extend(signed_response(request, 200, "own"));
                bytes
            }
            _ => signed_response(request, 200, "done"),
        })
    });
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    for (case, status) in [
        ("unsigned", 502),
        ("encoded", 502),
        ("garbage", 502),
        ("late", 200),
    ] {
        let headers = format!("X-Case: {case}\r\n");
        let caller = CallerRequest {
            path: "/book/1",
            headers: &headers,
            ..CallerRequest::default()
        };
        let response = caller.send(&gateway);
        assert_eq!(response.status(), status, "{case}");
        assert!(status != 200 || response.text() == "own", "{case}");
    }
}

/// Guards against a body that is truncated at the upstream but looks complete to the caller, and against a complete
/// body, delimited by the end of its connection, that looks truncated.
#[test]
fn truncated_bodies_never_look_complete() {
    let upstream = UpstreamStub::start(|request, _| match request.header("x-case") {
        Some("short") => {
            let head = signed_head(request, "Content-Length: 100\r\n");
            Action::WriteAndClose((head + "only this").into_bytes())
        }
        Some("chunk") => {
            let head = signed_head(request, "Transfer-Encoding: chunked\r\n");
            Action::WriteAndClose((head + "5\r\nhello\r\n").into_bytes())
        }
        Some("reset") => Action::WriteAndReset((signed_head(request, "") + "part").into_bytes()),
        _ => Action::WriteAndClose((signed_head(request, "") + "whole").into_bytes()),
    });
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    for (case, is_complete) in [
        ("short", false),
        ("chunk", false),
        ("reset", false),
        ("end", true),
    ] {
        let headers = format!("X-Case: {case}\r\n");
        let caller = CallerRequest {
            path: "/book/1",
            headers: &headers,
            ..CallerRequest::default()
        };
        let response = caller.send(&gateway);
        assert_eq!(response.is_complete, is_complete, "{case}: {response:?}");
        assert!(!is_complete || response.text() == "whole", "{case}");
    }
}

/// Guards against repeating a request that may run only once, and against giving up on one that may be repeated.
#[test]
fn only_repeatable_requests_run_again_after_a_crash() {
    let crashing = UpstreamStub::start(|_, _| Action::WriteAndReset(Vec::new()));
    let other = UpstreamStub::start(|_, _| Action::WriteAndReset(Vec::new()));
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&crashing, &other]);
    let total = || crashing.requests().len() + other.requests().len();
    let book = CallerRequest {
        path: "/book/1",
        ..CallerRequest::default()
    };
    assert_eq!(book.send(&gateway).status(), 502);
    assert_eq!(total(), 1);
    let read = CallerRequest::default();
    assert_eq!(read.send(&gateway).status(), 502);
    assert_eq!(total(), 3, "a read runs at two upstreams at most");
}

/// Guards against refusing a request that another upstream can serve, and against a refusal that claims "not run" after
/// a run.
#[test]
fn a_request_that_did_not_run_goes_to_another_upstream() {
    let full = UpstreamStub::start(|_, _| {
        Action::Write(b"HTTP/1.1 503 x\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_vec())
    });
    let replaced = UpstreamStub::start(|_, _| {
        Action::Write(b"HTTP/1.1 421 x\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n".to_vec())
    });
    let (store, gateway) = start_fleet(LARGE_BUDGET, &[&full, &replaced]);
    let book = CallerRequest {
        path: "/book/1",
        ..CallerRequest::default()
    };
    let response = book.send(&gateway);
    assert_eq!(response.status(), 503);
    let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after > 0.0 && retry_after < 2.0);
    let sound = start_ok_upstream();
    let entry = sound.entry("desk", "ready").to_string();
    store.put("keyed.servers", &sound.id, entry.as_bytes());
    wait_for("success", || book.send(&gateway).status() == 200);
}

/// Guards against the rest of one request's body being read as the next request: the upstream responds before it has
/// read the whole body, and the connection is reused.
#[test]
fn a_connection_with_an_early_response_is_not_reused() {
    let upstream = start_ok_upstream();
    upstream.respond_early();
    let (store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let mut generous = configuration(2, LARGE_BUDGET);
    generous["limits"]["max_body_bytes"] = (32 << 20).into();
    store.configure(&generous);
    // More than the kernel buffers hold, so that the response arrives before the gateway has written the whole body.
    let body = vec![b'x'; 16 << 20];
    let caller = CallerRequest {
        body: &body,
        ..CallerRequest::default()
    };
    wait_for("success", || caller.send(&gateway).status() == 200);
    let small = CallerRequest::default();
    assert_eq!(small.send(&gateway).status(), 200);
    let requests = upstream.requests();
    let (first, last) = (&requests[requests.len() - 2], &requests[requests.len() - 1]);
    assert!(requests
        .iter()
        .all(|request| request.start.starts_with("POST /read/1 ")));
    assert_ne!(first.connection, last.connection);
}

/// Guards against a surplus response of an upstream that is relayed to the next caller on the connection.
#[test]
fn surplus_bytes_after_a_response_reach_no_caller() {
    let upstream = UpstreamStub::start(|request, _| {
        let mut bytes = signed_response(request, 200, "own");
        bytes.extend(signed_response(request, 200, "extra"));
        Action::Write(bytes)
    });
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let mut stream = connect(&gateway.callers);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for id in ["r-1", "r-2", "r-3"] {
        let caller = CallerRequest {
            id,
            ..CallerRequest::default()
        };
        stream.write_all(&caller.encode()).unwrap();
        let response = read_response(&mut reader);
        assert_eq!(response.header("x-request-id"), Some(id));
        assert_eq!(response.text(), "own");
    }
}

/// Guards against an idempotent request that fails because its upstream silently closed an idle connection.
#[test]
fn idempotent_requests_survive_a_silently_closed_idle_connection() {
    let drop = |request: &Message, number| {
        if number % 2 == 1 {
            Action::WriteAndResetNext(signed_response(request, 200, "done"))
        } else {
            Action::Write(signed_response(request, 200, "done"))
        }
    };
    let (one, two) = (UpstreamStub::start(drop), UpstreamStub::start(drop));
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&one, &two]);
    for _ in 0..8 {
        assert_eq!(CallerRequest::default().send(&gateway).status(), 200);
    }
}

/// Guards against a resumed stream with a missing, repeated or partial event after its upstream failed within an event.
#[test]
fn a_resumable_stream_continues_after_its_last_complete_event() {
    let script = |request: &Message, _| {
        let head = signed_head(
            request,
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        );
        match request.header("last-event-id") {
            None => {
                let partial = "1a\r\nid: 3\ndata: tok";
                Action::WriteAndReset(
                    (head + &event_chunk(1) + &event_chunk(2) + partial).into_bytes(),
                )
            }
            Some("2") => {
                let rest = event_chunk(3) + &event_chunk(4) + "0\r\n\r\n";
                Action::Write((head + &rest).into_bytes())
            }
            Some(other) => panic!("the stream resumes after event {other}, expected 2"),
        }
    };
    let (one, two) = (UpstreamStub::start(script), UpstreamStub::start(script));
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&one, &two]);
    let response = stream_request("/chat/1").send(&gateway);
    assert!(response.is_complete);
    assert_eq!(event_ids(&response), [1, 2, 3, 4]);
    assert!(!response.text().contains("tok\n"));
}

/// Guards against a non-resumable stream that looks complete after its upstream failed.
#[test]
fn a_non_resumable_stream_ends_visibly_truncated() {
    let upstream = UpstreamStub::start(|request, _| {
        let head = signed_head(
            request,
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        );
        Action::WriteAndReset((head + &event_chunk(1) + &event_chunk(2)).into_bytes())
    });
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let response = stream_request("/stream/1").send(&gateway);
    assert!(!response.is_complete);
    assert_eq!(event_ids(&response), [1, 2]);
    assert_eq!(upstream.requests().len(), 1);
}

/// Encodes the head of a stream that has neither a length nor chunks, followed by some bytes of its body.
fn unframed_stream(request: &Message, body: &str) -> Action {
    let head = signed_head(
        request,
        "Content-Type: text/event-stream\r\nConnection: close\r\n",
    );
    Action::WriteAndClose((head + body).into_bytes())
}

/// Guards against a stream that ends with its connection inside an event and looks complete to the caller.
#[test]
fn a_stream_without_framing_that_ends_inside_an_event_is_truncated() {
    let cases = [
        ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true),
        ("id: 1\ndata: a\n\nid: 2\nda", false),
        ("id: 1\ndata: a\n\nid: 2\ndata: b\n", false),
    ];
    for (body, is_complete) in cases {
        let upstream = UpstreamStub::start(move |request, _| unframed_stream(request, body));
        let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
        let response = stream_request("/stream/1").send(&gateway);
        assert_eq!(response.status(), 200, "{body:?}: {response:?}");
        assert_eq!(response.is_complete, is_complete, "{body:?}: {response:?}");
    }
    let upstream = UpstreamStub::start(|request, _| unframed_stream(request, ""));
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let response = stream_request("/stream/1").send(&gateway);
    assert_eq!(response.status(), 502, "without any event: {response:?}");
}

/// Guards against losing the rest of a resumable stream that ends with its connection inside an event.
#[test]
fn a_stream_without_framing_that_ends_inside_an_event_is_resumed() {
    let script = |request: &Message, _| match request.header("last-event-id") {
        None => unframed_stream(request, "id: 1\ndata: a\n\nid: 2\nda"),
        Some(_) => unframed_stream(request, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"),
    };
    let (one, two) = (UpstreamStub::start(script), UpstreamStub::start(script));
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&one, &two]);
    let response = stream_request("/chat/1").send(&gateway);
    assert!(response.is_complete, "{response:?}");
    assert_eq!(event_ids(&response), [1, 2, 3]);
}

/// Guards against work at an upstream for a caller that has disconnected.
#[test]
fn upstream_requests_are_cancelled_when_the_caller_disconnects() {
    let upstream = UpstreamStub::start(|_, _| Action::Silent);
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let mut caller = connect(&gateway.callers);
    caller
        .write_all(&stream_request("/stream/1").encode())
        .unwrap();
    wait_for("request at the upstream", || {
        !upstream.requests().is_empty()
    });
    let left = Instant::now();
    drop(caller);
    wait_for("cancellation", || {
        upstream.abandoned.load(Ordering::SeqCst) == 1
    });
    assert!(
        left.elapsed() < Duration::from_millis(500),
        "{:?}",
        left.elapsed()
    );
}

/// Guards against new requests to an upstream that is draining, and against entries that cannot be decoded.
#[test]
fn draining_upstreams_and_invalid_entries_get_no_requests() {
    let (draining, staying) = (start_ok_upstream(), start_ok_upstream());
    let (store, gateway) = start_fleet(LARGE_BUDGET, &[&draining, &staying]);
    store.put("keyed.servers", "i-garbage", b"\xff{not json");
    store.put(
        "keyed.servers",
        "i-strange",
        br#"{"service":"desk","addr":5,"state":"ready"}"#,
    );
    let entry = draining.entry("desk", "draining").to_string();
    store.put("keyed.servers", &draining.id, entry.as_bytes());
    wait_for("log line about the draining upstream", || {
        let lines = gateway.log_lines.lock().unwrap();
        lines.iter().any(|line| line["state"] == "leaving")
    });
    let before = draining.requests().len();
    for _ in 0..20 {
        assert_eq!(CallerRequest::default().send(&gateway).status(), 200);
    }
    assert_eq!(draining.requests().len(), before);
}

/// Guards against missing a change because the store no longer retains the history of the feed.
#[test]
fn a_truncated_feed_is_replaced_by_a_snapshot() {
    let upstream = start_ok_upstream();
    let (store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    store.put(
        "keyed.op",
        "config",
        configuration(5, LARGE_BUDGET).to_string().as_bytes(),
    );
    store.drop_history("keyed.op");
    store.drop_history("keyed.servers");
    wait_for("version 5", || {
        let lines = gateway.log_lines.lock().unwrap();
        lines
            .iter()
            .any(|line| line["step"] == "configuration" && line["version"] == 5)
    });
    assert_eq!(CallerRequest::default().send(&gateway).status(), 200);
}

/// Guards against replacing the configuration by an older one or by one that cannot be decoded.
#[test]
fn only_newer_valid_configurations_take_effect() {
    let upstream = start_ok_upstream();
    let (store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let mut without_routes = configuration(9, LARGE_BUDGET);
    without_routes["routes"] = serde_json::json!([]);
    let mut older = without_routes.clone();
    older["version"] = serde_json::json!(0);
    store.configure(&older);
    store.put("keyed.op", "config", b"{\"version\": \"nine\"}");
    store.put("keyed.op", "config", b"");
    assert_eq!(CallerRequest::default().send(&gateway).status(), 200);
    store.configure(&without_routes);
    wait_for("version 9", || {
        CallerRequest::default().send(&gateway).status() == 404
    });
}

/// Guards against running requests without a known key or route, and against rejecting them as unknown while the
/// process has not read a configuration yet.
#[test]
fn unknown_keys_and_routes_differ_from_a_missing_configuration() {
    let upstream = start_ok_upstream();
    let store = StoreStub::start();
    let gateway = Gateway::start(&store);
    assert!(!gateway.is_ready());
    assert_eq!(CallerRequest::default().send(&gateway).status(), 503);
    store.configure(&configuration(1, LARGE_BUDGET));
    let entry = upstream.entry("desk", "ready").to_string();
    store.put("keyed.servers", &upstream.id, entry.as_bytes());
    gateway.wait_ready();
    wait_for("success", || {
        CallerRequest::default().send(&gateway).status() == 200
    });
    let unknown_route = CallerRequest {
        path: "/other/1",
        ..CallerRequest::default()
    };
    assert_eq!(unknown_route.send(&gateway).status(), 404);
    let mut caller = connect(&gateway.callers);
    caller
        .write_all(
            b"GET /read/1 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer wrong\r\n\r\n",
        )
        .unwrap();
    assert_eq!(read_response(&mut BufReader::new(caller)).status(), 401);
}

/// Guards against spending more than was prepaid, across a restart and a store that loses responses, and against
/// refusing requests that the budget covers.
#[test]
fn a_budget_is_not_overspent_after_lost_responses_and_a_restart() {
    let upstream = start_token_stream_upstream();
    // Each request costs 120 tokens and reserves 150.
    let (store, gateway) = start_fleet(1_200, &[&upstream]);
    let send = |gateway: &Gateway| stream_request("/stream/1").send(gateway).status();
    wait_for("success", || send(&gateway) == 200);
    store.set_mode(StoreMode::LosingResponses);
    let during: Vec<u16> = (0..6).map(|_| send(&gateway)).collect();
    store.set_mode(StoreMode::Available);
    drop(gateway);
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    let after: Vec<u16> = (0..40).map(|_| send(&gateway)).collect();
    let served = upstream.requests().len();
    assert!(
        served * 120 <= 1_200,
        "{served} served: {during:?} {after:?}"
    );
    assert!(
        after.iter().all(|status| [200, 402, 503].contains(status)),
        "{after:?}"
    );
}

/// Guards against refusing requests that the budget covers while only one gateway runs, and against reporting an
/// exhausted budget as a temporary shortage.
#[test]
fn a_budget_can_be_spent_and_then_is_exhausted() {
    let upstream = start_token_stream_upstream();
    let (_store, gateway) = start_fleet(1_200, &[&upstream]);
    let statuses: Vec<u16> = (0..12)
        .map(|_| stream_request("/stream/1").send(&gateway).status())
        .collect();
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(
        served, 9,
        "the tenth would need 150 of 120 tokens: {statuses:?}"
    );
    let refusals = gateway.log_lines_with_step("refuse");
    assert_eq!(statuses.last(), Some(&402), "{:?}", refusals.last());
}

/// Guards against billing a customer for requests whose upstream failed before any part of a response: the callers
/// receive nothing and send them again.
#[test]
fn a_request_that_delivered_nothing_is_not_billed() {
    let upstream = UpstreamStub::start(|request, number| {
        if number <= 12 {
            return Action::WriteAndReset(Vec::new());
        }
        let head = signed_head(
            request,
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        );
        let body = event_chunk(1) + "0\r\n\r\n";
        Action::Write((head + &body).into_bytes())
    });
    let (_store, gateway) = start_fleet(1_200, &[&upstream]);
    let send = || stream_request("/stream/1").send(&gateway).status();
    let failed: Vec<u16> = (0..12).map(|_| send()).collect();
    assert_eq!(failed, [502; 12], "twelve prompts are the whole budget");
    assert_eq!(send(), 200);
}

/// Guards against billing a customer for requests whose upstream failed after the head of a response: the callers receive
/// a failure status and send them again.
#[test]
fn a_request_whose_response_has_no_body_is_not_billed() {
    let upstream = UpstreamStub::start(|request, number| {
        let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        let head = signed_head(request, fields);
        if number <= 12 {
            return Action::WriteAndReset(head.into_bytes());
        }
        Action::Write((head + &event_chunk(1) + "0\r\n\r\n").into_bytes())
    });
    let (_store, gateway) = start_fleet(1_200, &[&upstream]);
    let send = || stream_request("/stream/1").send(&gateway).status();

    let failed: Vec<u16> = (0..12).map(|_| send()).collect();

    assert_eq!(failed, [502; 12], "twelve prompts are the whole budget");
    assert_eq!(send(), 200);
}

/// Starts a listener whose queue of connections is full, so that connecting to it hangs.
fn start_unresponsive_listener() -> (socket2::Socket, Vec<TcpStream>) {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    listener.bind(&any_port.into()).expect("a free port");
    listener.listen(0).expect("a listener");
    let address = listener.local_addr().expect("bound").as_socket();
    let address = address.expect("an IP address");
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
        queued.push(stream);
    }
    (listener, queued)
}

/// Guards against billing a customer for a prompt that was never sent, because its caller left while the gateway was
/// connecting to the upstream.
#[test]
fn a_request_whose_caller_leaves_before_it_is_sent_is_not_billed() {
    let (listener, _queued) = start_unresponsive_listener();
    let (store, gateway) = start_fleet(1_200, &[]);
    let upstream = start_token_stream_upstream();
    let address = listener.local_addr().expect("bound").as_socket();
    let mut entry = upstream.entry("desk", "ready");
    entry["addr"] = address.expect("an IP address").to_string().into();
    store.put("keyed.servers", "i-full", entry.to_string().as_bytes());
    let connects = || {
        let metrics = get(&gateway.metrics, "/metrics").text();
        let line = metrics
            .lines()
            .find(|line| line.contains("upstream_connects") && !line.starts_with('#'));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0)
    };
    let mut left = 0;
    wait_for("twelve callers that left", || {
        let before = connects();
        let mut caller = connect(&gateway.callers);
        let request = stream_request("/stream/1").encode();
        caller.write_all(&request).expect("written");
        wait_for("connecting or a refusal", || {
            let mut byte = [0];
            caller.set_nonblocking(true).expect("a socket");
            connects() > before || caller.peek(&mut byte).is_ok()
        });
        left += u64::from(connects() > before);
        left >= 12
    });
    store.put("keyed.servers", "i-full", b"");
    let entry = upstream.entry("desk", "ready").to_string();
    store.put("keyed.servers", &upstream.id, entry.as_bytes());
    wait_for("success", || {
        stream_request("/stream/1").send(&gateway).status() == 200
    });
}

/// Guards against billing a customer for events that never left the gateway.
#[test]
fn only_events_that_were_written_to_the_caller_are_counted() {
    const EVENTS: u32 = 20_000;
    let upstream = UpstreamStub::start(|request, _| {
        let head = signed_head(request, "Content-Type: text/event-stream\r\n");
        let padding = "x".repeat(1_000);
        let event = |id: u32| format!("id: {id}\ndata: {padding}\n\n");
        let events: String = (1..=EVENTS).map(event).collect();
        Action::WriteAndClose((head + &events).into_bytes())
    });
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let mut caller = connect(&gateway.callers);
    let request = CallerRequest {
        id: "r-events",
        ..stream_request("/stream/1")
    };
    caller.write_all(&request.encode()).expect("written");
    let end_line = || {
        let lines = gateway.log_lines_of("r-events");
        lines.into_iter().find(|line| line["step"] == "request")
    };
    wait_for("end of the response", || end_line().is_some());
    let mut received = Vec::new();
    let _ = caller.read_to_end(&mut received);
    let received = String::from_utf8_lossy(&received);
    let complete = received.matches("x\n\n").count() as u64;
    let line = end_line().expect("the end of the response");
    assert!(complete < u64::from(EVENTS), "the caller reads too late");
    assert_eq!(line["events"].as_u64(), Some(complete));
}

/// Guards against losing the rights that a killed gateway held for outages of the store.
#[test]
fn a_restarted_gateway_reclaims_the_rights_of_its_killed_predecessor() {
    let upstream = start_token_stream_upstream();
    let (store, gateway) = start_fleet(1_200, &[&upstream]);
    wait_for("success", || {
        stream_request("/stream/1").send(&gateway).status() == 200
    });
    wait_for("rights that are held", || {
        gateway.log_has("available_tokens", 300)
    });
    let vm = gateway.vm.clone();
    drop(gateway);
    let gateway = Gateway::start_on_vm(&store, &vm);
    gateway.wait_ready();
    let served = (0..12)
        .filter(|_| stream_request("/stream/1").send(&gateway).status() == 200)
        .count();
    assert!(served >= 7, "{served} of the 8 that are left");
}

/// Guards against refusing requests that held rights cover while the store is unresponsive, and against other requests
/// that wait for the store instead of being refused at once.
#[test]
fn held_rights_are_spent_during_a_store_outage_and_other_requests_fail_fast() {
    let upstream = start_token_stream_upstream();
    let (store, gateway) = start_fleet(1_000_000, &[&upstream]);
    for _ in 0..30 {
        assert_eq!(stream_request("/stream/1").send(&gateway).status(), 200);
    }
    store.set_mode(StoreMode::Silent);
    let started = Instant::now();
    let first = stream_request("/stream/1").send(&gateway).status();
    assert_eq!(first, 200, "held rights do not need the store");
    let large = CallerRequest {
        headers: "X-Token-Count: 900000,50\r\n",
        ..stream_request("/stream/1")
    };
    let refused = large.send(&gateway);
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some());
    assert!(
        started.elapsed() < Duration::from_millis(800),
        "{:?}",
        started.elapsed()
    );
    store.set_mode(StoreMode::Available);
    wait_for("success", || large.send(&gateway).status() != 503);
}

/// Guards against requests that a graceful shutdown cuts off, and against a process that reports itself ready while it
/// shuts down.
#[test]
fn a_graceful_shutdown_completes_open_requests() {
    let upstream = UpstreamStub::start(|request, _| {
        std::thread::sleep(Duration::from_millis(700));
        Action::Write(signed_response(request, 200, "done"))
    });
    let (_store, mut gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let mut caller = connect(&gateway.callers);
    caller
        .write_all(&CallerRequest::default().encode())
        .unwrap();
    wait_for("request at the upstream", || {
        !upstream.requests().is_empty()
    });
    gateway.signal(libc::SIGTERM);
    wait_for("failing readiness probe", || !gateway.is_ready());
    let mut reader = BufReader::new(caller);
    let response = read_response(&mut reader);
    assert_eq!((response.status(), response.is_complete), (200, true));
    assert_eq!(response.header("connection"), Some("close"));
    assert_eq!(
        CallerRequest::default().send(&gateway).status(),
        200,
        "until the load balancer has noticed"
    );
    assert_eq!(gateway.wait(), Some(0));
    wait_for("final log line", || {
        let lines = gateway.log_lines.lock().unwrap();
        lines
            .last()
            .is_some_and(|line| line["message"] == "stopped")
    });
}

/// Guards against a caller that holds a connection with an incomplete head, and against heads and bodies beyond the
/// limits.
#[test]
fn callers_are_held_to_the_configured_limits() {
    let upstream = start_ok_upstream();
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let mut slow = connect(&gateway.callers);
    slow.write_all(b"POST /read/1 HTTP/1.1\r\nHost: a.exa")
        .unwrap();
    let response = read_response(&mut BufReader::new(slow));
    assert_eq!(response.status(), 408);
    let long = format!("X-Long: {}\r\n", "x".repeat(20_000));
    let caller = CallerRequest {
        headers: &long,
        ..CallerRequest::default()
    };
    assert_eq!(caller.send(&gateway).status(), 431);
    let body = vec![b'x'; 400_000];
    let mut stream = connect(&gateway.callers);
    let caller = CallerRequest {
        body: &body,
        ..CallerRequest::default()
    };
    // The gateway responds without reading the body, so writing all of it may fail.
    let _ = stream.write_all(&caller.encode());
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 413");
}

/// Guards against a caller that gets no response within the timeout of its route because its upstream is silent.
#[test]
fn a_silent_upstream_times_out_with_the_route() {
    let upstream = UpstreamStub::start(|_, _| Action::Silent);
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let started = Instant::now();
    let book = CallerRequest {
        path: "/book/1",
        ..CallerRequest::default()
    };
    assert_eq!(book.send(&gateway).status(), 504);
    let elapsed = started.elapsed();
    assert!((2_300..2_900).contains(&elapsed.as_millis()), "{elapsed:?}");
}

/// Guards against a request that runs at more upstreams than its route allows because each attempt times out.
#[test]
fn timed_out_attempts_count_toward_the_limit_of_the_route() {
    let upstreams: Vec<UpstreamStub> = (0..4)
        .map(|_| UpstreamStub::start(|_, _| Action::Silent))
        .collect();
    let all: Vec<&UpstreamStub> = upstreams.iter().collect();
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &all);
    assert_eq!(CallerRequest::default().send(&gateway).status(), 504);
    let sent: usize = upstreams
        .iter()
        .map(|upstream| upstream.requests().len())
        .sum();
    assert_eq!(sent, 2);
}

/// Guards against decisions that cannot be explained from the log, against API keys in the log, and against metrics
/// that are not served.
#[test]
fn every_request_is_logged_with_its_id_and_outcome() {
    let upstream = start_ok_upstream();
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let served = CallerRequest {
        id: "served-1",
        ..CallerRequest::default()
    };
    served.send(&gateway);
    let refused = CallerRequest {
        id: "refused-1",
        path: "/nowhere/",
        ..CallerRequest::default()
    };
    refused.send(&gateway);
    wait_for("log lines of both requests", || {
        !gateway.log_lines_of("served-1").is_empty()
            && !gateway.log_lines_of("refused-1").is_empty()
    });
    let line = &gateway.log_lines_of("served-1")[0];
    assert_eq!(
        (&line["step"], &line["status"]),
        (&"request".into(), &200.into())
    );
    assert_eq!(line["upstreams"], upstream.id.as_str());
    let line = &gateway.log_lines_of("refused-1")[0];
    assert_eq!(
        (&line["step"], &line["status"]),
        (&"refuse".into(), &404.into())
    );
    let metrics = get(&gateway.metrics, "/metrics").text();
    assert!(metrics.contains("monsoonfield_requests"), "{metrics}");
    assert!(!gateway
        .log_lines
        .lock()
        .unwrap()
        .iter()
        .any(|line| line.to_string().contains(KEY)));
}

/// Guards against a process that starts with invalid settings, and against an error message that does not name the
/// invalid field.
#[test]
fn invalid_settings_are_reported_and_end_the_process() {
    let good = std::fs::read_to_string("deploy/settings.yaml").expect("the template");
    assert!(good.contains("stop_grace_s"));
    let cases = [
        ("vm: a\n", "listen"),
        (
            "vm: a\nstore: {address: nowhere, partitions: 0}\n",
            "store.partitions",
        ),
    ];
    for (text, field) in cases {
        let path = write_settings(text);
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_monsoonfield"))
            .args(["gateway", "--settings", &path])
            .output()
            .expect("the binary runs");
        assert_eq!(output.status.code(), Some(2));
        let message = String::from_utf8_lossy(&output.stderr);
        assert!(
            message.contains(field) && message.contains(&path),
            "{message}"
        );
        let _ = std::fs::remove_file(path);
    }
}

/// Guards against token counts whose sum overflows, so that a request reserves nothing of the budget of its team.
#[test]
fn token_counts_beyond_any_context_are_refused() {
    let upstream = start_token_stream_upstream();
    let (_store, gateway) = start_fleet(1_000_000, &[&upstream]);
    for headers in [
        "X-Token-Count: 18446744073709551615,1\r\n",
        "X-Token-Count: 1,1099511627777\r\n",
    ] {
        let request = CallerRequest {
            headers,
            ..stream_request("/stream/1")
        };
        assert_eq!(request.send(&gateway).status(), 400, "{headers}");
    }
    assert!(upstream.requests().is_empty());
}
