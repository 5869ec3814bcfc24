//! Shapes of contracts and configurations, and the relations between their fields.

use std::collections::BTreeMap;

use serde_json::Value;

use super::{Configuration, Contract, ContractFile};
use crate::validation::{
    field, items, list, list_of, texts, Document, Error, Findings, Kind, Shape,
};

/// Shares are counted in parts of this number.
const PPM: u64 = 1_000_000;

/// Largest prepaid total, so that sums over a fleet's customers stay within 64 bits.
const PREPAID_TOKENS_MAX: u64 = 1_000_000_000_000_000;

/// Longest time limit of a response or a call, in milliseconds: one hour.
const TIME_LIMIT_MS_MAX: u64 = 3_600_000;

/// Largest response of one request, in tokens.
const OUTPUT_TOKENS_MAX: u64 = 1_000_000;

/// Largest charge of one call, in tokens.
const CHARGE_TOKENS_MAX: u64 = 1_000_000_000;

const CONTRACT: Shape = Shape(&[
    field("customer", Kind::Name),
    field("api_key_sha256", list_of(&Kind::Hash)),
    field(
        "prepaid_total_tokens",
        Kind::Integer {
            min: 0,
            max: PREPAID_TOKENS_MAX,
            unit: "tokens",
        },
    ),
    field(
        "window_ppm",
        Kind::Integer {
            min: 1,
            max: PPM,
            unit: "parts per million",
        },
    )
    .optional(),
    field("priority", Kind::Choice(&["high", "normal", "low"])),
    field("response_time_limit_ms", time_limit()),
    field("models", list(&ALLOWED_MODEL, 0)),
    field("services", list_of(&Kind::Name)).optional(),
]);

const ALLOWED_MODEL: Shape = Shape(&[
    field("model", Kind::Name),
    field("versions", list_of(&Kind::VersionName)).optional(),
]);

const CONTRACT_FILE: Shape = Shape(&[field("contracts", list(&CONTRACT, 1))]);

const CONFIGURATION: Shape = Shape(&[
    field("models", list(&MODEL_ROUTE, 0)),
    field("services", list(&SERVICE_ROUTE, 0)).optional(),
    field("upstreams", list(&UPSTREAM, 0)),
]);

const MODEL_ROUTE: Shape = Shape(&[
    field("name", Kind::Name),
    field("version", Kind::VersionName),
    field(
        "max_output_tokens",
        Kind::Integer {
            min: 1,
            max: OUTPUT_TOKENS_MAX,
            unit: "tokens",
        },
    ),
]);

const SERVICE_ROUTE: Shape = Shape(&[
    field("name", Kind::Name),
    field("version", Kind::VersionName),
    field("repeatable", Kind::Boolean),
    field("timeout_ms", time_limit()),
    field(
        "charge_tokens",
        Kind::Integer {
            min: 0,
            max: CHARGE_TOKENS_MAX,
            unit: "tokens",
        },
    )
    .optional(),
]);

const UPSTREAM: Shape = Shape(&[
    field("name", Kind::Name),
    field("address", Kind::Address),
    field("data_centre", Kind::Name),
    field("kind", Kind::Choice(&["engine", "service"])),
    field("serves", Kind::Name),
    field("version", Kind::VersionName),
    field(
        "capacity_requests",
        Kind::Integer {
            min: 1,
            max: 100_000,
            unit: "requests",
        },
    ),
    field(
        "tokens_per_second",
        Kind::Integer {
            min: 0,
            max: 10_000_000,
            unit: "tokens per second",
        },
    )
    .optional(),
    field("checks_fencing", Kind::Boolean).optional(),
]);

const fn time_limit() -> Kind {
    Kind::Integer {
        min: 1,
        max: TIME_LIMIT_MS_MAX,
        unit: "milliseconds",
    }
}

/// Returns the part of a prepaid total that a share allows, rounded down.
pub(super) fn window_tokens(prepaid_total_tokens: u64, window_ppm: u32) -> u64 {
    let tokens = u128::from(prepaid_total_tokens) * u128::from(window_ppm) / u128::from(PPM);
    u64::try_from(tokens).unwrap_or(u64::MAX)
}

impl Document for Contract {
    const SHAPE: &'static Shape = &CONTRACT;

    fn relate(value: &Value, findings: &mut Findings) {
        relate_contract("", value, findings);
    }
}

impl Document for ContractFile {
    const SHAPE: &'static Shape = &CONTRACT_FILE;

    fn relate(value: &Value, findings: &mut Findings) {
        let contracts = items(value, "contracts");
        for (index, contract) in contracts.iter().enumerate() {
            relate_contract(&format!("contracts[{index}]."), contract, findings);
        }
        findings.add_duplicates(
            texts(value, "contracts", "customer"),
            "one contract for each customer",
        );
        let hashes = contracts.iter().enumerate().flat_map(|(index, contract)| {
            plain_texts(&format!("contracts[{index}]."), contract, "api_key_sha256")
        });
        findings.add_duplicates(hashes, "a key that belongs to one customer");
    }
}

impl Document for Configuration {
    const SHAPE: &'static Shape = &CONFIGURATION;

    fn relate(value: &Value, findings: &mut Findings) {
        let names = texts(value, "models", "name")
            .into_iter()
            .chain(texts(value, "services", "name"));
        findings.add_duplicates(names, "a name that no other model or service has");
        findings.add_duplicates(
            texts(value, "upstreams", "name"),
            "a name that no other upstream has",
        );
        relate_addresses(value, findings);
        for (index, upstream) in items(value, "upstreams").iter().enumerate() {
            relate_upstream(&format!("upstreams[{index}]"), upstream, value, findings);
        }
    }
}

