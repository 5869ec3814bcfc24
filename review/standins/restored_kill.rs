//! The store is out of reach, and most or all gateways are killed meanwhile.
//!
//! `most`: the store returns from an older copy; tenants that the operator added since, and one gateway outlasts the loss.
//! `all`: the same with tenants that were there from the start, and no gateway outlasts it. `outage`: as `all`, but the
//! store comes back with all that it had.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client::{connect, exchange, Ending};
use crate::config::{document, Route, Service, Tenant, HOST};
use crate::fleet::{Gateway, Machine, Platform, SIGKILL};
use crate::record::Record;
use crate::store::{Access, Store};
use crate::worker::Worker;
use crate::Verdict;

/// Zones, and machines of each.
const ZONES: [&str; 3] = ["kv-a", "kv-b", "kv-c"];
const MACHINES_PER_ZONE: u32 = 2;

/// Tenants, as many as on the sheets.
const TENANTS: u32 = 10;

/// A request: tokens of its prompt, events of its answer, tokens of an event.
const INPUT_TOKENS: u64 = 1_000;
const EVENTS: u32 = 10;
const EVENT_TOKENS: u64 = 6;

/// Pause of a tenant's client between two requests.
const PAUSE: Duration = Duration::from_millis(130);

/// What happens, with times since the start of traffic.
struct Plan {
    /// Budget of each tenant.
    prepaid: u64,
    /// Most tokens of output that a request states; its answer has [`EVENTS`] events.
    max_output: u64,
    /// Whether the tenants are added shortly after the copy; otherwise they are there from the start.
    adds_tenants: bool,
    /// Machines that are not killed.
    survivors: usize,
    /// When the copy is taken from which the store returns; `None` if it loses nothing.
    copy_at: Option<Duration>,
    away_at: Duration,
    kill_at: Duration,
    return_at: Duration,
    restart_at: Duration,
    end_at: Duration,
}

const MOST: Plan = Plan {
    prepaid: 32_000,
    max_output: EVENTS as u64 * EVENT_TOKENS,
    adds_tenants: true,
    survivors: 1,
    copy_at: Some(Duration::from_secs(12)),
    away_at: Duration::from_secs(19),
    kill_at: Duration::from_secs(19),
    return_at: Duration::from_secs(21),
    restart_at: Duration::from_secs(22),
    end_at: Duration::from_secs(45),
};

const ALL: Plan = Plan { prepaid: 1_000_000, adds_tenants: false, survivors: 0, ..MOST };

const OUTAGE: Plan = Plan {
    prepaid: 145_000,
    max_output: 1_500,
    copy_at: None,
    away_at: Duration::from_millis(6_200),
    kill_at: Duration::from_millis(10_900),
    return_at: Duration::from_secs(11),
    restart_at: Duration::from_secs(12),
    end_at: Duration::from_secs(32),
    ..ALL
};

/// `recover_s` of the sheets: requests that are sent later than this after the machines are back are judged.
const RECOVER: Duration = Duration::from_secs(12);

/// What a client counts.
#[derive(Default)]
struct Counts {
    /// Tokens in whole answers by tenant.
    spent: BTreeMap<String, u64>,
    /// Requests before the loss and later than [`RECOVER`] after it: sent, and answered with success.
    before: (u64, u64),
    after: (u64, u64),
}

/// Plays the loss of all machines but one, for tenants that were added after the copy; judges BUDGET.
pub fn run_most(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    match play(folder, record, has_trouble, &MOST) {
        Err(reason) => Verdict::Unable(reason),
        Ok((tenants, counts)) => judge_budgets(record, &tenants, &counts),
    }
}

/// Plays the loss of all machines; judges RECOVER.
pub fn run_all(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    match play(folder, record, has_trouble, &ALL) {
        Err(reason) => Verdict::Unable(reason),
        Ok((_, counts)) => judge_recovery(record, &counts),
    }
}

/// Plays an outage of the store at whose end all machines are killed; judges RECOVER.
pub fn run_outage(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    match play(folder, record, has_trouble, &OUTAGE) {
        Err(reason) => Verdict::Unable(reason),
        Ok((_, counts)) => judge_recovery(record, &counts),
    }
}

