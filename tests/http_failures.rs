//! Tests of failures of upstreams and routers while a request is served.

mod http_common;

use std::io::{BufReader, Read, Write};
use std::time::{Duration, Instant};

use http_common::{chat, chat_after, connect, key, read_head, Deployment, HttpRequest};
use serde_json::json;

const FAST_ENGINE: &[&str] = &["--tokens-per-second", "2000"];
const SLOW_ENGINE: &[&str] = &["--tokens-per-second", "200"];

/// Time limit within which the router must detect that an upstream is draining.
const DRAINING_DETECTION_LIMIT: std::time::Duration = std::time::Duration::from_secs(3);

/// Guards against a response that ends early or repeats events when the connection to an engine breaks.
#[test]
fn a_broken_stream_resumes_at_the_same_engine() {
    let deployment = Deployment::start(&[FAST_ENGINE]);
    let router = deployment.router("vm-1");
    deployment.upstreams[0].set_faults(json!({ "break_streams": 3, "break_after_events": 10 }));

    let response = chat("a", "text", 60, true).send(&router.callers);

    response.assert_complete_stream(60);
    assert_eq!(deployment.upstreams[0].executions(key("a")), 1);
    assert_eq!(deployment.upstreams[0].get("/counters")["resumes"], 3);
    assert_eq!(deployment.bills(key("a")).len(), 1);
}

/// Guards against a stream that is given up because its only engine is silent for seconds and then goes on; after 10 s a
/// request may move to another engine.
#[test]
fn a_stream_outlasts_the_silence_of_its_only_engine() {
    std::thread::scope(|scope| {
        for stall_ms in [2_000, 11_000] {
            scope.spawn(move || {
                let deployment = Deployment::start(&[FAST_ENGINE]);
                let router = deployment.router("vm-1");
                deployment.upstreams[0].set_faults(json!({ "stall_ms": stall_ms }));

                let response = chat("s", "text", 60, true).send(&router.callers);

                response.assert_complete_stream(60);
                assert_eq!(deployment.upstreams[0].executions(key("s")), 1);
                assert_eq!(deployment.bills(key("s")).len(), 1);
            });
        }
    });
}

/// Guards against a mixed or truncated response when an engine has lost the stream and another one runs the request
/// again.
#[test]
fn a_lost_stream_runs_again_at_another_engine() {
    let deployment = Deployment::start(&[FAST_ENGINE, FAST_ENGINE]);
    let router = deployment.router("vm-1");
    for upstream in &deployment.upstreams {
        upstream.set_faults(json!({
            "break_streams": 1, "break_after_events": 10, "forget_streams": true,
        }));
    }

    let response = chat("b", "text", 60, true).send(&router.callers);

    response.assert_complete_stream(60);
    let (_, content) = response.events();
    let direct = chat("b", "text", 60, true)
        .header("x-request-key", &key("b").to_string())
        .send(&deployment.upstreams[0].address);
    assert_eq!(content, direct.events().1);
    assert_eq!(deployment.bills(key("b")).len(), 1);
}

/// Guards against a crash of an engine that is visible to the caller although another engine can run the request.
#[test]
fn a_stream_survives_the_crash_of_its_engine() {
    let mut deployment = Deployment::start(&[SLOW_ENGINE, SLOW_ENGINE]);
    let router = deployment.router("vm-1");
    deployment.upstreams[0].set_faults(json!({ "crash_on": "fragile", "crash_after_events": 10 }));

    // The choice between the two engines is random, so several requests are needed to reach the one that crashes.
    for number in 0..8 {
        let name = format!("c{number}");
        let response = chat(&name, "fragile", 40, true).send(&router.callers);
        response.assert_complete_stream(40);
        assert_eq!(deployment.bills(key(&name)).len(), 1);
    }

    assert!(
        !deployment.upstreams[0].process.is_running(),
        "the engine crashed"
    );
}

