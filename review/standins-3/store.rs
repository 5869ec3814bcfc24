//! Stand-in for the platform's store: keyed topics, conditional appends, long polling.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_message, Message};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Records of one partition: keys and values.
type Records = Vec<(Vec<u8>, Vec<u8>)>;

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<BTreeMap<String, Records>>, Condvar)>,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a record like the operator or a worker.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut partitions = self.state.0.lock().expect("unpoisoned");
        let records = partitions.entry(format!("{topic}/0")).or_default();
        records.push((key.into(), value.into()));
        self.state.1.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let partitions = self.state.0.lock().expect("unpoisoned");
        let mut newest_first = partitions.get(&format!("{topic}/0"))?.iter().rev();
        let (_, value) = newest_first.find(|(known, _)| known == key.as_bytes())?;
        Some(String::from_utf8_lossy(value).into())
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(copy);
        while let Ok(call) = read_message(&mut reader) {
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&call);
            let mut answer = format!(
                "HTTP/1.1 {status} x\r\ncontent-length: {}\r\nStore-Era: 1\r\n\r\n",
                body.len()
            )
            .into_bytes();
            answer.extend_from_slice(&body);
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let target = call.second_word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let text = |name: &str| query.get(name).copied().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<usize>().ok());
        let name = format!("{}/{}", text("topic"), text("part"));
        let mut partitions = self.state.0.lock().expect("unpoisoned");
        match path {
            "/api/log-append" => {
                let records = partitions.entry(name).or_default();
                let end = records.len();
                if number("at").is_some_and(|at| at != end) {
                    return (412, format!("{{\"end\":{end}}}").into_bytes());
                }
                records.extend(decode(&call.body));
                let answer = format!("{{\"offset\":{end},\"end\":{}}}", records.len());
                self.state.1.notify_all();
                (200, answer.into_bytes())
            }
            "/api/log-newest" => {
                let records = partitions.entry(name).or_default();
                let newest: BTreeMap<_, _> = records.iter().cloned().collect();
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(_, value)| !value.is_empty())
                    .map(|(key, value)| {
                        let key = String::from_utf8_lossy(key);
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":0}}")
                    })
                    .collect();
                let (items, end) = (items.join(","), records.len());
                let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}");
                (200, body.into_bytes())
            }
            "/api/log-read" => {
                let from = number("from").unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
                loop {
                    let records = partitions.entry(name.clone()).or_default();
                    if from > records.len() {
                        return (410, b"{\"first\":0}".to_vec());
                    }
                    let left = end.saturating_duration_since(Instant::now());
                    if from < records.len() || left.is_zero() {
                        return (200, encode(records, from));
                    }
                    let waited = self.state.1.wait_timeout(partitions, left);
                    partitions = waited.expect("unpoisoned").0;
                }
            }
            _ => (404, Vec::new()),
        }
    }
}

fn decode(mut body: &[u8]) -> Records {
    let mut records = Records::new();
    while body.len() > 4 {
        let (length, rest) = body.split_at(4);
        let length = u32::from_be_bytes(length.try_into().expect("four bytes")) as usize;
        let (record, rest) = rest.split_at(length.min(rest.len()));
        body = rest;
        let key_length = usize::from(record[0]);
        let (key, value) = record[1..].split_at(key_length);
        records.push((key.into(), value.into()));
    }
    records
}

fn encode(records: &Records, from: usize) -> Vec<u8> {
    let mut body = (records.len() as u64).to_be_bytes().to_vec();
    body.extend_from_slice(&0_u64.to_be_bytes());
    for (key, value) in records.iter().skip(from) {
        let length = 1 + key.len() + value.len();
        body.extend_from_slice(&(length as u32).to_be_bytes());
        body.push(key.len() as u8);
        body.extend_from_slice(key);
        body.extend_from_slice(value);
    }
    body
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..part.len()].copy_from_slice(part);
        let group = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let value = (group >> (18 - 6 * digit)) & 63;
            text.push(if digit <= part.len() {
                char::from(DIGITS[value as usize])
            } else {
                '='
            });
        }
    }
    text
}
