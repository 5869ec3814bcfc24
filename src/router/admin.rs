//! HTTP interface for operators and metric scrapers.

use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;

use super::{connection, Phase, Shared};
use crate::explain;
use crate::server::{Request, ResponseHead, Socket};
use crate::status::{FleetReport, PeerReport, ProcessReport};

/// Maximum number of concurrent connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 64;

/// Accepts connections of operators and scrapers until the process ends.
pub(super) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    // Each open connection holds a clone.
    let connection_count = Rc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Rc::strong_count(&connection_count) <= MAX_CONNECTIONS => {
                let shared = Rc::clone(&shared);
                let connection_count = Rc::clone(&connection_count);
                monoio::spawn(async move {
                    serve(&shared, Socket::new(stream)).await;
                    drop(connection_count);
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
    let limits = connection::request_limits(shared);
    while let Ok(request) = Request::read(&mut socket, limits, |_| None).await {
        let (status, content_type, body) = handle_request(shared, &request);
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

fn handle_request(shared: &Shared, request: &Request) -> (u16, &'static str, String) {
    match request.uri.path() {
        "/healthz" => (200, "text/plain", "ok".into()),
        "/metrics" => (
            200,
            "text/plain; version=0.0.4",
            shared.metrics.render_prometheus(),
        ),
        "/metrics.json" => (200, "application/json", shared.metrics.render_json()),
        "/status" => {
            let report = FleetReport::new(process_report(shared), &shared.fleet.state());
            (200, "application/json", report.render_json())
        }
        path => match path.strip_prefix("/explain/") {
            Some(subject) => explain(shared, subject),
            None => not_found(),
        },
    }
}

fn explain(shared: &Shared, subject: &str) -> (u16, &'static str, String) {
    let answer = explain::explain_path(subject, &shared.fleet.state(), &shared.decisions.borrow());
    match answer {
        // Serialising strings and a flag cannot fail.
        Some(answer) => (
            if answer.is_known { 200 } else { 404 },
            "application/json",
            serde_json::to_string(&answer).unwrap_or_default(),
        ),
        None => not_found(),
    }
}

fn not_found() -> (u16, &'static str, String) {
    (404, "text/plain", "no such path".into())
}

fn process_report(shared: &Shared) -> ProcessReport {
    let buffer_shares = shared.buffer_shares.borrow();
    let peers = shared.fleet.peers();
    ProcessReport {
        vm: shared.settings.vm.clone(),
        data_centre: shared.settings.data_centre.clone(),
        incarnation: shared.fleet.incarnation().to_string().into(),
        is_ready: shared.phase.get() == Phase::Serving,
        is_stopping: shared.phase.get() == Phase::Stopping,
        log_lag_records: shared.fleet.log_lag(),
        log_silent_ms: 0,
        open_responses: buffer_shares.open_responses() as u64,
        queued_requests: shared.pools.borrow().queue_len() as u64,
        held_bytes: buffer_shares.total_held_bytes() as u64,
        peers: peers
            .into_iter()
            .map(|peer| PeerReport {
                vm: peer.vm,
                silent_ms: 0,
                next_offset: peer.next_offset,
            })
            .collect(),
    }
}
