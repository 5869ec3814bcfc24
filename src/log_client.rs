//! Client of the platform's append-only log.
//!
//! The log is reached over HTTP and is unavailable at times, so every call has a timeout and every error may be
//! retried. A failed append may still have taken effect if only its response was lost. Writers therefore number their
//! batches; see [`crate::log_writer`].

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::Method;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use crate::ids::Offset;

pub(crate) mod http_client;

use http_client::HttpClient;

/// Name of the stream that holds the records of the fleet.
pub const FLEET_STREAM: &str = "fleet";

/// Name of the stream that holds the chunks of snapshots.
pub const SNAPSHOT_STREAM: &str = "snapshots";

/// Largest payload of a record that this crate appends, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 512 << 10;

quick_error! {
    /// Error of a call to the platform; the call may still have taken effect.
    #[derive(Debug)]
    pub enum Error {
        /// The connection could not be opened, or it broke.
        Connection(step: &'static str, address: String, message: String) {
            display("{} {}: {}", step, address, message)
        }
        /// No complete response arrived within the timeout.
        Timeout(step: &'static str, address: String) {
            display("{} {}: no response within the timeout", step, address)
        }
        /// The service answered with an unexpected status.
        Status(step: &'static str, address: String, status: u16) {
            display("{} {}: status {}", step, address, status)
        }
        /// The response body could not be parsed.
        InvalidResponse(step: &'static str, address: String, message: String) {
            display("{} {}: invalid response body: {}", step, address, message)
        }
    }
}

/// One record of a stream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Offset in the stream.
    pub offset: Offset,
    /// Payload; an encoded batch or snapshot chunk.
    #[serde_as(as = "Base64")]
    pub payload: Vec<u8>,
}

/// Result of a read: records of a stream in offset order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset that the stream still holds.
    pub oldest: Offset,
    /// Offset of the next record to be appended.
    pub next: Offset,
    /// The records.
    pub records: Vec<Record>,
}

/// Operations of the platform's log.
pub trait LogService {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response arrived; the record may still be in the log.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        payload: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, Error>>;

    /// Reads up to `max_records` records from an offset on, and waits up to `wait_ms` for the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response arrived.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        max_records: u32,
        wait_ms: u64,
    ) -> LocalBoxFuture<'a, Result<Page, Error>>;
}

/// HTTP client of the platform's log.
#[derive(Clone, Debug)]
pub struct LogClient {
    // The server holds reads open until a record arrives, so appends use a separate client.
    appends: Rc<HttpClient>,
    reads: Rc<HttpClient>,
    timeout: Duration,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

impl LogClient {
    /// Creates a client of the log at `address`; `vm` names this VM in the `x-vm` header of each request.
    pub fn new(address: &str, vm: &str, timeout: Duration) -> Self {
        Self {
            appends: Rc::new(HttpClient::new(address, vm)),
            reads: Rc::new(HttpClient::new(address, vm)),
            timeout,
        }
    }
}

impl LogService for LogClient {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        payload: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, Error>> {
        Box::pin(async move {
            let path = format!("/v1/streams/{stream}");
            let response: AppendResponse = self
                .appends
                .call_json("append to log", Method::POST, &path, payload, self.timeout)
                .await?;
            Ok(response.offset)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        max_records: u32,
        wait_ms: u64,
    ) -> LocalBoxFuture<'a, Result<Page, Error>> {
        Box::pin(async move {
            let path =
                format!("/v1/streams/{stream}?from={from}&max={max_records}&wait_ms={wait_ms}");
            let timeout = self.timeout + Duration::from_millis(wait_ms);
            self.reads
                .call_json("read log", Method::GET, &path, Bytes::new(), timeout)
                .await
        })
    }
}
