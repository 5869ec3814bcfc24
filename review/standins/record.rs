//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes lines to `record.txt`; clones share the file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn write(&self, line: &str) {
        let seconds = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // A record that cannot be written does not change the verdict.
        let _ = writeln!(file, "{seconds:9.3} {line}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: &str) {
        self.write(line);
        println!("{:9.3} {line}", self.now().as_secs_f64());
    }
}
