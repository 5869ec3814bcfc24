//! Evacuation of data centres, at real gateways.

mod gateway_common;

use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gateway_common::coordinator::{grant_requests, join_as_coordinator};
use gateway_common::*;

/// Data centre that is evacuated; the gateways are in it, so that they prefer its upstreams.
const EVACUATED: &str = "kv-a";

/// Requests that are sent to find out whether an upstream still gets any.
const PROBES: usize = 12;

/// Time within which an order takes effect.
const EVACUATE: Duration = Duration::from_millis(5_000);

/// Time within which a request that no upstream takes is refused; its deadline is much later.
const AT_ONCE: Duration = Duration::from_millis(1_000);

fn serving() -> UpstreamStub {
    UpstreamStub::start(|request, _| Action::Write(signed_response(request, 200, "ok")))
}

fn register(store: &StoreStub, upstream: &UpstreamStub, data_centre: &str) {
    let mut entry = upstream.entry("desk", "ready");
    entry["zone"] = data_centre.into();
    store.put("keyed.servers", &upstream.id, entry.to_string().as_bytes());
}

fn order(store: &StoreStub, value: &str) {
    store.put(
        "keyed.op",
        &format!("evacuate/{EVACUATED}"),
        value.as_bytes(),
    );
}

/// Starts a store and a gateway with one upstream in the data centre to evacuate and one in another.
fn start_two(evacuated: &UpstreamStub, other: &UpstreamStub) -> (StoreStub, Gateway) {
    let store = StoreStub::start();
    store.configure(&configuration(1, 1_000_000));
    register(&store, evacuated, EVACUATED);
    register(&store, other, "kv-b");
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    (store, gateway)
}

/// Waits until a gateway has logged this state of the order this often.
fn wait_for_state(gateway: &Gateway, is_evacuated: bool, count: usize) {
    wait_for("the order", || {
        let lines = gateway.log_lines_with_step("evacuation");
        let of_state = lines
            .iter()
            .filter(|line| line["data_centre"] == EVACUATED && line["evacuated"] == is_evacuated);
        of_state.count() >= count
    });
}

/// Sends requests, all of which must be served; returns how many of them reached an upstream.
fn count_at(upstream: &UpstreamStub, gateway: &Gateway) -> usize {
    let before = upstream.requests().len();
    for _ in 0..PROBES {
        assert_eq!(CallerRequest::default().send(gateway).status(), 200);
    }
    upstream.requests().len() - before
}

/// Guards against the requests that reached an evacuated data centre: after the order, after a restart of the gateway,
/// while the store is away, after it dropped its history or returned from a copy without the order; and against a data
/// centre that stays unused after the withdrawal.
#[test]
fn no_request_reaches_an_evacuated_data_centre_until_the_order_is_withdrawn() {
    let (evacuated, other) = (serving(), serving());
    let (store, gateway) = start_two(&evacuated, &other);
    assert!(count_at(&evacuated, &gateway) > 0);
    store.take_copy();
    let ordered = Instant::now();
    order(&store, "{}");
    wait_for_state(&gateway, true, 1);
    assert!(ordered.elapsed() < EVACUATE);
    assert_eq!(count_at(&evacuated, &gateway), 0, "after the order");

    let restarted = Gateway::start(&store);
    restarted.wait_ready();
    assert_eq!(count_at(&evacuated, &restarted), 0, "after a restart");

    order(&store, "[]");
    wait_for("the invalid order", || {
        let lines = gateway.log_lines_with_step("evacuation");
        lines.iter().any(|line| !line["key"].is_null())
    });
    store.drop_history("keyed.op");
    store.set_mode(StoreMode::Refusing);
    assert_eq!(count_at(&evacuated, &gateway), 0, "during an outage");
    store.set_mode(StoreMode::Available);

    store.return_to_copy_and_put(&[]);
    wait_for_state(&gateway, true, 2);
    assert_eq!(count_at(&evacuated, &gateway), 0, "after a return");

    order(&store, "");
    wait_for_state(&gateway, false, 1);
    wait_for("a request at the upstream", || {
        count_at(&evacuated, &gateway) > 0
    });
}

