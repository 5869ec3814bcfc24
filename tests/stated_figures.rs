//! Tests of figures that upstreams, callers, the store and other gateways state far out of their bounds.

mod gateway_common;
mod http_common;
mod spoilt_common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use gateway_common::coordinator::join_as_coordinator;
use gateway_common::{
    configuration, event_chunk, signed_head, start_fleet, start_fleet_with, wait_for, Action,
    CallerRequest, FleetSettings, Gateway, Message, StoreStub, UpstreamStub,
};
use http_common::{chat, Deployment, HttpRequest};
use serde_json::json;
use spoilt_common::router_configuration;

/// Budget that no test uses up.
const LARGE_BUDGET: u64 = 1_000_000_000;

/// Memory that a process may take for what is stated, in KiB.
const STATED_MEMORY_KB: u64 = 4_000;

/// Starts an upstream whose successful responses have the field lines that `fields` returns for a request.
fn start_stating_upstream(
    fields: impl Fn(&Message) -> String + Send + Sync + 'static,
) -> UpstreamStub {
    UpstreamStub::start(move |request, _| {
        let fields = fields(request) + "Content-Length: 6\r\n";
        Action::Write((signed_head(request, &fields) + "served").into_bytes())
    })
}

fn send(gateway: &Gateway, id: &str) -> Message {
    let request = CallerRequest {
        path: "/book/1",
        id,
        ..CallerRequest::default()
    };
    request.send(gateway)
}

fn assert_served(gateway: &Gateway, id: &str, context: &str) {
    let response = send(gateway, id);
    assert_eq!(response.status(), 200, "{context}: {response:?}");
}

/// Guards against a process that allocates memory for each request of a limit that an upstream states, and is ended for
/// it: a limit above what a fleet sends limits nothing.
#[test]
fn a_limit_beyond_all_traffic_takes_no_memory_and_limits_nothing() {
    for limit in ["10001", "100000", "4294967295", "1e18", "1e308", "inf"] {
        let upstream = start_stating_upstream(move |_| format!("Server-Limit: {limit}\r\n"));
        let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
        assert_served(&gateway, "first", limit);
        let used_before_kb = gateway.peak_memory_kb();
        // A coordinator that has known a limit for a second counts the grants of a predecessor.
        std::thread::sleep(Duration::from_millis(1_100));

        for number in 0..5 {
            assert_served(&gateway, &format!("r-{number}"), limit);
        }

        let used_kb = gateway.peak_memory_kb() - used_before_kb;
        assert!(used_kb < STATED_MEMORY_KB, "{limit}: {used_kb} KiB more");
        let warnings = gateway.log_lines_with_step("read header");
        assert_eq!(warnings.len(), 1, "{limit}: {warnings:?}");
    }
}

/// Guards against sums and products of what upstreams state that overflow, and against a pause that never ends.
#[test]
fn figures_in_responses_end_no_process() {
    let lines = [
        "Keep-Alive: timeout=18446744073709551615",
        "Keep-Alive: timeout=18446744073709551",
        "X-Server-Load: 4294967295,4294967295,4294967295",
        "X-Server-Load: 4294967295,1,8,4294967295",
        "X-Cold-Ms: 1e300",
        "Retry-After: 1e300",
        "Server-Limit: nan",
        "Server-Limit: -1e300",
    ];
    let lines_of_upstream = lines;
    let upstream = start_stating_upstream(move |request| {
        let id = request.header("x-request-id").unwrap_or_default();
        let number: usize = id.parse().expect("a number");
        format!("{}\r\n", lines_of_upstream[number])
    });
    let mut configuration = configuration(1, LARGE_BUDGET);
    configuration["services"][0]["cold_start_s"] = json!(2);
    configuration["services"][0]["cold_per_s"] = json!(100);
    let store = StoreStub::start();
    store.configure(&configuration);
    let entry = upstream.entry("desk", "ready").to_string();
    store.put("keyed.servers", &upstream.id, entry.as_bytes());
    let settings = FleetSettings {
        cold_tolerance: Some((1.5, 100.0)),
        is_first_start: true,
        ..FleetSettings::default()
    };
    let gateway = Gateway::start_in(&store, "edge-figures", &settings);
    gateway.wait_ready();

    for (number, line) in lines.iter().enumerate() {
        let id = number.to_string();
        wait_for("an answer", || {
            // An upstream that says it is cold gets its requests one by one.
            send(&gateway, &id).status() == 200
        });
        assert!(gateway.is_ready(), "{line}");
    }
}

