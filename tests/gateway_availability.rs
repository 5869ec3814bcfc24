//! What upstreams state about new requests, at real gateways.

mod gateway_common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gateway_common::coordinator::{grant_requests, join_as_coordinator};
use gateway_common::*;
use monsoonfield::upstream_availability::MAX_PAUSE_MS;

/// Header field of an upstream that leaves.
const LEAVING: &str = "Server-Leaving: 1\r\n";

/// Requests that are sent to find out whether an upstream still gets any.
const PROBES: usize = 12;

/// Time after which a gateway sends to an upstream again that has refused or failed a request.
const BACKOFF: Duration = Duration::from_millis(300);

/// Time within which a request that no upstream takes is refused; its deadline is much later.
const AT_ONCE: Duration = Duration::from_millis(1_000);

/// An upstream that serves each request and adds these header fields to its responses.
struct StatingUpstream {
    stub: UpstreamStub,
    fields: Arc<Mutex<String>>,
}

impl StatingUpstream {
    fn start(fields: &str) -> Self {
        let fields = Arc::new(Mutex::new(fields.to_owned()));
        let current = Arc::clone(&fields);
        let stub = UpstreamStub::start(move |request, _| {
            let fields = current.lock().unwrap().clone() + "Content-Length: 2\r\n";
            Action::Write((signed_head(request, &fields) + "ok").into_bytes())
        });
        Self { stub, fields }
    }

    fn state(&self, fields: &str) {
        *self.fields.lock().unwrap() = fields.to_owned();
    }

    fn count(&self) -> usize {
        self.stub.requests().len()
    }
}

/// Starts an upstream whose first response consists of these bytes; `ID` stands for the id of the request. All others
/// are served.
fn start_upstream_with_first_response(first: &'static str) -> UpstreamStub {
    UpstreamStub::start(move |request, number| {
        let id = request.header("x-request-id").unwrap_or_default();
        match number {
            1 => Action::Write(first.replace("ID", id).into_bytes()),
            _ => Action::Write(signed_response(request, 200, "ok")),
        }
    })
}

/// Registers an upstream as ready; `born` is the start of its process.
fn register(store: &StoreStub, upstream: &UpstreamStub, born: u64) {
    let mut entry = upstream.entry("desk", "ready");
    entry["born"] = born.into();
    store.put("keyed.servers", &upstream.id, entry.to_string().as_bytes());
}

fn unregister(store: &StoreStub, upstream: &UpstreamStub) {
    store.put("keyed.servers", &upstream.id, b"");
}

/// Waits until a gateway has read this many changes of an upstream's entry to a state.
fn wait_for_entry(gateway: &Gateway, upstream: &UpstreamStub, state: &str, count: usize) {
    wait_for("the entry of the upstream", || {
        let lines = gateway.log_lines_with_step("upstream");
        let changes = lines
            .iter()
            .filter(|line| line["upstream"] == upstream.id.as_str() && line["state"] == state);
        changes.count() >= count
    });
}

/// Sends requests to a gateway; returns their statuses.
fn probe(gateway: &Gateway) -> Vec<u16> {
    let probes = (0..PROBES).map(|_| CallerRequest::default().send(gateway).status());
    probes.collect()
}

/// Sends a request that must be refused at once; returns the `Retry-After` in seconds.
fn refused_at_once(gateway: &Gateway) -> f64 {
    let started = Instant::now();
    let response = CallerRequest::default().send(gateway);
    let elapsed = started.elapsed();
    assert_eq!(response.status(), 503);
    assert!(elapsed < AT_ONCE, "refused after {elapsed:?}");
    let text = response.header("retry-after").expect("a time");
    text.parse().expect("seconds")
}

/// Guards against requests to an upstream that has said in a response that it leaves, because its entry in the store is
/// old, comes back, or cannot be read.
#[test]
fn an_upstream_that_says_that_it_leaves_gets_no_new_requests_whatever_the_store_says() {
    let leaving = StatingUpstream::start(LEAVING);
    let other = StatingUpstream::start("");
    let (store, gateway) = start_fleet(1_000_000, &[&leaving.stub]);
    let response = CallerRequest::default().send(&gateway);
    assert_eq!(response.status(), 200);
    assert_eq!(response.header("server-leaving"), Some("1"), "passed on");
    leaving.state("");

    store.set_mode(StoreMode::Refusing);
    assert!(refused_at_once(&gateway) > 0.0, "the only one leaves");
    assert_eq!(leaving.count(), 1, "while the store is away");
    store.set_mode(StoreMode::Available);

    register(&store, &leaving.stub, 1);
    register(&store, &other.stub, 1);
    wait_for_entry(&gateway, &other.stub, "added", 1);
    assert_eq!(probe(&gateway), [200; PROBES]);
    assert_eq!(leaving.count(), 1, "while its entry says that it is ready");

    unregister(&store, &leaving.stub);
    wait_for_entry(&gateway, &leaving.stub, "removed", 1);
    register(&store, &leaving.stub, 1);
    wait_for_entry(&gateway, &leaving.stub, "added", 1);
    assert_eq!(probe(&gateway), [200; PROBES]);
    assert_eq!(leaving.count(), 1, "after its entry came back");

    register(&store, &leaving.stub, 2);
    unregister(&store, &other.stub);
    wait_for_entry(&gateway, &other.stub, "removed", 1);
    wait_for_entry(&gateway, &leaving.stub, "added", 2);
    assert_eq!(probe(&gateway), [200; PROBES], "by its successor");
}

