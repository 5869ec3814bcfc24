//! Schema of the settings, and the rules that relate several fields.

use serde_json::Value;

use super::{Limits, Settings, Timing};
use crate::validation::{field, Document, Field, FieldType, ProblemCollector, Schema};

/// Longest timeout, in milliseconds: one hour.
const TIMEOUT_MS_MAX: u64 = 3_600_000;

/// Longest time until an incarnation that has ended is finalised, in milliseconds: one week.
const FINALIZE_MS_MAX: u64 = 7 * 24 * 3_600_000;

/// Largest request body, in bytes; a router keeps the body in memory until the request is dispatched.
const BODY_BYTES_MAX: u64 = 64 << 20;

/// Smallest and largest request head, in bytes.
const HEAD_BYTES: (u64, u64) = (1 << 10, 1 << 20);

/// Smallest and largest memory for responses, in bytes; less than the minimum cannot hold one event of each priority.
const READER_BUFFER_BYTES: (u64, u64) = (64 << 10, 16 << 30);

/// Smallest and largest memory for requests, in bytes; less than the minimum cannot hold two heads of the usual limit.
const REQUEST_BUFFER_BYTES: (u64, u64) = (64 << 10, 16 << 30);

/// Number of largest bodies that the memory for requests must hold. A customer's share is smaller than the whole.
const BODIES_IN_REQUEST_BUFFER: u64 = 2;

const SETTINGS: Schema = Schema(&[
    field("vm", FieldType::Name),
    field("data_centre", FieldType::Name),
    field("listen", FieldType::Object(&LISTEN)),
    field("platform", FieldType::Object(&PLATFORM)),
    field("limits", FieldType::Object(&LIMITS)).optional(),
    field("timing", FieldType::Object(&TIMING)).optional(),
]);

const LISTEN: Schema = Schema(&[
    field("callers", FieldType::ListenAddress),
    field("admin", FieldType::ListenAddress),
    field("peers", FieldType::ListenAddress),
]);

const PLATFORM: Schema = Schema(&[
    field("log", FieldType::Address),
    field("vm_list", FieldType::Address),
    field("weight_store", FieldType::Address),
]);

