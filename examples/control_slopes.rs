//! Measures how the control traffic of a router grows with the fleet, and how snapshots grow with the state.
//!
//! All routers of a fleet run on one thread and the platform stub on another, so the CPU time of the first divided by
//! the number of routers is the control work of one router. Bytes are those of frames, request bodies and response
//! bodies plus [`HEAD_BYTES`] per HTTP message; TCP and IP headers are not counted.
//!
//! ```text
//! cargo run --release --example control_slopes -- --seconds 10
//! ```

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::{value_parser, Arg, Command};
use futures_util::future::LocalBoxFuture;
use monoio::net::TcpListener;
use monsoonfield::contract::Contract;
use monsoonfield::fleet::{Fleet, FleetBuilder};
use monsoonfield::ids::{IncarnationId, Offset};
use monsoonfield::log_client::{Error, LogClient, LogService, Page, FLEET_STREAM};
use monsoonfield::record::{
    Batch, Bill, ConfigurationEntry, ContractEntry, Draw, Entry, Grant, Open,
};
use monsoonfield::settings::{Limits, Listen, PlatformAddresses, Settings, Timing};
use monsoonfield::{snapshot, FleetState};
use prost::Message;

#[path = "../tests/common/platform_stub.rs"]
mod platform_stub;

/// Assumed size of the head of an HTTP message to or from the log, in bytes; a platform adds its own headers.
const HEAD_BYTES: u64 = 200;

/// Numbers of routers of the measured fleets.
const ROUTERS: [usize; 4] = [3, 9, 27, 81];

/// Time limit for all routers of a fleet to be connected.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// Size of each published configuration, in bytes.
const CONFIGURATION_BYTES: usize = 10_000;

/// Log client that counts the bytes exchanged with the log.
struct CountingLog {
    client: LogClient,
    bytes: Rc<Cell<u64>>,
}

impl LogService for CountingLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        payload: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, Error>> {
        Box::pin(async move {
            let bytes = payload.len() as u64 + 2 * HEAD_BYTES;
            self.bytes.set(self.bytes.get() + bytes);
            self.client.append(stream, payload).await
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        max_records: u32,
        wait_ms: u64,
    ) -> LocalBoxFuture<'a, Result<Page, Error>> {
        Box::pin(async move {
            let page = self.client.read(stream, from, max_records, wait_ms).await?;
            // Base64 adds a third to the payload; the offset and the names of the fields take about 30 bytes.
            let records = page
                .records
                .iter()
                .map(|record| 30 + record.payload.len() as u64 * 4 / 3);
            let bytes = records.sum::<u64>() + 40 + 2 * HEAD_BYTES;
            self.bytes.set(self.bytes.get() + bytes);
            Ok(page)
        })
    }
}

fn main() {
    let matches = Command::new("control_slopes")
        .about("Control traffic against the size of the fleet; snapshots against the size of the state")
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Length of each measurement")
                .value_parser(value_parser!(u64))
                .default_value("10"),
        )
        .get_matches();
    let seconds = matches.get_one("seconds").copied().unwrap_or(10);
    run(measure_fleets(Duration::from_secs(seconds)));
    measure_snapshots();
}

fn run<T>(task: impl std::future::Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime starts")
        .block_on(task)
}

/// Control load during a measurement.
#[derive(Clone, Copy)]
enum Load {
    Idle,
    Configurations,
    Bills,
}

impl Load {
    fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Configurations => "1 configuration/s of 10 kB",
            Self::Bills => "100 bills/s in the fleet",
        }
    }
}

/// Measured control traffic of one router, in bytes per second, and its CPU use.
#[derive(Clone, Copy, Default)]
struct Sample {
    peer_bytes: f64,
    log_bytes: f64,
    cpu_percent: f64,
}

async fn measure_fleets(length: Duration) {
    println!("control traffic of one router, default intervals, {length:?} each");
    println!(
        "{:<28} {:>7} {:>14} {:>14} {:>10}",
        "load", "routers", "peers byte/s", "log byte/s", "CPU %"
    );
    for load in [Load::Idle, Load::Configurations, Load::Bills] {
        let mut samples = Vec::new();
        for routers in ROUTERS {
            let sample = measure_fleet(routers, load, length).await;
            println!(
                "{:<28} {:>7} {:>14.0} {:>14.0} {:>10.3}",
                load.name(),
                routers,
                sample.peer_bytes,
                sample.log_bytes,
                sample.cpu_percent
            );
            samples.push((routers as f64, sample));
        }
        let fit_of = |value: fn(&Sample) -> f64| {
            let points: Vec<_> = samples.iter().map(|(n, s)| (*n, value(s))).collect();
            let (base, slope) = fit(&points);
            format!("{base:.2} + {slope:.3} n")
        };
        println!(
            "  fit: peers {} byte/s; log {} byte/s; CPU {} %",
            fit_of(|sample| sample.peer_bytes),
            fit_of(|sample| sample.log_bytes),
            fit_of(|sample| sample.cpu_percent),
        );
    }
}

