//! Attribution of crashes to features of requests, and a model of fleets that exchange the counts.

use std::collections::BTreeMap;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use monsoonfield::crash_attribution::{
    Admission, Clocks, CrashAttribution, CrashId, CrashReport, Feature, CRASH_LIMIT, MAX_FEATURES,
    MAX_REQUEST_FEATURES,
};
use prost::Message;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SYSTEM: Feature = Feature(1);
const SUBJECT: Feature = Feature(2);
const DEADLY: Feature = Feature(3);

/// Crashes after which the platform bounds the requests with a part that crashes upstreams.
const CRASHES: usize = 5;

/// Requests that may still reach upstreams later than the contact time after that crash.
const MAX_FURTHER_REQUESTS: usize = 3;

/// Largest record of the store.
const RECORD_BYTES: usize = 262_144;

fn at(now_ms: u64) -> Clocks {
    Clocks {
        now_ms,
        wall_s: 1_000_000 + now_ms / 1_000,
    }
}

/// Returns the features of a request with these shared parts; no two requests are alike.
fn request(parts: &[Feature], number: u64) -> Vec<Feature> {
    let mut features = parts.to_vec();
    features.push(Feature(1_000_000 + number));
    features
}

fn is_refused(attribution: &CrashAttribution, features: &[Feature], now_ms: u64) -> bool {
    matches!(
        attribution.admission(features, now_ms),
        Admission::Refused { .. }
    )
}

/// Returns the time until such a request is tried; `None` if it is sent without a trial.
fn trial_in_ms(attribution: &CrashAttribution, features: &[Feature], now_ms: u64) -> Option<u64> {
    match attribution.admission(features, now_ms) {
        Admission::Allowed => None,
        Admission::Refused { trial_in_ms, .. } => Some(trial_in_ms),
    }
}

/// Counts a crash of a process of its own under a request.
fn count_crash(
    attribution: &mut CrashAttribution,
    features: &[Feature],
    sent_ms: u64,
    now_ms: u64,
) {
    attribution.record_crash(features, CrashId(now_ms), sent_ms, at(now_ms));
}

/// Counts crashes of requests with these parts, each sent after the crash before.
fn crash_times(attribution: &mut CrashAttribution, parts: &[Feature], times: u64, from_ms: u64) {
    for crashes in 0..times {
        let sent_ms = from_ms + crashes * 100;
        count_crash(attribution, &request(parts, sent_ms), sent_ms, sent_ms + 50);
    }
}

/// Guards against requests that crash upstreams one after the other although they share a part.
#[test]
fn requests_that_share_a_crashing_part_are_refused_at_the_limit() {
    let mut attribution = CrashAttribution::default();
    for crash in 0..u64::from(CRASH_LIMIT) {
        let now_ms = 1_000 * crash;
        let next = request(&[SYSTEM, DEADLY], crash);
        assert!(!is_refused(&attribution, &next, now_ms), "crash {crash}");
        attribution.record_success(&request(&[SYSTEM], 50 + crash), at(now_ms));
        count_crash(&mut attribution, &next, now_ms, now_ms + 10);
    }
    assert!(is_refused(
        &attribution,
        &request(&[SYSTEM, DEADLY], 99),
        9_000
    ));
    let alone = request(&[DEADLY], 99);
    assert!(is_refused(&attribution, &alone, 9_000), "alone as well");
}

/// Guards against refusing requests because several upstreams ended at the same time for their own reasons.
#[test]
fn upstreams_that_end_together_count_once() {
    let mut attribution = CrashAttribution::default();
    for number in 0..20 {
        let process = CrashId(number % 2);
        attribution.record_crash(&request(&[SYSTEM], number), process, 100, at(200 + number));
    }
    assert_eq!(attribution.crashes(SYSTEM), 1);
    assert_eq!(attribution.refused_count(), 0);
}

/// Guards against refusing requests for long because all upstreams ended at the same time for their own reasons.
#[test]
fn requests_of_many_upstreams_that_end_together_are_tried_at_once_and_released() {
    let mut attribution = CrashAttribution::default();
    for number in 0..20 {
        count_crash(
            &mut attribution,
            &request(&[SYSTEM], number),
            100,
            200 + number,
        );
    }
    assert_eq!(attribution.crashes(SYSTEM), 1);
    let next = request(&[SYSTEM], 30);
    assert_eq!(trial_in_ms(&attribution, &next, 300), Some(0));
    attribution.begin_trial(&next, 300);
    let other = request(&[SYSTEM], 31);
    assert!(
        trial_in_ms(&attribution, &other, 310) > Some(0),
        "one at a time"
    );

    attribution.record_success(&next, at(350));

    assert_eq!(trial_in_ms(&attribution, &other, 351), None);
    assert!(
        attribution.has_urgent_report(),
        "the others refuse it still"
    );
}

