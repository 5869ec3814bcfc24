//! Measures how the cost of the ledger grows with the number of routers, bills and grants.
//!
//! `cargo run --release --example ledger_slopes` runs the step functions of 3, 9, 50 and 520 routers in one process. It
//! prints appends, bytes and processor time for 1,000 requests, the cost of a folded bill, and the memory of a budget,
//! a grant, a retained key and a claim, each with a slope fitted by least squares.

#![allow(unreachable_pub)]

#[path = "slopes_parts/allocation.rs"]
mod allocation;
#[path = "slopes_parts/fleet.rs"]
mod fleet;

use std::time::Instant;

use monsoonfield::fleet_state::FleetState;
use monsoonfield::ids::{CustomerKey, Fingerprint, IncarnationId, RequestKey};
use monsoonfield::intent::Intents;
use monsoonfield::ledger::Ledger;
use monsoonfield::record::{split_key, Batch, Bill, Draw, Entry};
use prost::Message;

use allocation::allocated_bytes;
use fleet::{contract, open, Fleet};

const ROUTER_COUNTS: [usize; 4] = [3, 9, 50, 520];

/// Numbers of budgets, billed keys and claims whose memory is measured.
const COUNTS: [u64; 4] = [20_000, 60_000, 200_000, 1_000_000];

/// Numbers of grants on one budget; granting sums all other grants, so creating many takes quadratic time.
const GRANT_COUNTS: [u64; 4] = [9, 50, 520, 2_000];

fn main() {
    routers();
    bills();
    memory();
}

/// Prints appends, bytes and processor time for each number of routers.
fn routers() {
    println!(
        "{:>8} {:>16} {:>14} {:>14} {:>16}",
        "routers", "requests", "appends/1000", "KB/1000", "CPU ms/1000"
    );
    let mut points = Vec::new();
    for count in ROUTER_COUNTS {
        let cost = Fleet::new(count).run();
        let thousands = cost.requests as f64 / 1_000.0;
        let appends = cost.appends as f64 / thousands;
        let cpu_ms = cost.step_ns as f64 / 1e6 / thousands;
        println!(
            "{count:>8} {:>16} {appends:>14.1} {:>14.2} {cpu_ms:>16.3}",
            cost.requests,
            cost.bytes as f64 / 1_024.0 / thousands
        );
        points.push((count as f64, cpu_ms));
    }
    println!(
        "slope: {:.5} ms CPU per 1,000 requests and router\n",
        slope(&points)
    );
}

/// Prints bytes and time for folded bills.
fn bills() {
    println!("{:>8} {:>14} {:>14}", "bills", "bytes/bill", "ns/bill");
    let mut points = Vec::new();
    for count in [10_000, 50_000, 100_000, 200_000_u64] {
        let mut state = FleetState::default();
        let writer = IncarnationId(1);
        let mut seq = 1;
        state.apply(
            0,
            &Batch::new(
                writer,
                seq,
                [open(), contract("c-0"), fleet::grant("c-0", u64::MAX)],
            ),
        );
        let payloads: Vec<Vec<u8>> = (0..count / 100)
            .map(|batch| {
                seq += 1;
                let bills = (0..100).map(|n| Entry::Bill(bill(batch * 100 + n)));
                Batch::new(writer, seq, bills).encode_to_vec()
            })
            .collect();
        let bytes: usize = payloads.iter().map(Vec::len).sum();
        let start = Instant::now();
        for (offset, payload) in payloads.iter().enumerate() {
            state.apply_payload(offset as u64 + 1, payload);
        }
        let elapsed_ns = start.elapsed().as_nanos() as f64;
        println!(
            "{count:>8} {:>14.1} {:>14.1}",
            bytes as f64 / count as f64,
            elapsed_ns / count as f64
        );
        points.push((count as f64, elapsed_ns));
    }
    println!("slope: {:.1} ns per folded bill\n", slope(&points));
}

fn bill(number: u64) -> Bill {
    let key = RequestKey::derive("c-0", &number.to_string());
    let (key_high, key_low) = split_key(key);
    Bill {
        key_high,
        key_low,
        customer: "c-0".into(),
        draws: vec![Draw {
            grant: 1,
            amount_tokens: 1,
        }],
        fingerprint: number,
    }
}

/// Prints the allocated bytes of budgets, grants, billed keys and claims.
fn memory() {
    println!("{:>14} {:>9} {:>14}", "kind", "count", "bytes each");
    let budgets = |count: u64| {
        let mut ledger = Ledger::default();
        for customer in 0..count {
            ledger.set_prepaid(CustomerKey(customer as u32), 1);
        }
        ledger
    };
    let grants = |count: u64| {
        let mut ledger = Ledger::default();
        ledger.set_prepaid(CustomerKey(0), u64::MAX);
        for id in 0..count {
            ledger.grant(CustomerKey(0), IncarnationId(id), 1);
        }
        ledger
    };
    let keys = |count: u64| {
        let billed = (0..count).map(|n| (RequestKey(u128::from(n) << 64 | 1), Fingerprint(n)));
        Ledger::from_parts([], billed)
    };
    let claims = |count: u64| {
        let mut intents = Intents::default();
        for n in 0..count {
            let key = RequestKey(u128::from(n) << 64 | 1);
            intents.claim(key, IncarnationId(1), Fingerprint(n), |_| true);
        }
        intents
    };
    print_memory("budget", COUNTS, budgets);
    print_memory("grant", GRANT_COUNTS, grants);
    print_memory("billed key", COUNTS, keys);
    print_memory("claim", COUNTS, claims);
}

fn print_memory<T>(kind: &str, counts: [u64; 4], build: impl Fn(u64) -> T) {
    let mut points = Vec::new();
    for count in counts {
        let before = allocated_bytes();
        let value = build(count);
        let bytes = (allocated_bytes() - before) as f64;
        drop(value);
        println!("{kind:>14} {count:>9} {:>14.1}", bytes / count as f64);
        points.push((count as f64, bytes));
    }
    println!("slope: {:.1} bytes per {kind}\n", slope(&points));
}

/// Returns the slope of the least-squares line through the points.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    covariance / variance
}
