//! Engines in trouble that spoil the ids of the events of their streams, behind a router: callers get each event once
//! and in order, or see that the stream is broken off.

mod gateway_common;
mod http_common;
mod spoilt_common;

use std::sync::atomic::{AtomicU64, Ordering};

use gateway_common::{signed_head, Action, UpstreamStub, SPOILT_ID_LINES};
use http_common::{chat, Deployment, Response};

/// Number of tokens of an engine's stream.
const TOKENS: u64 = 4;

/// Returns the data of the event of an engine with this index: tokens, the usage and the end.
fn engine_data(index: u64) -> String {
    match index {
        0..TOKENS => format!(r#"{{"choices":[{{"delta":{{"content":"{index},"}}}}]}}"#),
        TOKENS => r#"{"usage":{"prompt_tokens":1,"completion_tokens":4}}"#.to_owned(),
        _ => "[DONE]".to_owned(),
    }
}

/// Encodes the events of an engine from an index on, of which some have another line with their id.
fn engine_events(from: u64, lines: &[(u64, &str)]) -> String {
    let event = |index: u64| {
        let spoilt = lines.iter().find(|(at, _)| *at == index);
        let line = spoilt.map_or_else(|| format!("id: {index}\n"), |(_, line)| (*line).to_owned());
        format!("{line}data: {}\n\n", engine_data(index))
    };
    (from..=TOKENS + 1).map(event).collect()
}

/// What an engine does with a request for a stream that it may keep.
enum Engine {
    /// Resumes it from an index, with this stream.
    Resumes(fn(u64) -> String),
    /// Has lost it, so that the request runs again.
    HasLostIt,
}

/// Starts an engine and sends a request through a router. The engine's first run sends `first` and ends, later runs and
/// resumed ones send what `engine` says.
fn relay_through_router(first: &str, engine: Engine, again: &str) -> Response {
    let (first, again) = (first.to_owned(), again.to_owned());
    let runs = AtomicU64::new(0);
    let upstream = UpstreamStub::start(move |request, _| {
        let path = request.start.split(' ').nth(1).unwrap_or_default();
        let from = path.rsplit_once("?from=");
        let from = from.and_then(|(_, from)| from.parse().ok()).unwrap_or(0);
        let body = match &engine {
            Engine::Resumes(resumed) if path.starts_with("/v1/streams/") => resumed(from),
            _ if path.starts_with("/v1/chat") => match runs.fetch_add(1, Ordering::SeqCst) {
                0 => first.clone(),
                _ => again.clone(),
            },
            _ => return Action::Write(b"HTTP/1.1 404 x\r\ncontent-length: 0\r\n\r\n".to_vec()),
        };
        let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        let chunk = format!("{:x}\r\n{body}\r\n", body.len());
        let chunk = if body.is_empty() { "" } else { &chunk };
        Action::WriteAndClose((signed_head(request, fields) + chunk).into_bytes())
    });
    let deployment = Deployment::start(&[]);
    deployment.publish(vec![spoilt_common::router_configuration(&upstream)]);
    let router = deployment.router("vm-1");
    chat("stream", "text", TOKENS, true).send(&router.callers)
}

/// Checks that a response is whole, or shows its caller that it is not, and that no token is missing or repeated.
fn assert_truthful(response: &Response, what: &str) {
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let lines = text.lines().filter(|line| line.contains("\"content\""));
    let tokens: Vec<&str> = lines.collect();
    let expected: Vec<String> = (0..TOKENS)
        .map(|index| format!("data: {}", engine_data(index)))
        .collect();
    assert!(tokens.len() <= expected.len(), "{what}: {text}");
    assert_eq!(tokens, expected[..tokens.len()], "{what}: {text}");
    if response.is_complete && response.status == 200 {
        assert_eq!(tokens.len(), expected.len(), "{what}: {text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{what}: {text}");
    }
}

/// Guards against an event of an engine that is dropped, or takes the place of another one, because of a spoilt id.
#[test]
fn an_engine_stream_with_a_spoilt_id_is_whole_or_broken_off() {
    let sound = engine_events(0, &[]);
    for line in SPOILT_ID_LINES {
        for place in 0..=TOKENS + 1 {
            let spoilt = engine_events(0, &[(place, line)]);
            let what = format!("{line:?} at {place}");
            let resumes = Engine::Resumes(|from| engine_events(from, &[]));
            let response = relay_through_router(&spoilt, resumes, &sound);
            assert_truthful(&response, &what);
            assert!(response.is_complete, "{what}: {response:?}");
        }
    }
}

/// Guards against an event without an id that takes the place of one with an id.
#[test]
fn an_event_without_an_id_takes_the_place_of_no_other() {
    let sound = engine_events(0, &[]);
    for place in 0..=TOKENS as usize + 1 {
        let events = sound.split_inclusive("\n\n");
        let (before, after): (Vec<_>, Vec<_>) = (
            events.clone().take(place).collect(),
            events.skip(place).collect(),
        );
        let spoilt = before.concat() + "data: {}\n\n" + &after.concat();
        let resumes = Engine::Resumes(|from| engine_events(from, &[]));
        let response = relay_through_router(&spoilt, resumes, &sound);
        assert_truthful(&response, &format!("at {place}"));
    }
}

/// Guards against the same in a run that repeats the events that the caller has.
#[test]
fn a_repeated_run_with_a_spoilt_id_is_whole_or_broken_off() {
    let first = engine_events(0, &[]);
    let first: String = first.split_inclusive("\n\n").take(2).collect();
    for line in SPOILT_ID_LINES {
        for place in 0..=TOKENS + 1 {
            let spoilt = engine_events(0, &[(place, line)]);
            let response = relay_through_router(&first, Engine::HasLostIt, &spoilt);
            assert_truthful(&response, &format!("{line:?} at {place}"));
        }
    }
}

/// Guards against a sound stream of an engine that is taken for a spoilt one: with comments, without ids, with
/// ids that are no numbers, and one that an engine resumes earlier than it was asked to.
#[test]
fn sound_streams_of_engines_are_whole() {
    let with_comments = |from| engine_events(from, &[]).replace("id:", ": still here\n\nid:");
    let without_ids = |from| {
        let events = engine_events(from, &[]);
        let lines = events.split_inclusive('\n');
        lines.filter(|line| !line.starts_with("id:")).collect()
    };
    let with_other_ids = |from| engine_events(from, &[]).replace("id: ", "id: event-");
    let early = |from: u64| engine_events(from.saturating_sub(2), &[]);
    let streams: [fn(u64) -> String; 4] = [with_comments, without_ids, with_other_ids, early];
    for (number, stream) in streams.into_iter().enumerate() {
        let whole = stream(0);
        let events: Vec<&str> = whole.split_inclusive("\n\n").collect();
        for count in [0, 1, 3, events.len()] {
            let first = events[..count].concat();
            let response = relay_through_router(&first, Engine::Resumes(stream), &whole);
            let what = format!("stream {number}, {count} events first");
            assert!(response.is_complete, "{what}: {response:?}");
            assert_truthful(&response, &what);
            let response = relay_through_router(&first, Engine::HasLostIt, &whole);
            assert!(response.is_complete, "{what}, run again: {response:?}");
            assert_truthful(&response, &what);
        }
    }
}
