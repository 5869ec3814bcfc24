//! Access to the platform's append-only log.
//!
//! The log is reached over HTTP and is unavailable at times, so every call has a time limit and every error is one that
//! the caller can retry. A failed append may still have taken effect: its response may have been lost. Writers therefore
//! number their batches, see [`crate::log_writer`].

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

/// Stream that carries the fleet's records.
pub const FLEET_STREAM: &str = "fleet";

/// Stream that carries serialised states.
pub const SNAPSHOT_STREAM: &str = "snapshots";

/// Largest payload of one record that this program appends, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 512 << 10;

quick_error! {
    /// Why a call to the platform failed; the action may still have taken effect.
    #[derive(Debug)]
    pub enum Error {
        /// No connection, or the connection broke.
        Connection(step: &'static str, address: String, message: String) {
            display("{} {}: {}", step, address, message)
        }
        /// No response within the time limit.
        Timeout(step: &'static str, address: String) {
            display("{} {}: no response in time", step, address)
        }
        /// The service answered with an error status.
        Status(step: &'static str, address: String, status: u16) {
            display("{} {}: status {}", step, address, status)
        }
        /// The response is not of the expected shape.
        InvalidResponse(step: &'static str, address: String, message: String) {
            display("{} {}: unexpected response: {}", step, address, message)
        }
    }
}

/// One record of a stream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// Content.
    #[serde_as(as = "Base64")]
    pub payload: Vec<u8>,
}

/// Records of a stream in offset order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset that the log still holds.
    pub oldest: Offset,
    /// Offset that the next append gets.
    pub next: Offset,
    /// The records.
    pub records: Vec<Record>,
}

/// The platform's log.
pub trait LogService {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an error if no response arrived; the record may be in the log nevertheless.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        payload: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, Error>>;

    /// Reads up to `max_records` records from an offset on, and waits up to `wait_ms` for the first.
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

/// The platform's log over HTTP.
#[derive(Clone, Debug)]
pub struct LogClient {
    // Reads wait at the server, so appends need a connection of their own.
    appends: Rc<HttpClient>,
    reads: Rc<HttpClient>,
    timeout: Duration,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: Offset,
}

impl LogClient {
    /// Makes a client for the log at `address`; `vm` names this VM in the `x-vm` header of each request.
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
