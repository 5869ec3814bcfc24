//! Definitions of all commands with their help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{value_parser, Arg, ArgAction, ArgGroup, Command};

use crate::ids::RequestKey;

/// Footer of the help text of every command.
const EXIT_CODES: &str =
    "Exit codes: 0 success; 1 failure; 2 invalid input, nothing was opened or changed; \
3 rejected, or another operator's change took effect first.";

/// Default time limit of a command, in milliseconds.
pub(crate) const DEFAULT_TIMEOUT_MS: &str = "10000";

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("monsoonfield")
        .about("A router fleet that enforces prepaid token budgets")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(router_command())
        .subcommand(gateway_command())
        .subcommand(check_command())
        .subcommand(publish_command())
        .subcommand(status_command())
        .subcommand(explain_command())
}

fn router_command() -> Command {
    Command::new("router")
        .about("Runs one router until it receives SIGTERM")
        .long_about(
            "Runs one router process. All settings are validated before anything is opened. The first SIGTERM starts a \
             graceful shutdown: the router reports that it is not ready, finishes its open requests and returns its \
             unspent spending rights. A second SIGTERM, or limits.shutdown_timeout_ms, ends it at once.",
        )
        .after_help(EXIT_CODES)
        .arg(file_arg("settings", "Settings of this process, YAML").required(true))
        .arg(log_level_arg("Lowest severity that is logged to standard error"))
}

fn gateway_command() -> Command {
    Command::new("gateway")
        .about("Runs one gateway, which uses the platform's store, until it receives SIGTERM")
        .long_about(
            "Runs one process between callers and upstreams that keeps all persistent state in the platform's store. \
             All settings are validated before anything is opened. SIGTERM starts a graceful shutdown: the gateway \
             reports that it is not ready, finishes its open requests and returns its unspent spending rights.",
        )
        .after_help(EXIT_CODES)
        .arg(
            file_arg("settings", "Settings of this process, YAML")
                .required(true)
                .env("MONSOONFIELD_SETTINGS"),
        )
        .arg(log_level_arg("Lowest severity that is logged to standard output"))
        .arg(
            optional_number_arg("cold-overshoot-ratio", 100.0)
                .env("MONSOONFIELD_COLD_OVERSHOOT_RATIO")
                .help("Overrides fleet.cold_overshoot_ratio of the settings unless empty"),
        )
        .arg(
            optional_number_arg("cold-slack-requests", 1_000_000.0)
                .env("MONSOONFIELD_COLD_SLACK_REQUESTS")
                .help("Overrides fleet.cold_slack_requests of the settings unless empty"),
        )
}

/// Returns an argument for a number from 0 to a maximum.
///
/// It may be empty, because a deployment renders an empty value for a figure that it does not state.
fn optional_number_arg(name: &'static str, max: f64) -> Arg {
    let parse = move |text: &str| match text.parse() {
        _ if text.is_empty() => Ok(None),
        Ok(number) if (0.0..=max).contains(&number) => Ok(Some(number)),
        _ => Err(format!("expected a number from 0 to {max}, or nothing")),
    };
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .value_parser(parse)
}

fn log_level_arg(help: &'static str) -> Arg {
    Arg::new("log-level")
        .long("log-level")
        .value_name("LEVEL")
        .value_parser(["error", "warn", "info", "debug", "trace"])
        .default_value("info")
        .help(help)
}

fn check_command() -> Command {
    Command::new("check")
        .about("Validates files and reports every problem; opens no connection and changes nothing")
        .long_about(
            "Validates settings of routers, contracts and a configuration. Each problem is reported on one line with \
             file, field, value and what is allowed. With both --contracts and --configuration, the models, versions \
             and services that contracts name must exist in the configuration.",
        )
        .after_help(EXIT_CODES)
        .arg(file_arg("settings", "Settings of one router, YAML; may be repeated").action(ArgAction::Append))
        .arg(file_arg("contracts", "Customer contracts, YAML"))
        .arg(file_arg("configuration", "Fleet configuration, YAML"))
        .group(
            ArgGroup::new("files")
                .args(["settings", "contracts", "configuration"])
                .required(true)
                .multiple(true),
        )
        .arg(output_arg())
}

