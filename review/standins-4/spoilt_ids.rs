//! Cases 13 and 14: a worker spoils one digit in a few of its streams, of the id of an event or of the stated length.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use crate::client::Client;
use crate::deployment::{
    any_ports, configuration, entry, printable, Gateway, Message, Record, Store,
};
use crate::worker::{proof, Worker};

/// What a worker in trouble spoils.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Spoilt {
    /// The fourth event says that its id is 9.
    Id,
    /// The head says 160 bytes in place of 168, so that the body ends inside the last event.
    Length,
}

/// Streams of each client.
const STREAMS: u64 = 160;

/// Clients of each kind of stream; each keeps its connection.
const CLIENTS: u64 = 4;

/// Id of each request that a worker ran, the body that it answered, and whether that is spoilt.
type Bodies = Mutex<Vec<(String, Vec<u8>, bool)>>;

/// One in so many streams of the worker in trouble is spoilt: 2 in 100.
const SPOILT_EACH: u64 = 50;

/// Time that a worker takes for a request, so that requests spread over both.
const WORK: Duration = Duration::from_millis(12);

/// Events of a stream.
const EVENTS: u64 = 8;

/// Time for which a client waits for the next byte; the requests state the same deadline.
const PATIENCE: Duration = Duration::from_millis(3_000);

/// Encodes the events after `last`, of which the one with the id 4 says 9 if ids are spoilt.
fn events(last: u64, spoilt: Option<Spoilt>) -> Vec<String> {
    let ids = last + 1..=EVENTS;
    let event = |id: u64| match id {
        4 if spoilt == Some(Spoilt::Id) => "id: 9\ndata: piece 4\n\n".to_owned(),
        id => format!("id: {id}\ndata: piece {id}\n\n"),
    };
    ids.map(event).collect()
}

/// Encodes a stream, with a length on paths that end with `l` and in chunks on others; returns it and its body.
fn answer(request: &Message, spoilt: Option<Spoilt>) -> (Vec<u8>, Vec<u8>) {
    let last = request
        .field("last-event-id")
        .and_then(|id| id.parse().ok());
    let events = events(last.unwrap_or(0), spoilt);
    let body = events.concat();
    let path = request.start.split(' ').nth(1).unwrap_or_default();
    let (framing, framed) = if path.ends_with('l') {
        let length = match spoilt {
            Some(Spoilt::Length) => body.len() / 10 * 10,
            _ => body.len(),
        };
        (format!("Content-Length: {length}"), body.clone())
    } else {
        let chunk = |event: &String| format!("{:x}\r\n{event}\r\n", event.len());
        let chunks: String = events.iter().map(chunk).collect();
        (
            "Transfer-Encoding: chunked".to_owned(),
            chunks + "0\r\n\r\n",
        )
    };
    let proof = proof(request);
    let head =
        format!("HTTP/1.1 200 OK\r\n{proof}Content-Type: text/event-stream\r\n{framing}\r\n\r\n");
    ((head + &framed).into_bytes(), body.into_bytes())
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool, kind: Spoilt) -> Option<bool> {
    let store = Store::start().ok()?;
    store.put(
        "keyed.op",
        "config",
        &configuration(1, 1_000_000_000, 3_000),
    );
    let bodies: Arc<Bodies> = Arc::default();
    let served: Arc<[AtomicU64; 2]> = Arc::default();
    // One of the two workers: the one that is sent so many requests first. At times nearly all go to one of them.
    let in_trouble: Arc<OnceLock<usize>> = Arc::default();
    for index in 0..2 {
        let (bodies, served) = (Arc::clone(&bodies), Arc::clone(&served));
        let in_trouble = Arc::clone(&in_trouble);
        let script = move |request: &Message| {
            let number = served[index].fetch_add(1, Ordering::SeqCst) + 1;
            if number == SPOILT_EACH / 2 {
                let _ = in_trouble.set(index);
            }
            let is_in_trouble = has_trouble && in_trouble.get() == Some(&index);
            let is_spoilt = is_in_trouble && number % SPOILT_EACH == 0;
            std::thread::sleep(WORK);
            let (bytes, body) = answer(request, is_spoilt.then_some(kind));
            let id = request.field("x-request-id").unwrap_or_default().to_owned();
            bodies.lock().unwrap().push((id, body, is_spoilt));
            (bytes, false)
        };
        let worker = Worker::start(script).ok()?;
        let id = format!("i-{index}");
        store.put(
            "keyed.servers",
            &id,
            &entry("quota-llm", worker.address, 64, 1, 1_000),
        );
        record.line(format!("worker {id} at {}", worker.address));
    }
    let mut gateway = Gateway::start(folder, "edge-1", &store, any_ports())?;
    record.line(format!(
        "gateway, process {}, serves callers at {}",
        gateway.id(),
        gateway.callers
    ));
    // `statement` may not be resumed, `chat` may; the last letter says how the worker frames its answer.
    let kinds: &[_] = match kind {
        Spoilt::Id => &[
            ("statement", "c"),
            ("statement", "l"),
            ("chat", "c"),
            ("chat", "l"),
        ],
        Spoilt::Length => &[("statement", "l"), ("chat", "l")],
    };
    let clients = kinds
        .iter()
        .flat_map(|kind| (0..CLIENTS).map(move |client| (*kind, client)));
    let clients = clients.map(|((route, framing), client)| {
        let (record, bodies, callers) = (record.clone(), Arc::clone(&bodies), gateway.callers);
        let prefix = format!("{route}-{framing}-{client}");
        std::thread::spawn(move || send_streams(&record, &bodies, callers, &prefix))
    });
    let clients: Vec<_> = clients.collect();
    let mut broken = 0;
    for client in clients {
        broken += client.join().ok()??;
    }
    let count = |is_wanted: &dyn Fn(&(String, Vec<u8>, bool)) -> bool| {
        bodies
            .lock()
            .unwrap()
            .iter()
            .filter(|run| is_wanted(run))
            .count()
    };
    record.line(format!(
        "workers ran {} requests and spoilt {} answers; worker {} was in trouble",
        count(&|_| true),
        count(&|(.., is_spoilt)| *is_spoilt),
        in_trouble
            .get()
            .map_or_else(|| "none".to_owned(), |index| format!("i-{index}"))
    ));
    record.line(format!(
        "successes with a body that is not the worker's whole body: {broken}"
    ));
    if gateway.has_ended() {
        record.line("the gateway has ended by itself");
        return Some(true);
    }
    Some(broken > 0)
}