/// Counts crashes in responses that were under way, of requests with these parts that were each sent after the crash
/// before.
fn late_crash_times(
    attribution: &mut CrashAttribution,
    parts: &[Feature],
    times: u64,
    from_ms: u64,
) {
    for crashes in 0..times {
        let sent_ms = from_ms + crashes * 100;
        let (features, crash) = (request(parts, sent_ms), CrashId(sent_ms));
        attribution.record_begin(&features, at(sent_ms + 20));
        attribution.record_late_crash(&features, crash, sent_ms, at(sent_ms + 50));
    }
}

/// Guards against a part that is declared harmless by the beginning of each response in which it crashes an upstream.
#[test]
fn the_beginning_of_a_response_proves_nothing_after_a_late_crash() {
    let limit = u64::from(CRASH_LIMIT);
    let mut attribution = CrashAttribution::default();
    let mut peer = CrashAttribution::default();
    late_crash_times(&mut attribution, &[SYSTEM, DEADLY], limit - 1, 0);
    peer.merge(&attribution.report(), false, at(300));

    late_crash_times(&mut attribution, &[SYSTEM, DEADLY], 1, 400);
    late_crash_times(&mut peer, &[SYSTEM, DEADLY], 1, 400);

    let next = request(&[SYSTEM, DEADLY], 99);
    for known in [&mut attribution, &mut peer] {
        assert!(is_refused(known, &next, 600));
        known.record_begin(&next, at(700));
        assert!(is_refused(known, &next, 800), "a trial that has begun");
        known.record_success(&request(&[SYSTEM], 100), at(900));
        assert!(!is_refused(known, &request(&[SYSTEM], 101), 1_000));
        assert!(is_refused(known, &next, 1_000));
        known.record_success(&next, at(1_100));
        assert!(!is_refused(known, &next, 1_200), "a trial that is complete");
    }
}

/// Guards against suspending a part that many responses share because the upstreams that sent them ended together.
#[test]
fn responses_under_way_at_upstreams_that_end_together_suspend_nothing() {
    let mut attribution = CrashAttribution::default();
    for number in 0..20 {
        let features = request(&[SYSTEM], number);
        attribution.record_late_crash(&features, CrashId(number), 100, at(200 + number));
    }
    assert_eq!(attribution.crashes(SYSTEM), 1);
    assert_eq!(attribution.refused_count(), 0);
}

/// Guards against trials that follow each other at once although the first one has crashed its upstream.
#[test]
fn a_trial_that_crashes_its_upstream_refuses_the_feature_for_a_minute() {
    let mut attribution = CrashAttribution::default();
    let copy = [Feature(77)];
    for number in 0..3 {
        count_crash(&mut attribution, &copy, 100, 200 + number);
    }
    attribution.begin_trial(&copy, 1_000);

    count_crash(&mut attribution, &copy, 1_000, 1_050);

    assert_eq!(trial_in_ms(&attribution, &copy, 1_050), Some(60_000));
}

/// Guards against a suspension that never ends because the router that made the trial has ended, or its trial had no
/// result.
#[test]
fn a_trial_without_a_result_is_followed_by_another_one() {
    let mut attribution = CrashAttribution::default();
    let copy = [Feature(77)];
    for number in 0..3 {
        count_crash(&mut attribution, &copy, 100, 200 + number);
    }
    attribution.begin_trial(&copy, 1_000);
    let timeout_ms = trial_in_ms(&attribution, &copy, 1_000).expect("it is suspended");
    assert_eq!(
        trial_in_ms(&attribution, &copy, 1_000 + timeout_ms),
        Some(0)
    );

    attribution.end_trial(&copy);

    assert_eq!(trial_in_ms(&attribution, &copy, 1_001), Some(0));
    assert!(
        attribution.has_urgent_report(),
        "any router may make the next trial"
    );
}

