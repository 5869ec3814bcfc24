//! Stand-in for a worker: it registers itself, serves requests by a function, and can crash and come back.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{read_message, Message};
use crate::rig::unix_ms;
use crate::store::Store;

/// Interval at which a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Serves a request on a connection; returns whether the connection stays open.
type Serve = dyn Fn(&Arc<Worker>, &Message, &mut TcpStream) -> bool + Send + Sync;

/// A worker.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub version: String,
    address: SocketAddr,
    store: Store,
    serve: Box<Serve>,
    born: AtomicU64,
    sequence: AtomicU64,
    is_down: AtomicBool,
    is_gone: AtomicBool,
    connections: Mutex<BTreeMap<u64, TcpStream>>,
    next_connection: AtomicU64,
}

impl Worker {
    /// Starts a worker on a free port.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        version: &str,
        serve: impl Fn(&Arc<Worker>, &Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            version: version.into(),
            address: listener.local_addr()?,
            store: store.clone(),
            serve: Box::new(serve),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
        });
        worker.listen(listener);
        let beating = Arc::clone(&worker);
        std::thread::spawn(move || {
            while !beating.is_gone.load(Ordering::SeqCst) {
                if !beating.is_down.load(Ordering::SeqCst) {
                    beating.report();
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let worker = Arc::clone(self);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if worker.is_down.load(Ordering::SeqCst) || worker.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                let number = worker.next_connection.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    worker.connections.lock().expect("unpoisoned").insert(number, copy);
                }
                let worker = Arc::clone(&worker);
                std::thread::spawn(move || {
                    worker.serve_connection(stream);
                    worker.connections.lock().expect("unpoisoned").remove(&number);
                });
            }
        });
    }

    fn serve_connection(self: &Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(copy);
        while let Ok(request) = read_message(&mut reader) {
            if !(self.serve)(self, &request, &mut stream) {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn report(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\"slots\":64,\"state\":\"ready\",\
             \"cold_left_ms\":0,\"seq\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.version,
            self.born.load(Ordering::SeqCst)
        );
        self.store.put("keyed.servers", &self.id, entry.as_bytes());
    }

    /// Ends all connections and the listener, and starts again under the same id after a time. Returns whether the worker
    /// was up.
    pub fn crash(self: &Arc<Self>, down: Duration) -> bool {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return false;
        }
        self.end_connections();
        let worker = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(down);
            let listener = loop {
                match TcpListener::bind(worker.address) {
                    Ok(listener) => break listener,
                    Err(_) => std::thread::sleep(Duration::from_millis(20)),
                }
            };
            worker.born.store(unix_ms(), Ordering::SeqCst);
            worker.sequence.store(0, Ordering::SeqCst);
            worker.is_down.store(false, Ordering::SeqCst);
            worker.listen(listener);
            worker.report();
        });
        true
    }

    /// Ends the worker for good, without draining, and removes its entry.
    pub fn stop(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        self.end_connections();
        self.store.put("keyed.servers", &self.id, b"");
    }

    fn end_connections(&self) {
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        for _ in 0..100 {
            if TcpStream::connect(self.address).is_err() {
                break;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        let connections = std::mem::take(&mut *self.connections.lock().expect("unpoisoned"));
        for stream in connections.into_values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
