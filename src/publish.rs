//! Publication of contracts, configurations and rollouts by operators.
//!
//! A publication is one batch, written under a new incarnation. Its position in the log alone decides whether it takes
//! effect, so the publisher folds the log up to its own record and learns the outcome there. The response to an append
//! may be lost after the record was written; the publisher then searches the log for its record, and appends the same
//! batch again only if it is missing. If the log still gets two copies, the sequence number of the batch makes the
//! second one have no effect.

mod command;
mod state;

use std::time::{Duration, Instant};

use bytes::Bytes;
use prost::Message;
use quick_error::quick_error;

use crate::fleet_state::Change;
use crate::ids::{IncarnationId, Offset};
use crate::log_client::{self, LogService, FLEET_STREAM, MAX_PAYLOAD_BYTES};
use crate::record::{Batch, Entry};
use crate::FleetState;

pub use command::run;

/// Time for which one read may wait for the next record, in milliseconds.
const READ_WAIT_MS: u64 = 200;

/// Largest number of records in one read.
const MAX_READ_RECORDS: u32 = 256;

/// Delay after a failed call, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

quick_error! {
    /// A publication failed, or its outcome is unknown.
    #[derive(Debug)]
    pub enum Error {
        /// The log did not answer before anything was appended.
        NotAppended(error: log_client::Error) {
            display("{}; nothing was published", error)
            source(error)
        }
        /// An append may have succeeded, but the log could not be read up to its record.
        OutcomeUnknown(message: String) {
            display("{}; the change may still take effect; publishing it again with the same --replaces applies it at \
                     most once", message)
        }
        /// The log no longer holds the first record after the newest snapshot.
        LogTruncated(from: Offset, oldest: Offset) {
            display("the log starts at offset {}, but offset {} is needed to learn the outcome; the change may have \
                     taken effect", oldest, from)
        }
        /// The batch exceeds the largest payload of a log record.
        TooLarge(batch_bytes: usize) {
            display("the change has {} bytes, but a log record holds at most {}", batch_bytes, MAX_PAYLOAD_BYTES)
        }
    }
}

/// Outcome of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishOutcome {
    /// Offset of the record that decided the outcome.
    pub offset: Offset,
    /// Reason why the fleet rejected the change; `None` if the change took effect.
    pub rejection: Option<String>,
    /// Number of appends that were sent; more than one if responses were lost.
    pub appends: u32,
}

/// A publication in progress.
struct Publication<'a> {
    log: &'a dyn LogService,
    writer: IncarnationId,
    state: FleetState,
    deadline: Instant,
}

/// Publishes an entry under the new incarnation `writer`, and waits until it is accepted or rejected.
///
/// # Errors
///
/// Returns an error if the entry is too large, or if the outcome is not known within `timeout`.
pub async fn publish(
    log: &dyn LogService,
    writer: IncarnationId,
    entry: Entry,
    timeout: Duration,
) -> Result<PublishOutcome, Error> {
    let payload = Bytes::from(Batch::new(writer, 1, [entry]).encode_to_vec());
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(Error::TooLarge(payload.len()));
    }
    let deadline = Instant::now() + timeout;
    let state = loop {
        match state::load(log).await {
            Ok(state) => break state,
            Err(error) if Instant::now() >= deadline => return Err(Error::NotAppended(error)),
            Err(_) => retry_delay().await,
        }
    };
    let mut publication = Publication {
        log,
        writer,
        state,
        deadline,
    };
    publication.run(payload).await
}

impl Publication<'_> {
    async fn run(&mut self, payload: Bytes) -> Result<PublishOutcome, Error> {
        let mut appends = 0;
        loop {
            appends += 1;
            let appended = self.log.append(FLEET_STREAM, payload.clone()).await;
            // Without a response, the record has to be searched for up to the newest offset of the log.
            let end = appended.as_ref().ok().map(|&offset| offset + 1);
            let message = match appended {
                Ok(_) => "the log was not read up to the record within the time limit".to_owned(),
                Err(error) => error.to_string(),
            };
            if let Some((offset, rejection)) = self.find_own_record(end).await? {
                return Ok(PublishOutcome {
                    offset,
                    rejection,
                    appends,
                });
            }
            if Instant::now() >= self.deadline {
                return Err(Error::OutcomeUnknown(message));
            }
            retry_delay().await;
        }
    }

    /// Folds the log up to this publication's record, and returns its offset and the reason for a rejection.
    ///
    /// Returns `None` if the record is not below `end`, by default the newest offset, or if the deadline has passed.
    async fn find_own_record(
        &mut self,
        end: Option<Offset>,
    ) -> Result<Option<(Offset, Option<String>)>, Error> {
        let mut end = end;
        while Instant::now() < self.deadline {
            let from = self.state.next_offset;
            let read = self
                .log
                .read(FLEET_STREAM, from, MAX_READ_RECORDS, READ_WAIT_MS);
            let Ok(page) = read.await else {
                retry_delay().await;
                continue;
            };
            if page.oldest > from {
                return Err(Error::LogTruncated(from, page.oldest));
            }
            for record in &page.records {
                let changes = self.state.apply_payload(record.offset, &record.payload);
                let is_own = Batch::decode(record.payload.as_slice())
                    .is_ok_and(|batch| batch.incarnation == self.writer.0);
                if is_own {
                    return Ok(Some((record.offset, rejection_reason(&changes))));
                }
            }
            if self.state.next_offset >= *end.get_or_insert(page.next) {
                return Ok(None);
            }
        }
        Ok(None)
    }
}

fn rejection_reason(changes: &[Change]) -> Option<String> {
    changes.iter().find_map(|change| match change {
        Change::Rejected(rejection) => Some(rejection.reason.to_string()),
        _ => None,
    })
}

async fn retry_delay() {
    monoio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
}