/// Guards against requests to an upstream that leaves, because an entry that does not state the start of its process
/// replaces the one that did.
#[test]
fn an_entry_without_the_start_of_its_process_does_not_hide_that_an_upstream_leaves() {
    let leaving = StatingUpstream::start(LEAVING);
    let other = StatingUpstream::start("");
    let (store, gateway) = start_fleet(1_000_000, &[&leaving.stub]);
    assert_eq!(CallerRequest::default().send(&gateway).status(), 200);
    leaving.state("");

    let mut entry = leaving.stub.entry("desk", "ready");
    entry
        .as_object_mut()
        .expect("an object")
        .remove("born")
        .expect("a start");
    store.put(
        "keyed.servers",
        &leaving.stub.id,
        entry.to_string().as_bytes(),
    );
    register(&store, &other.stub, 1);
    wait_for_entry(&gateway, &other.stub, "added", 1);

    assert_eq!(probe(&gateway), [200; PROBES]);
    assert_eq!(leaving.count(), 1);
}

/// Guards against a request to a process that has been replaced, over a connection that became free after its successor
/// was known.
#[test]
fn a_connection_to_a_replaced_process_carries_no_request_to_its_successor() {
    let is_released = Arc::new(AtomicBool::new(false));
    let released = Arc::clone(&is_released);
    let replaced = UpstreamStub::start(move |request, _| {
        wait_for("the successor", || released.load(Ordering::SeqCst));
        Action::Write(signed_response(request, 200, "ok"))
    });
    let successor =
        UpstreamStub::start(|request, _| Action::Write(signed_response(request, 200, "ok")));
    let (store, gateway) = start_fleet(1_000_000, &[&replaced]);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| CallerRequest::default().send(&gateway).status());
        wait_for("the first request", || replaced.requests().len() == 1);
        let mut entry = successor.entry("desk", "ready");
        entry["born"] = 2.into();
        store.put("keyed.servers", &replaced.id, entry.to_string().as_bytes());
        wait_for_entry(&gateway, &replaced, "added", 1);
        is_released.store(true, Ordering::SeqCst);
        assert_eq!(first.join().expect("a response"), 200);
    });

    let status = CallerRequest::default().send(&gateway).status();

    assert_eq!(status, 200);
    assert_eq!(
        (replaced.requests().len(), successor.requests().len()),
        (1, 1)
    );
}

/// Guards against a notice of leaving that is overlooked because its response is not the one that the caller gets.
#[test]
fn every_kind_of_response_tells_that_an_upstream_leaves() {
    let cases = [
        (
            "a refusal",
            "HTTP/1.1 503 x\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
        ),
        (
            "a failure",
            "HTTP/1.1 500 x\r\nX-Request-Id: ID\r\nX-Server-Signature: s\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
        ),
        (
            "a response to another request before the expected one",
            "HTTP/1.1 200 x\r\nX-Request-Id: other\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n\
             HTTP/1.1 200 x\r\nX-Request-Id: ID\r\nX-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok",
        ),
        (
            "a response without a signature",
            "HTTP/1.1 200 x\r\nX-Request-Id: ID\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\nok",
        ),
    ];
    for (what, first) in cases {
        let leaving = start_upstream_with_first_response(first);
        let (_store, gateway) = start_fleet(1_000_000, &[&leaving]);
        CallerRequest::default().send(&gateway);
        let started = Instant::now();
        while started.elapsed() < BACKOFF {
            let response = CallerRequest::default().send(&gateway);
            assert_eq!(response.status(), 503, "{what}");
        }
        assert_eq!(leaving.requests().len(), 1, "{what}");
    }
}