/// Guards against a request that crashes one engine after another.
#[test]
fn a_request_that_crashes_engines_is_quarantined() {
    let mut deployment = Deployment::start(&[FAST_ENGINE, FAST_ENGINE, FAST_ENGINE, FAST_ENGINE]);
    let router = deployment.router("vm-1");
    for upstream in &deployment.upstreams {
        upstream.set_faults(json!({ "crash_on": "poison" }));
    }

    for number in 0..4 {
        let name = format!("d{number}");
        let response = chat(&name, "poison", 10, false).send(&router.callers);
        assert_eq!(response.error().0, "quarantined", "{response:?}");
    }

    let running = deployment.running_engines();
    assert_eq!(running, 2, "exactly two engines crashed");
}

/// Guards against requests that share a message which crashes engines: each is quarantined only after two crashes of its
/// own, so no engine is left after a few of them.
#[test]
fn requests_that_share_a_crashing_message_are_quarantined_together() {
    let mut deployment = Deployment::start(&[FAST_ENGINE; 8]);
    let router = deployment.router("vm-1");
    for upstream in &deployment.upstreams {
        upstream.set_faults(json!({ "crash_on": "poison" }));
    }

    for number in 0..6 {
        let name = format!("m{number}");
        let text = format!("question {number}");
        let response = chat_after(&name, "poison", &text, 10, false).send(&router.callers);
        assert_eq!(response.error().0, "quarantined", "{response:?}");
    }

    let running = deployment.running_engines();
    assert_eq!(running, 5, "three engines crashed, and no more");
    let sound = chat_after("sound", "instructions", "question 0", 10, false);
    assert_eq!(sound.send(&router.callers).status, 200);
}

/// Guards against quarantining requests that only ran at the same engine as one that crashes it.
///
/// After the first crash, all requests of the engine are retried, including the one that caused it. If they ran
/// together again, the second crash would count against each of them.
#[test]
fn requests_that_run_beside_a_crashing_one_are_served() {
    const SLOW_ENGINE: &[&str] = &["--tokens-per-second", "500"];
    let mut deployment = Deployment::start(&[SLOW_ENGINE, SLOW_ENGINE, SLOW_ENGINE]);
    let router = deployment.router("vm-1");
    for upstream in &deployment.upstreams {
        upstream.set_faults(json!({ "crash_on": "poison", "crash_after_events": 20 }));
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
    let crashed = deployment.upstreams.len() - deployment.running_engines();
    assert_eq!(crashed, 2, "the harmful request is quarantined: {end:?}");
    for response in responses {
        response.assert_complete_stream(100);
    }
}

/// Guards against refusals that are caused by one failing engine among several.
#[test]
fn a_failing_engine_is_avoided() {
    let deployment = Deployment::start(&[FAST_ENGINE, FAST_ENGINE]);
    let router = deployment.router("vm-1");
    deployment.upstreams[0].set_faults(json!({ "fail": 1_000 }));

    for number in 0..20 {
        let response = chat(&format!("e{number}"), "text", 5, false).send(&router.callers);
        assert_eq!(response.status, 200, "request {number}: {response:?}");
    }
}

/// Guards against a refusal with status `not_run` although an upstream executed the request.
#[test]
fn a_refusal_after_dispatch_says_that_the_request_may_have_run() {
    let deployment = Deployment::start(&[FAST_ENGINE]);
    let router = deployment.router("vm-1");
    deployment.upstreams[0].set_faults(json!({ "drop_after_acting": 100 }));

    let response = HttpRequest::new("POST", "/services/prices/soles")
        .customer_headers("f")
        .body("{}")
        .send(&router.callers);

    assert_eq!(response.status, 502, "{response:?}");
    assert_eq!(response.error().1, "may_have_run");
    assert!(deployment.upstreams[0].executions(key("f")) > 0);
}

/// Guards against a refusal with status `not_run` although the engine crashed while it ran the request on a reused
/// connection.
#[test]
fn a_crash_on_a_reused_connection_may_have_run() {
    let deployment = Deployment::start(&[FAST_ENGINE]);
    let router = deployment.router("vm-1");
    assert_eq!(
        chat("r1", "text", 5, false).send(&router.callers).status,
        200
    );
    deployment.upstreams[0].set_faults(json!({ "crash_on": "poison" }));

    let response = chat("r2", "poison", 5, false).send(&router.callers);

    assert_eq!(response.error().1, "may_have_run", "{response:?}");
}

/// Guards against a refusal with status `may_have_run` although nothing was sent.
#[test]
fn a_refusal_before_dispatch_says_not_run() {
    let mut deployment = Deployment::start(&[FAST_ENGINE]);
    let router = deployment.router("vm-1");
    deployment.upstreams[0].process.signal(libc::SIGKILL);
    deployment.upstreams[0].process.wait();

    let response = chat("g", "text", 5, false).send(&router.callers);

    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.error(), ("no_upstream".into(), "not_run".into()));
}