/// Guards against refusing sound requests that share a part with others that were running when upstreams crashed.
#[test]
fn a_response_that_begins_proves_its_features_harmless() {
    let mut attribution = CrashAttribution::default();
    crash_times(&mut attribution, &[SYSTEM], 2, 0);
    assert!(attribution.record_success(&request(&[SYSTEM], 7), at(500)));
    crash_times(&mut attribution, &[SYSTEM], 2, 1_000);
    assert!(!is_refused(&attribution, &request(&[SYSTEM], 8), 2_000));
}

/// Guards against refusing a rare sound part that so far was only seen in requests with the crashing part.
#[test]
fn a_part_that_was_only_seen_beside_the_crashing_one_is_served() {
    let mut attribution = CrashAttribution::default();
    crash_times(&mut attribution, &[SUBJECT, DEADLY], 3, 0);
    assert!(is_refused(
        &attribution,
        &request(&[SUBJECT, DEADLY], 9),
        1_000
    ));
    let sound = request(&[SUBJECT], 10);
    assert!(!is_refused(&attribution, &sound, 1_000));
    attribution.record_success(&sound, at(1_100));
    assert!(
        is_refused(&attribution, &request(&[DEADLY], 11), 1_200),
        "alone as well"
    );
}

/// Guards against a crashing part that is refused only beside the parts of its first requests.
#[test]
fn a_crashing_part_beside_other_parts_is_refused_after_one_more_crash() {
    let mut attribution = CrashAttribution::default();
    crash_times(&mut attribution, &[SUBJECT, DEADLY], 3, 0);
    let elsewhere = request(&[SYSTEM, DEADLY], 20);
    assert!(!is_refused(&attribution, &elsewhere, 1_000));
    count_crash(&mut attribution, &elsewhere, 1_000, 1_050);
    assert!(is_refused(&attribution, &request(&[DEADLY], 21), 1_100));
}

/// Guards against a request that crashes upstreams and comes again to the letter, without a prompt.
#[test]
fn a_repeated_request_is_refused_as_a_whole() {
    let mut attribution = CrashAttribution::default();
    let same = [Feature(77)];
    for crash in 0..3 {
        count_crash(&mut attribution, &same, crash * 100, crash * 100 + 20);
    }
    assert!(is_refused(&attribution, &same, 1_000));
    assert!(!is_refused(&attribution, &[Feature(78)], 1_000));
}

/// Guards against a refusal that lasts for ever although its cause is gone, and against trials that crash upstreams
/// again and again.
#[test]
fn refused_requests_are_tried_rarely_and_released_by_a_response() {
    let mut attribution = CrashAttribution::default();
    crash_times(&mut attribution, &[DEADLY], 3, 0);
    let (mut now_ms, mut trials) = (300, 0);
    let features = request(&[DEADLY], 30);
    while now_ms < 8 * 3_600_000 {
        match attribution.admission(&features, now_ms) {
            Admission::Refused { trial_in_ms: 0, .. } => {
                attribution.begin_trial(&features, now_ms);
                count_crash(&mut attribution, &features, now_ms, now_ms + 100);
                trials += 1;
            }
            Admission::Refused { trial_in_ms, .. } => now_ms += trial_in_ms,
            Admission::Allowed => panic!("released at {now_ms} ms"),
        }
        attribution.expire(now_ms);
    }
    assert!(
        (1..=MAX_FURTHER_REQUESTS).contains(&trials),
        "{trials} trials"
    );
    attribution.record_success(&features, at(now_ms));
    assert!(!is_refused(&attribution, &features, now_ms));
}

/// Guards against memory that grows with the prompts, and against a flood of prompts that releases a refused part.
#[test]
fn memory_and_reports_are_bounded_and_refused_features_outlast_a_flood() {
    let mut attribution = CrashAttribution::default();
    crash_times(&mut attribution, &[DEADLY], 3, 0);
    let parts: Vec<Feature> = (0..1_000).map(|part| Feature(5_000_000 + part)).collect();
    count_crash(&mut attribution, &request(&parts, 0), 1_000, 1_001);
    for number in 0..200 {
        let parts: Vec<Feature> = (0..60)
            .map(|part| Feature(9_000_000 + 100 * number + part))
            .collect();
        count_crash(
            &mut attribution,
            &request(&parts, number),
            2_000,
            2_001 + number,
        );
        attribution.explain(CrashId(number), 2_001 + number);
    }
    assert!(attribution.len() <= MAX_FEATURES, "{}", attribution.len());
    assert!(is_refused(&attribution, &request(&[DEADLY], 1), 3_000));
    let report = attribution.report().encode_to_vec();
    assert!(report.len() <= RECORD_BYTES, "{} bytes", report.len());
    let most_companions = MAX_REQUEST_FEATURES;
    let decoded = CrashReport::decode(report.as_slice()).expect("its own report");
    assert!(decoded
        .counts
        .iter()
        .all(|count| count.companions.len() <= most_companions));
}

