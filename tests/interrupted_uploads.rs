//! Tests of upstreams that respond, or end their side of the connection, while they are sent a long body, in both roles.

mod gateway_common;
mod http_common;
mod spoilt_common;

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use gateway_common::{
    configuration, connect, processor_time, signed_head, signed_response, start_fleet_with,
    wait_for, Action, CallerRequest, Gateway, Message, Step, StoreStub, UpstreamStub,
};
use http_common::{Deployment, HttpRequest, Router};
use spoilt_common::{router_configuration, LARGE_BUDGET};

/// Size of an upload that the kernel's buffers do not hold.
const UPLOAD_BYTES: usize = 12 << 20;

/// Time for which an upstream leaves its connection alone; the timeouts of the routes are longer.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Time within which a request is answered that waits for no upstream.
const SOON: Duration = Duration::from_millis(1_000);

/// Processor time that a process may use while an upstream pauses.
const IDLE_TIME: Duration = Duration::from_millis(500);

fn is_upload(request: &Message) -> bool {
    let length = request.header("content-length").unwrap_or_default();
    length.len() > 3
}

/// Starts an upstream that takes these steps for each upload, and serves other requests.
fn start_upstream(steps: impl Fn(&Message) -> Vec<Step> + Send + Sync + 'static) -> UpstreamStub {
    let upstream = UpstreamStub::start(move |request, _| {
        if is_upload(request) {
            return Action::Steps(steps(request));
        }
        Action::Write(signed_response(request, 200, "served"))
    });
    upstream.respond_early();
    upstream
}

/// What a caller receives, and after what time.
#[derive(Debug)]
struct Answer {
    status: u16,
    body: String,
    is_complete: bool,
    elapsed: Duration,
}

impl Answer {
    fn is_whole(&self, body: &str) -> bool {
        self.status == 200 && self.is_complete && self.body == body
    }
}

/// One of the roles with an upstream behind it, and what must outlive the process.
enum Stage {
    Gateway {
        gateway: Gateway,
        _store: StoreStub,
    },
    Router {
        router: Router,
        _deployment: Deployment,
    },
}

impl Stage {
    fn gateway(upstream: &UpstreamStub) -> Self {
        let mut generous = configuration(1, LARGE_BUDGET);
        generous["limits"]["max_body_bytes"] = (32 << 20).into();
        let (store, gateway) = start_fleet_with(&generous, &[upstream]);
        Self::Gateway {
            gateway,
            _store: store,
        }
    }

    fn router(upstream: &UpstreamStub) -> Self {
        let deployment = Deployment::start(&[]);
        deployment.publish(vec![router_configuration(upstream)]);
        let limits = monsoonfield::settings::Limits {
            body_bytes: UPLOAD_BYTES as u64,
            ..Default::default()
        };
        let timing = http_common::common::short_timing();
        let router = deployment.router_with("vm-1", limits, timing);
        Self::Router {
            router,
            _deployment: deployment,
        }
    }

    /// Sends a request that may run once.
    fn send(&self, id: &str, body_bytes: usize) -> Answer {
        let body = vec![b'x'; body_bytes];
        let started = Instant::now();
        let (status, body, is_complete) = match self {
            Self::Gateway { gateway, .. } => {
                let request = CallerRequest {
                    path: "/book/1",
                    id,
                    body: &body,
                    ..CallerRequest::default()
                };
                let response = request.send(gateway);
                (response.status(), response.text(), response.is_complete)
            }
            Self::Router { router, .. } => {
                let request = HttpRequest::new("POST", "/services/orders/1");
                let request = request.customer_headers(id).body(body);
                let response = request.send(&router.callers);
                let text = String::from_utf8_lossy(&response.body).into_owned();
                (response.status, text, response.is_complete)
            }
        };
        Answer {
            status,
            body,
            is_complete,
            elapsed: started.elapsed(),
        }
    }

    fn upload(&self) -> Answer {
        self.send("upload", UPLOAD_BYTES)
    }

    fn processor_time(&self) -> Duration {
        match self {
            Self::Gateway { gateway, .. } => gateway.processor_time(),
            Self::Router { router, .. } => processor_time(router.process.id()),
        }
    }
}

/// Starts a role in front of an upstream.
type Start = fn(&UpstreamStub) -> Stage;

const STAGES: [(&str, Start); 2] = [("gateway", Stage::gateway), ("router", Stage::router)];

/// Sends an upload to an upstream that takes some steps, and returns the answer in each role.
fn upload_to(steps: impl Fn(&Message) -> Vec<Step> + Clone + Send + Sync + 'static) -> [Answer; 2] {
    STAGES.map(|(_, start)| {
        let upstream = start_upstream(steps.clone());
        start(&upstream).upload()
    })
}

