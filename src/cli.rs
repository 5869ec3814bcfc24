//! Command-line interface.
//!
//! Every command validates all of its input before it opens or changes anything. Results go to standard output and
//! errors to standard error, one per line. The exit code tells a script what happened, see [`ExitCode`].

mod arguments;
mod check;

use std::ffi::OsString;
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use clap::ArgMatches;
use http::Method;
use serde::de::DeserializeOwned;

use crate::event_loop;
use crate::log_client::http_client::HttpClient;
use crate::settings::Settings;
use crate::{explain, gateway, logging, publish, router, status};

pub use arguments::command;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Success,
    /// The command failed, for example because an address did not answer. It can be retried.
    Failure,
    /// The input is invalid; nothing was opened or changed.
    InvalidInput,
    /// The fleet rejected the change, or another operator's change took effect first.
    Rejected,
}

impl ExitCode {
    /// Returns the numeric exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::InvalidInput => 2,
            Self::Rejected => 3,
        }
    }
}

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Sentences and tables for people.
    Text,
    /// One JSON document.
    Json,
}

/// Result of a command: its exit code and what it prints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code of the process.
    pub code: ExitCode,
    /// Text for standard output, without the final line break.
    pub stdout: String,
    /// Lines for standard error.
    pub errors: Vec<String>,
}

impl CommandOutput {
    /// Creates the result of a successful command.
    pub fn success(stdout: impl Into<String>) -> Self {
        Self {
            code: ExitCode::Success,
            stdout: stdout.into(),
            errors: Vec::new(),
        }
    }

    /// Creates the result of a failed command.
    pub fn failure(code: ExitCode, errors: Vec<String>) -> Self {
        Self {
            code,
            stdout: String::new(),
            errors,
        }
    }
}

/// Parses the arguments, runs the command and returns the exit code of the process.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> u8 {
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // If the output is closed, the error cannot be reported anywhere.
            let _ = error.print();
            return if error.use_stderr() {
                ExitCode::InvalidInput.code()
            } else {
                ExitCode::Success.code()
            };
        }
    };
    let output = dispatch(&matches);
    // Write errors are ignored: a reader such as `head` may have closed the pipe, and the exit code reports the result.
    for error in &output.errors {
        let _ = writeln!(std::io::stderr(), "monsoonfield: {error}");
    }
    if !output.stdout.is_empty() {
        let _ = writeln!(std::io::stdout(), "{}", output.stdout);
    }
    output.code.code()
}

fn dispatch(matches: &ArgMatches) -> CommandOutput {
    match matches.subcommand() {
        Some(("router", arguments)) => run_router(arguments),
        Some(("gateway", arguments)) => run_gateway(arguments),
        Some(("check", arguments)) => check::run(arguments),
        Some(("publish", arguments)) => publish::run(arguments),
        Some(("status", arguments)) => status::run(arguments),
        Some(("explain", arguments)) => explain::run(arguments),
        _ => CommandOutput::failure(
            ExitCode::InvalidInput,
            vec!["expected a command; see monsoonfield --help".into()],
        ),
    }
}

fn run_router(arguments: &ArgMatches) -> CommandOutput {
    let path = path_argument(arguments, "settings");
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            let messages = error.messages(&path.display().to_string());
            return CommandOutput::failure(ExitCode::InvalidInput, messages);
        }
    };
    logging::init_stderr(log_level(arguments));
    match router::run(settings) {
        Ok(()) => CommandOutput::success(""),
        Err(error) => CommandOutput::failure(ExitCode::Failure, vec![error.to_string()]),
    }
}

fn run_gateway(arguments: &ArgMatches) -> CommandOutput {
    let path = path_argument(arguments, "settings");
    let mut settings = match gateway::Settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            let messages = error.messages(&path.display().to_string());
            return CommandOutput::failure(ExitCode::InvalidInput, messages);
        }
    };
    settings.fleet.override_cold_tolerance(
        optional_number(arguments, "cold-overshoot-ratio"),
        optional_number(arguments, "cold-slack-requests"),
    );
    logging::init_stdout(log_level(arguments));
    let result = gateway::run(settings);
    log::logger().flush();
    match result {
        Ok(()) => CommandOutput::success(""),
        Err(error) => CommandOutput::failure(ExitCode::Failure, vec![error.to_string()]),
    }
}

/// Returns the value of an argument that may be missing or empty.
fn optional_number(arguments: &ArgMatches, name: &str) -> Option<f64> {
    arguments.get_one::<Option<f64>>(name).copied().flatten()
}

fn log_level(arguments: &ArgMatches) -> log::LevelFilter {
    let level = arguments.get_one::<String>("log-level");
    level
        .and_then(|level| level.parse().ok())
        .unwrap_or(log::LevelFilter::Info)
}

/// Returns the requested output format.
pub(crate) fn output_format(arguments: &ArgMatches) -> OutputFormat {
    match arguments.get_one::<String>("output").map(String::as_str) {
        Some("json") => OutputFormat::Json,
        _ => OutputFormat::Text,
    }
}

/// Returns a required path argument; clap ensures that it is present.
pub(crate) fn path_argument(arguments: &ArgMatches, name: &str) -> PathBuf {
    arguments
        .get_one::<PathBuf>(name)
        .cloned()
        .unwrap_or_default()
}

/// Returns a required string argument; clap ensures that it is present.
pub(crate) fn string_argument<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map_or("", String::as_str)
}

/// Returns a numeric argument that is required or has a default; clap ensures that it is present.
pub(crate) fn u64_argument(arguments: &ArgMatches, name: &str) -> u64 {
    arguments.get_one::<u64>(name).copied().unwrap_or_default()
}

/// Runs a future to completion on a new event loop.
pub(crate) fn block_on<F: Future>(future: F) -> Result<F::Output, String> {
    event_loop::block_on(future).map_err(|error| format!("cannot start the event loop: {error}"))
}

/// Fetches a JSON document from the admin address of a router.
///
/// On failure, returns the result with which the command ends.
pub(crate) fn fetch_admin_json<T: DeserializeOwned>(
    arguments: &ArgMatches,
    step: &'static str,
    path: &str,
) -> Result<T, CommandOutput> {
    let failure = |message| CommandOutput::failure(ExitCode::Failure, vec![message]);
    let Some(admin) = arguments.get_one::<SocketAddr>("admin") else {
        return Err(failure("--admin is missing".into()));
    };
    let timeout = Duration::from_millis(u64_argument(arguments, "timeout-ms"));
    let result = block_on(async {
        let client = HttpClient::new(&admin.to_string(), "operator");
        let call = client.call(step, Method::GET, path, Bytes::new(), timeout);
        call.await
    });
    match result {
        // The response for an unknown subject has status 404 and a JSON body, which is parsed like any other.
        Ok(Ok(response)) => serde_json::from_slice(&response.body).map_err(|_| {
            failure(format!(
                "{step} {admin}: status {}",
                response.status.as_u16()
            ))
        }),
        Ok(Err(error)) => Err(failure(error.to_string())),
        Err(message) => Err(failure(message)),
    }
}
