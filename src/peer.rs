//! Connections between router processes.