/// Guards against the same in the index of an event.
#[test]
fn the_index_of_an_event_ends_no_process() {
    let upstream = UpstreamStub::start(|request, _| {
        let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        let event = format!("id: {}\ndata: token\n\n", u64::MAX);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        Action::Write((signed_head(request, head) + &chunk + &event_chunk(1) + "0\r\n\r\n").into())
    });
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let request = CallerRequest {
        path: "/chat/1",
        headers: "X-Token-Count: 100,50\r\n",
        ..CallerRequest::default()
    };

    let response = request.send(&gateway);

    assert_eq!(response.status(), 200, "{response:?}");
    assert!(gateway.is_ready());
}

/// Guards against timers and sums that overflow with a configuration or an entry whose figures mean "without a limit".
#[test]
fn figures_in_the_store_end_no_process() {
    let upstream = start_stating_upstream(|_| String::new());
    let mut unlimited = configuration(1, LARGE_BUDGET);
    for route in unlimited["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(1e300);
        route["target_latency_ms"] = json!(1e300);
        route["max_attempts"] = json!(u32::MAX);
    }
    unlimited["services"][0]["engine"]["stride"] = json!(u64::MAX);
    unlimited["services"][0]["cold_start_s"] = json!(1e300);
    unlimited["services"][0]["cold_per_s"] = json!(1e300);
    unlimited["limits"]["header_timeout_ms"] = json!(1e300);
    unlimited["limits"]["idle_timeout_ms"] = json!(1e300);
    unlimited["tenants"][0]["prepaid"] = json!(1e300);
    let store = StoreStub::start();
    store.configure(&unlimited);
    let mut entry = upstream.entry("desk", "ready");
    entry["slots"] = json!(u32::MAX);
    entry["cold_left_ms"] = json!(1e300);
    store.put("keyed.servers", &upstream.id, entry.to_string().as_bytes());
    let gateway = Gateway::start(&store);
    gateway.wait_ready();

    for number in 0..3 {
        let id = format!("r-{number}");
        let headers = format!("X-Deadline-Ms: {}\r\nX-Token-Count: 100,50\r\n", u64::MAX);
        let request = CallerRequest {
            path: "/chat/1",
            id: &id,
            headers: &headers,
            ..CallerRequest::default()
        };
        let response = request.send(&gateway);

        assert_eq!(response.status(), 200, "{response:?}");
    }

    assert!(gateway.is_ready());
}

/// Guards against the same in the deadline of a caller alone.
#[test]
fn the_deadline_of_a_caller_ends_no_process() {
    let upstream = start_stating_upstream(|_| String::new());
    let mut unlimited = configuration(1, LARGE_BUDGET);
    unlimited["routes"][1]["timeout_ms"] = json!(1e300);
    let (_store, gateway) = start_fleet_with(&unlimited, &[&upstream]);
    let mut request = CallerRequest {
        path: "/book/1",
        ..CallerRequest::default()
    }
    .encode();
    let text = String::from_utf8(std::mem::take(&mut request)).expect("text");
    let text = text.replace(
        "X-Deadline-Ms: 2500",
        &format!("X-Deadline-Ms: {}", u64::MAX),
    );
    let mut stream = gateway_common::connect(&gateway.callers);

    std::io::Write::write_all(&mut stream, text.as_bytes()).expect("written");
    let response = gateway_common::read_response(&mut std::io::BufReader::new(stream));

    assert_eq!(response.status(), 200, "{response:?}");
    let deadline = upstream.requests()[0]
        .header("x-deadline-ms")
        .map(str::to_owned);
    let deadline_ms: u64 = deadline.expect("a deadline").parse().expect("a number");
    assert!(deadline_ms <= 86_400_000, "{deadline_ms}");
}

