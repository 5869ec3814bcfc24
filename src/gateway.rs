//! Gateway between callers and upstreams, for platforms that keep all durable state in a store.
//!
//! The process runs one event loop on one thread. A request passes through these stages:
//!
//! | stage | module |
//! | --- | --- |
//! | accept connections, parse requests | `callers` |
//! | find the route, authenticate, reserve budget | `request` |
//! | choose upstreams, send, retry | `attempt` |
//! | connections to upstreams | `pool` |
//! | what upstreams state about new requests | `availability` |
//! | which processes of upstreams are gone, by reports of other gateways | `beliefs` |
//! | relay the response, count what is delivered | `relay` |
//!
//! Background tasks run beside the requests:
//!
//! | task | module |
//! | --- | --- |
//! | follow the configuration and the upstreams in the store | `watch` |
//! | acquire, return and reclaim spending rights | `budget` |
//! | reserve tokens at the gateways that hold rights, and serve such reservations | `budget::remote`, `budget::serving` |
//! | write journal entries, which limit how far the rights may be spent | `journal` |
//! | sample the wall clocks of other gateways | `clock` |
//! | relate crashes of upstreams to requests, refuse requests that cause them | `crashes` |
//! | know which upstreams may be cold | `cold_upstreams` |
//! | keep requests away from evacuated data centres | `evacuations` |
//! | observe the load of this VM, move callers away from it | `load` |
//! | keep to the limits on requests that upstreams state | `limits` |
//! | try new versions of services, complete good ones, roll back bad ones | `rollouts` |
//! | report presence, from which fleet-wide limits are split | `presence` |
//! | exchange datagrams with other gateways | `peers` |
//! | answer readiness probes and metric scrapes | `probes` |
//! | shut down without cutting off requests | `shutdown` |
//!
//! Decisions are made without input or output, in [`crate::routing`], [`crate::directory`], [`crate::placement`],
//! [`crate::allowance`], [`crate::crash_attribution`], [`crate::holders`], [`crate::reservations`],
//! [`crate::fleet_clock`], [`crate::congestion`], [`crate::cold_upstreams`], [`crate::evacuation`],
//! [`crate::upstream_availability`], [`crate::upstream_beliefs`], [`crate::upstream_limits`], [`crate::version_canary`],
//! [`crate::rollout_completion`] and [`crate::shared_limits`]. These modules, [`crate::store`] and [`crate::platform`]
//! call a gateway process a router.
//! The design is in `docs/design.md`, section 10.

mod attempt;
mod availability;
mod beliefs;
mod budget;
mod callers;
mod clock;
mod cold_upstreams;
mod crashes;
mod evacuations;
mod journal;
mod limits;
mod load;
mod peers;
mod pool;
mod presence;
mod probes;
mod relay;
mod request;
mod rollouts;
mod settings;
mod shutdown;
mod store_health;
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
use crate::directory::UpstreamDirectory;
use crate::event_loop;
use crate::fleet_clock::FleetClock;
use crate::holders::PeerMonitor;
use crate::memory;
use crate::metrics::Metrics;
use crate::notify::Notify;
use crate::placement::{Placement, Prompt};
use crate::platform::StoreClient;
use crate::routing::RoutingTable;
use crate::server;
use crate::shared_limits::{ActiveRouters, RetryLimiter};
use crate::store::Store;
use crate::upstream_availability::UpstreamAvailability;
use crate::upstream_beliefs::UpstreamBeliefs;
use store_health::ObservedStore;

pub use settings::{FleetLimits, Listen, Resources, Settings, StoreSettings};

quick_error! {
    /// Why a gateway did not start.
    #[derive(Debug)]
    pub enum Error {
        /// A resource that the process needs could not be acquired.
        Start(step: &'static str, error: io::Error) {
            display("{}: {}", step, error)
        }
    }
}

/// Metadata that a caller sends in the header fields of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMeta {
    /// Request id, unique for each attempt of the caller.
    pub id: CompactString,
    /// Time that the caller is willing to wait.
    pub deadline_ms: Option<u64>,
    /// Number of tokens in the prompt.
    pub input_tokens: u64,
    /// Maximum number of tokens in the response.
    pub max_output_tokens: u64,
    /// Number of tokens that the caller expects in the response.
    pub output_hint_tokens: Option<u64>,
    /// Prompt of a request to a model engine; `None` for plain services.
    pub prompt: Option<Prompt>,
    /// Hashes of the parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<u64>,
    /// Id of the last event that the caller received; the stream resumes after it.
    pub last_event_id: Option<u64>,
}

/// Lifecycle phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Accepts requests; they are served once the configuration and the upstreams have been read.
    Running,
    /// A graceful shutdown is in progress.
    Stopping,
}

