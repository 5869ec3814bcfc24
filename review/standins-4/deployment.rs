//! A small deployment: the platform's store, gateway processes with the command of the deploy file, and a record of what
//! happened. Only the standard library is used.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// API key of the only team.
pub const KEY: &str = "key-of-the-office";

/// An HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before it is complete.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        if reader.read_until(b'\n', &mut line).ok()? == 0 || line.last() != Some(&b'\n') {
            return None;
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_owned();
        if message.start.is_empty() {
            message.start = text;
        } else if text.is_empty() {
            return Some(message);
        } else {
            let (name, value) = text.split_once(':').unwrap_or((&text, ""));
            message.fields.push((name.into(), value.trim().into()));
        }
    }
}

/// Reads the body of a message that has a length or chunks; returns whether it is complete.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> bool {
    if message.field("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return false;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return false;
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return false;
            }
            if size == 0 {
                return true;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.field("content-length").unwrap_or("0");
    let length: usize = length.parse().unwrap_or(0);
    let read = reader.take(length as u64).read_to_end(&mut message.body);
    read.is_ok() && message.body.len() == length
}

/// Writes what was sent, answered and run to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            file,
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}\n", text.as_ref());
        print!("{line}");
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// Returns a printable form of bytes.
pub fn printable(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).escape_debug().to_string()
}

type Partition = Vec<(String, Vec<u8>)>;

#[derive(Default)]
struct StoreState {
    partitions: BTreeMap<String, Partition>,
}

/// The platform's store: keyed topics, conditional appends, long polls.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a record of the operator or of a worker.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        let partition = state.partitions.entry(format!("{topic}/0")).or_default();
        partition.push((key.into(), value.into()));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut stream = stream;
        while let Some(mut call) = read_head(&mut reader) {
            if !read_body(&mut reader, &mut call) {
                return;
            }
            let (status, body) = self.answer(&call);
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Length: {}\r\nStore-Era: 1\r\n\r\n",
                body.len()
            );
            std::thread::sleep(Duration::from_millis(2));
            if stream
                .write_all(&[head.as_bytes(), &body].concat())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let target = call.start.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let text = |key: &str| query.get(key).copied().unwrap_or_default();
        let name = format!("{}/{}", text("topic"), text("part"));
        let mut state = self.state.0.lock().unwrap();
        match path {
            "/api/log-append" => {
                let partition = state.partitions.entry(name).or_default();
                let end = partition.len();
                if !text("at").is_empty() && text("at") != end.to_string() {
                    return (412, format!("{{\"end\":{end}}}").into_bytes());
                }
                let mut rest = call.body.as_slice();
                while rest.len() >= 5 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let (record, next) = rest[4..].split_at(length);
                    let (key, value) = record[1..].split_at(record[0] as usize);
                    let key = String::from_utf8_lossy(key).into_owned();
                    partition.push((key, value.to_vec()));
                    rest = next;
                }
                let answer = format!("{{\"offset\":{end},\"end\":{}}}", partition.len());
                self.state.1.notify_all();
                (200, answer.into_bytes())
            }
            "/api/log-newest" => {
                let partition = state.partitions.entry(name).or_default();
                let newest: BTreeMap<&String, &Vec<u8>> =
                    partition.iter().map(|(key, value)| (key, value)).collect();
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(_, value)| !value.is_empty())
                    .map(|(key, value)| {
                        format!(
                            "{{\"key\":{key:?},\"value\":\"{}\",\"offset\":0}}",
                            base64(value)
                        )
                    })
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"end\":{}}}",
                    items.join(","),
                    partition.len()
                );
                (200, body.into_bytes())
            }
            "/api/log-read" => {
                let from: usize = text("from").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    let partition = state.partitions.entry(name.clone()).or_default();
                    if from > partition.len() {
                        return (410, b"{\"first\":0}".to_vec());
                    }
                    let left = end.saturating_duration_since(Instant::now());
                    if from < partition.len() || left.is_zero() {
                        let mut body = (partition.len() as u64).to_be_bytes().to_vec();
                        body.extend_from_slice(&0_u64.to_be_bytes());
                        for (key, value) in &partition[from..] {
                            let length = (1 + key.len() + value.len()) as u32;
                            body.extend_from_slice(&length.to_be_bytes());
                            body.push(key.len() as u8);
                            body.extend_from_slice(key.as_bytes());
                            body.extend_from_slice(value);
                        }
                        return (200, body);
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => (404, Vec::new()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - group.len()));
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= group.len() { digit } else { '=' });
        }
    }
    text
}

