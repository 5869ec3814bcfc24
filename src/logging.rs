//! Logs as JSON lines on standard error.
//!
//! Each line has the time, the level and the message, and the key-values of the record, by convention `step`, `peer` and
//! `request_key`:
//!
//! ```
//! log::warn!(step = "append", peer = "127.0.0.1:7101"; "no response within 2000 ms");
//! ```
//!
//! Values of keys that may carry a secret are never written, see [`SECRET_KEYS`].

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::Map;

/// Keys whose values are replaced, because callers' credentials and content must not reach a log.
pub const SECRET_KEYS: [&str; 6] = [
    "authorization",
    "api_key",
    "bearer",
    "idempotency_key",
    "body",
    "token",
];

/// Text that replaces the value of a secret key.
const REDACTED: &str = "redacted";

/// Starts logging at a level; a second call has no effect.
pub fn init(level: LevelFilter) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level);
    builder.format(|out, record| writeln!(out, "{}", render(record, now_ms())));
    // Another logger is only installed by a test or a second call, and then stays.
    let _ = builder.try_init();
}

/// Renders one record as a JSON object without line breaks.
pub fn render(record: &Record<'_>, time_ms: u64) -> String {
    let mut line = Map::new();
    line.insert("time_ms".into(), time_ms.into());
    line.insert(
        "level".into(),
        record.level().as_str().to_ascii_lowercase().into(),
    );
    line.insert("message".into(), record.args().to_string().into());
    // Visiting only fails if the visitor does, and this one does not.
    let _ = record.key_values().visit(&mut Fields(&mut line));
    serde_json::Value::Object(line).to_string()
}

struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if SECRET_KEYS.contains(&key.as_str()) {
            REDACTED.into()
        } else if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

/// Returns the wall-clock time since the Unix epoch.
fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
