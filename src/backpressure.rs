//! Memory shares of responses that callers read slowly.
