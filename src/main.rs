//! The command line of monsoonfield.

fn main() {}
