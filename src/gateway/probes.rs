//! Readiness probes of the load balancer and scrapes of the metrics.

use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;

use super::Shared;
use crate::server::{Request, RequestLimits, ResponseHead, Socket};

/// Limits of probe and scrape requests, which have no body.
const LIMITS: RequestLimits = RequestLimits {
    head_bytes: 8 << 10,
    body_bytes: 0,
    head_timeout: Duration::from_secs(2),
    read_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(10),
};

/// Maximum number of concurrent connections to one address; further ones are closed at once.
const MAX_CONNECTIONS: usize = 64;

/// Accepts connections until the process ends.
pub(super) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    // Each open connection holds a clone.
    let connection_count = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&connection_count) <= MAX_CONNECTIONS => {
                let shared = Rc::clone(&shared);
                let connection_count = Rc::clone(&connection_count);
                monoio::spawn(async move {
                    serve(shared, Socket::new(stream)).await;
                    drop(connection_count);
                });
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!(step = "accept probe"; "accepting a connection failed: {error}");
                monoio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve(shared: Rc<Shared>, mut socket: Socket) {
    while let Ok(request) = Request::read(&mut socket, LIMITS, |_| None).await {
        let (status, body) = match request.uri.path() {
            "/metrics" => (200, shared.metrics.render_prometheus()),
            _ if shared.is_ready() => (200, String::new()),
            _ => (503, String::new()),
        };
        let head = ResponseHead {
            status,
            content_type: "text/plain; version=0.0.4",
            keep_alive: request.keep_alive,
            retry_after_s: None,
        };
        let written = socket.write_all(head.with_body(body.as_bytes())).await;
        if written.is_err() || !request.keep_alive {
            return;
        }
    }
}