fn judge_budgets(record: &Record, tenants: &[Tenant], counts: &Counts) -> Verdict {
    let over: Vec<String> = tenants
        .iter()
        .filter(|tenant| counts.spent.get(&tenant.name).is_some_and(|spent| *spent > tenant.prepaid))
        .map(|tenant| format!("{} got {} of {}", tenant.name, counts.spent[&tenant.name], tenant.prepaid))
        .collect();
    record.say(&format!("tenants that got more than they prepaid: {}", over.len()));
    for line in &over {
        record.say(&format!("over: {line}"));
    }
    if tenants.iter().any(|tenant| !counts.spent.contains_key(&tenant.name)) {
        return Verdict::Unable("a tenant was not served at all".into());
    }
    if over.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

fn judge_recovery(record: &Record, counts: &Counts) -> Verdict {
    let is_quarter = |(sent, served): (u64, u64)| served * 4 >= sent;
    let ((sent, served), (sent_after, served_after)) = (counts.before, counts.after);
    record.say(&format!("before the loss, {served} of {sent} requests were served"));
    record.say(&format!(
        "later than {} s after the machines were back, {served_after} of {sent_after} requests were served",
        RECOVER.as_secs()
    ));
    if sent == 0 || sent_after == 0 || !is_quarter(counts.before) {
        return Verdict::Unable("too little was served before the loss".into());
    }
    if is_quarter(counts.after) {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Plays one day; returns the tenants and what their clients counted.
fn play(
    folder: &Path,
    record: &Record,
    has_trouble: bool,
    plan: &Plan,
) -> Result<(Vec<Tenant>, Counts), String> {
    let store = Store::start();
    let routes = [Route {
        name: "chat-reply",
        path_prefix: "/chat/",
        kind: "streaming",
        service: "cobbler",
        timeout_ms: 10_000,
        max_attempts: 2,
        resumable: true,
    }];
    let services = [Service { name: "cobbler", max_conns: 370, stride: Some(EVENT_TOKENS as u32) }];
    let mut tenants = vec![Tenant::new("hule930", 5_000_000)];
    if !plan.adds_tenants {
        tenants = (1..=TENANTS).map(|number| Tenant::new(&format!("old{number:02}"), plan.prepaid)).collect();
    }
    store.put("keyed.op", "config", &document(1, &routes, &services, &tenants));
    for number in 1..=3 {
        let record = record.clone();
        let worker = Worker::start(&format!("i-{number}"), move |exchange| {
            if !exchange.read_body() {
                return false;
            }
            record.write(&format!("worker i-{number}: runs {}", exchange.request.id()));
            exchange.stream_events(EVENTS, Duration::from_millis(30), Duration::from_millis(8))
        });
        worker.register(&store, "cobbler", ZONES[number - 1], 64);
    }
    let machine = Machine { memory_mb: 110, cpu_share: 0.25 };
    let zone = |name: &&str| -> Vec<Arc<Gateway>> {
        let indexes = 1..=MACHINES_PER_ZONE;
        indexes.map(|index| Gateway::prepare(folder, record, &store, (name, index), machine)).collect()
    };
    let platform = Arc::new(Platform { zones: ZONES.iter().map(zone).collect() });
    if !platform.start() {
        return Err("the gateways do not become ready".into());
    }
    let started = record.now();
    let wait_until = |at: Duration| std::thread::sleep((started + at).saturating_sub(record.now()));
    record.say("traffic starts");
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let start_client = |number: usize, tenant: &Tenant| {
        let client = Client {
            number: number as u64,
            tenant: tenant.clone(),
            max_output: plan.max_output,
            platform: Arc::clone(&platform),
            is_over: Arc::clone(&is_over),
            counts: Arc::clone(&counts),
            record: record.clone(),
            before: started + plan.away_at,
            after: started + plan.restart_at + RECOVER,
        };
        std::thread::spawn(move || client.run())
    };
    let mut clients: Vec<_> =
        tenants.iter().enumerate().map(|(number, tenant)| start_client(number, tenant)).collect();
    if let Some(copy_at) = plan.copy_at {
        wait_until(copy_at);
        store.take_copy();
    }
    if plan.adds_tenants {
        std::thread::sleep(Duration::from_millis(500));
        tenants.extend((1..=TENANTS).map(|number| Tenant::new(&format!("new{number:02}"), plan.prepaid)));
        store.put("keyed.op", "config", &document(2, &routes, &services, &tenants));
        record.say(&format!("operator: adds {TENANTS} tenants, each with {} tokens prepaid", plan.prepaid));
        // A new configuration is in force within two seconds.
        std::thread::sleep(Duration::from_secs(1));
        for (number, tenant) in tenants.iter().enumerate().skip(1) {
            clients.push(start_client(number, tenant));
        }
    }
    if has_trouble {
        wait_until(plan.away_at);
        let all: Vec<_> = platform.all().cloned().collect();
        let (killed, outlasting) = all.split_at(all.len() - plan.survivors);
        // A loss of all machines may strike right after a change was acknowledged.
        store.put("keyed.op", "config", &document(3, &routes, &services, &tenants));
        match plan.copy_at {
            Some(_) => store.set_access(Access::Away),
            None => store.set_access(Access::Busy),
        }
        record.say("platform: the store is out of reach");
        wait_until(plan.kill_at);
        for gateway in killed {
            gateway.signal(SIGKILL);
        }
        let names: Vec<&str> = outlasting.iter().map(|gateway| gateway.node.as_str()).collect();
        record.say(&format!(
            "platform: {} machines are killed, {} not: {}",
            killed.len(),
            outlasting.len(),
            names.join(" ")
        ));
        say_spent(record, &counts);
        for gateway in killed {
            while !gateway.has_ended() {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        wait_until(plan.return_at);
        match plan.copy_at {
            Some(copy_at) => {
                store.return_from_copy();
                let age = plan.return_at - copy_at;
                record.say(&format!("platform: the store is back, from a copy that is {} s old", age.as_secs()));
            }
            None => {
                store.set_access(Access::Open);
                record.say("platform: the store is back with all that it had");
            }
        }
        wait_until(plan.restart_at);
        for gateway in killed {
            gateway.start();
        }
        record.say("platform: the killed machines start again");
    }
    wait_until(plan.end_at);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    platform.stop();
    say_spent(record, &counts);
    let counts = std::mem::take(&mut *counts.lock().unwrap());
    Ok((tenants, counts))
}

fn say_spent(record: &Record, counts: &Mutex<Counts>) {
    let counts = counts.lock().unwrap();
    let parts = counts.spent.iter().map(|(tenant, tokens)| format!("{tenant} {tokens}"));
    let parts: Vec<String> = parts.collect();
    record.say(&format!("tokens in whole answers so far: {}", parts.join(", ")));
}

/// A client that sends one request after the other, each on a new connection.
struct Client {
    number: u64,
    tenant: Tenant,
    max_output: u64,
    platform: Arc<Platform>,
    is_over: Arc<AtomicBool>,
    counts: Arc<Mutex<Counts>>,
    record: Record,
    /// Requests that are sent before the one time or after the other are counted for the recovery.
    before: Duration,
    after: Duration,
}

impl Client {
    fn run(&self) {
        let mut count = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            std::thread::sleep(PAUSE);
            count += 1;
            let sent_at = self.record.now();
            let tokens = self.send(count);
            let mut counts = self.counts.lock().unwrap();
            let judged = if sent_at < self.before {
                Some(&mut counts.before)
            } else if sent_at > self.after {
                Some(&mut counts.after)
            } else {
                None
            };
            if let Some((sent, served)) = judged {
                *sent += 1;
                *served += u64::from(tokens.is_some());
            }
            if let Some(tokens) = tokens {
                *counts.spent.entry(self.tenant.name.clone()).or_default() += tokens;
            }
        }
    }

    /// Sends one request; returns the tokens of its prompt and its events if the whole answer arrived.
    fn send(&self, count: u64) -> Option<u64> {
        let (number, tenant, record) = (self.number, &self.tenant, &self.record);
        let id = format!("{}-{count}", tenant.name);
        let gateway = self.platform.forward(number as usize % ZONES.len(), number << 16 | count);
        let request = format!(
            "POST /chat/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
             X-Token-Count: {INPUT_TOKENS},{}\r\nX-Prompt-Prefix: 5c1e07a2:200,{number:x}0{count:x}:800\r\n\
             X-Deadline-Ms: 10000\r\nAuthorization: Bearer {}\r\nContent-Length: 3\r\n\r\nabc",
            self.max_output,
            tenant.key
        );
        record.write(&format!("client: {id} sent to {}", gateway.node));
        let Ok(mut stream) = connect(&gateway.front) else {
            record.write(&format!("client: {id} finds no connection"));
            return None;
        };
        match exchange(&mut stream, request.as_bytes()) {
            Ending::Answer(answer) if answer.status() == 200 => {
                let events = answer.body.windows(5).filter(|bytes| bytes == b"data:").count();
                record.write(&format!("client: {id} answer 200 with {events} events"));
                return Some(INPUT_TOKENS + events as u64 * EVENT_TOKENS);
            }
            Ending::Answer(answer) => record.write(&format!("client: {id} answer {}", answer.status())),
            Ending::Cut(_) => record.write(&format!("client: {id} cut in the answer")),
            Ending::NoAnswer(reason) => record.write(&format!("client: {id} no answer: {reason}")),
        }
        None
    }
}
