//! Upstreams in trouble that spoil the ids of the events of their streams: callers get the events as they were sent, or
//! see that the stream is broken off.

mod gateway_common;

use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use gateway_common::SPOILT_ID_LINES;
use gateway_common::{connect, read_response, signed_head, start_fleet, wait_for};
use gateway_common::{Action, CallerRequest, Gateway, Message, StoreStub, UpstreamStub};

/// Budget that no test uses up.
const LARGE_BUDGET: u64 = 1_000_000_000;

/// Framing of a stream by its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    None,
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::None];

/// Number of events of a stream.
const EVENTS: u64 = 6;

/// Encodes an event; its data says which one it is, whatever the line with its id says.
fn event(line: &str, number: u64) -> String {
    format!("{line}data: piece {number}\n\n")
}

fn sound_event(number: u64) -> String {
    event(&format!("id: {number}\n"), number)
}

fn sound_events(numbers: impl IntoIterator<Item = u64>) -> String {
    numbers.into_iter().map(sound_event).collect()
}

/// Returns the events after one of them.
fn events_after(last: u64) -> String {
    sound_events(last + 1..=EVENTS)
}

fn chunk(content: &str) -> String {
    if content.is_empty() {
        return String::new();
    }
    format!("{:x}\r\n{content}\r\n", content.len())
}

/// Encodes the head of a stream in chunks, and a part of its body.
fn begun_stream(request: &Message, body: &str) -> Vec<u8> {
    let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    (signed_head(request, fields) + &chunk(body)).into_bytes()
}

/// Encodes a whole stream in chunks.
fn whole_stream(request: &Message, body: &str) -> Vec<u8> {
    [begun_stream(request, body), b"0\r\n\r\n".to_vec()].concat()
}

/// Returns a whole stream in a framing.
fn framed_stream(request: &Message, body: &str, framing: Framing) -> Action {
    let field = match framing {
        Framing::Length => format!("Content-Length: {}\r\n", body.len()),
        Framing::Chunks => return Action::Write(whole_stream(request, body)),
        Framing::None => "Connection: close\r\n".to_owned(),
    };
    let fields = format!("Content-Type: text/event-stream\r\n{field}");
    let bytes = (signed_head(request, &fields) + body).into_bytes();
    match framing {
        Framing::None => Action::WriteAndClose(bytes),
        Framing::Length | Framing::Chunks => Action::Write(bytes),
    }
}

fn stream_request(path: &str) -> CallerRequest<'_> {
    CallerRequest {
        path,
        headers: "X-Token-Count: 100,50\r\n",
        ..CallerRequest::default()
    }
}

/// Returns the numbers in the data of the events of a body.
fn pieces(body: &str) -> Vec<u64> {
    let data = body
        .lines()
        .filter_map(|line| line.strip_prefix("data: piece "));
    data.map(|number| number.parse().expect("a number"))
        .collect()
}

fn last_event_id(request: &Message) -> Option<u64> {
    let id = request.header("last-event-id");
    id.map(|id| id.parse().expect("a number"))
}

/// Starts a fleet with two upstreams that do the same. The first run of each stream sends `first` and breaks off; the
/// runs that resume it end with what `resumed` returns for the id after which they go on.
fn start_breaking_fleet(
    first: &str,
    resumed: impl Fn(u64) -> String + Clone + Send + Sync + 'static,
) -> (StoreStub, Gateway, [UpstreamStub; 2]) {
    let first = first.to_owned();
    let script = move |request: &Message, _| match last_event_id(request) {
        None => Action::WriteAndReset(begun_stream(request, &first)),
        Some(last) => Action::Write(whole_stream(request, &resumed(last))),
    };
    let upstreams = [
        UpstreamStub::start(script.clone()),
        UpstreamStub::start(script),
    ];
    let (store, gateway) = start_fleet(LARGE_BUDGET, &[&upstreams[0], &upstreams[1]]);
    (store, gateway, upstreams)
}

/// Returns the ids after which runs have resumed.
fn resumptions(upstreams: &[UpstreamStub]) -> Vec<u64> {
    let requests = upstreams.iter().flat_map(UpstreamStub::requests);
    requests
        .filter_map(|request| last_event_id(&request))
        .collect()
}

