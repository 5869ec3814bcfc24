//! Graceful shutdown.
//!
//! The load balancer learns of the shutdown from the readiness probe and needs two probes for it. Until then new
//! requests are served as before, except that each response closes its connection. Open requests are completed.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use super::{presence, Phase, Shared};

/// Time within which the load balancer stops sending connections: two probes, one each second, and a margin.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_600);

/// Share of the grace time after which the process ends although requests are open, in percent. Requests that are open
/// in the last sixth of the grace time may be cut off, and a slow VM needs time to end the process.
const GRACE_PERCENT: u32 = 88;

/// Interval at which open requests and connections are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time limit for returning the spending rights and writing the last presence report.
const RETURN_TIMEOUT: Duration = Duration::from_millis(300);

/// Signals, delivered as bytes on sockets that the event loop reads.
pub(super) struct Signals {
    stop: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Registers handlers for the signals that request a shutdown or announce changed settings.
    pub(super) fn register() -> io::Result<Self> {
        Ok(Self {
            stop: signal_pipe(&[SIGTERM, SIGINT])?,
            reload: signal_pipe(&[SIGHUP])?,
        })
    }
}

fn signal_pipe(signals: &[i32]) -> io::Result<UnixStream> {
    let (read, write) = std::os::unix::net::UnixStream::pair()?;
    read.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, write.try_clone()?)?;
    }
    UnixStream::from_std(read)
}

async fn next_signal(stream: &mut UnixStream) {
    let (result, _) = stream.read(Vec::with_capacity(1)).await;
    if let Err(error) = result {
        log::error!(step = "signal"; "reading the signal socket failed: {error}");
    }
}

/// Waits for a shutdown signal, then until open requests and connections have ended or the grace time is nearly over.
pub(super) async fn wait_and_drain(shared: &Rc<Shared>, signals: &mut Signals) {
    loop {
        let is_stop = monoio::select! {
            () = next_signal(&mut signals.stop) => true,
            () = next_signal(&mut signals.reload) => false,
        };
        if is_stop {
            break;
        }
        log::info!(
            step = "reload", at_ms = shared.now_ms();
            "changed settings take effect at the next start"
        );
    }
    log::info!(
        step = "stop", open_requests = shared.open_requests.get(), at_ms = shared.now_ms();
        "stopping"
    );
    shared.phase.set(Phase::Stopping);
    shared.stopping_since.set(Some(Instant::now()));
    // From here on new requests reserve tokens at other gateways, which need the rights at once.
    let returning = Rc::clone(shared);
    monoio::spawn(async move { returning.budgets.return_all(&returning).await });
    let grace = Duration::from_secs_f64(shared.settings.fleet.stop_grace_s);
    let end = Instant::now() + grace * GRACE_PERCENT / 100 - RETURN_TIMEOUT;
    let earliest_end = Instant::now() + BALANCER_DRAIN_TIME;
    while Instant::now() < end {
        let is_idle = shared.open_requests.get() == 0
            && shared.connections.get() == 0
            && !shared.budgets.has_open_reservations();
        if is_idle && Instant::now() >= earliest_end {
            break;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    let return_rights = async {
        shared.budgets.return_all(shared).await;
        presence::write_report(shared, true).await;
    };
    if monoio::time::timeout(RETURN_TIMEOUT, return_rights)
        .await
        .is_err()
    {
        log::warn!(
            step = "stop";
            "returning spending rights timed out, handing them over to other gateways"
        );
        shared.budgets.hand_over_all(shared);
    }
    log::info!(
        step = "stop", open_requests = shared.open_requests.get(), at_ms = shared.now_ms();
        "stopped"
    );
}

impl Shared {
    /// Returns whether idle connections of callers are closed because of a shutdown.
    pub(super) fn closes_idle_connections(&self) -> bool {
        let since = self.stopping_since.get();
        since.is_some_and(|since| since.elapsed() >= BALANCER_DRAIN_TIME)
    }
}
