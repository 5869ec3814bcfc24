//! Clients of the platform's VM list and weight store.
