//! Tests of the settings file of a router process; `gateway_http` tests that of a gateway.

use monsoonfield::settings::{Error, Limits, Settings};

const VALID: &str = "\
vm: vm-1
data_centre: kl-1
listen: {callers: '127.0.0.1:8080', admin: '127.0.0.1:8081', peers: '127.0.0.1:8082'}
platform: {log: '127.0.0.1:9000', vm_list: '127.0.0.1:9001', weight_store: '127.0.0.1:9002'}
limits: {body_bytes: 1048576, request_read_timeout_ms: 10000, shutdown_timeout_ms: 120000}
";

/// Returns the messages for the valid settings after `from` is replaced by `to`.
fn messages(from: &str, to: &str) -> Vec<String> {
    assert!(VALID.contains(from), "{from} is not in the valid settings");
    match Settings::from_yaml(&VALID.replace(from, to)) {
        Ok(_) => Vec::new(),
        Err(error) => error.messages("router.yaml"),
    }
}

/// Guards against rejecting valid settings, and against wrong defaults.
#[test]
fn valid_settings_are_accepted_with_defaults() {
    let settings = Settings::from_yaml(VALID).expect("the settings are valid");

    assert_eq!(settings.vm, "vm-1");
    assert_eq!(settings.limits, Limits::default());
}

/// Guards against accepting an invalid value, and against messages without the field, the value or what is allowed.
#[test]
fn each_invalid_value_gives_one_message() {
    let whole_ms = "a whole number of milliseconds from 1 to 3600000, without quotes or unit";
    let name = "1 to 64 letters, digits, '.', '_' or '-'";
    let listen = "an address ip:port with a port from 0 to 65535";
    let connect = "an address ip:port with a port from 1 to 65535";
    let cases = [
        ("vm: vm-1\n", "", format!("vm: missing; expected {name}")),
        ("vm-1", "''", format!("vm: \"\" is not allowed; expected {name}")),
        ("vm-1", "'a b'", format!("vm: \"a b\" is not allowed; expected {name}")),
        ("vm-1", "17", format!("vm: 17 is not allowed; expected {name}")),
        (
            "vm: vm-1",
            "vm: vm-1\nregion: west",
            "region: \"west\" is not allowed; expected only the keys vm, data_centre, listen, platform, limits, timing".into(),
        ),
        (
            "127.0.0.1:8080",
            "localhost:8080",
            format!("listen.callers: \"localhost:8080\" is not allowed; expected {listen}"),
        ),
        (
            "127.0.0.1:8080",
            "127.0.0.1:70000",
            format!("listen.callers: \"127.0.0.1:70000\" is not allowed; expected {listen}"),
        ),
        (
            "127.0.0.1:9000",
            "127.0.0.1:0",
            format!("platform.log: \"127.0.0.1:0\" is not allowed; expected {connect}"),
        ),
        (
            "127.0.0.1:8081",
            "127.0.0.1:8080",
            "listen.admin: \"127.0.0.1:8080\" is not allowed; expected a port other than that of listen.callers".into(),
        ),
        (
            "127.0.0.1:8082",
            "0.0.0.0:8080",
            "listen.peers: \"0.0.0.0:8080\" is not allowed; expected a port other than that of listen.callers".into(),
        ),
        (
            "request_read_timeout_ms: 10000",
            "request_read_timeout_s: 10",
            "limits.request_read_timeout_s: 10 is not allowed; expected the key request_read_timeout_ms, which names its unit".into(),
        ),
        (
            "request_read_timeout_ms: 10000",
            "request_read_timeout: 10s",
            "limits.request_read_timeout: \"10s\" is not allowed; expected the key request_read_timeout_ms, which names its unit".into(),
        ),
        (
            "request_read_timeout_ms: 10000",
            "request_read_timeout_ms: 10s",
            format!("limits.request_read_timeout_ms: \"10s\" is not allowed; expected {whole_ms}"),
        ),
        (
            "request_read_timeout_ms: 10000",
            "request_read_timeout_ms: 0",
            format!("limits.request_read_timeout_ms: 0 is not allowed; expected {whole_ms}"),
        ),
        (
            "request_read_timeout_ms: 10000",
            "request_read_timeout_ms: 1.5",
            format!("limits.request_read_timeout_ms: 1.5 is not allowed; expected {whole_ms}"),
        ),
        (
            "body_bytes: 1048576",
            "body_bytes: -1",
            "limits.body_bytes: -1 is not allowed; expected a whole number of bytes from 1 to 67108864, without quotes or unit".into(),
        ),
        (
            "body_bytes: 1048576",
            "connections: 0",
            "limits.connections: 0 is not allowed; expected a whole number of connections from 1 to 1000000, without quotes or unit".into(),
        ),
        (
            "shutdown_timeout_ms: 120000",
            "shutdown_timeout_ms: 1000",
            "limits.shutdown_timeout_ms: 1000 is not allowed; expected at least request_read_timeout_ms, 10000, so that a graceful shutdown cuts no request off".into(),
        ),
        (
            "shutdown_timeout_ms: 120000",
            "reader_idle_timeout_ms: 600000",
            "limits.reader_idle_timeout_ms: 600000 is not allowed; expected at most shutdown_timeout_ms, 120000, so that a graceful shutdown cuts no request off".into(),
        ),
        (
            "shutdown_timeout_ms: 120000",
            "request_buffer_bytes: 2097151",
            "limits.request_buffer_bytes: 2097151 is not allowed; expected at least 2097152, twice body_bytes, so that a share holds a body".into(),
        ),
        (
            "limits:",
            "timing: {heartbeat_timeout_ms: 500}\nlimits:",
            "timing.heartbeat_timeout_ms: 500 is not allowed; expected at least heartbeat_interval_ms, 1000, so that a live peer is not considered dead".into(),
        ),
        (
            "limits: {body_bytes: 1048576, request_read_timeout_ms: 10000, shutdown_timeout_ms: 120000}",
            "limits: [1]",
            "limits: [1] is not allowed; expected an object with body_bytes, head_bytes, connections, \
             request_read_timeout_ms, reader_idle_timeout_ms, reader_buffer_bytes, request_buffer_bytes, \
             shutdown_timeout_ms"
                .into(),
        ),
    ];
    for (from, to, expected) in cases {
        let found = messages(from, to);

        assert_eq!(
            found,
            [format!("router.yaml: {expected}")],
            "{from} -> {to}"
        );
    }
}

