//! Choice of upstreams by expected cost.

mod placement_model;

use placement_model::{run, Class, Site, Summary};

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

/// Scenario: gateways place a mix of prompts at engines of which a seventh is slow at a time, with and without lost
/// notices and with figures that are old when they are sent. Guards against first bytes that come too late because the
/// choice does not see slow engines, and against prefilling more prompts again for it.
#[test]
fn stated_speeds_make_fewer_first_bytes_late() {
    for (loss, figure_age_ms, max_ratio) in [(0.0, 0, 0.4), (0.3, 0, 0.6), (0.0, 200, 0.6)] {
        let late = |played: &[Summary]| played.iter().map(Summary::late_percent).sum::<f64>();
        let tokens =
            |played: &[Summary]| played.iter().map(|one| one.prefilled_tokens).sum::<f64>();
        let (usual, by_cost) = (
            play(false, loss, figure_age_ms),
            play(true, loss, figure_age_ms),
        );
        println!("loss {loss} age {figure_age_ms}: usual {usual:?}, by cost {by_cost:?}");
        assert!(late(&by_cost) < max_ratio * late(&usual));
        assert!(tokens(&by_cost) < 1.06 * tokens(&usual));
    }
}
