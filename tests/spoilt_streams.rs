//! Upstreams in trouble that spoil a chunk of a stream, or break off the response to an upload: the caller sees that the
//! response is not complete.

mod gateway_common;
mod http_common;
mod spoilt_common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use gateway_common::{configuration, event_chunk, signed_head, wait_for};
use gateway_common::{Action, CallerRequest, End, Gateway, Message, StoreStub, UpstreamStub};
use http_common::{chat, Deployment, HttpRequest, Router};
use spoilt_common::{Received, LARGE_BUDGET};

/// Encodes events whose lines end with CRLF as chunks, of which the second one has this size.
fn stream_with_second_size(size: &str) -> String {
    let chunk = |size: &str, id: u32| format!("{size}\r\nid: {id}\r\ndata: token {id}\r\n\r\n\r\n");
    chunk("18", 1) + &chunk(size, 2) + &chunk("18", 3) + "0\r\n\r\n"
}

/// Starts a gateway with an upstream that spoils the size of the second chunk of each stream that is not resumed.
fn start_stream_fleet(size: &'static str, in_pieces: bool) -> (StoreStub, Gateway, UpstreamStub) {
    let upstream = UpstreamStub::start(move |request, _| {
        let head = signed_head(
            request,
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        );
        if request.header("last-event-id").is_some() {
            let rest = event_chunk(2) + &event_chunk(3) + "0\r\n\r\n";
            return Action::Write((head + &rest).into_bytes());
        }
        let stream = stream_with_second_size(size);
        let pieces = if in_pieces {
            // One piece for each chunk.
            let ends = stream
                .match_indices("\r\n\r\n\r\n")
                .map(|(at, end)| at + end.len());
            let ends: Vec<usize> = ends.collect();
            let (first, rest) = stream.split_at(ends[0]);
            let (second, rest) = rest.split_at(ends[1] - ends[0]);
            [&head, first, second, rest]
                .map(|piece| piece.as_bytes().to_vec())
                .to_vec()
        } else {
            vec![(head + &stream).into_bytes()]
        };
        Action::Pieces {
            pieces,
            end: End::Keep,
        }
    });
    let (store, gateway) = gateway_common::start_fleet(LARGE_BUDGET, &[&upstream]);
    (store, gateway, upstream)
}

/// Spoilt sizes of a chunk with an event: none of them may end the stream as if it were complete.
const SPOILT_EVENT_SIZES: [&str; 5] = ["0", "", " ", ";", "1"];

/// Guards against a stream that looks complete although the size of a chunk in its middle is spoilt.
#[test]
fn a_stream_with_a_spoilt_chunk_size_is_broken_off() {
    for size in SPOILT_EVENT_SIZES {
        for in_pieces in [false, true] {
            let (_store, gateway, upstream) = start_stream_fleet(size, in_pieces);
            let request = CallerRequest {
                path: "/stream/1",
                id: "stream",
                ..CallerRequest::default()
            };
            let response = request.send(&gateway);
            let what = format!("size {size:?}, in pieces: {in_pieces}: {response:?}");
            assert_eq!(response.status(), 200, "{what}");
            assert!(!response.is_complete, "{what}");
            assert!(!response.text().contains("token 3"), "{what}");
            wait_for("the log line", || {
                !gateway.log_lines_of("stream").is_empty()
            });
            let line = gateway.log_lines_of("stream")[0].to_string();
            let reason = format!("truncated: reading the response at {}", upstream.id);
            assert!(line.contains(&reason), "{what}: {line}");
        }
    }
}

/// Guards against a stream that ends with a spoilt chunk size although another attempt can resume it.
#[test]
fn a_resumable_stream_with_a_spoilt_chunk_size_goes_on() {
    for size in SPOILT_EVENT_SIZES {
        for in_pieces in [false, true] {
            let (store, gateway, first) = start_stream_fleet(size, in_pieces);
            // A stream resumes at another upstream.
            let (_, _, second) = start_stream_fleet(size, in_pieces);
            let entry = second.entry("desk", "ready").to_string();
            store.put("keyed.servers", &second.id, entry.as_bytes());
            let request = CallerRequest {
                path: "/chat/1",
                ..CallerRequest::default()
            };
            wait_for("a resumed stream", || {
                let response = request.send(&gateway);
                let events = response.text();
                let ids: Vec<&str> = events
                    .lines()
                    .filter(|line| line.starts_with("id:"))
                    .collect();
                let is_whole = ids == ["id: 1", "id: 2", "id: 3"];
                assert!(
                    is_whole || !response.is_complete,
                    "size {size:?}: {response:?}"
                );
                is_whole && response.is_complete
            });
            drop(first);
        }
    }
}

