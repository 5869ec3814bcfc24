//! Responses that are streams of server-sent events.

use std::rc::Rc;

use super::attempt::{self, Attempts};
use super::call::{Call, Refused};
use super::connection;
use super::relay::Relay;
use super::response_writer::ResponseWriter;
use super::Shared;
use crate::server::{error_body, ErrorDetail, Socket};

/// Serves a streamed response; returns the connection if it stays open.
pub(super) async fn serve(
    shared: &Rc<Shared>,
    call: &Call,
    mut socket: Socket,
    keep_alive: bool,
) -> Option<Socket> {
    let prepared = match shared.budget.reserve(call, shared.now_ms()).await {
        Ok(reservation) => Attempts::new(shared, call).map(|attempts| (reservation, attempts)),
        Err(refused) => Err(refused),
    };
    let (reservation, attempts) = match prepared {
        Ok(prepared) => prepared,
        Err(refused) => {
            connection::send_refusal(shared, &mut socket, &refused, Some(call.key), keep_alive)
                .await;
            return keep_alive.then_some(socket);
        }
    };
    let writer = ResponseWriter::new(shared, call.priority, socket);
    let mut relay = Relay::new(shared, call, attempts, writer, keep_alive);
    match relay.run().await {
        Ok(charge_tokens) => {
            let charged_tokens = shared.budget.settle(call, reservation, charge_tokens).await;
            attempt::record_completion(shared, call, charged_tokens);
            let writer = relay.complete().await;
            writer.finish().await.filter(|_| keep_alive)
        }
        Err(refused) => {
            shared.budget.release(reservation);
            end_with_refusal(shared, call, relay, &refused, keep_alive).await
        }
    }
}

/// Sends a refusal, as an error event if the response has started.
///
/// The connection of a response that has started is closed without the last chunk, so that the caller cannot mistake
/// the response for a complete one.
async fn end_with_refusal(
    shared: &Rc<Shared>,
    call: &Call,
    relay: Relay<'_>,
    refused: &Refused,
    keep_alive: bool,
) -> Option<Socket> {
    let has_started = relay.has_started();
    let mut writer = relay.into_writer();
    if !has_started {
        let mut socket = writer.finish().await?;
        connection::send_refusal(shared, &mut socket, refused, Some(call.key), keep_alive).await;
        return keep_alive.then_some(socket);
    }
    shared.metrics.count_refusal(refused.refusal);
    shared.record_decision(call.key, refused.explanation());
    let detail = ErrorDetail {
        message: &refused.message,
        retry_after_ms: refused.retry_after_ms,
        request_key: Some(call.key),
    };
    let mut event = b"event: error\ndata: ".to_vec();
    event.extend(error_body(
        refused.refusal,
        refused.execution_status,
        &detail,
    ));
    event.extend(b"\n\n");
    writer.push_chunk(&[event.into()]);
    writer.finish().await;
    None
}
