//! Clocks of this VM, and the exchange of wall clock times with other gateways.
//!
//! A response counts only if it arrives quickly, so that neither a busy VM nor a congested link makes the fleet time
//! appear earlier than it is. See [`crate::fleet_clock`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::seq::IteratorRandom;

use super::peers::{ClockMessage, Content};
use super::{presence, Shared};
use crate::fleet_clock::MIN_CLOCKS;

/// Interval between two rounds of requests.
const ROUND_INTERVAL: Duration = Duration::from_millis(2_000);

/// Number of gateways that are asked in one round.
const PEERS_PER_ROUND: usize = 3;

/// Longest round trip of a request whose response still counts.
const MAX_ROUND_TRIP_MS: u64 = 100;

/// Number of gateways that are asked at start-up, so that the clocks of one or two may be wrong.
const PEERS_AT_START: usize = 9;

/// Number of rounds at start-up, and the time between them; gateways that start at the same time respond within the
/// total.
const START_ROUNDS: u32 = 10;
const START_INTERVAL: Duration = Duration::from_millis(120);

/// Samples the clocks of other gateways until the process ends.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        let peers = {
            let routers = shared.routers.borrow();
            let mut random = shared.random.borrow_mut();
            let peers = routers.peers(&shared.settings.vm);
            peers.choose_multiple(&mut *random, PEERS_PER_ROUND)
        };
        send_requests(&shared, &peers);
        monoio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Determines the fleet time at start-up, from gateways that have reported their presence at any time.
pub(super) async fn synchronise(shared: &Shared) {
    let mut peers: Vec<SocketAddr> = Vec::new();
    for _ in 0..START_ROUNDS {
        if peers.is_empty() {
            let addresses = presence::peer_addresses(shared).await;
            let mut random = shared.random.borrow_mut();
            peers = addresses
                .into_iter()
                .choose_multiple(&mut *random, PEERS_AT_START);
        }
        send_requests(shared, &peers);
        monoio::time::sleep(START_INTERVAL).await;
        let (wall_ms, monotonic_ms) = (wall_ms(), monotonic_ms());
        if shared
            .clock
            .borrow()
            .now_ms(wall_ms, monotonic_ms)
            .is_some()
        {
            return;
        }
    }
    log::warn!(
        step = "fleet time", asked = peers.len();
        "the fleet time is unknown: fewer than {MIN_CLOCKS} clocks are known"
    );
}

fn send_requests(shared: &Shared, peers: &[SocketAddr]) {
    for peer in peers {
        send_request(shared, *peer);
    }
}

/// Asks another gateway for its wall clock; the response also shows that it can be reached.
pub(super) fn send_request(shared: &Shared, peer: SocketAddr) {
    let request = ClockMessage {
        wall_ms: 0,
        asked_steady_ms: monotonic_ms(),
        is_answer: false,
    };
    shared.peer_socket.send(Content::Clock(request), peer);
}

/// Handles a clock request or response of another gateway.
pub(super) fn handle_message(shared: &Shared, message: &ClockMessage, peer: SocketAddr) {
    if !message.is_answer {
        let response = ClockMessage {
            wall_ms: wall_ms(),
            asked_steady_ms: message.asked_steady_ms,
            is_answer: true,
        };
        shared.peer_socket.send(Content::Clock(response), peer);
        return;
    }
    let now_ms = monotonic_ms();
    let Some(round_trip_ms) = now_ms.checked_sub(message.asked_steady_ms) else {
        return;
    };
    let mut monitor = shared.peer_monitor.borrow_mut();
    monitor.record_response(peer, round_trip_ms);
    if round_trip_ms <= MAX_ROUND_TRIP_MS {
        let mut clock = shared.clock.borrow_mut();
        clock.add_sample(peer, message.wall_ms, now_ms);
    }
}

/// Returns the time of the wall clock.
pub(super) fn wall_ms() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    match wall {
        Ok(wall) => wall.as_millis() as u64,
        Err(error) => {
            log::error!(step = "clock"; "the wall clock is before 1970: {error}");
            0
        }
    }
}

/// Returns the time of the monotonic clock, which all processes of one boot share.
pub(super) fn monotonic_ms() -> u64 {
    read_clock_ms(libc::CLOCK_MONOTONIC)
}

/// Returns the processor time that this process has used.
pub(super) fn processor_ms() -> u64 {
    read_clock_ms(libc::CLOCK_PROCESS_CPUTIME_ID)
}

fn read_clock_ms(clock: libc::clockid_t) -> u64 {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: The pointer refers to a local value of the right type, and the call writes nothing else.
    let result = unsafe { libc::clock_gettime(clock, &mut time) };
    if result != 0 {
        log::error!(
            step = "clock";
            "clock {clock} cannot be read: {}", std::io::Error::last_os_error()
        );
        return 0;
    }
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
