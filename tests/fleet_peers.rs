//! Tests of the connections between routers.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;

use common::forwarder::Forwarder;
use common::{
    configuration, run, short_timing, wait_for_event, wait_until, PlatformStub, TEST_TIMEOUT,
};
use monsoonfield::fleet::{Event, FleetBuilder};
use monsoonfield::ids::IncarnationId;
use monsoonfield::message::{
    BillCopyAck, Frame, Heartbeat, Hello, PeerMessage, MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use monsoonfield::peer_connection::Backoff;
use monsoonfield::record::Batch;
use monsoonfield::settings::Timing;
use monsoonfield::snapshot;
use prost::Message;
use rand::SeedableRng;

/// Size of the length field of a frame.
const LENGTH_BYTES: usize = 4;

fn frame(message: PeerMessage) -> Vec<u8> {
    let body = Frame::from(message).encode_to_vec();
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

fn hello(protocol_version: u32) -> Vec<u8> {
    frame(PeerMessage::Hello(Hello {
        protocol_version,
        incarnation: 99,
        vm: "vm-9".into(),
        data_centre: "dc-1".into(),
        next_offset: 0,
    }))
}

/// Sends bytes on a new connection and waits until the other end closes it.
fn send_and_wait_for_close(address: &str, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).expect("the router listens");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a valid timeout");
    // The router may close the connection while the bytes are still being written.
    let _ = stream.write_all(bytes);
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return,
            Err(error) => panic!("the connection stays open: {error}"),
        }
    }
}

/// Guards against a faulty peer that ends the process, blocks it or breaks its connections to others.
#[test]
fn a_faulty_frame_closes_only_its_connection() {
    let oversized = {
        let mut bytes = hello(PROTOCOL_VERSION);
        bytes.extend((MAX_FRAME_BYTES as u32 + 1).to_be_bytes());
        bytes
    };
    let malformed = {
        let mut bytes = hello(PROTOCOL_VERSION);
        bytes.extend([0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff]);
        bytes
    };
    let with_length = |length: u8| {
        let mut bytes = hello(PROTOCOL_VERSION);
        let mut spoilt = frame(PeerMessage::BillCopyAck(BillCopyAck { id: 300 }));
        spoilt[LENGTH_BYTES - 1] = length;
        bytes.extend(spoilt);
        bytes.extend(frame(PeerMessage::Heartbeat(Heartbeat::default())));
        bytes
    };
    let cases = [
        ("garbage", vec![0xa5; 100_000]),
        ("HTTP", b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_vec()),
        ("another version", hello(PROTOCOL_VERSION + 1)),
        (
            "no Hello",
            frame(PeerMessage::Heartbeat(Heartbeat::default())),
        ),
        ("an oversized frame", oversized),
        ("a malformed frame", malformed),
        ("a length of zero", with_length(0)),
        ("a length that is too small", with_length(3)),
        ("a length that is too large", with_length(7)),
    ];
    run(async {
        let platform = PlatformStub::start();
        // The heartbeat timeout is longer than this test, so that only the faulty frames can close the connections.
        let timing = Timing {
            heartbeat_timeout_ms: 10 * TEST_TIMEOUT.as_millis() as u64,
            ..short_timing()
        };
        let first = platform.start_fleet("vm-1", &timing).await;
        let second = platform.start_fleet("vm-2", &timing).await;
        wait_until("the routers are connected", || {
            first.peers().len() == 1 && second.peers().len() == 1
        })
        .await;
        let mut events = second.subscribe();

        for (name, bytes) in cases {
            println!("{name}");
            let address = first.address().to_string();
            let client = std::thread::spawn(move || send_and_wait_for_close(&address, &bytes));
            wait_until("the connection is closed", || client.is_finished()).await;
            client.join().expect("the connection was closed");
        }

        let message = PeerMessage::BillCopyAck(BillCopyAck { id: 5 });
        assert!(first.send(second.incarnation(), message.clone()));
        let expected = Event::Message {
            from: first.incarnation(),
            message,
        };
        let is_expected = |event: &Event| {
            assert!(!matches!(event, Event::PeerDown(_)), "{event:?}");
            *event == expected
        };
        wait_for_event(&mut events, "the message arrives", is_expected).await;
        first.abort();
        second.abort();
    });
}

