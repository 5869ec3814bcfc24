//! Upstreams in trouble that spoil a chunk of a stream: the caller sees that the response is not complete.

mod gateway_common;
mod http_common;
mod spoilt_common;

use gateway_common::{event_chunk, signed_head, wait_for};
use gateway_common::{Action, CallerRequest, Gateway, StoreStub, UpstreamStub};
use spoilt_common::LARGE_BUDGET;

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
            closes: false,
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
