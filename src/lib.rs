//! A router fleet for prepaid token budgets.
//!
//! The decision logic is written as pure step functions over a state, so that the same code runs in production, in
//! trace replay and under model checking. The module layout follows `docs/design.md`.

pub mod collections;
pub mod contract;
pub mod fold;
pub mod ids;
pub mod intent;
pub mod ledger;
pub mod membership;
pub mod message;
pub mod quarantine;
pub mod record;
pub mod refusal;
pub mod rollout;
pub mod settings;

pub use fold::FleetState;
