//! Measurement of the resident memory of a process per open stream.

use std::time::Duration;

use monoio::time::sleep;
use serde::Serialize;

use crate::arrivals::Plan;
use crate::connection::Connection;

/// Number of streams that are opened and closed before the measurement, to exclude one-time allocations.
const WARM_UP_STREAMS: u64 = 50;

/// Number of readings, of which the smallest is used, because buffers of active transfers are temporary.
const READINGS: u32 = 10;

/// Time between two readings.
const READING_INTERVAL: Duration = Duration::from_millis(100);

/// Resident memory of a process with and without open streams.
#[derive(Debug, Serialize)]
pub(crate) struct Memory {
    pub(crate) streams: u64,
    pub(crate) resident_without_kib: u64,
    pub(crate) resident_with_kib: u64,
    pub(crate) bytes_per_stream: u64,
}

/// Measures the resident memory of process `pid` without and with open streams.
pub(crate) async fn measure(pid: u32, plan: &Plan, streams: u64) -> Result<Memory, String> {
    let resident_idle_kib = resident_kib(pid)?;
    drop(open_streams(plan, "warm", WARM_UP_STREAMS).await?);
    sleep(READING_INTERVAL * READINGS).await;
    // A warm-up can leave free heap memory that later streams reuse, so the baseline is the lower of both readings.
    let resident_without_kib = lowest_resident_kib(pid).await?.min(resident_idle_kib);
    let connections = open_streams(plan, "idle", streams).await?;
    let resident_with_kib = lowest_resident_kib(pid).await?;
    drop(connections);
    Ok(Memory {
        streams,
        resident_without_kib,
        resident_with_kib,
        bytes_per_stream: resident_with_kib.saturating_sub(resident_without_kib) * 1024
            / streams.max(1),
    })
}

async fn open_streams(plan: &Plan, kind: &str, streams: u64) -> Result<Vec<Connection>, String> {
    let mut connections = Vec::new();
    for number in 0..streams {
        let mut connection = Connection::open(plan.address).await?;
        let request = plan.encode_request(number, kind, plan.stream_tokens);
        let response = connection.send(request).await?;
        if response.status != 200 {
            return Err(format!("stream {number}: status {}", response.status));
        }
        connections.push(connection);
    }
    Ok(connections)
}

async fn lowest_resident_kib(pid: u32) -> Result<u64, String> {
    let mut lowest = u64::MAX;
    for _ in 0..READINGS {
        lowest = lowest.min(resident_kib(pid)?);
        sleep(READING_INTERVAL).await;
    }
    Ok(lowest)
}

/// Returns the resident memory of a process.
fn resident_kib(pid: u32) -> Result<u64, String> {
    let path = format!("/proc/{pid}/status");
    let status = std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|value| value.trim().strip_suffix(" kB")?.parse().ok())
        .ok_or_else(|| format!("{path}: no VmRSS"))
}