/// Guards against routers that never agree: reports that are merged in any order, and more than once, lead to the same
/// counts.
#[test]
fn merged_reports_lead_to_the_same_counts_in_any_order() {
    arbtest(|u| {
        let mut writers: Vec<CrashAttribution> = vec![CrashAttribution::default(); 3];
        let mut reports = Vec::new();
        for step in 0..u.int_in_range(1..=30)? {
            let writer = u.choose_index(writers.len())?;
            let now_ms = 100 * (step + 1);
            let parts = random_parts(u)?;
            match u.int_in_range(0..=3)? {
                0 => {
                    writers[writer].record_success(&parts, at(now_ms));
                }
                1 => {
                    let report = writers[writer].report();
                    writers[writer].record_published(&report);
                    reports.push(report);
                }
                2 if !reports.is_empty() => {
                    let report = u.choose(&reports)?;
                    writers[writer].merge(report, false, at(now_ms));
                }
                _ => {
                    count_crash(&mut writers[writer], &parts, now_ms, now_ms);
                }
            }
        }
        reports.extend(writers.iter_mut().map(CrashAttribution::report));
        let mut readers = vec![CrashAttribution::default(); 2];
        for report in &reports {
            readers[0].merge(report, false, at(9_000));
        }
        for report in reports.iter().rev().chain(&reports) {
            readers[1].merge(report, false, at(9_000));
        }
        for feature in (1..=4).map(Feature) {
            let counts = readers.iter().map(|reader| reader.crashes(feature));
            let counts: Vec<u32> = counts.collect();
            assert_eq!(counts[0], counts[1], "{feature:?}");
            for other in (1..=4).map(Feature) {
                let request = [feature, other];
                let refused = readers
                    .iter()
                    .map(|reader| is_refused(reader, &request, 9_100));
                let refused: Vec<bool> = refused.collect();
                assert_eq!(refused[0], refused[1], "{request:?}");
            }
        }
        Ok(())
    });
}

/// Guards against a gateway that learns of a crash before the others' proof that one of its parts is harmless, or after
/// it, and refuses other requests than the rest of the fleet.
#[test]
fn a_proof_of_harmlessness_counts_whether_it_arrives_before_or_after_a_crash() {
    let mut counting = CrashAttribution::default();
    crash_times(&mut counting, &[SUBJECT, DEADLY], 3, 0);
    let crashes = counting.report();
    let mut proving = CrashAttribution::default();
    proving.merge(&crashes, false, at(400));
    proving.record_success(&request(&[SUBJECT], 1), at(500));
    let proof = proving.report();
    count_crash(&mut proving, &request(&[SUBJECT], 2), 600, 700);
    let crash_after_proof = proving.report();
    let orders = [
        [&crashes, &proof, &crash_after_proof],
        [&proof, &crashes, &crash_after_proof],
        [&proof, &crash_after_proof, &crashes],
        [&crash_after_proof, &proof, &crashes],
    ];
    for (number, order) in orders.iter().enumerate() {
        let mut reader = CrashAttribution::default();
        for report in order {
            reader.merge(report, false, at(800));
        }
        let deadly = request(&[DEADLY], 3);
        assert!(is_refused(&reader, &deadly, 900), "order {number}");
        let sound = request(&[SUBJECT], 4);
        assert!(!is_refused(&reader, &sound, 900), "order {number}");
        assert_eq!(reader.crashes(SUBJECT), 1, "order {number}");
        crash_times(&mut reader, &[SUBJECT], 2, 1_000);
        assert!(
            is_refused(&reader, &request(&[SUBJECT], 5), 2_000),
            "order {number}: three crashes since"
        );
    }
}

fn random_parts(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Vec<Feature>> {
    let mut parts = Vec::new();
    for feature in 1..=4 {
        if u.ratio(1, 2)? {
            parts.push(Feature(feature));
        }
    }
    Ok(parts)
}

/// What happens to one gateway of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Loses all it knows and reads the reports again.
    Restart,
    /// Neither reads nor writes reports for a time, but serves.
    CutOff,
    /// Does nothing for a time.
    Frozen,
}

