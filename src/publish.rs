//! Publication of contracts, configuration and rollouts.
