//! Upstreams in trouble whose responses are spoilt where they state their length: no caller may take one for a complete
//! response, through either role.

mod gateway_common;
mod http_common;
mod spoilt_common;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gateway_common::{signed_head, signed_response, wait_for};
use gateway_common::{Action, CallerRequest, End, Message, UpstreamStub};
use http_common::{Deployment, HttpRequest};
use spoilt_common::{arrival, Arrival, Form, Plan, Received, Stage, ARRIVALS, BODY, LARGE_BUDGET};

/// Time within which a spoilt response is answered and logged if what has arrived shows that it is spoilt; the routes allow
/// 2.5 s.
const SOON: Duration = Duration::from_millis(1_000);

const LENGTH: &str = "Content-Length: 10\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
const CHUNKS: &str = "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n";

/// Arrivals of responses that only the end of the connection shows to be incomplete.
const CLOSING: [Arrival; 2] = [arrival(true, End::Close), arrival(false, End::Close)];

/// Arrivals of responses that what follows them shows to be incomplete.
const WHOLE: [Arrival; 2] = [arrival(true, End::Keep), arrival(true, End::Close)];

/// Returns forms with the given names and fields, and this content.
fn with_fields(forms: &[(&str, &str)], content: &str) -> Vec<Form> {
    let forms = forms.iter();
    forms
        .map(|(name, fields)| Form::new(name, fields, content))
        .collect()
}

/// Returns forms with the given names and content, and a head that announces chunks.
fn with_chunks(forms: &[(&str, &str)]) -> Vec<Form> {
    let forms = forms.iter();
    forms
        .map(|(name, content)| Form::new(name, CHUNKED, content))
        .collect()
}

fn plans(forms: &[Form], arrivals: &[Arrival]) -> Vec<Plan> {
    let of_form = |form: &Form| {
        let form = form.clone();
        arrivals.iter().map(move |arrival| Plan {
            form: form.clone(),
            arrival: *arrival,
        })
    };
    forms.iter().flat_map(of_form).collect()
}

/// Sends a request for each plan through both roles, on routes that may repeat it and on those that may not, and returns
/// what `check` finds wrong.
fn check_all(
    plans: &[Plan],
    check: impl Fn(&Stage, usize, bool, (&Received, Duration)) -> Option<&'static str>,
) {
    let mut faults = Vec::new();
    for stage in [
        Stage::gateway(plans.to_vec()),
        Stage::router(plans.to_vec()),
    ] {
        for may_repeat in [false, true] {
            for (number, Plan { form, arrival }) in plans.iter().enumerate() {
                let started = Instant::now();
                let received = stage.send(number, may_repeat);
                let result = (&received, started.elapsed());
                if let Some(fault) = check(&stage, number, may_repeat, result) {
                    let (role, name) = (stage.role(), &form.name);
                    faults.push(format!(
                        "{fault}: {role}, may repeat: {may_repeat}, {name}, {arrival:?}: {received:?}"
                    ));
                }
            }
        }
    }
    assert!(
        faults.is_empty(),
        "{} faults:\n{}",
        faults.len(),
        faults.join("\n")
    );
}

/// Checks that each form ends as a failure that promises nothing, or visibly broken off; that a log line names the
/// upstream and the reason; and that no other request is sent on the connection.
fn assert_spoilt(forms: &[Form], arrivals: &[Arrival]) {
    check_all(
        &plans(forms, arrivals),
        |stage, number, may_repeat, (received, elapsed)| {
            let next = stage.send_sound();
            if !received.promises_nothing() {
                return Some("passed on");
            }
            if next.status != 200 || next.body != "served" {
                return Some("the next response is another one");
            }
            if is_connection_reused(stage) {
                return Some("the connection is used again");
            }
            if elapsed > SOON {
                return Some("late");
            }
            let is_logged = holds_soon(|| stage.has_logged_failure(number, may_repeat));
            (!is_logged).then_some("not logged")
        },
    );
}