struct ModelGateway {
    attribution: CrashAttribution,
    /// Time of the start, or of the end of a trouble; the platform's bounds hold from the contact time after it.
    calm_since_ms: u64,
    blocked: Option<(Trouble, u64)>,
}

/// A fleet whose upstreams take a time to begin a response.
struct Model {
    random: Pcg64Mcg,
    gateways: Vec<ModelGateway>,
    stored: BTreeMap<usize, CrashReport>,
    /// Reports on their way to all gateways, by time.
    in_transit: Vec<(u64, usize, CrashReport)>,
    /// Requests at upstreams: time of the first event, gateway, time sent, features, whether they crash it.
    running: Vec<(u64, usize, u64, Vec<Feature>, bool)>,
    crashes: Vec<u64>,
    late_requests: usize,
    sound: (usize, usize),
}

/// Time after which a gateway is bound by what others know; stated by the platform.
const CONTACT_MS: u64 = 3_000;

/// Time in which a report reaches the other gateways.
const REPORT_MS: u64 = 15;

impl Model {
    fn new(gateways: usize, seed: u64) -> Self {
        let gateway = || ModelGateway {
            attribution: CrashAttribution::default(),
            calm_since_ms: 0,
            blocked: None,
        };
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            gateways: (0..gateways).map(|_| gateway()).collect(),
            stored: BTreeMap::new(),
            in_transit: Vec::new(),
            running: Vec::new(),
            crashes: Vec::new(),
            late_requests: 0,
            sound: (0, 0),
        }
    }

    /// Moves to a time: delivers reports, ends troubles and begins responses.
    fn advance(&mut self, now_ms: u64) {
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            if gateway
                .blocked
                .is_some_and(|(_, until_ms)| until_ms <= now_ms)
            {
                gateway.blocked = None;
                gateway.calm_since_ms = now_ms;
                for (writer, report) in &self.stored {
                    gateway
                        .attribution
                        .merge(report, *writer == index, at(now_ms));
                }
            }
        }
        let (due, later) = self
            .in_transit
            .drain(..)
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.in_transit = later;
        for (_, writer, report) in due {
            for (index, gateway) in self.gateways.iter_mut().enumerate() {
                if gateway.blocked.is_none() {
                    gateway
                        .attribution
                        .merge(&report, index == writer, at(now_ms));
                }
            }
            self.stored.insert(writer, report);
        }
        let (begun, later): (Vec<_>, _) = self.running.drain(..).partition(|run| run.0 <= now_ms);
        self.running = later;
        for (_, gateway, sent_ms, features, is_deadly) in begun {
            let attribution = &mut self.gateways[gateway].attribution;
            if is_deadly {
                self.crashes.push(now_ms);
                count_crash(attribution, &features, sent_ms, now_ms);
            } else {
                attribution.record_success(&features, at(now_ms));
            }
        }
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            if gateway.blocked.is_none() && gateway.attribution.needs_report() {
                let report = gateway.attribution.report();
                gateway.attribution.record_published(&report);
                self.in_transit.push((now_ms + REPORT_MS, index, report));
            }
        }
    }

    fn send(&mut self, parts: &[Feature], number: u64, now_ms: u64) {
        let index = self.random.random_range(0..self.gateways.len());
        let gateway = &mut self.gateways[index];
        if matches!(
            gateway.blocked,
            Some((Trouble::Frozen | Trouble::Restart, _))
        ) {
            return;
        }
        let features = request(parts, number);
        let is_deadly = parts.contains(&DEADLY);
        let is_admitted = !is_refused(&gateway.attribution, &features, now_ms);
        if !is_deadly {
            self.sound.0 += usize::from(is_admitted);
            self.sound.1 += usize::from(!is_admitted);
        }
        if !is_admitted {
            return;
        }
        let is_in_touch = gateway.blocked.is_none() && now_ms >= gateway.calm_since_ms + CONTACT_MS;
        let fifth_ms = self.crashes.get(CRASHES - 1);
        let is_bound = fifth_ms.is_some_and(|fifth_ms| now_ms > fifth_ms + CONTACT_MS);
        self.late_requests += usize::from(is_deadly && is_bound && is_in_touch);
        let first_ms = now_ms + self.random.random_range(30..600);
        self.running
            .push((first_ms, index, now_ms, features, is_deadly));
    }

    fn trouble(&mut self, trouble: Trouble, now_ms: u64) {
        let index = self.random.random_range(0..self.gateways.len());
        let lasting_ms = self.random.random_range(500..4_000);
        let gateway = &mut self.gateways[index];
        gateway.blocked = Some((trouble, now_ms + lasting_ms));
        gateway.calm_since_ms = now_ms + lasting_ms;
        if trouble == Trouble::Restart {
            gateway.attribution = CrashAttribution::default();
            self.running.retain(|run| run.1 != index);
        }
    }
}

