//! Shape of the settings and the relations between their fields.

use serde_json::Value;

use super::{Limits, Settings};
use crate::validation::{field, Document, Field, Findings, Kind, Shape};

/// Longest timeout, in milliseconds: one hour.
const TIMEOUT_MS_MAX: u64 = 3_600_000;

/// Largest body of a request, in bytes; a router holds a body in memory until it is dispatched.
const BODY_BYTES_MAX: u64 = 64 << 20;

/// Smallest and largest request head, in bytes.
const HEAD_BYTES: (u64, u64) = (1 << 10, 1 << 20);

/// Smallest and largest memory for responses, in bytes; less than the minimum does not hold one event of each class.
const READER_BUFFER_BYTES: (u64, u64) = (64 << 10, 16 << 30);

const SETTINGS: Shape = Shape(&[
    field("vm", Kind::Name),
    field("data_centre", Kind::Name),
    field("listen", Kind::Object(&LISTEN)),
    field("platform", Kind::Object(&PLATFORM)),
    field("limits", Kind::Object(&LIMITS)).optional(),
    field("timing", Kind::Object(&TIMING)).optional(),
]);

const TIMING: Shape = Shape(&[
    interval("flush_interval_ms"),
    interval("empty_batch_interval_ms"),
    interval("append_timeout_ms"),
    interval("poll_wait_ms"),
    interval("poll_interval_ms"),
    interval("heartbeat_interval_ms"),
    interval("heartbeat_timeout_ms"),
    interval("close_after_ms"),
    interval("finalize_after_ms"),
    interval("vm_list_interval_ms"),
    interval("reconnect_limit_ms"),
    field(
        "snapshot_interval_records",
        Kind::Integer {
            min: 1,
            max: u64::MAX,
            unit: "records",
        },
    )
    .optional(),
]);

const LISTEN: Shape = Shape(&[
    field("callers", Kind::ListenAddress),
    field("admin", Kind::ListenAddress),
    field("peers", Kind::ListenAddress),
]);

const PLATFORM: Shape = Shape(&[
    field("log", Kind::Address),
    field("vm_list", Kind::Address),
    field("weight_store", Kind::Address),
]);

const LIMITS: Shape = Shape(&[
    bytes("body_bytes", 1, BODY_BYTES_MAX),
    bytes("head_bytes", HEAD_BYTES.0, HEAD_BYTES.1),
    field(
        "connections",
        Kind::Integer {
            min: 1,
            max: 1_000_000,
            unit: "connections",
        },
    )
    .optional(),
    timeout("request_read_timeout_ms"),
    timeout("reader_idle_timeout_ms"),
    bytes(
        "reader_buffer_bytes",
        READER_BUFFER_BYTES.0,
        READER_BUFFER_BYTES.1,
    ),
    timeout("shutdown_timeout_ms"),
]);

const fn bytes(name: &'static str, min: u64, max: u64) -> Field {
    let kind = Kind::Integer {
        min,
        max,
        unit: "bytes",
    };
    field(name, kind).optional()
}

/// An interval of the fleet protocol; the longest default, the time until a closed incarnation is finalised, is two hours.
const fn interval(name: &'static str) -> Field {
    let kind = Kind::Integer {
        min: 1,
        max: 24 * TIMEOUT_MS_MAX,
        unit: "milliseconds",
    };
    field(name, kind).optional()
}

const fn timeout(name: &'static str) -> Field {
    let kind = Kind::Integer {
        min: 1,
        max: TIMEOUT_MS_MAX,
        unit: "milliseconds",
    };
    field(name, kind).optional()
}

impl Document for Settings {
    const SHAPE: &'static Shape = &SETTINGS;

    fn relate(value: &Value, findings: &mut Findings) {
        relate_listen(value, findings);
        relate_shutdown(value, findings);
    }
}

/// Rejects two listeners on one port, of which only the first could be opened.
fn relate_listen(value: &Value, findings: &mut Findings) {
    let Some(listen) = value.get("listen") else {
        return;
    };
    let mut seen: Vec<(&str, std::net::SocketAddr)> = Vec::new();
    for name in ["callers", "admin", "peers"] {
        let Some(entry) = listen.get(name) else {
            continue;
        };
        let Some(address) = entry.as_str().and_then(|text| text.parse().ok()) else {
            continue;
        };
        let clash = seen.iter().find(|(_, other)| clashes(&address, other));
        match clash {
            Some((other, _)) => findings.add(
                format!("listen.{name}"),
                entry,
                format!("a port other than that of listen.{other}"),
            ),
            None => seen.push((name, address)),
        }
    }
}

/// Returns whether two listeners would share a port; an unspecified address covers all others.
fn clashes(one: &std::net::SocketAddr, other: &std::net::SocketAddr) -> bool {
    one.port() != 0
        && one.port() == other.port()
        && (one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified())
}

/// Rejects a planned stop that is shorter than the time for which a live connection may be silent.
///
/// Such a stop would cut off requests that are within their limits.
fn relate_shutdown(value: &Value, findings: &mut Findings) {
    let Some(limits) = value.get("limits") else {
        return;
    };
    let defaults = Limits::default();
    let get = |name: &str, default: u64| match limits.get(name) {
        Some(value) => value.as_u64(),
        None => Some(default),
    };
    let Some(shutdown_ms) = get("shutdown_timeout_ms", defaults.shutdown_timeout_ms) else {
        return;
    };
    for (name, default) in [
        ("request_read_timeout_ms", defaults.request_read_timeout_ms),
        ("reader_idle_timeout_ms", defaults.reader_idle_timeout_ms),
    ] {
        if get(name, default).is_some_and(|ms| ms > shutdown_ms) {
            findings.add(
                "limits.shutdown_timeout_ms",
                &Value::from(shutdown_ms),
                format!("at least {name}, so that a planned stop cuts no request off"),
            );
            return;
        }
    }
}
