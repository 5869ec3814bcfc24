//! Tests of the planned stop and of what a router process has open.

mod http_common;

use std::io::{BufReader, Write};
use std::time::Instant;

use http_common::{chat, connect, key, read_response, Exchange, Site, TEST_TIMEOUT};
use monsoonfield::membership::MemberPhase;
use monsoonfield::settings::Limits;
use monsoonfield::FleetState;

/// Guards against a planned stop that cuts responses off, strands budget or leaves the incarnation open.
#[test]
fn a_planned_stop_finishes_streams_and_returns_rights() {
    let site = Site::start(&[&["--tokens-per-second", "200"]]);
    let mut router = site.router("vm-1");
    let streams: Vec<_> = (0..20)
        .map(|number| {
            let callers = router.callers.clone();
            let mut stream = connect(&callers).expect("the router accepts");
            let request = chat(&format!("s{number}"), "text", 200, true);
            stream
                .write_all(&request.encode())
                .expect("the router reads");
            let mut reader = BufReader::new(stream);
            std::io::BufRead::fill_buf(&mut reader).expect("the response begins");
            reader
        })
        .collect();

    router.process.signal(libc::SIGTERM);
    let started = Instant::now();
    while Exchange::new("GET", "/readyz").send(&router.callers).status == 200 {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the router reports that it is not ready"
        );
    }
    let refused = chat("late", "text", 3, false).send(&router.callers);

    assert_eq!(refused.error(), ("shutting_down".into(), "not_run".into()));
    for mut reader in streams {
        read_response(&mut reader)
            .expect("the response ends")
            .assert_whole_stream(200);
    }
    assert_eq!(router.process.wait().code(), Some(0));
    let state = folded(&site);
    let members: Vec<_> = state
        .members
        .iter()
        .map(|(_, member)| member.phase)
        .collect();
    assert_eq!(members, [MemberPhase::Left]);
    let customer = state
        .customers
        .get("tapak")
        .expect("the contract is in force");
    let budget = state.ledger.budget(customer).expect("a budget");
    assert_eq!(
        budget.unallocated_tokens() + budget.billed_tokens(),
        http_common::PREPAID_TOKENS,
        "no rights are stranded"
    );
    for number in 0..20 {
        assert_eq!(site.bills(key(&format!("s{number}"))).len(), 1);
    }
}

/// Guards against a process that does not end although its operator insists.
#[test]
fn a_second_signal_ends_the_process() {
    let site = Site::start(&[&["--tokens-per-second", "1"]]);
    let mut router = site.router("vm-1");
    let mut stream = connect(&router.callers).expect("the router accepts");
    stream
        .write_all(&chat("long", "text", 1_000, true).encode())
        .expect("the router reads");
    std::io::BufRead::fill_buf(&mut BufReader::new(&stream)).expect("the response begins");

    router.process.signal(libc::SIGTERM);
    let started = Instant::now();
    while Exchange::new("GET", "/readyz").send(&router.callers).status == 200 {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the router reports that it is not ready"
        );
    }
    router.process.signal(libc::SIGTERM);

    assert_eq!(router.process.wait().code(), Some(1));
}

/// Guards against a stop that waits for ever for a response that does not end.
#[test]
fn the_time_limit_ends_the_process() {
    let site = Site::start(&[&["--tokens-per-second", "1"]]);
    let limits = Limits {
        shutdown_timeout_ms: 500,
        reader_idle_timeout_ms: 400,
        request_read_timeout_ms: 400,
        ..Limits::default()
    };
    let mut router = site.router_with("vm-1", limits, http_common::common::short_timing());
    let mut stream = connect(&router.callers).expect("the router accepts");
    stream
        .write_all(&chat("long", "text", 1_000, true).encode())
        .expect("the router reads");
    std::io::BufRead::fill_buf(&mut BufReader::new(&stream)).expect("the response begins");

    router.process.signal(libc::SIGTERM);

    assert_eq!(router.process.wait().code(), Some(1));
}

/// Guards against the library's default driver, which would use io_uring.
#[test]
fn no_io_uring_descriptor_is_open() {
    let site = Site::start(&[&["--tokens-per-second", "2000"]]);
    let router = site.router("vm-1");
    chat("ring", "text", 3, true)
        .send(&router.callers)
        .assert_whole_stream(3);

    let mut kinds = Vec::new();
    for entry in
        std::fs::read_dir(format!("/proc/{}/fd", router.process.id())).expect("a live process")
    {
        match std::fs::read_link(entry.expect("an entry").path()) {
            Ok(target) => kinds.push(target.to_string_lossy().into_owned()),
            // A connection was closed meanwhile; the descriptor of a driver stays open as long as the process.
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => {}
            Err(error) => panic!("a link: {error}"),
        }
    }

    assert!(
        kinds.iter().any(|kind| kind.contains("eventpoll")),
        "{kinds:?}"
    );
    assert!(
        !kinds.iter().any(|kind| kind.contains("io_uring")),
        "{kinds:?}"
    );
}

/// Guards against a thread or a child process beside the event loop.
#[test]
fn a_router_is_one_thread() {
    let site = Site::start(&[&["--tokens-per-second", "2000"]]);
    let router = site.router("vm-1");
    chat("thread", "text", 3, true)
        .send(&router.callers)
        .assert_whole_stream(3);

    let tasks = std::fs::read_dir(format!("/proc/{}/task", router.process.id()));

    assert_eq!(tasks.expect("a live process").count(), 1);
}

/// Guards against a router that takes more memory than planned before it serves anybody.
#[test]
fn an_idle_router_is_small() {
    let site = Site::start(&[&["--tokens-per-second", "2000"]]);
    let router = site.router("vm-1");

    let status = std::fs::read_to_string(format!("/proc/{}/status", router.process.id()));
    let resident_kib: u64 = status
        .expect("a live process")
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|text| text.trim().trim_end_matches(" kB").parse().ok())
        .expect("a number");

    assert!(resident_kib <= 32 << 10, "{resident_kib} KiB are resident");
}

fn folded(site: &Site) -> FleetState {
    let mut state = FleetState::default();
    for record in site.platform.read("fleet").records {
        state.apply_payload(record.offset, &record.payload);
    }
    state
}
