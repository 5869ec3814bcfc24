//! Whether this router's own link or processor is full, told from how long connections to upstreams take.
//!
//! Upstreams are a few milliseconds away, so connections that take much longer to several of them at once mean that
//! packets wait at this VM. A slow or silent upstream alone does not count, and neither does one slow connection. While
//! the VM is congested the router asks the balancer for no new callers and lets callers of finished requests go, so that
//! they come back at other routers; see `docs/design.md`, section 10.

use std::collections::VecDeque;

use compact_str::CompactString;

/// Time for which a connection counts.
const WINDOW_MS: u64 = 1_000;

/// Time to connect above which a connection is slow; a round trip between data centres takes 3 ms at most.
const SLOW_MS: u64 = 60;

/// Slow connections, and upstreams among them, from which on the VM counts as congested.
const MIN_SLOW: usize = 4;
const MIN_UPSTREAMS: usize = 3;

/// Connections that are remembered.
const MAX_CONNECTS: usize = 256;

/// Shortest time for which a congestion lasts; the balancer takes two seconds to notice a change.
const HOLD_MS: u64 = 3_000;

#[derive(Clone, Debug)]
struct Connect {
    upstream: CompactString,
    at_ms: u64,
    is_slow: bool,
}

/// Connections to upstreams in the last second.
#[derive(Clone, Debug, Default)]
pub struct CongestionDetector {
    connects: VecDeque<Connect>,
    until_ms: u64,
}

impl CongestionDetector {
    /// Notes a connection, or an attempt that took so long in vain.
    pub fn record_connect(&mut self, upstream: &str, elapsed_ms: u64, now_ms: u64) {
        let is_old = |connect: &Connect| now_ms.saturating_sub(connect.at_ms) > WINDOW_MS;
        while self.connects.len() >= MAX_CONNECTS || self.connects.front().is_some_and(is_old) {
            self.connects.pop_front();
        }
        self.connects.push_back(Connect {
            upstream: upstream.into(),
            at_ms: now_ms,
            is_slow: elapsed_ms >= SLOW_MS,
        });
        if self.is_slow_everywhere() {
            self.until_ms = now_ms + HOLD_MS;
        }
    }

    /// Returns whether the VM is congested.
    pub fn is_congested(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Returns whether most connections of the last second were slow, and to several upstreams.
    fn is_slow_everywhere(&self) -> bool {
        let slow = || self.connects.iter().filter(|connect| connect.is_slow);
        let count = slow().count();
        let mut upstreams: Vec<&str> = slow().map(|connect| connect.upstream.as_str()).collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        count >= MIN_SLOW && count * 2 > self.connects.len() && upstreams.len() >= MIN_UPSTREAMS
    }
}