fn relate_contract(prefix: &str, contract: &Value, findings: &mut Findings) {
    findings.add_duplicates(
        texts(contract, "models", "model")
            .into_iter()
            .map(|(path, text)| (format!("{prefix}{path}"), text)),
        "each model once",
    );
    findings.add_duplicates(
        plain_texts(prefix, contract, "services"),
        "each service once",
    );
    if prefix.is_empty() {
        findings.add_duplicates(
            plain_texts(prefix, contract, "api_key_sha256"),
            "each key once",
        );
    }
    relate_window(prefix, contract, findings);
}

/// Rejects a window of less than one token, with which no request could ever reserve anything.
fn relate_window(prefix: &str, contract: &Value, findings: &mut Findings) {
    let Some(total_tokens) = contract
        .get("prepaid_total_tokens")
        .and_then(Value::as_u64)
        .filter(|&total| (1..=PREPAID_TOKENS_MAX).contains(&total))
    else {
        return;
    };
    let Some(window) = contract.get("window_ppm") else {
        return;
    };
    let ppm = window.as_u64().filter(|ppm| (1..=PPM).contains(ppm));
    let Some(ppm) = ppm.and_then(|ppm| u32::try_from(ppm).ok()) else {
        return;
    };
    if window_tokens(total_tokens, ppm) == 0 {
        let least_ppm = PPM.div_ceil(total_tokens);
        findings.add(
            format!("{prefix}window_ppm"),
            window,
            format!("at least {least_ppm}, which is one of {total_tokens} prepaid tokens"),
        );
    }
}

/// Rejects two upstreams at one address that serve the same, because their capacity would count twice.
fn relate_addresses(value: &Value, findings: &mut Findings) {
    let mut seen = BTreeMap::new();
    for (index, upstream) in items(value, "upstreams").iter().enumerate() {
        let (Some(address), Some(serves)) = (
            upstream.get("address").and_then(Value::as_str),
            upstream.get("serves").and_then(Value::as_str),
        ) else {
            continue;
        };
        if let Some(first) = seen.get(&(address, serves)) {
            findings.add(
                format!("upstreams[{index}].address"),
                &Value::from(address),
                format!("one upstream at an address for {serves}; upstreams[{first}] has the same"),
            );
        } else {
            seen.insert((address, serves), index);
        }
    }
}

fn relate_upstream(path: &str, upstream: &Value, value: &Value, findings: &mut Findings) {
    let (routes, rate) = match upstream.get("kind").and_then(Value::as_str) {
        Some("engine") => ("models", 1..=u64::MAX),
        Some("service") => ("services", 0..=0),
        _ => return,
    };
    if let Some(serves) = upstream.get("serves").filter(|serves| serves.is_string()) {
        let known = texts(value, routes, "name");
        if !known.iter().any(|(_, name)| serves == name) {
            findings.add(
                format!("{path}.serves"),
                serves,
                format!("a name in {routes}"),
            );
        }
    }
    let zero = Value::from(0);
    let tokens_per_second = upstream.get("tokens_per_second").unwrap_or(&zero);
    if tokens_per_second
        .as_u64()
        .is_some_and(|tokens| !rate.contains(&tokens))
    {
        let allowed = match routes {
            "models" => "more than 0 for an engine",
            _ => "0 or nothing for a service",
        };
        findings.add(
            format!("{path}.tokens_per_second"),
            tokens_per_second,
            allowed,
        );
    }
}

/// Reports what the contracts name and the configuration lacks.
pub(super) fn relate_files(
    file: &ContractFile,
    configuration: &Configuration,
) -> Result<(), Error> {
    let mut findings = Findings::default();
    for (index, contract) in file.contracts.iter().enumerate() {
        for (item, allowed) in contract.models.iter().enumerate() {
            let path = format!("contracts[{index}].models[{item}]");
            relate_allowed_model(&path, allowed, configuration, &mut findings);
        }
        for (item, service) in contract.services.iter().enumerate() {
            if !configuration.services.iter().any(|r| r.name == *service) {
                findings.add(
                    format!("contracts[{index}].services[{item}]"),
                    &Value::from(service.as_str()),
                    "a service of the configuration",
                );
            }
        }
    }
    findings.into_result()
}

fn relate_allowed_model(
    path: &str,
    allowed: &super::AllowedModel,
    configuration: &Configuration,
    findings: &mut Findings,
) {
    let model = allowed.model.as_str();
    if !configuration.models.iter().any(|route| route.name == model) {
        findings.add(
            format!("{path}.model"),
            &Value::from(model),
            "a model of the configuration",
        );
        return;
    }
    for (index, version) in allowed.versions.iter().enumerate() {
        let is_known = configuration
            .upstreams
            .iter()
            .any(|upstream| upstream.serves == model && upstream.version == *version);
        if !is_known {
            findings.add(
                format!("{path}.versions[{index}]"),
                &Value::from(version.as_str()),
                "a version that an upstream of the model has loaded",
            );
        }
    }
}

fn plain_texts<'a>(prefix: &str, value: &'a Value, key: &str) -> Vec<(String, &'a str)> {
    items(value, key)
        .iter()
        .enumerate()
        .filter_map(|(index, item)| Some((format!("{prefix}{key}[{index}]"), item.as_str()?)))
        .collect()
}