/// Length of one step of the model.
const STEP_MS: u64 = 5;

/// Plays a day on which one request of twenty has the crashing part, each fleet with troubles of its gateways.
fn play_deadly_day(gateways: usize, per_s: u64, seed: u64) -> Model {
    let mut model = Model::new(gateways, seed);
    for now_ms in (0..30_000).step_by(STEP_MS as usize) {
        model.advance(now_ms);
        if now_ms % 700 == 0 {
            let troubles = [Trouble::Restart, Trouble::CutOff, Trouble::Frozen];
            let trouble = troubles[model.random.random_range(0..troubles.len())];
            model.trouble(trouble, now_ms);
        }
        if model.random.random_range(0..1_000) < per_s * STEP_MS {
            let subject = Feature(100 + model.random.random_range(0..20));
            let parts = match model.random.random_range(0..20) {
                0 => vec![SYSTEM, SUBJECT, DEADLY],
                1 => vec![SYSTEM, SUBJECT],
                _ => vec![SYSTEM, subject],
            };
            model.send(&parts, now_ms, now_ms);
        }
    }
    model
}

/// Guards against crashes that go on because they are spread over many gateways, of which some restart, freeze or are
/// cut off, and against refusing sound requests with them.
#[test]
fn fleets_of_any_size_stop_a_crashing_part_and_serve_the_rest() {
    for (gateways, per_s) in [(1, 20), (6, 60), (95, 200), (300, 200)] {
        for seed in 0..6 {
            let model = play_deadly_day(gateways, per_s, seed);
            let case = format!(
                "{gateways} gateways, seed {seed}: {} crashes",
                model.crashes.len()
            );
            let late = model.late_requests;
            assert!(late <= MAX_FURTHER_REQUESTS, "{case}, {late} late requests");
            let (served, refused) = model.sound;
            assert!(
                refused * 100 <= served,
                "{case}, {refused} of {served} sound ones refused"
            );
        }
    }
}

/// Guards against refusing anybody because upstreams crash for their own reasons, whatever they are running.
#[test]
fn upstreams_that_crash_for_their_own_reasons_get_nobody_refused() {
    for seed in 0..20 {
        let mut model = Model::new(6, seed);
        for now_ms in (0..60_000).step_by(STEP_MS as usize) {
            model.advance(now_ms);
            if now_ms % 1_500 == 0 {
                // A tenth of the waiting requests is at the upstream that crashes.
                for run in &mut model.running {
                    if model.random.random_range(0..10) == 0 {
                        run.0 = now_ms;
                        run.4 = true;
                    }
                }
            }
            if model.random.random_range(0..1_000) < 60 * STEP_MS {
                let subject = Feature(100 + model.random.random_range(0..80));
                model.send(&[SYSTEM, subject], now_ms, now_ms);
            }
        }
        assert_eq!(model.sound.1, 0, "seed {seed}");
        assert!(
            model.crashes.len() > 20,
            "seed {seed}: the model crashes upstreams"
        );
    }
}

/// Guards against counts that the store has forgotten and nobody writes again, and against every router of a fleet
/// writing them again although one report is enough.
#[test]
fn forgotten_counts_are_reported_again_by_one_router() {
    let (mut first, mut second) = (CrashAttribution::default(), CrashAttribution::default());
    crash_times(&mut first, &[DEADLY], 2, 0);
    let report = first.report();
    first.record_published(&report);
    second.merge(&report, false, at(300));
    assert!(!first.needs_report() && !second.needs_report());

    first.forget_published();
    second.forget_published();

    assert!(first.needs_report() && second.needs_report());
    assert!(!second.has_urgent_report(), "the others know the crash");
    let again = second.report();
    second.record_published(&again);
    first.merge(&again, false, at(400));
    assert!(!first.needs_report() && !second.needs_report());
    assert_eq!(first.crashes(DEADLY), 2);
    crash_times(&mut first, &[DEADLY], 1, 500);
    assert!(first.has_urgent_report());
}

