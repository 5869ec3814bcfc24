//! Head of the response for the caller.

use bytes::{BufMut, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

use crate::gateway::attempt::StartedResponse;
use crate::platform::headers;
use crate::upstream_client::put_fields;

/// Framing of the body towards the caller.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// Unframed; the head states the length.
    Length,
    /// Chunked transfer coding.
    Chunked,
}

/// Encodes the response head for the caller.
pub(super) fn encode_head(
    response: &StartedResponse,
    framing: Framing,
    keep_alive: bool,
) -> BytesMut {
    let status = response.upstream_response.status();
    let reason_phrase = http::StatusCode::from_u16(status).ok();
    let reason_phrase = reason_phrase.and_then(|status| status.canonical_reason());
    let mut output = BytesMut::with_capacity(512);
    output.put_slice(
        format!(
            "HTTP/1.1 {status} {}\r\n",
            reason_phrase.unwrap_or("Unknown")
        )
        .as_bytes(),
    );
    let mut fields = headers::end_to_end(response.upstream_response.headers());
    fields.remove(TRANSFER_ENCODING);
    if framing == Framing::Chunked {
        fields.remove(CONTENT_LENGTH);
    }
    put_fields(&mut output, &fields);
    match framing {
        Framing::Chunked => output.put_slice(b"transfer-encoding: chunked\r\n"),
        Framing::Length if !fields.contains_key(CONTENT_LENGTH) => {
            output.put_slice(b"content-length: 0\r\n");
        }
        Framing::Length => {}
    }
    if !keep_alive {
        output.put_slice(b"connection: close\r\n");
    }
    output.put_slice(b"\r\n");
    output
}
