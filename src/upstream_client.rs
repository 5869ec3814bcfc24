//! HTTP client of model engines and plain services.
//!
//! Connections are reused, because connecting takes a round trip before the first token. Each error states whether the
//! request may have reached the upstream, because only a request that was never sent may be reported as not run. See
//! `docs/design.md`, section 5.

mod client;
mod engine_api;
mod head;
mod response;
mod sse;

pub(crate) use client::{join_small_body, put_fields};
pub use client::{Client, UpstreamRequest};
pub use engine_api::{CacheEvent, CacheEventPage, EngineLoad, OrderRequest, OrderResponse};
pub(crate) use response::Progress;
pub use response::UpstreamResponse;
pub use sse::{Event, EventId, EventSplitter};

use quick_error::quick_error;

quick_error! {
    /// Why a request got no usable response.
    #[derive(Debug)]
    pub enum Error {
        /// The request was not sent, so the upstream has not run it.
        NotSent(step: &'static str, upstream: String, reason: String) {
            display("{} at {}: {}", step, upstream, reason)
        }
        /// The request was or may have been sent.
        Broken(step: &'static str, upstream: String, reason: String) {
            display("{} at {}: {}", step, upstream, reason)
        }
    }
}

impl Error {
    /// Returns whether the upstream may have run the request.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Broken(..))
    }
}
