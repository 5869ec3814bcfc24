//! Bills of one process and the copies that it keeps for its peers.
