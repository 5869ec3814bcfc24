//! The planned stop.
//!
//! The balancer learns of the stop from the readiness answer and needs two questions for it. Until then new requests
//! are served like before, only that each response ends its connection. Requests that are open are finished.

use std::io;
use std::time::{Duration, Instant};

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use super::{presence, Phase, Shared};

/// Time in which the balancer stops sending connections: two questions, one each second, and a margin.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_600);

/// Part of the grace time after which the process ends although requests are open, in percent. Requests that are open in the
/// last sixth of the grace time may be cut, and a slow VM needs time to end.
const GRACE_PERCENT: u32 = 88;

/// Interval of looks at what is still open.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time that the return of rights and the last report may take.
const RETURN_TIMEOUT: Duration = Duration::from_millis(300);

/// Signals, as bytes on sockets that the event loop reads.
pub(super) struct Signals {
    stop: UnixStream,
    reload: UnixStream,
}

impl Signals {
    /// Takes over the signals of a planned stop and of changed settings.
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
        log::error!(step = "signal"; "{error}");
    }
}

/// Waits for the signal to stop and finishes what is open.
pub(super) async fn wait_and_drain(shared: &Shared, signals: &mut Signals) {
    loop {
        let is_stop = monoio::select! {
            () = next_signal(&mut signals.stop) => true,
            () = next_signal(&mut signals.reload) => false,
        };
        if is_stop {
            break;
        }
        log::info!(step = "reload", at_ms = shared.now_ms(); "settings take effect at the next start");
    }
    log::info!(step = "stop", open_requests = shared.open_requests.get(), at_ms = shared.now_ms(); "stopping");
    shared.phase.set(Phase::Stopping);
    shared.stopping_since.set(Some(Instant::now()));
    let grace = Duration::from_secs_f64(shared.settings.fleet.stop_grace_s);
    let end = Instant::now() + grace * GRACE_PERCENT / 100 - RETURN_TIMEOUT;
    let earliest_end = Instant::now() + BALANCER_DRAIN_TIME;
    while Instant::now() < end {
        let is_idle = shared.open_requests.get() == 0 && shared.connections.get() == 0;
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
        log::warn!(step = "stop"; "rights were not returned in time and are left to other gateways");
        shared.budgets.hand_over_all(shared);
    }
    log::info!(step = "stop", open_requests = shared.open_requests.get(), at_ms = shared.now_ms(); "stopped");
}

impl Shared {
    /// Returns whether idle connections of callers are closed because the process stops.
    pub(super) fn closes_idle_connections(&self) -> bool {
        let since = self.stopping_since.get();
        since.is_some_and(|since| since.elapsed() >= BALANCER_DRAIN_TIME)
    }
}