/// Guards against reporting only the first error, which makes an operator correct a file one field at a time.
#[test]
fn all_errors_of_a_file_are_reported() {
    let text = VALID
        .replace("vm: vm-1", "vm: ''\ncolour: red")
        .replace("127.0.0.1:8081", "127.0.0.1:8080")
        .replace("body_bytes: 1048576", "body_bytes: many");

    let error = Settings::from_yaml(&text).expect_err("the settings are invalid");

    let Error::InvalidFields(problems) = &error else {
        panic!("unexpected error: {error}");
    };
    let fields: Vec<_> = problems.0.iter().map(|p| p.field.as_str()).collect();
    assert_eq!(
        fields,
        ["vm", "limits.body_bytes", "colour", "listen.admin"]
    );
}

/// Guards against accepting two values for one key, of which one would be ignored.
#[test]
fn a_duplicate_key_is_rejected() {
    let found = messages("vm: vm-1", "vm: vm-1\nvm: vm-2");

    assert_eq!(found.len(), 1);
    assert!(
        found[0].starts_with("router.yaml: not well-formed: "),
        "{found:?}"
    );
    assert!(found[0].contains("duplicate"), "{found:?}");
    assert!(found[0].contains("vm"), "{found:?}");
}

/// Guards against multi-line messages from the parser: each problem is reported on one line.
#[test]
fn malformed_yaml_gives_single_line_messages() {
    for text in ["", "vm: [", "\t: x", "- 1", "vm: &a *a"] {
        let error = Settings::from_yaml(text).expect_err("the text is invalid");

        for message in error.messages("router.yaml") {
            assert!(!message.contains('\n'), "{text:?}: {message}");
            assert!(message.starts_with("router.yaml: "), "{text:?}: {message}");
        }
    }
}

/// Guards against rejecting several listeners with port 0: the ports that the kernel assigns never conflict.
#[test]
fn ports_assigned_by_the_kernel_do_not_conflict() {
    let text = VALID
        .replace("127.0.0.1:8080", "127.0.0.1:0")
        .replace("127.0.0.1:8081", "127.0.0.1:0")
        .replace("127.0.0.1:8082", "127.0.0.1:0");

    Settings::from_yaml(&text).expect("the settings are valid");
}
