//! Tests of requests that pass through a router process without failures, and of calls that must not run twice.

mod http_common;

use http_common::{chat, key, Deployment, HttpRequest};
use serde_json::json;

const ENGINE: &[&str] = &["--tokens-per-second", "2000"];

/// Guards against a response that is not relayed completely, or not billed once with the usage that the engine reports.
#[test]
fn a_buffered_response_is_relayed_and_billed() {
    let deployment = Deployment::start(&[ENGINE]);
    let router = deployment.router("vm-1");

    let response = chat("a", "how much for two soles", 20, false).send(&router.callers);

    assert_eq!(response.status, 200, "{response:?}");
    let body = response.json();
    assert_eq!(body["usage"]["completion_tokens"], 20);
    let prompt_tokens = body["usage"]["prompt_tokens"].as_u64().expect("a number");
    assert_eq!(deployment.bills(key("a")), [20 + prompt_tokens]);
    assert_eq!(deployment.upstreams[0].executions(key("a")), 1);
}

/// Guards against lost, repeated or reordered events of a stream, and against a stream that ends before it is billed.
#[test]
fn a_stream_is_relayed_and_billed() {
    let deployment = Deployment::start(&[ENGINE]);
    let router = deployment.router("vm-1");

    let response = chat("b", "how much for two soles", 100, true).send(&router.callers);

    response.assert_complete_stream(100);
    assert_eq!(deployment.bills(key("b")).len(), 1);
}

/// Guards against a call to a plain service whose method, path or body is altered in transit.
#[test]
fn a_service_call_is_relayed() {
    let deployment = Deployment::start(&[ENGINE]);
    let router = deployment.router("vm-1");

    let response = HttpRequest::new("POST", "/services/prices/soles?size=42")
        .customer_headers("c")
        .body("{\"colour\":\"black\"}")
        .send(&router.callers);

    assert_eq!(response.status, 200, "{response:?}");
    let body = response.json();
    assert_eq!(body["path"], "/soles");
    assert_eq!(body["method"], "POST");
    assert_eq!(body["body"], "{\"colour\":\"black\"}");
    assert_eq!(deployment.bills(key("c")), [1]);
}

/// Guards against a payment or booking that runs twice because the caller repeats the call.
#[test]
fn a_non_repeatable_call_runs_once() {
    let deployment = Deployment::start(&[ENGINE]);
    let router = deployment.router("vm-1");
    let book = HttpRequest::new("POST", "/services/orders/pickup")
        .customer_headers("d")
        .body("{}");

    let first = book.send(&router.callers);
    let second = book.send(&router.callers);

    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(second.status, 200, "{second:?}");
    assert_eq!(second.json()["outcome"]["repeated"], json!(true));
    assert_eq!(deployment.upstreams[0].executions(key("d")), 1);
    assert_eq!(deployment.bills(key("d")).len(), 1);
}

/// Guards against a second dispatch of a call that an upstream executed and whose response was lost.
#[test]
fn a_non_repeatable_call_is_not_sent_again_after_a_lost_response() {
    let deployment = Deployment::start(&[ENGINE, ENGINE]);
    let router = deployment.router("vm-1");
    for upstream in &deployment.upstreams {
        upstream.set_faults(json!({ "drop_after_acting": 1 }));
    }
    let pay = HttpRequest::new("POST", "/services/orders/payment")
        .customer_headers("e")
        .body("{}");

    let first = pay.send(&router.callers);
    let second = pay.send(&router.callers);

    assert_eq!(first.status, 502, "{first:?}");
    assert_eq!(
        first.error(),
        ("upstream_failed".into(), "may_have_run".into())
    );
    assert_eq!(
        second.error(),
        ("earlier_attempt".into(), "may_have_run".into())
    );
    let runs: u64 = deployment
        .upstreams
        .iter()
        .map(|upstream| upstream.executions(key("e")))
        .sum();
    assert_eq!(runs, 1);
}

/// Guards against running a non-repeatable call while the log is unavailable, so that no claim can win.
#[test]
fn a_non_repeatable_call_is_refused_without_the_log() {
    let deployment = Deployment::start(&[ENGINE]);
    let router = deployment.router("vm-1");
    let warm = HttpRequest::new("POST", "/services/orders/pickup")
        .customer_headers("f0")
        .body("{}");
    assert_eq!(warm.send(&router.callers).status, 200);
    deployment
        .platform
        .set_faults(json!({ "log": "unavailable" }));

    let response = HttpRequest::new("POST", "/services/orders/pickup")
        .customer_headers("f")
        .body("{}")
        .send(&router.callers);

    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(
        response.error(),
        ("log_unavailable".into(), "not_run".into())
    );
    assert_eq!(deployment.upstreams[0].executions(key("f")), 0);
}

/// Guards against ignored cache events, without which the requests of a conversation go to random engines.
#[test]
fn requests_with_a_cached_prefix_go_to_the_same_engine() {
    let deployment = Deployment::start(&[ENGINE, ENGINE, ENGINE, ENGINE]);
    let router = deployment.router("vm-1");
    let prompt = "the price of two soles and one heel ".repeat(200);
    assert_eq!(
        chat("g0", &prompt, 2, false).send(&router.callers).status,
        200
    );
    let first = (0..4)
        .position(|number| deployment.upstreams[number].executions(key("g0")) == 1)
        .expect("one engine served");
    // A request for later events shows that the router has processed the earlier ones.
    let started = std::time::Instant::now();
    while deployment.upstreams[first].get("/counters")["cache_asked_from"] == 0 {
        assert!(
            started.elapsed() < http_common::TEST_TIMEOUT,
            "the events are read"
        );
        std::thread::sleep(std::time::Duration::from_millis(10));
    }

    for number in 1..=40 {
        let response = chat(&format!("g{number}"), &prompt, 2, false).send(&router.callers);
        assert_eq!(response.status, 200, "{response:?}");
    }

    // A random choice would send a quarter of them there.
    let same = (1..=40)
        .filter(|number| deployment.upstreams[first].executions(key(&format!("g{number}"))) == 1)
        .count();
    assert!(same > 20, "{same} of 40 requests were sent to the engine");
}
