//! Router processes that run the `monsoonfield` binary.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::Instant;

use monsoonfield::settings::Settings;
use serde::Deserialize;

use super::TEST_TIMEOUT;

/// Addresses that a router prints as one JSON line when it starts.
#[derive(Clone, Debug, Deserialize)]
pub struct Addresses {
    pub callers: String,
    pub admin: String,
    pub peers: String,
}

/// A router process; it is killed when the value is dropped.
pub struct RouterProcess {
    child: Child,
    pub addresses: Addresses,
}

impl RouterProcess {
    pub fn start(settings: &Settings) -> Self {
        let directory = std::env::temp_dir();
        let name = format!("monsoonfield-{}-{:p}.yaml", std::process::id(), settings);
        let path = directory.join(name);
        // JSON is a subset of YAML.
        let text = serde_json::to_string(settings).expect("plain data");
        std::fs::write(&path, text).expect("the temporary directory is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_monsoonfield"))
            .args(["router", "--settings"])
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the binary starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            let mut line = String::new();
            let _ = BufReader::new(stdout).read_line(&mut line);
            let _ = sender.send(line);
        });
        let line = receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("the router prints its addresses");
        let _ = std::fs::remove_file(path);
        let addresses = serde_json::from_str(&line).expect("one JSON line");
        Self { child, addresses }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: libc::c_int) {
        let pid = self.child.id() as libc::pid_t;
        // SAFETY: the process is a child of this one that was not waited for, so the id still belongs to it.
        let result = unsafe { libc::kill(pid, signal) };
        assert_eq!(result, 0, "the signal is delivered");
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the child can be waited for") {
                return status;
            }
            assert!(started.elapsed() < TEST_TIMEOUT, "the router does not end");
            std::thread::yield_now();
        }
    }

    /// Sends a GET request to the admin address.
    pub fn admin(&self, path: &str) -> (u16, Vec<u8>) {
        super::http_call(&self.addresses.admin, "GET", path, b"")
    }

    /// Returns the status document of the router.
    pub fn status(&self) -> serde_json::Value {
        let (status, body) = self.admin("/status");
        assert_eq!(status, 200, "the router reports its status");
        serde_json::from_slice(&body).expect("JSON")
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
