//! Router process: serves callers, dispatches their requests to upstreams and enforces the prepaid budgets.
//!
//! The process runs one event loop on one thread, with one task for each connection of a caller. Tasks share `Shared`
//! through `Rc` and `RefCell`. No borrow lasts across an await, so no lock is needed and no request can block another.
//! See `docs/design.md`, section 2.

mod admin;
mod attempt;
mod budget;
mod call;
mod claim;
mod connection;
mod crash_counts;
mod events;
mod notify;
mod pools;
mod relay;
mod reports;
mod response_writer;
mod shutdown;
mod stream;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use quick_error::quick_error;
use serde::Serialize;

use crate::backpressure::BufferShares;
use crate::collections::FastMap;
use crate::event_loop;
use crate::evidence::Collector;
use crate::explain::DecisionHistory;
use crate::fleet::{self, Fleet};
use crate::ids::{CustomerKey, Fingerprint, RequestKey};
use crate::memory;
use crate::metrics::Metrics;
use crate::quarantine::Quarantine;
use crate::rollout::Proposer;
use crate::server;
use crate::settings::Settings;
use crate::upstream_client::Client;

use budget::Budget;
use claim::CallClaims;
use pools::Pools;

/// Size of the kernel's send buffer for the connection of a caller; the kernel doubles it.
///
/// By default the buffer can grow to 4 MiB per connection, which would move the memory of slow readers into the kernel,
/// where it is not accounted for.
const CALLER_SEND_BUFFER_BYTES: usize = 16 << 10;

quick_error! {
    /// Why a router did not start or did not shut down cleanly.
    #[derive(Debug)]
    pub enum Error {
        /// A resource that the process needs could not be acquired.
        Start(step: &'static str, error: io::Error) {
            display("{}: {}", step, error)
        }
        /// The connection to the fleet could not be opened.
        Fleet(error: fleet::Error) {
            display("{}", error)
            from()
        }
        /// The graceful shutdown exceeded its time limit or was interrupted by a second signal.
        Shutdown(open_requests: usize) {
            display("stopped with {} open requests", open_requests)
        }
    }
}

/// Lifecycle phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The fleet state is not known yet; requests are refused.
    Starting,
    /// Requests are accepted and served.
    Serving,
    /// A graceful shutdown is in progress; new requests are refused.
    Stopping,
}

/// State shared by all tasks of the process.
pub(crate) struct Shared {
    settings: Settings,
    started: Instant,
    phase: Cell<Phase>,
    fleet: Fleet,
    client: Client,
    metrics: Metrics,
    budget: Budget,
    claims: CallClaims,
    decisions: RefCell<DecisionHistory>,
    pools: RefCell<Pools>,
    evidence: RefCell<Collector>,
    proposer: RefCell<Proposer>,
    /// Crashes that this process observed or peers reported. The fleet state contains a crash only after its record was
    /// appended to the log and read back.
    reported_crashes: RefCell<Quarantine>,
    crash_counts: crash_counts::CrashCounts,
    buffer_shares: RefCell<BufferShares>,
    /// Memory for the requests of callers.
    buffers: Rc<server::CallerBuffers>,
    /// Customers by the SHA-256 hash of a bearer key.
    api_keys: RefCell<FastMap<[u8; 32], CustomerKey>>,
    /// Keys of the open requests, each with the fingerprint and the number of open requests that use the key.
    open_keys: RefCell<FastMap<RequestKey, (Fingerprint, u32)>>,
    open_requests: Cell<usize>,
    connections: Cell<u32>,
}

impl Shared {
    /// Returns the time since the process started, from a monotonic clock, because wall clocks can jump.
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns whether any upstream crashed while it ran a request with this fingerprint.
    fn has_crashed(&self, fingerprint: Fingerprint) -> bool {
        self.reported_crashes.borrow().has_crashed(fingerprint)
            || self.fleet.state().quarantine.has_crashed(fingerprint)
    }

    /// Returns whether requests with this fingerprint are refused because they crash upstreams.
    fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        let reported = self.reported_crashes.borrow();
        reported.is_quarantined(fingerprint)
            || self.fleet.state().quarantine.is_quarantined(fingerprint)
    }

    /// Records a decision on a request, for operators.
    fn record_decision(&self, key: RequestKey, text: impl Into<CompactString>) {
        let mut decisions = self.decisions.borrow_mut();
        decisions.record_request(wall_clock_ms(), key, text);
    }

    /// Returns the time after which a caller that reads nothing is disconnected.
    fn reader_idle_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.limits.reader_idle_timeout_ms)
    }
}

/// Returns the wall-clock time since the Unix epoch, for records that are compared across processes.
fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Bound addresses, which are printed at start because the kernel chooses the ports that the settings leave open.
#[derive(Serialize)]
struct Addresses {
    callers: String,
    admin: String,
    peers: String,
}

/// Runs a router until it has shut down.
///
/// # Errors
///
/// Returns an error if the event loop cannot be started, an address cannot be bound, the signal handlers cannot be
/// registered or the graceful shutdown does not complete.
pub fn run(settings: Settings) -> Result<(), Error> {
    memory::configure_allocator();
    event_loop::block_on(serve(settings))
        .map_err(|error| Error::Start("starting the event loop", error))?
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let listen = &settings.listen;
    let callers = server::listen(&listen.callers, Some(CALLER_SEND_BUFFER_BYTES))
        .map_err(|error| Error::Start("listening on listen.callers", error))?;
    let admin = server::listen(&listen.admin, None)
        .map_err(|error| Error::Start("listening on listen.admin", error))?;
    let mut signals = shutdown::Signals::register()
        .map_err(|error| Error::Start("registering the signal handler", error))?;
    let fleet = Fleet::start(&settings)?;
    print_addresses(&callers, &admin, &fleet);
    let shared = Rc::new(build_shared(settings, fleet));
    monoio::spawn(connection::accept_callers(Rc::clone(&shared), callers));
    monoio::spawn(admin::accept(Rc::clone(&shared), admin));
    monoio::spawn(events::handle_events(Rc::clone(&shared)));
    monoio::spawn(events::run_periodic_work(Rc::clone(&shared)));
    monoio::spawn(reports::poll(Rc::clone(&shared)));
    monoio::spawn(Rc::clone(&shared.buffers).run_housekeeping());
    signals.next().await;
    shutdown::run(&shared, &mut signals).await
}

fn build_shared(settings: Settings, fleet: Fleet) -> Shared {
    let metrics = Metrics::new();
    let request_buffer_bytes = settings.limits.request_buffer_bytes();
    Shared {
        buffers: server::CallerBuffers::new(request_buffer_bytes as usize, metrics.clone()),
        started: Instant::now(),
        phase: Cell::new(Phase::Starting),
        client: Client::default(),
        metrics,
        budget: Budget::new(fleet.clone()),
        claims: CallClaims::new(fleet.clone()),
        decisions: RefCell::default(),
        pools: RefCell::new(Pools::new(&settings.data_centre, fleet.incarnation())),
        evidence: RefCell::default(),
        proposer: RefCell::default(),
        reported_crashes: RefCell::default(),
        crash_counts: crash_counts::CrashCounts::default(),
        buffer_shares: RefCell::new(BufferShares::new(
            settings.limits.reader_buffer_bytes as usize,
        )),
        api_keys: RefCell::default(),
        open_keys: RefCell::default(),
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
    // Serialising three strings cannot fail.
    println!("{}", serde_json::to_string(&addresses).unwrap_or_default());
}