/// Returns whether a condition holds within [`SOON`].
fn holds_soon(mut condition: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > SOON {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    true
}

/// Returns whether the last two requests of callers came on one connection.
fn is_connection_reused(stage: &Stage) -> bool {
    let requests = stage.upstream().requests();
    let is_call = |request: &&Message| !request.start.contains(" /v1/");
    let calls: Vec<&Message> = requests.iter().filter(is_call).collect();
    match calls.as_slice() {
        [.., spoilt, next] => spoilt.connection == next.connection,
        _ => false,
    }
}

/// Guards against a length that two readers understand differently, and against one that is no number.
#[test]
fn a_response_whose_length_is_no_single_number_is_not_passed_on() {
    let forms = with_fields(
        &[
            ("two lengths", "Content-Length: 4\r\nContent-Length: 10\r\n"),
            (
                "the larger one first",
                "Content-Length: 10\r\nContent-Length: 4\r\n",
            ),
            (
                "the same length twice",
                "Content-Length: 10\r\nContent-Length: 10\r\n",
            ),
            ("a list of lengths", "Content-Length: 4, 10\r\n"),
            ("a list of one length", "Content-Length: 10, 10\r\n"),
            ("a plus sign", "Content-Length: +4\r\n"),
            ("a minus sign", "Content-Length: -4\r\n"),
            ("a blank inside", "Content-Length: 1 0\r\n"),
            ("no digit", "Content-Length: \r\n"),
            ("a letter", "Content-Length: 4x\r\n"),
            ("hexadecimal", "Content-Length: 0xa\r\n"),
            ("a fraction", "Content-Length: 4.0\r\n"),
            (
                "more than 64 bits",
                "Content-Length: 99999999999999999999\r\n",
            ),
            ("not ASCII", "Content-Length: 4\u{e9}\r\n"),
            (
                "length and chunks",
                "Content-Length: 10\r\nTransfer-Encoding: chunked\r\n",
            ),
            (
                "length and identity",
                "Content-Length: 4\r\nTransfer-Encoding: identity\r\n",
            ),
        ],
        BODY,
    );
    assert_spoilt(&forms, &ARRIVALS);
}

/// Guards against giving up a request that another upstream may serve, and against repeating one that may run only once,
/// after a spoilt response.
#[test]
fn only_a_repeatable_request_goes_to_another_upstream_after_a_spoilt_response() {
    let seen: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let start = || {
        let seen = Arc::clone(&seen);
        UpstreamStub::start(move |request, _| {
            let id = request.header("x-request-id").unwrap_or_default();
            if seen.lock().unwrap().insert(id.into()) {
                let head = signed_head(request, "Content-Length: 4\r\nContent-Length: 10\r\n");
                return Action::Write((head + BODY).into_bytes());
            }
            Action::Write(signed_response(request, 200, "served"))
        })
    };
    let upstreams = [start(), start()];
    let (_store, gateway) =
        gateway_common::start_fleet(LARGE_BUDGET, &[&upstreams[0], &upstreams[1]]);
    for number in 0..20 {
        for (path, status, runs) in [("/read/1", 200, 2), ("/book/1", 502, 1)] {
            let id = format!("{path}-{number}");
            let request = CallerRequest {
                path,
                id: &id,
                ..CallerRequest::default()
            };
            let response = request.send(&gateway);
            let requests = upstreams.iter().flat_map(UpstreamStub::requests);
            let of_id = requests.filter(|run| run.header("x-request-id") == Some(id.as_str()));
            assert_eq!(response.status(), status, "{id}: {response:?}");
            assert_eq!(of_id.count(), runs, "{id}");
        }
    }
}

/// Guards against the load report of an upstream that is taken from a response with two lengths.
#[test]
fn a_spoilt_load_report_is_not_used() {
    let report = r#"{"running":0,"waiting":0,"is_leaving":true}"#;
    let upstream = UpstreamStub::start(move |request, _| {
        let lengths = format!("Content-Length: {}\r\nContent-Length: 1\r\n", report.len());
        let is_report = request.start.contains(" /v1/load ");
        let fields = if is_report { lengths.as_str() } else { LENGTH };
        let body = if is_report { report } else { BODY };
        Action::Write((signed_head(request, fields) + body).into_bytes())
    });
    let deployment = Deployment::start(&[]);
    deployment.publish(vec![spoilt_common::router_configuration(&upstream)]);
    let (router, log_lines) = deployment.router_with_log("vm-1");
    wait_for("the second report", || {
        let requests = upstream.requests();
        let is_report = |request: &&Message| request.start.contains(" /v1/load ");
        requests.iter().filter(is_report).count() >= 2
    });
    let request = HttpRequest::new("POST", "/services/orders/1").customer_headers("one");
    let response = request.send(&router.callers);
    assert_eq!(response.status, 200, "{response:?}");
    let reason = format!("reading the response at {}: ", upstream.address);
    wait_for("the log line", || {
        let lines = log_lines.lock().unwrap();
        lines.iter().any(|line| line.contains(&reason))
    });
}

/// Guards against a status without a body for a response that has one, so that the body is lost.
#[test]
fn a_body_that_its_status_excludes_is_not_passed_on() {
    let status_line = "HTTP/1.1 204 No Content";
    let forms = [
        Form::new("length", LENGTH, BODY).with_status_line(status_line),
        Form::new("chunks", CHUNKED, CHUNKS).with_status_line(status_line),
    ];
    assert_spoilt(&forms, &ARRIVALS);
}

/// Guards against a body that is read as chunks, or not, because of a coding that nobody knows.
#[test]
fn a_response_with_another_transfer_coding_is_not_passed_on() {
    let mut forms = with_fields(
        &[
            ("an unknown coding", "Transfer-Encoding: chunkee\r\n"),
            ("identity", "Transfer-Encoding: identity\r\n"),
            ("gzip", "Transfer-Encoding: gzip\r\n"),
            ("gzip in chunks", "Transfer-Encoding: gzip, chunked\r\n"),
            (
                "chunks of chunks",
                "Transfer-Encoding: chunked, chunked\r\n",
            ),
            (
                "two codings",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            ),
            ("no coding", "Transfer-Encoding: \r\n"),
            (
                "length and chunks",
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            ),
            (
                "chunks and length",
                "Transfer-Encoding: chunked\r\nContent-Length: 10\r\n",
            ),
        ],
        CHUNKS,
    );
    let old = Form::new("chunks in HTTP/1.0", CHUNKED, CHUNKS);
    forms.push(old.with_status_line("HTTP/1.0 200 OK"));
    assert_spoilt(&forms, &ARRIVALS);
}

/// Guards against a head of which a line feed hides a part: an empty line that ends with one would end the head.
#[test]
fn a_response_whose_head_has_a_lone_line_feed_is_not_passed_on() {
    let mut forms = with_fields(
        &[
            ("a line feed", "X-A: b\nContent-Length: 10\r\n"),
            ("two line feeds", "X-A: b\n\nContent-Length: 10\r\n"),
            ("an empty line", "X-A: b\r\n\nContent-Length: 10\r\n"),
            (
                "a line feed before CRLF",
                "X-A: b\n\r\nContent-Length: 10\r\n",
            ),
        ],
        BODY,
    );
    forms.push(Form::new(
        "two line feeds before a coding",
        "X-A: b\n\nTransfer-Encoding: chunked\r\n",
        CHUNKS,
    ));
    forms.push(
        Form::new("after the status", LENGTH, BODY).with_status_line("HTTP/1.1 200 OK\nX-A: b"),
    );
    assert_spoilt(&forms, &ARRIVALS);
}

/// Guards against a body with the sizes of its chunks in it, or with what follows it, because the name of the field that
/// states its length is spoilt.
#[test]
fn a_response_whose_length_field_has_a_spoilt_name_is_not_passed_on() {
    let mut forms = with_fields(
        &[
            ("the first letter", "Xontent-Length: 10\r\n"),
            ("the last letter", "Content-Lengt0: 10\r\n"),
            ("a colon inside", "Con:ent-Length: 10\r\n"),
        ],
        BODY,
    );
    forms.extend(with_fields(
        &[
            (
                "the first letter of the coding",
                "xransfer-Encoding: chunked\r\n",
            ),
            (
                "the last letter of the coding",
                "Transfer-Encodin_: chunked\r\n",
            ),
            ("the hyphen of the coding", "Transfer_Encoding: chunked\r\n"),
            (
                "a colon inside the coding",
                "Tr:nsfer-Encoding: chunked\r\n",
            ),
        ],
        CHUNKS,
    ));
    assert_spoilt(&forms, &ARRIVALS);
}

/// Guards against a blank in place of a digit of the length, so that the body ends early; what follows it shows that.
#[test]
fn a_response_with_a_blank_for_a_digit_of_its_length_is_not_passed_on() {
    let forms = with_fields(
        &[
            ("the last digit", "Content-Length: 1 \r\n"),
            ("a tab", "Content-Length: 1\t\r\n"),
            ("the first digit", "Content-Length:  4\r\n"),
            ("the first of two digits", "Content-Length:  0\r\n"),
        ],
        BODY,
    );
    assert_spoilt(&forms, &WHOLE);
}

/// Guards against a line without a name and a value, which may be a spoilt field.
#[test]
fn a_response_with_a_line_that_is_no_field_is_not_passed_on() {
    let forms = with_fields(
        &[
            ("a length without a colon", "Content-Length 10\r\n"),
            ("a word", "Content-Length: 10\r\nspoilt\r\n"),
            ("a word first", "spoilt\r\nContent-Length: 10\r\n"),
            ("no name", ": 10\r\nContent-Length: 10\r\n"),
            ("a folded line", "X-A: b\r\n c\r\nContent-Length: 10\r\n"),
            ("a folded length", "X-A: b\r\n Content-Length: 10\r\n"),
            (
                "a folded coding",
                "X-A: b\r\n\tTransfer-Encoding: chunked\r\n",
            ),
            (
                "a control byte in a value",
                "X-A: b\x01c\r\nContent-Length: 10\r\n",
            ),
            ("NUL in a value", "X-A: b\0c\r\nContent-Length: 10\r\n"),
            ("DEL in a value", "X-A: b\x7fc\r\nContent-Length: 10\r\n"),
        ],
        BODY,
    );
    assert_spoilt(&forms, &ARRIVALS);
}

/// Guards against a name with a blank or a control byte, which may be a spoilt name of the length.
#[test]
fn a_response_with_a_blank_or_control_byte_in_a_name_is_not_passed_on() {
    let mut forms = Vec::new();
    for byte in [' ', '\t', '\0', '\x07', '\x1b', '\x7f', '\r'] {
        let fields = [
            format!("X{byte}A: b\r\n{LENGTH}"),
            format!("{byte}X-A: b\r\n{LENGTH}"),
            format!("X-A{byte}: b\r\n{LENGTH}"),
            format!("Content{byte}Length: 10\r\n"),
            format!("Content-Length{byte}: 10\r\n"),
        ];
        let names = fields.iter().map(|fields| Form::new(fields, fields, BODY));
        forms.extend(names);
        let coding = format!("Transfer{byte}Encoding: chunked\r\n");
        forms.push(Form::new(&coding, &coding, CHUNKS));
    }
    assert_spoilt(&forms, &ARRIVALS);
}

/// Guards against a status that no client knows how to treat.
#[test]
fn a_response_with_a_status_above_599_is_not_passed_on() {
    let status_lines = ["HTTP/1.1 600 OK", "HTTP/1.1 999 OK"];
    let of_line = |line| Form::new(line, LENGTH, BODY).with_status_line(line);
    assert_spoilt(&status_lines.map(of_line), &ARRIVALS);
}

/// Guards against a status line that is not one of HTTP/1.
#[test]
fn a_response_with_an_invalid_status_line_is_not_passed_on() {
    let status_lines = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1 200\tOK",
        "HTTP/1.1 200 O\x01K",
        "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK",
    ];
    let of_line = |line| Form::new(line, LENGTH, BODY).with_status_line(line);
    assert_spoilt(&status_lines.map(of_line), &ARRIVALS);
}

