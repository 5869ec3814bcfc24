//! Tests of a gateway whose own network or processor is the bottleneck.

mod gateway_common;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use gateway_common::{
    configuration, signed_response, start_fleet, wait_for, Action, CallerRequest, Gateway,
    StoreStub, UpstreamStub,
};

/// Budget that is too large to be exhausted by a test.
const LARGE_BUDGET: u64 = 1_000_000_000;

/// Number of upstreams, enough for slow connects to several of them.
const UPSTREAMS: usize = 4;

/// Number of times that a process is stopped, and for how long.
const STOPS: u32 = 6;
const STOP: Duration = Duration::from_millis(450);

/// An address that answers no attempt to connect, as if packets were lost, because its queue of connections is full.
struct UnansweredAddress {
    listener: TcpListener,
    /// Connections that fill the queue until they are dropped.
    _queued: Vec<TcpStream>,
}

impl UnansweredAddress {
    fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        // SAFETY: the descriptor belongs to the listener; a second call only changes the length of the queue.
        let result = unsafe { libc::listen(listener.as_raw_fd(), 0) };
        assert_eq!(result, 0, "the queue can be shortened");
        let address = listener.local_addr().expect("bound");
        let is_answered = |queued: &mut Vec<TcpStream>| {
            let limit = Duration::from_millis(100);
            let connected = TcpStream::connect_timeout(&address, limit);
            connected.map(|stream| queued.push(stream)).is_ok()
        };
        let mut queued = Vec::new();
        wait_for("a full queue", || !is_answered(&mut queued));
        Self {
            listener,
            _queued: queued,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }
}

/// Adds an upstream at an address, or changes the address of one.
fn put_upstream(store: &StoreStub, upstream: &UpstreamStub, address: SocketAddr) {
    let mut entry = upstream.entry("desk", "ready");
    entry["addr"] = address.to_string().into();
    store.put("keyed.servers", &upstream.id, entry.to_string().as_bytes());
}

/// Starts a gateway with upstreams that answer no attempt to connect.
fn start_unanswered() -> (
    StoreStub,
    Gateway,
    Vec<UnansweredAddress>,
    Vec<UpstreamStub>,
) {
    let store = StoreStub::start();
    store.configure(&configuration(1, LARGE_BUDGET));
    let serve =
        |_| UpstreamStub::start(|request, _| Action::Write(signed_response(request, 200, "done")));
    let upstreams: Vec<_> = (0..UPSTREAMS).map(serve).collect();
    let addresses: Vec<_> = upstreams
        .iter()
        .map(|_| UnansweredAddress::open())
        .collect();
    for (upstream, unanswered) in upstreams.iter().zip(&addresses) {
        put_upstream(&store, upstream, unanswered.address());
    }
    let gateway = Gateway::start(&store);
    gateway.wait_ready();
    (store, gateway, addresses, upstreams)
}

/// Sends a request for each id at the same time; returns the statuses of the responses.
fn send_together(gateway: &Gateway, ids: &[String]) -> Vec<u16> {
    std::thread::scope(|scope| {
        let send = |id| {
            scope.spawn(move || {
                let request = CallerRequest {
                    id,
                    ..CallerRequest::default()
                };
                request.send(gateway).status()
            })
        };
        let sent: Vec<_> = ids.iter().map(|id| send(id.as_str())).collect();
        sent.into_iter()
            .map(|sent| sent.join().expect("a response"))
            .collect()
    })
}

/// Returns the reasons with which a request was refused.
fn refusals_of(gateway: &Gateway, id: &str) -> Vec<String> {
    let lines = gateway.log_lines_of(id);
    let refused = lines.iter().filter(|line| line["step"] == "refuse");
    refused.map(|line| line["message"].to_string()).collect()
}

/// Guards against refusing requests without an attempt because connects to all upstreams timed out on this VM's own
/// link: two such VMs refused 1,837 requests while 60 upstreams were healthy.
#[test]
fn a_request_is_attempted_although_connects_to_all_upstreams_timed_out() {
    let (_store, gateway, _addresses, _upstreams) = start_unanswered();
    let first: Vec<String> = (0..8).map(|number| format!("first-{number}")).collect();
    send_together(&gateway, &first);
    let second: Vec<String> = (0..8).map(|number| format!("second-{number}")).collect();
    send_together(&gateway, &second);
    for id in first.iter().chain(&second) {
        let reasons = refusals_of(&gateway, id);
        let is_unattempted =
            |reason: &String| reason.contains("no upstream of the service is usable");
        assert!(!reasons.iter().any(is_unattempted), "{id}: {reasons:?}");
    }
}

/// Guards against a congested VM that does not tell the other gateways, so that it remains the holder of the rights of
/// teams; and against one report for each request while it is congested.
#[test]
fn other_gateways_are_told_once_of_sustained_congestion() {
    let (store, gateway, _addresses, _upstreams) = start_unanswered();
    let is_reported = || {
        let newest = store.newest("keyed.routers", &gateway.vm);
        let newest: serde_json::Value =
            serde_json::from_slice(&newest.unwrap_or_default()).unwrap_or_default();
        newest["is_congested"] == true
    };
    assert!(!is_reported());
    let ids: Vec<String> = (0..8).map(|number| format!("r-{number}")).collect();
    wait_for("a report of the congestion", || {
        send_together(&gateway, &ids);
        is_reported()
    });
    let lines = gateway.log_lines_with_step("congestion");
    let reports = lines.iter().filter(|line| line["reported"] == true);
    assert_eq!(reports.count(), 1, "{lines:?}");
}

/// Guards against a gateway that keeps its callers while its link is saturated, against one that stays out of rotation
/// after that, and against other gateways that withdraw with it.
#[test]
fn a_gateway_with_a_saturated_link_is_out_of_rotation_until_that_ends() {
    let (store, gateway, _addresses, _upstreams) = start_unanswered();
    let other = Gateway::start(&store);
    other.wait_ready();
    let ids: Vec<String> = (0..8).map(|number| format!("r-{number}")).collect();
    let wait_for_readiness = |is_ready: bool| {
        wait_for("a change of readiness", || {
            if !is_ready {
                send_together(&gateway, &ids);
            }
            let lines = gateway.log_lines_with_step("withdrawal");
            lines.iter().any(|line| line["ready"] == is_ready)
        });
    };
    wait_for_readiness(false);
    wait_for_readiness(true);
    assert!(gateway.is_ready());
    assert!(other.log_lines_with_step("withdrawal").is_empty());
}

/// Guards against taking stops of the process for congestion: the timers that were due meanwhile are late.
#[test]
fn a_gateway_that_was_stopped_several_times_is_not_congested_afterwards() {
    let upstream =
        UpstreamStub::start(|request, _| Action::Write(signed_response(request, 200, "done")));
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    for _ in 0..STOPS {
        gateway.signal(libc::SIGSTOP);
        // The time for which the process is stopped.
        std::thread::sleep(STOP);
        gateway.signal(libc::SIGCONT);
        assert_eq!(CallerRequest::default().send(&gateway).status(), 200);
    }
    let states = gateway.log_lines_with_step("state").len();
    wait_for("a later log line about the state", || {
        gateway.log_lines_with_step("state").len() > states
    });
    let lines = gateway.log_lines_with_step("congestion");
    assert!(lines.is_empty(), "{lines:?}");
}
