//! Snapshots of the fleet's shared state.