/// Guards against events that are dropped in a single run because of the id of one of them, on each kind of route, and
/// against a connection whose response is shorter than the length that was passed on.
#[test]
fn a_stream_with_a_spoilt_id_is_passed_on_as_it_is() {
    let mut cases = Vec::new();
    for framing in FRAMINGS {
        for line in SPOILT_ID_LINES {
            for place in [1, 4, EVENTS] {
                let body = sound_events(1..place) + &event(line, place) + &events_after(place);
                cases.push((framing, body));
            }
        }
    }
    let bodies = cases.clone();
    let upstream = UpstreamStub::start(move |request, _| {
        let path = request.start.split(' ').nth(1).unwrap_or_default();
        let number = path.rsplit('/').next().and_then(|text| text.parse().ok());
        let (framing, body) = &bodies[number.unwrap_or(0_usize)];
        framed_stream(request, body, *framing)
    });
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    let mut stream = connect(&gateway.callers);
    let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
    for route in ["stream", "chat"] {
        for (number, (framing, body)) in cases.iter().enumerate() {
            let path = format!("/{route}/{number}");
            stream
                .write_all(&stream_request(&path).encode())
                .expect("written");
            let response = read_response(&mut reader);
            let what = format!("{route} {framing:?} {body:?}: {response:?}");
            assert_eq!(
                (response.status(), response.is_complete),
                (200, true),
                "{what}"
            );
            assert_eq!(response.text(), *body, "{what}");
        }
    }
}

/// Guards against a caller that resumes a stream by itself and gets fewer events than the upstream has sent.
#[test]
fn a_stream_that_its_caller_resumes_is_passed_on_as_it_is() {
    let bodies = [
        events_after(3),
        sound_events([3]) + &events_after(3),
        event("id: 2\n", 4) + &events_after(4),
        event("id: 9\n", 4) + &events_after(4),
        sound_events([4]) + &event("id: 3\n", 5) + &events_after(5),
        String::new(),
    ];
    for body in bodies {
        for framing in [Framing::Length, Framing::Chunks] {
            for (path, id) in [("/stream/1", "3"), ("/chat/1", "3"), ("/chat/1", "03")] {
                let sent = body.clone();
                let upstream =
                    UpstreamStub::start(move |request, _| framed_stream(request, &sent, framing));
                let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
                let headers = format!("X-Token-Count: 100,50\r\nLast-Event-Id: {id}\r\n");
                let request = CallerRequest {
                    headers: &headers,
                    ..stream_request(path)
                };
                let response = request.send(&gateway);
                let what = format!("{path} {framing:?} {body:?}: {response:?}");
                assert!(response.is_complete, "{what}");
                assert_eq!(response.text(), body, "{what}");
                let requests = upstream.requests();
                assert_eq!(requests[0].header("last-event-id"), Some(id), "{what}");
            }
        }
    }
}

/// Guards against the same if the stream that the caller resumes breaks off again.
#[test]
fn a_stream_that_its_caller_resumes_is_resumed_again() {
    let cases = [
        (String::new(), Some(3)),
        (sound_events([4]), Some(4)),
        (sound_events(4..=5), Some(5)),
        (sound_events([3, 4]), None),
        (event("id: 3\n", 4), None),
        (event("id: 1\n", 4) + &sound_events([5]), None),
        (event("id: 03\n", 4), None),
    ];
    for (begun, resumption) in cases {
        let first = AtomicBool::new(true);
        let sent = begun.clone();
        let script = move |request: &Message, _| match last_event_id(request) {
            Some(3) if first.swap(false, Ordering::SeqCst) => {
                Action::WriteAndReset(begun_stream(request, &sent))
            }
            last => Action::Write(whole_stream(request, &events_after(last.unwrap_or(0)))),
        };
        let script = Arc::new(script);
        let upstreams = [(); 2].map(|()| {
            let script = Arc::clone(&script);
            UpstreamStub::start(move |request, number| script(request, number))
        });
        let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstreams[0], &upstreams[1]]);
        let request = CallerRequest {
            headers: "X-Token-Count: 100,50\r\nLast-Event-Id: 3\r\n",
            ..stream_request("/chat/1")
        };
        let response = request.send(&gateway);
        let mut resumptions = resumptions(&upstreams);
        resumptions.sort_unstable();
        let what = format!("{begun:?}: {response:?}, {resumptions:?}");
        assert_eq!(response.is_complete, resumption.is_some(), "{what}");
        let asked: Vec<u64> = std::iter::once(3).chain(resumption).collect();
        assert_eq!(resumptions, asked, "{what}");
        let received = pieces(&response.text());
        if resumption.is_some() {
            assert_eq!(received, [4, 5, 6], "{what}");
        } else {
            assert_eq!(response.text(), begun, "{what}");
        }
    }
}

