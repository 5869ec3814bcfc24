//! Tests of the path of a request through a router process.

mod http_common;

use http_common::{chat, key, Exchange, Site};
use serde_json::json;

const ENGINE: &[&str] = &["--tokens-per-second", "2000"];

/// Guards against a response that is not relayed whole, or is not billed once with what the engine reports.
#[test]
fn a_whole_response_is_relayed_and_billed() {
    let site = Site::start(&[ENGINE]);
    let router = site.router("vm-1");

    let response = chat("a", "how much for two soles", 20, false).send(&router.callers);

    assert_eq!(response.status, 200, "{response:?}");
    let body = response.json();
    assert_eq!(body["usage"]["completion_tokens"], 20);
    let prompt_tokens = body["usage"]["prompt_tokens"].as_u64().expect("a number");
    assert_eq!(site.bills(key("a")), [20 + prompt_tokens]);
    assert_eq!(site.upstreams[0].executions(key("a")), 1);
}

/// Guards against lost, repeated or reordered events of a stream, and against an end that comes before the bill.
#[test]
fn a_stream_is_relayed_and_billed() {
    let site = Site::start(&[ENGINE]);
    let router = site.router("vm-1");

    let response = chat("b", "how much for two soles", 100, true).send(&router.callers);

    response.assert_whole_stream(100);
    assert_eq!(site.bills(key("b")).len(), 1);
}

/// Guards against a plain service whose method, path or body is changed on the way.
#[test]
fn a_service_call_is_relayed() {
    let site = Site::start(&[ENGINE]);
    let router = site.router("vm-1");

    let response = Exchange::new("POST", "/services/prices/soles?size=42")
        .caller("c")
        .body("{\"colour\":\"black\"}")
        .send(&router.callers);

    assert_eq!(response.status, 200, "{response:?}");
    let body = response.json();
    assert_eq!(body["path"], "/soles");
    assert_eq!(body["method"], "POST");
    assert_eq!(body["body"], "{\"colour\":\"black\"}");
    assert_eq!(site.bills(key("c")), [1]);
}

/// Guards against a payment or booking that runs twice because its caller sent it again.
#[test]
fn a_call_that_may_not_be_repeated_runs_once() {
    let site = Site::start(&[ENGINE]);
    let router = site.router("vm-1");
    let book = Exchange::new("POST", "/services/orders/pickup")
        .caller("d")
        .body("{}");

    let first = book.send(&router.callers);
    let second = book.send(&router.callers);

    assert_eq!(first.status, 200, "{first:?}");
    assert_eq!(second.status, 200, "{second:?}");
    assert_eq!(second.json()["outcome"]["repeated"], json!(true));
    assert_eq!(site.upstreams[0].executions(key("d")), 1);
    assert_eq!(site.bills(key("d")).len(), 1);
}

/// Guards against a second dispatch after the upstream acted and its response was lost.
#[test]
fn a_lost_response_of_a_call_that_may_not_be_repeated_is_not_sent_again() {
    let site = Site::start(&[ENGINE, ENGINE]);
    let router = site.router("vm-1");
    for upstream in &site.upstreams {
        upstream.fault(json!({ "drop_after_acting": 1 }));
    }
    let pay = Exchange::new("POST", "/services/orders/payment")
        .caller("e")
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
    let runs: u64 = site
        .upstreams
        .iter()
        .map(|upstream| upstream.executions(key("e")))
        .sum();
    assert_eq!(runs, 1);
}

/// Guards against a call that runs although the log could not confirm the claim.
#[test]
fn a_call_that_may_not_be_repeated_is_refused_without_the_log() {
    let site = Site::start(&[ENGINE]);
    let router = site.router("vm-1");
    let warm = Exchange::new("POST", "/services/orders/pickup")
        .caller("f0")
        .body("{}");
    assert_eq!(warm.send(&router.callers).status, 200);
    site.platform.set_faults(json!({ "log": "unavailable" }));

    let response = Exchange::new("POST", "/services/orders/pickup")
        .caller("f")
        .body("{}")
        .send(&router.callers);

    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(
        response.error(),
        ("log_unavailable".into(), "not_run".into())
    );
    assert_eq!(site.upstreams[0].executions(key("f")), 0);
}

/// Guards against cache events that are not read, so that a conversation moves between engines at random.
#[test]
fn a_conversation_stays_at_the_engine_that_has_its_prefix() {
    let site = Site::start(&[ENGINE, ENGINE, ENGINE, ENGINE]);
    let router = site.router("vm-1");
    let prompt = "the price of two soles and one heel ".repeat(200);
    assert_eq!(
        chat("g0", &prompt, 2, false).send(&router.callers).status,
        200
    );
    let first = (0..4)
        .position(|number| site.upstreams[number].executions(key("g0")) == 1)
        .expect("one engine served");
    // A question for later events shows that the router has taken the earlier ones.
    let started = std::time::Instant::now();
    while site.upstreams[first].get("/counters")["cache_asked_from"] == 0 {
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

    // A choice at random sends a quarter of them there.
    let same = (1..=40)
        .filter(|number| site.upstreams[first].executions(key(&format!("g{number}"))) == 1)
        .count();
    assert!(same > 20, "{same} of 40 requests were sent to the engine");
}
