//! The record of a case, gateway processes and callers.

use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::os::fd::FromRawFd;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{read_chunk, read_head, read_message};
use crate::store::Store;

/// Result of a case: whether the rule held, or why the case could not run.
pub type Outcome = Result<bool, String>;

/// API key of the tenant of all cases.
pub const KEY: &str = "key-of-the-office";

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Record of what was sent, answered and run.
pub struct Recorder {
    file: Mutex<File>,
    started: Instant,
}

impl Recorder {
    /// Creates the record.
    pub fn new(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
        })
    }

    /// Returns the time since the start of the case, in seconds.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("unpoisoned");
        let _ = writeln!(file, "{:8.3} {text}", self.now_s());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Returns ports that are free at an address for TCP and UDP. All are bound at the same time, so they differ.
fn free_ports(ip: &str) -> std::io::Result<[u16; 4]> {
    loop {
        let listeners = [
            TcpListener::bind((ip, 0))?,
            TcpListener::bind((ip, 0))?,
            TcpListener::bind((ip, 0))?,
            TcpListener::bind((ip, 0))?,
        ];
        let mut ports = [0; 4];
        for (port, listener) in ports.iter_mut().zip(&listeners) {
            *port = listener.local_addr()?.port();
        }
        if UdpSocket::bind((ip, ports[3])).is_ok() {
            return Ok(ports);
        }
    }
}

