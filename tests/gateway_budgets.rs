//! Budgets of several gateways: reservations at the gateways that hold a team's rights.

mod gateway_common;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::UdpSocket;
use std::time::{Duration, Instant};

use gateway_common::*;
use monsoonfield::holders::{rank, Candidate, HOLDERS_PER_TEAM};

/// Number of gateways of a fleet; one of them is no holder.
const GATEWAYS: usize = HOLDERS_PER_TEAM + 1;

/// A fleet of gateways that know each other, by their role for the team.
struct Fleet {
    store: StoreStub,
    upstream: UpstreamStub,
    holders: Vec<Gateway>,
    /// The gateway that holds no rights of the team.
    other: Gateway,
}

fn start_fleet_of_three(prepaid: u64) -> Fleet {
    start_fleet_of_three_with(prepaid, start_token_stream_upstream())
}

fn start_fleet_of_three_with(prepaid: u64, upstream: UpstreamStub) -> Fleet {
    let store = StoreStub::start();
    store.configure(&configuration(1, prepaid));
    let entry = upstream.entry("desk", "ready").to_string();
    store.put("keyed.servers", &upstream.id, entry.as_bytes());
    let mut by_vm: BTreeMap<String, Gateway> = BTreeMap::new();
    for _ in 0..GATEWAYS {
        let gateway = Gateway::start(&store);
        by_vm.insert(gateway.vm.clone(), gateway);
    }
    for gateway in by_vm.values() {
        gateway.wait_ready();
        wait_for("knowledge of the fleet", || {
            gateway.log_has("gateways", GATEWAYS as u64)
        });
    }
    let names: Vec<String> = by_vm.keys().cloned().collect();
    let ranked = rank(
        TEAM,
        names.iter().map(|vm| Candidate {
            vm,
            data_centre: "kv-a",
            weight_permille: 1_000,
        }),
    );
    let mut take = |index: usize| by_vm.remove(ranked[index].vm).expect("started");
    let holders: Vec<Gateway> = (0..HOLDERS_PER_TEAM).map(&mut take).collect();
    Fleet {
        store,
        upstream,
        holders,
        other: take(HOLDERS_PER_TEAM),
    }
}

impl Fleet {
    fn assert_within(&self, prepaid: u64) {
        let served = self.upstream.requests().len() as u64;
        assert!(served * COST <= prepaid, "{served} requests ran");
    }

    fn wait_success(&self) {
        wait_for("success", || {
            token_request("warm").send(&self.other).status() == 200
        });
    }
}

/// Guards against refusing a request at a gateway that holds no rights although its team can pay, and against charges
/// that do not reach the holder: the whole budget can be spent through such a gateway, and no more.
#[test]
fn a_gateway_without_rights_reserves_at_the_holders_and_settles_there() {
    let fleet = start_fleet_of_three(3_000);
    let statuses: Vec<u16> = (0..40)
        .map(|_| token_request("r-9").send(&fleet.other).status())
        .collect();
    let served = statuses.iter().filter(|status| **status == 200).count() as u64;
    fleet.assert_within(3_000);
    assert!(
        served * COST + 2 * NEED >= 3_000,
        "{served} served: {statuses:?}"
    );
    assert_eq!(statuses.last(), Some(&402), "{statuses:?}");
    let at_the_gateway = fleet.other.log_lines_of("r-9");
    let holder = at_the_gateway
        .iter()
        .find_map(|line| line["holder"].as_str());
    let holder = holder.expect("the log names the holder");
    let holder = fleet.holders.iter().find(|gateway| gateway.vm == holder);
    let at_the_holder = holder.expect("a holder").log_lines_of("r-9");
    assert!(
        at_the_holder.iter().any(|line| line["step"] == "hold"),
        "the request is found at the holder by its id"
    );
}

/// Guards against handing out tokens of open requests again after their holder was killed, and against refusing other
/// requests until it is back.
#[test]
fn a_holder_that_is_killed_between_reservation_and_settlement_costs_no_more_than_the_reservation() {
    let upstream = UpstreamStub::start(|request, number| {
        if number == 2 {
            return Action::Silent;
        }
        let head = signed_head(
            request,
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        );
        let body = event_chunk(1) + &event_chunk(2) + "0\r\n\r\n";
        Action::Write((head + &body).into_bytes())
    });
    let mut fleet = start_fleet_of_three_with(3_000, upstream);
    fleet.wait_success();
    let mut open = connect(&fleet.other.callers);
    open.write_all(&token_request("open").encode()).unwrap();
    wait_for("request at the upstream", || {
        fleet.upstream.requests().len() >= 2
    });
    let of_open = |gateway: &Gateway| !gateway.log_lines_of("open").is_empty();
    wait_for("reservation", || fleet.holders.iter().any(of_open));
    let holder = fleet.holders.iter().position(of_open).expect("a holder");
    let vm = fleet.holders[holder].vm.clone();
    drop(fleet.holders.remove(holder));
    let during: Vec<u16> = (0..3)
        .map(|_| token_request("during").send(&fleet.other).status())
        .collect();
    assert!(during.contains(&200), "another holder serves: {during:?}");
    let successor = Gateway::start_on_vm(&fleet.store, &vm);
    successor.wait_ready();
    let after = (0..60)
        .filter(|_| token_request("after").send(&fleet.other).status() == 200)
        .count();
    assert!(after > 0);
    fleet.assert_within(3_000);
}

