//! The event loop of all commands that use the network: a single-threaded monoio runtime on epoll, with timers.

use std::future::Future;
use std::io;

/// Runs a future to completion on a new event loop.
///
/// # Errors
///
/// Returns an error if the kernel refuses the resources of the event loop.
pub(crate) fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}