/// Guards against a size of a chunk that ends the body early, or that readers understand differently.
#[test]
fn a_response_with_a_spoilt_chunk_size_is_not_passed_on() {
    let forms = with_chunks(&[
        ("no digit", "4\r\n0123\r\n\r\n456789\r\n0\r\n\r\n"),
        ("no digit of the first size", "\r\n0123\r\n0\r\n\r\n"),
        ("a blank", "4\r\n0123\r\n \r\n456789\r\n0\r\n\r\n"),
        ("a tab", "\t\r\n0123\r\n0\r\n\r\n"),
        (
            "only an extension",
            "4\r\n0123\r\n;a=b\r\n456789\r\n0\r\n\r\n",
        ),
        ("a semicolon", "4\r\n0123\r\n;\r\n456789\r\n0\r\n\r\n"),
        ("a minus sign", "4\r\n0123\r\n-6\r\n456789\r\n0\r\n\r\n"),
        ("a plus sign", "4\r\n0123\r\n+6\r\n456789\r\n0\r\n\r\n"),
        ("a prefix", "4\r\n0123\r\n0x6\r\n456789\r\n0\r\n\r\n"),
        (
            "no hexadecimal digit",
            "4\r\n0123\r\ng\r\n456789\r\n0\r\n\r\n",
        ),
        ("two sizes", "4\r\n0123\r\n6 6\r\n456789\r\n0\r\n\r\n"),
        (
            "a blank before it",
            "4\r\n0123\r\n 6\r\n456789\r\n0\r\n\r\n",
        ),
        ("a blank after it", "4\r\n0123\r\n6 \r\n456789\r\n0\r\n\r\n"),
        ("a line feed", "4\r\n0123\r\n6\n456789\r\n0\r\n\r\n"),
        (
            "a line feed after an extension",
            "4\r\n0123\r\n6;a\n456789\r\n0\r\n\r\n",
        ),
        (
            "NUL in an extension",
            "4\r\n0123\r\n6;a\0b\r\n456789\r\n0\r\n\r\n",
        ),
        ("a carriage return", "4\r\n0123\r\n6\r456789\r\n0\r\n\r\n"),
        ("too small", "4\r\n0123\r\n5\r\n456789\r\n0\r\n\r\n"),
        ("too large by one", "4\r\n0123\r\n7\r\n456789\r\n0\r\n\r\n"),
        (
            "more than 64 bits",
            "4\r\n0123\r\n00000000000000006\r\n456789\r\n0\r\n\r\n",
        ),
        (
            "no CRLF after the data",
            "4\r\n0123x\n6\r\n456789\r\n0\r\n\r\n",
        ),
    ]);
    assert_spoilt(&forms, &ARRIVALS);
    let endless = with_chunks(&[
        (
            "far too large",
            "4\r\n0123\r\nffffffffffffffff\r\n456789\r\n0\r\n\r\n",
        ),
        (
            "as large as all that follows",
            "4\r\n0123\r\nb\r\n456789\r\n0\r\n\r\n",
        ),
        (
            "a last size that is not zero",
            "4\r\n0123\r\n6\r\n456789\r\n8\r\n\r\n",
        ),
    ]);
    assert_spoilt(&endless, &CLOSING);
}

