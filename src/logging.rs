//! Logging as JSON lines.
//!
//! A router logs to standard error. A gateway logs to standard output through a bounded queue and a writer thread,
//! because a log reader that stalls must not block the event loop. Lines that do not fit into the queue are counted and
//! dropped.
//!
//! Each line has the time, the level, the message and the key-value pairs of the record, by convention `step`, `peer`
//! and `request_key`:
//!
//! ```
//! log::warn!(step = "append", peer = "127.0.0.1:7101"; "no response within 2000 ms");
//! ```
//!
//! Values of keys that may contain a secret are never written, see [`SECRET_KEYS`].

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::Map;

/// Keys whose values are redacted, because callers' credentials and content must not appear in a log.
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

/// Starts logging to standard error at a level; a second call has no effect.
pub fn init_stderr(level: LevelFilter) {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level);
    builder.format(|out, record| writeln!(out, "{}", render(record, now_ms())));
    // This only fails if a test or an earlier call has installed a logger, which then stays in place.
    let _ = builder.try_init();
}

/// Capacity of the queue, in messages; with a few hundred bytes per line it takes less than half a megabyte.
const QUEUE_CAPACITY: usize = 1_024;

/// Time for which a process that ends waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Largest number of queued messages that the writer thread handles together with the first one, in a single write.
const MAX_BATCH_LINES: usize = 64;

/// Starts logging to standard output at a level, without blocking the caller; a second call has no effect.
pub fn init_stdout(level: LevelFilter) {
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    let dropped = Arc::new(AtomicU64::new(0));
    let logger = QueueLogger {
        level,
        sender,
        dropped: Arc::clone(&dropped),
    };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
        std::thread::spawn(move || write_lines(&receiver, &dropped));
    }
}

/// Message to the writer thread.
enum WriterMessage {
    Line(String),
    /// Is answered once all earlier messages are processed.
    Flush(SyncSender<()>),
}

struct QueueLogger {
    level: LevelFilter,
    sender: SyncSender<WriterMessage>,
    dropped: Arc<AtomicU64>,
}

impl log::Log for QueueLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = WriterMessage::Line(render(record, now_ms()));
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until all lines so far are written, or until `FLUSH_TIMEOUT` passes because the log reader has stalled.
    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.sender.try_send(WriterMessage::Flush(done)).is_ok() {
            // On a timeout the last lines may be lost, because they must not keep the process from ending.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines(receiver: &Receiver<WriterMessage>, dropped: &AtomicU64) {
    while let Ok(first) = receiver.recv() {
        let mut batch = String::new();
        let mut flushed = Vec::new();
        let more = receiver.try_iter().take(MAX_BATCH_LINES);
        for item in std::iter::once(first).chain(more) {
            match item {
                WriterMessage::Line(line) => {
                    batch.push_str(&line);
                    batch.push('\n');
                }
                WriterMessage::Flush(done) => flushed.push(done),
            }
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            batch.push_str(&format!(
                "{{\"level\":\"warn\",\"message\":\"log queue full\",\"dropped_lines\":{dropped_lines}}}\n"
            ));
        }
        // If standard output is closed, the error cannot be reported anywhere.
        let _ = std::io::stdout().write_all(batch.as_bytes());
        for done in flushed {
            // The receiver is gone if the flush timed out.
            let _ = done.try_send(());
        }
    }
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
    // Visiting only fails if the visitor fails, which this one never does.
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
        } else if let Some(number) = value.to_i64() {
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
