//! Upstreams that return cold, at fleets of real gateways.

mod gateway_common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gateway_common::coordinator::{grant_requests, join_as_coordinator};
use gateway_common::*;
use http::{HeaderMap, HeaderValue};
use monsoonfield::gateway::Settings;
use monsoonfield::platform::{documents, headers};
use serde_json::{json, Value};

/// Time for which an upstream is cold after its start.
const COLD_START: Duration = Duration::from_millis(3_000);

/// Requests a second that a cold upstream takes.
const COLD_PER_S: f64 = 11.0;

/// Factor and requests by which that may be exceeded.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

/// Requests that a cold upstream tolerates in any one second.
const TOLERATED: usize = 21;

/// Time for which an upstream without power is away.
const DOWN: Duration = Duration::from_millis(2_200);

/// Time from the return of the upstream until it writes an entry.
const ENTRY_DELAY: Duration = Duration::from_millis(600);

/// Interval at which the upstream writes its entry.
const ENTRY_INTERVAL: Duration = Duration::from_millis(400);

/// Pause of a sender between two requests.
const SEND_PAUSE: Duration = Duration::from_millis(4);

fn cold_configuration() -> Value {
    let mut configuration = configuration(1, 1_000_000);
    configuration["services"][0]["cold_start_s"] = json!(COLD_START.as_secs_f64());
    configuration["services"][0]["cold_per_s"] = json!(COLD_PER_S);
    configuration
}

fn fleet() -> FleetSettings {
    FleetSettings {
        cold_tolerance: Some(TOLERANCE),
        ..FleetSettings::default()
    }
}