/// Returns a configuration with one route of each kind; streams of `statement` may not be resumed, those of `chat` may.
pub fn configuration(version: u64, prepaid: u64, timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, is_resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"office.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":500,\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"public\":false,\"sticky\":false,\"resumable\":{is_resumable},\
             \"gap_aim_ms\":400}}"
        )
    };
    let routes = [
        route("read", "idempotent", "billing-api", 2, false),
        route("charge", "non_idempotent", "billing-api", 1, false),
        route("statement", "streaming", "quota-llm", 1, false),
        route("chat", "streaming", "quota-llm", 2, true),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"billing-api\",\"health_path\":\"/healthz\",\"max_conns\":96}},\
         {{\"name\":\"quota-llm\",\"health_path\":\"/healthz\",\"max_conns\":360,\
         \"engine\":{{\"stride\":6,\"slots\":64}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\
         \"idle_timeout_ms\":20000}},\
         \"tenants\":[{{\"name\":\"office\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"prepaid\":{prepaid}}}]}}",
        routes.join(",")
    )
}

/// Returns the entry of a worker.
pub fn entry(service: &str, address: SocketAddr, slots: u32, sequence: u64, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"tbilisi-a\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{sequence},\"born\":{born}}}"
    )
}

/// A gateway process; it is killed on drop.
pub struct Gateway {
    child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
}

impl Gateway {
    /// Starts `target/release/monsoonfield gateway` and waits until it is ready.
    pub fn start(
        folder: &Path,
        name: &str,
        store: &Store,
        listen: [SocketAddr; 4],
    ) -> Option<Self> {
        let [callers, readiness, metrics, peers] = listen;
        let settings = format!(
            "vm: \"{name}\"\ndata_centre: \"tbilisi-a\"\nlisten:\n  callers: \"{callers}\"\n  readiness: \"{readiness}\"\n  \
             metrics: \"{metrics}\"\n  peers: \"{peers}\"\nstore:\n  address: \"{}\"\n  partitions: 12\n  \
             writes_per_s: 600\n  reads_per_s: 2000\nresources:\n  memory_mb: 260\n  descriptors: 4100\n  \
             processor_cores: 0.25\n  link_mbps: 1000.0\nfleet:\n  retry_ratio: 0.2\n  retry_slack: 52\n  \
             retry_window_s: 10\n  stop_grace_s: 8\n  is_first_start: true\n",
            store.address
        );
        let path = folder.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).ok()?;
        let log: PathBuf = folder.join(format!("{name}.log"));
        let output = File::create(&log).ok()?;
        let child = Command::new("target/release/monsoonfield")
            .arg("gateway")
            .env("MONSOONFIELD_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(output.try_clone().ok()?)
            .stderr(output)
            .spawn()
            .ok()?;
        let mut gateway = Self {
            child,
            callers,
            readiness,
        };
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            std::thread::sleep(Duration::from_millis(20));
            if gateway.has_ended() {
                return None;
            }
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            let address = |key: &str| -> Option<SocketAddr> {
                let rest = &text[text.find(&format!("\"{key}\":\""))? + key.len() + 4..];
                rest[..rest.find('"')?].parse().ok()
            };
            if let (Some(callers), Some(readiness)) = (address("callers"), address("readiness")) {
                gateway.callers = callers;
                gateway.readiness = readiness;
                if gateway.is_ready() {
                    return Some(gateway);
                }
            }
        }
        None
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks like the platform whether the gateway is ready, and waits for a second at most.
    pub fn is_ready(&self) -> bool {
        let asked = || -> Option<u16> {
            let timeout = Duration::from_secs(1);
            let mut stream = TcpStream::connect_timeout(&self.readiness, timeout).ok()?;
            stream.set_read_timeout(Some(timeout)).ok()?;
            stream
                .write_all(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .ok()?;
            Some(read_head(&mut BufReader::new(stream))?.status())
        };
        asked() == Some(200)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns addresses whose ports the kernel chooses.
pub fn any_ports() -> [SocketAddr; 4] {
    [SocketAddr::from(([127, 0, 0, 1], 0)); 4]
}
