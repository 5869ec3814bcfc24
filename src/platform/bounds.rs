//! Bounds of figures that others state.
//!
//! A figure is bounded once, where it is read, so that sums and products of it fit and nothing is sized by what a
//! sender in trouble states. No sound sender meets a bound. `docs/design.md`, section 10, lists them.

use std::cell::RefCell;
use std::fmt;

use crate::collections::FastSet;

/// Longest time that is believed; nothing here outlasts a day of operation.
pub(super) const MAX_TIME_MS: u64 = 86_400_000;

/// Largest number of requests at one upstream that is believed, above the connections of any.
pub(super) const MAX_REQUESTS: u32 = 1 << 20;

/// Largest number of tokens in one event of a stream that is believed.
pub(super) const MAX_EVENT_TOKENS: u64 = 1 << 20;

/// Returns a figure, or the bound that it exceeds; negative figures count as zero.
pub(super) fn bounded(step: &'static str, field: &str, value: f64, max: u64) -> u64 {
    if value > max as f64 {
        warn_once(step, field, format_args!("{value} counts as {max}"));
        return max;
    }
    value as u64
}

/// Logs that a field has a figure out of its bounds, once for each field.
pub(super) fn warn_once(step: &'static str, field: &str, reason: fmt::Arguments<'_>) {
    thread_local! {
        static LOGGED: RefCell<FastSet<String>> = RefCell::default();
    }
    if LOGGED.with_borrow_mut(|logged| logged.insert(field.to_owned())) {
        log::warn!(step = step, field = field; "{reason}; further ones are not logged");
    }
}
