//! A TCP forwarder that can cut its link, as a failed switch would.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Forwards connections to a target that is set later, because the target's port is assigned by the kernel.
pub struct Forwarder {
    pub address: String,
    target: Arc<Mutex<Option<String>>>,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Forwarder {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let forwarder = Self {
            address: listener.local_addr().expect("bound").to_string(),
            target: Arc::default(),
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        let (target, is_cut, open) = (
            forwarder.target.clone(),
            forwarder.is_cut.clone(),
            forwarder.open.clone(),
        );
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let address = target.lock().expect("not poisoned").clone();
                let Some(address) = address.filter(|_| !is_cut.load(Ordering::SeqCst)) else {
                    continue;
                };
                let Ok(far) = TcpStream::connect(address) else {
                    continue;
                };
                copy(&near, &far);
                copy(&far, &near);
                open.lock().expect("not poisoned").extend([near, far]);
            }
        });
        forwarder
    }

    pub fn set_target(&self, address: &str) {
        *self.target.lock().expect("not poisoned") = Some(address.into());
    }

    /// Cuts or restores the link; connections that are open when it is cut break.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        if is_cut {
            for stream in self.open.lock().expect("not poisoned").drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn copy(from: &TcpStream, to: &TcpStream) {
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
