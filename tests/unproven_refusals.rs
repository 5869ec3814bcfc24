//! Tests of upstreams that refuse a request without a proof that they did not run it, in both roles.

mod gateway_common;
mod http_common;
mod spoilt_common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gateway_common::{
    event_chunk, signed_head, signed_response, start_fleet, wait_for, Action, CallerRequest, End,
    Message, UpstreamStub, TEST_TIMEOUT,
};
use http_common::{Deployment, HttpRequest};
use monsoonfield::record::{ConfigurationEntry, Entry};
use serde_json::Value;
use spoilt_common::{router_configuration, Arrival, Form, Plan, Stage, LARGE_BUDGET};

/// Statuses by which callers know that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Responses that refuse a request: status line and field lines.
const REFUSALS: [(&str, &str); 7] = [
    ("HTTP/1.1 503 Service Unavailable", ""),
    ("HTTP/1.1 429 Too Many Requests", ""),
    ("HTTP/1.1 408 Request Timeout", ""),
    ("HTTP/1.1 503 Service Unavailable", "Retry-After: 0.2\r\n"),
    ("HTTP/1.1 429 Too Many Requests", "Retry-After: 0.2\r\n"),
    ("HTTP/1.1 503 Service Unavailable", "Server-Leaving: 1\r\n"),
    ("HTTP/1.1 503 Service Unavailable", "Server-Limit: 50\r\n"),
];

fn plan((status_line, fields): (&'static str, &str)) -> Plan {
    let fields = format!("{fields}Content-Length: 4\r\n");
    Plan {
        form: Form::new(status_line, &fields, "busy").with_status_line(status_line),
        arrival: Arrival {
            is_whole: true,
            end: End::Keep,
        },
    }
}

/// Encodes a refusal of a request, with or without a proof that it did not run.
fn refusal(request: &Message, status: u16, is_proved: bool) -> Vec<u8> {
    let id = request.header("x-request-id").unwrap_or_default();
    let proof = if is_proved {
        "X-Not-Executed: 1\r\n"
    } else {
        ""
    };
    format!("HTTP/1.1 {status} x\r\nX-Request-Id: {id}\r\n{proof}Content-Length: 0\r\n\r\n")
        .into_bytes()
}

fn start_refusing_upstream(status: u16, is_proved: bool) -> UpstreamStub {
    UpstreamStub::start(move |request, _| Action::Write(refusal(request, status, is_proved)))
}

/// Guards against a 408, 429 or 503 of an upstream that has run the request, which reaches the caller as the promise that
/// it has not.
#[test]
fn a_refusal_without_a_proof_is_answered_502() {
    for refusal in REFUSALS {
        for start in [Stage::gateway, Stage::router] {
            for may_repeat in [false, true] {
                let stage = start(vec![plan(refusal)]);

                let received = stage.send(0, may_repeat);

                let context = format!("{}, {refusal:?}, {may_repeat}", stage.role());
                assert_eq!(received.status, 502, "{context}: {received:?}");
                assert!(received.promises_nothing(), "{context}: {received:?}");
                let runs = stage.upstream().requests().len();
                assert!(runs == 1 || may_repeat, "{context}: {runs} runs");
            }
        }
    }
}

/// Guards against the same on a route of streams, which begin at another upstream only if they may be resumed.
#[test]
fn a_refused_stream_is_answered_502() {
    for status in [408, 429, 503] {
        for path in ["/stream/1", "/chat/1"] {
            let upstream = start_refusing_upstream(status, false);
            let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
            let request = CallerRequest {
                path,
                ..CallerRequest::default()
            };

            let response = request.send(&gateway);

            assert_eq!(response.status(), 502, "{status} on {path}: {response:?}");
            assert_eq!(response.header("x-server-signature"), None, "{response:?}");
        }
    }
}

/// Guards against a promise after a second attempt that may have run, because the first one was refused with a proof.
#[test]
fn a_run_after_a_proved_refusal_is_answered_502() {
    let count = Arc::new(AtomicUsize::new(0));
    let upstreams = [(); 2].map(|()| {
        let count = Arc::clone(&count);
        UpstreamStub::start(move |request, _| {
            let is_proved = count.fetch_add(1, Ordering::SeqCst) == 0;
            Action::Write(refusal(request, 503, is_proved))
        })
    });
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstreams[0], &upstreams[1]]);
    let request = CallerRequest {
        path: "/book/1",
        ..CallerRequest::default()
    };

    let response = request.send(&gateway);

    assert_eq!(response.status(), 502, "{response:?}");
    assert_eq!(count.load(Ordering::SeqCst), 2, "requests at upstreams");
}

/// Guards against a proof that is ignored: such a request has not run, and its caller may send it again.
#[test]
fn a_refusal_with_a_proof_stays_a_promise() {
    for status in [429, 503] {
        let upstream = start_refusing_upstream(status, true);
        let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
        let request = CallerRequest {
            path: "/book/1",
            ..CallerRequest::default()
        };

        let response = request.send(&gateway);

        assert_eq!(response.status(), 503, "{response:?}");
        assert!(response.header("retry-after").is_some(), "{response:?}");
    }
}