/// Guards against data of a chunk that is taken for the trailer, because the size of the chunk is spoilt.
#[test]
fn a_response_with_a_spoilt_trailer_is_not_passed_on() {
    let forms = with_chunks(&[
        ("a size of zero", "4\r\n0123\r\n0\r\n456789\r\n0\r\n\r\n"),
        ("a word", "a\r\n0123456789\r\n0\r\nspoilt\r\n\r\n"),
        (
            "an empty line that ends with a line feed",
            "a\r\n0123456789\r\n0\r\n\n",
        ),
        ("a line feed", "a\r\n0123456789\r\n0\r\nX-A: b\n\r\n"),
        (
            "a control byte in a name",
            "a\r\n0123456789\r\n0\r\nX\x01A: b\r\n\r\n",
        ),
        (
            "a blank in a name",
            "a\r\n0123456789\r\n0\r\nX-A : b\r\n\r\n",
        ),
        ("a carriage return", "a\r\n0123456789\r\n0\r\n\rx"),
    ]);
    assert_spoilt(&forms, &ARRIVALS);
    let lines = [(
        "lines like fields",
        "4\r\n0123\r\n0\r\na: b\r\n\r\n0\r\n\r\n",
    )];
    assert_spoilt(&with_chunks(&lines), &WHOLE);
}

