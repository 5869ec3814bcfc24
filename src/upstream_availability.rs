//! Whether upstreams take new requests from this router, as they state in their responses.
//!
//! An upstream that leaves states so in all its responses. The router that has read one of them sends it no new
//! requests, whatever the store says: an entry can be old, or be missing and come back. An upstream that sheds load can
//! state for how long it wants no requests from this router. What is recorded concerns one process, identified by the
//! upstream's id and the start of the process, so a successor under the same id is not affected. The design is in
//! `docs/design.md`, section 10.

use std::collections::VecDeque;

use compact_str::CompactString;

use crate::collections::FastMap;

/// Maximum number of processes that are remembered; the ones that were recorded first are forgotten above it.
const MAX_PROCESSES: usize = 8_192;

/// Longest pause that is obeyed; a longer one is taken for a mistake, which would cost the upstream for good.
pub const MAX_PAUSE_MS: u64 = 300_000;

/// A process of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamProcess<'a> {
    /// Id of the upstream.
    pub id: &'a str,
    /// Start of the process by its own clock; entries without it count as one process.
    pub started_ms: Option<u64>,
}

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It has stated nothing else.
    Available,
    /// It takes none from this router for some time.
    Paused {
        /// Time until it takes the next one.
        wait_ms: u64,
    },
    /// It leaves and takes none any more.
    Leaving,
}

#[derive(Clone, Debug)]
struct ProcessState {
    started_ms: Option<u64>,
    is_leaving: bool,
    /// Time until which it takes no requests from this router.
    paused_until_ms: u64,
}

/// What processes of upstreams have stated about new requests.
#[derive(Clone, Debug, Default)]
pub struct UpstreamAvailability {
    processes: FastMap<CompactString, Vec<ProcessState>>,
    /// Ids and starts of the processes in the order in which they were recorded first.
    order: VecDeque<(CompactString, Option<u64>)>,
}

impl UpstreamAvailability {
    /// Returns the number of processes that are remembered.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no process is remembered.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns whether a process takes new requests.
    pub fn availability(&self, process: UpstreamProcess<'_>, now_ms: u64) -> Availability {
        match self.state(process) {
            Some(state) if state.is_leaving => Availability::Leaving,
            Some(state) if state.paused_until_ms > now_ms => Availability::Paused {
                wait_ms: state.paused_until_ms - now_ms,
            },
            _ => Availability::Available,
        }
    }

    /// Records that a process leaves; returns whether this is news.
    pub fn record_leaving(&mut self, process: UpstreamProcess<'_>) -> bool {
        let state = self.state_mut(process);
        !std::mem::replace(&mut state.is_leaving, true)
    }

    /// Records that a process wants no requests for a time, at most [`MAX_PAUSE_MS`]; returns the time until the pause
    /// ends if it ends later than known before.
    ///
    /// A later response does not shorten a pause: each statement holds by itself, and responses overtake each other.
    pub fn record_pause(
        &mut self,
        process: UpstreamProcess<'_>,
        pause_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        let wait_ms = pause_ms.min(MAX_PAUSE_MS);
        let state = self.state_mut(process);
        let until_ms = now_ms + wait_ms;
        if until_ms <= state.paused_until_ms.max(now_ms) {
            return None;
        }
        state.paused_until_ms = until_ms;
        Some(wait_ms)
    }

    fn state(&self, process: UpstreamProcess<'_>) -> Option<&ProcessState> {
        let states = self.processes.get(process.id)?;
        states
            .iter()
            .find(|state| state.started_ms == process.started_ms)
    }

    fn state_mut(&mut self, process: UpstreamProcess<'_>) -> &mut ProcessState {
        if self.state(process).is_none() {
            if self.order.len() >= MAX_PROCESSES {
                self.forget_first();
            }
            self.order
                .push_back((process.id.into(), process.started_ms));
        }
        let states = self.processes.entry(process.id.into()).or_default();
        let known = states
            .iter()
            .position(|state| state.started_ms == process.started_ms);
        let index = known.unwrap_or_else(|| {
            states.push(ProcessState {
                started_ms: process.started_ms,
                is_leaving: false,
                paused_until_ms: 0,
            });
            states.len() - 1
        });
        &mut states[index]
    }

    fn forget_first(&mut self) {
        let Some((id, started_ms)) = self.order.pop_front() else {
            return;
        };
        if let Some(states) = self.processes.get_mut(&id) {
            states.retain(|state| state.started_ms != started_ms);
            if states.is_empty() {
                self.processes.remove(&id);
            }
        }
    }
}