/// Guards against a request that is never tried because its prompt names a part twice.
#[test]
fn a_request_that_repeats_a_part_can_claim_a_trial() {
    let mut attribution = CrashAttribution::default();
    let repeated = [SUBJECT, SUBJECT, Feature(77)];
    for number in 0..3 {
        count_crash(&mut attribution, &repeated, 100, 200 + number);
    }
    let claim = attribution.claim_trial(&repeated).expect("a claim");
    attribution.merge(&claim, true, at(300));
    assert!(
        trial_in_ms(&attribution, &repeated, 310) > Some(0),
        "one at a time"
    );
    attribution.end_trial(&repeated);
    assert_eq!(trial_in_ms(&attribution, &repeated, 320), Some(0));
}

/// Time that copies of a request run before their upstream ends or responds.
const RUN_MS: u64 = 30;

/// Time from a crash until it is counted.
const JUDGEMENT_MS: u64 = 60;

/// Mean time until a report is written that is not urgent.
const REPORT_DELAY_MS: u64 = 300;

/// Time in which an upstream restarts.
const RESTART_MS: u64 = 3_000;

/// Which copies of one request end their upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Copies {
    /// Each one.
    Deadly,
    /// None; the first so many upstreams end together every five seconds for their own reasons.
    Sound { ending: usize },
}

/// A copy at an upstream: gateway, time sent, time of its end.
type RunningCopy = (usize, u64, u64);

/// A small service whose upstreams many gateways send copies of one request, with a store that orders their reports.
struct CopyModel {
    random: Pcg64Mcg,
    copies: Copies,
    gateways: Vec<CrashAttribution>,
    /// Number of reports that each gateway has read.
    read: Vec<usize>,
    /// Reports in the store, with the time at which they reach the gateways.
    reports: Vec<(u64, usize, CrashReport)>,
    upstreams: Vec<Vec<RunningCopy>>,
    down_until_ms: Vec<u64>,
    /// Crashes that are not counted yet: time due, process, gateway, time sent.
    suspects: Vec<(u64, CrashId, usize, u64)>,
    crashes: Vec<u64>,
    late_copies: usize,
    served: usize,
    refused: usize,
}

impl CopyModel {
    const COPY: [Feature; 1] = [Feature(77)];