/// Guards against a second bill or a response without its beginning when a router crashes and the caller retries at
/// another router.
#[test]
fn a_retry_at_another_router_gives_one_response_and_one_bill() {
    let deployment = Deployment::start(&[SLOW_ENGINE]);
    let mut first = deployment.router("vm-1");
    let second = deployment.router("vm-2");
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

    response.assert_complete_stream(100);
    assert_eq!(
        deployment.upstreams[0].executions(key("h")),
        1,
        "the engine kept the stream"
    );
    assert_eq!(deployment.bills(key("h")).len(), 1);
}

/// Guards against a second charge for the repetition of a billed request.
#[test]
fn a_repeated_request_is_served_and_billed_once() {
    let deployment = Deployment::start(&[FAST_ENGINE]);
    let first = deployment.router("vm-1");
    let second = deployment.router("vm-2");
    let request = chat("i", "text", 30, true);

    request.send(&first.callers).assert_complete_stream(30);
    request.send(&second.callers).assert_complete_stream(30);
    request.send(&first.callers).assert_complete_stream(30);

    assert_eq!(deployment.bills(key("i")).len(), 1);
}

/// Guards against requests that fail because an engine that reports that it is draining refuses them.
#[test]
fn requests_succeed_while_an_engine_drains() {
    let deployment = Deployment::start(&[FAST_ENGINE, FAST_ENGINE]);
    let router = deployment.router("vm-1");
    deployment.upstreams[0].set_faults(json!({ "leaving": true }));
    // The report is read every second. Until then, the draining engine refuses requests, which the router retries.
    let started = std::time::Instant::now();

    let mut number = 0;
    while started.elapsed() < std::time::Duration::from_secs(3) {
        let response = chat(&format!("j{number}"), "text", 2, false).send(&router.callers);
        assert_eq!(response.status, 200, "{response:?}");
        number += 1;
    }
}

/// Guards against new requests to an upstream that the platform's list shows as leaving but that does not report itself
/// as draining.
#[test]
fn an_upstream_listed_as_leaving_gets_no_new_requests() {
    let deployment = Deployment::start(&[FAST_ENGINE, FAST_ENGINE]);
    let router = deployment.router_with("vm-1", Default::default(), Default::default());
    let entry =
        json!([{ "vm": "old", "address": deployment.upstreams[0].address, "state": "leaving" }]);
    deployment.platform.set_vms_json(&entry);
    std::thread::sleep(DRAINING_DETECTION_LIMIT);

    for number in 0..20 {
        let name = format!("l{number}");
        let response = chat(&name, "text", 2, false).send(&router.callers);
        let call = HttpRequest::new("POST", "/services/prices/soles")
            .customer_headers(&format!("s{number}"));
        let service = call.body("{}").send(&router.callers);

        assert_eq!((response.status, service.status), (200, 200));
        assert_eq!(deployment.upstreams[0].executions(key(&name)), 0);
        assert_eq!(
            deployment.upstreams[0].executions(key(&format!("s{number}"))),
            0
        );
    }
}

