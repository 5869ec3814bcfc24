//! Adapter to the platform: names, formats and calls.
//!
//! Everything that the platform defines is translated here once, into the types of [`crate::routing`],
//! [`crate::directory`], [`crate::store`] and [`crate::gateway`]. Nothing here decides, and no other module knows the
//! platform's names. See `docs/design.md`, section 10.

pub mod documents;
pub mod headers;
mod store_client;

pub use store_client::StoreClient;
