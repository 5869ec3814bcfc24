//! Tests of upstreams and routers that fail while they serve a request.

mod http_common;

use std::io::{BufReader, Read, Write};

use http_common::{chat, connect, key, read_head, Exchange, Site};
use serde_json::json;

const FAST: &[&str] = &["--tokens-per-second", "2000"];
const SLOW: &[&str] = &["--tokens-per-second", "200"];

/// Time after which a leaving upstream must get no new work; the wait is the figure under test.
const LEAVING_LIMIT: std::time::Duration = std::time::Duration::from_secs(3);

/// Guards against a response that ends early, or has events twice, when an engine's connection breaks.
#[test]
fn a_broken_stream_resumes_at_the_same_engine() {
    let site = Site::start(&[FAST]);
    let router = site.router("vm-1");
    site.upstreams[0].fault(json!({ "break_streams": 3, "break_after_events": 10 }));

    let response = chat("a", "text", 60, true).send(&router.callers);

    response.assert_whole_stream(60);
    assert_eq!(site.upstreams[0].executions(key("a")), 1);
    assert_eq!(site.upstreams[0].get("/counters")["resumes"], 3);
    assert_eq!(site.bills(key("a")).len(), 1);
}

/// Guards against a mixed or shortened response when the engine has lost the stream and another one runs it again.
#[test]
fn a_lost_stream_runs_again_at_another_engine() {
    let site = Site::start(&[FAST, FAST]);
    let router = site.router("vm-1");
    for upstream in &site.upstreams {
        upstream.fault(json!({
            "break_streams": 1, "break_after_events": 10, "forget_streams": true,
        }));
    }

    let response = chat("b", "text", 60, true).send(&router.callers);

    response.assert_whole_stream(60);
    let (_, content) = response.events();
    let direct = chat("b", "text", 60, true)
        .header("x-request-key", &key("b").to_string())
        .send(&site.upstreams[0].address);
    assert_eq!(content, direct.events().1);
    assert_eq!(site.bills(key("b")).len(), 1);
}

/// Guards against a caller that sees the crash of an engine while another engine can serve.
#[test]
fn a_crashed_engine_is_replaced() {
    let mut site = Site::start(&[SLOW, SLOW]);
    let router = site.router("vm-1");
    site.upstreams[0].fault(json!({ "crash_on": "fragile", "crash_after_events": 10 }));

    // The choice between the two engines is random, so several requests reach the one that crashes.
    for number in 0..8 {
        let name = format!("c{number}");
        let response = chat(&name, "fragile", 40, true).send(&router.callers);
        response.assert_whole_stream(40);
        assert_eq!(site.bills(key(&name)).len(), 1);
    }

    assert!(
        !site.upstreams[0].process.is_running(),
        "the engine crashed"
    );
}

/// Guards against one request that takes down an engine after the other.
#[test]
fn a_request_that_crashes_engines_is_stopped() {
    let mut site = Site::start(&[FAST, FAST, FAST, FAST]);
    let router = site.router("vm-1");
    for upstream in &site.upstreams {
        upstream.fault(json!({ "crash_on": "poison" }));
    }

    for number in 0..4 {
        let name = format!("d{number}");
        let response = chat(&name, "poison", 10, false).send(&router.callers);
        assert_eq!(response.error().0, "quarantined", "{response:?}");
    }

    let running = site
        .upstreams
        .iter_mut()
        .filter_map(|upstream| upstream.process.is_running().then_some(()))
        .count();
    assert_eq!(running, 2, "two engines crashed and no more");
}

/// Guards against stopping requests that only ran beside one that crashes engines.
///
/// After the first crash all requests of the engine run again, the harmful one among them. If they ran side by side
/// again, the second crash would count for each of them.
#[test]
fn requests_beside_one_that_crashes_engines_are_served() {
    const SLOW: &[&str] = &["--tokens-per-second", "500"];
    let mut site = Site::start(&[SLOW, SLOW, SLOW]);
    let router = site.router("vm-1");
    for upstream in &site.upstreams {
        upstream.fault(json!({ "crash_on": "poison", "crash_after_events": 20 }));
    }
    let send = |name: String, text: String| {
        let callers = router.callers.clone();
        std::thread::spawn(move || chat(&name, &text, 100, true).send(&callers))
    };

    let others: Vec<_> = (0..24)
        .map(|number| send(format!("o{number}"), format!("text {number}")))
        .collect();
    let poison = send("p".into(), "poison".into());
    let responses: Vec<_> = others
        .into_iter()
        .map(|thread| thread.join().expect("the caller ends"))
        .collect();

    let end = poison.join().expect("the caller ends");
    let crashed = site
        .upstreams
        .iter_mut()
        .filter_map(|upstream| (!upstream.process.is_running()).then_some(()))
        .count();
    assert_eq!(crashed, 2, "the harmful request is stopped: {end:?}");
    for response in responses {
        response.assert_whole_stream(100);
    }
}

/// Guards against a caller that is refused because one of several engines fails.
#[test]
fn a_failing_engine_is_avoided() {
    let site = Site::start(&[FAST, FAST]);
    let router = site.router("vm-1");
    site.upstreams[0].fault(json!({ "fail": 1_000 }));

    for number in 0..20 {
        let response = chat(&format!("e{number}"), "text", 5, false).send(&router.callers);
        assert_eq!(response.status, 200, "request {number}: {response:?}");
    }
}

