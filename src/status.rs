//! Reports on the fleet for operators.