/// Guards against overspending a budget, and against a refusal with the wrong code.
#[test]
fn an_exhausted_budget_refuses_as_not_run() {
    let deployment = Deployment::start(&[FAST_ENGINE]);
    deployment.publish(vec![http_common::contract("small", "key-of-small", 100)]);
    let router = deployment.router("vm-1");
    let request = |name: &str, tokens: u64| {
        let body = json!({
            "model": "quotes",
            "messages": [{ "role": "user", "content": "text" }],
            "max_tokens": tokens,
        });
        HttpRequest::new("POST", "/v1/chat/completions")
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

/// Guards against copies of a request that wait in the queue, or for an engine of their own, while the request is
/// quarantined, and then crash the next engine that becomes free.
#[test]
fn copies_that_wait_while_their_request_is_quarantined_are_not_run() {
    const TOKENS: u64 = 200;
    const SOUND_START_LIMIT: Duration = Duration::from_secs(10);
    let mut deployment = Deployment::start_with_capacity(&[SLOW_ENGINE; 3], 1);
    let router = deployment.router("vm-1");
    for upstream in &deployment.upstreams {
        upstream.set_faults(json!({ "crash_on": "poison", "crash_after_events": 20 }));
    }
    let send = |name: &str, text: &str| {
        let (callers, request) = (router.callers.clone(), chat(name, text, TOKENS, false));
        std::thread::spawn(move || request.send(&callers))
    };
    let sound = send("sound", "text");
    let started = Instant::now();
    while !deployment
        .upstreams
        .iter()
        .any(|upstream| upstream.executions(key("sound")) > 0)
    {
        assert!(
            started.elapsed() < SOUND_START_LIMIT,
            "the sound request does not run"
        );
    }

    let names = ["c1", "c2", "c3", "c4"];
    let copies: Vec<_> = names.iter().map(|name| send(name, "poison")).collect();
    let responses: Vec<_> = copies
        .into_iter()
        .map(|copy| copy.join().expect("the caller ends"))
        .collect();

    assert_eq!(sound.join().expect("the caller ends").status, 200);
    let codes: Vec<String> = responses.iter().map(|copy| copy.error().0).collect();
    let running = deployment.running_engines();
    assert_eq!(
        running, 1,
        "the engine of the sound request ends: {codes:?}"
    );
    let refused = codes.iter().filter(|code| *code == "quarantined").count();
    assert!(
        refused >= 2,
        "the copies that waited are refused: {codes:?}"
    );
}

/// Guards against quarantining a sound request because several copies of it ran at one engine that crashed.
#[test]
fn copies_of_a_sound_request_at_a_crashing_engine_are_served() {
    let mut deployment = Deployment::start(&[SLOW_ENGINE; 3]);
    let router = deployment.router("vm-1");
    for upstream in &deployment.upstreams {
        upstream.set_faults(json!({ "crash_on": "poison", "crash_after_events": 20 }));
    }
    let send = |name: String, text: &'static str| {
        let callers = router.callers.clone();
        std::thread::spawn(move || chat(&name, text, 100, true).send(&callers))
    };

    let copies: Vec<_> = (0..12)
        .map(|number| send(format!("s{number}"), "text"))
        .collect();
    let poison = send("p".into(), "poison");
    let responses: Vec<_> = copies
        .into_iter()
        .map(|copy| copy.join().expect("the caller ends"))
        .collect();

    let end = poison.join().expect("the caller ends");
    let crashed = deployment.upstreams.len() - deployment.running_engines();
    assert!(crashed >= 1, "an engine crashes: {end:?}");
    for response in responses {
        response.assert_complete_stream(100);
    }
}
