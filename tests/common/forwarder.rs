//! A TCP forwarder whose connections can be cut, as by a failed switch.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Forwards connections to a target, which is set after the start because the kernel assigns the target's port later.
pub struct Forwarder {
    pub address: String,
    target: Arc<Mutex<Option<String>>>,
    is_cut: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Forwarder {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let forwarder = Self {
            address: listener.local_addr().expect("bound").to_string(),
            target: Arc::default(),
            is_cut: Arc::default(),
            streams: Arc::default(),
        };
        let (target, is_cut, streams) = (
            forwarder.target.clone(),
            forwarder.is_cut.clone(),
            forwarder.streams.clone(),
        );
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let address = target.lock().expect("not poisoned").clone();
                let Some(address) = address.filter(|_| !is_cut.load(Ordering::SeqCst)) else {
                    continue;
                };
                let Ok(server) = TcpStream::connect(address) else {
                    continue;
                };
                spawn_copy(&client, &server);
                spawn_copy(&server, &client);
                streams
                    .lock()
                    .expect("not poisoned")
                    .extend([client, server]);
            }
        });
        forwarder
    }

    pub fn set_target(&self, address: &str) {
        *self.target.lock().expect("not poisoned") = Some(address.into());
    }

    /// Cuts the link, which breaks all open connections and refuses new ones, or restores it.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        if is_cut {
            for stream in self.streams.lock().expect("not poisoned").drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn spawn_copy(from: &TcpStream, to: &TcpStream) {
    let mut from = from.try_clone().expect("a second handle");
    let mut to = to.try_clone().expect("a second handle");
    std::thread::spawn(move || {
        let mut buffer = vec![0; 16 << 10];
        loop {
            match from.read(&mut buffer) {
                Ok(count) if count > 0 && to.write_all(&buffer[..count]).is_ok() => {}
                _ => {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    });
}