fn publish_command() -> Command {
    let log_arg = Arg::new("log")
        .long("log")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .required(true)
        .help("Address of the platform's log service");
    let replaces_arg = Arg::new("replaces")
        .long("replaces")
        .value_name("REVISION")
        .required(true)
        .value_parser(value_parser!(u64))
        .help("Current revision, which the change replaces; 0 for the first publication");
    let with_common_args = |command: Command| {
        command
            .after_help(EXIT_CODES)
            .arg(log_arg.clone())
            .arg(replaces_arg.clone())
            .arg(timeout_arg())
            .arg(output_arg())
    };
    Command::new("publish")
        .about("Publishes a contract, a configuration or a version rollout")
        .long_about(
            "Appends a change to the platform's log and reads the log until the change is accepted or rejected. The \
             change names the revision that it replaces; if another operator's change took effect first, this one is \
             rejected and the command reports it. If the response to an append is lost, the same batch is appended \
             again; it takes effect at most once.",
        )
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(with_common_args(
            Command::new("contract")
                .about("Publishes the contract of one customer")
                .arg(file_arg("file", "Customer contracts, YAML").required(true))
                .arg(
                    Arg::new("customer")
                        .long("customer")
                        .value_name("NAME")
                        .help("Customer whose contract is published; required if the file has several"),
                ),
        ))
        .subcommand(with_common_args(
            Command::new("configuration")
                .about("Publishes the fleet configuration")
                .arg(file_arg("file", "Fleet configuration, YAML").required(true)),
        ))
        .subcommand(with_common_args(rollout_command()))
}

fn rollout_command() -> Command {
    let name_arg = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("NAME")
            .required(true)
            .help(help)
    };
    let time_arg = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("MS")
            .required(true)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("rollout")
        .about("Starts or changes the rollout of another version of a model or service")
        .arg(name_arg("id", "Name of the rollout"))
        .arg(name_arg("model", "Model or service whose traffic is moved"))
        .arg(name_arg("from", "Current version"))
        .arg(name_arg("to", "Target version"))
        .arg(time_arg(
            "start-ms",
            "Start time, in milliseconds since the Unix epoch",
        ))
        .arg(time_arg(
            "deadline-ms",
            "Time by which all traffic must have moved, in milliseconds since the Unix epoch",
        ))
}

fn status_command() -> Command {
    Command::new("status")
        .about("Shows fleet, budgets, rollouts and log lag as one router sees them")
        .after_help(EXIT_CODES)
        .arg(admin_arg())
        .arg(timeout_arg())
        .arg(output_arg())
}

fn explain_command() -> Command {
    let subject_command = |name: &'static str, about: &'static str, value_name: &'static str| {
        let subject_arg = Arg::new("subject").value_name(value_name).required(true);
        let subject_arg = if name == "request" {
            subject_arg.value_parser(parse_request_key)
        } else {
            subject_arg.value_parser(parse_path_segment)
        };
        Command::new(name)
            .about(about)
            .after_help(EXIT_CODES)
            .arg(subject_arg)
            .arg(admin_arg())
            .arg(timeout_arg())
            .arg(output_arg())
    };
    Command::new("explain")
        .about("Explains the decisions on a request, budget or rollout, with time and reason")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(subject_command(
            "request",
            "Explains one request: where it was sent, whether it ran and what was billed",
            "REQUEST_KEY",
        ))
        .subcommand(subject_command(
            "budget",
            "Explains a customer's budget: which router holds which part of it",
            "CUSTOMER",
        ))
        .subcommand(subject_command(
            "rollout",
            "Explains a version rollout: its steps, and why it ended or was rolled back",
            "ROLLOUT",
        ))
}

fn file_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn admin_arg() -> Arg {
    Arg::new("admin")
        .long("admin")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .required(true)
        .help("Admin address of a router")
}

fn timeout_arg() -> Arg {
    Arg::new("timeout-ms")
        .long("timeout-ms")
        .value_name("MS")
        .value_parser(value_parser!(u64).range(1..=600_000))
        .default_value(DEFAULT_TIMEOUT_MS)
        .help("Time limit of the whole command, in milliseconds")
}

fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .value_parser(["text", "json"])
        .default_value("text")
        .help("Format of the output")
}

/// Parses a request key as it appears in responses: a hexadecimal number.
fn parse_request_key(text: &str) -> Result<String, String> {
    match RequestKey::try_from(text.to_owned()) {
        Ok(key) => Ok(key.to_string()),
        Err(_) => Err("expected up to 32 hexadecimal digits".into()),
    }
}

/// Parses a name that is valid as a segment of a URL path.
fn parse_path_segment(text: &str) -> Result<String, String> {
    let is_segment = !text.is_empty()
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "._-:".contains(c));
    if is_segment {
        Ok(text.to_owned())
    } else {
        Err("expected letters, digits, '.', '_', '-' or ':'".into())
    }
}