/// Guards against an event loop that turns without a pause, because the end of a stream stays readable while a body is
/// written: no other caller is answered, and the process uses a full core.
#[test]
fn an_upstream_that_ends_its_side_during_an_upload_stops_nothing_else() {
    for (role, start) in STAGES {
        let upstream =
            start_upstream(|_| vec![Step::EndSending, Step::Pause(PAUSE), Step::Read(usize::MAX)]);
        let stage = start(&upstream);
        std::thread::scope(|scope| {
            let upload = scope.spawn(|| stage.upload());
            wait_for("the upload", || upstream.requests().iter().any(is_upload));
            let (started, used_before) = (Instant::now(), stage.processor_time());
            let mut number = 0;
            while started.elapsed() < PAUSE / 2 {
                number += 1;
                let other = stage.send(&format!("other-{number}"), 2);

                assert!(other.is_whole("served"), "{role}: {other:?}");
                assert!(other.elapsed < SOON, "{role}: {other:?}");
                std::thread::sleep(Duration::from_millis(50));
            }
            let used = stage.processor_time() - used_before;
            assert!(used < IDLE_TIME, "{role}: {used:?} of processor time");
            let upload = upload.join().expect("an answer");
            assert_eq!(upload.status, 502, "{role}: {upload:?}");
        });
    }
}

/// Guards against a body that is not written to its end, because an interim response arrived.
#[test]
fn an_upload_goes_on_after_an_interim_response() {
    let answers = upload_to(|request| {
        vec![
            Step::Read(64 << 10),
            Step::Write(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()),
            Step::Pause(Duration::from_millis(100)),
            Step::Read(UPLOAD_BYTES - (64 << 10)),
            Step::Write(signed_response(request, 200, "stored")),
        ]
    });
    for answer in answers {
        assert!(answer.is_whole("stored"), "{answer:?}");
    }
}

/// Guards against the same because a part of the head arrived before the upstream read the rest of the body.
#[test]
fn an_upload_goes_on_while_the_head_of_the_response_is_incomplete() {
    let answers = upload_to(|request| {
        let response = signed_response(request, 200, "stored");
        vec![
            Step::Write(response[..24].to_vec()),
            Step::Pause(Duration::from_millis(100)),
            Step::Read(UPLOAD_BYTES),
            Step::Write(response[24..].to_vec()),
        ]
    });
    for answer in answers {
        assert!(answer.is_whole("stored"), "{answer:?}");
    }
}

/// Guards against a whole response that is lost, because the upstream reads the rest of the body late.
#[test]
fn an_early_whole_response_is_delivered_at_once() {
    let answers = upload_to(|request| {
        vec![
            Step::Write(signed_response(request, 200, "known")),
            Step::Pause(PAUSE),
            Step::Read(usize::MAX),
        ]
    });
    for answer in answers {
        assert!(answer.is_whole("known"), "{answer:?}");
        assert!(answer.elapsed < PAUSE, "{answer:?}");
    }
}

/// Guards against a whole response that is lost, because the upstream resets the connection after it.
#[test]
fn an_early_whole_response_is_delivered_although_the_connection_is_reset() {
    let answers = upload_to(|request| {
        // Closing a connection with unread bytes resets it.
        vec![Step::Write(signed_response(request, 200, "known"))]
    });
    for answer in answers {
        assert!(answer.is_whole("known"), "{answer:?}");
    }
}

/// Guards against a part of a response without a length that looks complete, because the connection was reset.
#[test]
fn an_early_response_without_a_length_is_not_complete_if_the_connection_is_reset() {
    for pause in [0, 5, 50] {
        let answers = upload_to(move |request| {
            let part = signed_head(request, "") + "part";
            let pause = Step::Pause(Duration::from_millis(pause));
            vec![Step::Write(part.into_bytes()), pause]
        });
        for answer in answers {
            let is_visible = answer.status == 502 || !answer.is_complete;
            assert!(is_visible, "{pause} ms: {answer:?}");
        }
    }
}

/// Guards against the same loop at the other end: callers that close their sending side before or after the end of their
/// request.
#[test]
fn callers_that_end_their_side_stop_nothing_else() {
    let upstream = UpstreamStub::start(|request, _| match request.header("x-request-id") {
        Some("ended") => Action::Silent,
        _ => Action::Write(signed_response(request, 200, "served")),
    });
    let stage = Stage::gateway(&upstream);
    let Stage::Gateway { gateway, .. } = &stage else {
        unreachable!("the stage of a gateway");
    };
    let request = CallerRequest {
        path: "/book/1",
        id: "ended",
        body: &[b'x'; 2_000],
        ..CallerRequest::default()
    };
    let bytes = request.encode();
    let callers: Vec<_> = [bytes.len(), bytes.len() - 1_000, 20]
        .map(|count| {
            let mut stream = connect(&gateway.callers);
            stream.write_all(&bytes[..count]).expect("written");
            stream.shutdown(Shutdown::Write).expect("open");
            stream
        })
        .into();
    let (started, used_before) = (Instant::now(), stage.processor_time());

    while started.elapsed() < PAUSE / 2 {
        let other = stage.send("other", 2);

        assert!(other.is_whole("served"), "{other:?}");
        assert!(other.elapsed < SOON, "{other:?}");
        std::thread::sleep(Duration::from_millis(50));
    }

    let used = stage.processor_time() - used_before;
    assert!(used < IDLE_TIME, "{used:?} of processor time");
    drop(callers);
}