/// State shared by all tasks of the process.
struct Shared {
    settings: Settings,
    /// Random id of this process; distinguishes its entries in the store from those of its predecessors on the VM.
    router_id: u64,
    started: Instant,
    phase: Cell<Phase>,
    stopping_since: Cell<Option<Instant>>,
    store: ObservedStore<StoreClient>,
    /// `None` until the first configuration has been read.
    table: RefCell<Option<Rc<RoutingTable>>>,
    /// Time at which the configuration was last confirmed to be the newest one.
    table_read_ms: Cell<u64>,
    directory: RefCell<UpstreamDirectory>,
    /// Whether a snapshot of the upstreams has been read.
    is_directory_loaded: Cell<bool>,
    directory_read_ms: Cell<u64>,
    placement: RefCell<Placement>,
    pool: pool::Pool,
    budgets: budget::Budgets,
    peer_socket: peers::PeerSocket,
    journal: journal::Journal,
    clock: RefCell<FleetClock>,
    load: load::Load,
    routers: RefCell<ActiveRouters>,
    /// Number of presence reports of this process.
    reports: Cell<u64>,
    /// Which other gateways respond to datagrams.
    peer_monitor: RefCell<PeerMonitor>,
    /// Wakes the reader of presence reports; `is_stranger_seen` is the condition.
    stranger_seen: Notify,
    is_stranger_seen: Cell<bool>,
    crashes: crashes::Crashes,
    cold_upstreams: cold_upstreams::ColdUpstreams,
    evacuations: evacuations::Evacuations,
    limits: limits::Limits,
    availability: RefCell<UpstreamAvailability>,
    beliefs: RefCell<UpstreamBeliefs>,
    rollouts: rollouts::Rollouts,
    /// Retry limiters by service.
    retries: RefCell<FastMap<CompactString, RetryLimiter>>,
    metrics: Metrics,
    random: RefCell<Pcg64Mcg>,
    open_requests: Cell<usize>,
    connections: Cell<usize>,
    /// Memory for the requests of callers and for unread responses.
    buffers: Rc<server::CallerBuffers>,
}

impl Shared {
    /// Returns the time since the process started, from a monotonic clock, because wall clocks can jump.
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn random(&self) -> u32 {
        self.random.borrow_mut().random()
    }

    /// Returns the factor that scales the intervals of calls to the store with the size of the fleet.
    fn interval_factor(&self) -> u32 {
        self.routers.borrow().interval_factor() as u32
    }

    fn is_stopping(&self) -> bool {
        self.phase.get() == Phase::Stopping
    }

    /// Returns whether the load balancer should send new connections here.
    fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.load.state().is_ready
            && self.table.borrow().is_some()
            && self.is_directory_loaded.get()
    }
}

/// Runs a gateway until it has shut down.
///
/// # Errors
///
/// Returns an error if the event loop cannot be started, an address cannot be bound or the signal handlers cannot be
/// registered.
pub fn run(settings: Settings) -> Result<(), Error> {
    memory::configure_allocator();
    event_loop::block_on(serve(settings))
        .map_err(|error| Error::Start("starting the event loop", error))?
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let listen = |step, address: &str| {
        server::listen(address, None).map_err(|error| Error::Start(step, error))
    };
    let callers = listen("listening on listen.callers", &settings.listen.callers)?;
    let readiness = listen("listening on listen.readiness", &settings.listen.readiness)?;
    let peer_socket = peers::PeerSocket::open(&settings.listen.peers)
        .map_err(|error| Error::Start("listening on listen.peers", error))?;
    let metrics = listen("listening on listen.metrics", &settings.listen.metrics)?;
    let mut signals = shutdown::Signals::register()
        .map_err(|error| Error::Start("registering the signal handler", error))?;
    let shared = Rc::new(build_shared(settings, peer_socket));
    let local = |listener: &monoio::net::TcpListener| match listener.local_addr() {
        Ok(address) => address.to_string(),
        Err(error) => error.to_string(),
    };
    // Logs the bound addresses, because the kernel chooses the ports that the settings leave open.
    log::info!(
        step = "start", vm = shared.settings.vm.as_str(), router = shared.router_id,
        callers = local(&callers).as_str(), readiness = local(&readiness).as_str(),
        metrics = local(&metrics).as_str(),
        peers = shared.peer_socket.address().map(|peers| peers.to_string()).unwrap_or_default().as_str();
        "started"
    );
    monoio::spawn(callers::accept(Rc::clone(&shared), callers));
    monoio::spawn(probes::accept(Rc::clone(&shared), readiness));
    monoio::spawn(probes::accept(Rc::clone(&shared), metrics));
    monoio::spawn(watch::watch_configuration(Rc::clone(&shared)));
    monoio::spawn(watch::watch_upstreams(Rc::clone(&shared)));
    monoio::spawn(crashes::watch(Rc::clone(&shared)));
    monoio::spawn(crashes::report(Rc::clone(&shared)));
    monoio::spawn(crashes::judge_suspects(Rc::clone(&shared)));
    monoio::spawn(rollouts::watch(Rc::clone(&shared)));
    monoio::spawn(rollouts::report(Rc::clone(&shared)));
    monoio::spawn(rollouts::decide(Rc::clone(&shared)));
    monoio::spawn(presence::watch(Rc::clone(&shared)));
    monoio::spawn(presence::report(Rc::clone(&shared)));
    monoio::spawn(peers::receive(Rc::clone(&shared)));
    monoio::spawn(clock::run(Rc::clone(&shared)));
    monoio::spawn(journal::run(Rc::clone(&shared)));
    monoio::spawn(budget::run(Rc::clone(&shared)));
    monoio::spawn(budget::remote::send_outgoing(Rc::clone(&shared)));
    monoio::spawn(budget::serving::expire(Rc::clone(&shared)));
    monoio::spawn(load::run(Rc::clone(&shared)));
    monoio::spawn(run_housekeeping(Rc::clone(&shared)));
    monoio::spawn(Rc::clone(&shared.buffers).run_housekeeping());
    shutdown::wait_and_drain(&shared, &mut signals).await;
    Ok(())
}

