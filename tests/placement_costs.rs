//! Choice of upstreams by expected cost.

mod placement_model;

use placement_model::{run, Class, Site};

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

#[test]
fn figures() {
    for (loss, age) in [(0.0, 0), (0.3, 0), (0.0, 600), (0.3, 600), (1.0, 0)] {
        for seed in 1..=2 {
            for states in [false, true] {
                let summary = run(&site(states, loss, age), 15_000, seed);
                println!(
                    "loss {loss} age {age} seed {seed} {states}: {summary:?} {:.2}%",
                    summary.late_percent()
                );
            }
        }
    }
}