/// Guards against an upstream that is avoided for ever because another process at its address leaves, or because of a
/// header field that says something else.
#[test]
fn a_notice_of_another_process_does_not_count() {
    let cases = [
        "HTTP/1.1 421 x\r\nX-Request-Id: ID\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 x\r\nX-Request-Id: ID\r\nX-Server-Signature: s\r\nServer-Leaving: soon\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 x\r\nX-Request-Id: ID\r\nX-Server-Signature: s\r\nServer-Leaving: 0\r\nContent-Length: 0\r\n\r\n",
    ];
    for first in cases {
        let upstream = start_upstream_with_first_response(first);
        let (_store, gateway) = start_fleet(1_000_000, &[&upstream]);
        CallerRequest::default().send(&gateway);
        assert!(
            gateway.log_lines_with_step("upstream_leaving").is_empty(),
            "{first}"
        );
    }
}

/// Guards against a request that waits for the permission of a limit, and is sent although the upstream has said
/// meanwhile that it takes no more requests.
#[test]
fn a_request_that_waits_is_not_sent_to_an_upstream_that_takes_no_more_meanwhile() {
    for (status, fields) in [
        (200, LEAVING),
        (503, "X-Not-Executed: 1\r\nRetry-After: 5\r\n"),
    ] {
        assert_waiting_request_is_not_sent(status, fields);
    }
}

/// Sends a request that waits for permission while the response to the one before it has this status and these fields.
fn assert_waiting_request_is_not_sent(status: u16, fields: &'static str) {
    let is_released = Arc::new(AtomicBool::new(false));
    let (is_passed_on, is_ended) = (AtomicBool::new(false), AtomicBool::new(false));
    let released = Arc::clone(&is_released);
    let upstream = UpstreamStub::start(move |request, number| {
        let id = request.header("x-request-id").unwrap_or_default();
        let (status, fields) = match number {
            2 => (status, fields),
            _ => (200, ""),
        };
        if number == 2 {
            wait_for("the third request", || released.load(Ordering::SeqCst));
        }
        let response = format!(
            "HTTP/1.1 {status} x\r\nX-Request-Id: {id}\r\nX-Server-Signature: s\r\nServer-Limit: 100.0\r\n\
             {fields}Content-Length: 0\r\n\r\n"
        );
        Action::Write(response.into_bytes())
    });
    let (store, gateway) = start_fleet(1_000_000, &[&upstream]);
    let coordinator = join_as_coordinator(&store);
    wait_for("presence of the coordinator", || {
        gateway.log_has("gateways", 2)
    });

    CallerRequest::default().send(&gateway);
    let (second, third) = std::thread::scope(|scope| {
        scope.spawn(|| {
            grant_requests(&coordinator, &is_ended, |number| {
                if number == 2 {
                    is_released.store(true, Ordering::SeqCst);
                    wait_for("the second response", || {
                        is_passed_on.load(Ordering::SeqCst)
                    });
                }
            });
        });
        let second = scope.spawn(|| {
            let response = CallerRequest::default().send(&gateway);
            is_passed_on.store(true, Ordering::SeqCst);
            response
        });
        wait_for("the second request", || upstream.requests().len() == 2);
        let third = CallerRequest::default().send(&gateway);
        is_ended.store(true, Ordering::SeqCst);
        (second.join().expect("a response"), third)
    });

    assert_eq!(second.status(), status, "{fields}");
    assert_eq!(upstream.requests().len(), 2, "{fields}");
    assert_eq!(third.status(), 503, "{fields}");
}

/// Guards against requests to an upstream before the time is over for which it has said that it wants none, against
/// callers that are told to come back long before or after it, and against an upstream that stays unused afterwards.
#[test]
fn an_upstream_that_asks_for_a_pause_gets_no_request_before_its_end() {
    const PAUSE: Duration = Duration::from_millis(1_200);
    for refusal in [
        "HTTP/1.1 503 x\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\nRetry-After: 1.2\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 x\r\nX-Request-Id: ID\r\nX-Server-Signature: s\r\nRetry-After: 1.2\r\nContent-Length: 0\r\n\r\n",
    ] {
        let upstream = start_upstream_with_first_response(refusal);
        let (_store, gateway) = start_fleet(1_000_000, &[&upstream]);
        CallerRequest::default().send(&gateway);
        let started = Instant::now();

        let retry_after_s = refused_at_once(&gateway);
        let mut status = 503;
        while status == 503 && started.elapsed() < TEST_TIMEOUT {
            status = CallerRequest::default().send(&gateway).status();
        }
        let waited = started.elapsed();

        assert_eq!(status, 200, "{refusal}");
        assert_eq!(upstream.requests().len(), 2, "{refusal}");
        assert!(waited > PAUSE - Duration::from_millis(200), "{waited:?}");
        let told = Duration::from_secs_f64(retry_after_s);
        assert!(told <= PAUSE + Duration::from_millis(500), "{told:?}");
        assert!(told >= PAUSE - Duration::from_millis(200), "{told:?}");
        assert!(waited <= told + Duration::from_millis(50), "{waited:?} of {told:?}");
    }
}

