//! Gateway processes, started as the deploy file says, with the settings that the platform fills into its template.

use std::fs::File;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::store::Store;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// Option of `prctl` by which a process gets a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;

/// Limits of one machine, as the settings state them.
#[derive(Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub cpu_share: f64,
}

/// One machine with its gateway process; the process is restarted when it has ended.
pub struct Gateway {
    pub node: String,
    pub front: String,
    pub ready: String,
    pub machine: Machine,
    settings: PathBuf,
    /// The template, filled in except for what differs between starts.
    filled: String,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    starts: Mutex<u32>,
    in_rotation: AtomicBool,
    record: Record,
}

impl Gateway {
    /// Prepares machine number `index` of a zone; each has a loopback address of its own.
    pub fn prepare(
        folder: &Path,
        record: &Record,
        store: &Store,
        (zone, index): (&str, u32),
        machine: Machine,
    ) -> Arc<Self> {
        let node = format!("edge-{zone}-{index}");
        let ip = free_address(zone.bytes().map(u32::from).sum::<u32>() * 100 + index);
        let front = free_port(&ip);
        let ready = free_port(&ip);
        let template = std::fs::read_to_string("deploy/settings.yaml").expect("run in the repository");
        let fields = [
            ("node|json", format!("\"{node}\"")),
            ("zone|json", format!("\"{zone}\"")),
            ("listen.front|json", format!("\"{front}\"")),
            ("listen.ready|json", format!("\"{ready}\"")),
            ("ip", ip.clone()),
            ("port_range.0", "7340".into()),
            ("platform.addr|json", format!("\"{}\"", store.address)),
            ("platform.parts", "12".into()),
            ("platform.writes_per_s", "800".into()),
            ("platform.reads_per_s", "2000".into()),
            ("limits.memory_mb", machine.memory_mb.to_string()),
            ("limits.max_fds", "4100".into()),
            ("limits.cpu_share", machine.cpu_share.to_string()),
            ("limits.link_mbps", "1000.0".into()),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.budget_slack", "58".into()),
            ("bounds.budget_window_s", "10".into()),
            ("bounds.grace_s", "8".into()),
        ];
        let filled = fields.iter().fold(template, |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        });
        let settings = folder.join(format!("{node}.yaml"));
        Arc::new(Self {
            log: folder.join(format!("{node}.log")),
            node,
            front,
            ready,
            machine,
            settings,
            filled,
            child: Mutex::default(),
            starts: Mutex::default(),
            in_rotation: AtomicBool::new(false),
            record: record.clone(),
        })
    }

    /// Starts the process with the command of `deploy/system.toml`.
    pub fn start(&self) {
        let mut starts = self.starts.lock().unwrap();
        *starts += 1;
        // True only when the whole system starts for the first time.
        let is_first = (*starts == 1).to_string();
        let filled = self.filled.replace("{{bootstrap|json}}", &is_first);
        assert!(!filled.contains("{{"), "the template has a placeholder that is not known here");
        std::fs::write(&self.settings, filled).expect("the settings can be written");
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let mut command = Command::new("target/release/monsoonfield");
        // SAFETY: The call only sets an attribute of the new process, so that it never outlives this one.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as std::ffi::c_ulong);
                Ok(())
            });
        }
        let child = command
            .arg("gateway")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("MONSOONFIELD_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("target/release/monsoonfield starts");
        self.record.write(&format!("platform: {} starts, process {}", self.node, child.id()));
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn process(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: i32) {
        let child = self.child.lock().unwrap();
        if let Some(child) = child.as_ref() {
            // SAFETY: The process is a child that was not waited for, so the id still belongs to it.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether the process has ended since it was started.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        let ended = child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            *child = None;
        }
        ended
    }

    /// Asks the machine once a second whether it is ready; two misses take it out of rotation.
    pub fn probe(self: &Arc<Self>) {
        let gateway = Arc::clone(self);
        std::thread::spawn(move || {
            let mut misses = 0;
            loop {
                let is_ready = crate::client::get_status(&gateway.ready, "/api/ready") == 200;
                misses = if is_ready { 0 } else { misses + 1 };
                let was_in_rotation = gateway.is_in_rotation();
                let is_in_rotation = is_ready || (was_in_rotation && misses < 2);
                gateway.in_rotation.store(is_in_rotation, Ordering::SeqCst);
                if is_in_rotation != was_in_rotation {
                    let change = if is_in_rotation { "enters" } else { "leaves" };
                    gateway.record.write(&format!("platform: {} {change} the rotation", gateway.node));
                }
                std::thread::sleep(Duration::from_secs(1));
            }
        });
    }

    /// Kills the process whenever it exceeds the memory of its machine, and starts it again after a second.
    pub fn limit_memory(self: &Arc<Self>, kills: Arc<AtomicU64>, peak_mb: Arc<AtomicU64>) {
        let gateway = Arc::clone(self);
        std::thread::spawn(move || loop {
            let memory_mb = gateway.memory_mb();
            peak_mb.fetch_max(memory_mb, Ordering::SeqCst);
            if memory_mb > gateway.machine.memory_mb {
                let limit_mb = gateway.machine.memory_mb;
                gateway.record.say(&format!(
                    "platform: {} uses {memory_mb} MB of {limit_mb} MB and is killed",
                    gateway.node
                ));
                kills.fetch_add(1, Ordering::SeqCst);
                gateway.signal(SIGKILL);
                while !gateway.has_ended() {
                    std::thread::sleep(Duration::from_millis(5));
                }
                std::thread::sleep(Duration::from_secs(1));
                gateway.start();
            }
            std::thread::sleep(Duration::from_millis(20));
        });
    }

    pub fn is_in_rotation(&self) -> bool {
        self.in_rotation.load(Ordering::SeqCst)
    }

    /// Returns the memory of the process in MB, without the pages of files; 0 if it does not run.
    pub fn memory_mb(&self) -> u64 {
        let Some(process) = self.process() else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("RssAnon:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The machines of all zones, with the rules by which the platform forwards the connections of clients.
pub struct Platform {
    pub zones: Vec<Vec<Arc<Gateway>>>,
}

impl Platform {
    /// Starts all machines and waits until they are in rotation; `false` if they are not within 20 s.
    pub fn start(&self) -> bool {
        for gateway in self.all() {
            gateway.start();
            gateway.probe();
        }
        let started = Instant::now();
        while !self.all().all(|gateway| gateway.is_in_rotation()) {
            if started.elapsed() > Duration::from_secs(20) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    pub fn all(&self) -> impl Iterator<Item = &Arc<Gateway>> {
        self.zones.iter().flatten()
    }

    /// Returns the machine to which a new connection of a zone's client is forwarded: one in rotation; any of the zone if
    /// fewer than half are; one of the other zones if none is.
    pub fn forward(&self, zone: usize, hash: u64) -> &Arc<Gateway> {
        let in_rotation = |zone: &usize| -> Vec<&Arc<Gateway>> {
            self.zones[*zone].iter().filter(|gateway| gateway.is_in_rotation()).collect()
        };
        let count = self.zones.len();
        let nearest = (0..count).map(|step| (zone + step) % count);
        let ready = nearest.map(|zone| (zone, in_rotation(&zone))).find(|(_, ready)| !ready.is_empty());
        let used: Vec<&Arc<Gateway>> = match ready {
            Some((zone, ready)) if ready.len() * 2 >= self.zones[zone].len() => ready,
            Some((zone, _)) => self.zones[zone].iter().collect(),
            None => self.zones[zone].iter().collect(),
        };
        used[(mix(hash) % used.len() as u64) as usize]
    }

    /// Ends all processes.
    pub fn stop(&self) {
        for gateway in self.all() {
            gateway.signal(SIGKILL);
            while !gateway.has_ended() {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }
}

/// Scrambles a number.
pub fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let number = (number ^ (number >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    number ^ (number >> 33)
}

/// Returns a loopback address on which the fixed ports of the template are free.
fn free_address(index: u32) -> String {
    let seed = u64::from(std::process::id()) << 20 | u64::from(index);
    for attempt in 0..1_000 {
        let draw = mix(seed ^ (attempt << 48));
        let ip = format!("127.{}.{}.{}", 1 + draw % 250, (draw >> 8) % 250, 1 + (draw >> 16) % 250);
        let is_free = TcpListener::bind(format!("{ip}:9105")).is_ok()
            && std::net::UdpSocket::bind(format!("{ip}:7340")).is_ok();
        if is_free {
            return ip;
        }
    }
    panic!("no free loopback address");
}

fn free_port(ip: &str) -> String {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("bound").to_string()
}
