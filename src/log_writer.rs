//! Ordered writing of entries to the platform's log.
