//! Responses that are streams of events.

use std::rc::Rc;

use super::attempt::{self, Attempts};
use super::call::{Call, Refused};
use super::connection;
use super::relay::Relay;
use super::writer::Reader;
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
            connection::refuse(shared, &mut socket, &refused, Some(call.key), keep_alive).await;
            return keep_alive.then_some(socket);
        }
    };
    let reader = Reader::new(shared, call.priority, socket);
    let mut relay = Relay::new(shared, call, attempts, reader, keep_alive);
    match relay.run().await {
        Ok(charge_tokens) => {
            let charged_tokens = shared.budget.settle(call, reservation, charge_tokens).await;
            attempt::note_done(shared, call, charged_tokens);
            let reader = relay.into_completed().await;
            reader.finish().await.filter(|_| keep_alive)
        }
        Err(refused) => {
            shared.budget.release(reservation);
            fail(shared, call, relay, &refused, keep_alive).await
        }
    }
}

/// Answers with a refusal, or ends a response that has begun with an error event.
///
/// A response that has begun is closed without its last chunk, so that the caller can't take it for complete.
async fn fail(
    shared: &Rc<Shared>,
    call: &Call,
    relay: Relay<'_>,
    refused: &Refused,
    keep_alive: bool,
) -> Option<Socket> {
    let is_begun = relay.is_begun();
    let mut reader = relay.into_reader();
    if !is_begun {
        let mut socket = reader.finish().await?;
        connection::refuse(shared, &mut socket, refused, Some(call.key), keep_alive).await;
        return keep_alive.then_some(socket);
    }
    shared.metrics.count_refusal(refused.refusal);
    shared.note_request(call.key, refused.explanation());
    let detail = ErrorDetail {
        message: &refused.message,
        retry_after_ms: refused.retry_after_ms,
        request_key: Some(call.key),
    };
    let mut event = b"event: error\ndata: ".to_vec();
    event.extend(error_body(refused.refusal, refused.ran, &detail));
    event.extend(b"\n\n");
    reader.push_chunk(&[event.into()]);
    reader.finish().await;
    None
}
