//! The event loop of a router process.