/// Guards against a part of a response that looks complete because its connection has ended.
#[test]
fn a_response_that_ends_early_is_not_complete() {
    let with_length = [
        ("no part of the body", "Content-Length: 10\r\n", ""),
        ("a part of the body", "Content-Length: 10\r\n", "012345678"),
        ("a part of a chunk", CHUNKED, "4\r\n0123\r\n6\r\n4567"),
        ("no last chunk", CHUNKED, "4\r\n0123\r\n6\r\n456789\r\n"),
        ("a part of a chunk size", CHUNKED, "a\r\n0123456789\r\n0"),
        (
            "a part of the trailer",
            CHUNKED,
            "a\r\n0123456789\r\n0\r\nX-A: b\r\n",
        ),
    ];
    let form = |(name, fields, content): (&str, &str, &str)| Form::new(name, fields, content);
    let resets = [arrival(true, End::Reset), arrival(false, End::Reset)];
    let forms = with_length.map(form);
    assert_spoilt(&forms, &CLOSING);
    assert_spoilt(&forms, &resets);
    let unframed = [("no length, reset", "", BODY), ("no body, reset", "", "")];
    assert_spoilt(&unframed.map(form), &resets);
}

/// Guards against a sound response that is taken for a spoilt one.
#[test]
fn sound_responses_are_passed_on() {
    let mut forms = with_chunks(&[
        ("chunks", CHUNKS),
        ("upper case", "A\r\n0123456789\r\n0\r\n\r\n"),
        ("leading zeros", "000a\r\n0123456789\r\n000\r\n\r\n"),
        ("16 digits", "000000000000000a\r\n0123456789\r\n0\r\n\r\n"),
        (
            "extensions",
            "a;name=value;other\r\n0123456789\r\n0;x\r\n\r\n",
        ),
        (
            "a quoted extension",
            "a ; name=\"v;\u{e9} v\"\r\n0123456789\r\n0\r\n\r\n",
        ),
        (
            "a trailer",
            "a\r\n0123456789\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n",
        ),
    ]);
    forms.push(Form::new(
        "a coding in capitals",
        "transfer-encoding:CHUNKED\r\n",
        CHUNKS,
    ));
    forms.extend(with_fields(
        &[
            ("a length", LENGTH),
            ("no blank", "content-length:10\r\n"),
            ("white space around the length", "Content-Length: \t 10 \r\n"),
            ("leading zeros", "Content-Length: 0010\r\n"),
            ("a similar name", "Context-Length: 5\r\nContent-Length: 10\r\n"),
            ("unusual fields", "X-A: b:c\u{e9}\t d\r\nX-Empty:\r\nX-B: 1\r\nX-B: 2\r\nA!#$%&'*+-.^_`|~1: x\r\nContent-Length: 10\r\n"),
        ],
        BODY,
    ));
    let status_lines = [
        "HTTP/1.0 200 OK",
        "HTTP/1.1 200",
        "HTTP/1.1 200 ",
        "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK",
    ];
    for status_line in status_lines {
        forms.push(Form::new(status_line, LENGTH, BODY).with_status_line(status_line));
    }
    let unframed = [
        Form::new("until the end of the connection", "", BODY),
        Form::new("until its end in HTTP/1.0", "", BODY).with_status_line("HTTP/1.0 200 OK"),
    ];
    let mut all = plans(&forms, &ARRIVALS);
    all.extend(plans(&unframed, &CLOSING));
    check_all(&all, |_, _, _, (received, _)| {
        let is_whole = received.status == 200 && received.is_complete && received.body == BODY;
        (!is_whole).then_some("not passed on")
    });
}

/// Guards against a response without a body that is taken for a spoilt one.
#[test]
fn sound_responses_without_a_body_are_passed_on() {
    let status_line = "HTTP/1.1 204 No Content";
    let forms = [
        Form::new("no content", "", "").with_status_line(status_line),
        Form::new("a length of zero", "Content-Length: 0\r\n", "").with_status_line(status_line),
    ];
    check_all(&plans(&forms, &ARRIVALS), |_, _, _, (received, _)| {
        (received.status != 204).then_some("not passed on")
    });
}