/// Guards against a sound stream that is taken for a spoilt one.
#[test]
fn sound_streams_are_passed_on() {
    let sound = stream_with_second_size("18");
    let chunks = sound.strip_suffix("0\r\n\r\n").expect("a last chunk");
    let announced = "Transfer-Encoding: chunked\r\nTrailer: id\r\n";
    let chunked = "Transfer-Encoding: chunked\r\n";
    let streams = [
        (chunked, sound.clone()),
        (chunked, format!("{chunks}0\r\nX-Sum: 1\r\n\r\n")),
        (announced, format!("{chunks}0\r\nid: 4\r\n\r\n")),
    ];
    for (fields, content) in streams {
        let body = content.clone();
        let upstream = UpstreamStub::start(move |request, _| {
            let fields = format!("Content-Type: text/event-stream\r\n{fields}");
            Action::Write((signed_head(request, &fields) + &content).into_bytes())
        });
        let (_store, gateway) = gateway_common::start_fleet(LARGE_BUDGET, &[&upstream]);
        for path in ["/stream/1", "/chat/1"] {
            let request = CallerRequest {
                path,
                ..CallerRequest::default()
            };
            let response = request.send(&gateway);
            assert!(response.is_complete, "{path} {body:?}: {response:?}");
            assert!(response.text().contains("token 3"), "{path} {body:?}");
        }
    }
}

/// Returns the events of an engine's stream with two tokens, each with the size of its chunk.
fn engine_events() -> [(String, String); 4] {
    let token = r#"{"choices":[{"delta":{"content":"t"}}]}"#;
    let usage = r#"{"usage":{"prompt_tokens":1,"completion_tokens":2}}"#;
    let mut index = 0;
    [token, token, usage, "[DONE]"].map(|data| {
        let event = format!("id: {index}\r\ndata: {data}\r\n\r\n");
        index += 1;
        (format!("{:x}", event.len()), event)
    })
}

/// Starts an engine and a router; `end` follows the chunks of each stream, and the second chunk of a stream that is not
/// resumed has the size `second_size`, if there is one.
fn start_engine_deployment(
    second_size: Option<&'static str>,
    end: &'static str,
) -> (Deployment, Router, UpstreamStub) {
    let upstream = UpstreamStub::start(move |request, _| {
        let path = request.start.split(' ').nth(1).unwrap_or_default();
        let from = path.rsplit_once("?from=");
        let from = from.and_then(|(_, from)| from.parse().ok()).unwrap_or(0);
        let is_resumed = path.starts_with("/v1/streams/");
        if !is_resumed && !path.starts_with("/v1/chat") {
            return Action::Write(b"HTTP/1.1 404 x\r\ncontent-length: 0\r\n\r\n".to_vec());
        }
        let events = engine_events();
        let chunks = events.iter().enumerate().skip(from);
        let chunks = chunks.map(|(index, (sound, event))| {
            let spoilt = second_size.filter(|_| index == 1 && !is_resumed);
            format!("{}\r\n{event}\r\n", spoilt.unwrap_or(sound))
        });
        let chunks: String = chunks.collect();
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        Action::Write((head.to_owned() + &chunks + end).into_bytes())
    });
    let deployment = Deployment::start(&[]);
    deployment.publish(vec![spoilt_common::router_configuration(&upstream)]);
    let router = deployment.router("vm-1");
    (deployment, router, upstream)
}

/// Guards against an engine's stream that ends, or goes on with other events, because the size of a chunk is spoilt.
#[test]
fn an_engine_stream_with_a_spoilt_chunk_size_is_resumed() {
    for size in SPOILT_EVENT_SIZES {
        let (_deployment, router, _upstream) = start_engine_deployment(Some(size), "0\r\n\r\n");
        let response = chat("stream", "text", 2, true).send(&router.callers);
        assert!(response.is_complete, "size {size:?}: {response:?}");
        let (indexes, content) = response.events();
        assert_eq!(indexes, [0, 1, 2, 3], "size {size:?}");
        assert_eq!(content, "tt", "size {size:?}");
    }
}

/// Guards against the use of a connection whose last stream ended with a spoilt trailer, after its last event.
#[test]
fn an_engine_connection_with_a_spoilt_trailer_is_not_reused() {
    for (end, is_reused) in [
        ("0\r\n\r\n", true),
        ("0\r\nX-Sum: 1\r\n\r\n", true),
        ("0\r\nid: 4\r\n\r\n", false),
        ("0\r\nspoilt\r\n\r\n", false),
        (" \r\n\r\n", false),
    ] {
        let (_deployment, router, upstream) = start_engine_deployment(None, end);
        for key in ["first", "second"] {
            let response = chat(key, "text", 2, true).send(&router.callers);
            assert!(response.is_complete, "end {end:?}: {response:?}");
        }
        let requests = upstream.requests();
        let is_chat = |request: &&Message| request.start.contains(" /v1/chat");
        let chats: Vec<u64> = requests
            .iter()
            .filter(is_chat)
            .map(|chat| chat.connection)
            .collect();
        assert_eq!(chats.len(), 2, "end {end:?}");
        assert_eq!(chats[0] == chats[1], is_reused, "end {end:?}");
    }
}

