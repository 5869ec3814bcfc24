//! Load reports, cache events and orders of model engines.

use serde::{Deserialize, Serialize};

use super::{Client, Error, UpstreamRequest};

/// Largest report that is accepted from an engine.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Load report of an engine; it lags behind the engine's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests that the engine runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Tokens that the engine expects to generate for both.
    #[serde(default)]
    pub outstanding_tokens: u64,
    /// Age of the report.
    #[serde(default)]
    pub age_ms: u64,
    /// Whether the engine takes no new work.
    #[serde(default)]
    pub is_leaving: bool,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Index of the event; a gap means that events were lost.
    pub index: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Cache events from an index on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// The events in order of their index, possibly with gaps.
    pub events: Vec<CacheEvent>,
    /// Index to ask from next.
    pub next: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Kind of the order.
    pub kind: String,
    /// Version that the order names.
    pub version: String,
    /// Fencing token; an engine that checks tokens rejects any that is lower than one it has seen.
    pub fence: u64,
}

/// Answer of an engine to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResponse {
    /// Whether the order is carried out.
    pub accepted: bool,
    /// Newest fencing token that the engine has seen.
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

    /// Gives an engine an order.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine cannot be reached or its answer is not valid.
    pub async fn order(&self, address: &str, order: &OrderRequest) -> Result<OrderResponse, Error> {
        let body = serde_json::to_vec(order).unwrap_or_default();
        let request = UpstreamRequest {
            method: "POST",
            body: &body,
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
            .map_err(|error| Error::Broken("parsing the report", address.into(), error.to_string()))
    }
}