/// Guards against a wait that another gateway states, and that overflows the clock.
#[test]
fn figures_in_datagrams_end_no_process() {
    let upstream = start_stating_upstream(|_| "Server-Limit: 5\r\n".into());
    let (store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let coordinator = join_as_coordinator(&store);
    assert_served(&gateway, "first", "before the limit is known");
    let asked = Arc::new(Mutex::new(0));
    let is_ended = Arc::new(std::sync::atomic::AtomicBool::new(false));

    let replying = {
        let (asked, is_ended) = (Arc::clone(&asked), Arc::clone(&is_ended));
        std::thread::spawn(move || {
            let mut buffer = [0; 2_048];
            while !is_ended.load(std::sync::atomic::Ordering::SeqCst) {
                let Ok((count, peer)) = coordinator.recv_from(&mut buffer) else {
                    continue;
                };
                // Field 13: a request for permission, whose first field is its id.
                let Some(id) = buffer[..count].get(3..11).filter(|_| buffer[0] == 0x6a) else {
                    continue;
                };
                *asked.lock().unwrap() += 1;
                // Field 14: a reply with that id and a denial for the longest time.
                let longest = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];
                let reply = [&[0x72, 20, 0x09], id, &[0x10], &longest].concat();
                coordinator.send_to(&reply, peer).expect("sent");
            }
        })
    };
    wait_for("a request to the coordinator", || {
        let response = send(&gateway, "asking");
        response.status() == 503 && *asked.lock().unwrap() > 0
    });

    assert!(gateway.is_ready(), "the process has ended");
    let ignored = gateway.log_lines_with_step("datagram");
    assert!(!ignored.is_empty(), "the datagram was taken");
    is_ended.store(true, std::sync::atomic::Ordering::SeqCst);
    replying.join().expect("the replies end");
}

/// Guards against the indexes of an engine's events, of a response or of its cache, that overflow in a router.
#[test]
fn the_indexes_of_an_engine_end_no_router() {
    let last = u64::MAX;
    let engine = UpstreamStub::start(move |request, _| {
        let target = request.start.split(' ').nth(1).unwrap_or_default();
        let body = if target.starts_with("/v1/cache-events") {
            let event = json!({"index": last, "prefix": 1, "stored": true});
            json!({"events": [event], "next": last}).to_string()
        } else if target.starts_with("/v1/load") {
            let most = u32::MAX;
            json!({"running": most, "waiting": most, "outstanding_tokens": last, "age_ms": last})
                .to_string()
        } else {
            let events = format!("id: {last}\ndata: token\n\nid: 0\ndata: [DONE]\n\n");
            let head = "Content-Type: text/event-stream\r\nConnection: close\r\n";
            let response = signed_head(request, head) + &events;
            return Action::WriteAndClose(response.into_bytes());
        };
        let length = format!("Content-Length: {}\r\n", body.len());
        Action::Write((signed_head(request, &length) + &body).into_bytes())
    });
    let deployment = Deployment::start(&[]);
    deployment.publish(vec![router_configuration(&engine)]);
    let router = deployment.router("vm-1");
    wait_for("the reports of the engine", || {
        let requests = engine.requests();
        let of_cache = requests
            .iter()
            .filter(|request| request.start.contains("cache-events"));
        of_cache.count() > 1
    });

    let response = chat("index", "text", 10, true).send(&router.callers);

    // An index with a gap before it is no part of the response, so the router gives up, but answers.
    assert!([200, 502].contains(&response.status), "{response:?}");
    let ready = HttpRequest::new("GET", "/readyz").send(&router.callers);
    assert_eq!(ready.status, 200, "{ready:?}");
}