fn build_shared(settings: Settings, peer_socket: peers::PeerSocket) -> Shared {
    let started = Instant::now();
    let store = &settings.store;
    let store = StoreClient::new(&store.address, &settings.vm, store.partitions);
    let store = ObservedStore::new(store, started);
    let mut random = Pcg64Mcg::from_os_rng();
    let placement = RefCell::new(Placement::with_seed(random.random()));
    let metrics = Metrics::new();
    let buffer_bytes = settings.resources.buffer_bytes();
    Shared {
        buffers: server::CallerBuffers::new(buffer_bytes, metrics.clone()),
        router_id: random.random(),
        started,
        phase: Cell::new(Phase::Running),
        stopping_since: Cell::new(None),
        store,
        table: RefCell::default(),
        table_read_ms: Cell::new(0),
        directory: RefCell::default(),
        is_directory_loaded: Cell::new(false),
        directory_read_ms: Cell::new(0),
        placement,
        pool: pool::Pool::default(),
        budgets: budget::Budgets::new(started, settings.fleet.is_first_start),
        peer_socket,
        journal: journal::Journal::default(),
        clock: RefCell::default(),
        load: load::Load::new(&settings.resources),
        routers: RefCell::default(),
        reports: Cell::new(0),
        peer_monitor: RefCell::default(),
        stranger_seen: Notify::default(),
        is_stranger_seen: Cell::new(false),
        crashes: crashes::Crashes::default(),
        cold_upstreams: cold_upstreams::ColdUpstreams::default(),
        evacuations: evacuations::Evacuations::default(),
        limits: limits::Limits::default(),
        availability: RefCell::default(),
        beliefs: RefCell::default(),
        rollouts: rollouts::Rollouts::default(),
        retries: RefCell::default(),
        metrics,
        random: RefCell::new(random),
        open_requests: Cell::new(0),
        connections: Cell::new(0),
        settings,
    }
}

/// Closes expired idle connections, decays failure rates, updates gauges and logs the state, at fixed intervals.
async fn run_housekeeping(shared: Rc<Shared>) {
    const INTERVAL: Duration = Duration::from_millis(500);
    /// Factor by which failure rates decay in one interval; half of a rate is left after 3 s.
    const FAILURE_DECAY: f64 = 0.89;
    /// Number of intervals between two log lines about the state.
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
        limits::tidy(&shared);
        cold_upstreams::tidy(&shared);
        evacuations::tidy(&shared);
        shared
            .placement
            .borrow_mut()
            .decay_failure_rates(FAILURE_DECAY);
        shared
            .metrics
            .set("open_requests", shared.open_requests.get() as u64);
        shared
            .metrics
            .set("connections", shared.connections.get() as u64);
        shared.metrics.set("store_epoch", shared.store.epoch());
        set_cost_gauges(&shared);
    }
}

/// Sets the gauges of the learned costs, if requests are placed by them.
fn set_cost_gauges(shared: &Shared) {
    let placement = shared.placement.borrow();
    if !placement.weighs_costs() {
        return;
    }
    let model = placement.cost_model();
    let gauge = |name: &str, value: f64| shared.metrics.set(name, value as u64);
    gauge("prefill_ns_per_token", model.ms_per_token() * 1e6);
    gauge("output_us_per_token", model.ms_per_output_token() * 1e3);
}

/// Logs the current view of the configuration, the upstreams and the other gateways, with the age of each.
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
        store_epoch = shared.store.epoch(),
        gateways = shared.routers.borrow().count(),
        notices = shared.metrics.value("notices_received"),
        open_requests = shared.open_requests.get(),
        connections = shared.connections.get(); "state"
    );
}
