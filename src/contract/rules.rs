//! Schemas of contracts and configurations, and the rules that relate several fields.

use std::collections::BTreeMap;

use serde_json::Value;

use super::{Configuration, Contract, ContractFile};
use crate::validation::{
    field, list_items, object_list, string_fields, value_list, Document, Error, FieldType,
    ProblemCollector, Schema,
};

/// The whole, in parts per million.
const PPM: u64 = 1_000_000;

/// Largest prepaid total, so that sums over a fleet's customers fit into 64 bits.
const PREPAID_TOKENS_MAX: u64 = 1_000_000_000_000_000;

/// Longest time limit for a response or a call, in milliseconds: one hour.
const TIME_LIMIT_MS_MAX: u64 = 3_600_000;

/// Largest response of one request, in tokens.
const OUTPUT_TOKENS_MAX: u64 = 1_000_000;

/// Largest charge of one call, in tokens.
const CHARGE_TOKENS_MAX: u64 = 1_000_000_000;

const CONTRACT: Schema = Schema(&[
    field("customer", FieldType::Name),
    field("api_key_sha256", value_list(&FieldType::Sha256)),
    field(
        "prepaid_total_tokens",
        FieldType::Integer {
            min: 0,
            max: PREPAID_TOKENS_MAX,
            unit: "tokens",
        },
    ),
    field(
        "window_ppm",
        FieldType::Integer {
            min: 1,
            max: PPM,
            unit: "parts per million",
        },
    )
    .optional(),
    field("priority", FieldType::OneOf(&["high", "normal", "low"])),
    field("response_time_limit_ms", time_limit()),
    field("models", object_list(&ALLOWED_MODEL, 0)),
    field("services", value_list(&FieldType::Name)).optional(),
]);

const ALLOWED_MODEL: Schema = Schema(&[
    field("model", FieldType::Name),
    field("versions", value_list(&FieldType::VersionName)).optional(),
]);

const CONTRACT_FILE: Schema = Schema(&[field("contracts", object_list(&CONTRACT, 1))]);

const CONFIGURATION: Schema = Schema(&[
    field("models", object_list(&MODEL_ROUTE, 0)),
    field("services", object_list(&SERVICE_ROUTE, 0)).optional(),
    field("upstreams", object_list(&UPSTREAM, 0)),
]);

const MODEL_ROUTE: Schema = Schema(&[
    field("name", FieldType::Name),
    field("version", FieldType::VersionName),
    field(
        "max_output_tokens",
        FieldType::Integer {
            min: 1,
            max: OUTPUT_TOKENS_MAX,
            unit: "tokens",
        },
    ),
]);

const SERVICE_ROUTE: Schema = Schema(&[
    field("name", FieldType::Name),
    field("version", FieldType::VersionName),
    field("repeatable", FieldType::Boolean),
    field("timeout_ms", time_limit()),
    field(
        "charge_tokens",
        FieldType::Integer {
            min: 0,
            max: CHARGE_TOKENS_MAX,
            unit: "tokens",
        },
    )
    .optional(),
]);

const UPSTREAM: Schema = Schema(&[
    field("name", FieldType::Name),
    field("address", FieldType::Address),
    field("data_centre", FieldType::Name),
    field("kind", FieldType::OneOf(&["engine", "service"])),
    field("serves", FieldType::Name),
    field("version", FieldType::VersionName),
    field(
        "capacity_requests",
        FieldType::Integer {
            min: 1,
            max: 100_000,
            unit: "requests",
        },
    ),
    field(
        "tokens_per_second",
        FieldType::Integer {
            min: 0,
            max: 10_000_000,
            unit: "tokens per second",
        },
    )
    .optional(),
    field("checks_fencing", FieldType::Boolean).optional(),
]);

const fn time_limit() -> FieldType {
    FieldType::Integer {
        min: 1,
        max: TIME_LIMIT_MS_MAX,
        unit: "milliseconds",
    }
}

/// Returns a share of a prepaid total, rounded down.
pub(super) fn window_tokens(prepaid_total_tokens: u64, window_ppm: u32) -> u64 {
    let tokens = u128::from(prepaid_total_tokens) * u128::from(window_ppm) / u128::from(PPM);
    u64::try_from(tokens).unwrap_or(u64::MAX)
}

impl Document for Contract {
    const SCHEMA: &'static Schema = &CONTRACT;

    fn check_relations(value: &Value, problems: &mut ProblemCollector) {
        check_contract("", value, problems);
    }
}

impl Document for ContractFile {
    const SCHEMA: &'static Schema = &CONTRACT_FILE;

    fn check_relations(value: &Value, problems: &mut ProblemCollector) {
        let contracts = list_items(value, "contracts");
        for (index, contract) in contracts.iter().enumerate() {
            check_contract(&format!("contracts[{index}]."), contract, problems);
        }
        problems.add_duplicates(
            string_fields(value, "contracts", "customer"),
            "one contract for each customer",
        );
        let hashes = contracts.iter().enumerate().flat_map(|(index, contract)| {
            string_items(&format!("contracts[{index}]."), contract, "api_key_sha256")
        });
        problems.add_duplicates(hashes, "a key that belongs to one customer");
    }
}

