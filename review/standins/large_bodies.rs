//! Many callers send large bodies at once, to a worker that reads slowly.

use std::io::Read;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{connect, exchange, Ending};
use crate::config::{document, Route, Service, Tenant, HOST};
use crate::fleet::{Gateway, Machine, Platform};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use crate::Verdict;

/// Size of a body; the configuration allows 4,194,304 bytes.
const BODY_BYTES: usize = 4_000_000;

/// Rate at which a worker reads a body.
const READ_BYTES_PER_STEP: usize = 100_000;
const READ_STEP: Duration = Duration::from_millis(50);

/// Callers of one machine, and their number in a burst of 2.5 times the usual.
const USUAL: u64 = 12;
const BURST: u64 = 30;

const BURST_FROM: Duration = Duration::from_secs(6);
const BURST_PAUSE: Duration = Duration::from_millis(100);
const RUN: Duration = Duration::from_secs(16);

/// Requests that may be closed without an answer at any time.
const ALLOWED: usize = 3;

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let routes = [Route {
        name: "book-pickup",
        path_prefix: "/book/",
        kind: "non_idempotent",
        service: "desk",
        timeout_ms: 10_000,
        max_attempts: 1,
        resumable: false,
    }];
    let tenant = Tenant::new("hule930", 500_000_000);
    let services = [Service { name: "desk", max_conns: 110, stride: None }];
    store.put("keyed.op", "config", &document(1, &routes, &services, &[tenant.clone()]));
    let arrived: Arc<Mutex<Vec<String>>> = Arc::default();
    for number in 1..=3 {
        let (arrived, record) = (Arc::clone(&arrived), record.clone());
        let worker = Worker::start(&format!("i-{number}"), move |exchange| {
            let id = exchange.request.id().to_owned();
            record.write(&format!("worker i-{number}: {id} reaches it"));
            arrived.lock().unwrap().push(id.clone());
            let length = exchange.request.field("content-length").and_then(|text| text.parse().ok());
            let mut left: usize = length.unwrap_or(0);
            let mut buffer = vec![0; READ_BYTES_PER_STEP];
            while left > 0 {
                let count = left.min(READ_BYTES_PER_STEP);
                if exchange.reader.read_exact(&mut buffer[..count]).is_err() {
                    record.write(&format!("worker i-{number}: {id} breaks off with {left} bytes to come"));
                    return false;
                }
                left -= count;
                std::thread::sleep(READ_STEP);
            }
            record.write(&format!("worker i-{number}: runs {id}"));
            exchange.answer(200, b"booked")
        });
        worker.register(&store, "desk", "kv-a", 32);
    }
    let machine = Machine { memory_mb: 110, cpu_share: 0.25 };
    let gateway = Gateway::prepare(folder, record, &store, ("kv-a", 1), machine);
    let platform = Arc::new(Platform { zones: vec![vec![Arc::clone(&gateway)]] });
    if !platform.start() {
        return Verdict::Unable("the gateway does not become ready".into());
    }
    let (kills, peak_mb) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
    gateway.limit_memory(Arc::clone(&kills), Arc::clone(&peak_mb));
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let count = if has_trouble { BURST } else { USUAL };
    let mut clients = Vec::new();
    for client in 0..count {
        let (platform, is_over, served) = (Arc::clone(&platform), Arc::clone(&is_over), Arc::clone(&served));
        let (lost, arrived, record) = (Arc::clone(&lost), Arc::clone(&arrived), record.clone());
        let key = tenant.key.clone();
        clients.push(std::thread::spawn(move || {
            if client >= USUAL {
                // The callers of the burst come one after the other, so that they do not fill a link.
                let from = BURST_FROM + BURST_PAUSE * (client - USUAL) as u32;
                std::thread::sleep(from.saturating_sub(record.now()));
            }
            let body = vec![b'x'; BODY_BYTES];
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                let gateway = platform.forward(0, client);
                let Ok(mut stream) = connect(&gateway.front) else {
                    std::thread::sleep(Duration::from_millis(200));
                    continue;
                };
                let mut answers = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("c{client:02}-{number}");
                    let head = format!(
                        "POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 10000\r\n\
                         Authorization: Bearer {key}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
                    );
                    record.write(&format!("client: {id} sent to {}", gateway.node));
                    let sent = Instant::now();
                    let ending = exchange(&mut stream, &[head.as_bytes(), &body].concat());
                    let took_ms = sent.elapsed().as_millis();
                    match ending {
                        Ending::Answer(answer) => {
                            record.write(&format!("client: {id} answer {} after {took_ms} ms", answer.status()));
                            answers += 1;
                            served.fetch_add(u64::from(answer.status() == 200), Ordering::SeqCst);
                            if answer.closes() {
                                break;
                            }
                        }
                        Ending::Cut(_) | Ending::NoAnswer(_) => {
                            let was_passed_on = arrived.lock().unwrap().contains(&id);
                            let note = if was_passed_on { ", had been passed on" } else { "" };
                            record.write(&format!(
                                "client: {id} no answer after {took_ms} ms{note}; {answers} answers before on the connection"
                            ));
                            // Judged are kept connections: those that have carried a request before.
                            if was_passed_on && answers > 0 {
                                lost.lock().unwrap().push(id);
                            }
                            break;
                        }
                    }
                }
            }
        }));
    }
    std::thread::sleep(RUN.saturating_sub(record.now()));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    platform.stop();
    let (served, kills) = (served.load(Ordering::SeqCst), kills.load(Ordering::SeqCst));
    let lost = lost.lock().unwrap();
    record.say(&format!(
        "{served} requests were served; peak memory {} MB of {} MB; {kills} kills for memory; {} requests of kept \
         connections were passed on to a sound worker and closed without an answer",
        peak_mb.load(Ordering::SeqCst),
        machine.memory_mb,
        lost.len()
    ));
    if served == 0 {
        return Verdict::Unable("no request was served".into());
    }
    if lost.len() > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