async fn measure_fleet(routers: usize, load: Load, length: Duration) -> Sample {
    let platform = start_platform();
    let log_bytes = Rc::new(Cell::new(0));
    let fleets: Vec<_> = (0..routers)
        .map(|number| start_router(&platform, number, &log_bytes))
        .collect();
    let started = Instant::now();
    while !fleets
        .iter()
        .all(|fleet| fleet.has_state() && fleet.peers().len() == routers - 1)
    {
        assert!(
            started.elapsed() < SETTLE_LIMIT,
            "the routers are not connected within the limit"
        );
        monoio::time::sleep(Duration::from_millis(50)).await;
    }
    publish(&platform, 1, contract("tapak", 1 << 40)).await;
    for fleet in &fleets {
        let grant = Entry::Grant(Grant {
            customer: "tapak".into(),
            up_to_tokens: 1 << 30,
        });
        fleet.write(grant).expect("the queue has room");
    }
    monoio::time::sleep(Duration::from_secs(2)).await;

    let peer_bytes = |fleets: &[Fleet]| -> u64 {
        fleets
            .iter()
            .map(|fleet| fleet.traffic().sent_bytes + fleet.traffic().received_bytes)
            .sum()
    };
    let before = (peer_bytes(&fleets), log_bytes.get(), thread_cpu());
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < length {
        match load {
            Load::Idle => monoio::time::sleep(Duration::from_millis(500)).await,
            Load::Configurations => {
                publish(&platform, 100 + number, configuration(number + 1)).await;
                monoio::time::sleep(Duration::from_secs(1)).await;
            }
            Load::Bills => {
                let fleet = &fleets[number as usize % routers];
                fleet
                    .write(bill(fleet.incarnation(), number))
                    .expect("the queue has room");
                monoio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        number += 1;
    }
    let seconds = started.elapsed().as_secs_f64();
    let per_router = |total: u64| total as f64 / seconds / routers as f64;
    let cpu = (thread_cpu() - before.2).as_secs_f64();
    let sample = Sample {
        peer_bytes: per_router(peer_bytes(&fleets) - before.0),
        log_bytes: per_router(log_bytes.get() - before.1),
        cpu_percent: 100.0 * cpu / seconds / routers as f64,
    };
    for fleet in fleets {
        fleet.abort();
    }
    sample
}

fn start_platform() -> String {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        run(async move {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let address = listener.local_addr().expect("bound").to_string();
            sender.send(address).expect("the main thread waits");
            platform_stub::serve(listener, platform_stub::Options::default()).await;
        });
    });
    receiver.recv().expect("the stub starts")
}

fn start_router(platform: &str, number: usize, log_bytes: &Rc<Cell<u64>>) -> Fleet {
    let vm = format!("vm-{number}");
    let settings = Settings {
        vm: vm.as_str().into(),
        data_centre: "dc-1".into(),
        listen: Listen {
            callers: "127.0.0.1:0".into(),
            admin: "127.0.0.1:0".into(),
            peers: "127.0.0.1:0".into(),
        },
        platform: PlatformAddresses {
            log: platform.into(),
            vm_list: platform.into(),
            weight_store: platform.into(),
        },
        limits: Limits::default(),
        timing: Timing::default(),
    };
    let log = CountingLog {
        client: LogClient::new(platform, &vm, Duration::from_secs(2)),
        bytes: log_bytes.clone(),
    };
    FleetBuilder::new(&settings)
        .log(Rc::new(log))
        .start()
        .expect("the listener opens")
}

async fn publish(platform: &str, incarnation: u64, entry: Entry) {
    let log = LogClient::new(platform, "operator", Duration::from_secs(5));
    let batch = Batch::new(IncarnationId(incarnation), 1, [entry]);
    log.append(FLEET_STREAM, batch.encode_to_vec().into())
        .await
        .expect("the stub accepts the record");
}

fn contract(customer: &str, total_tokens: u64) -> Entry {
    let body = serde_json::json!({
        "customer": customer,
        "api_key_sha256": ["0".repeat(64)],
        "prepaid_total_tokens": total_tokens,
        "priority": "normal",
        "response_time_limit_ms": 30_000,
        "models": [{ "model": "large" }],
    });
    Contract::from_json(body.to_string().as_bytes()).expect("the contract is valid");
    Entry::Contract(ContractEntry {
        customer: customer.into(),
        revision: 1,
        replaces: 0,
        body_json: body.to_string().into_bytes(),
    })
}

