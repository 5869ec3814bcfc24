//! Case 10: a worker that fails part of its requests has run a charge and answers 503 without `X-Not-Executed`.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_message, Message};
use crate::rig::{configuration, Draws, new_id, start_gateways, Outcome, Recorder, KEY};
use crate::store::Store;
use crate::worker::Worker;

/// Time between two charges, and the length of the traffic.
const CHARGE_INTERVAL: Duration = Duration::from_millis(12);
const TRAFFIC: Duration = Duration::from_secs(30);

/// Part of the requests of one worker of three that fail, in percent.
const FAILING_PERCENT: u64 = 45;

/// Times at which a client sends a charge again after a refusal.
const RETRIES: usize = 1;

/// Deadline of the client.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Statuses that promise that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What the workers have run: the request ids, and how often each charge was posted.
#[derive(Default)]
struct Ledger {
    ids: BTreeSet<String>,
    charges: BTreeMap<String, u64>,
}

fn post(gateway: SocketAddr, id: &str, charge: &str) -> std::io::Result<Message> {
    let mut connection = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
    connection.set_read_timeout(Some(DEADLINE))?;
    let request = format!(
        "POST /charge/{charge} HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{charge}",
        DEADLINE.as_millis(),
        charge.len()
    );
    connection.write_all(request.as_bytes())?;
    read_message(&mut BufReader::new(connection))
}

/// Plays the case.
pub fn play(record: &Arc<Recorder>, has_trouble: bool) -> Outcome {
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("keyed.op", "config", configuration().as_bytes());
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let draws = Arc::new(Draws::default());
    let mut workers = Vec::new();
    for number in 0..3 {
        let (record, ledger, draws) = (Arc::clone(record), Arc::clone(&ledger), Arc::clone(&draws));
        let id = format!("i-{number}");
        let worker = Worker::start(&store, &id, "billing", "v1", move |worker, request, stream| {
            let id = request.field("x-request-id");
            let charge = String::from_utf8_lossy(&request.body).into_owned();
            {
                let mut ledger = ledger.lock().expect("unpoisoned");
                ledger.ids.insert(id.into());
                *ledger.charges.entry(charge.clone()).or_default() += 1;
            }
            std::thread::sleep(Duration::from_millis(30));
            let draw = draws.next();
            let fails = has_trouble && number == 1 && draw % 100 < FAILING_PERCENT;
            let (status, body) = if fails { ("503 Service Unavailable", "") } else { ("200 OK", "ok") };
            record.line(&format!("worker {} ran {id} for {charge}, answers {status}", worker.id));
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Server-Signature: s.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(answer.as_bytes()).is_ok()
        });
        workers.push(worker.map_err(|error| error.to_string())?);
    }
    let gateways = start_gateways(&store, 2)?;
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let answers: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let started = Instant::now();
    let (mut clients, mut number) = (Vec::new(), 0);
    while started.elapsed() < TRAFFIC {
        let charge = format!("charge-{number}");
        let (record, answers, addresses) = (Arc::clone(record), Arc::clone(&answers), addresses.clone());
        clients.push(std::thread::spawn(move || {
            for attempt in 0..=RETRIES {
                let id = new_id();
                let gateway = addresses[(number + attempt) % addresses.len()];
                let answer = post(gateway, &id, &charge);
                let status = answer.as_ref().map_or(0, Message::status);
                record.line(&format!("client sent {id} for {charge}, attempt {attempt}: {status}"));
                answers.lock().expect("unpoisoned").push((id, status));
                if !PROMISES.contains(&status) {
                    return;
                }
                let retry_after = answer.map(|answer| answer.field("retry-after").parse().unwrap_or(0.1));
                std::thread::sleep(Duration::from_secs_f64(retry_after.unwrap_or(0.1_f64).clamp(0.0, 0.5)));
            }
        }));
        number += 1;
        std::thread::sleep((CHARGE_INTERVAL * number as u32).saturating_sub(started.elapsed()));
    }
    for client in clients {
        let _ = client.join();
    }
    let (ledger, answers) = (ledger.lock().expect("unpoisoned"), answers.lock().expect("unpoisoned"));
    let mut by_status: BTreeMap<u16, usize> = BTreeMap::new();
    for (_, status) in answers.iter() {
        *by_status.entry(*status).or_default() += 1;
    }
    let has_run = |(id, status): &&(String, u16)| PROMISES.contains(status) && ledger.ids.contains(id);
    let broken = answers.iter().filter(has_run).count();
    let doubled = ledger.charges.values().filter(|count| **count > 1).count();
    record.say(&format!("charges: {number}, answers by status: {by_status:?}"));
    record.say(&format!("requests that were answered 408, 421, 429 or 503 and had run: {broken}"));
    record.say(&format!("charges that were posted more than once, because the client trusted the answer: {doubled}"));
    Ok(broken == 0)
}
