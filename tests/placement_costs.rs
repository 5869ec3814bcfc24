//! Choice of upstreams by expected cost.

mod placement_model;

use http::header::{HeaderMap, HeaderValue};
use monsoonfield::placement::{
    Candidate, LoadReport, Outcome, PeerPrompt, Placement, Prompt, PromptPart, PromptParts,
    SpeedFigure,
};
use monsoonfield::platform::headers;
use monsoonfield::request_cost::{CostModel, OutputKey, OutputLengths};
use monsoonfield::upstream_speed::UpstreamSpeed;
use placement_model::{run, Class, Site, Summary};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Half of the smaller of the two customers' engines, at the same load, with a seventh of the engines slow at a time.
fn site(states_speed: bool, loss: f64, figure_age_ms: u64) -> Site {
    let class = |per_s, own_tokens, shared_tokens, target_ms| Class {
        per_s,
        own_tokens,
        shared_tokens,
        target_ms,
    };
    Site {
        gateways: 20,
        engines: 30,
        slots: 48,
        tokens_per_ms: 61.8,
        classes: vec![
            class(41.0, 6_610.0, 5_382.0, 1_500),
            class(107.0, 628.0, 198.0, 250),
            class(70.0, 1_800.0, 568.0, 400),
        ],
        states_speed,
        loss,
        figure_age_ms,
        slow_factor: 4.0,
    }
}

fn play(states_speed: bool, loss: f64, figure_age_ms: u64) -> Vec<Summary> {
    let site = site(states_speed, loss, figure_age_ms);
    (1..=3).map(|seed| run(&site, 12_000, seed)).collect()
}

fn candidates<'a>(ids: &[&'a str], slots: u32) -> Vec<Candidate<'a>> {
    let candidate = |id: &&'a str| Candidate {
        id,
        slots,
        is_local: true,
    };
    ids.iter().map(candidate).collect()
}

fn report(work_percent: u32) -> LoadReport {
    LoadReport {
        running: 0,
        waiting: 0,
        slots: 48,
        work_percent: Some(work_percent),
    }
}

/// Returns a placement that has just learned that all upstreams work at usual speed.
fn informed(ids: &[&str], seed: u64) -> Placement {
    let mut placement = Placement::with_seed(seed);
    for id in ids {
        placement.record_load(id, report(100), 0);
    }
    placement
}

/// A prompt of a session of its own after a beginning that other sessions share.
fn prompt(common: u64, common_tokens: u64, session: u64) -> Prompt {
    let mut parts = PromptParts::default();
    parts.push(PromptPart {
        id: common,
        end_tokens: common_tokens,
    });
    parts.push(PromptPart {
        id: session,
        end_tokens: common_tokens + 100,
    });
    Prompt {
        session,
        shared_tokens: common_tokens + 100,
        own_tokens: 300,
        parts,
    }
}

fn peer_prompt(work_ms: f64) -> PeerPrompt<'static> {
    PeerPrompt {
        session: 1,
        parts: &[],
        prefill_ms: work_ms,
        work_ms,
    }
}

/// Returns how many of 100 sessions are placed at `id`.
fn share_of(placement: &Placement, ids: &[&str], id: &str, now_ms: u64) -> usize {
    let chosen = (100..200).filter(|session| {
        let prompt = prompt(7, 3_000, *session);
        placement.choose(&candidates(ids, 48), Some(&prompt), &[], now_ms) == Ok(id)
    });
    chosen.count()
}

/// Scenario: gateways place a mix of prompts at engines of which a seventh is slow at a time, with and without lost
/// notices and with figures that are old when they are sent. Guards against first bytes that come too late because the
/// choice does not see slow engines, and against prefilling more prompts again for it.
#[test]
fn stated_speeds_make_fewer_first_bytes_late() {
    for (loss, figure_age_ms, max_ratio) in [(0.0, 0, 0.4), (0.3, 0, 0.6), (0.0, 200, 0.6)] {
        let late = |played: &[Summary]| played.iter().map(Summary::late_percent).sum::<f64>();
        let tokens = |played: &[Summary]| {
            let tokens = played.iter().map(|summary| summary.prefilled_tokens);
            tokens.sum::<f64>()
        };
        let usual = play(false, loss, figure_age_ms);
        let by_cost = play(true, loss, figure_age_ms);
        println!("loss {loss} age {figure_age_ms}: usual {usual:?}, by cost {by_cost:?}");
        assert!(late(&by_cost) < max_ratio * late(&usual));
        assert!(tokens(&by_cost) < 1.06 * tokens(&usual));
    }
}

