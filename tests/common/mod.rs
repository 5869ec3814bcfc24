//! Shared fixtures of the tests with real connections.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::future::Future;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;

use monoio::net::TcpListener;
use monsoonfield::fleet::{Event, Fleet, FleetBuilder, Subscription};
use monsoonfield::record::{ConfigurationEntry, ContractEntry, Entry};
use monsoonfield::settings::{Limits, Listen, PlatformAddresses, Settings, Timing};
use monsoonfield::vm_list::{Vm, VmState};

pub mod forwarder;
pub mod platform_stub;
pub mod process;

/// Upper bound of every wait in these tests; far above what any of them needs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on the runtime that the crate uses.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime starts")
        .block_on(test)
}

/// A platform stub that runs on its own thread.
pub struct PlatformStub {
    pub address: String,
}

impl PlatformStub {
    pub fn start() -> Self {
        Self::with_options(platform_stub::Options::default())
    }

    pub fn with_options(options: platform_stub::Options) -> Self {
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            run(async move {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
                let address = listener.local_addr().expect("the listener is bound");
                sender.send(address.to_string()).expect("the test waits");
                platform_stub::serve(listener, options).await;
            });
        });
        let address = receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("the stub starts");
        Self { address }
    }

    /// Sets the given fields of [`platform_stub::Faults`]; the others stay unchanged.
    pub fn set_faults(&self, faults: serde_json::Value) {
        let (status, _) = http_call(
            &self.address,
            "POST",
            "/fault",
            faults.to_string().as_bytes(),
        );
        assert_eq!(status, 200, "the stub accepts the faults");
    }

    /// Replaces the VM list by JSON entries.
    pub fn set_vms_json(&self, list: &serde_json::Value) {
        let (status, _) = http_call(
            &self.address,
            "POST",
            "/v1/vms",
            list.to_string().as_bytes(),
        );
        assert_eq!(status, 200);
    }

    /// Replaces the VM list by live VMs with names and addresses.
    pub fn set_vms(&self, vms: &[(&str, &str)]) {
        let list: Vec<_> = vms
            .iter()
            .map(|(vm, address)| Vm {
                vm: (*vm).into(),
                address: (*address).into(),
                state: VmState::Live,
            })
            .collect();
        let body = serde_json::to_vec(&list).expect("plain data");
        let (status, _) = http_call(&self.address, "POST", "/v1/vms", &body);
        assert_eq!(status, 200, "the stub accepts the list");
    }

    /// Appends a record with a blocking call and returns its offset.
    pub fn append(&self, stream: &str, payload: &[u8]) -> u64 {
        let (status, body) = http_call(
            &self.address,
            "POST",
            &format!("/v1/streams/{stream}"),
            payload,
        );
        assert_eq!(status, 200, "the log accepts the record");
        let answer: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        answer["offset"].as_u64().expect("an offset")
    }

    /// Reads all records of a stream.
    pub fn read(&self, stream: &str) -> monsoonfield::log_client::Page {
        let path = format!("/v1/streams/{stream}?from=0&max=1000000&wait_ms=0");
        let (status, body) = http_call(&self.address, "GET", &path, b"");
        assert_eq!(status, 200, "the log answers");
        serde_json::from_slice(&body).expect("JSON")
    }

    pub fn counters(&self) -> platform_stub::Counters {
        let (_, body) = http_call(&self.address, "GET", "/counters", b"");
        serde_json::from_slice(&body).expect("JSON")
    }

    /// Returns the settings of a router that uses this platform.
    pub fn settings(&self, vm: &str, data_centre: &str, timing: Timing) -> Settings {
        Settings {
            vm: vm.into(),
            data_centre: data_centre.into(),
            listen: Listen {
                callers: "127.0.0.1:0".into(),
                admin: "127.0.0.1:0".into(),
                peers: "127.0.0.1:0".into(),
            },
            platform: PlatformAddresses {
                log: self.address.as_str().into(),
                vm_list: self.address.as_str().into(),
                weight_store: self.address.as_str().into(),
            },
            limits: Limits::default(),
            timing,
        }
    }

    /// Starts a fleet connection on the current runtime and waits until it has a state.
    pub async fn start_fleet(&self, vm: &str, timing: &Timing) -> Fleet {
        let settings = self.settings(vm, "dc-1", timing.clone());
        let fleet = FleetBuilder::new(&settings)
            .start()
            .expect("the listener opens");
        fleet.wait_for_state(TEST_TIMEOUT).await.expect("a state");
        fleet
    }
}

/// Returns short intervals, so that timeouts and closures occur within the time of a test.
pub fn short_timing() -> Timing {
    Timing {
        flush_interval_ms: 10,
        empty_batch_interval_ms: 200,
        append_timeout_ms: 500,
        poll_wait_ms: 200,
        poll_interval_ms: 5,
        heartbeat_interval_ms: 50,
        heartbeat_timeout_ms: 300,
        close_after_ms: 1_500,
        finalize_after_ms: 2_000,
        vm_list_interval_ms: 100,
        reconnect_limit_ms: 200,
        snapshot_interval_records: 10_000,
    }
}

/// Waits for an event that satisfies the condition.
pub async fn wait_for_event(
    subscription: &mut Subscription,
    what: &str,
    mut condition: impl FnMut(&Event) -> bool,
) -> Event {
    let wait = async {
        while let Some(event) = subscription.next().await {
            if condition(&event) {
                return Some(event);
            }
        }
        None
    };
    match monoio::time::timeout(TEST_TIMEOUT, wait).await {
        Ok(Some(event)) => event,
        _ => panic!("no event within {TEST_TIMEOUT:?}: {what}"),
    }
}

/// Waits until a condition holds, which is checked every 2 ms; for conditions that no event reports.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = std::time::Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "not within {TEST_TIMEOUT:?}: {what}"
        );
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Returns a contract entry with a prepaid total.
pub fn contract(customer: &str, revision: u64, total_tokens: u64) -> Entry {
    let body = serde_json::json!({
        "customer": customer,
        "api_key_sha256": ["0".repeat(64)],
        "prepaid_total_tokens": total_tokens,
        "priority": "normal",
        "response_time_limit_ms": 30_000,
        "models": [],
    });
    Entry::Contract(ContractEntry {
        customer: customer.into(),
        revision,
        replaces: revision - 1,
        body_json: body.to_string().into_bytes(),
    })
}

/// Returns a valid configuration entry.
pub fn configuration(revision: u64, replaces: u64) -> Entry {
    Entry::Configuration(ConfigurationEntry {
        revision,
        replaces,
        body_json: br#"{"models":[],"services":[],"upstreams":[]}"#.to_vec(),
    })
}

/// Sends a blocking HTTP request, and returns the status and body of the response.
pub fn http_call(address: &str, method: &str, path: &str, body: &[u8]) -> (u16, Vec<u8>) {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a valid timeout");
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )
    .and_then(|()| stream.write_all(body))
    .expect("the server reads");
    let mut received = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        if let Some((status, body)) = parse_response(&received) {
            return (status, body);
        }
        let count = stream
            .read(&mut buffer)
            .expect("the server answers in time");
        assert!(count > 0, "the server closed the connection");
        received.extend_from_slice(&buffer[..count]);
    }
}

fn parse_response(received: &[u8]) -> Option<(u16, Vec<u8>)> {
    let end = received.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&received[..end]).expect("a text head");
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head
        .lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, value)| value.trim().parse().expect("a length"));
    let body = received.get(end + 4..end + 4 + length)?;
    Some((status, body.to_vec()))
}
