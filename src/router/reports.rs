//! Polling of the reports of upstreams. Each round also applies the state of their VMs in the platform's list, which
//! [`crate::fleet`] reads.

use std::rc::Rc;
use std::time::Duration;

use super::pools::ReportSource;
use super::{Phase, Shared};
use crate::collections::FastMap;
use crate::ids::UpstreamKey;
use crate::selection::CacheChange;
use crate::upstream_client::Error;

/// Interval between two rounds. A draining engine gets no new requests after at most one interval and one report.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for both reports of one upstream.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the reports of all upstreams, at intervals, until the process ends.
pub(super) async fn poll(shared: Rc<Shared>) {
    let mut positions: FastMap<UpstreamKey, u64> = FastMap::default();
    loop {
        monoio::time::sleep(POLL_INTERVAL).await;
        if shared.phase.get() != Phase::Serving {
            continue;
        }
        let sources = {
            let state = shared.fleet.state();
            let pools = shared.pools.borrow();
            pools.report_sources(&state.configuration.configuration)
        };
        for source in &sources {
            let is_draining = shared.fleet.is_listed_as_leaving(&source.address);
            let mut pools = shared.pools.borrow_mut();
            pools.set_listed_draining(source.upstream, is_draining);
        }
        let reads = sources.iter().map(|source| {
            let position = positions.get(&source.upstream).copied().unwrap_or(0);
            read_reports(&shared, source, position)
        });
        for (source, next) in sources
            .iter()
            .zip(futures_util::future::join_all(reads).await)
        {
            if let Some(next) = next {
                positions.insert(source.upstream, next);
            }
        }
    }
}

/// Reads the reports of one upstream; returns the index of the next cache event to request.
async fn read_reports(shared: &Shared, source: &ReportSource, position: u64) -> Option<u64> {
    let reports = async {
        match shared.client.load_report(&source.address).await {
            Ok(load) => {
                let mut pools = shared.pools.borrow_mut();
                pools.set_reported_draining(source.upstream, load.is_leaving);
            }
            Err(error) => log_unread(&error),
        }
        if !source.is_engine {
            return None;
        }
        let events = shared.client.cache_events(&source.address, position);
        events.await.inspect_err(log_unread).ok()
    };
    // The health of an upstream without reports is derived from the results of its requests alone.
    let page = monoio::time::timeout(REPORT_TIMEOUT, reports)
        .await
        .ok()??;
    let mut pools = shared.pools.borrow_mut();
    let mut expected = position;
    if page.next < position {
        // The engine restarted with an empty cache.
        pools.record_cache_gap(source.upstream);
    }
    for event in &page.events {
        if event.index != expected {
            pools.record_cache_gap(source.upstream);
        }
        expected = event.index.saturating_add(1);
        let change = if event.stored {
            CacheChange::Stored(event.prefix)
        } else {
            CacheChange::Removed(event.prefix)
        };
        pools.apply_cache_change(source.upstream, &change);
    }
    if page.next > expected {
        pools.record_cache_gap(source.upstream);
    }
    Some(page.next)
}

/// Logs that a report was not read. Upstreams without reports cause a line in each round, so the level is low.
fn log_unread(error: &Error) {
    log::debug!(step = "report"; "{error}");
}