/// Guards against a refusal that claims a request was not run although an engine acted on it.
#[test]
fn a_refusal_after_dispatch_says_that_the_request_may_have_run() {
    let site = Site::start(&[FAST]);
    let router = site.router("vm-1");
    site.upstreams[0].fault(json!({ "drop_after_acting": 100 }));

    let response = Exchange::new("POST", "/services/prices/soles")
        .caller("f")
        .body("{}")
        .send(&router.callers);

    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(response.error().1, "may_have_run");
    assert!(site.upstreams[0].executions(key("f")) > 0);
}

/// Guards against a refusal that claims a request was not run although the engine crashed while it ran it on a reused
/// connection.
#[test]
fn a_crash_on_a_reused_connection_may_have_run() {
    let site = Site::start(&[FAST]);
    let router = site.router("vm-1");
    assert_eq!(
        chat("r1", "text", 5, false).send(&router.callers).status,
        200
    );
    site.upstreams[0].fault(json!({ "crash_on": "poison" }));

    let response = chat("r2", "poison", 5, false).send(&router.callers);

    assert_eq!(response.error().1, "may_have_run", "{response:?}");
}

/// Guards against a refusal that does not invite a retry although nothing was sent.
#[test]
fn a_refusal_before_dispatch_says_not_run() {
    let mut site = Site::start(&[FAST]);
    let router = site.router("vm-1");
    site.upstreams[0].process.signal(libc::SIGKILL);
    site.upstreams[0].process.wait();

    let response = chat("g", "text", 5, false).send(&router.callers);

    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.error(), ("no_upstream".into(), "not_run".into()));
}

/// Guards against a second bill, or a response without its beginning, when a router dies and its caller asks another.
#[test]
fn a_retry_at_another_router_gives_one_response_and_one_bill() {
    let site = Site::start(&[SLOW]);
    let mut first = site.router("vm-1");
    let second = site.router("vm-2");
    let request = chat("h", "text", 100, true);
    let mut stream = connect(&first.callers).expect("the router accepts");
    stream
        .write_all(&request.encode())
        .expect("the router reads");
    let mut reader = BufReader::new(stream);
    let (status, _) = read_head(&mut reader).expect("the response begins");
    assert_eq!(status, 200);
    let mut start = [0; 64];
    reader
        .read_exact(&mut start)
        .expect("the first events arrive");

    first.process.signal(libc::SIGKILL);
    first.process.wait();
    let response = request.send(&second.callers);

    response.assert_whole_stream(100);
    assert_eq!(
        site.upstreams[0].executions(key("h")),
        1,
        "the engine kept the stream"
    );
    assert_eq!(site.bills(key("h")).len(), 1);
}

/// Guards against a charge for the repetition of a request that was billed.
#[test]
fn a_repeated_request_is_served_and_billed_once() {
    let site = Site::start(&[FAST]);
    let first = site.router("vm-1");
    let second = site.router("vm-2");
    let request = chat("i", "text", 30, true);

    request.send(&first.callers).assert_whole_stream(30);
    request.send(&second.callers).assert_whole_stream(30);
    request.send(&first.callers).assert_whole_stream(30);

    assert_eq!(site.bills(key("i")).len(), 1);
}

/// Guards against new work for an engine that reports that it is leaving.
#[test]
fn a_leaving_engine_gets_no_new_work() {
    let site = Site::start(&[FAST, FAST]);
    let router = site.router("vm-1");
    site.upstreams[0].fault(json!({ "leaving": true }));
    // The report is read every second; an engine that is leaving refuses work meanwhile, which the router mends.
    let started = std::time::Instant::now();

    let mut number = 0;
    while started.elapsed() < std::time::Duration::from_secs(3) {
        let response = chat(&format!("j{number}"), "text", 2, false).send(&router.callers);
        assert_eq!(response.status, 200, "{response:?}");
        number += 1;
    }
}

/// Guards against new work for an upstream that the platform's list shows as leaving while the upstream itself does not
/// know of it.
#[test]
fn an_upstream_listed_as_leaving_gets_no_new_work() {
    let site = Site::start(&[FAST, FAST]);
    let router = site.router_with("vm-1", Default::default(), Default::default());
    let entry = json!([{ "vm": "old", "address": site.upstreams[0].address, "state": "leaving" }]);
    site.platform.set_vms_json(&entry);
    std::thread::sleep(LEAVING_LIMIT);

    for number in 0..20 {
        let name = format!("l{number}");
        let response = chat(&name, "text", 2, false).send(&router.callers);
        let call = Exchange::new("POST", "/services/prices/soles").caller(&format!("s{number}"));
        let service = call.body("{}").send(&router.callers);

        assert_eq!((response.status, service.status), (200, 200));
        assert_eq!(site.upstreams[0].executions(key(&name)), 0);
        assert_eq!(site.upstreams[0].executions(key(&format!("s{number}"))), 0);
    }
}

/// Guards against a budget that is overspent, and against a refusal that hides why.
#[test]
fn an_exhausted_budget_refuses_as_not_run() {
    let site = Site::start(&[FAST]);
    site.publish(vec![http_common::contract("small", "key-of-small", 100)]);
    let router = site.router("vm-1");
    let request = |name: &str, tokens: u64| {
        let body = json!({
            "model": "quotes",
            "messages": [{ "role": "user", "content": "text" }],
            "max_tokens": tokens,
        });
        Exchange::new("POST", "/v1/chat/completions")
            .header("authorization", "Bearer key-of-small")
            .header("idempotency-key", name)
            .body(body.to_string())
    };

    let served = request("one", 50).send(&router.callers);
    let refused = request("two", 90).send(&router.callers);

    assert_eq!(served.status, 200, "{served:?}");
    assert_eq!(refused.status, 402, "{refused:?}");
    assert_eq!(
        refused.error(),
        ("budget_exhausted".into(), "not_run".into())
    );
}
