//! Routers between callers and upstreams that enforce prepaid token budgets.
//!
//! The crate contains two kinds of process. A [`router`] is for platforms with an append-only log; all routers fold the
//! log into the same state. A [`gateway`] is for platforms that keep all durable state in a store.
//!
//! The decision logic consists of state machines without input or output, so that the same code runs in production, in
//! the replay of traces and under model checking. The modules follow the sections of `docs/design.md`.

pub mod admission;
pub mod allowance;
pub mod backpressure;
pub mod billing;
pub mod buffer_budget;
mod chunked;
pub mod cli;
pub mod cold_upstreams;
pub mod collections;
pub mod congestion;
pub mod contract;
pub mod crash_attribution;
pub mod directory;
pub mod evacuation;
mod event_loop;
pub mod evidence;
pub mod explain;
pub mod fleet;
pub mod fleet_clock;
pub mod fleet_state;
mod framing;
pub mod gateway;
pub mod health;
pub mod holders;
pub mod ids;
pub mod intent;
pub mod ledger;
pub mod log_client;
pub mod log_history;
pub mod log_writer;
pub mod logging;
pub mod membership;
mod memory;
pub mod message;
pub mod metrics;
mod notify;
pub mod peer_connection;
pub mod placement;
pub mod platform;
pub mod publish;
pub mod quarantine;
pub mod record;
pub mod refusal;
pub mod request_cost;
pub mod reservations;
pub mod rollout;
pub mod rollout_completion;
pub mod router;
pub mod routing;
pub mod selection;
pub mod server;
pub mod settings;
pub mod shared_limits;
pub mod snapshot;
pub mod spending_rights;
pub mod status;
pub mod store;
pub mod stream_position;
pub mod upstream_availability;
pub mod upstream_beliefs;
pub mod upstream_client;
pub mod upstream_limits;
pub mod upstream_speed;
pub mod validation;
pub mod version_canary;
pub mod vm_list;

pub use fleet_state::FleetState;