/// Guards against a caller that is told to come back before any upstream takes requests again, because its request was
/// refused after its last attempt and not before the first.
#[test]
fn a_caller_that_all_upstreams_refuse_returns_after_the_shortest_pause() {
    let start = |retry_after_s: &str| {
        let retry_after_s = retry_after_s.to_owned();
        UpstreamStub::start(move |request, _| {
            let id = request.header("x-request-id").unwrap_or_default();
            let response = format!(
                "HTTP/1.1 503 x\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\n\
                 Retry-After: {retry_after_s}\r\nContent-Length: 0\r\n\r\n"
            );
            Action::Write(response.into_bytes())
        })
    };
    let upstreams = ["5", "3.0", "8", "4.5"].map(start);
    let (_store, gateway) = start_fleet(1_000_000, &upstreams.each_ref());

    let retry_after_s = refused_at_once(&gateway);

    assert!((2.5..=3.5).contains(&retry_after_s), "{retry_after_s} s");
    let requests = upstreams.map(|upstream| upstream.requests().len());
    assert_eq!(requests, [1; 4]);
}

/// Guards against requests to one upstream that asks for a pause while another one is free, and against a pause that
/// also holds for the successor of the process.
#[test]
fn others_and_a_successor_serve_during_a_pause() {
    let shedding = start_upstream_with_first_response(
        "HTTP/1.1 503 x\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n",
    );
    let other = StatingUpstream::start("");
    let (store, gateway) = start_fleet(1_000_000, &[&shedding]);
    CallerRequest::default().send(&gateway);

    register(&store, &other.stub, 1);
    wait_for_entry(&gateway, &other.stub, "added", 1);
    let started = Instant::now();
    while started.elapsed() < BACKOFF {
        let response = CallerRequest::default().send(&gateway);
        assert_eq!(response.status(), 200);
    }
    assert_eq!(shedding.requests().len(), 1, "during its pause");

    register(&store, &shedding, 2);
    unregister(&store, &other.stub);
    wait_for_entry(&gateway, &other.stub, "removed", 1);
    wait_for_entry(&gateway, &shedding, "added", 1);
    assert_eq!(probe(&gateway), [200; PROBES], "by its successor");
}

/// Guards against an upstream that is not used because of a header field that states no time, or that is not used for
/// hours.
#[test]
fn times_that_make_no_sense_do_not_stop_an_upstream() {
    let cases = [
        "-1",
        "NaN",
        "inf",
        "soon",
        "Wed, 21 Oct 2099 07:28:00 GMT",
        "0",
    ];
    let upstream = UpstreamStub::start(move |request, number| {
        let id = request.header("x-request-id").unwrap_or_default();
        match cases.get(number - 1) {
            Some(text) => Action::Write(
                format!(
                    "HTTP/1.1 503 x\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nRetry-After: {text}\r\n\
                     Content-Length: 0\r\n\r\n"
                )
                .into_bytes(),
            ),
            None => Action::Write(signed_response(request, 200, "ok")),
        }
    });
    let (_store, gateway) = start_fleet(1_000_000, &[&upstream]);

    let started = Instant::now();
    wait_for("success", || {
        CallerRequest::default().send(&gateway).status() == 200
    });

    assert!(started.elapsed() < Duration::from_secs(5));
    assert!(gateway.log_lines_with_step("upstream_pause").is_empty());
    wait_for("a log line for each of them, except 0", || {
        gateway.log_lines_with_step("read header").len() == cases.len() - 1
    });
}

/// Guards against an upstream that is lost for hours because of one response.
#[test]
fn the_length_of_a_pause_is_bounded() {
    let upstream = start_upstream_with_first_response(
        "HTTP/1.1 503 x\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\nRetry-After: 1e300\r\nContent-Length: 0\r\n\r\n",
    );
    let (_store, gateway) = start_fleet(1_000_000, &[&upstream]);

    CallerRequest::default().send(&gateway);

    wait_for("the pause in the log", || {
        !gateway.log_lines_with_step("upstream_pause").is_empty()
    });
    let pauses = gateway.log_lines_with_step("upstream_pause");
    assert_eq!(pauses[0]["wait_ms"], MAX_PAUSE_MS);
}
