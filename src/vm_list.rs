//! Clients of the platform's VM list and weight store.
//!
//! The VM list lags and can be wrong, so it is only used as a hint where a starting process finds peers, and to stop
//! sending new work to upstreams that will be removed.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::LocalBoxFuture;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use crate::log_client::http_client::HttpClient;
pub use crate::log_client::Error;

/// State of a VM as the platform sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will be removed.
    Leaving,
}

/// One entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub vm: CompactString,
    /// Address as `ip:port`: that for peers if the VM runs a router, that for requests if it runs an upstream.
    pub address: CompactString,
    /// State as the platform sees it.
    pub state: VmState,
}

/// Operations of the platform's VM list.
pub trait VmList {
    /// Reads the current list.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response arrived.
    fn read(&self) -> LocalBoxFuture<'_, Result<Vec<Vm>, Error>>;
}

/// Response of the weight store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightsResponse {
    /// The weights of the version.
    Found(Bytes),
    /// The rate limit of the store was exceeded; the read can be retried later.
    RateLimited,
    /// The store has no such version.
    NotFound,
}

/// Operations of the platform's store of model weights.
pub trait WeightStore {
    /// Reads the weights of a version.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response arrived.
    fn read<'a>(&'a self, version: &'a str) -> LocalBoxFuture<'a, Result<WeightsResponse, Error>>;
}

/// HTTP client of the VM list.
#[derive(Debug)]
pub struct VmListClient {
    client: HttpClient,
    timeout: Duration,
}

impl VmListClient {
    /// Creates a client of the list at `address`; `vm` names this VM in the `x-vm` header.
    pub fn new(address: &str, vm: &str, timeout: Duration) -> Self {
        Self {
            client: HttpClient::new(address, vm),
            timeout,
        }
    }
}

impl VmList for VmListClient {
    fn read(&self) -> LocalBoxFuture<'_, Result<Vec<Vm>, Error>> {
        Box::pin(self.client.call_json(
            "read VM list",
            Method::GET,
            "/v1/vms",
            Bytes::new(),
            self.timeout,
        ))
    }
}

/// HTTP client of the weight store.
#[derive(Debug)]
pub struct WeightStoreClient {
    address: String,
    client: HttpClient,
    timeout: Duration,
}

impl WeightStoreClient {
    /// Creates a client of the store at `address`; `vm` names this VM in the `x-vm` header.
    pub fn new(address: &str, vm: &str, timeout: Duration) -> Self {
        Self {
            address: address.into(),
            client: HttpClient::new(address, vm),
            timeout,
        }
    }
}

impl WeightStore for WeightStoreClient {
    fn read<'a>(&'a self, version: &'a str) -> LocalBoxFuture<'a, Result<WeightsResponse, Error>> {
        Box::pin(async move {
            const STEP: &str = "read weights";
            let path = format!("/v1/weights/{version}");
            let response = self
                .client
                .call(STEP, Method::GET, &path, Bytes::new(), self.timeout)
                .await?;
            match response.status {
                StatusCode::OK => Ok(WeightsResponse::Found(response.body)),
                StatusCode::TOO_MANY_REQUESTS => Ok(WeightsResponse::RateLimited),
                StatusCode::NOT_FOUND => Ok(WeightsResponse::NotFound),
                other => Err(Error::Status(STEP, self.address.clone(), other.as_u16())),
            }
        })
    }
}
