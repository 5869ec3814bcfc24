//! The process between callers and upstreams on a platform that keeps all lasting state in a store.
//!
//! One event loop on one thread. A request passes through these steps, each in a module of its own:
//!
//! | step | module |
//! | --- | --- |
//! | accept, parse | `callers` |
//! | find the route, authenticate, reserve budget | `request` |
//! | choose upstreams, send, retry | `attempt` |
//! | connections to upstreams | `pool` |
//! | relay the response, count what is delivered | `relay` |
//!
//! Beside the requests, `watch` follows configuration and upstreams, `budget` keeps spending rights at hand and
//! `journal` shows how far they may be used, `clock` asks others for their time, `presence` splits the limits that hold over all gateways, `peers` tells
//! the others of long prompts, and `shutdown` ends the process without cutting requests. Decisions are pure functions in
//! [`crate::routing`], [`crate::directory`], [`crate::placement`], [`crate::allowance`] and [`crate::fleet_share`]. The
//! design is in `docs/design.md`, section 10.

mod attempt;
mod budget;
mod callers;
mod clock;
mod journal;
mod peers;
mod pool;
mod presence;
mod probes;
mod relay;
mod request;
mod settings;
mod shutdown;
mod watch;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use quick_error::quick_error;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::collections::FastMap;
use crate::congestion::Congestion;
use crate::directory::Directory;
use crate::event_loop;
use crate::fleet_clock::FleetClock;
use crate::fleet_share::{RetryLimit, Routers};
use crate::metrics::Metrics;
use crate::placement::{Placement, Prompt};
use crate::platform::StoreClient;
use crate::routing::Table;
use crate::server;
use crate::store::Store;

pub use settings::{FleetLimits, Listen, Resources, Settings, StoreSettings};

quick_error! {
    /// Why a gateway did not start or did not stop as planned.
    #[derive(Debug)]
    pub enum Error {
        /// The process could not take a resource that it needs.
        Start(step: &'static str, error: io::Error) {
            display("{}: {}", step, error)
        }
    }
}

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// Identity of this attempt of the caller.
    pub id: CompactString,
    /// Time for which the caller waits.
    pub deadline_ms: Option<u64>,
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Largest number of tokens of the response.
    pub max_output_tokens: u64,
    /// Prompt, for requests to model engines.
    pub prompt: Option<Prompt>,
    /// Event after which the stream continues.
    pub last_event_id: Option<u64>,
}

/// Whether the process takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Serves as soon as configuration and upstreams are known.
    Running,
    /// A planned stop is under way.
    Stopping,
}

/// State that all tasks of one process share.
struct Shared {
    settings: Settings,
    /// Random id of this process, by which its entries in the store are told from those of its predecessors.
    router_id: u64,
    started: Instant,
    phase: Cell<Phase>,
    stopping_since: Cell<Option<Instant>>,
    store: Rc<dyn Store>,
    /// `None` until the first configuration was read.
    table: RefCell<Option<Rc<Table>>>,
    /// Time at which the configuration was last known to be the newest one.
    table_read_ms: Cell<u64>,
    directory: RefCell<Directory>,
    /// Whether a snapshot of the upstreams was read.
    is_directory_loaded: Cell<bool>,
    directory_read_ms: Cell<u64>,
    placement: RefCell<Placement>,
    pool: pool::Pool,
    budgets: budget::Budgets,
    peer_socket: peers::PeerSocket,
    journal: journal::Journal,
    clock: RefCell<FleetClock>,
    congestion: RefCell<Congestion>,
    was_congested: Cell<bool>,
    routers: RefCell<Routers>,
    retries: RefCell<FastMap<CompactString, RetryLimit>>,
    metrics: Metrics,
    random: RefCell<Pcg64Mcg>,
    open_requests: Cell<usize>,
    connections: Cell<usize>,
}

impl Shared {
    /// Returns the time since the start; a monotonic clock, because wall clocks jump.
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn random(&self) -> u32 {
        self.random.borrow_mut().random()
    }

    /// Returns the factor by which the intervals of control calls grow with the fleet.
    fn interval_factor(&self) -> u32 {
        self.routers.borrow().pace() as u32
    }

    fn is_stopping(&self) -> bool {
        self.phase.get() == Phase::Stopping
    }

    /// Returns whether new connections should be sent here.
    fn is_ready(&self) -> bool {
        !self.is_stopping()
            && !self.is_congested()
            && self.table.borrow().is_some()
            && self.is_directory_loaded.get()
    }

    /// Returns whether callers should go to other gateways because packets wait at this VM.
    fn is_congested(&self) -> bool {
        self.congestion.borrow().is_congested(self.now_ms())
    }

    /// Returns whether a caller's connection stays open after the response to a request.
    fn keeps_connection(&self, request: &server::Request) -> bool {
        request.keep_alive && !self.is_stopping() && !self.is_congested()
    }

    /// Notes how long a connection to an upstream took.
    fn record_connect(&self, upstream: &str, elapsed_ms: u64) {
        let now_ms = self.now_ms();
        let mut congestion = self.congestion.borrow_mut();
        congestion.connected(upstream, elapsed_ms, now_ms);
        let is_congested = congestion.is_congested(now_ms);
        if self.was_congested.replace(is_congested) != is_congested {
            log::info!(
                step = "congestion", congested = is_congested, connections = self.connections.get(),
                open_requests = self.open_requests.get(), at_ms = now_ms;
                "{}", if is_congested { "packets wait at this VM, callers are sent away" } else { "callers are welcome again" }
            );
        }
    }
}

