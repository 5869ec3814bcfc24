//! Admission and queueing of requests under overload.
