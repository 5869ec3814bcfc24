//! Sequential comparison of two versions.
