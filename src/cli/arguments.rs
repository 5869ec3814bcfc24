//! Definition of all commands and their help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{value_parser, Arg, ArgAction, ArgGroup, Command};

use crate::ids::RequestKey;

/// Text below the help of every command.
const EXIT_CODES: &str =
    "Exit codes: 0 done; 1 failed; 2 invalid input, nothing was opened or changed; \
3 rejected, or another operator's change came first.";

/// Default bound on one answer of the log or of a router, in milliseconds.
pub(crate) const DEFAULT_TIMEOUT_MS: &str = "10000";

/// Builds the command line.
pub fn command() -> Command {
    Command::new("monsoonfield")
        .about("A router fleet that enforces prepaid token budgets")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(router())
        .subcommand(gateway())
        .subcommand(check())
        .subcommand(publish())
        .subcommand(status())
        .subcommand(explain())
}

fn router() -> Command {
    Command::new("router")
        .about("Runs one router until it is told to stop by SIGTERM")
        .long_about(
            "Runs one router process. The settings are validated whole before anything is opened. The first SIGTERM \
             starts a graceful shutdown: the router reports that it is not ready, finishes its open requests and \
             returns its unspent budget rights. A second SIGTERM, or limits.shutdown_timeout_ms, ends it at once.",
        )
        .after_help(EXIT_CODES)
        .arg(file("settings", "Settings of this process, YAML").required(true))
        .arg(log_level("Least severe level that is logged to standard error"))
}

fn gateway() -> Command {
    Command::new("gateway")
        .about("Runs one gateway on the platform until it is told to stop by SIGTERM")
        .long_about(
            "Runs one process between callers and upstreams, which keeps all lasting state in the platform's store. The \
             settings are validated whole before anything is opened. SIGTERM starts a graceful shutdown: the gateway \
             reports that it is not ready, finishes its open requests and returns its unspent budget rights.",
        )
        .after_help(EXIT_CODES)
        .arg(
            file("settings", "Settings of this process, YAML")
                .required(true)
                .env("MONSOONFIELD_SETTINGS"),
        )
        .arg(log_level("Least severe level that is logged to standard output"))
}

fn log_level(help: &'static str) -> Arg {
    Arg::new("log-level")
        .long("log-level")
        .value_name("LEVEL")
        .value_parser(["error", "warn", "info", "debug", "trace"])
        .default_value("info")
        .help(help)
}

fn check() -> Command {
    Command::new("check")
        .about("Validates files and reports every problem, without opening or changing anything")
        .long_about(
            "Validates settings, contracts and a configuration. Each problem is one line with file, field, value and \
             what is allowed. With both --contracts and --configuration, the models, versions and services that \
             contracts name must exist in the configuration.",
        )
        .after_help(EXIT_CODES)
        .arg(file("settings", "Settings of one process, YAML; may be repeated").action(ArgAction::Append))
        .arg(file("contracts", "Contracts of customers, YAML"))
        .arg(file("configuration", "Configuration of the fleet, YAML"))
        .group(
            ArgGroup::new("files")
                .args(["settings", "contracts", "configuration"])
                .required(true)
                .multiple(true),
        )
        .arg(output())
}

fn publish() -> Command {
    let log = Arg::new("log")
        .long("log")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .required(true)
        .help("Address of the platform's log service");
    let replaces = Arg::new("replaces")
        .long("replaces")
        .value_name("REVISION")
        .required(true)
        .value_parser(value_parser!(u64))
        .help("Revision in force that the change replaces; 0 for the first one");
    let common = |command: Command| {
        command
            .after_help(EXIT_CODES)
            .arg(log.clone())
            .arg(replaces.clone())
            .arg(timeout())
            .arg(output())
    };
    Command::new("publish")
        .about("Publishes a contract, a configuration or a version rollout")
        .long_about(
            "Appends a change to the platform's log and reads the log until it is decided whether the change is in \
             force. The change names the revision that it replaces; if another operator's change came first, this one \
             is rejected and the command says so. If the response of an append is lost, the same batch is appended \
             again, and takes effect at most once.",
        )
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(common(
            Command::new("contract")
                .about("Publishes the contract of one customer")
                .arg(file("file", "Contracts of customers, YAML").required(true))
                .arg(
                    Arg::new("customer")
                        .long("customer")
                        .value_name("NAME")
                        .help("Customer whose contract is published; needed if the file has several"),
                ),
        ))
        .subcommand(common(
            Command::new("configuration")
                .about("Publishes the configuration of the fleet")
                .arg(file("file", "Configuration of the fleet, YAML").required(true)),
        ))
        .subcommand(common(rollout()))
}

fn rollout() -> Command {
    let name = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("NAME")
            .required(true)
            .help(help)
    };
    let time = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("MS")
            .required(true)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("rollout")
        .about("Starts or changes the move of a model or service to another version")
        .arg(name("id", "Name of the rollout"))
        .arg(name("model", "Model or service whose traffic moves"))
        .arg(name("from", "Version that serves now"))
        .arg(name("to", "Version that shall serve"))
        .arg(time(
            "start-ms",
            "Start, in milliseconds since the Unix epoch",
        ))
        .arg(time(
            "deadline-ms",
            "Time by which all traffic shall have moved, in milliseconds since the Unix epoch",
        ))
}

fn status() -> Command {
    Command::new("status")
        .about("Shows fleet, budgets, rollouts and log lag as one router sees them")
        .after_help(EXIT_CODES)
        .arg(admin())
        .arg(timeout())
        .arg(output())
}

fn explain() -> Command {
    let subject = |name: &'static str, about: &'static str, value: &'static str| {
        let subject = Arg::new("subject").value_name(value).required(true);
        let subject = if name == "request" {
            subject.value_parser(request_key)
        } else {
            subject.value_parser(path_segment)
        };
        Command::new(name)
            .about(about)
            .after_help(EXIT_CODES)
            .arg(subject)
            .arg(admin())
            .arg(timeout())
            .arg(output())
    };
    Command::new("explain")
        .about("Says what was decided, when and on what evidence")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(subject(
            "request",
            "Explains one request: where it went, whether it ran, what was billed",
            "REQUEST_KEY",
        ))
        .subcommand(subject(
            "budget",
            "Explains a customer's budget: who holds which part of it",
            "CUSTOMER",
        ))
        .subcommand(subject(
            "rollout",
            "Explains a version rollout: its steps, and why it ended or was rolled back",
            "ROLLOUT",
        ))
}

fn file(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn admin() -> Arg {
    Arg::new("admin")
        .long("admin")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .required(true)
        .help("Admin address of a router")
}

fn timeout() -> Arg {
    Arg::new("timeout-ms")
        .long("timeout-ms")
        .value_name("MS")
        .value_parser(value_parser!(u64).range(1..=600_000))
        .default_value(DEFAULT_TIMEOUT_MS)
        .help("Bound on the whole command, in milliseconds")
}

fn output() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORM")
        .value_parser(["text", "json"])
        .default_value("text")
        .help("Form of the report")
}

/// Accepts a request key, as responses carry it.
fn request_key(text: &str) -> Result<String, String> {
    match RequestKey::try_from(text.to_owned()) {
        Ok(key) => Ok(key.to_string()),
        Err(_) => Err("expected up to 32 hexadecimal digits".into()),
    }
}

/// Accepts a name that can stand in a path.
fn path_segment(text: &str) -> Result<String, String> {
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
