//! Publication of contracts, configuration and rollouts.

use clap::ArgMatches;

use crate::cli::{ExitCode, Report};

/// Runs the command.
pub fn run(_arguments: &ArgMatches) -> Report {
    Report::error(ExitCode::Failed, vec!["not available in this build".into()])
}