/// A gateway process; it is killed on drop.
pub struct Gateway {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    process: Child,
    folder: std::path::PathBuf,
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file and the filled template of its settings.
    pub fn start(store: &Store, name: &str) -> std::io::Result<Self> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let ip = "127.0.0.1";
        let ports = free_ports(ip)?;
        let template = std::fs::read_to_string("deploy/settings.yaml")?;
        let values = [
            ("{{node|json}}", format!("\"{name}\"")),
            ("{{zone|json}}", "\"zone-a\"".into()),
            ("{{listen.front|json}}", format!("\"{ip}:{}\"", ports[0])),
            ("{{listen.ready|json}}", format!("\"{ip}:{}\"", ports[1])),
            ("{{ip}}:9105", format!("{ip}:{}", ports[2])),
            ("{{ip}}:{{port_range.0}}", format!("{ip}:{}", ports[3])),
            ("{{platform.addr|json}}", format!("\"{}\"", store.address)),
            ("{{platform.parts}}", "12".into()),
            ("{{platform.writes_per_s}}", "600".into()),
            ("{{platform.reads_per_s}}", "2000".into()),
            ("{{limits.memory_mb}}", "260".into()),
            ("{{limits.max_fds}}", "4100".into()),
            ("{{limits.cpu_share}}", "0.25".into()),
            ("{{limits.link_mbps}}", "1000.0".into()),
            ("{{bounds.retry_budget_ratio}}", "0.2".into()),
            ("{{bounds.budget_slack}}", "52".into()),
            ("{{bounds.budget_window_s}}", "10".into()),
            ("{{bounds.grace_s}}", "8".into()),
            ("{{bootstrap|json}}", "true".into()),
        ];
        let settings = values.iter().fold(template, |text, (name, value)| text.replace(name, value));
        let folder = std::env::temp_dir().join(format!("review-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let path = folder.join("local.yaml");
        std::fs::write(&path, settings)?;
        let log = File::create(folder.join("log"))?;
        let process = Command::new("target/release/monsoonfield")
            .arg("gateway")
            .env("MONSOONFIELD_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            callers: SocketAddr::from((Ipv4Addr::LOCALHOST, ports[0])),
            readiness: SocketAddr::from((Ipv4Addr::LOCALHOST, ports[1])),
            process,
            folder,
        })
    }

    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.readiness, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            Ok(read_message(&mut BufReader::new(stream))?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_until_ready(&mut self) -> Result<(), String> {
        let started = Instant::now();
        while !self.is_ready() {
            if self.has_ended() || started.elapsed() > Duration::from_secs(15) {
                return Err("a gateway did not start".into());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        // Another process may have taken one of its ports.
        if self.has_ended() || TcpStream::connect(self.callers).is_err() {
            return Err("a gateway did not start".into());
        }
        Ok(())
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.process.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts gateways and waits until they are ready.
pub fn start_gateways(store: &Store, count: usize) -> Result<Vec<Gateway>, String> {
    /// Another process can take a port between its choice and its use.
    const ATTEMPTS: usize = 3;
    let mut gateways = Vec::new();
    for number in 0..count {
        let start = || {
            let gateway = Gateway::start(store, &format!("edge-{number}"));
            let mut gateway = gateway.map_err(|error| format!("starting a gateway: {error}"))?;
            gateway.wait_until_ready().map(|()| gateway)
        };
        let mut started = start();
        for _ in 1..ATTEMPTS {
            if started.is_err() {
                started = start();
            }
        }
        gateways.push(started?);
    }
    // The gateways read the reports of each other and obtain rights to the tenant's budget.
    std::thread::sleep(Duration::from_millis(2_500));
    Ok(gateways)
}

/// Returns the configuration of all cases: a plain service and model workers, with the figures of the site
/// printquota-ge.
pub fn configuration() -> String {
    let route = |name: &str, prefix: &str, rest: &str| {
        format!("{{\"name\":\"{name}\",\"host\":\"office.example\",\"path_prefix\":\"/{prefix}/\",\"public\":false,{rest}}}")
    };
    let routes = [
        route(
            "balance-read",
            "balance",
            "\"kind\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,\"service\":\"billing\",\
             \"max_attempts\":2,\"sticky\":false,\"resumable\":false",
        ),
        route(
            "charge-post",
            "charge",
            "\"kind\":\"non_idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,\"service\":\"billing\",\
             \"max_attempts\":1,\"sticky\":false,\"resumable\":false",
        ),
        route(
            "semester-statement",
            "statement",
            "\"kind\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"model\",\
             \"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":250",
        ),
    ];
    format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"billing\",\"health_path\":\"/healthz\",\"max_conns\":96}},\
         {{\"name\":\"model\",\"health_path\":\"/healthz\",\"max_conns\":360,\"engine\":{{\"slots\":64,\"kv_capacity\":538494,\
         \"stride\":6}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"office\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"prepaid\":900000000}}]}}",
        routes.join(",")
    )
}

/// Opens a connection from one loopback address to another.
pub fn connect_from(source: Ipv4Addr, target: SocketAddr) -> std::io::Result<TcpStream> {
    #[repr(C)]
    struct Address {
        family: u16,
        port: [u8; 2],
        ip: [u8; 4],
        zero: [u8; 8],
    }
    extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn bind(socket: i32, address: *const Address, length: u32) -> i32;
        fn connect(socket: i32, address: *const Address, length: u32) -> i32;
    }
    const INTERNET: i32 = 2;
    const STREAM_CLOSE_ON_EXEC: i32 = 1 | 0o2_000_000;
    let address = |address: SocketAddrV4| Address {
        family: INTERNET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    let SocketAddr::V4(target) = target else {
        return Err(std::io::ErrorKind::InvalidInput.into());
    };
    let (source, target) = (address(SocketAddrV4::new(source, 0)), address(target));
    let length = std::mem::size_of::<Address>() as u32;
    // SAFETY: The pointers refer to local values of the given length, and the descriptor is owned by the stream.
    unsafe {
        let descriptor = socket(INTERNET, STREAM_CLOSE_ON_EXEC, 0);
        if descriptor < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if bind(descriptor, &source, length) != 0 || connect(descriptor, &target, length) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Returns a new request id.
pub fn new_id() -> String {
    static NUMBER: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", unix_ms() << 20 | NUMBER.fetch_add(1, Ordering::SeqCst))
}

/// How a stream ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// All events arrived.
    Complete,
    /// This status arrived.
    Status(u16),
    /// The connection ended before the end of the stream.
    Broken,
    /// The client left, because nothing arrived for longer than it waits.
    Abandoned,
}

/// Result of a streaming request.
#[derive(Clone, Debug)]
pub struct Streamed {
    pub id: String,
    pub ending: Ending,
    pub first_event_ms: u128,
}

/// Sends a streaming request with the parts of a prompt and reads its answer; leaves after a gap of `patience`.
pub fn stream(gateway: SocketAddr, parts: &[String], patience: Duration) -> Streamed {
    let id = new_id();
    let started = Instant::now();
    let mut first_event_ms = 0;
    let mut run = || -> std::io::Result<Ending> {
        let mut connection = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
        connection.set_nodelay(true)?;
        connection.set_read_timeout(Some(patience))?;
        let prefix: Vec<String> = parts.iter().map(|part| format!("{part}:10")).collect();
        let request = format!(
            "POST /statement/x HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
             X-Token-Count: {},30\r\nX-Prompt-Prefix: {}\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer {KEY}\r\n\
             Content-Length: 2\r\n\r\nhi",
            10 * parts.len(),
            prefix.join(",")
        );
        connection.write_all(request.as_bytes())?;
        let mut reader = BufReader::new(connection);
        let head = read_head(&mut reader)?;
        if head.status() != 200 {
            return Ok(Ending::Status(head.status()));
        }
        while !read_chunk(&mut reader)?.is_empty() {
            if first_event_ms == 0 {
                first_event_ms = started.elapsed().as_millis();
            }
        }
        Ok(Ending::Complete)
    };
    let ending = run().unwrap_or_else(|error| match error.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => Ending::Abandoned,
        _ => Ending::Broken,
    });
    Streamed {
        id,
        ending,
        first_event_ms,
    }
}

/// Counts of how streams ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endings {
    pub complete: u64,
    pub refused: u64,
    pub failed: u64,
    pub broken: u64,
    pub abandoned: u64,
}

impl Endings {
    /// Counts one stream.
    pub fn add(&mut self, ending: Ending) {
        match ending {
            Ending::Complete => self.complete += 1,
            Ending::Status(429 | 503) => self.refused += 1,
            Ending::Status(_) => self.failed += 1,
            Ending::Broken => self.broken += 1,
            Ending::Abandoned => self.abandoned += 1,
        }
    }
}

impl std::fmt::Display for Endings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} complete, {} refused with 429 or 503, {} with another failure, {} broken off, {} abandoned by the client",
            self.complete, self.refused, self.failed, self.broken, self.abandoned
        )
    }
}

/// Random numbers that are the same in each run of a case.
#[derive(Default)]
pub struct Draws(AtomicU64);

impl Draws {
    /// Returns the next number.
    pub fn next(&self) -> u64 {
        let mut number = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
        number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (number ^ (number >> 31)) >> 16
    }
}