/// Size of an upload that the kernel's buffers do not hold.
const UPLOAD_BYTES: usize = 12 << 20;

/// Number of uploads; whether a write or a read meets the reset first is a matter of chance.
const UPLOADS: usize = 12;

/// Starts an upstream that answers an upload while it reads it, with a head that states no length and a few bytes. Then it
/// resets the connection, or ends its side of it and reads on.
fn start_upload_upstream(ends_properly: bool) -> UpstreamStub {
    let number = Arc::new(AtomicUsize::new(0));
    let upstream = UpstreamStub::start(move |request, _| {
        if request
            .header("content-length")
            .is_none_or(|length| length.len() < 4)
        {
            return Action::Write(gateway_common::signed_response(request, 200, "served"));
        }
        let response = (signed_head(request, "") + "part").into_bytes();
        let number = number.fetch_add(1, Ordering::SeqCst);
        Action::AnswerUpload {
            response,
            after_bytes: number * (UPLOAD_BYTES / 2 / UPLOADS),
            pause: Duration::from_millis([0, 0, 2, 20][number % 4]),
            discarded_bytes: [0, 64 << 10, 1 << 20][number % 3],
            ends_properly,
        }
    });
    upstream.respond_early();
    upstream
}

/// Sends uploads and returns the responses.
fn upload_through_gateway(upstream: &UpstreamStub) -> Vec<Received> {
    let (store, gateway) = gateway_common::start_fleet(LARGE_BUDGET, &[upstream]);
    let mut generous = configuration(2, LARGE_BUDGET);
    generous["limits"]["max_body_bytes"] = (32 << 20).into();
    store.configure(&generous);
    let body = vec![b'x'; UPLOAD_BYTES];
    let upload = CallerRequest {
        path: "/book/1",
        body: &body,
        ..CallerRequest::default()
    };
    wait_for("the configuration", || {
        upload.send(&gateway).status() != 413
    });
    let responses = (0..UPLOADS).map(|_| Received::of_gateway(&upload.send(&gateway)));
    let responses: Vec<Received> = responses.collect();
    let small = CallerRequest::default().send(&gateway);
    assert_eq!((small.status(), small.text().as_str()), (200, "served"));
    responses
}

/// Guards against a part of a response that looks complete, because the error of the reset was met by the write of the
/// request and not by the read of the response.
#[test]
fn a_response_to_an_upload_that_is_reset_is_not_complete() {
    let upstream = start_upload_upstream(false);
    for received in upload_through_gateway(&upstream) {
        assert!(received.promises_nothing(), "{received:?}");
    }
}

/// Guards against a whole response that looks broken off, because it has arrived while the request was written.
#[test]
fn a_response_to_an_upload_that_ends_with_its_connection_is_complete() {
    let upstream = start_upload_upstream(true);
    for received in upload_through_gateway(&upstream) {
        let is_whole = received.status == 200 && received.is_complete && received.body == "part";
        assert!(is_whole, "{received:?}");
    }
}

/// Guards against the same through a router.
#[test]
fn a_response_to_an_upload_through_a_router_that_is_reset_is_not_complete() {
    let upstream = start_upload_upstream(false);
    let deployment = Deployment::start(&[]);
    deployment.publish(vec![spoilt_common::router_configuration(&upstream)]);
    let router = deployment.router_with(
        "vm-1",
        monsoonfield::settings::Limits {
            body_bytes: UPLOAD_BYTES as u64,
            ..Default::default()
        },
        http_common::common::short_timing(),
    );
    for number in 0..UPLOADS {
        let send = |id: &str, body_bytes: usize| {
            HttpRequest::new("POST", "/services/orders/upload")
                .customer_headers(&format!("{id}-{number}"))
                .body(vec![b'x'; body_bytes])
                .send(&router.callers)
        };
        let response = send("upload", UPLOAD_BYTES);
        assert_eq!(response.status, 502, "{response:?}");
        assert_eq!(response.error().1, "may_have_run", "{response:?}");
        // An upstream with many failures would get no more requests.
        for id in ["a", "b", "c", "d", "e", "f"] {
            assert_eq!(send(id, 2).status, 200);
        }
    }
}