/// An upstream with the times at which its requests arrived.
struct Upstream {
    stub: UpstreamStub,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Upstream {
    fn start() -> Self {
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let times = Arc::clone(&arrivals);
        let stub = UpstreamStub::start(move |request, _| {
            times.lock().unwrap().push(Instant::now());
            Action::Write(signed_response(request, 200, "ok"))
        });
        Self { stub, arrivals }
    }

    /// Returns the arrivals within a time after an instant.
    fn arrivals_within(&self, start: Instant, time: Duration) -> Vec<Instant> {
        let arrivals = self.arrivals.lock().unwrap();
        let within = arrivals
            .iter()
            .filter(|at| **at >= start && **at < start + time);
        within.copied().collect()
    }

    /// Writes the entry at intervals until the test ends, but not before the time that `writes_from` holds; the process
    /// started `ENTRY_DELAY` before that if it is later than the first start.
    fn write_entries(
        &self,
        store: &StoreStub,
        is_ended: &AtomicBool,
        writes_from: &Mutex<Option<Instant>>,
    ) {
        let mut sequence = 1;
        // Bounded, because a failed assertion does not set the flag.
        let started = Instant::now();
        while !is_ended.load(Ordering::SeqCst) && started.elapsed() < 2 * TEST_TIMEOUT {
            let from = *writes_from.lock().unwrap();
            let now = Instant::now();
            if from.is_none_or(|from| now >= from) {
                sequence += 1;
                let age = from.map_or(COLD_START, |from| now - from + ENTRY_DELAY);
                let mut entry = self.stub.entry("desk", "ready");
                entry["seq"] = sequence.into();
                entry["cold_left_ms"] = json!(COLD_START.saturating_sub(age).as_secs_f64() * 1e3);
                store.put("keyed.servers", &self.stub.id, entry.to_string().as_bytes());
            }
            std::thread::sleep(ENTRY_INTERVAL);
        }
    }
}

/// Sends requests to a gateway until the test ends.
fn send_all(gateway: &Gateway, is_ended: &AtomicBool) {
    let started = Instant::now();
    while !is_ended.load(Ordering::SeqCst) && started.elapsed() < 2 * TEST_TIMEOUT {
        CallerRequest::default().send(gateway);
        std::thread::sleep(SEND_PAUSE);
    }
}

fn busiest_second(arrivals: &[Instant]) -> usize {
    let counts = arrivals.iter().map(|start| {
        let second = *start..*start + Duration::from_secs(1);
        arrivals.iter().filter(|at| second.contains(at)).count()
    });
    counts.max().unwrap_or(0)
}

/// Guards against a cold upstream that fails because all gateways send to it at once: it lost power and returned under
/// its id before its entry showed that, and one of the gateways has just started; against one that gets nothing while
/// it is cold; and against a warm one that is held to the rate of a cold one.
#[test]
fn an_upstream_that_returns_cold_gets_no_more_than_it_tolerates() {
    let upstream = Upstream::start();
    let fleet = fleet();
    let store = StoreStub::start();
    store.configure(&cold_configuration());
    let (is_ended, writes_from) = (AtomicBool::new(false), Mutex::new(None));
    let (crashed, returned) = std::thread::scope(|scope| {
        scope.spawn(|| upstream.write_entries(&store, &is_ended, &writes_from));
        let gateways: Vec<Gateway> = (0..2)
            .map(|number| Gateway::start_in(&store, &format!("edge-{number}"), &fleet))
            .collect();
        for gateway in &gateways {
            gateway.wait_ready();
            wait_for("knowledge of the fleet", || {
                gateway.log_has("gateways", gateways.len() as u64)
            });
        }
        std::thread::scope(|senders| {
            for gateway in &gateways {
                senders.spawn(|| send_all(gateway, &is_ended));
            }
            wait_for("many requests at the warm upstream", || {
                let second = Duration::from_secs(1);
                let recent = upstream.arrivals_within(Instant::now() - second, second);
                recent.len() > 2 * TOLERATED
            });
            let crashed = Instant::now();
            let returned = crashed + DOWN;
            *writes_from.lock().unwrap() = Some(returned + ENTRY_DELAY);
            upstream.stub.crash(DOWN);
            let late = Gateway::start_in(&store, "edge-late", &fleet);
            senders.spawn(|| {
                let late = late;
                late.wait_ready();
                send_all(&late, &is_ended);
            });
            wait_for("the end of the cold time", || {
                returned.elapsed() > COLD_START
            });
            wait_for("many requests at the upstream that is warm again", || {
                let second = Duration::from_secs(1);
                let recent = upstream.arrivals_within(Instant::now() - second, second);
                recent.len() > 2 * TOLERATED
            });
            is_ended.store(true, Ordering::SeqCst);
            (crashed, returned)
        })
    });

    let after = upstream.arrivals_within(crashed + DOWN / 2, TEST_TIMEOUT);
    let cold: Vec<Instant> = after
        .into_iter()
        .filter(|at| *at < returned + COLD_START)
        .collect();
    let busiest = busiest_second(&cold);
    assert!(busiest <= TOLERATED, "{busiest} requests in a second");
    assert!(cold.len() > TOLERATED, "only {} requests", cold.len());
}

/// Guards against a share of its own that a gateway takes if the coordinator does not reply, against a refusal without a
/// time, and against an upstream that stays unused although the coordinator grants requests to it.
#[test]
fn without_proof_only_the_coordinator_lets_requests_through() {
    let upstream = Upstream::start();
    let store = StoreStub::start();
    store.configure(&cold_configuration());
    let entry = upstream.stub.entry("desk", "ready").to_string();
    // Written once, before the gateway starts, so that its age is unknown.
    store.put("keyed.servers", &upstream.stub.id, entry.as_bytes());
    let coordinator = join_as_coordinator(&store);
    let gateway = Gateway::start_in(&store, "edge-1", &fleet());
    gateway.wait_ready();
    wait_for("presence of the coordinator", || {
        gateway.log_has("gateways", 2)
    });

    for _ in 0..3 {
        let refused = CallerRequest::default().send(&gateway);
        assert_eq!(refused.status(), 503);
        assert!(refused.header("retry-after").is_some());
    }
    assert!(upstream.stub.requests().is_empty());

    let is_ended = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| grant_requests(&coordinator, &is_ended, |_| {}));
        wait_for("a request that was granted", || {
            CallerRequest::default().send(&gateway).status() == 200
        });
        is_ended.store(true, Ordering::SeqCst);
    });
}

/// Guards against a cold upstream that gets all requests because it looks faster than a warm one, and against one that
/// gets none.
#[test]
fn a_warm_upstream_is_preferred_to_a_cold_one() {
    /// Shorter than the cold time, which ends the preference.
    const REQUESTS: usize = 30;
    // Slower than what is expected of an upstream without any response.
    let slow = UpstreamStub::start(|request, _| Action::Pause {
        first: Vec::new(),
        pause: Duration::from_millis(60),
        rest: signed_response(request, 200, "ok"),
    });
    let warm = Upstream {
        stub: slow,
        arrivals: Arc::default(),
    };
    let cold = Upstream::start();
    let store = StoreStub::start();
    store.configure(&cold_configuration());
    let (is_ended, no_crash) = (AtomicBool::new(false), Mutex::new(None));
    std::thread::scope(|scope| {
        scope.spawn(|| warm.write_entries(&store, &is_ended, &no_crash));
        let entry = cold.stub.entry("desk", "ready").to_string();
        store.put("keyed.servers", &cold.stub.id, entry.as_bytes());
        let gateway = Gateway::start_in(&store, "edge-1", &fleet());
        gateway.wait_ready();
        wait_for("a request at the cold upstream", || {
            CallerRequest::default().send(&gateway);
            !cold.stub.requests().is_empty()
        });
        let before = cold.stub.requests().len();
        for _ in 0..REQUESTS {
            CallerRequest::default().send(&gateway);
        }
        is_ended.store(true, Ordering::SeqCst);
        let at_cold = cold.stub.requests().len() - before;
        assert!(2 * at_cold < REQUESTS, "{at_cold} at the cold upstream");
    });
}

