//! Compares ways to place a team's spending rights in fleets of different sizes, without network.
//!
//! `cargo run --release --example rights_experiment -- --seed N --teams 10` plays one team after the other and prints a
//! table for each scenario: requests refused although the team could pay, tokens stranded at the end, overspent tokens,
//! messages and calls to the store for each request, and the mean wait for rights.

use clap::{value_parser, Arg, Command};

mod fleet;

use fleet::{Fault, Fleet, Scenario, Totals, Way};

/// Sizes of fleets.
const SIZES: [usize; 5] = [9, 61, 95, 300, 520];

/// Ways that are compared.
const WAYS: [(&str, Way); 7] = [
    ("each router holds rights, transfers", Way::EachRouter),
    ("one holder", Way::Holders(1)),
    ("two holders", Way::Holders(2)),
    ("three holders", Way::Holders(3)),
    ("five holders", Way::Holders(5)),
    ("one writer through the store's groups", Way::GroupWriter),
    (
        "requests handed over whole, two holders",
        Way::WholeRequests,
    ),
];

/// Scenarios; times in milliseconds from the start of the traffic.
const SCENARIOS: [(&str, Scenario); 5] = [
    ("calm", Scenario { faults: &[] }),
    (
        "the store is away from 10 to 19 s",
        Scenario {
            faults: &[Fault::StoreAway {
                from_ms: 10_000,
                to_ms: 19_000,
            }],
        },
    ),
    (
        "a tenth of the routers, the first holder among them, is killed at 10 s, another tenth is frozen from 20 to 25 s",
        Scenario {
            faults: &[
                Fault::Kill {
                    at_ms: 10_000,
                    percent: 10,
                },
                Fault::Freeze {
                    from_ms: 20_000,
                    to_ms: 25_000,
                    percent: 10,
                },
            ],
        },
    ),
    (
        "a data centre is cut off from the others and the store from 10 to 19 s",
        Scenario {
            faults: &[Fault::DataCentreCut {
                from_ms: 10_000,
                to_ms: 19_000,
            }],
        },
    ),
    (
        "the store is away from 10 to 19 s, all lose power at 30 s",
        Scenario {
            faults: &[
                Fault::StoreAway {
                    from_ms: 10_000,
                    to_ms: 19_000,
                },
                Fault::Kill {
                    at_ms: 30_000,
                    percent: 100,
                },
            ],
        },
    ),
];

fn main() {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
    };
    let matches = Command::new("rights_experiment")
        .arg(number("seed", "1"))
        .arg(number("teams", "10"))
        .get_matches();
    let value = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    for (title, scenario) in &SCENARIOS {
        println!("\n{title}\n");
        println!("| way | routers | refused % | stranded % | overspent | messages | store calls | wait ms |");
        println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (name, way) in WAYS {
            for routers in SIZES {
                let mut totals = Totals::default();
                for team in 0..value("teams") {
                    let fleet = Fleet::new(routers, way, *scenario, value("seed") + team * 1_000);
                    totals.add(&fleet.play());
                }
                println!("| {name} | {routers} | {totals} |");
            }
        }
    }
}
