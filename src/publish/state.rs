//! Initial state from which a publisher folds the log.

use crate::ids::Offset;
use crate::log_client::{Error, LogService, FLEET_STREAM, SNAPSHOT_STREAM};
use crate::snapshot::{self, Assembler};
use crate::FleetState;

/// Largest number of chunks in one read of the snapshot stream.
const MAX_READ_CHUNKS: u32 = 8;

/// Returns the newest snapshot, or the empty state if the log still holds all records.
pub(super) async fn load(log: &dyn LogService) -> Result<FleetState, Error> {
    let fleet = log.read(FLEET_STREAM, 0, 1, 0).await?;
    if fleet.oldest == 0 {
        return Ok(FleetState::default());
    }
    Ok(read_newest_snapshot(log).await?.unwrap_or_default())
}

async fn read_newest_snapshot(log: &dyn LogService) -> Result<Option<FleetState>, Error> {
    let mut assembler = Assembler::default();
    let mut newest = None;
    let mut from: Offset = 0;
    loop {
        let page = log.read(SNAPSHOT_STREAM, from, MAX_READ_CHUNKS, 0).await?;
        for record in &page.records {
            from = record.offset + 1;
            let chunk = snapshot::decode_chunk(&record.payload);
            newest = chunk.and_then(|chunk| assembler.push(chunk)).or(newest);
        }
        from = from.max(page.oldest);
        if page.records.is_empty() || from >= page.next {
            break;
        }
    }
    Ok(newest.and_then(|bytes| snapshot::decode(&bytes).ok()))
}
