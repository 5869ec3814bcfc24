//! The `check` command, which validates files.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use serde_json::json;

use super::{output_format, CommandOutput, ExitCode, OutputFormat};
use crate::contract::{Configuration, ContractFile};
use crate::settings::Settings;
use crate::validation::Error;

/// Validates the given files and reports every problem.
pub(super) fn run(arguments: &ArgMatches) -> CommandOutput {
    let mut valid = Vec::new();
    let mut problems = Vec::new();
    let paths = arguments.get_many::<PathBuf>("settings");
    let mut routers = Vec::new();
    for path in paths.into_iter().flatten() {
        let settings = load(path, Settings::from_yaml, &mut valid, &mut problems);
        routers.extend(settings.map(|settings| (path.display().to_string(), settings)));
    }
    problems.extend(find_shared_ids(&routers));
    let configuration = arguments
        .get_one::<PathBuf>("configuration")
        .and_then(|path| load(path, Configuration::from_yaml, &mut valid, &mut problems));
    if let Some(path) = arguments.get_one::<PathBuf>("contracts") {
        let contracts = load(path, ContractFile::from_yaml, &mut valid, &mut problems);
        if let (Some(contracts), Some(configuration)) = (contracts, configuration) {
            if let Err(error) = contracts.validate_against(&configuration) {
                problems.extend(error.messages(&path.display().to_string()));
            }
        }
    }
    report(output_format(arguments), &valid, problems)
}

fn load<T>(
    path: &Path,
    parse: impl Fn(&str) -> Result<T, Error>,
    valid: &mut Vec<String>,
    problems: &mut Vec<String>,
) -> Option<T> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| Error::Read(error.to_string()));
    match text.and_then(|text| parse(&text)) {
        Ok(document) => {
            valid.push(name);
            Some(document)
        }
        Err(error) => {
            problems.extend(error.messages(&name));
            None
        }
    }
}

/// Returns one message for each VM name and each listen address that more than one router would use.
fn find_shared_ids(routers: &[(String, Settings)]) -> Vec<String> {
    let mut seen = BTreeMap::new();
    let mut problems = Vec::new();
    for (file, settings) in routers {
        let listen = &settings.listen;
        let addresses = [
            ("listen.callers", &listen.callers),
            ("listen.admin", &listen.admin),
            ("listen.peers", &listen.peers),
        ];
        // For port 0 the kernel chooses a free port, so these addresses do not conflict.
        let fixed = addresses.into_iter().filter(|(_, a)| !a.ends_with(":0"));
        for (field, value) in std::iter::once(("vm", &settings.vm)).chain(fixed) {
            match seen.get(value) {
                Some(first) => problems.push(format!(
                    "{file}: {field}: \"{value}\" is not allowed; expected one that no other router uses; \
                     {first} uses the same"
                )),
                None => {
                    seen.insert(value, file);
                }
            }
        }
    }
    problems
}

fn report(format: OutputFormat, valid: &[String], problems: Vec<String>) -> CommandOutput {
    let code = if problems.is_empty() {
        ExitCode::Success
    } else {
        ExitCode::InvalidInput
    };
    let stdout = match format {
        OutputFormat::Json => json!({ "valid": valid, "problems": problems }).to_string(),
        OutputFormat::Text => {
            let lines: Vec<_> = valid.iter().map(|name| format!("{name}: valid")).collect();
            lines.join("\n")
        }
    };
    CommandOutput {
        code,
        stdout,
        errors: problems,
    }
}