/// Guards against a statement about another request that counts as a proof for this one, which then runs a second time.
#[test]
fn a_proof_for_another_request_proves_nothing() {
    let late = |id: &str| {
        format!("HTTP/1.1 503 x\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
    };
    let late_responses = late("other-1") + &late("other-2") + &late("other-3");
    let upstreams = [(); 2].map(|()| {
        let response = late_responses.clone().into_bytes();
        UpstreamStub::start(move |_, _| Action::Write(response.clone()))
    });
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstreams[0], &upstreams[1]]);
    let request = CallerRequest {
        path: "/book/1",
        ..CallerRequest::default()
    };

    let response = request.send(&gateway);

    assert_eq!(response.status(), 502, "{response:?}");
    let runs: usize = upstreams.iter().map(|each| each.requests().len()).sum();
    assert_eq!(runs, 1, "the request was sent again");
}

/// Guards against a stream that leaves its silent upstream for one that refuses it without a proof.
#[test]
fn an_upstream_that_refuses_without_a_proof_takes_no_stream_over() {
    /// Silence after which the gateway looks for another upstream.
    const PAUSE: Duration = Duration::from_millis(1_700);
    for status in [408, 429, 503] {
        let silent = UpstreamStub::start(|request: &Message, _| {
            let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            let rest = event_chunk(1) + "0\r\n\r\n";
            Action::Pause {
                first: Vec::new(),
                pause: PAUSE,
                rest: (signed_head(request, fields) + &rest).into_bytes(),
            }
        });
        let refusing = start_refusing_upstream(status, false);
        let (store, gateway) = start_fleet(LARGE_BUDGET, &[&silent]);
        let request = CallerRequest {
            path: "/chat/1",
            headers: "X-Token-Count: 100,50\r\n",
            ..CallerRequest::default()
        };

        let response = std::thread::scope(|scope| {
            let response = scope.spawn(|| request.send(&gateway));
            wait_for("the request", || !silent.requests().is_empty());
            let entry = refusing.entry("desk", "ready").to_string();
            store.put("keyed.servers", &refusing.id, entry.as_bytes());
            response.join().expect("a response")
        });

        assert_eq!(refusing.requests().len(), 1, "{status}: it was not asked");
        assert_eq!(response.status(), 200, "{status}: {response:?}");
        assert!(response.is_complete, "{status}: {response:?}");
    }
}

/// Returns a configuration of the router role in which no upstream serves `prices` any more.
fn configuration_without_prices(upstream: &UpstreamStub) -> Entry {
    let Entry::Configuration(configuration) = router_configuration(upstream) else {
        unreachable!("it is a configuration");
    };
    let mut body: Value = serde_json::from_slice(&configuration.body_json).expect("JSON");
    let upstreams = body["upstreams"].as_array_mut().expect("a list");
    upstreams.retain(|entry| entry["serves"] != "prices");
    Entry::Configuration(ConfigurationEntry {
        revision: configuration.revision + 1,
        replaces: configuration.revision,
        body_json: body.to_string().into_bytes(),
    })
}

/// Guards against a refusal of a router with a status that says "not run", because no upstream is left for a second attempt.
#[test]
fn a_router_without_an_upstream_for_a_second_attempt_promises_nothing() {
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = Mutex::new(released);
    let upstream = UpstreamStub::start(move |request, _| {
        if !request.start.contains("/fails") {
            return Action::Write(signed_response(request, 200, "served"));
        }
        // Until the configuration has changed, or the test has ended.
        let _ = released.lock().unwrap().recv_timeout(TEST_TIMEOUT);
        Action::Write(signed_response(request, 500, "failed"))
    });
    let deployment = Deployment::start(&[]);
    deployment.publish(vec![router_configuration(&upstream)]);
    let router = deployment.router("vm-1");
    let send = |id: &str| {
        let request = HttpRequest::new("POST", &format!("/services/prices/{id}"));
        let request = request.customer_headers(id).body("{}");
        request.send(&router.callers)
    };

    let response = std::thread::scope(|scope| {
        let response = scope.spawn(|| send("fails"));
        wait_for("the first attempt", || {
            let requests = upstream.requests();
            requests
                .iter()
                .any(|request| request.start.contains("/fails"))
        });
        deployment.publish(vec![configuration_without_prices(&upstream)]);
        let mut number = 0;
        wait_for("the new configuration", || {
            number += 1;
            send(&format!("probe-{number}")).status != 200
        });
        release.send(()).expect("the upstream waits");
        response.join().expect("a response")
    });

    assert_eq!(response.status, 502, "{response:?}");
    let expected = ("upstream_failed".to_owned(), "may_have_run".to_owned());
    assert_eq!(response.error(), expected);
}

/// Guards against a stricter reading than the pages have: other failures of an upstream are passed on with its signature.
#[test]
fn a_failure_that_promises_nothing_is_passed_on() {
    for status in [400, 404, 409, 500, 502, 504] {
        assert!(!PROMISES.contains(&status));
        let upstream = UpstreamStub::start(move |request, _| {
            Action::Write(signed_response(request, status, "failed"))
        });
        let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
        let request = CallerRequest {
            path: "/book/1",
            ..CallerRequest::default()
        };

        let response = request.send(&gateway);

        assert_eq!(response.status(), status, "{response:?}");
        assert_eq!(response.header("x-server-signature"), Some("s.1"));
    }
}
