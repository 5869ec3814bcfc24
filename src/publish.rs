//! Publication of contracts, configurations and rollouts by operators.
//!
//! A publication is one batch of an incarnation of its own. Whether it takes effect is decided by its place in the log
//! alone, so the publisher folds the log up to its own record and reads the decision there. The response of an append
//! may be lost after the record was written; the publisher then looks for its record, and appends the same batch again
//! only if it is not there. The fold drops a second copy by its number.

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

/// Longest wait for the next record in one read, in milliseconds.
const READ_WAIT_MS: u64 = 200;

/// Records in one read.
const PAGE_RECORDS: u32 = 256;

/// Pause after a failed call, in milliseconds.
const RETRY_PAUSE_MS: u64 = 100;

quick_error! {
    /// Why it is not known whether a publication takes effect.
    #[derive(Debug)]
    pub enum Error {
        /// The log did not answer before anything was appended.
        NotAppended(error: log_client::Error) {
            display("{}; nothing was published", error)
            source(error)
        }
        /// An append may have taken effect, and the log could not be read up to it.
        Undecided(message: String) {
            display("{}; the change may still take effect, and at most once if it is published again with the same \
                     --replaces", message)
        }
        /// The log no longer holds the records after the newest snapshot.
        Gap(from: Offset, oldest: Offset) {
            display("the log holds records from offset {} on, but offset {} is needed", oldest, from)
        }
        /// The batch is larger than a record may be.
        TooLarge(batch_bytes: usize) {
            display("the change has {} bytes; a record of the log has at most {}", batch_bytes, MAX_PAYLOAD_BYTES)
        }
    }
}

/// What became of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Offset of the record that decided.
    pub offset: Offset,
    /// Why the fleet rejected the change; `None` if the change is in force.
    pub rejection: Option<String>,
    /// Appends that were sent; more than one if responses were lost.
    pub appends: u32,
}

/// One publication in progress.
struct Publication<'a> {
    log: &'a dyn LogService,
    writer: IncarnationId,
    state: FleetState,
    deadline: Instant,
}

/// Publishes an entry under a new incarnation and waits for the decision.
///
/// # Errors
///
/// Returns an error if the decision is not known within the time limit.
pub async fn publish(
    log: &dyn LogService,
    writer: IncarnationId,
    entry: Entry,
    limit: Duration,
) -> Result<Decision, Error> {
    let payload = Bytes::from(Batch::new(writer, 1, [entry]).encode_to_vec());
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(Error::TooLarge(payload.len()));
    }
    let deadline = Instant::now() + limit;
    let state = loop {
        match state::load(log).await {
            Ok(state) => break state,
            Err(error) if Instant::now() >= deadline => return Err(Error::NotAppended(error)),
            Err(_) => pause().await,
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
    async fn run(&mut self, payload: Bytes) -> Result<Decision, Error> {
        let mut appends = 0;
        loop {
            appends += 1;
            let appended = self.log.append(FLEET_STREAM, payload.clone()).await;
            // A lost response leaves the newest offset as the bound up to which the record must be if it was written.
            let up_to = appended.as_ref().ok().map(|&offset| offset + 1);
            let message = match appended {
                Ok(_) => "the log was not read up to the record in time".to_owned(),
                Err(error) => error.to_string(),
            };
            if let Some((offset, rejection)) = self.find(up_to).await? {
                return Ok(Decision {
                    offset,
                    rejection,
                    appends,
                });
            }
            if Instant::now() >= self.deadline {
                return Err(Error::Undecided(message));
            }
            pause().await;
        }
    }

    /// Folds the log until the own record, and returns its offset and why it was rejected.
    ///
    /// Returns `None` if the record is not in the log up to its newest offset, or if the time is over.
    async fn find(
        &mut self,
        up_to: Option<Offset>,
    ) -> Result<Option<(Offset, Option<String>)>, Error> {
        let mut up_to = up_to;
        while Instant::now() < self.deadline {
            let from = self.state.next_offset;
            let read = self
                .log
                .read(FLEET_STREAM, from, PAGE_RECORDS, READ_WAIT_MS);
            let Ok(page) = read.await else {
                pause().await;
                continue;
            };
            if page.oldest > from {
                return Err(Error::Gap(from, page.oldest));
            }
            for record in &page.records {
                let changes = self.state.apply_payload(record.offset, &record.payload);
                let is_own = Batch::decode(record.payload.as_slice())
                    .is_ok_and(|batch| batch.incarnation == self.writer.0);
                if is_own {
                    return Ok(Some((record.offset, rejection(&changes))));
                }
            }
            if self.state.next_offset >= *up_to.get_or_insert(page.next) {
                return Ok(None);
            }
        }
        Ok(None)
    }
}

fn rejection(changes: &[Change]) -> Option<String> {
    changes.iter().find_map(|change| match change {
        Change::Rejected(rejection) => Some(rejection.reason.to_string()),
        _ => None,
    })
}

async fn pause() {
    monoio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
}
