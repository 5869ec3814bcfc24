//! Encoding of response heads and error bodies.

use std::fmt::Write;

use bytes::{BufMut, Bytes, BytesMut};
use http::StatusCode;
use serde::Serialize;

use crate::ids::RequestKey;
use crate::refusal::{ExecutionStatus, Refusal};

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead<'a> {
    /// Status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'a str,
    /// Whether the connection stays open.
    pub keep_alive: bool,
    /// Seconds after which the caller may retry.
    pub retry_after_s: Option<u64>,
}

impl ResponseHead<'_> {
    /// Encodes a response with its whole body.
    pub fn with_body(&self, body: &[u8]) -> Bytes {
        let mut output = self.start(body.len() + 256);
        let _ = write!(output, "content-length: {}\r\n\r\n", body.len());
        output.put_slice(body);
        output.freeze()
    }

    /// Encodes the head of a response whose body follows in chunks.
    pub fn chunked(&self) -> Bytes {
        let mut output = self.start(256);
        output.put_slice(b"transfer-encoding: chunked\r\ncache-control: no-store\r\n\r\n");
        output.freeze()
    }

    fn start(&self, capacity: usize) -> BytesMut {
        let mut output = BytesMut::with_capacity(capacity);
        let reason = StatusCode::from_u16(self.status)
            .ok()
            .and_then(|status| status.canonical_reason())
            .unwrap_or("Unknown");
        // Writing to a buffer that grows cannot fail.
        let _ = write!(
            output,
            "HTTP/1.1 {} {reason}\r\ncontent-type: {}\r\n",
            self.status, self.content_type
        );
        if !self.keep_alive {
            output.put_slice(b"connection: close\r\n");
        }
        if let Some(seconds) = self.retry_after_s {
            let _ = write!(output, "retry-after: {seconds}\r\n");
        }
        output
    }
}

/// What a refusal tells the caller beyond its code.
#[derive(Clone, Debug, Default)]
pub struct ErrorDetail<'a> {
    /// Description for people.
    pub message: &'a str,
    /// Time after which a retry may succeed.
    pub retry_after_ms: Option<u64>,
    /// Key of the request, once it is known.
    pub request_key: Option<RequestKey>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    code: &'a str,
    message: &'a str,
    ran: ExecutionStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_key: Option<RequestKey>,
}

/// Encodes the JSON body of a refusal.
pub fn error_body(refusal: Refusal, ran: ExecutionStatus, detail: &ErrorDetail<'_>) -> Vec<u8> {
    let body = ErrorBody {
        error: ErrorFields {
            code: refusal.code(),
            message: detail.message,
            ran,
            retry_after_ms: detail.retry_after_ms,
            request_key: detail.request_key,
        },
    };
    serde_json::to_vec(&body).unwrap_or_default()
}
