//! The `publish` command.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ArgMatches;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

use super::{publish, Error, PublishOutcome};
use crate::cli::{self, CommandOutput, ExitCode, OutputFormat};
use crate::contract::{Configuration, Contract, ContractFile};
use crate::ids::IncarnationId;
use crate::log_client::LogClient;
use crate::record::{ConfigurationEntry, ContractEntry, Entry, Rollout};
use crate::validation;

/// VM name that operator commands send to the log service.
const OPERATOR_VM: &str = "operator";

/// Time limit of one call to the log, so that time is left to search for the record after a lost response.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// A change to publish, with its description for the report.
struct ChangeRequest {
    subject: String,
    revision: u64,
    entry: Entry,
}

/// Runs the `publish` command.
pub fn run(arguments: &ArgMatches) -> CommandOutput {
    let Some((kind, arguments)) = arguments.subcommand() else {
        return CommandOutput::failure(
            ExitCode::InvalidInput,
            vec!["expected one of contract, configuration, rollout".into()],
        );
    };
    let replaces = cli::u64_argument(arguments, "replaces");
    let change = match kind {
        "contract" => contract_change(arguments, replaces),
        "configuration" => configuration_change(arguments, replaces),
        _ => rollout_change(arguments, replaces),
    };
    let change = match change {
        Ok(change) => change,
        Err(errors) => return CommandOutput::failure(ExitCode::InvalidInput, errors),
    };
    let Some(log) = arguments.get_one::<SocketAddr>("log") else {
        return CommandOutput::failure(ExitCode::InvalidInput, vec!["--log is missing".into()]);
    };
    let timeout_ms = cli::u64_argument(arguments, "timeout-ms");
    let call_timeout = Duration::from_millis(CALL_TIMEOUT_MS.min(timeout_ms));
    let writer = IncarnationId(Pcg64Mcg::from_os_rng().random());
    let entry = change.entry.clone();
    let result = cli::block_on(async {
        let client = LogClient::new(&log.to_string(), OPERATOR_VM, call_timeout);
        publish(&client, writer, entry, Duration::from_millis(timeout_ms)).await
    });
    match result {
        Ok(result) => report(&change, result, cli::output_format(arguments)),
        Err(message) => CommandOutput::failure(ExitCode::Failure, vec![message]),
    }
}

fn contract_change(arguments: &ArgMatches, replaces: u64) -> Result<ChangeRequest, Vec<String>> {
    let path = cli::path_argument(arguments, "file");
    let file = load(&path, ContractFile::from_yaml)?;
    let contract = select_contract(&path, &file, arguments.get_one::<String>("customer"))?;
    Ok(ChangeRequest {
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

/// Returns the contract of the given customer, or the only contract of the file.
fn select_contract<'a>(
    path: &Path,
    file: &'a ContractFile,
    customer: Option<&String>,
) -> Result<&'a Contract, Vec<String>> {
    let name = path.display();
    match (customer, file.contracts.as_slice()) {
        (Some(customer), contracts) => contracts
            .iter()
            .find(|contract| contract.customer == customer.as_str())
            .ok_or_else(|| vec![format!("{name}: no contract for customer {customer}")]),
        (None, [contract]) => Ok(contract),
        (None, contracts) => Err(vec![format!(
            "{name}: has {} contracts; select one with --customer",
            contracts.len()
        )]),
    }
}

fn configuration_change(
    arguments: &ArgMatches,
    replaces: u64,
) -> Result<ChangeRequest, Vec<String>> {
    let configuration = load(
        &cli::path_argument(arguments, "file"),
        Configuration::from_yaml,
    )?;
    Ok(ChangeRequest {
        subject: "configuration".into(),
        revision: replaces.saturating_add(1),
        entry: Entry::Configuration(ConfigurationEntry {
            revision: replaces.saturating_add(1),
            replaces,
            body_json: to_json(&configuration)?,
        }),
    })
}

fn rollout_change(arguments: &ArgMatches, replaces: u64) -> Result<ChangeRequest, Vec<String>> {
    let start_ms = cli::u64_argument(arguments, "start-ms");
    let deadline_ms = cli::u64_argument(arguments, "deadline-ms");
    let text = |name| cli::string_argument(arguments, name).to_owned();
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
    Ok(ChangeRequest {
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

fn report(
    change: &ChangeRequest,
    result: Result<PublishOutcome, Error>,
    format: OutputFormat,
) -> CommandOutput {
    let outcome = match result {
        Ok(outcome) => outcome,
        Err(error) => {
            let code = match error {
                Error::TooLarge(_) => ExitCode::InvalidInput,
                _ => ExitCode::Failure,
            };
            return CommandOutput::failure(code, vec![format!("{}: {error}", change.subject)]);
        }
    };
    let errors: Vec<_> = outcome
        .rejection
        .iter()
        .map(|reason| format!("{}: rejected: {reason}", change.subject))
        .collect();
    let text = match format {
        OutputFormat::Json => json!({
            "subject": change.subject,
            "revision": change.revision,
            "accepted": outcome.rejection.is_none(),
            "reason": outcome.rejection,
            "offset": outcome.offset,
            "appends": outcome.appends,
        })
        .to_string(),
        OutputFormat::Text if errors.is_empty() => format!(
            "{}: revision {} accepted at offset {}",
            change.subject, change.revision, outcome.offset
        ),
        OutputFormat::Text => String::new(),
    };
    CommandOutput {
        code: if errors.is_empty() {
            ExitCode::Success
        } else {
            ExitCode::Rejected
        },
        stdout: text,
        errors,
    }
}