const LIMITS: Schema = Schema(&[
    bytes("body_bytes", 1, BODY_BYTES_MAX),
    bytes("head_bytes", HEAD_BYTES.0, HEAD_BYTES.1),
    field(
        "connections",
        FieldType::Integer {
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
    bytes(
        "request_buffer_bytes",
        REQUEST_BUFFER_BYTES.0,
        REQUEST_BUFFER_BYTES.1,
    ),
    timeout("shutdown_timeout_ms"),
]);

const TIMING: Schema = Schema(&[
    timeout("flush_interval_ms"),
    timeout("empty_batch_interval_ms"),
    timeout("append_timeout_ms"),
    timeout("poll_wait_ms"),
    timeout("poll_interval_ms"),
    timeout("heartbeat_interval_ms"),
    timeout("heartbeat_timeout_ms"),
    timeout("close_after_ms"),
    field(
        "finalize_after_ms",
        FieldType::Integer {
            min: 1,
            max: FINALIZE_MS_MAX,
            unit: "milliseconds",
        },
    )
    .optional(),
    timeout("vm_list_interval_ms"),
    timeout("reconnect_limit_ms"),
    field(
        "snapshot_interval_records",
        FieldType::Integer {
            min: 1,
            max: 1_000_000,
            unit: "records",
        },
    )
    .optional(),
]);

const fn bytes(name: &'static str, min: u64, max: u64) -> Field {
    let field_type = FieldType::Integer {
        min,
        max,
        unit: "bytes",
    };
    field(name, field_type).optional()
}

const fn timeout(name: &'static str) -> Field {
    let field_type = FieldType::Integer {
        min: 1,
        max: TIMEOUT_MS_MAX,
        unit: "milliseconds",
    };
    field(name, field_type).optional()
}

impl Document for Settings {
    const SCHEMA: &'static Schema = &SETTINGS;

    fn check_relations(value: &Value, problems: &mut ProblemCollector) {
        check_listen(value, problems);
        check_shutdown(value, problems);
        check_request_buffer(value, problems);
        check_timing(value, problems);
    }
}

/// Rejects two listeners on the same port, because the second could not be opened.
fn check_listen(value: &Value, problems: &mut ProblemCollector) {
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
        let conflict = seen.iter().find(|(_, other)| conflicts(&address, other));
        match conflict {
            Some((other, _)) => problems.add(
                format!("listen.{name}"),
                entry,
                format!("a port other than that of listen.{other}"),
            ),
            None => seen.push((name, address)),
        }
    }
}

/// Returns whether two listeners would use the same port; an unspecified address includes all others.
fn conflicts(one: &std::net::SocketAddr, other: &std::net::SocketAddr) -> bool {
    one.port() != 0
        && one.port() == other.port()
        && (one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified())
}

/// Rejects a shutdown time limit that is shorter than the time a caller may take to send a request or to read nothing.
///
/// Such a time limit would cut off requests that are within their own limits.
fn check_shutdown(value: &Value, problems: &mut ProblemCollector) {
    let Some(limits) = value.get("limits") else {
        return;
    };
    let limits = Section::new("limits", limits, serde_json::to_value(Limits::default()));
    let reason = "so that a graceful shutdown cuts no request off";
    for shorter in ["request_read_timeout_ms", "reader_idle_timeout_ms"] {
        if limits.check_at_least("shutdown_timeout_ms", shorter, reason, problems) {
            return;
        }
    }
}

/// Rejects memory for requests that the share of one customer of it could not hold a body of the largest size in.
fn check_request_buffer(value: &Value, problems: &mut ProblemCollector) {
    let Some(limits) = value.get("limits") else {
        return;
    };
    let limits = Section::new("limits", limits, serde_json::to_value(Limits::default()));
    let sizes = (limits.get("request_buffer_bytes"), limits.get("body_bytes"));
    let (Some(buffer_bytes), Some(body_bytes)) = sizes else {
        return;
    };
    let least_bytes = body_bytes.saturating_mul(BODIES_IN_REQUEST_BUFFER);
    if buffer_bytes < least_bytes {
        problems.add(
            "limits.request_buffer_bytes",
            &buffer_bytes.into(),
            format!("at least {least_bytes}, twice body_bytes, so that a share holds a body"),
        );
    }
}

/// Rejects intervals with which a healthy process would be considered dead, or an incarnation would end too early.
fn check_timing(value: &Value, problems: &mut ProblemCollector) {
    let Some(timing) = value.get("timing") else {
        return;
    };
    let timing = Section::new("timing", timing, serde_json::to_value(Timing::default()));
    for (longer, shorter, reason) in [
        (
            "heartbeat_timeout_ms",
            "heartbeat_interval_ms",
            "so that a live peer is not considered dead",
        ),
        (
            "close_after_ms",
            "heartbeat_timeout_ms",
            "so that a live peer is not closed",
        ),
        (
            "close_after_ms",
            "empty_batch_interval_ms",
            "so that a live peer is not closed",
        ),
        (
            "finalize_after_ms",
            "close_after_ms",
            "so that bills of an ended process can still arrive",
        ),
    ] {
        timing.check_at_least(longer, shorter, reason, problems);
    }
}

/// An object of the settings, in which missing fields have their defaults.
struct Section<'a> {
    name: &'static str,
    given: &'a Value,
    defaults: Value,
}

impl<'a> Section<'a> {
    fn new(name: &'static str, given: &'a Value, defaults: serde_json::Result<Value>) -> Self {
        Self {
            name,
            given,
            defaults: defaults.unwrap_or_default(),
        }
    }

    fn get(&self, field: &str) -> Option<u64> {
        let value = self.given.get(field).or_else(|| self.defaults.get(field));
        value?.as_u64()
    }

    /// Checks that `longer` is at least `shorter`; reports a problem and returns true if it is not.
    ///
    /// The problem names a field that the file contains, because the default of the other is not in the file.
    fn check_at_least(
        &self,
        longer: &str,
        shorter: &str,
        reason: &str,
        problems: &mut ProblemCollector,
    ) -> bool {
        let (Some(long), Some(short)) = (self.get(longer), self.get(shorter)) else {
            return false;
        };
        if long >= short {
            return false;
        }
        let (field, value, allowed) = if self.given.get(longer).is_some() {
            (
                longer,
                long,
                format!("at least {shorter}, {short}, {reason}"),
            )
        } else {
            (
                shorter,
                short,
                format!("at most {longer}, {long}, {reason}"),
            )
        };
        problems.add(format!("{}.{field}", self.name), &value.into(), allowed);
        true
    }
}
