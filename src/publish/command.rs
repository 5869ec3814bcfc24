//! The `publish` command.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ArgMatches;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::{publish, Decision, Error};
use crate::cli::{self, ExitCode, Output, Report};
use crate::contract::{Configuration, Contract, ContractFile};
use crate::ids::IncarnationId;
use crate::log_client::LogClient;
use crate::record::{ConfigurationEntry, ContractEntry, Entry, Rollout};
use crate::validation;

/// Name by which an operator's command shows itself to the log service.
const OPERATOR_VM: &str = "operator";

/// Bound on one call to the log, so that a lost response leaves time to look for the record.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// A change to publish.
struct Change {
    subject: String,
    revision: u64,
    entry: Entry,
}

/// Runs the command.
pub fn run(arguments: &ArgMatches) -> Report {
    let Some((kind, arguments)) = arguments.subcommand() else {
        return Report::error(
            ExitCode::InvalidInput,
            vec!["expected what to publish".into()],
        );
    };
    let replaces = cli::number(arguments, "replaces");
    let change = match kind {
        "contract" => contract(arguments, replaces),
        "configuration" => configuration(arguments, replaces),
        _ => rollout(arguments, replaces),
    };
    let change = match change {
        Ok(change) => change,
        Err(errors) => return Report::error(ExitCode::InvalidInput, errors),
    };
    let Some(log) = arguments.get_one::<SocketAddr>("log") else {
        return Report::error(ExitCode::InvalidInput, vec!["--log is missing".into()]);
    };
    let limit_ms = cli::number(arguments, "timeout-ms");
    let call_timeout = Duration::from_millis(CALL_TIMEOUT_MS.min(limit_ms));
    let writer = IncarnationId(Pcg64Mcg::from_os_rng().random());
    let entry = change.entry.clone();
    let result = cli::block_on(async {
        let client = LogClient::new(&log.to_string(), OPERATOR_VM, call_timeout);
        publish(&client, writer, entry, Duration::from_millis(limit_ms)).await
    });
    match result {
        Ok(result) => report(&change, result, cli::output(arguments)),
        Err(message) => Report::error(ExitCode::Failed, vec![message]),
    }
}

fn contract(arguments: &ArgMatches, replaces: u64) -> Result<Change, Vec<String>> {
    let path = cli::path(arguments, "file");
    let file = load(&path, ContractFile::from_yaml)?;
    let contract = select(&path, &file, arguments.get_one::<String>("customer"))?;
    Ok(Change {
        subject: format!("contract of {}", contract.customer),
        revision: replaces.saturating_add(1),
        entry: Entry::Contract(ContractEntry {
            customer: contract.customer.to_string(),
            revision: replaces.saturating_add(1),
            replaces,
            body_json: to_json(contract)?,
        }),
    })
}

/// Returns the contract of the named customer, or the only one.
fn select<'a>(
    path: &Path,
    file: &'a ContractFile,
    customer: Option<&String>,
) -> Result<&'a Contract, Vec<String>> {
    let name = path.display();
    match (customer, file.contracts.as_slice()) {
        (Some(customer), contracts) => contracts
            .iter()
            .find(|contract| contract.customer == customer.as_str())
            .ok_or_else(|| vec![format!("{name}: no contract of customer {customer}")]),
        (None, [contract]) => Ok(contract),
        (None, contracts) => Err(vec![format!(
            "{name}: has {} contracts; name one with --customer",
            contracts.len()
        )]),
    }
}

fn configuration(arguments: &ArgMatches, replaces: u64) -> Result<Change, Vec<String>> {
    let configuration = load(&cli::path(arguments, "file"), Configuration::from_yaml)?;
    Ok(Change {
        subject: "configuration".into(),
        revision: replaces.saturating_add(1),
        entry: Entry::Configuration(ConfigurationEntry {
            revision: replaces.saturating_add(1),
            replaces,
            body_json: to_json(&configuration)?,
        }),
    })
}

fn rollout(arguments: &ArgMatches, replaces: u64) -> Result<Change, Vec<String>> {
    let start_ms = cli::number(arguments, "start-ms");
    let deadline_ms = cli::number(arguments, "deadline-ms");
    let text = |name| cli::text(arguments, name).to_owned();
    let mut errors = Vec::new();
    if deadline_ms <= start_ms {
        errors.push(format!(
            "--deadline-ms: {deadline_ms} is not allowed; expected a time after --start-ms, {start_ms}"
        ));
    }
    if text("from") == text("to") {
        errors.push(format!(
            "--to: {} is not allowed; expected a version other than --from",
            text("to")
        ));
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    Ok(Change {
        subject: format!("rollout {}", text("id")),
        revision: replaces.saturating_add(1),
        entry: Entry::Rollout(Rollout {
            id: text("id"),
            model: text("model"),
            from_version: text("from"),
            to_version: text("to"),
            start_ms,
            deadline_ms,
            revision: replaces.saturating_add(1),
            replaces,
        }),
    })
}

fn load<T>(
    path: &PathBuf,
    parse: impl Fn(&str) -> Result<T, validation::Error>,
) -> Result<T, Vec<String>> {
    let text =
        std::fs::read_to_string(path).map_err(|error| validation::Error::Read(error.to_string()));
    text.and_then(|text| parse(&text))
        .map_err(|error| error.messages(&path.display().to_string()))
}

fn to_json(body: &impl serde::Serialize) -> Result<Vec<u8>, Vec<String>> {
    serde_json::to_vec(body).map_err(|error| vec![error.to_string()])
}

fn report(change: &Change, result: Result<Decision, Error>, output: Output) -> Report {
    let decision = match result {
        Ok(decision) => decision,
        Err(error) => {
            let code = match error {
                Error::TooLarge(_) => ExitCode::InvalidInput,
                _ => ExitCode::Failed,
            };
            return Report::error(code, vec![format!("{}: {error}", change.subject)]);
        }
    };
    let errors: Vec<_> = decision
        .rejection
        .iter()
        .map(|reason| format!("{}: rejected: {reason}", change.subject))
        .collect();
    let text = match output {
        Output::Json => json!({
            "subject": change.subject,
            "revision": change.revision,
            "accepted": decision.rejection.is_none(),
            "reason": decision.rejection,
            "offset": decision.offset,
            "appends": decision.appends,
        })
        .to_string(),
        Output::Text if errors.is_empty() => format!(
            "{}: revision {} accepted at offset {}",
            change.subject, change.revision, decision.offset
        ),
        Output::Text => String::new(),
    };
    Report {
        code: if errors.is_empty() {
            ExitCode::Done
        } else {
            ExitCode::Rejected
        },
        output: text,
        errors,
    }
}