/// Guards against gateways that hold requests back although the settings do not call for it.
#[test]
fn without_a_tolerance_in_the_settings_no_upstream_counts_as_cold() {
    let upstream = Upstream::start();
    let store = StoreStub::start();
    store.configure(&cold_configuration());
    let mut entry = upstream.stub.entry("desk", "ready");
    entry["cold_left_ms"] = json!(3_000.0);
    let id = &upstream.stub.id;
    store.put("keyed.servers", id, entry.to_string().as_bytes());
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    for _ in 0..3 * TOLERATED {
        assert_eq!(CallerRequest::default().send(&gateway).status(), 200);
    }
}

/// Guards against a deployment without cold upstreams whose gateways do not start, and against figures that are read
/// with another unit.
#[test]
fn the_figures_of_cold_upstreams_may_be_missing() {
    let decode = |configuration: &Value| {
        let bytes = configuration.to_string().into_bytes();
        let decoded = documents::decode_configuration(&bytes).expect("valid");
        decoded.services[0].clone()
    };
    let (without, with) = (decode(&configuration(1, 1)), decode(&cold_configuration()));
    assert_eq!(without.cold_start_ms, 0);
    assert_eq!(without.cold_requests_milli_per_s, 0);
    assert_eq!(with.cold_start_ms, 3_000);
    assert_eq!(with.cold_requests_milli_per_s, 11_000);
    let entry = |text: &str| documents::decode_entry(text.as_bytes()).expect("valid");
    let start =
        r#"{"service":"desk","addr":"127.0.0.1:1","zone":"a","slots":1,"state":"ready","born":1"#;
    assert_eq!(entry(&format!("{start}}}")).cold_left_ms, 0);
    let cold = entry(&format!("{start},\"cold_left_ms\":1200.5}}"));
    assert_eq!(cold.cold_left_ms, 1_201);

    for (text, expected) in [
        ("1200.5", Some(1_201)),
        ("0", Some(0)),
        ("-1", None),
        ("soon", None),
    ] {
        let mut fields = HeaderMap::new();
        fields.insert("x-cold-ms", HeaderValue::from_static(text));
        assert_eq!(headers::cold_left_ms(&fields), expected, "{text}");
    }
    assert_eq!(headers::cold_left_ms(&HeaderMap::new()), None);

    let template = std::fs::read_to_string("deploy/settings.yaml").expect("the template");
    for (overshoot, slack, tolerated) in [
        (None, None, None),
        (Some(1.5), Some(5.0), Some(21)),
        (Some(1.5), None, Some(16)),
    ] {
        let text = render(&template);
        let mut settings = Settings::from_yaml(&text).expect("valid settings");
        settings.fleet.override_cold_tolerance(overshoot, slack);
        let rule = settings.fleet.cold_rule(&with);
        assert_eq!(
            rule.map(|rule| rule.tolerated_requests),
            tolerated,
            "{text}"
        );
        assert_eq!(settings.fleet.cold_rule(&without), None);
    }
}

/// Renders the template of the settings like the platform, with any values.
fn render(template: &str) -> String {
    let mut output = template.to_owned();
    for (placeholder, value) in [
        ("{{node|json}}", "\"edge-1\""),
        ("{{zone|json}}", "\"kv-a\""),
        ("{{listen.front|json}}", "\"127.0.0.1:1\""),
        ("{{listen.ready|json}}", "\"127.0.0.1:2\""),
        ("{{ip}}:{{port_range.0}}", "127.0.0.1:3"),
        ("{{ip}}", "127.0.0.1"),
        ("{{platform.addr|json}}", "\"127.0.0.1:4\""),
        ("{{bootstrap|json}}", "false"),
        ("{{limits.memory_mb}}", "100"),
        ("{{limits.max_fds}}", "4096"),
    ] {
        output = output.replace(placeholder, value);
    }
    while let Some(start) = output.find("{{") {
        let length = output[start..].find("}}").expect("closed") + 2;
        output.replace_range(start..start + length, "8");
    }
    output
}