/// Sends the streams of one client; returns how many successes had a body that is not the worker's whole body.
fn send_streams(
    record: &Record,
    bodies: &Bodies,
    callers: SocketAddr,
    prefix: &str,
) -> Option<u32> {
    let mut broken = 0;
    let (route, framing) = prefix.split_once('-')?;
    let framing = framing.get(..1)?;
    let mut client = Client::connect(callers, PATIENCE).ok()?;
    for number in 0..STREAMS {
        let id = format!("{prefix}-{number}");
        let path = format!("/{route}/{number}{framing}");
        let fields = "X-Model: m\r\nX-Token-Count: 10,60\r\nX-Deadline-Ms: 3000\r\n";
        let sent = client.send("POST", &path, &id, fields, id.as_bytes());
        let received = sent.ok().and_then(|()| client.receive());
        let Some((answer, is_complete)) = received else {
            record.line(format!("{id}: no answer"));
            client = Client::connect(callers, PATIENCE).ok()?;
            continue;
        };
        let bodies = bodies.lock().unwrap();
        let Some((_, whole, is_spoilt)) = bodies.iter().rev().find(|(ran, ..)| *ran == id) else {
            record.line(format!(
                "{id}: status {}, no worker ran it",
                answer.status()
            ));
            continue;
        };
        let is_whole = answer.status() == 200 && is_complete && answer.body == *whole;
        if is_whole {
            continue;
        }
        record.line(format!(
            "{id}: the worker sent a complete answer{} with the body \"{}\"",
            if *is_spoilt {
                ", spoilt in one byte,"
            } else {
                ""
            },
            printable(whole)
        ));
        let is_success = answer.status() / 100 == 2;
        let verdict = match (is_success, is_complete) {
            (true, true) => "MIXED, ORDER: success, complete, without pieces that the worker sent",
            (true, false) => "the answer stops before its stated length on an open connection",
            (false, _) => "a failure, which the rules allow",
        };
        record.line(format!(
            "{id}: the client got status {}, complete: {is_complete}, {} of {} bytes, \"{}\": {verdict}",
            answer.status(),
            answer.body.len(),
            whole.len(),
            printable(&answer.body)
        ));
        broken += u32::from(is_success && is_complete);
        if !is_complete {
            drop(bodies);
            client = Client::connect(callers, PATIENCE).ok()?;
        }
    }
    Some(broken)
}