/// Guards against requests that wait for a frozen holder, and against reservations that it makes when it runs again for
/// requests that were given up.
#[test]
fn a_holder_that_is_stopped_and_continued_delays_only_the_first_request() {
    let fleet = start_fleet_of_three(30_000);
    fleet.wait_success();
    // The holder that the gateway asks first.
    let is_asked = |holder: &&Gateway| !holder.log_lines_of("warm").is_empty();
    wait_for("a line of the holder", || {
        fleet.holders.iter().any(|holder| is_asked(&holder))
    });
    let stopped = fleet.holders.iter().find(is_asked).expect("a holder");
    stopped.signal(libc::SIGSTOP);
    let started = Instant::now();
    // It reserves far more than it costs, which shows if its reservation at the stopped holder is not settled.
    let first = CallerRequest {
        headers: "X-Token-Count: 100,3000\r\n",
        ..token_request("during")
    };
    let mut during = vec![first.send(&fleet.other).status()];
    during.extend((0..9).map(|_| token_request("during").send(&fleet.other).status()));
    let elapsed = started.elapsed();
    stopped.signal(libc::SIGCONT);
    assert_eq!(during, [200; 10], "{during:?}");
    assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
    let served = fleet.upstream.requests().len() as u64;
    // Everything that is not charged can still be spent once the holder has settled what was given up.
    let rest = 30_000 - served * COST;
    let mut spent = 0;
    wait_for("use of the rest", || {
        let status = token_request("rest").send(&fleet.other).status();
        spent += if status == 200 { COST } else { 0 };
        status != 200 && spent + 2 * NEED >= rest
    });
    fleet.assert_within(30_000);
}

/// Guards against refusing requests in an outage of the store at gateways that hold no rights.
#[test]
fn the_holders_serve_the_whole_fleet_while_the_store_is_silent() {
    let fleet = start_fleet_of_three(1_000_000);
    for _ in 0..30 {
        fleet.wait_success();
    }
    fleet.store.set_mode(StoreMode::Silent);
    let during: Vec<u16> = (0..5)
        .map(|_| token_request("during").send(&fleet.other).status())
        .collect();
    fleet.store.set_mode(StoreMode::Available);
    assert_eq!(during, [200; 5]);
}

/// Guards against refusing requests after a short wait while the holders keep rights that unlock soon: the estimate of
/// the wait assumed that the store still writes journal entries.
#[test]
fn requests_wait_for_rights_that_unlock_while_the_store_is_silent() {
    let fleet = start_fleet_of_three(1_000_000);
    let mut patient = configuration(2, 1_000_000);
    for route in patient["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = 10_000.into();
    }
    fleet.store.configure(&patient);
    let gateways = [&fleet.holders[0], &fleet.holders[1], &fleet.other];
    wait_for("the new configuration", || {
        gateways.iter().all(|gateway| gateway.log_has("version", 2))
    });
    for _ in 0..100 {
        fleet.wait_success();
    }
    fleet.store.set_mode(StoreMode::Silent);
    let request = String::from_utf8(token_request("during").encode()).expect("text");
    let request = request.replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 10000");
    let started = Instant::now();
    let mut statuses = Vec::new();
    while started.elapsed() < Duration::from_secs(5) {
        let mut stream = connect(&fleet.other.callers);
        stream.write_all(request.as_bytes()).expect("written");
        statuses.push(read_response(&mut BufReader::new(stream)).status());
    }
    fleet.store.set_mode(StoreMode::Available);
    let refused = statuses.iter().filter(|status| **status != 200).count();
    let reasons = fleet.other.log_lines_with_step("refuse");
    assert_eq!(refused, 0, "of {} requests: {reasons:#?}", statuses.len());
}

/// Guards against refusing requests at a gateway that reaches no other one although the store can grant it rights.
#[test]
fn a_gateway_that_reaches_no_other_one_acquires_rights_itself() {
    let fleet = start_fleet_of_three(1_000_000);
    for holder in &fleet.holders {
        holder.signal(libc::SIGSTOP);
    }
    let statuses: Vec<u16> = (0..5)
        .map(|_| token_request("alone").send(&fleet.other).status())
        .collect();
    for holder in &fleet.holders {
        holder.signal(libc::SIGCONT);
    }
    assert_eq!(statuses, [200; 5]);
}

