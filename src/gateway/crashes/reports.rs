//! Exchange of the crash counts through the store.

use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::{clocks, log_limit};
use crate::crash_attribution::CrashReport;
use crate::gateway::watch::FeedReader;
use crate::gateway::Shared;
use crate::store::{Feed, Record, Store};

/// Time for which the store may hold a read; a crash of which another gateway reports arrives at once.
const LONG_POLL_MS: u64 = 1_500;

/// Shortest delay before a feature is reported as harmless. Many gateways find out at the same time, and one report is
/// enough.
const MIN_SUCCESS_REPORT_DELAY_MS: u64 = 50;

/// Range of the random part of this delay.
const SUCCESS_REPORT_JITTER_MS: u32 = 450;

/// Delay before a crash is reported, so that all its suspects at this gateway are in one report.
const CRASH_REPORT_DELAY: Duration = Duration::from_millis(2);

/// Delay after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Merges the reports of all gateways until the process ends.
pub(in crate::gateway) async fn watch(shared: Rc<Shared>) {
    let mut reader = FeedReader::new(Feed::Crashes);
    loop {
        let Some(batch) = reader.read_held(&shared, LONG_POLL_MS).await else {
            continue;
        };
        if batch.is_restored {
            let mut attribution = shared.crashes.attribution.borrow_mut();
            attribution.forget_published();
        }
        for record in batch.records {
            merge(&shared, &record);
        }
        shared.crashes.position.set(reader.position());
        shared.crashes.is_loaded.set(true);
        shared.crashes.changed.notify();
        expire(&shared);
    }
}

fn merge(shared: &Shared, record: &Record) {
    let Some(value) = &record.value else {
        return;
    };
    let report = match CrashReport::decode(value.as_ref()) {
        Ok(report) => report,
        Err(error) => {
            log::warn!(
                step = "read crashes", peer = record.key.as_str();
                "skipped a report of crashes that cannot be decoded: {error}"
            );
            return;
        }
    };
    let clocks = clocks(shared);
    let is_own = record.key == shared.settings.vm;
    let mut attribution = shared.crashes.attribution.borrow_mut();
    for feature in attribution.merge(&report, is_own, clocks) {
        log_limit(&attribution, feature, "", record.key.as_str(), clocks);
    }
}

fn expire(shared: &Shared) {
    let mut attribution = shared.crashes.attribution.borrow_mut();
    attribution.expire(shared.now_ms());
    shared
        .metrics
        .set("crash_features", attribution.len() as u64);
    shared
        .metrics
        .set("crash_features_refused", attribution.refused_count() as u64);
}

/// Writes what this gateway has found out, until the process ends.
pub(in crate::gateway) async fn report(shared: Rc<Shared>) {
    let crashes = &shared.crashes;
    let is_urgent = || crashes.attribution.borrow().has_urgent_report();
    loop {
        let needs_report = || {
            let is_needed = crashes.is_loaded.get() && crashes.attribution.borrow().needs_report();
            is_needed.then_some(())
        };
        crashes.changed.wait_for(needs_report).await;
        let jitter_ms = u64::from(shared.random() % SUCCESS_REPORT_JITTER_MS);
        let delay = Duration::from_millis(MIN_SUCCESS_REPORT_DELAY_MS + jitter_ms);
        let urgent = crashes.changed.wait_for(|| is_urgent().then_some(()));
        // Whether the others must learn something at once or the delay has ended, the report follows.
        let _ = monoio::time::timeout(delay, urgent).await;
        monoio::time::sleep(CRASH_REPORT_DELAY).await;
        if needs_report().is_some() {
            write_report(&shared).await;
        }
    }
}

async fn write_report(shared: &Shared) {
    let report = shared.crashes.attribution.borrow_mut().report();
    let record = record_of(shared, &report);
    match shared.store.append(Feed::Crashes, None, record).await {
        Ok(_) => shared
            .crashes
            .attribution
            .borrow_mut()
            .record_published(&report),
        Err(error) => {
            log::info!(step = "report crashes", at_ms = shared.now_ms(); "will be repeated: {error}");
            monoio::time::sleep(RETRY_DELAY).await;
        }
    }
}

pub(super) fn record_of(shared: &Shared, report: &CrashReport) -> Record {
    Record {
        key: shared.settings.vm.clone(),
        value: Some(report.encode_to_vec().into()),
    }
}