/// Runs a gateway until it has stopped as planned.
///
/// # Errors
///
/// Returns an error if an address cannot be opened.
pub fn run(settings: Settings) -> Result<(), Error> {
    event_loop::block_on(serve(settings))
        .map_err(|error| Error::Start("starting the event loop", error))?
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let listen = |step, address: &str| {
        server::listen(address, None).map_err(|error| Error::Start(step, error))
    };
    let callers = listen("listening for callers", &settings.listen.callers)?;
    let readiness = listen("listening for the balancer", &settings.listen.readiness)?;
    let peer_socket = peers::PeerSocket::open(&settings.listen.peers)
        .map_err(|error| Error::Start("listening for other gateways", error))?;
    let metrics = listen("listening for scrapers", &settings.listen.metrics)?;
    let mut signals = shutdown::Signals::register()
        .map_err(|error| Error::Start("registering the signal handler", error))?;
    let shared = Rc::new(build_shared(settings, peer_socket));
    let local = |listener: &monoio::net::TcpListener| match listener.local_addr() {
        Ok(address) => address.to_string(),
        Err(error) => error.to_string(),
    };
    // The addresses are those of the sockets, because the kernel chooses the ports that the settings leave open.
    log::info!(
        step = "start", vm = shared.settings.vm.as_str(), router = shared.router_id,
        callers = local(&callers).as_str(), readiness = local(&readiness).as_str(),
        metrics = local(&metrics).as_str(); "started"
    );
    monoio::spawn(callers::accept(Rc::clone(&shared), callers));
    monoio::spawn(probes::accept(Rc::clone(&shared), readiness));
    monoio::spawn(probes::accept(Rc::clone(&shared), metrics));
    monoio::spawn(watch::watch_configuration(Rc::clone(&shared)));
    monoio::spawn(watch::watch_upstreams(Rc::clone(&shared)));
    monoio::spawn(presence::watch(Rc::clone(&shared)));
    monoio::spawn(presence::report(Rc::clone(&shared)));
    monoio::spawn(peers::receive(Rc::clone(&shared)));
    monoio::spawn(clock::run(Rc::clone(&shared)));
    monoio::spawn(journal::run(Rc::clone(&shared)));
    monoio::spawn(budget::run(Rc::clone(&shared)));
    monoio::spawn(run_housekeeping(Rc::clone(&shared)));
    shutdown::wait_and_drain(&shared, &mut signals).await;
    Ok(())
}

fn build_shared(settings: Settings, peer_socket: peers::PeerSocket) -> Shared {
    let store = &settings.store;
    let store = StoreClient::new(&store.address, &settings.vm, store.partitions);
    let mut random = Pcg64Mcg::from_os_rng();
    Shared {
        router_id: random.random(),
        started: Instant::now(),
        phase: Cell::new(Phase::Running),
        stopping_since: Cell::new(None),
        store: Rc::new(store),
        table: RefCell::default(),
        table_read_ms: Cell::new(0),
        directory: RefCell::default(),
        is_directory_loaded: Cell::new(false),
        directory_read_ms: Cell::new(0),
        placement: RefCell::default(),
        pool: pool::Pool::default(),
        budgets: budget::Budgets::default(),
        peer_socket,
        journal: journal::Journal::default(),
        clock: RefCell::default(),
        congestion: RefCell::default(),
        was_congested: Cell::new(false),
        routers: RefCell::default(),
        retries: RefCell::default(),
        metrics: Metrics::new(),
        random: RefCell::new(random),
        open_requests: Cell::new(0),
        connections: Cell::new(0),
        settings,
    }
}

/// Does what is due at intervals: old connections and old failures are forgotten.
async fn run_housekeeping(shared: Rc<Shared>) {
    /// Interval of the housekeeping.
    const INTERVAL: Duration = Duration::from_millis(500);
    /// Part of a failure share that is left after one interval; half of it is left after 3 s.
    const FAILURE_DECAY: f64 = 0.89;
    /// Intervals between two lines in the log.
    const LOG_INTERVALS: u64 = 4;
    let mut count: u64 = 0;
    loop {
        monoio::time::sleep(INTERVAL).await;
        let now_ms = shared.now_ms();
        count += 1;
        if count.is_multiple_of(LOG_INTERVALS) {
            log_state(&shared);
        }
        shared.pool.close_expired(now_ms);
        shared.placement.borrow_mut().forgive(FAILURE_DECAY);
        shared
            .metrics
            .set("open_requests", shared.open_requests.get() as u64);
        shared
            .metrics
            .set("connections", shared.connections.get() as u64);
    }
}

/// Writes what the process believes at the moment, with the age of each belief.
fn log_state(shared: &Shared) {
    let now_ms = shared.now_ms();
    let version = shared
        .table
        .borrow()
        .as_ref()
        .map_or(0, |table| table.version());
    log::info!(
        step = "state", at_ms = now_ms, version = version,
        configuration_age_ms = now_ms.saturating_sub(shared.table_read_ms.get()),
        upstreams = shared.directory.borrow().len(),
        upstreams_age_ms = now_ms.saturating_sub(shared.directory_read_ms.get()),
        gateways = shared.routers.borrow().count(),
        notices = shared.metrics.value("notices_received"),
        open_requests = shared.open_requests.get(),
        connections = shared.connections.get(); "state"
    );
}
