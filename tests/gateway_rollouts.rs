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
    store.configure(&configuration(1, 1_000_000));
    register(&store, &old, "v1");
    let gateways: Vec<Gateway> = (0..2).map(|_| Gateway::start(&store)).collect();
    for gateway in &gateways {
        gateway.wait_ready();
        wait_for("knowledge of the fleet", || gateway.log_has("gateways", 2));
    }
    send_to_all(&gateways, 20);
    let order = json!({"service": "desk", "target": "v2", "ramp_s": 12});
    store.put("keyed.op", "rollout/desk", order.to_string().as_bytes());
    for gateway in &gateways {
        wait_for("the order", || {
            !gateway.log_lines_with_step("rollout").is_empty()
        });
    }
    register(&store, new, "v2");
    (store, gateways, old)
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
