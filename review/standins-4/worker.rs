//! A worker that a script controls.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;

use crate::deployment::{read_body, read_head, Message};

/// Returns the bytes of the answer, and whether the connection ends after them.
pub type Script = dyn Fn(&Message) -> (Vec<u8>, bool) + Send + Sync;

pub struct Worker {
    pub address: SocketAddr,
}

impl Worker {
    pub fn start(
        script: impl Fn(&Message) -> (Vec<u8>, bool) + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Self {
            address: listener.local_addr()?,
        };
        let script: Arc<Script> = Arc::new(script);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let script = Arc::clone(&script);
                std::thread::spawn(move || Self::serve(stream, &*script));
            }
        });
        Ok(worker)
    }

    fn serve(stream: TcpStream, script: &Script) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut stream = stream;
        while let Some(mut request) = read_head(&mut reader) {
            if !read_body(&mut reader, &mut request) {
                return;
            }
            let (answer, ends) = script(&request);
            if stream.write_all(&answer).is_err() || ends {
                return;
            }
        }
    }
}

/// Returns the fields that every worker adds to an answer of its own.
pub fn proof(request: &Message) -> String {
    let id = request.field("x-request-id").unwrap_or_default();
    format!("X-Request-Id: {id}\r\nX-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n")
}