/// Guards against connections of silent clients that are never closed.
#[test]
fn a_silent_connection_is_closed() {
    run(async {
        let platform = PlatformStub::start();
        let fleet = platform.start_fleet("vm-1", &short_timing()).await;
        for bytes in [
            hello(PROTOCOL_VERSION),
            hello(PROTOCOL_VERSION)[..7].to_vec(),
            Vec::new(),
        ] {
            let address = fleet.address().to_string();
            let client = std::thread::spawn(move || send_and_wait_for_close(&address, &bytes));
            wait_until("the connection is closed", || client.is_finished()).await;
            client.join().expect("the connection was closed");
        }
        fleet.abort();
    });
}

/// Guards against a process that restores an older or damaged state from a peer.
#[test]
fn an_older_or_damaged_state_from_a_peer_is_ignored() {
    run(async {
        let platform = PlatformStub::start();
        let fleet = platform.start_fleet("vm-1", &short_timing()).await;
        let batch = Batch::new(IncarnationId(1), 1, [configuration(1, 0)]);
        platform.append("fleet", &batch.encode_to_vec());
        fleet
            .wait_until(TEST_TIMEOUT, |fleet| {
                fleet.state().configuration.revision == 1
            })
            .await
            .expect("the configuration is folded");
        let mut events = fleet.subscribe();
        let before = fleet.state().next_offset;

        let mut bytes = hello(PROTOCOL_VERSION);
        for next_offset in [0, before - 1, before, before + 1_000] {
            let older = monsoonfield::FleetState {
                next_offset: next_offset.min(before),
                ..Default::default()
            };
            let mut chunk = snapshot::chunks(&older).remove(0);
            if next_offset > before {
                chunk.next_offset = next_offset;
                chunk.data.truncate(1);
            }
            bytes.extend(frame(PeerMessage::SnapshotChunk(chunk)));
        }
        let marker = PeerMessage::BillCopyAck(BillCopyAck { id: 8 });
        bytes.extend(frame(marker.clone()));
        let mut stream = TcpStream::connect(fleet.address()).expect("the router listens");
        stream.write_all(&bytes).expect("the router reads");
        wait_for_event(&mut events, "all frames are read", |event| {
            assert!(
                !matches!(event, Event::StateReplaced),
                "the state was replaced"
            );
            matches!(event, Event::Message { message, .. } if *message == marker)
        })
        .await;

        assert_eq!(fleet.state().configuration.revision, 1);
        assert!(fleet.state().next_offset >= before);
        fleet.abort();
    });
}

/// Guards against a broken connection that is not detected or not opened again.
#[test]
fn a_broken_connection_is_detected_and_reopened() {
    run(async {
        let platform = PlatformStub::start();
        let forwarders = [Forwarder::start(), Forwarder::start()];
        let mut fleets = Vec::new();
        for (number, forwarder) in forwarders.iter().enumerate() {
            let settings = platform.settings(&format!("vm-{number}"), "dc-1", short_timing());
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let address = listener.local_addr().expect("bound").to_string();
            drop(listener);
            let mut settings = settings;
            settings.listen.peers = address.as_str().into();
            forwarder.set_target(&address);
            let fleet = FleetBuilder::new(&settings)
                .advertised_address(forwarder.address.clone())
                .start()
                .expect("the listener opens");
            fleets.push(fleet);
        }
        let (first, second) = (&fleets[0], &fleets[1]);
        for _ in 0..3 {
            wait_until("the routers are connected", || {
                first.peers().len() == 1 && second.peers().len() == 1
            })
            .await;

            forwarders
                .iter()
                .for_each(|forwarder| forwarder.set_cut(true));
            wait_until("the break is detected", || {
                first.peers().is_empty() && second.peers().is_empty()
            })
            .await;
            assert!(!first.send(
                second.incarnation(),
                PeerMessage::BillCopyAck(BillCopyAck { id: 1 })
            ));

            forwarders
                .iter()
                .for_each(|forwarder| forwarder.set_cut(false));
        }
        wait_until("the routers are connected", || {
            first.peers().len() == 1 && second.peers().len() == 1
        })
        .await;
        first.abort();
        second.abort();
    });
}

