//! A stand-in for the gateway that grants the requests to upstreams with a limit.

use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;

use super::{StoreStub, TEST_TIMEOUT};

/// Reports the presence of a gateway that the others choose as the coordinator of each limit; returns its socket.
pub fn join_as_coordinator(store: &StoreStub) -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    // Short, so that the loop that reads notices the end of the test.
    socket
        .set_read_timeout(Some(Duration::from_millis(5)))
        .expect("a socket");
    let presence = json!({
        "data_centre": "kv-b", "router": 7, "requests": 0, "weight_permille": u32::MAX, "is_leaving": false,
        "peer_address": socket.local_addr().expect("bound").to_string(),
    });
    store.put(
        "keyed.routers",
        "coordinator",
        presence.to_string().as_bytes(),
    );
    socket
}

/// Grants each request to the upstream of a limit until the test ends, but only after `before_grant` has returned for
/// its number.
pub fn grant_requests(socket: &UdpSocket, is_ended: &AtomicBool, before_grant: impl Fn(usize)) {
    /// Beginning of a request for permission (field 13) whose first field is its id, after the length.
    const REQUEST_TAG: u8 = 0x6a;
    let mut granted: Vec<[u8; 8]> = Vec::new();
    let mut buffer = [0; 2_048];
    let started = Instant::now();
    while !is_ended.load(Ordering::SeqCst) && started.elapsed() < TEST_TIMEOUT {
        let Ok((count, peer)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let datagram = &buffer[..count];
        let Some(id) = datagram.get(3..11).filter(|_| datagram[0] == REQUEST_TAG) else {
            continue;
        };
        let id: [u8; 8] = id.try_into().expect("eight bytes");
        if !granted.contains(&id) {
            granted.push(id);
            before_grant(granted.len());
        }
        // Field 14: a reply with the id of the request and no denial.
        let reply = [&[0x72, 9, 0x09][..], &id].concat();
        socket.send_to(&reply, peer).expect("sent");
    }
}
