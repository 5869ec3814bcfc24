//! Tests of the output for operators: metrics, logs, status and explanations.

use log::{Level, Record};
use monsoonfield::contract::Priority;
use monsoonfield::explain::{self, DecisionHistory, Subject, MAX_DECISIONS};
use monsoonfield::fleet_state::FleetState;
use monsoonfield::ids::{Fingerprint, IncarnationId, RequestKey};
use monsoonfield::logging;
use monsoonfield::metrics::{Metrics, MAX_CUSTOMERS};
use monsoonfield::record::{
    split_key, Batch, Bill, ContractEntry, Draw, Entry, Grant, Open, Rollout,
};
use monsoonfield::refusal::Refusal;
use monsoonfield::status::{FleetReport, ProcessReport};
use serde_json::{json, Value};

const ROUTER: IncarnationId = IncarnationId(7);
const KEY: RequestKey = RequestKey(0xabc);

/// Returns a state with one router, one customer, one bill, one rollout and one rejected contract.
fn state() -> FleetState {
    let body = json!({
        "customer": "team-1", "api_key_sha256": [], "prepaid_total_tokens": 1000, "window_ppm": 100_000,
        "priority": "high", "response_time_limit_ms": 1000, "models": [],
    });
    let contract = Entry::Contract(ContractEntry {
        customer: "team-1".into(),
        revision: 1,
        replaces: 0,
        body_json: body.to_string().into_bytes(),
    });
    let open = Entry::Open(Open {
        vm: "vm-1".into(),
        data_centre: "dc-1".into(),
        address: "127.0.0.1:1".into(),
    });
    let grant = Entry::Grant(Grant {
        customer: "team-1".into(),
        up_to_tokens: 100,
    });
    let (key_high, key_low) = split_key(KEY);
    let bill = Entry::Bill(Bill {
        key_high,
        key_low,
        customer: "team-1".into(),
        draws: vec![Draw {
            grant: ROUTER.0,
            amount_tokens: 30,
        }],
        fingerprint: Fingerprint(5).0,
    });
    let rollout = Entry::Rollout(Rollout {
        id: "move-1".into(),
        model: "m".into(),
        from_version: "m-1".into(),
        to_version: "m-2".into(),
        start_ms: 10,
        deadline_ms: 20,
        revision: 1,
        replaces: 0,
    });
    let mut state = FleetState::default();
    state.apply(0, &Batch::new(ROUTER, 1, [open]));
    state.apply(1, &Batch::new(IncarnationId(1), 1, [contract.clone()]));
    state.apply(2, &Batch::new(IncarnationId(2), 1, [contract]));
    state.apply(3, &Batch::new(ROUTER, 2, [grant, bill]));
    state.apply(4, &Batch::new(IncarnationId(3), 1, [rollout]));
    state
}

/// Guards against metrics that Prometheus rejects, and against missing values.
#[test]
fn metrics_render_as_text_and_json() {
    let metrics = Metrics::new();
    metrics.count_refusal(Refusal::Overloaded);
    metrics.count_refusal(Refusal::Overloaded);
    metrics.count_refusal(Refusal::BudgetExhausted);
    metrics.count_bill(30);
    metrics.count_log_append(512);
    metrics.set_held_bytes(4096);
    metrics.set_held_bytes(1024);
    for ms in 1..=100 {
        metrics.record_first_token(Priority::High, "team-1", ms);
    }

    let text = metrics.render_prometheus();
    let snapshot: Value =
        serde_json::from_str(&metrics.render_json()).expect("the snapshot is JSON");

    for line in [
        "# TYPE monsoonfield_refusals_total counter",
        "monsoonfield_refusals_total{code=\"overloaded\"} 2",
        "monsoonfield_refusals_total{code=\"budget_exhausted\"} 1",
        "monsoonfield_bills_total 1",
        "monsoonfield_billed_tokens_total 30",
        "monsoonfield_log_append_bytes_total 512",
        "monsoonfield_held_bytes 1024",
        "# TYPE monsoonfield_class_first_token_ms summary",
        "monsoonfield_class_first_token_ms{class=\"high\",quantile=\"0.5\"} 50",
        "monsoonfield_customer_first_token_ms_count{customer=\"team-1\"} 100",
        "monsoonfield_class_first_token_ms_sum{class=\"high\"} 5050",
    ] {
        assert!(
            text.lines().any(|found| found == line),
            "no {line} in\n{text}"
        );
    }
    let types: Vec<_> = text.lines().filter(|line| line.starts_with('#')).collect();
    let mut distinct = types.clone();
    distinct.dedup();
    assert_eq!(types, distinct, "each metric has one type line");
    assert_eq!(snapshot["customers"][0]["p95_ms"], 95);
    assert_eq!(metrics.value("refusals"), 3);
}

