//! The event loop that connects all modules.
//!
//! Each connection of a caller is one task on the one thread. Tasks share `Shared` through `Rc` and `RefCell`; no borrow
//! lasts across an await, so no lock is needed and no request can stop another. See `docs/design.md`, section 2.

mod admin;
mod attempt;
mod budget;
mod call;
mod claim;
mod connection;
mod events;
mod notify;
mod pools;
mod relay;
mod reports;
mod shutdown;
mod stream;
mod writer;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use quick_error::quick_error;
use serde::Serialize;

use crate::backpressure::BufferShares;
use crate::collections::FastMap;
use crate::engine::Client;
use crate::event_loop;
use crate::evidence::Collector;
use crate::explain::DecisionHistory;
use crate::fleet::{self, Fleet};
use crate::ids::{CustomerKey, Fingerprint, RequestKey};
use crate::metrics::Metrics;
use crate::quarantine::Quarantine;
use crate::rollout::Proposer;
use crate::server;
use crate::settings::Settings;

use budget::Budget;
use claim::Claims;
use pools::Pools;

/// Size of the kernel's send buffer for one caller; the kernel doubles it.
///
/// The default grows to 4 MiB for each connection, which would hide the memory of slow readers in the kernel.
const CALLER_SEND_BUFFER_BYTES: usize = 16 << 10;

quick_error! {
    /// Why a router ended.
    #[derive(Debug)]
    pub enum Error {
        /// A resource of the process could not be opened.
        Start(step: &'static str, error: io::Error) {
            display("{}: {}", step, error)
        }
        /// The connection to the fleet could not be opened.
        Fleet(error: fleet::Error) {
            display("{}", error)
            from()
        }
        /// The planned stop took longer than allowed, or was cut short by a second signal.
        Shutdown(open_requests: usize) {
            display("stopped with {} open requests", open_requests)
        }
    }
}

/// Whether the process takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No state of the fleet is known yet.
    Starting,
    /// Requests are served.
    Serving,
    /// A planned stop is under way.
    Stopping,
}

/// State that all tasks of one process share.
pub(crate) struct Shared {
    settings: Settings,
    started: Instant,
    phase: Cell<Phase>,
    fleet: Fleet,
    client: Client,
    metrics: Metrics,
    budget: Budget,
    claims: Claims,
    decisions: RefCell<DecisionHistory>,
    pools: RefCell<Pools>,
    evidence: RefCell<Collector>,
    proposer: RefCell<Proposer>,
    /// Crashes that this process saw or was told of by peers; the fold shows them only after an append and a read.
    early_crashes: RefCell<Quarantine>,
    shares: RefCell<BufferShares>,
    /// Customers by the SHA-256 hash of their bearer keys.
    api_keys: RefCell<FastMap<[u8; 32], CustomerKey>>,
    /// Requests that are being served, with their number of attempts by callers.
    open: RefCell<FastMap<RequestKey, (Fingerprint, u32)>>,
    open_requests: Cell<usize>,
    connections: Cell<u32>,
}

impl Shared {
    /// Returns the time since the start; a monotonic clock, because wall clocks jump.
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns whether an upstream of the fleet crashed while it ran a request.
    fn has_crashed(&self, fingerprint: Fingerprint) -> bool {
        self.early_crashes.borrow().has_crashed(fingerprint)
            || self.fleet.state().quarantine.has_crashed(fingerprint)
    }

    /// Returns whether a request is stopped because it crashes upstreams.
    fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        let early = self.early_crashes.borrow();
        early.is_quarantined(fingerprint)
            || self.fleet.state().quarantine.is_quarantined(fingerprint)
    }

    /// Notes a decision on a request for operators.
    fn note_request(&self, key: RequestKey, text: impl Into<CompactString>) {
        let mut decisions = self.decisions.borrow_mut();
        decisions.record_request(wall_clock_ms(), key, text);
    }

    /// Returns the time after which a reader that takes nothing is disconnected.
    fn reader_idle_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.limits.reader_idle_timeout_ms)
    }
}

/// Returns the wall-clock time since the Unix epoch, for records that processes compare.
fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Addresses on which a process listens; printed at start because the kernel may have chosen the ports.
#[derive(Serialize)]
struct Addresses {
    callers: String,
    admin: String,
    peers: String,
}

/// Runs a router until it has stopped as planned.
///
/// # Errors
///
/// Returns an error if an address cannot be opened or the planned stop is not complete.
pub fn run(settings: Settings) -> Result<(), Error> {
    event_loop::block_on(serve(settings))
        .map_err(|error| Error::Start("starting the event loop", error))?
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let listen = &settings.listen;
    let callers = server::listen(&listen.callers, Some(CALLER_SEND_BUFFER_BYTES))
        .map_err(|error| Error::Start("listening for callers", error))?;
    let admin = server::listen(&listen.admin, None)
        .map_err(|error| Error::Start("listening for operators", error))?;
    let mut signals = shutdown::Signals::register()
        .map_err(|error| Error::Start("registering the signal handler", error))?;
    let fleet = Fleet::start(&settings)?;
    print_addresses(&callers, &admin, &fleet);
    let shared = Rc::new(new_shared(settings, fleet));
    monoio::spawn(connection::accept_callers(Rc::clone(&shared), callers));
    monoio::spawn(admin::accept(Rc::clone(&shared), admin));
    monoio::spawn(events::follow(Rc::clone(&shared)));
    monoio::spawn(events::tick(Rc::clone(&shared)));
    monoio::spawn(reports::poll(Rc::clone(&shared)));
    signals.next().await;
    shutdown::run(&shared, &mut signals).await
}

fn new_shared(settings: Settings, fleet: Fleet) -> Shared {
    Shared {
        started: Instant::now(),
        phase: Cell::new(Phase::Starting),
        client: Client::default(),
        metrics: Metrics::new(),
        budget: Budget::new(fleet.clone()),
        claims: Claims::new(fleet.clone()),
        decisions: RefCell::default(),
        pools: RefCell::new(Pools::new(&settings.data_centre, fleet.incarnation())),
        evidence: RefCell::default(),
        proposer: RefCell::default(),
        early_crashes: RefCell::default(),
        shares: RefCell::new(BufferShares::new(
            settings.limits.reader_buffer_bytes as usize,
        )),
        api_keys: RefCell::default(),
        open: RefCell::default(),
        open_requests: Cell::new(0),
        connections: Cell::new(0),
        fleet,
        settings,
    }
}

fn print_addresses(
    callers: &monoio::net::TcpListener,
    admin: &monoio::net::TcpListener,
    fleet: &Fleet,
) {
    let text = |listener: &monoio::net::TcpListener| {
        listener
            .local_addr()
            .map_or_else(|_| String::new(), |address| address.to_string())
    };
    let addresses = Addresses {
        callers: text(callers),
        admin: text(admin),
        peers: fleet.address().to_owned(),
    };
    // Three strings always serialise.
    println!("{}", serde_json::to_string(&addresses).unwrap_or_default());
}
