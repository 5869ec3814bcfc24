//! Tests of the graceful shutdown, and of the threads, file descriptors and memory of a router process.

mod http_common;

use std::io::{BufReader, Write};
use std::time::Instant;

use http_common::{chat, connect, key, read_response, Deployment, HttpRequest, TEST_TIMEOUT};
use monsoonfield::membership::MemberPhase;
use monsoonfield::settings::Limits;
use monsoonfield::FleetState;

/// Guards against a graceful shutdown that cuts off responses, strands rights or leaves the incarnation open.
#[test]
fn a_graceful_shutdown_completes_streams_and_returns_rights() {
    let deployment = Deployment::start(&[&["--tokens-per-second", "200"]]);
    let mut router = deployment.router("vm-1");
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
    while HttpRequest::new("GET", "/readyz")
        .send(&router.callers)
        .status
        == 200
    {
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
            .assert_complete_stream(200);
    }
    assert_eq!(router.process.wait().code(), Some(0));
    let state = folded_state(&deployment);
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
        assert_eq!(deployment.bills(key(&format!("s{number}"))).len(), 1);
    }
}

/// Guards against a process that does not end after a second signal from its operator.
#[test]
fn a_second_signal_ends_the_process() {
    let deployment = Deployment::start(&[&["--tokens-per-second", "1"]]);
    let mut router = deployment.router("vm-1");
    let mut stream = connect(&router.callers).expect("the router accepts");
    stream
        .write_all(&chat("long", "text", 1_000, true).encode())
        .expect("the router reads");
    std::io::BufRead::fill_buf(&mut BufReader::new(&stream)).expect("the response begins");

    router.process.signal(libc::SIGTERM);
    let started = Instant::now();
    while HttpRequest::new("GET", "/readyz")
        .send(&router.callers)
        .status
        == 200
    {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the router reports that it is not ready"
        );
    }
    router.process.signal(libc::SIGTERM);

    assert_eq!(router.process.wait().code(), Some(1));
}

/// Guards against a shutdown that waits forever for a response that does not end.
#[test]
fn the_shutdown_time_limit_ends_the_process() {
    let deployment = Deployment::start(&[&["--tokens-per-second", "1"]]);
    let limits = Limits {
        shutdown_timeout_ms: 500,
        reader_idle_timeout_ms: 400,
        request_read_timeout_ms: 400,
        ..Limits::default()
    };
    let mut router = deployment.router_with("vm-1", limits, http_common::common::short_timing());
    let mut stream = connect(&router.callers).expect("the router accepts");
    stream
        .write_all(&chat("long", "text", 1_000, true).encode())
        .expect("the router reads");
    std::io::BufRead::fill_buf(&mut BufReader::new(&stream)).expect("the response begins");

    router.process.signal(libc::SIGTERM);

    assert_eq!(router.process.wait().code(), Some(1));
}

/// Guards against the default driver of the runtime, which uses io_uring.
#[test]
fn no_io_uring_descriptor_is_open() {
    let deployment = Deployment::start(&[&["--tokens-per-second", "2000"]]);
    let router = deployment.router("vm-1");
    chat("ring", "text", 3, true)
        .send(&router.callers)
        .assert_complete_stream(3);

    let mut kinds = Vec::new();
    for entry in
        std::fs::read_dir(format!("/proc/{}/fd", router.process.id())).expect("a live process")
    {
        match std::fs::read_link(entry.expect("an entry").path()) {
            Ok(target) => kinds.push(target.to_string_lossy().into_owned()),
            // A connection was closed in the meantime. The descriptor of a driver stays open until the process ends.
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

/// Guards against a second thread in the process.
#[test]
fn a_router_is_one_thread() {
    let deployment = Deployment::start(&[&["--tokens-per-second", "2000"]]);
    let router = deployment.router("vm-1");
    chat("thread", "text", 3, true)
        .send(&router.callers)
        .assert_complete_stream(3);

    let tasks = std::fs::read_dir(format!("/proc/{}/task", router.process.id()));

    assert_eq!(tasks.expect("a live process").count(), 1);
}

/// Guards against an idle router that uses more memory than the target of 32 MiB.
#[test]
fn an_idle_router_is_small() {
    let deployment = Deployment::start(&[&["--tokens-per-second", "2000"]]);
    let router = deployment.router("vm-1");

    let status = std::fs::read_to_string(format!("/proc/{}/status", router.process.id()));
    let resident_kib: u64 = status
        .expect("a live process")
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|text| text.trim().trim_end_matches(" kB").parse().ok())
        .expect("a number");

    assert!(resident_kib <= 32 << 10, "{resident_kib} KiB are resident");
}

fn folded_state(deployment: &Deployment) -> FleetState {
    let mut state = FleetState::default();
    for record in deployment.platform.read("fleet").records {
        state.apply_payload(record.offset, &record.payload);
    }
    state
}