/// Scenario: 4,000 requests to upstreams that state three figures. Guards against any change of the choice for
/// deployments whose upstreams do not state their speed. The fingerprint is that of the code before the fourth figure
/// was read (commit 1ce46e4).
#[test]
fn upstreams_without_a_fourth_figure_are_chosen_as_before() {
    const FINGERPRINT: u64 = 6_913_474_017_434_488_282;
    assert_eq!(fingerprint_of_choices(), FINGERPRINT);
}

/// Returns a fingerprint of 4,000 choices among upstreams that state no speed.
fn fingerprint_of_choices() -> u64 {
    let ids: Vec<String> = (0..12).map(|index| format!("upstream-{index}")).collect();
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut placement = Placement::default();
    let mut open = Vec::new();
    let mut fingerprint = 0_u64;
    for step in 0..4_000_u64 {
        let now_ms = step * 3;
        let candidates: Vec<_> = ids
            .iter()
            .map(|id| Candidate {
                id,
                slots: 8,
                is_local: random.random_bool(0.5),
            })
            .collect();
        let prompt = Prompt {
            session: random.random_range(0..60),
            shared_tokens: random.random_range(0..6_000),
            own_tokens: random.random_range(1..4_000),
            ..Prompt::default()
        };
        let prompt = random.random_bool(0.8).then_some(prompt);
        let index = match placement.choose(&candidates, prompt.as_ref(), &[], now_ms) {
            Ok(id) => candidates
                .iter()
                .position(|candidate| candidate.id == id)
                .unwrap(),
            Err(_) => ids.len(),
        };
        fingerprint = fingerprint.wrapping_mul(31).wrapping_add(index as u64);
        if index < ids.len() {
            let prefill_ms = placement.record_sent(&ids[index], prompt.as_ref(), now_ms);
            open.push((index, prefill_ms));
        }
        let peer = random.random_range(0..ids.len());
        placement.record_peer_sent(&ids[peer], random.random_range(0..60), 4.0, now_ms);
        if open.len() > 20 {
            let (index, prefill_ms) = open.remove(random.random_range(0..open.len()));
            let report = LoadReport {
                running: random.random_range(0..9),
                waiting: random.random_range(0..3),
                slots: 8,
                work_percent: None,
            };
            placement.end_first_byte_wait(&ids[index]);
            placement.record_load(&ids[index], report, now_ms);
            placement.record_first_byte(&ids[index], random.random_range(5..90));
            placement.record_prefill(
                &ids[index],
                2_500.0,
                prefill_ms as u64 + random.random_range(10..60),
            );
            placement.record_finished(&ids[index], Outcome::Served, now_ms);
        }
    }
    fingerprint
}

/// Guards against one fast figure that stays in force, and against the loss of what is usual at an upstream.
#[test]
fn a_figure_ages_out_within_two_seconds() {
    let mut speed = UpstreamSpeed::default();
    for index in 0..200 {
        speed.record_stated(120, index * 100);
    }
    speed.record_stated(400, 20_000);
    let now = |age_ms: u64| speed.estimate(20_000 + age_ms);
    assert!(now(0).now > 3.9, "{:?}", now(0));
    assert!(now(300).now < now(0).now && now(300).now > 2.0);
    assert!(now(2_000).now < 1.4, "{:?}", now(2_000));
    assert!(now(2_000).spread > now(0).spread);
}

/// Scenario: an engine states that it is slow. Guards against sending it prompts meanwhile, and against avoiding it
/// when the figure is old.
#[test]
fn a_slow_engine_is_avoided_as_long_as_its_figure_is_recent() {
    let ids = ["a", "b", "c"];
    let mut placement = informed(&ids, 1);
    placement.record_load("a", report(400), 10);
    assert_eq!(share_of(&placement, &ids, "a", 20), 0);
    assert!(share_of(&placement, &ids, "a", 2_500) > 5);
}

/// Scenario: an engine with a long prompt sends nothing, because it has become slow; nobody knows. Guards against
/// counting its queue as done and sending it more, once it should be done by its usual speed.
#[test]
fn an_engine_without_a_sign_of_life_after_a_long_prompt_is_in_doubt() {
    let ids = ["a", "b", "c"];
    let mut placement = informed(&ids, 1);
    placement.record_peer_prompt("a", &peer_prompt(300.0), 0);
    assert_eq!(share_of(&placement, &ids, "a", 350), 0);
    placement.record_load("a", report(100), 350);
    assert!(share_of(&placement, &ids, "a", 360) > 5, "it has responded");
}

