//! Reading of what upstreams and the platform report of upstreams.

use std::rc::Rc;
use std::time::Duration;

use super::pools::Reporter;
use super::{Phase, Shared};
use crate::collections::FastMap;
use crate::ids::UpstreamKey;
use crate::selection::CacheChange;

/// Time between two rounds; an engine that is leaving gets no new work after at most this time and one report.
const INTERVAL: Duration = Duration::from_secs(1);

/// Time that one engine may take for both reports.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the reports of all upstreams in turn until the process ends.
pub(super) async fn poll(shared: Rc<Shared>) {
    let mut positions: FastMap<UpstreamKey, u64> = FastMap::default();
    loop {
        monoio::time::sleep(INTERVAL).await;
        if shared.phase.get() != Phase::Serving {
            continue;
        }
        let reporters = {
            let state = shared.fleet.state();
            let pools = shared.pools.borrow();
            pools.reporters(&state.configuration.configuration)
        };
        for reporter in &reporters {
            let is_leaving = shared.fleet.is_listed_as_leaving(&reporter.address);
            let mut pools = shared.pools.borrow_mut();
            pools.set_listed_leaving(reporter.upstream, is_leaving);
        }
        let reads = reporters.iter().map(|reporter| {
            let position = positions.get(&reporter.upstream).copied().unwrap_or(0);
            read(&shared, reporter, position)
        });
        for (reporter, next) in reporters
            .iter()
            .zip(futures_util::future::join_all(reads).await)
        {
            if let Some(next) = next {
                positions.insert(reporter.upstream, next);
            }
        }
    }
}

/// Reads the reports of one upstream; returns the next cache event to ask for.
async fn read(shared: &Shared, reporter: &Reporter, position: u64) -> Option<u64> {
    let reports = async {
        let load = shared.client.load(&reporter.address).await;
        if let Ok(load) = load {
            let mut pools = shared.pools.borrow_mut();
            pools.set_leaving(reporter.upstream, load.is_leaving);
        }
        if !reporter.is_engine {
            return None;
        }
        let events = shared.client.cache_events(&reporter.address, position);
        events.await.ok()
    };
    // An upstream without reports is judged by its results alone.
    let page = monoio::time::timeout(REPORT_TIMEOUT, reports)
        .await
        .ok()??;
    let mut pools = shared.pools.borrow_mut();
    let mut expected = position;
    if page.next < position {
        // The engine started again with an empty cache.
        pools.cache_gap(reporter.upstream);
    }
    for event in &page.events {
        if event.index != expected {
            pools.cache_gap(reporter.upstream);
        }
        expected = event.index + 1;
        let change = if event.stored {
            CacheChange::Stored(event.prefix)
        } else {
            CacheChange::Removed(event.prefix)
        };
        pools.cache_change(reporter.upstream, &change);
    }
    if page.next > expected {
        pools.cache_gap(reporter.upstream);
    }
    Some(page.next)
}
