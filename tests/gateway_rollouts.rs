//! Rollouts of versions at fleets of real gateways.

mod gateway_common;

use std::time::Duration;

use gateway_common::*;
use serde_json::{json, Value};

/// Starts an upstream that answers each request after a time.
fn start_upstream(delay: Duration) -> UpstreamStub {
    UpstreamStub::start(move |request, _| {
        std::thread::sleep(delay);
        Action::Write(signed_response(request, 200, "ok"))
    })
}

fn register(store: &StoreStub, upstream: &UpstreamStub, version: &str) {
    let mut entry = upstream.entry("desk", "ready");
    entry["version"] = version.into();
    store.put("keyed.servers", &upstream.id, entry.to_string().as_bytes());
}

fn status(store: &StoreStub) -> Option<Value> {
    let value = store.newest("keyed.status", "rollout/desk")?;
    Some(serde_json::from_slice(&value).expect("JSON"))
}

fn send_to_all(gateways: &[Gateway], times: usize) {
    for number in 0..times {
        let gateway = &gateways[number % gateways.len()];
        assert_eq!(CallerRequest::default().send(gateway).status(), 200);
    }
}

/// Starts two gateways with an upstream of the present version and one of a new one, and orders the move.
fn start_rollout(new: &UpstreamStub) -> (StoreStub, Vec<Gateway>, UpstreamStub) {
    let old = start_upstream(Duration::from_millis(4));
    let store = StoreStub::start();
    let gateways = order_rollout(&store, &old, new, 12);
    (store, gateways, old)
}

/// Starts two gateways and orders the move from one upstream to another one.
fn order_rollout(
    store: &StoreStub,
    old: &UpstreamStub,
    new: &UpstreamStub,
    ramp_s: u64,
) -> Vec<Gateway> {
    store.configure(&configuration(1, 1_000_000));
    register(store, old, "v1");
    let gateways: Vec<Gateway> = (0..2).map(|_| Gateway::start(store)).collect();
    for gateway in &gateways {
        gateway.wait_ready();
        wait_for("knowledge of the fleet", || gateway.log_has("gateways", 2));
    }
    send_to_all(&gateways, 20);
    let order = json!({"service": "desk", "target": "v2", "ramp_s": ramp_s});
    store.put("keyed.op", "rollout/desk", order.to_string().as_bytes());
    for gateway in &gateways {
        wait_for("the order", || {
            !gateway.log_lines_with_step("rollout").is_empty()
        });
    }
    register(store, new, "v2");
    gateways
}

fn is_decided(store: &StoreStub, state: &str) -> bool {
    status(store).is_some_and(|status| status["state"] == state)
}

/// Guards against the rollout "hasty": a version that answers several times slower is kept and gets a full share of the
/// requests.
#[test]
fn a_slow_version_gets_a_small_share_and_is_rolled_back() {
    let slow = start_upstream(Duration::from_millis(60));
    let (store, gateways, old) = start_rollout(&slow);
    wait_for("the decision", || {
        send_to_all(&gateways, 20);
        status(&store).is_some_and(|status| status["state"] == "rolled_back")
    });
    assert_eq!(status(&store).unwrap()["target"], "v2");
    let (new, all) = (
        slow.requests().len(),
        slow.requests().len() + old.requests().len(),
    );
    assert!(new * 10 <= all, "{new} of {all} requests");
    for gateway in &gateways {
        wait_for("the end of the trial", || {
            let lines = gateway.log_lines_with_step("rollout");
            lines.iter().any(|line| line["state"] == "rolled_back")
        });
    }
    let before = slow.requests().len();
    send_to_all(&gateways, 100);
    assert_eq!(slow.requests().len(), before);
    let later = Gateway::start(&store);
    later.wait_ready();
    wait_for("the status at a gateway that starts later", || {
        let lines = later.log_lines_with_step("rollout");
        lines.iter().any(|line| line["state"] == "rolled_back")
    });
    send_to_all(&[later], 60);
    assert_eq!(slow.requests().len(), before);
}

/// Guards against rolling back a good version, and against no upstream at all once those of the present version are
/// gone.
#[test]
fn a_good_version_is_tried_and_serves_when_the_present_one_is_gone() {
    let good = start_upstream(Duration::from_millis(4));
    let (store, gateways, old) = start_rollout(&good);
    wait_for("requests at the new version", || {
        send_to_all(&gateways, 20);
        good.requests().len() >= 5
    });
    let (new, all) = (
        good.requests().len(),
        good.requests().len() + old.requests().len(),
    );
    assert!(new * 10 <= all, "{new} of {all} requests");
    assert!(status(&store).is_none_or(|status| status["state"] != "rolled_back"));
    store.put("keyed.servers", &old.id, b"");
    wait_for("the end of the present version", || {
        let known = gateways
            .iter()
            .map(|gateway| gateway.log_lines_with_step("upstream"));
        known
            .into_iter()
            .all(|lines| lines.iter().any(|line| line["state"] == "removed"))
    });
    let before = good.requests().len();
    send_to_all(&gateways, 20);
    assert_eq!(good.requests().len(), before + 20);
}

