//! Graceful shutdown.
//!
//! Open requests are completed, and new ones are refused as not run. The spending rights are returned to the budgets
//! before the incarnation leaves, so that a graceful shutdown strands no rights.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGINT, SIGTERM};

use super::{Error, Phase, Shared};

/// Interval at which open requests, pending bills and unreturned rights are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Signals that request a shutdown, delivered as bytes on a socket that the event loop reads.
pub(super) struct Signals {
    stream: UnixStream,
}

impl Signals {
    /// Registers handlers for `SIGTERM` and `SIGINT`.
    pub(super) fn register() -> io::Result<Self> {
        let (read, write) = std::os::unix::net::UnixStream::pair()?;
        read.set_nonblocking(true)?;
        for signal in [SIGTERM, SIGINT] {
            signal_hook::low_level::pipe::register(signal, write.try_clone()?)?;
        }
        Ok(Self {
            stream: UnixStream::from_std(read)?,
        })
    }

    /// Waits for the next signal.
    pub(super) async fn next(&mut self) {
        let (result, _) = self.stream.read(Vec::with_capacity(1)).await;
        if let Err(error) = result {
            log::error!(step = "signal"; "{error}");
        }
    }
}

/// Shuts down gracefully.
///
/// # Errors
///
/// Returns an error if a second signal arrived or the time limit passed before the shutdown was complete.
pub(super) async fn run(shared: &Rc<Shared>, signals: &mut Signals) -> Result<(), Error> {
    log::info!(open_requests = shared.open_requests.get(); "stopping");
    shared.phase.set(Phase::Stopping);
    shared.fleet.announce_leaving();
    let limit = Duration::from_millis(shared.settings.limits.shutdown_timeout_ms);
    let end = Instant::now() + limit;
    let is_finished = monoio::select! {
        () = signals.next() => false,
        result = monoio::time::timeout(limit, drain(shared)) => result.is_ok(),
    };
    let left = end.saturating_duration_since(Instant::now());
    if !is_finished {
        shared.fleet.abort();
        return Err(Error::Shutdown(shared.open_requests.get()));
    }
    shared.fleet.shut_down(left).await?;
    log::info!("stopped");
    Ok(())
}

/// Waits until all requests are complete, all bills are folded and all rights are returned.
async fn drain(shared: &Shared) {
    loop {
        return_rights(shared);
        if shared.open_requests.get() == 0
            && shared.budget.all_bills_folded()
            && has_returned_rights(shared)
        {
            return;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

fn return_rights(shared: &Shared) {
    let entries = shared
        .budget
        .with_rights(|rights, state| rights.drain(state));
    for entry in entries {
        if let Err(error) = shared.fleet.write(entry) {
            log::warn!(step = "return"; "{error}");
        }
    }
}

fn has_returned_rights(shared: &Shared) -> bool {
    shared
        .budget
        .with_rights(|rights, state| rights.is_closed() || rights.is_drained(state))
}
