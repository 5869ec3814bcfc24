//! A stand-in of an upstream in trouble, whose responses are spoilt, behind both roles.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::sync::{Arc, Mutex};

use monsoonfield::record::{ConfigurationEntry, Entry};
use serde_json::json;

use crate::gateway_common::{
    self, Action, CallerRequest, End, Gateway, Message, StoreStub, UpstreamStub,
};
use crate::http_common::{self, Deployment, HttpRequest, Router};

/// Budget that no test uses up.
pub const LARGE_BUDGET: u64 = 1_000_000_000;

/// Body of each response, as the upstream means it.
pub const BODY: &str = "0123456789";

/// A response of the upstream: its head as text, except the fields that every response has, and what follows it.
#[derive(Clone, Debug)]
pub struct Form {
    pub name: String,
    pub status_line: &'static str,
    /// Field lines, each with its line end.
    pub fields: String,
    /// The bytes after the head.
    pub content: String,
}

impl Form {
    pub fn new(name: &str, fields: &str, content: &str) -> Self {
        Self {
            name: name.into(),
            status_line: "HTTP/1.1 200 OK",
            fields: fields.into(),
            content: content.into(),
        }
    }

    pub fn with_status_line(self, status_line: &'static str) -> Self {
        Self {
            status_line,
            ..self
        }
    }

    fn head(&self, request: &Message, end: End) -> Vec<u8> {
        let id = request.header("x-request-id").unwrap_or_default();
        let connection = match end {
            End::Keep => "",
            End::Close | End::Reset => "Connection: close\r\n",
        };
        format!(
            "{}\r\nX-Request-Id: {id}\r\nX-Server-Signature: s.1\r\n{}{connection}\r\n",
            self.status_line, self.fields
        )
        .into_bytes()
    }
}

/// How a response arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    pub is_whole: bool,
    pub end: End,
}

pub const ARRIVALS: [Arrival; 4] = [
    arrival(true, End::Keep),
    arrival(true, End::Close),
    arrival(false, End::Keep),
    arrival(false, End::Close),
];

pub const fn arrival(is_whole: bool, end: End) -> Arrival {
    Arrival { is_whole, end }
}

/// Size of the pieces of a response that does not arrive as a whole.
const PIECE_BYTES: usize = 7;

/// Response to the request whose path ends with the number of this plan.
#[derive(Clone, Debug)]
pub struct Plan {
    pub form: Form,
    pub arrival: Arrival,
}

impl Plan {
    fn action(&self, request: &Message) -> Action {
        let head = self.form.head(request, self.arrival.end);
        let content = self.form.content.as_bytes();
        let pieces = if self.arrival.is_whole {
            vec![[head.as_slice(), content].concat()]
        } else {
            let parts = content.chunks(PIECE_BYTES).map(<[u8]>::to_vec);
            std::iter::once(head).chain(parts).collect()
        };
        Action::Pieces {
            pieces,
            end: self.arrival.end,
        }
    }
}

/// What a caller receives.
#[derive(Clone, Debug)]
pub struct Received {
    pub status: u16,
    pub is_complete: bool,
    pub body: String,
    /// Header fields of the upstream, such as its signature.
    pub is_signed: bool,
}

impl Received {
    pub fn of_gateway(response: &Message) -> Self {
        Self {
            status: response.status(),
            is_complete: response.is_complete,
            is_signed: response.header("x-server-signature").is_some(),
            body: response.text(),
        }
    }

    /// Returns whether this is a failure that promises nothing, or a response that is visibly broken off.
    pub fn promises_nothing(&self) -> bool {
        match self.status {
            0 => true,
            502 | 504 => !self.is_signed,
            _ => !self.is_complete,
        }
    }
}

/// Starts an upstream that follows the plans, and serves all requests beyond them.
pub fn start_upstream(plans: Vec<Plan>) -> UpstreamStub {
    UpstreamStub::start(move |request, _| {
        let path = request.start.split(' ').nth(1).unwrap_or_default();
        if path.starts_with("/v1/") {
            return Action::Write(b"HTTP/1.1 404 x\r\ncontent-length: 0\r\n\r\n".to_vec());
        }
        let number = path.rsplit('/').next().and_then(|text| text.parse().ok());
        match number.and_then(|number: usize| plans.get(number)) {
            Some(plan) => plan.action(request),
            None => Action::Write(gateway_common::signed_response(request, 200, "served")),
        }
    })
}

/// One of the roles, with an upstream behind it.
pub enum Stage {
    Gateway(GatewayStage),
    Router(RouterStage),
}

pub struct GatewayStage {
    pub upstream: UpstreamStub,
    pub gateway: Gateway,
    _store: StoreStub,
}