/// Guards against a stream that resumes after an id that its run has shown to be unreliable, or that nothing confirms.
#[test]
fn a_stream_is_not_resumed_after_a_spoilt_id() {
    let spoilt = [
        // The last event of the first run is the spoilt one.
        sound_events(1..=2) + &event("id: 9\n", 3),
        sound_events(1..=2) + &event("id: 4\n", 3),
        sound_events(1..=2) + &event("id: 2\n", 3),
        sound_events(1..=2) + &event("id: 1\n", 3),
        sound_events(1..=2) + &event("id: +3\n", 3),
        sound_events(1..=2) + &event("ie: 3\n", 3),
        event("id: 4\n", 1),
        event("id: 0\n", 1),
        event("", 1),
        // Sound ones follow it.
        sound_events(1..=2) + &event("id: 9\n", 3) + &sound_events(4..=5),
        sound_events(1..=2) + &event("id: 1\n", 3) + &sound_events(4..=5),
        sound_events(1..=2) + &event("id: x\n", 3) + &sound_events(4..=5),
        sound_events(1..=2) + &event("", 3) + &sound_events(4..=5),
        event("id: 4\n", 1) + &sound_events(2..=3),
    ];
    for first in spoilt {
        let (_store, gateway, upstreams) = start_breaking_fleet(&first, events_after);
        let response = stream_request("/chat/1").send(&gateway);
        let what = format!("{first:?}: {response:?}, {:?}", resumptions(&upstreams));
        assert_eq!(response.status(), 200, "{what}");
        assert!(!response.is_complete, "{what}");
        assert_eq!(response.text(), first, "{what}");
    }
}

/// Guards against a sound stream that ends with its upstream although its ids tell where it resumes.
#[test]
fn a_sound_stream_is_resumed_after_its_last_event() {
    let spaced = |numbers: std::ops::RangeInclusive<u64>| -> String {
        let line = |number| event(&format!("id: {}\n", number * 10), number);
        numbers.map(line).collect()
    };
    let all: Vec<u64> = (1..=EVENTS).collect();
    for count in 1..=EVENTS {
        let (_store, gateway, upstreams) =
            start_breaking_fleet(&sound_events(1..=count), events_after);
        let response = stream_request("/chat/1").send(&gateway);
        assert!(response.is_complete, "{count}: {response:?}");
        assert_eq!(pieces(&response.text()), all, "{count}: {response:?}");
        assert_eq!(resumptions(&upstreams), [count], "{response:?}");
    }
    // A comment has no id and needs none.
    let first = sound_events(1..=2) + ": still here\n\n";
    let (_store, gateway, _upstreams) = start_breaking_fleet(&first, events_after);
    let response = stream_request("/chat/1").send(&gateway);
    assert!(response.is_complete, "{response:?}");
    assert_eq!(pieces(&response.text()), all, "{response:?}");
    // Ids that skip numbers are confirmed by the event that the next upstream repeats.
    let (_store, gateway, upstreams) =
        start_breaking_fleet(&spaced(1..=3), move |last| spaced(last / 10 + 1..=EVENTS));
    let response = stream_request("/chat/1").send(&gateway);
    assert!(response.is_complete, "{response:?}");
    assert_eq!(pieces(&response.text()), all, "{response:?}");
    assert_eq!(resumptions(&upstreams), [20], "{response:?}");
}

/// Guards against a resumed stream with a missing or repeated event that looks complete.
#[test]
fn a_resumed_stream_drops_only_events_that_the_caller_has() {
    let all: Vec<u64> = (1..=EVENTS).collect();
    // Runs that resume after the third event, and whether they do so soundly.
    let cases = [
        (events_after(3), true),
        (sound_events([3]) + &events_after(3), true),
        (sound_events(1..=3) + &events_after(3), true),
        (": still here\n\n".to_owned() + &events_after(3), true),
        // Nothing is dropped after the first new event.
        (
            sound_events([4]) + &event("id: 2\n", 5) + &events_after(5),
            true,
        ),
        (
            sound_events([4]) + &event("id: 9\n", 5) + &events_after(5),
            true,
        ),
        (
            sound_events([4]) + &event("id: 4\n", 5) + &events_after(5),
            true,
        ),
        (sound_events([4]) + &event("", 5) + &events_after(5), true),
        // The first event does not continue the stream.
        (event("id: 9\n", 4) + &events_after(4), false),
        (event("", 4) + &events_after(4), false),
        (event("id: x\n", 4) + &events_after(4), false),
        (events_after(4), false),
        // Repetitions that do not lead up to the last event.
        (event("id: 3\n", 4) + &events_after(4), false),
        (event("id: 2\n", 4) + &events_after(4), false),
        (
            sound_events([2]) + &event("id: 7\n", 3) + &events_after(3),
            false,
        ),
        (sound_events([2]) + &events_after(3), false),
        (sound_events(1..=2), false),
        (event("id: 3\n", 4), false),
    ];
    for (resumed, is_sound) in cases {
        let sent = resumed.clone();
        let (_store, gateway, _upstreams) =
            start_breaking_fleet(&sound_events(1..=3), move |_| sent.clone());
        let response = stream_request("/chat/1").send(&gateway);
        let what = format!(
            "{resumed:?}: {response:?} {:?}",
            gateway.log_lines_of("r-1")
        );
        assert_eq!(response.is_complete, is_sound, "{what}");
        let received = pieces(&response.text());
        if is_sound {
            assert_eq!(received, all, "{what}");
        } else {
            assert_eq!(received, [1, 2, 3], "{what}");
        }
    }
}

