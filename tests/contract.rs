//! Tests of the validation of contracts and configurations.

use monsoonfield::contract::{Configuration, Contract, ContractFile};
use monsoonfield::validation::Error;
use serde_json::{json, Value};

const HASH: &str = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824";

fn contract() -> Value {
    json!({
        "customer": "team-1",
        "api_key_sha256": [HASH],
        "prepaid_total_tokens": 1_000_000,
        "window_ppm": 10_000,
        "priority": "normal",
        "response_time_limit_ms": 60_000,
        "models": [{"model": "quote-8b", "versions": ["quote-8b:1"]}],
        "services": ["payment"],
    })
}

fn configuration() -> Value {
    json!({
        "models": [{"name": "quote-8b", "version": "quote-8b:1", "max_output_tokens": 2000}],
        "services": [{"name": "payment", "version": "1", "repeatable": false, "timeout_ms": 5000}],
        "upstreams": [
            {
                "name": "engine-1", "address": "10.0.0.1:8000", "data_centre": "kl-1", "kind": "engine",
                "serves": "quote-8b", "version": "quote-8b:1", "capacity_requests": 32, "tokens_per_second": 2000,
            },
            {
                "name": "desk-1", "address": "10.0.0.2:8000", "data_centre": "kl-1", "kind": "service",
                "serves": "payment", "version": "1", "capacity_requests": 16,
            },
        ],
    })
}

/// Sets the value at a JSON pointer, or removes it.
fn with(mut document: Value, pointer: &str, value: Option<Value>) -> Value {
    let (parent, name) = pointer.rsplit_once('/').expect("a pointer has a slash");
    let parent = document.pointer_mut(parent).expect("the parent exists");
    match (parent, value) {
        (Value::Object(object), Some(value)) => {
            object.insert(name.into(), value);
        }
        (Value::Object(object), None) => {
            object.remove(name);
        }
        (Value::Array(list), Some(value)) => list.push(value),
        (other, _) => panic!("{other} has no {name}"),
    }
    document
}

fn bytes(document: &Value) -> Vec<u8> {
    document.to_string().into_bytes()
}

/// Returns the message of a validation error with exactly one problem.
fn only_problem(result: Result<(), Error>) -> String {
    match result {
        Err(Error::InvalidFields(problems)) if problems.0.len() == 1 => problems.0[0].to_string(),
        other => panic!("expected one problem, found {other:?}"),
    }
}

/// Guards against rejecting valid documents.
#[test]
fn valid_documents_are_accepted() {
    let contract = Contract::from_json(&bytes(&contract())).expect("the contract is valid");
    let configuration =
        Configuration::from_json(&bytes(&configuration())).expect("the configuration is valid");

    contract.validate().expect("the contract stays valid");
    configuration
        .validate()
        .expect("the configuration stays valid");
    assert_eq!(contract.window_tokens(), 10_000);
}

/// Guards against accepting a contract with an invalid value, which every process would then enforce.
#[test]
fn invalid_contracts_are_rejected() {
    let name = "1 to 64 letters, digits, '.', '_' or '-'";
    let hash = "a SHA-256 hash as 64 lower-case hexadecimal digits";
    let cases = [
        ("/customer", None, format!("customer: missing; expected {name}")),
        ("/customer", Some(json!("a/b")), format!("customer: \"a/b\" is not allowed; expected {name}")),
        (
            "/api_key_sha256",
            Some(json!(["secret-key"])),
            format!("api_key_sha256[0]: a text of 10 characters is not allowed; expected {hash}"),
        ),
        (
            "/api_key_sha256",
            Some(json!([HASH.to_uppercase()])),
            format!("api_key_sha256[0]: a text of 64 characters is not allowed; expected {hash}"),
        ),
        (
            "/api_key_sha256",
            Some(json!([HASH, HASH])),
            format!("api_key_sha256[1]: \"{}... is not allowed; expected each key once; api_key_sha256[0] has the same", &HASH[..59]),
        ),
        (
            "/window_ppm",
            Some(json!(0)),
            "window_ppm: 0 is not allowed; expected a whole number of parts per million from 1 to 1000000, without quotes or unit".into(),
        ),
        (
            "/window_ppm",
            Some(json!(1_000_001)),
            "window_ppm: 1000001 is not allowed; expected a whole number of parts per million from 1 to 1000000, without quotes or unit".into(),
        ),
        (
            "/prepaid_total_tokens",
            Some(json!(99)),
            "window_ppm: 10000 is not allowed; expected at least 10102, which is one of 99 prepaid tokens".into(),
        ),
        (
            "/priority",
            Some(json!("urgent")),
            "priority: \"urgent\" is not allowed; expected one of high, normal, low".into(),
        ),
        (
            "/response_time_limit_ms",
            Some(json!(0)),
            "response_time_limit_ms: 0 is not allowed; expected a whole number of milliseconds from 1 to 3600000, without quotes or unit".into(),
        ),
        (
            "/models/1",
            Some(json!({"model": "quote-8b"})),
            "models[1].model: \"quote-8b\" is not allowed; expected each model once; models[0].model has the same".into(),
        ),
        (
            "/services/1",
            Some(json!("payment")),
            "services[1]: \"payment\" is not allowed; expected each service once; services[0] has the same".into(),
        ),
        (
            "/models/0/version",
            Some(json!("1")),
            "models[0].version: \"1\" is not allowed; expected only the keys model, versions".into(),
        ),
    ];
    for (pointer, value, expected) in cases {
        let document = with(contract(), pointer, value);

        let result = Contract::from_json(&bytes(&document)).map(|_| ());

        assert_eq!(only_problem(result), expected, "{pointer}");
    }
}