impl Document for Configuration {
    const SCHEMA: &'static Schema = &CONFIGURATION;

    fn check_relations(value: &Value, problems: &mut ProblemCollector) {
        let names = string_fields(value, "models", "name")
            .into_iter()
            .chain(string_fields(value, "services", "name"));
        problems.add_duplicates(names, "a name that no other model or service has");
        problems.add_duplicates(
            string_fields(value, "upstreams", "name"),
            "a name that no other upstream has",
        );
        check_addresses(value, problems);
        for (index, upstream) in list_items(value, "upstreams").iter().enumerate() {
            check_upstream(&format!("upstreams[{index}]"), upstream, value, problems);
        }
    }
}

fn check_contract(prefix: &str, contract: &Value, problems: &mut ProblemCollector) {
    problems.add_duplicates(
        string_fields(contract, "models", "model")
            .into_iter()
            .map(|(path, text)| (format!("{prefix}{path}"), text)),
        "each model once",
    );
    problems.add_duplicates(
        string_items(prefix, contract, "services"),
        "each service once",
    );
    if prefix.is_empty() {
        problems.add_duplicates(
            string_items(prefix, contract, "api_key_sha256"),
            "each key once",
        );
    }
    check_window(prefix, contract, problems);
}

/// Rejects a window of less than one token, which would make every reservation fail.
fn check_window(prefix: &str, contract: &Value, problems: &mut ProblemCollector) {
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
        let min_ppm = PPM.div_ceil(total_tokens);
        problems.add(
            format!("{prefix}window_ppm"),
            window,
            format!("at least {min_ppm}, which is one of {total_tokens} prepaid tokens"),
        );
    }
}

/// Rejects two upstreams with the same address that serve the same name: the capacity would be counted twice.
fn check_addresses(value: &Value, problems: &mut ProblemCollector) {
    let mut seen = BTreeMap::new();
    for (index, upstream) in list_items(value, "upstreams").iter().enumerate() {
        let (Some(address), Some(serves)) = (
            upstream.get("address").and_then(Value::as_str),
            upstream.get("serves").and_then(Value::as_str),
        ) else {
            continue;
        };
        if let Some(first) = seen.get(&(address, serves)) {
            problems.add(
                format!("upstreams[{index}].address"),
                &Value::from(address),
                format!("one upstream at an address for {serves}; upstreams[{first}] has the same"),
            );
        } else {
            seen.insert((address, serves), index);
        }
    }
}

fn check_upstream(path: &str, upstream: &Value, value: &Value, problems: &mut ProblemCollector) {
    let (routes, rate) = match upstream.get("kind").and_then(Value::as_str) {
        Some("engine") => ("models", 1..=u64::MAX),
        Some("service") => ("services", 0..=0),
        _ => return,
    };
    if let Some(serves) = upstream.get("serves").filter(|serves| serves.is_string()) {
        let known = string_fields(value, routes, "name");
        if !known.iter().any(|(_, name)| serves == name) {
            problems.add(
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
        problems.add(
            format!("{path}.tokens_per_second"),
            tokens_per_second,
            allowed,
        );
    }
}

/// Reports models, versions and services that the contracts name but the configuration does not contain.
pub(super) fn check_references(
    file: &ContractFile,
    configuration: &Configuration,
) -> Result<(), Error> {
    let mut problems = ProblemCollector::default();
    for (index, contract) in file.contracts.iter().enumerate() {
        for (item, allowed) in contract.models.iter().enumerate() {
            let path = format!("contracts[{index}].models[{item}]");
            check_allowed_model(&path, allowed, configuration, &mut problems);
        }
        for (item, service) in contract.services.iter().enumerate() {
            if !configuration.services.iter().any(|r| r.name == *service) {
                problems.add(
                    format!("contracts[{index}].services[{item}]"),
                    &Value::from(service.as_str()),
                    "a service of the configuration",
                );
            }
        }
    }
    problems.into_result()
}

fn check_allowed_model(
    path: &str,
    allowed: &super::AllowedModel,
    configuration: &Configuration,
    problems: &mut ProblemCollector,
) {
    let model = allowed.model.as_str();
    if !configuration.models.iter().any(|route| route.name == model) {
        problems.add(
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
            problems.add(
                format!("{path}.versions[{index}]"),
                &Value::from(version.as_str()),
                "a version that an upstream of the model has loaded",
            );
        }
    }
}

fn string_items<'a>(prefix: &str, value: &'a Value, key: &str) -> Vec<(String, &'a str)> {
    list_items(value, key)
        .iter()
        .enumerate()
        .filter_map(|(index, item)| Some((format!("{prefix}{key}[{index}]"), item.as_str()?)))
        .collect()
}