/// Guards against a dropped event, a place of resumption, or the reason for breaking off that the log does not name.
#[test]
fn the_log_names_the_ids_that_decide() {
    let has_line = |gateway: &Gateway, fields: &[(&str, &str)]| {
        let lines = gateway.log_lines_of("r-1");
        lines.iter().any(|line| {
            let text = |name: &str| line[name].to_string().trim_matches('"').to_owned();
            fields
                .iter()
                .all(|(name, value)| text(name).contains(value))
        })
    };
    let repeating = |last: u64| sound_events([last]) + &events_after(last);
    let (_store, gateway, upstreams) = start_breaking_fleet(&sound_events(1..=3), repeating);
    let response = stream_request("/chat/1").send(&gateway);
    assert!(response.is_complete, "{response:?}");
    for fields in [
        [("step", "resume"), ("last_event_id", "3"), ("events", "3")],
        [("step", "relay"), ("last_event_id", "3"), ("event_id", "3")],
    ] {
        wait_for("the log line", || has_line(&gateway, &fields));
    }

    let first = sound_events(1..=2) + &event("id: 1\n", 3);
    let (_store, gateway, _upstreams) = start_breaking_fleet(&first, events_after);
    let response = stream_request("/chat/1").send(&gateway);
    assert!(!response.is_complete, "{response:?}");
    let fields = [("step", "relay"), ("last_event_id", "2"), ("event_id", "1")];
    wait_for("the log line", || has_line(&gateway, &fields));
    drop(upstreams);
}

/// Guards against comments, which upstreams send to keep a connection open, that are charged as tokens.
#[test]
fn comments_of_a_stream_are_passed_on_and_not_charged() {
    let comment = ": still here\n\n";
    let body = comment.repeat(5) + &sound_event(1) + &comment.repeat(3) + &sound_event(2) + comment;
    let sent = body.clone();
    let upstream =
        UpstreamStub::start(move |request, _| Action::Write(whole_stream(request, &sent)));
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstream]);
    for path in ["/stream/1", "/chat/1"] {
        let request = CallerRequest {
            id: path,
            ..stream_request(path)
        };
        let response = request.send(&gateway);
        assert!(response.is_complete, "{response:?}");
        assert_eq!(response.text(), body, "{response:?}");
        wait_for("the log line", || !gateway.log_lines_of(path).is_empty());
        let line = &gateway.log_lines_of(path)[0];
        // 100 tokens of the prompt and ten for each event.
        assert_eq!(
            (&line["events"], &line["charge_tokens"]),
            (&2.into(), &120.into()),
            "{line}"
        );
    }
}

/// Guards against a stream that leaves a silent upstream after a spoilt id, and goes on with a gap at another one.
#[test]
fn a_silent_stream_with_a_spoilt_id_stays_where_it_is() {
    let first = sound_events(1..=2) + &event("id: 5\n", 3) + &sound_events([4]);
    let begun = first.clone();
    let script = move |request: &Message, _| match last_event_id(request) {
        None => Action::Pause {
            first: begun_stream(request, &begun),
            // The gateway looks for another upstream after 1.2 s.
            pause: Duration::from_millis(1_700),
            rest: (chunk(&events_after(4)) + "0\r\n\r\n").into_bytes(),
        },
        Some(last) => Action::Write(whole_stream(request, &events_after(last))),
    };
    let upstreams = [
        UpstreamStub::start(script.clone()),
        UpstreamStub::start(script),
    ];
    let (_store, gateway) = start_fleet(LARGE_BUDGET, &[&upstreams[0], &upstreams[1]]);

    let response = stream_request("/chat/1").send(&gateway);

    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.text(), first + &events_after(4), "{response:?}");
    assert_eq!(resumptions(&upstreams), [0; 0]);
}