    fn new(copies: Copies, gateways: usize, upstreams: usize, seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            copies,
            gateways: vec![CrashAttribution::default(); gateways],
            read: vec![0; gateways],
            reports: Vec::new(),
            upstreams: vec![Vec::new(); upstreams],
            down_until_ms: vec![0; upstreams],
            suspects: Vec::new(),
            crashes: Vec::new(),
            late_copies: 0,
            served: 0,
            refused: 0,
        }
    }

    fn crash(&mut self, upstream: usize, now_ms: u64) {
        let process = CrashId(now_ms * 1_000 + upstream as u64);
        for (gateway, sent_ms, _) in std::mem::take(&mut self.upstreams[upstream]) {
            let suspect = (now_ms + JUDGEMENT_MS, process, gateway, sent_ms);
            self.suspects.push(suspect);
        }
        self.down_until_ms[upstream] = now_ms + RESTART_MS;
        self.crashes.push(now_ms);
    }

    /// Ends the copies that are due, counts crashes and exchanges reports.
    fn advance(&mut self, now_ms: u64) {
        for upstream in 0..self.upstreams.len() {
            let is_due = |copy: &RunningCopy| copy.2 <= now_ms;
            let is_any_due = self.upstreams[upstream].iter().any(is_due);
            match self.copies {
                Copies::Deadly if is_any_due => self.crash(upstream, now_ms),
                Copies::Sound { ending } if upstream < ending && now_ms % 5_000 == 4_000 => {
                    self.crash(upstream, now_ms);
                }
                _ => {}
            }
            let (due, later) = self.upstreams[upstream].drain(..).partition(is_due);
            self.upstreams[upstream] = later;
            let due: Vec<RunningCopy> = due;
            for (gateway, ..) in due {
                self.served += 1;
                self.gateways[gateway].record_success(&Self::COPY, at(now_ms));
            }
        }
        let (due, later) = self
            .suspects
            .drain(..)
            .partition(|suspect| suspect.0 <= now_ms);
        self.suspects = later;
        let due: Vec<(u64, CrashId, usize, u64)> = due;
        for (_, process, gateway, sent_ms) in due {
            self.gateways[gateway].record_crash(&Self::COPY, process, sent_ms, at(now_ms));
        }
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            while let Some((due_ms, writer, report)) = self.reports.get(self.read[index]) {
                if *due_ms > now_ms {
                    break;
                }
                gateway.merge(report, *writer == index, at(now_ms));
                self.read[index] += 1;
            }
            let is_due = self.random.random_range(0..REPORT_DELAY_MS) < STEP_MS;
            if gateway.has_urgent_report() || (is_due && gateway.needs_report()) {
                let report = gateway.report();
                gateway.record_published(&report);
                self.reports.push((now_ms + REPORT_MS, index, report));
            }
        }
    }

    /// Claims a trial: the report is written only if this gateway has read all others.
    fn claim(&mut self, gateway: usize, now_ms: u64) -> bool {
        let Some(report) = self.gateways[gateway].claim_trial(&Self::COPY) else {
            return false;
        };
        if self.read[gateway] < self.reports.len() {
            return false;
        }
        self.gateways[gateway].merge(&report, true, at(now_ms));
        self.gateways[gateway].record_published(&report);
        self.reports.push((now_ms + REPORT_MS, gateway, report));
        true
    }

    fn send(&mut self, now_ms: u64) {
        let up: Vec<usize> = (0..self.upstreams.len())
            .filter(|upstream| self.down_until_ms[*upstream] <= now_ms)
            .collect();
        if up.is_empty() {
            return;
        }
        let gateway = self.random.random_range(0..self.gateways.len());
        let is_sent = match trial_in_ms(&self.gateways[gateway], &Self::COPY, now_ms) {
            None => true,
            Some(0) => self.claim(gateway, now_ms),
            Some(_) => false,
        };
        if !is_sent {
            self.refused += 1;
            return;
        }
        let third_ms = self.crashes.get(2);
        let is_late = third_ms.is_some_and(|third_ms| now_ms > third_ms + CONTACT_MS);
        self.late_copies += usize::from(is_late);
        let upstream = up[self.random.random_range(0..up.len())];
        let end_ms = now_ms + self.random.random_range(1..2 * RUN_MS);
        self.upstreams[upstream].push((gateway, now_ms, end_ms));
    }
}

fn play_copies(copies: Copies, gateways: usize, upstreams: usize, seed: u64) -> CopyModel {
    let mut model = CopyModel::new(copies, gateways, upstreams, seed);
    for now_ms in (0..30_000).step_by(STEP_MS as usize) {
        model.advance(now_ms);
        if model.random.random_range(0..1_000) < 60 * STEP_MS {
            model.send(now_ms);
        }
    }
    model
}

/// Guards against incident "copies of one request crash all upstreams of a service twice": all upstreams end before the
/// first crash is known, and copies from all gateways wait for their return.
#[test]
fn copies_that_end_all_upstreams_are_tried_one_at_a_time_when_they_return() {
    for (gateways, upstreams) in [(1, 3), (6, 3), (6, 9), (95, 3), (95, 20)] {
        for seed in 0..10 {
            let model = play_copies(Copies::Deadly, gateways, upstreams, seed);
            let case = format!("{gateways} gateways, {upstreams} upstreams, seed {seed}");
            let late = model.late_copies;
            assert!(model.crashes.len() >= 3, "{case}");
            assert!(late <= MAX_FURTHER_REQUESTS, "{case}: {late} late copies");
        }
    }
}

/// Guards against refusing copies of a sound request because the upstreams that ran them ended together.
#[test]
fn copies_of_a_sound_request_are_served_although_upstreams_end_together() {
    for (gateways, upstreams, ending) in [(6, 3, 2), (95, 3, 2), (6, 3, 3), (95, 20, 10)] {
        for seed in 0..10 {
            let model = play_copies(Copies::Sound { ending }, gateways, upstreams, seed);
            let case = format!("{gateways} gateways, {ending} of {upstreams} end, seed {seed}");
            let (served, refused) = (model.served, model.refused);
            if ending < 3 {
                assert_eq!(refused, 0, "{case}");
            }
            assert!(
                refused * 50 <= served,
                "{case}: {refused} of {served} refused"
            );
        }
    }
}
