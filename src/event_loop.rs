//! The event loop that every command and role runs on: one thread, epoll, timers.

use std::future::Future;
use std::io;

/// Runs a future to its end on an event loop of its own.
///
/// # Errors
///
/// Returns the error of the kernel if there is no event loop to be had.
pub(crate) fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}
