//! The task that appends the batches of the log writer.

use std::rc::Rc;
use std::time::Duration;

use super::Inner;
use crate::log_client::{Error, FLEET_STREAM};
use crate::log_writer::Action;

/// Appends batches until the connection is stopped.
pub(super) async fn run(inner: Rc<Inner>) {
    loop {
        if !inner.writer.borrow().is_opening() {
            inner.wait_for_verified_log().await;
        }
        let action = inner.writer.borrow_mut().next_action(inner.now_ms());
        match action {
            Action::Append(batch) => {
                let result = inner.log.append(FLEET_STREAM, batch.payload.clone()).await;
                if let Err(error) = &result {
                    log::debug!("append of batch {} failed: {error}", batch.seq);
                    // A log that goes away breaks the reader's connection too. In all other cases the reader may still
                    // wait for a response of before while an append reaches a log that has returned.
                    if !matches!(error, Error::Connection(..)) {
                        inner.mark_log_unverified();
                    }
                }
                if result.is_ok() {
                    inner
                        .writer
                        .borrow_mut()
                        .on_appended(batch.incarnation, batch.seq);
                }
                inner.set_log_available(&inner.last_append_succeeded, result.is_ok());
            }
            Action::Wait { until_ms } => {
                let wait = until_ms.saturating_sub(inner.now_ms()).max(1);
                let before = inner.writer.borrow().queue_bytes();
                // A queued entry can be due before `until_ms`.
                let changed = inner
                    .writer_wake
                    .wait_for(|| (inner.writer.borrow().queue_bytes() != before).then_some(()));
                let _ = monoio::time::timeout(Duration::from_millis(wait), changed).await;
            }
        }
    }
}