/// Guards against requests that wait although neither the store nor a holder can be reached, and against an untrue
/// answer to them.
#[test]
fn a_gateway_that_reaches_neither_holders_nor_the_store_refuses_soon() {
    let fleet = start_fleet_of_three(1_000_000);
    fleet.wait_success();
    for holder in &fleet.holders {
        holder.signal(libc::SIGSTOP);
    }
    fleet.store.set_mode(StoreMode::Silent);
    let ran = fleet.upstream.requests().len();
    // The first request finds out that the holders are silent, and the second one that the store is.
    let mut statuses = Vec::new();
    wait_for("a quick refusal", || {
        let started = Instant::now();
        let response = token_request("cut").send(&fleet.other);
        statuses.push(response.status());
        response.status() == 503
            && response.header("retry-after").is_some()
            && started.elapsed() < Duration::from_millis(150)
    });
    fleet.store.set_mode(StoreMode::Available);
    for holder in &fleet.holders {
        holder.signal(libc::SIGCONT);
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(
        fleet.upstream.requests().len() - ran,
        served,
        "{statuses:?}"
    );
}

/// Guards against datagrams from outside the fleet that take tokens from a team, and against messages that cannot be
/// decoded, are too large or are sent without end.
#[test]
fn datagrams_of_strangers_change_nothing() {
    let fleet = start_fleet_of_three(3_000);
    fleet.wait_success();
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    stranger
        .set_read_timeout(Some(Duration::from_millis(100)))
        .expect("a socket");
    // Field 6 of the envelope: a reservation (1: id, 2: team, 3: tokens) of the whole budget.
    let reservation = |id: u8| {
        let mut inner = vec![0x09, id, 0, 0, 0, 0, 0, 0, 0, 0x12, TEAM.len() as u8];
        inner.extend_from_slice(TEAM.as_bytes());
        inner.extend_from_slice(&[0x18, 0xb8, 0x17]);
        let mut datagram = vec![0x32, inner.len() as u8];
        datagram.extend(inner);
        datagram
    };
    let unknown_kind = vec![0x7a, 0];
    for holder in &fleet.holders {
        for number in 0..200_u8 {
            let datagrams = [
                reservation(number),
                vec![0xff; 40],
                vec![0x32; 700],
                vec![0x32; 9_000],
                unknown_kind.clone(),
            ];
            for datagram in &datagrams {
                stranger.send_to(datagram, &holder.peers).expect("sent");
            }
        }
        wait_for("ignored datagrams", || {
            let metrics = get(&holder.metrics, "/metrics").text();
            metrics.contains("datagrams_ignored") && !metrics.contains("datagrams_ignored 0\n")
        });
        let lines = holder.log_lines_with_step("datagram").len();
        assert!(lines <= 3, "{lines} lines about 1,000 datagrams");
    }
    let mut answer = [0; 64];
    assert!(
        stranger.recv(&mut answer).is_err(),
        "a stranger gets no reply"
    );
    let served = (0..40)
        .filter(|_| token_request("r-1").send(&fleet.other).status() == 200)
        .count() as u64;
    assert!((served + 1) * COST + 2 * NEED >= 3_000, "{served}");
}

/// Guards against a fleet that refuses requests while a holder shuts down.
#[test]
fn a_holder_that_shuts_down_returns_its_rights_first() {
    let mut fleet = start_fleet_of_three(12_000);
    // Its own requests make the holder hold most of what is left.
    wait_for("twenty requests", || {
        let _ = token_request("before").send(&fleet.holders[0]);
        fleet.upstream.requests().len() >= 20
    });
    wait_for("rights that are held", || {
        fleet.holders[0].log_has("available_tokens", 2_000)
    });
    fleet.holders[0].signal(libc::SIGTERM);
    // Nearly the whole rest, so that the rights of the holder are needed before it ends.
    let statuses: Vec<u16> = (0..70)
        .map(|_| token_request("during").send(&fleet.other).status())
        .collect();
    assert_eq!(statuses, [200; 70]);
    assert_eq!(fleet.holders[0].wait(), Some(0));
    let after = token_request("after").send(&fleet.other);
    assert_eq!(after.status(), 200);
    fleet.assert_within(12_000);
}

/// Guards against rights that are stranded by a shutdown while the store is silent: the process ended before the rights
/// that it hands over were sent.
#[test]
fn a_holder_that_shuts_down_without_the_store_hands_its_rights_over() {
    let mut fleet = start_fleet_of_three(12_000);
    for _ in 0..10 {
        let _ = token_request("before").send(&fleet.holders[0]);
    }
    wait_for("rights that are held", || {
        fleet.holders[0].log_has("available_tokens", 300)
    });
    fleet.store.set_mode(StoreMode::Silent);
    fleet.holders[0].signal(libc::SIGTERM);
    assert_eq!(fleet.holders[0].wait(), Some(0));
    let handed_over = fleet.holders[0].log_lines_with_step("hand over");
    assert!(!handed_over.is_empty(), "nothing was left to hand over");
    wait_for("rights at another gateway", || {
        let others = [&fleet.holders[1], &fleet.other];
        let mut lines = others
            .iter()
            .flat_map(|gateway| gateway.log_lines_with_step("receive"));
        lines.next().is_some()
    });
    fleet.store.set_mode(StoreMode::Available);
}
