//! Requests to the control interface of model engines: load reports, cache events and orders.

use serde::{Deserialize, Serialize};

use super::{Client, Error, UpstreamRequest};

/// Maximum size of a report.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Load report of an engine, which lags behind the state of the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of requests that the engine runs.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of tokens that the engine expects to generate for both.
    #[serde(default)]
    pub outstanding_tokens: u64,
    /// Age of the report.
    #[serde(default)]
    pub age_ms: u64,
    /// Whether the engine is draining and accepts no new requests.
    #[serde(default)]
    pub is_leaving: bool,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Index of the event; a gap in the indexes means that events were lost.
    pub index: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Cache events from a requested index on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// The events in the order of their indexes, possibly with gaps.
    pub events: Vec<CacheEvent>,
    /// Index from which to request the next events.
    pub next: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Kind of the order.
    pub kind: String,
    /// Version that the order refers to.
    pub version: String,
    /// Fencing token. An engine that checks tokens rejects an order with a lower token than it has seen.
    pub fence: u64,
}

/// Response of an engine to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResponse {
    /// Whether the engine carries out the order.
    pub accepted: bool,
    /// Highest fencing token that the engine has seen.
    pub fence: u64,
}

impl Client {
    /// Reads the load report of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine cannot be reached or the report is not valid.
    pub async fn load_report(&self, address: &str) -> Result<EngineLoad, Error> {
        self.fetch_json(address, &UpstreamRequest::get("/v1/load"))
            .await
    }

    /// Reads the cache events of an engine from an index on.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine cannot be reached or the events are not valid.
    pub async fn cache_events(
        &self,
        address: &str,
        from_index: u64,
    ) -> Result<CacheEventPage, Error> {
        let path = format!("/v1/cache-events?from={from_index}");
        self.fetch_json(address, &UpstreamRequest::get(&path)).await
    }

    /// Sends an order to an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine cannot be reached or its response is not valid.
    pub async fn order(&self, address: &str, order: &OrderRequest) -> Result<OrderResponse, Error> {
        let body = serde_json::to_vec(order).unwrap_or_default();
        let request = UpstreamRequest {
            method: "POST",
            body: body.into(),
            ..UpstreamRequest::get("/v1/orders")
        };
        self.fetch_json(address, &request).await
    }

    async fn fetch_json<T: serde::de::DeserializeOwned>(
        &self,
        address: &str,
        request: &UpstreamRequest<'_>,
    ) -> Result<T, Error> {
        let (_, body) = self.fetch(address, request, MAX_REPORT_BYTES).await?;
        serde_json::from_slice(&body)
            .map_err(|error| Error::Broken("parsing the answer", address.into(), error.to_string()))
    }
}