fn configuration(revision: u64) -> Entry {
    let mut body = br#"{"models":[],"services":[],"upstreams":[]}"#.to_vec();
    body.resize(CONFIGURATION_BYTES, b' ');
    Entry::Configuration(ConfigurationEntry {
        revision,
        replaces: revision - 1,
        body_json: body,
    })
}

fn bill(writer: IncarnationId, number: u64) -> Entry {
    Entry::Bill(Bill {
        key_high: 7,
        key_low: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        customer: "tapak".into(),
        draws: vec![Draw {
            grant: writer.0,
            amount_tokens: 100,
        }],
        fingerprint: number,
    })
}

/// Returns the CPU time of the current thread.
fn thread_cpu() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is valid for the call, and the clock id exists on Linux.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) };
    assert_eq!(result, 0, "the thread's clock can be read");
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Fits `base + slope * x` by least squares.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (mean_y - slope * mean_x, slope)
}

fn measure_snapshots() {
    println!("\nsnapshots; each budget has a contract and 9 grants");
    println!(
        "{:>9} {:>9} {:>12} {:>8} {:>12} {:>12}",
        "budgets", "keys", "bytes", "chunks", "encode ms", "restore ms"
    );
    let by_budgets = [1_000, 10_000, 30_000, 60_000].map(|budgets| (budgets, 0));
    let by_keys = [100_000, 300_000, 1_000_000].map(|keys| (1_000, keys));
    let mut rows = Vec::new();
    for (budgets, keys) in by_budgets.into_iter().chain(by_keys) {
        let state = state(budgets, keys);
        let started = Instant::now();
        let bytes = snapshot::encode(&state);
        let encode_ms = started.elapsed().as_secs_f64() * 1e3;
        let started = Instant::now();
        let restored = snapshot::decode(&bytes).expect("the snapshot is complete");
        let restore_ms = started.elapsed().as_secs_f64() * 1e3;
        assert_eq!(restored.next_offset, state.next_offset);
        println!(
            "{budgets:>9} {keys:>9} {:>12} {:>8} {encode_ms:>12.1} {restore_ms:>12.1}",
            bytes.len(),
            snapshot::chunks(&state).len()
        );
        rows.push((
            budgets as f64,
            keys as f64,
            bytes.len() as f64,
            encode_ms,
            restore_ms,
        ));
    }
    type Row = (f64, f64, f64, f64, f64);
    let slopes = |name: &str, rows: &[Row], x: fn(&Row) -> f64| {
        let fit_of =
            |y: fn(&Row) -> f64| fit(&rows.iter().map(|r| (x(r), y(r))).collect::<Vec<_>>()).1;
        println!(
            "  for each {name}: {:.1} bytes, {:.3} µs to encode, {:.3} µs to restore",
            fit_of(|row| row.2),
            fit_of(|row| row.3) * 1e3,
            fit_of(|row| row.4) * 1e3
        );
    };
    slopes("budget", &rows[..4], |row| row.0);
    let keys: Vec<_> = [rows[0]].iter().chain(&rows[4..]).copied().collect();
    slopes("retained key", &keys, |row| row.1);
}

fn state(budgets: u64, keys: u64) -> FleetState {
    const HOLDERS: u64 = 9;
    const PER_BATCH: usize = 500;
    let mut state = FleetState::default();
    let mut seq = 0;
    let mut write = |writer: u64, seq: u64, entries: Vec<Entry>| {
        let batch = Batch::new(IncarnationId(writer), seq, entries);
        let offset = state.next_offset;
        state.apply(offset, &batch);
    };
    for holder in 1..=HOLDERS {
        let open = Entry::Open(Open {
            vm: format!("vm-{holder}"),
            data_centre: "dc-1".into(),
            address: "10.0.0.1:7000".into(),
        });
        write(holder, 1, vec![open]);
    }
    let customers: Vec<_> = (0..budgets).map(|n| format!("customer-{n:06}")).collect();
    for (number, customer) in customers.iter().enumerate() {
        write(1_000 + number as u64, 1, vec![contract(customer, 1 << 40)]);
    }
    for holder in 1..=HOLDERS {
        for (number, part) in customers.chunks(PER_BATCH).enumerate() {
            let grants = part.iter().map(|customer| {
                Entry::Grant(Grant {
                    customer: customer.clone(),
                    up_to_tokens: 1 << 30,
                })
            });
            write(holder, 2 + number as u64, grants.collect());
            seq = 2 + number as u64;
        }
    }
    let numbers: Vec<_> = (0..keys).collect();
    for part in numbers.chunks(PER_BATCH) {
        seq += 1;
        let bills = part
            .iter()
            .map(|number| match bill(IncarnationId(1), *number) {
                Entry::Bill(bill) => Entry::Bill(Bill {
                    customer: customers[*number as usize % customers.len()].clone(),
                    ..bill
                }),
                other => other,
            });
        write(1, seq, bills.collect());
    }
    state
}
