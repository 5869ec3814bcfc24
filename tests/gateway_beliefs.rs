//! Upstreams whose processes are gone while the store is away, at fleets of real gateways.

mod gateway_common;

use std::net::TcpListener;
use std::time::Duration;

use gateway_common::*;

/// Starts a store with upstreams and two gateways that know each other.
fn start_pair(upstreams: &[(&str, String)]) -> (StoreStub, [Gateway; 2]) {
    let store = StoreStub::start();
    store.configure(&configuration(1, 1_000_000));
    for (id, entry) in upstreams {
        store.put("keyed.servers", id, entry.as_bytes());
    }
    let gateways = [Gateway::start(&store), Gateway::start(&store)];
    for gateway in &gateways {
        gateway.wait_ready();
        wait_for("knowledge of the fleet", || gateway.log_has("gateways", 2));
    }
    (store, gateways)
}

/// Starts an upstream that takes so long that others are tried first.
fn start_slow_upstream() -> UpstreamStub {
    UpstreamStub::start(|request, _| {
        std::thread::sleep(Duration::from_millis(60));
        Action::Write(signed_response(request, 200, "ok"))
    })
}

fn has_learned(gateway: &Gateway, upstream: &str) -> bool {
    let lines = gateway.log_lines_with_step("upstream_gone");
    lines.iter().any(|line| line["upstream"] == upstream)
}

/// Guards against each gateway discovering a replaced upstream for itself while the store is away, and against an
/// upstream that stays unused after its entry names a later process.
#[test]
fn a_replaced_upstream_is_discovered_by_one_gateway_and_used_again_after_its_entry() {
    let sound = start_slow_upstream();
    let replaced =
        UpstreamStub::start(|request, _| Action::Write(signed_response(request, 421, "")));
    let entry = |upstream: &UpstreamStub| upstream.entry("desk", "ready").to_string();
    let upstreams = [
        (sound.id.as_str(), entry(&sound)),
        (replaced.id.as_str(), entry(&replaced)),
    ];
    let (store, gateways) = start_pair(&upstreams);
    store.set_mode(StoreMode::Refusing);

    wait_for("the discovery", || {
        assert_eq!(CallerRequest::default().send(&gateways[0]).status(), 200);
        !replaced.requests().is_empty()
    });
    wait_for("the report", || has_learned(&gateways[1], &replaced.id));
    for _ in 0..20 {
        assert_eq!(CallerRequest::default().send(&gateways[1]).status(), 200);
    }
    assert_eq!(replaced.requests().len(), 1);
    let reports = gateways[1].log_lines_with_step("upstream_gone");
    assert_eq!(
        reports.len(),
        1,
        "a gateway that received the report repeats it: {reports:?}"
    );

    store.set_mode(StoreMode::Available);
    let mut later = replaced.entry("desk", "ready");
    later["born"] = 2.into();
    store.put("keyed.servers", &replaced.id, later.to_string().as_bytes());
    wait_for("requests at the later process", || {
        let _ = CallerRequest::default().send(&gateways[1]);
        replaced.requests().len() > 1
    });
}

/// Guards against each gateway discovering for itself that an address refuses connections.
#[test]
fn a_refused_connection_is_reported_to_the_other_gateways() {
    let sound = start_slow_upstream();
    // An address at which nothing listens any more.
    let unused = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = unused.local_addr().expect("bound").to_string();
    drop(unused);
    let mut gone = sound.entry("desk", "ready");
    gone["addr"] = address.into();
    let upstreams = [
        (sound.id.as_str(), sound.entry("desk", "ready").to_string()),
        ("i-gone", gone.to_string()),
    ];
    let (_store, gateways) = start_pair(&upstreams);
    wait_for("the report", || {
        assert_eq!(CallerRequest::default().send(&gateways[0]).status(), 200);
        has_learned(&gateways[1], "i-gone")
    });
    let lines = gateways[1].log_lines_with_step("attempt");
    assert!(lines.is_empty(), "{lines:?}");
}
