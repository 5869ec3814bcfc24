//! A process's connection to the fleet: log, peers and the shared state folded from them.
