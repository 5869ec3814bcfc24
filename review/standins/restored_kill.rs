//! The store returns from an older copy while most gateways are killed: tenants that were added since the copy.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client::{connect, exchange, Ending};
use crate::config::{document, Route, Service, Tenant, HOST};
use crate::fleet::{Gateway, Machine, Platform, SIGKILL};
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use crate::Verdict;

/// Zones, and machines of each.
const ZONES: [&str; 3] = ["kv-a", "kv-b", "kv-c"];
const MACHINES_PER_ZONE: u32 = 2;

/// Tenants that the operator adds, and the budget of each.
const NEW_TENANTS: u32 = 10;
const PREPAID: u64 = 32_000;

/// A request: tokens of its prompt, events of its answer, tokens of an event.
const INPUT_TOKENS: u64 = 1_000;
const EVENTS: u32 = 10;
const EVENT_TOKENS: u64 = 6;

/// Pause of a tenant's client between two requests.
const PAUSE: Duration = Duration::from_millis(130);

/// Times since the start of traffic.
const COPY_AT: Duration = Duration::from_secs(12);
const TENANTS_AT: Duration = Duration::from_millis(12_500);
const AWAY_AT: Duration = Duration::from_secs(19);
const RETURN_AT: Duration = Duration::from_secs(21);
const RESTART_AT: Duration = Duration::from_secs(22);
const END_AT: Duration = Duration::from_secs(45);

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
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
    let first_tenant = Tenant::new("hule930", 5_000_000);
    let mut tenants = vec![first_tenant.clone()];
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
        return Verdict::Unable("the gateways do not become ready".into());
    }
    let started = record.now();
    let wait_until = |at: Duration| std::thread::sleep((started + at).saturating_sub(record.now()));
    record.say("traffic starts");
    let is_over = Arc::new(AtomicBool::new(false));
    let spent: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let mut clients = vec![start_client(0, &first_tenant, &platform, &is_over, &spent, record)];
    wait_until(COPY_AT);
    store.take_copy();
    wait_until(TENANTS_AT);
    tenants.extend((1..=NEW_TENANTS).map(|number| Tenant::new(&format!("new{number:02}"), PREPAID)));
    store.put("keyed.op", "config", &document(2, &routes, &services, &tenants));
    record.say(&format!("operator: adds {NEW_TENANTS} tenants, each with {PREPAID} tokens prepaid"));
    // A new configuration is in force within two seconds.
    std::thread::sleep(Duration::from_secs(1));
    for (number, tenant) in tenants.iter().enumerate().skip(1) {
        clients.push(start_client(number as u64, tenant, &platform, &is_over, &spent, record));
    }
    if has_trouble {
        wait_until(AWAY_AT);
        let all: Vec<_> = platform.all().cloned().collect();
        let (survivor, killed) = all.split_last().expect("machines");
        store.go_away();
        for gateway in killed {
            gateway.signal(SIGKILL);
        }
        record.say(&format!("platform: the store is away, all machines but {} are killed", survivor.node));
        say_spent(record, &spent);
        for gateway in killed {
            while !gateway.has_ended() {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        wait_until(RETURN_AT);
        store.return_from_copy();
        let age = RETURN_AT - COPY_AT;
        record.say(&format!("platform: the store is back, from a copy that is {} s old", age.as_secs()));
        wait_until(RESTART_AT);
        for gateway in killed {
            gateway.start();
        }
        record.say("platform: the killed machines start again");
    }
    wait_until(END_AT);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    platform.stop();
    say_spent(record, &spent);
    let spent = spent.lock().unwrap();
    let over: Vec<String> = tenants
        .iter()
        .filter(|tenant| spent.get(&tenant.name).is_some_and(|spent| *spent > tenant.prepaid))
        .map(|tenant| format!("{} got {} of {}", tenant.name, spent[&tenant.name], tenant.prepaid))
        .collect();
    record.say(&format!("tenants that got more than they prepaid: {}", over.len()));
    for line in &over {
        record.say(&format!("over: {line}"));
    }
    if tenants.iter().any(|tenant| !spent.contains_key(&tenant.name)) {
        return Verdict::Unable("a tenant was not served at all".into());
    }
    if over.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

fn say_spent(record: &Record, spent: &Mutex<BTreeMap<String, u64>>) {
    let spent = spent.lock().unwrap();
    let parts: Vec<String> = spent.iter().map(|(tenant, tokens)| format!("{tenant} {tokens}")).collect();
    record.say(&format!("tokens in whole answers so far: {}", parts.join(", ")));
}

/// Starts a client that sends one request after the other, each on a new connection.
///
/// Only requests whose whole answer arrived are counted: their prompts, and their events.
fn start_client(
    number: u64,
    tenant: &Tenant,
    platform: &Arc<Platform>,
    is_over: &Arc<AtomicBool>,
    spent: &Arc<Mutex<BTreeMap<String, u64>>>,
    record: &Record,
) -> std::thread::JoinHandle<()> {
    let (tenant, platform, is_over) = (tenant.clone(), Arc::clone(platform), Arc::clone(is_over));
    let (spent, record) = (Arc::clone(spent), record.clone());
    std::thread::spawn(move || {
        let mut count = 0;
        while !is_over.load(Ordering::SeqCst) {
            std::thread::sleep(PAUSE);
            count += 1;
            let id = format!("{}-{count}", tenant.name);
            let gateway = platform.forward(number as usize % ZONES.len(), number << 16 | count);
            let request = format!(
                "POST /chat/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
                 X-Token-Count: {INPUT_TOKENS},{}\r\nX-Prompt-Prefix: 5c1e07a2:200,{number:x}0{count:x}:800\r\n\
                 X-Deadline-Ms: 10000\r\nAuthorization: Bearer {}\r\nContent-Length: 3\r\n\r\nabc",
                u64::from(EVENTS) * EVENT_TOKENS,
                tenant.key
            );
            record.write(&format!("client: {id} sent to {}", gateway.node));
            let Ok(mut stream) = connect(&gateway.front) else {
                record.write(&format!("client: {id} finds no connection"));
                continue;
            };
            match exchange(&mut stream, request.as_bytes()) {
                Ending::Answer(answer) if answer.status() == 200 => {
                    let events = answer.body.windows(5).filter(|bytes| bytes == b"data:").count();
                    let tokens = INPUT_TOKENS + events as u64 * EVENT_TOKENS;
                    record.write(&format!("client: {id} answer 200 with {events} events"));
                    *spent.lock().unwrap().entry(tenant.name.clone()).or_default() += tokens;
                }
                Ending::Answer(answer) => {
                    record.write(&format!("client: {id} answer {}", answer.status()));
                }
                Ending::Cut(_) => record.write(&format!("client: {id} cut in the answer")),
                Ending::NoAnswer(reason) => record.write(&format!("client: {id} no answer: {reason}")),
            }
        }
    })
}
