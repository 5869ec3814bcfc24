//! Placement by expected cost, at real gateways.

mod gateway_common;

use gateway_common::*;

/// Prompt of 2,000 tokens, long enough to be announced to other gateways.
const PROMPT: &str =
    "X-Token-Count: 2000,50\r\nX-Length-Hint: 20\r\nX-Prompt-Prefix: aa:60,bb:1940\r\n";

fn start_engine(work_percent: u32) -> UpstreamStub {
    UpstreamStub::start(move |request, _| {
        let extra = format!(
            "X-Server-Load: 1,0,8,{work_percent}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n"
        );
        let body = event_chunk(1) + &event_chunk(2) + "0\r\n\r\n";
        Action::Write((signed_head(request, &extra) + &body).into_bytes())
    })
}

fn send(gateway: &Gateway, id: &str) {
    let request = CallerRequest {
        path: "/stream/1",
        headers: PROMPT,
        id,
        ..CallerRequest::default()
    };
    assert_eq!(request.send(gateway).status(), 200);
}

fn metric(gateway: &Gateway, name: &str) -> u64 {
    let metrics = get(&gateway.metrics, "/metrics").text();
    let line = metrics.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_whitespace().last());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Scenario: one gateway has responses of a slow and of a usual engine, another one has none. Guards against a gateway
/// that has to find out by itself that an engine is slow, and against waits and expected costs that the log lacks.
#[test]
fn a_gateway_learns_from_another_one_that_an_engine_is_slow() {
    let (slow, usual) = (start_engine(800), start_engine(100));
    let (store, first) = start_fleet(1_000_000_000, &[&slow, &usual]);
    let second = Gateway::start(&store);
    second.wait_ready();
    for gateway in [&first, &second] {
        wait_for("knowledge of the fleet", || gateway.log_has("gateways", 2));
    }
    wait_for("figures of both engines", || {
        send(&first, "r-first");
        let has_told = metric(&second, "monsoonfield_speed_figures_received") >= 2;
        has_told && !slow.requests().is_empty()
    });
    let before = slow.requests().len();
    for _ in 0..10 {
        send(&second, "r-second");
    }
    assert_eq!(slow.requests().len(), before);
    wait_for("the log line", || {
        let lines = second.log_lines_of("r-second");
        lines.iter().any(|line| {
            let is_stated = |field: &str| line[field].is_u64();
            line["expected_prefill_ms"].as_u64() >= Some(5)
                && line["expected_output_ms"].as_u64() >= Some(20)
                && ["rights_wait_ms", "permission_wait_ms", "connect_wait_ms"]
                    .into_iter()
                    .all(is_stated)
        })
    });
}