/// Guards against histograms whose memory grows with the number of customers.
#[test]
fn customers_beyond_the_limit_share_one_histogram() {
    let metrics = Metrics::new();

    for number in 0..3 * MAX_CUSTOMERS {
        metrics.record_queue_wait(Priority::Low, &format!("team-{number}"), 1);
    }

    let snapshot = metrics.snapshot();
    assert_eq!(snapshot.customers.len(), MAX_CUSTOMERS + 1);
    let other = snapshot
        .customers
        .iter()
        .find(|summary| summary.of == "other");
    assert_eq!(
        other.map(|summary| summary.count),
        Some(2 * MAX_CUSTOMERS as u64)
    );
}

/// Guards against log lines that a log collector cannot parse, and against secrets in the log.
#[test]
fn log_lines_are_json_without_secrets() {
    let key = KEY.to_string();
    let values = [
        ("step", "dispatch"),
        ("request_key", &key),
        ("authorization", "Bearer s3cret"),
    ];
    let record = Record::builder()
        .level(Level::Warn)
        .args(format_args!("no answer\nwithin \"5\" s"))
        .key_values(&values)
        .build();

    let line = logging::render(&record, 17);

    assert!(!line.contains('\n') && !line.contains("s3cret"), "{line}");
    let parsed: Value = serde_json::from_str(&line).expect("the line is JSON");
    assert_eq!(
        parsed,
        json!({
            "time_ms": 17, "level": "warn", "message": "no answer\nwithin \"5\" s", "step": "dispatch",
            "request_key": key, "authorization": "redacted",
        })
    );
}

/// Guards against a negative number that is logged as text or wraps around.
#[test]
fn a_negative_number_is_logged_as_a_number() {
    let values = [("steady_ms", -3_617_674_i64)];
    let record = Record::builder().key_values(&values).build();

    let line = logging::render(&record, 17);

    let parsed: Value = serde_json::from_str(&line).expect("the line is JSON");
    assert_eq!(parsed["steady_ms"], -3_617_674);
}

/// Guards against budget values in the status that do not add up to the prepaid total.
#[test]
fn the_status_shows_the_folded_state() {
    let process = ProcessReport {
        vm: "vm-1".into(),
        is_ready: true,
        ..ProcessReport::default()
    };

    let report = FleetReport::new(process, &state());

    let budget = &report.budgets[0];
    assert_eq!(
        (
            budget.billed_tokens,
            budget.granted_unbilled_tokens,
            budget.unallocated_tokens
        ),
        (30, 70, 900)
    );
    assert_eq!(report.rejections.len(), 1);
    assert_eq!(report.rollouts[0].outcome, "moving");
    let parsed: FleetReport =
        serde_json::from_str(&report.render_json()).expect("the report is JSON");
    assert_eq!(parsed, report);
    let text = report.render_text();
    for part in [
        "Router vm-1",
        "ready",
        "team-1",
        "move-1",
        "rejected",
        "replaces 0",
    ] {
        assert!(
            text.to_lowercase().contains(&part.to_lowercase()),
            "no {part} in\n{text}"
        );
    }
}

/// Guards against explanations without the time, the decision or its evidence.
#[test]
fn explanations_combine_the_history_and_the_state() {
    let state = state();
    let mut history = DecisionHistory::default();
    history.record_request(
        100,
        KEY,
        "dispatched to engine-1 with cost 12 against 40 of engine-2",
    );
    history.record_rollouts(110, &state.rollouts);

    let request =
        explain::explain_path(&format!("/request/{KEY}"), &state, &history).expect("a path");
    let budget = explain::explain_path("budget/team-1", &state, &history).expect("a path");
    let rollout = explain::explain_path("rollout/move-1", &state, &history).expect("a path");
    let unknown = explain::explain_path("budget/nobody", &state, &history).expect("a path");

    assert_eq!(
        request.sentences,
        [
            "At 100 ms: dispatched to engine-1 with cost 12 against 40 of engine-2.",
            "The request was billed once, with body fingerprint 0000000000000005.",
        ]
    );
    assert!(budget
        .sentences
        .iter()
        .any(|s| s.contains("VM vm-1") && s.contains("100 tokens, of which 30")));
    assert!(budget
        .sentences
        .iter()
        .any(|s| s.contains("offset 2 was rejected: revision 1 replaces 0")));
    assert!(rollout.sentences[0].starts_with("At 110 ms: revision 1 moves m from m-1 to m-2"));
    assert!(
        rollout
            .sentences
            .iter()
            .any(|s| s.contains("after the start (offset 4)")),
        "{rollout:?}"
    );
    assert!(!unknown.is_known);
    assert_eq!(
        explain::explain_path("request/not-a-key", &state, &history),
        None
    );
    assert_eq!(explain::explain_path("other/x", &state, &history), None);
}

/// Guards against a decision history that grows without bound.
#[test]
fn the_history_drops_the_oldest_decision() {
    let mut history = DecisionHistory::default();

    history.record(1, Subject::Customer("first".into()), "oldest");
    for time_ms in 0..MAX_DECISIONS as u64 {
        history.record_request(time_ms, KEY, "served");
    }

    assert!(history
        .sentences(&Subject::Customer("first".into()))
        .is_empty());
    assert_eq!(
        history.sentences(&Subject::Request(KEY)).len(),
        MAX_DECISIONS
    );
}