/// Guards against callers that wait for their deadline, or are not told when to come back, although nothing can serve
/// them; and against a request in flight that is cut off by the order.
#[test]
fn a_service_without_another_data_centre_is_refused_at_once() {
    let is_released = Arc::new(AtomicBool::new(false));
    let released = Arc::clone(&is_released);
    let upstream = UpstreamStub::start(move |request, _| {
        wait_for("the order", || released.load(Ordering::SeqCst));
        Action::Write(signed_response(request, 200, "ok"))
    });
    let store = StoreStub::start();
    store.configure(&configuration(1, 1_000_000));
    register(&store, &upstream, EVACUATED);
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    let mut in_flight = connect(&gateway.callers);
    let request = CallerRequest::default().encode();
    in_flight.write_all(&request).expect("written");
    wait_for("the request", || upstream.requests().len() == 1);
    order(&store, "{}");
    wait_for_state(&gateway, true, 1);

    let started = Instant::now();
    let refused = CallerRequest::default().send(&gateway);
    assert_eq!(refused.status(), 503);
    assert!(started.elapsed() < AT_ONCE);
    let retry_after = refused.header("retry-after").expect("a time");
    assert!(retry_after.parse::<f64>().expect("seconds") >= 0.5);
    wait_for("the reason of the refusal", || {
        let lines = gateway.log_lines_with_step("refuse");
        let mut reasons = lines.iter().filter_map(|line| line["message"].as_str());
        reasons.any(|reason| reason.contains("evacuated"))
    });

    is_released.store(true, Ordering::SeqCst);
    let response = read_response(&mut BufReader::new(in_flight));
    assert_eq!(response.status(), 200);
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against a request that waits for the permission of a limit, and is sent to a data centre that was evacuated
/// meanwhile.
#[test]
fn a_request_that_waits_is_not_sent_to_a_data_centre_that_is_evacuated_meanwhile() {
    let limited = UpstreamStub::start(|request, _| {
        let head = signed_head(request, "Server-Limit: 100.0\r\nContent-Length: 2\r\n");
        Action::Write((head + "ok").into_bytes())
    });
    let store = StoreStub::start();
    store.configure(&configuration(1, 1_000_000));
    register(&store, &limited, EVACUATED);
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    let coordinator = join_as_coordinator(&store);
    wait_for("presence of the coordinator", || {
        gateway.log_has("gateways", 2)
    });
    assert_eq!(CallerRequest::default().send(&gateway).status(), 200);

    let is_ended = AtomicBool::new(false);
    let waited = std::thread::scope(|scope| {
        scope.spawn(|| {
            grant_requests(&coordinator, &is_ended, |_| {
                order(&store, "{}");
                wait_for_state(&gateway, true, 1);
            });
        });
        let waited = CallerRequest::default().send(&gateway);
        is_ended.store(true, Ordering::SeqCst);
        waited
    });

    assert_eq!(waited.status(), 503);
    assert_eq!(limited.requests().len(), 1);
}

/// Guards against a stream that is resumed at, or handed over to, an upstream of an evacuated data centre after its own
/// upstream has failed or fallen silent.
#[test]
fn a_stream_moves_only_to_data_centres_that_are_not_evacuated() {
    for is_silent in [false, true] {
        let head = |request: &Message| {
            let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            signed_head(request, fields)
        };
        let is_released = Arc::new(AtomicBool::new(false));
        let released = Arc::clone(&is_released);
        let present = UpstreamStub::start(move |request, _| {
            wait_for("the order", || released.load(Ordering::SeqCst));
            let bytes = (head(request) + &event_chunk(1)).into_bytes();
            match is_silent {
                true => Action::WriteThenSilent(bytes),
                false => Action::WriteAndClose(bytes),
            }
        });
        let whole = move |request: &Message, _: usize| {
            Action::Write((head(request) + &event_chunk(2) + "0\r\n\r\n").into_bytes())
        };
        let evacuated = UpstreamStub::start(whole);
        let store = StoreStub::start();
        store.configure(&configuration(1, 1_000_000));
        register(&store, &present, "kv-b");
        let gateway = Gateway::start(&store);
        gateway.wait_ready();
        let mut stream = connect(&gateway.callers);
        let request = CallerRequest {
            path: "/chat/1",
            headers: "X-Token-Count: 100,50\r\n",
            ..CallerRequest::default()
        };
        stream.write_all(&request.encode()).expect("written");
        wait_for("the request", || present.requests().len() == 1);
        order(&store, "{}");
        wait_for_state(&gateway, true, 1);
        register(&store, &evacuated, EVACUATED);
        wait_for("the entry", || {
            let lines = gateway.log_lines_with_step("upstream");
            lines
                .iter()
                .any(|line| line["upstream"] == evacuated.id.as_str())
        });
        is_released.store(true, Ordering::SeqCst);
        let response = read_response(&mut BufReader::new(stream));
        assert!(evacuated.requests().is_empty(), "{is_silent}: {response:?}");
        assert!(!response.is_complete, "{is_silent}: {response:?}");
    }
}