/// Guards against two routers that keep closing each other's connections because both dialled at the same time.
#[test]
fn routers_that_start_at_once_keep_one_connection_per_pair() {
    const ROUTERS: usize = 9;
    run(async {
        let platform = PlatformStub::start();
        let mut fleets = Vec::new();
        for number in 0..ROUTERS {
            let settings = platform.settings(&format!("vm-{number}"), "dc-1", short_timing());
            fleets.push(FleetBuilder::new(&settings).start().expect("a listener"));
        }
        let vms: Vec<_> = (0..ROUTERS).map(|number| format!("vm-{number}")).collect();
        let list: Vec<_> = vms
            .iter()
            .zip(&fleets)
            .map(|(vm, fleet)| (vm.as_str(), fleet.address()))
            .collect();
        platform.set_vms(&list);

        wait_until("all are connected", || {
            fleets
                .iter()
                .all(|fleet| fleet.peers().len() == ROUTERS - 1)
        })
        .await;
        let mut subscriptions: Vec<_> = fleets.iter().map(|fleet| fleet.subscribe()).collect();
        let observation =
            std::time::Duration::from_millis(10 * short_timing().heartbeat_timeout_ms);
        monoio::time::sleep(observation).await;

        for subscription in &mut subscriptions {
            while let Some(event) = subscription.try_next() {
                assert!(!matches!(event, Event::PeerDown(_)), "{event:?}");
            }
        }
        let ids: Vec<IncarnationId> = fleets.iter().map(|fleet| fleet.incarnation()).collect();
        assert!(fleets.iter().all(|fleet| fleet
            .peers()
            .iter()
            .all(|peer| ids.contains(&peer.incarnation))));
        for fleet in fleets {
            fleet.abort();
        }
    });
}

/// Guards against a send queue without bound for a peer that does not read.
#[test]
fn messages_for_a_peer_that_does_not_read_are_bounded() {
    const MESSAGE_BYTES: usize = 100_000;
    run(async {
        let platform = PlatformStub::start();
        let fleet = platform.start_fleet("vm-1", &short_timing()).await;
        let mut stream = TcpStream::connect(fleet.address()).expect("the router listens");
        let heartbeat = frame(PeerMessage::Heartbeat(Heartbeat::default()));
        stream
            .write_all(&[hello(PROTOCOL_VERSION), heartbeat].concat())
            .expect("the router reads");
        wait_until("the peer is live", || fleet.peers().len() == 1).await;

        let message = PeerMessage::Records(monsoonfield::message::Records {
            first_offset: 0,
            payloads: vec![vec![0; MESSAGE_BYTES]],
            previous_hashes: Vec::new(),
        });
        let mut queued = 0;
        while fleet.send(IncarnationId(99), message.clone()) {
            queued += 1;
            assert!(
                queued * MESSAGE_BYTES < 64 << 20,
                "{queued} messages are queued"
            );
        }

        assert!(queued > 1);
        wait_until("the silent peer is dropped", || fleet.peers().is_empty()).await;
        fleet.abort();
    });
}

/// Guards against routers that all reconnect at the same instant, and against pauses without bound.
#[test]
fn reconnect_pauses_grow_to_the_limit_with_jitter() {
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let mut backoff = Backoff::new(5_000);

    let pauses: Vec<_> = (0..40).map(|_| backoff.next_ms(&mut random)).collect();

    assert!((25..=50).contains(&pauses[0]), "{pauses:?}");
    let late = &pauses[10..];
    assert!(
        late.iter().all(|pause| (2_500..=5_000).contains(pause)),
        "{pauses:?}"
    );
    let distinct: std::collections::BTreeSet<_> = late.iter().collect();
    assert!(distinct.len() > late.len() / 2, "{pauses:?}");
}
