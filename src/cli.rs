//! The command line.
//!
//! Every command checks all of its input before it opens or changes anything, writes its result to standard output and
//! its errors to standard error, one line each. The exit code tells a script what happened, see [`ExitCode`].

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

/// Exit codes of all commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command did what it was asked to do.
    Success,
    /// The command failed, for example because an address did not answer; it may be repeated.
    Failure,
    /// The input is invalid; nothing was opened or changed.
    InvalidInput,
    /// The fleet rejected the change, or another operator's change came first.
    Rejected,
}

impl ExitCode {
    /// Returns the code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::InvalidInput => 2,
            Self::Rejected => 3,
        }
    }
}

/// Form of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Plain sentences and tables.
    Text,
    /// One JSON document.
    Json,
}

/// Result of a command: an exit code, and the lines for standard output and standard error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Exit code.
    pub code: ExitCode,
    /// Text for standard output, without the last line break.
    pub stdout: String,
    /// Lines for standard error.
    pub errors: Vec<String>,
}

impl CommandOutput {
    /// Makes the report of a command that was done.
    pub fn success(stdout: impl Into<String>) -> Self {
        Self {
            code: ExitCode::Success,
            stdout: stdout.into(),
            errors: Vec::new(),
        }
    }

    /// Makes the report of a command that was not done.
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
            // A closed standard output leaves nobody to tell.
            let _ = error.print();
            return if error.use_stderr() {
                ExitCode::InvalidInput.code()
            } else {
                ExitCode::Success.code()
            };
        }
    };
    let output = dispatch(&matches);
    // A reader that closed its end, such as `head`, leaves nobody to tell; the exit code stands.
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
    let settings = match gateway::Settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            let messages = error.messages(&path.display().to_string());
            return CommandOutput::failure(ExitCode::InvalidInput, messages);
        }
    };
    logging::init_stdout(log_level(arguments));
    let result = gateway::run(settings);
    log::logger().flush();
    match result {
        Ok(()) => CommandOutput::success(""),
        Err(error) => CommandOutput::failure(ExitCode::Failure, vec![error.to_string()]),
    }
}

fn log_level(arguments: &ArgMatches) -> log::LevelFilter {
    let level = arguments.get_one::<String>("log-level");
    level
        .and_then(|level| level.parse().ok())
        .unwrap_or(log::LevelFilter::Info)
}

/// Returns the form of report that was asked for.
pub(crate) fn output_format(arguments: &ArgMatches) -> OutputFormat {
    match arguments.get_one::<String>("output").map(String::as_str) {
        Some("json") => OutputFormat::Json,
        _ => OutputFormat::Text,
    }
}

/// Returns a required path argument; clap has checked that it is present.
pub(crate) fn path_argument(arguments: &ArgMatches, name: &str) -> PathBuf {
    arguments
        .get_one::<PathBuf>(name)
        .cloned()
        .unwrap_or_default()
}

/// Returns a required text argument; clap has checked that it is present.
pub(crate) fn string_argument<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map_or("", String::as_str)
}

/// Returns a required or defaulted number; clap has checked that it is present.
pub(crate) fn u64_argument(arguments: &ArgMatches, name: &str) -> u64 {
    arguments.get_one::<u64>(name).copied().unwrap_or_default()
}

/// Runs a future to its end on an event loop of its own.
pub(crate) fn block_on<F: Future>(future: F) -> Result<F::Output, String> {
    event_loop::block_on(future).map_err(|error| format!("event loop: {error}"))
}

/// Reads a JSON document from the admin address of a router, and returns the exit code and message if that fails.
pub(crate) fn fetch_admin_json<T: DeserializeOwned>(
    arguments: &ArgMatches,
    step: &'static str,
    path: &str,
) -> Result<T, CommandOutput> {
    let failed = |message| CommandOutput::failure(ExitCode::Failure, vec![message]);
    let Some(admin) = arguments.get_one::<SocketAddr>("admin") else {
        return Err(failed("--admin is missing".into()));
    };
    let timeout = Duration::from_millis(u64_argument(arguments, "timeout-ms"));
    let result = block_on(async {
        let client = HttpClient::new(&admin.to_string(), "operator");
        let call = client.call(step, Method::GET, path, Bytes::new(), timeout);
        call.await
    });
    match result {
        // An unknown subject has status 404 and a document that says so.
        Ok(Ok((status, body))) => serde_json::from_slice(&body)
            .map_err(|_| failed(format!("{step} {admin}: status {}", status.as_u16()))),
        Ok(Err(error)) => Err(failed(error.to_string())),
        Err(message) => Err(failed(message)),
    }
}
