//! HTTP interface for operators and scrapers.

use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;

use super::{connection, Shared};
use crate::server::{Request, ResponseHead, Socket};

/// Connections of operators and scrapers at the same time.
const MAX_CONNECTIONS: usize = 64;

/// Accepts operators until the process ends.
pub(super) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&open) <= MAX_CONNECTIONS => {
                let shared = Rc::clone(&shared);
                let open = Rc::clone(&open);
                monoio::spawn(async move {
                    serve(&shared, Socket::new(stream)).await;
                    drop(open);
                });
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!(step = "accept operator"; "{error}");
                monoio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn serve(shared: &Shared, mut socket: Socket) {
    while let Ok(request) = Request::read(&mut socket, connection::limits(shared)).await {
        let (status, content_type, body) = answer(shared, &request);
        let head = ResponseHead {
            status,
            content_type,
            keep_alive: request.keep_alive,
            retry_after_s: None,
        };
        let written = socket.write_all(head.with_body(body.as_bytes())).await;
        if written.is_err() || !request.keep_alive {
            return;
        }
    }
}

fn answer(shared: &Shared, request: &Request) -> (u16, &'static str, String) {
    match request.uri.path() {
        "/healthz" => (200, "text/plain", "ok".into()),
        "/metrics" => (
            200,
            "text/plain; version=0.0.4",
            shared.metrics.render_text(),
        ),
        "/metrics.json" => (200, "application/json", shared.metrics.render_json()),
        _ => (404, "text/plain", "no such path".into()),
    }
}
