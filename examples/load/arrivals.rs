//! Open-loop requests and background streams.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use serde_json::json;

use crate::connection::Connection;
use crate::report::TargetReport;

/// Time limit of the wait for requests and streams that are open when a round ends.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest number of idle connections that are kept for later requests.
const MAX_IDLE_CONNECTIONS: usize = 512;

/// Load on one target.
#[derive(Clone)]
pub(crate) struct Plan {
    pub(crate) address: SocketAddr,
    pub(crate) key_prefix: String,
    pub(crate) is_direct: bool,
    pub(crate) model: String,
    pub(crate) service: Option<String>,
    pub(crate) api_key: String,
    pub(crate) rate: u64,
    pub(crate) duration: Duration,
    pub(crate) max_tokens: u64,
    pub(crate) stream_tokens: u64,
}

/// State that the tasks of one round share.
#[derive(Default)]
struct RoundState {
    pool: RefCell<Vec<Connection>>,
    open: Cell<u64>,
    results: RefCell<Vec<Result<Latencies, String>>>,
}

/// Latencies of one request, from its release by the timer.
struct Latencies {
    first_byte: Duration,
    whole: Duration,
}

impl Plan {
    /// Returns the plan for one target; `round` makes its request keys distinct from those of other rounds.
    pub(crate) fn for_target(&self, address: SocketAddr, is_direct: bool, round: &str) -> Self {
        Self {
            address,
            is_direct,
            key_prefix: format!("load-{}-{round}", std::process::id()),
            ..self.clone()
        }
    }

    /// Encodes one request; only requests of the kind `short` go to the plain service, if the plan has one.
    pub(crate) fn encode_request(&self, number: u64, kind: &str, max_tokens: u64) -> Vec<u8> {
        let (path, body) = match (&self.service, kind) {
            (Some(service), "short") => (
                format!("/services/{service}/run"),
                json!({ "number": number }),
            ),
            _ => (
                "/v1/chat/completions".to_owned(),
                json!({
                    "model": self.model,
                    "stream": true,
                    "max_tokens": max_tokens,
                    "messages": [{ "role": "user", "content": format!("Quote for order {number}") }],
                }),
            ),
        };
        let body = body.to_string();
        let prefix = &self.key_prefix;
        // An upstream identifies a request by a header that the router sets; callers of a router must not set it.
        let upstream_key = if self.is_direct {
            format!("x-request-key: {prefix}-{kind}-{number}\r\n")
        } else {
            String::new()
        };
        format!(
            "POST {path} HTTP/1.1\r\nhost: {}\r\nauthorization: Bearer {}\r\nidempotency-key: {prefix}-{kind}-{number}\r\n\
             {upstream_key}content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            self.address,
            self.api_key,
            body.len()
        )
        .into_bytes()
    }
}

/// Sends requests at the planned rate and adds their results to the report.
pub(crate) async fn run(plan: &Plan, target: &mut TargetReport) {
    let round = Rc::new(RoundState::default());
    let started = Instant::now();
    let interval = Duration::from_secs(1) / u32::try_from(plan.rate).unwrap_or(u32::MAX);
    let mut number = 0;
    let mut arrival = started;
    while arrival - started < plan.duration {
        if let Some(wait) = arrival.checked_duration_since(Instant::now()) {
            sleep(wait).await;
        }
        round.open.set(round.open.get() + 1);
        let released = Instant::now();
        target.record_lateness(released - arrival);
        monoio::spawn(run_request(
            Rc::clone(&round),
            plan.clone(),
            number,
            released,
        ));
        number += 1;
        arrival += interval;
    }
    let deadline = Instant::now() + DRAIN_TIMEOUT;
    while round.open.get() > 0 && Instant::now() < deadline {
        sleep(Duration::from_millis(1)).await;
    }
    target.add_round(started.elapsed(), round.open.get());
    for result in round.results.borrow_mut().drain(..) {
        match result {
            Ok(latencies) => target.record(latencies.first_byte, latencies.whole),
            Err(error) => target.record_error(&error),
        }
    }
}

async fn run_request(round: Rc<RoundState>, plan: Plan, number: u64, released: Instant) {
    let result = send_request(&round, &plan, number, released).await;
    round.results.borrow_mut().push(result);
    round.open.set(round.open.get() - 1);
}

async fn send_request(
    round: &RoundState,
    plan: &Plan,
    number: u64,
    released: Instant,
) -> Result<Latencies, String> {
    let pooled = round.pool.borrow_mut().pop();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => Connection::open(plan.address).await?,
    };
    let mut response = connection
        .send(plan.encode_request(number, "short", plan.max_tokens))
        .await?;
    let first_byte = response.first_byte - released;
    connection.finish(&mut response).await?;
    let whole = released.elapsed();
    let mut pool = round.pool.borrow_mut();
    if pool.len() < MAX_IDLE_CONNECTIONS {
        pool.push(connection);
    }
    match response.status {
        200 => Ok(Latencies { first_byte, whole }),
        status => Err(format!("status {status}")),
    }
}

/// Streams that stay open while requests are measured.
pub(crate) struct BackgroundStreams {
    is_stopping: Rc<Cell<bool>>,
    failed: Rc<Cell<u64>>,
    open: Rc<Cell<u64>>,
}

impl BackgroundStreams {
    /// Opens the streams, and returns once each has its first byte.
    pub(crate) async fn start(
        plan: &Plan,
        streams: u64,
        slow_readers: u64,
        slow_bytes_per_s: u64,
    ) -> Result<Self, String> {
        let background = Self {
            is_stopping: Rc::default(),
            failed: Rc::default(),
            open: Rc::default(),
        };
        for number in 0..streams + slow_readers {
            let mut connection = Connection::open(plan.address).await?;
            let request = plan.encode_request(number, "stream", plan.stream_tokens);
            let mut response = connection.send(request).await?;
            if response.status != 200 {
                return Err(format!("stream {number}: status {}", response.status));
            }
            let rate = (number >= streams).then_some(slow_bytes_per_s);
            let is_stopping = Rc::clone(&background.is_stopping);
            let failed = Rc::clone(&background.failed);
            let open = Rc::clone(&background.open);
            open.set(open.get() + 1);
            monoio::spawn(async move {
                let read = read_stream(&mut connection, &mut response, rate, &is_stopping);
                if read.await.is_err() {
                    failed.set(failed.get() + 1);
                }
                open.set(open.get() - 1);
            });
        }
        Ok(background)
    }

    /// Closes the streams and adds the number of broken ones to the report.
    pub(crate) async fn stop(self, target: &mut TargetReport) {
        self.is_stopping.set(true);
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while self.open.get() > 0 && Instant::now() < deadline {
            sleep(Duration::from_millis(5)).await;
        }
        target.add_broken_streams(self.failed.get() + self.open.get());
    }
}

/// Reads a stream until it ends or reading is stopped; a slow reader reads its bytes once per second.
async fn read_stream(
    connection: &mut Connection,
    response: &mut crate::connection::Response,
    bytes_per_s: Option<u64>,
    is_stopping: &Cell<bool>,
) -> Result<(), String> {
    let limit = bytes_per_s.map_or(usize::MAX, |bytes| bytes as usize);
    while !is_stopping.get() {
        if connection.read(response, limit).await?.is_none() {
            return Ok(());
        }
        if bytes_per_s.is_some() {
            let next = Instant::now() + Duration::from_secs(1);
            while !is_stopping.get() && Instant::now() < next {
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
    Ok(())
}