/// Guards against a good version that is never completed, against requests at the old upstreams after they have stopped,
/// and against a decision that a gateway which starts later does not know.
#[test]
fn a_good_version_is_completed_and_replaces_the_present_one() {
    let good = start_upstream(Duration::from_millis(15));
    let old = start_upstream(Duration::from_millis(15));
    let store = StoreStub::start();
    let gateways = order_rollout(&store, &old, &good, 3);
    wait_for("the status", || is_decided(&store, "running"));
    wait_for("the decision", || {
        send_to_all(&gateways, 2);
        is_decided(&store, "completed")
    });
    let (new, all) = (
        good.requests().len(),
        good.requests().len() + old.requests().len(),
    );
    assert!(new <= all / 10 + 50, "{new} of {all} requests");
    let decisions: Vec<Value> = gateways
        .iter()
        .flat_map(|gateway| gateway.log_lines_with_step("rollout"))
        .filter(|line| line["recent_new_responses"].is_u64())
        .collect();
    assert_eq!(decisions.len(), 1, "one decider writes: {decisions:?}");
    assert!(
        decisions[0]["age_ms"].as_u64() < Some(3_000),
        "{decisions:?}"
    );
    for gateway in &gateways {
        wait_for("the status", || {
            let lines = gateway.log_lines_with_step("rollout");
            lines.iter().any(|line| line["state"] == "completed")
        });
    }
    let later = Gateway::start(&store);
    later.wait_ready();
    wait_for("the status at a gateway that starts later", || {
        let lines = later.log_lines_with_step("rollout");
        lines.iter().any(|line| line["state"] == "completed")
    });
    let before = old.requests().len();
    send_to_all(&gateways, 20);
    send_to_all(&[later], 10);
    assert_eq!(old.requests().len(), before);
}

/// Guards against counting the end of a replaced upstream as a crash of the requests that it was running, so that such
/// requests are refused later.
#[test]
fn an_upstream_that_stops_at_the_completion_is_no_crash() {
    const STREAMS: usize = 4;
    let good = start_upstream(Duration::from_millis(15));
    let store = StoreStub::start();
    let watched = store.clone();
    let old = UpstreamStub::start(move |request, _| {
        if !request.start.contains("/stream/") {
            std::thread::sleep(Duration::from_millis(15));
            return Action::Write(signed_response(request, 200, "ok"));
        }
        wait_for("the decision", || is_decided(&watched, "completed"));
        Action::Crash {
            first: Vec::new(),
            down: TEST_TIMEOUT,
        }
    });
    let gateways = order_rollout(&store, &old, &good, 2);
    let send_stream = |number: usize| {
        let id = format!("stream-{number}");
        let request = CallerRequest {
            path: "/stream/1",
            id: &id,
            ..CallerRequest::default()
        };
        request.send(&gateways[number % gateways.len()]);
    };
    std::thread::scope(|scope| {
        for number in 0..STREAMS {
            scope.spawn(move || send_stream(number));
        }
        wait_for("the decision", || {
            send_to_all(&gateways, 2);
            is_decided(&store, "completed")
        });
    });
    let lost = || {
        let lines = gateways
            .iter()
            .flat_map(|gateway| gateway.log_lines_with_step("lost_connection"));
        lines.collect::<Vec<_>>()
    };
    wait_for("a lost connection", || !lost().is_empty());
    let lost = lost();
    assert!(
        lost.iter().all(|line| line["is_crash"] == false),
        "{lost:?}"
    );
    assert!(
        lost.iter().any(|line| line["is_replaced"] == true),
        "{lost:?}"
    );
}

/// Guards against two decisions: a gateway that has not read the one of another decider appends its own after it.
#[test]
fn a_decision_is_not_appended_after_one_that_was_not_read() {
    let slow = start_upstream(Duration::from_millis(60));
    let old = start_upstream(Duration::from_millis(4));
    let store = StoreStub::start();
    let mut gateways = order_rollout(&store, &old, &slow, 30);
    gateways.truncate(1);
    wait_for("the status", || is_decided(&store, "running"));
    wait_for("a request at the new version", || {
        send_to_all(&gateways, 20);
        !slow.requests().is_empty()
    });
    let records = store.count_of("keyed.status", "rollout/desk");

    store.delay_responses_to(&gateways[0].vm);
    store.set_delay(ResponseDelay::All);
    let other = json!({"service": "desk", "target": "v2", "state": "completed"});
    store.put("keyed.status", "rollout/desk", other.to_string().as_bytes());
    wait_for("evidence against the version", || {
        send_to_all(&gateways, 20);
        let lines = gateways[0].log_lines_with_step("rollout");
        lines.iter().any(|line| line["recent_new_bad"].is_u64())
    });
    store.set_delay(ResponseDelay::Ended);
    wait_for("the other decision", || {
        let lines = gateways[0].log_lines_with_step("rollout");
        lines.iter().any(|line| line["state"] == "completed")
    });

    assert!(is_decided(&store, "completed"));
    assert_eq!(store.count_of("keyed.status", "rollout/desk"), records + 1);
}