/// Scenario: another gateway's notice was lost, or its prompt took longer. Guards against estimates that stay wrong
/// although the order of the engine's responses shows what is left.
#[test]
fn a_first_byte_corrects_the_backlog() {
    let mut placement = informed(&["a"], 1);
    let own = prompt(7, 3_000, 8);
    let expected = placement.expected_cost("a", Some(&own), 0).unwrap();
    placement.record_sent("a", Some(&own), 0);
    placement.record_peer_prompt("a", &peer_prompt(100.0), 1);
    let backlog_ms = placement.backlog_ms("a", 85);
    assert!(
        backlog_ms >= 99.0,
        "the own prompt goes first: {backlog_ms}"
    );
    placement.end_prefill_wait("a", &expected);
    placement.record_response_cost("a", &expected, Some(report(100)), 90, 90);
    let backlog_ms = placement.backlog_ms("a", 100);
    assert!((90.0..140.0).contains(&backlog_ms), "{backlog_ms}");
    assert_eq!(placement.backlog_ms("a", 1_000), 0.0);
}

/// Scenario: sessions that share the first 3,000 tokens. Guards against prefilling the common part at each engine, and
/// against queueing behind a busy engine for it.
#[test]
fn a_common_part_is_warm_at_a_few_engines() {
    let ids = ["a", "b", "c", "d", "e", "f"];
    let mut placement = informed(&ids, 1);
    placement.record_sent("b", Some(&prompt(7, 3_000, 50)), 0);
    placement.record_load("b", report(100), 100);
    assert_eq!(share_of(&placement, &ids, "b", 200), 100);
    placement.record_peer_prompt("b", &peer_prompt(200.0), 200);
    assert_eq!(share_of(&placement, &ids, "b", 200), 0);
}

/// Scenario: many gateways read the same figures at once, for prompts and for plain requests. Guards against all of
/// them choosing the same upstream, and against one session that is cached at more than two engines.
#[test]
fn gateways_with_equal_figures_spread_over_near_equals() {
    let ids = ["a", "b", "c"];
    let chosen_by = |seed: u64, request: Option<&Prompt>| {
        let mut placement = informed(&ids, seed);
        placement.record_sent("c", None, 0);
        placement.record_finished("c", Outcome::Served, 0);
        let chosen = placement.choose(&candidates(&ids, 48), request, &[], 10);
        chosen.unwrap().to_owned()
    };
    let used = |request: Option<&Prompt>| {
        let chosen = (0..80).map(|seed| chosen_by(seed, request));
        chosen.collect::<std::collections::BTreeSet<_>>().len()
    };
    assert_eq!(used(None), 3);
    assert_eq!(used(Some(&prompt(7, 300, 1))), 2);
}

/// Scenario: a plain service with a slow upstream. Guards against a choice that weighs speed for engines only.
#[test]
fn plain_requests_avoid_a_slow_upstream() {
    let ids = ["a", "b"];
    for seed in 0..20 {
        let mut placement = informed(&ids, seed);
        for (id, work_percent, elapsed_ms) in [("a", 300, 90), ("b", 100, 30)] {
            let expected = placement.expected_cost(id, None, 0).unwrap();
            placement.record_load(id, report(work_percent), 10);
            let stated = Some(report(work_percent));
            placement.record_response_cost(id, &expected, stated, elapsed_ms, 10);
        }
        let chosen = placement.choose(&candidates(&ids, 6), None, &[], 20);
        assert_eq!(chosen, Ok("b"), "seed {seed}");
    }
}

/// Guards against control traffic for figures that everybody knows, against old or impossible figures of others that
/// replace newer ones, and against repeating what others have reported.
#[test]
fn only_changed_speeds_are_reported() {
    let mut placement = informed(&["a"], 1);
    let figure = |work_percent, at_ms| SpeedFigure {
        upstream: "a".into(),
        work_percent,
        at_ms,
    };
    assert_eq!(placement.take_figure(10), Some(figure(100, 0)));
    placement.record_load("a", report(110), 20);
    assert_eq!(placement.take_figure(20), None, "a small change");
    placement.record_load("a", report(300), 30);
    placement.record_peer_speed(&figure(310, 40), 45);
    assert_eq!(
        placement.take_figure(50),
        None,
        "another gateway reported it"
    );
    placement.record_peer_speed(&figure(100, 20), 50);
    placement.record_peer_speed(&figure(0, 60), 60);
    let mut uninformed = Placement::default();
    uninformed.record_peer_speed(&figure(0, 60), 60);
    assert!(!uninformed.weighs_costs(), "an impossible figure");
    let prefill_ms = placement.prefill_ms("a", &prompt(7, 3_000, 1), 60);
    let usual_ms = informed(&["a"], 1).prefill_ms("a", &prompt(7, 3_000, 1), 0);
    assert!(prefill_ms > 2.5 * usual_ms, "{prefill_ms} {usual_ms}");
}

