//! Adapter to the platform: names, formats and calls.
//!
//! Everything that the platform defines is translated here, into the types of [`crate::routing`], [`crate::directory`],
//! [`crate::store`] and [`crate::gateway`]. This module makes no decisions, and no other module knows the names of the
//! platform. See `docs/design.md`, section 10.

mod bounds;
pub mod documents;
pub mod headers;
mod store_client;

pub use store_client::StoreClient;
