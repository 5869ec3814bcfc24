//! Entry point of the `monsoonfield` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::from(monsoonfield::cli::run(std::env::args_os()))
}