pub struct RouterStage {
    pub upstream: UpstreamStub,
    pub router: Router,
    log_lines: Arc<Mutex<Vec<String>>>,
    _deployment: Deployment,
}

impl Stage {
    pub fn gateway(plans: Vec<Plan>) -> Self {
        let upstream = start_upstream(plans);
        let (store, gateway) = gateway_common::start_fleet(LARGE_BUDGET, &[&upstream]);
        Self::Gateway(GatewayStage {
            upstream,
            gateway,
            _store: store,
        })
    }

    pub fn router(plans: Vec<Plan>) -> Self {
        let upstream = start_upstream(plans);
        let deployment = Deployment::start(&[]);
        deployment.publish(vec![router_configuration(&upstream)]);
        let (router, log_lines) = deployment.router_with_log("vm-1");
        Self::Router(RouterStage {
            upstream,
            router,
            log_lines,
            _deployment: deployment,
        })
    }

    pub fn role(&self) -> &'static str {
        match self {
            Self::Gateway(_) => "gateway",
            Self::Router(_) => "router",
        }
    }

    pub fn upstream(&self) -> &UpstreamStub {
        match self {
            Self::Gateway(stage) => &stage.upstream,
            Self::Router(stage) => &stage.upstream,
        }
    }

    /// Sends a request whose response is that of a plan, on a route that may or may not repeat it.
    pub fn send(&self, number: usize, may_repeat: bool) -> Received {
        match self {
            Self::Gateway(stage) => {
                let route = if may_repeat { "read" } else { "book" };
                let (path, id) = (format!("/{route}/{number}"), request_id(number, may_repeat));
                let request = CallerRequest {
                    path: &path,
                    id: &id,
                    ..CallerRequest::default()
                };
                Received::of_gateway(&request.send(&stage.gateway))
            }
            Self::Router(stage) => {
                let service = if may_repeat { "prices" } else { "orders" };
                let path = format!("/services/{service}/{number}");
                let request = HttpRequest::new("POST", &path)
                    .customer_headers(&request_id(number, may_repeat))
                    .body("{}");
                let response = request.send(&stage.router.callers);
                Received {
                    status: response.status,
                    is_complete: response.is_complete,
                    is_signed: false,
                    body: String::from_utf8_lossy(&response.body).into_owned(),
                }
            }
        }
    }

    /// Sends a request whose response is sound.
    pub fn send_sound(&self) -> Received {
        self.send(usize::MAX, true)
    }

    /// Returns whether a log line about a request names its upstream and why its response was not read.
    pub fn has_logged_failure(&self, number: usize, may_repeat: bool) -> bool {
        let id = request_id(number, may_repeat);
        match self {
            Self::Gateway(stage) => {
                let reason = format!("reading the response at {}: ", stage.upstream.id);
                let lines = stage.gateway.log_lines_of(&id);
                lines.iter().any(|line| line.to_string().contains(&reason))
            }
            Self::Router(stage) => {
                let reason = format!("reading the response at {}: ", stage.upstream.address);
                let key = http_common::key(&id).to_string();
                let lines = stage.log_lines.lock().unwrap();
                let mut of_request = lines.iter().filter(|line| line.contains(&key));
                of_request.any(|line| line.contains(&reason))
            }
        }
    }
}

fn request_id(number: usize, may_repeat: bool) -> String {
    format!("{}-{number}", if may_repeat { "read" } else { "book" })
}

/// Returns a configuration in which the upstream serves the model `quotes` and the services `orders` (not repeatable) and
/// `prices` (repeatable).
pub fn router_configuration(upstream: &UpstreamStub) -> Entry {
    let entry = |serves: &str, kind: &str| {
        json!({"name": format!("{serves}-0"), "address": upstream.address.to_string(),
               "data_centre": "dc-1", "kind": kind, "serves": serves, "version": "v1",
               "capacity_requests": 100,
               "tokens_per_second": if kind == "engine" { 100_000 } else { 0 }})
    };
    let service = |name: &str, repeatable: bool| {
        json!({"name": name, "version": "v1", "repeatable": repeatable, "timeout_ms": 2_500,
               "charge_tokens": 1})
    };
    let body = json!({
        "models": [{"name": "quotes", "version": "v1", "max_output_tokens": 4096}],
        "services": [service("orders", false), service("prices", true)],
        "upstreams": [entry("quotes", "engine"), entry("orders", "service"),
                      entry("prices", "service")],
    });
    Entry::Configuration(ConfigurationEntry {
        revision: 2,
        replaces: 1,
        body_json: body.to_string().into_bytes(),
    })
}