/// Scenario: every other response waited in a queue of which no notice arrived, or at a busy VM. Guards against expected
/// costs that grow with the gateway's own trouble.
#[test]
fn hidden_waits_hardly_change_the_learned_prefill_time() {
    let mut model = CostModel::default();
    let true_ms = model.ms_per_token();
    for index in 0..600 {
        let hidden = if index % 2 == 0 { 2.0 } else { 1.0 };
        model.record_unexplained(hidden * true_ms / model.ms_per_token());
    }
    let ratio = model.ms_per_token() / true_ms;
    assert!((0.9..1.3).contains(&ratio), "{ratio}");
}

/// Scenario: hints that are far off, and sessions with outputs of their own. Guards against trusting a hint that has
/// been wrong, and against an average over unlike sessions.
#[test]
fn output_lengths_follow_the_better_source() {
    let mut lengths = OutputLengths::default();
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let key = |session, hint_tokens| OutputKey {
        route: 1,
        session,
        hint_tokens: Some(hint_tokens),
        max_tokens: 2_000,
    };
    for _ in 0..300 {
        let session = random.random_range(2..12);
        let far_off = random.random_range(10..2_000);
        lengths.record(&key(session, far_off), session * 50);
    }
    let expected = lengths.expected_tokens(&key(10, 20));
    assert!((300.0..=700.0).contains(&expected), "{expected}");
}

/// Guards against a load report that is lost for a bad fourth figure, and against parts of a prompt that are not read.
#[test]
fn header_fields_state_speed_hint_and_parts() {
    let fields = |name: &'static str, value: &str| {
        let mut fields = HeaderMap::new();
        fields.insert(name, HeaderValue::from_str(value).unwrap());
        fields
    };
    let stated = |value: &str| headers::load_report(&fields("x-server-load", value));
    for (value, expected) in [
        ("3,1,48", Some(None)),
        ("3, 1, 48, 250", Some(Some(250))),
        ("3,1,48,-1", Some(None)),
        ("3,1,48,0", Some(None)),
        ("3,1,48,99999999999", Some(None)),
        ("3,1", None),
    ] {
        let percent = stated(value).map(|report| report.work_percent);
        assert_eq!(percent, expected, "{value}");
    }
    let mut request = fields("x-prompt-prefix", "a:10,b:20,c:30,d:40,e:50,own:60");
    request.insert("x-token-count", HeaderValue::from_static("210,50"));
    request.insert("x-length-hint", HeaderValue::from_static("77"));
    let meta = headers::request_meta(&request);
    assert_eq!(meta.output_hint_tokens, Some(77));
    let prompt = meta.prompt.unwrap();
    let ends = prompt.parts.as_slice().iter().map(|part| part.end_tokens);
    assert_eq!(ends.collect::<Vec<_>>(), [10, 30, 60, 150]);
    assert_eq!(prompt.parts.as_slice()[3].id, prompt.session);
}

/// Guards against a caller that states an endless prompt, which would make an engine look occupied for hours.
#[test]
fn stated_prompt_lengths_are_bounded() {
    for (tokens, prefix) in [
        ("5,1", "a:999999999999999999,b:1"),
        ("1099511627776,1", "a:0,b:1"),
    ] {
        let mut fields = HeaderMap::new();
        fields.insert("x-token-count", HeaderValue::from_static(tokens));
        fields.insert("x-prompt-prefix", HeaderValue::from_static(prefix));

        let prompt = headers::request_meta(&fields).prompt.expect("a prompt");

        assert!(prompt.shared_tokens <= 1 << 21, "{prefix}");
        assert!(prompt.own_tokens <= 1 << 21, "{tokens}");
    }
}

/// Guards against one measurement beside a stalled caller that spoils the learned output time.
#[test]
fn one_output_time_moves_the_learned_one_by_a_bounded_amount() {
    let mut slow = CostModel::default();
    let mut bounded = CostModel::default();
    let usual_ms = slow.ms_per_output_token();

    slow.record_output_time(1, 1_000_000, 1.0);
    bounded.record_output_time(1, (4.0 * usual_ms) as u64, 1.0);

    assert_eq!(slow.ms_per_output_token(), bounded.ms_per_output_token());
}

/// Guards against an upstream whose report overflows the sum of its requests, which then looks idle.
#[test]
fn a_report_beyond_any_load_counts_as_full() {
    let mut placement = Placement::with_seed(1);
    let full = LoadReport {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: 8,
        work_percent: Some(100),
    };
    placement.record_load("full", full, 0);
    placement.record_load("idle", report(100), 0);

    for _ in 0..20 {
        let chosen = placement.choose(&candidates(&["full", "idle"], 8), None, &[], 0);
        assert_eq!(chosen, Ok("idle"));
    }
}