/// Guards against accepting a configuration with which requests could not be routed.
#[test]
fn invalid_configurations_are_rejected() {
    let address = "an address ip:port with a port from 1 to 65535";
    let cases = [
        (
            "/upstreams/0/address",
            Some(json!("engine-1:8000")),
            format!("upstreams[0].address: \"engine-1:8000\" is not allowed; expected {address}"),
        ),
        (
            "/upstreams/0/address",
            Some(json!("10.0.0.1:0")),
            format!("upstreams[0].address: \"10.0.0.1:0\" is not allowed; expected {address}"),
        ),
        (
            "/upstreams/1/name",
            Some(json!("engine-1")),
            "upstreams[1].name: \"engine-1\" is not allowed; expected a name that no other upstream has; upstreams[0].name has the same".into(),
        ),
        (
            "/upstreams/1/serves",
            Some(json!("refund")),
            "upstreams[1].serves: \"refund\" is not allowed; expected a name in services".into(),
        ),
        (
            "/upstreams/0/serves",
            Some(json!("payment")),
            "upstreams[0].serves: \"payment\" is not allowed; expected a name in models".into(),
        ),
        (
            "/upstreams/0/tokens_per_second",
            None,
            "upstreams[0].tokens_per_second: 0 is not allowed; expected more than 0 for an engine".into(),
        ),
        (
            "/upstreams/1/tokens_per_second",
            Some(json!(5)),
            "upstreams[1].tokens_per_second: 5 is not allowed; expected 0 or nothing for a service".into(),
        ),
        (
            "/upstreams/0/capacity_requests",
            Some(json!(0)),
            "upstreams[0].capacity_requests: 0 is not allowed; expected a whole number of requests from 1 to 100000, without quotes or unit".into(),
        ),
        (
            "/upstreams/0/kind",
            Some(json!("gpu")),
            "upstreams[0].kind: \"gpu\" is not allowed; expected one of engine, service".into(),
        ),
        (
            "/services/1",
            Some(json!({"name": "quote-8b", "version": "1", "repeatable": true, "timeout_ms": 1})),
            "services[1].name: \"quote-8b\" is not allowed; expected a name that no other model or service has; models[0].name has the same".into(),
        ),
        (
            "/models/0/max_output_tokens",
            Some(json!(0)),
            "models[0].max_output_tokens: 0 is not allowed; expected a whole number of tokens from 1 to 1000000, without quotes or unit".into(),
        ),
        (
            "/services/0/repeatable",
            Some(json!("no")),
            "services[0].repeatable: \"no\" is not allowed; expected true or false".into(),
        ),
    ];
    for (pointer, value, expected) in cases {
        let document = with(configuration(), pointer, value);

        let result = Configuration::from_json(&bytes(&document)).map(|_| ());

        assert_eq!(only_problem(result), expected, "{pointer}");
    }
}

/// Guards against counting the capacity of an upstream twice.
#[test]
fn two_upstreams_at_one_address_are_rejected() {
    let mut document = configuration();
    let mut copy = document["upstreams"][0].clone();
    copy["name"] = json!("engine-2");
    document = with(document, "/upstreams/2", Some(copy));

    let result = Configuration::from_json(&bytes(&document)).map(|_| ());

    assert_eq!(
        only_problem(result),
        "upstreams[2].address: \"10.0.0.1:8000\" is not allowed; expected one upstream at an address for quote-8b; \
         upstreams[0] has the same"
    );
}

/// Guards against a key that authenticates two customers, and against two contracts for one customer.
#[test]
fn duplicate_contracts_and_keys_are_rejected() {
    let file = json!({"contracts": [contract(), contract()]});

    let error = ContractFile::from_yaml(&file.to_string()).expect_err("the file is invalid");

    let messages = error.messages("contracts.yaml");
    assert_eq!(messages.len(), 2, "{messages:?}");
    assert!(messages[0].starts_with("contracts.yaml: contracts[1].customer: \"team-1\""));
    assert!(messages[1].starts_with("contracts.yaml: contracts[1].api_key_sha256[0]: "));
}

/// Guards against contracts that name models, versions or services that the configuration does not contain.
#[test]
fn names_missing_from_the_configuration_are_rejected() {
    let mut document = contract();
    document["models"] =
        json!([{"model": "quote-8b", "versions": ["quote-8b:9"]}, {"model": "none"}]);
    document["services"] = json!(["payment", "refund"]);
    let file = ContractFile::from_yaml(&json!({"contracts": [document]}).to_string())
        .expect("the file is valid on its own");
    let configuration =
        Configuration::from_json(&bytes(&configuration())).expect("the configuration is valid");

    let error = file
        .validate_against(&configuration)
        .expect_err("the configuration lacks something");

    assert_eq!(
        error.messages("c.yaml"),
        [
            "c.yaml: contracts[0].models[0].versions[0]: \"quote-8b:9\" is not allowed; expected a version that an \
             upstream of the model has loaded",
            "c.yaml: contracts[0].models[1].model: \"none\" is not allowed; expected a model of the configuration",
            "c.yaml: contracts[0].services[1]: \"refund\" is not allowed; expected a service of the configuration",
        ]
    );
}

/// Guards against a panic on malformed documents, which anyone with access to the log can write.
#[test]
fn arbitrary_bodies_do_not_panic() {
    arbtest::arbtest(|u| {
        let mut body = bytes(&contract());
        for _ in 0..u.int_in_range(1..=4)? {
            let index = u.choose_index(body.len())?;
            body[index] = u.arbitrary()?;
        }
        let _ = Contract::from_json(&body);
        let _ = Configuration::from_json(&body);
        Ok(())
    })
    .budget_ms(500);
}
