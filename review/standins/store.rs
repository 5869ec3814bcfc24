//! Stand-in of the platform's store: a log with keyed topics, conditional appends and held reads.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{read_message, Message};

/// Time that the store takes for an answer, as the sheets state it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Partition = Vec<(String, Vec<u8>)>;
type Partitions = BTreeMap<String, Partition>;

/// How the store treats calls.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub enum Access {
    #[default]
    Open,
    /// Connections end without an answer, and nothing is done.
    Away,
    /// Calls are answered 503, and nothing is done.
    Busy,
}

#[derive(Default)]
struct State {
    partitions: Partitions,
    /// Copy to which the store returns.
    copy: Partitions,
    access: Access,
    /// Number of returns from a copy.
    returns: u64,
}

/// The store; clones share the records.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let store = Self { address, state: Arc::default() };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a record like the operator or a worker.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        let partition = state.partitions.entry(format!("{topic}/0")).or_default();
        partition.push((key.into(), value.into()));
        self.state.1.notify_all();
    }

    /// Copies all records, for a later [`Store::return_from_copy`].
    pub fn take_copy(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.copy = state.partitions.clone();
    }

    /// Sets how calls are treated from now on; held calls end.
    pub fn set_access(&self, access: Access) {
        self.state.0.lock().unwrap().access = access;
        self.state.1.notify_all();
    }

    /// Comes back from the copy; what the operator and the workers wrote is written again.
    pub fn return_from_copy(&self) {
        let mut state = self.state.0.lock().unwrap();
        let copy = state.copy.clone();
        let lost = std::mem::replace(&mut state.partitions, copy);
        for topic in ["keyed.op/0", "keyed.servers/0"] {
            let newest: BTreeMap<_, _> = lost.get(topic).cloned().unwrap_or_default().into_iter().collect();
            state.partitions.entry(topic.into()).or_default().extend(newest);
        }
        state.returns += 1;
        state.access = Access::Open;
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut stream = stream;
        while let Some(call) = read_message(&mut reader, true) {
            std::thread::sleep(ANSWER_TIME);
            let Some((status, body, era)) = self.answer(&call) else { return };
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Length: {}\r\nStore-Era: {era}\r\n\r\n",
                body.len()
            );
            let answer = [head.as_bytes(), &body].concat();
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Returns the status, the body and the era of an answer; `None` if there is none.
    fn answer(&self, call: &Message) -> Option<(u16, Vec<u8>, u64)> {
        let mut state = self.state.0.lock().unwrap();
        let era = 1 + state.returns;
        match state.access {
            Access::Open => {}
            Access::Away => return None,
            Access::Busy => return Some((503, Vec::new(), era)),
        }
        let (status, body);
        (state, status, body) = self.execute(state, call);
        // A held read that the loss ended has no answer.
        (state.access != Access::Away && 1 + state.returns == era).then_some((status, body, era))
    }

    fn execute<'s>(
        &'s self,
        mut state: MutexGuard<'s, State>,
        call: &Message,
    ) -> (MutexGuard<'s, State>, u16, Vec<u8>) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let (Some(topic), Some(part)) = (query.get("topic"), query.get("part")) else {
            return (state, 404, Vec::new());
        };
        let name = format!("{topic}/{part}");
        let number = |key: &str| query.get(key).and_then(|text| text.parse::<u64>().ok());
        let returns = state.returns;
        let (status, body) = match path {
            "/api/log-append" => {
                let partition = state.partitions.entry(name).or_default();
                let end = partition.len() as u64;
                match decode(&call.body) {
                    _ if number("at").is_some_and(|at| at != end) => {
                        (412, format!("{{\"end\":{end}}}").into_bytes())
                    }
                    None => (400, Vec::new()),
                    Some(added) => {
                        partition.extend(added);
                        let new_end = partition.len();
                        self.state.1.notify_all();
                        (200, format!("{{\"offset\":{end},\"end\":{new_end}}}").into_bytes())
                    }
                }
            }
            "/api/log-newest" => {
                let partition = state.partitions.entry(name).or_default();
                let newest: BTreeMap<_, _> =
                    partition.iter().map(|(key, value)| (key, value)).collect();
                let items: Vec<String> = newest
                    .into_iter()
                    .filter(|(_, value)| !value.is_empty())
                    .map(|(key, value)| {
                        format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":0}}", base64(value))
                    })
                    .collect();
                let (items, end) = (items.join(","), partition.len());
                let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}");
                (200, body.into_bytes())
            }
            "/api/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                loop {
                    let partition = state.partitions.entry(name.clone()).or_default();
                    if from > partition.len() {
                        break (410, b"{\"first\":0}".to_vec());
                    }
                    let left = end.saturating_duration_since(Instant::now());
                    if from < partition.len() || left.is_zero() {
                        break (200, encode(partition, from));
                    }
                    if state.access != Access::Open || state.returns != returns {
                        break (503, Vec::new());
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => (404, Vec::new()),
        };
        (state, status, body)
    }
}

/// Decodes the records of an append: length, length of the key, key, value.
fn decode(mut body: &[u8]) -> Option<Partition> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        let record = body.get(4..4 + length)?;
        let key_length = *record.first()? as usize;
        let key = String::from_utf8_lossy(record.get(1..1 + key_length)?).into_owned();
        records.push((key, record[1 + key_length..].to_vec()));
        body = &body[4 + length..];
    }
    Some(records)
}

/// Encodes the answer to a read: end, first retained offset, records.
fn encode(partition: &Partition, from: usize) -> Vec<u8> {
    let mut body = (partition.len() as u64).to_be_bytes().to_vec();
    body.extend_from_slice(&0_u64.to_be_bytes());
    for (key, value) in partition.iter().skip(from) {
        body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
        body.push(key.len() as u8);
        body.extend_from_slice(key.as_bytes());
        body.extend_from_slice(value);
    }
    body
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = group.iter().fold(0_u32, |value, byte| value << 8 | u32::from(*byte));
        let value = value << (8 * (3 - group.len()));
        for index in 0..4 {
            if index <= group.len() {
                text.push(DIGITS[(value >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
