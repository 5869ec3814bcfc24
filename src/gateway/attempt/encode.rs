//! Encoding of requests to upstreams.

use bytes::{BufMut, Bytes, BytesMut};

use super::Target;
use crate::gateway::request::Call;
use crate::gateway::Shared;
use crate::platform::headers::{self, RouterFields};
use crate::upstream_client::{join_small_body, put_fields};

/// Encodes a request, with the header fields that the gateway sets, as parts to write one after the other.
pub(super) fn encode(shared: &Shared, call: &Call<'_>, target: &Target<'_>) -> [Bytes; 2] {
    let request = call.request;
    let router_fields = RouterFields {
        upstream: target.id,
        team: call.team_name(),
        remaining_ms: call.remaining_ms(shared),
        priority: call.upstream_priority(),
        last_event_id: target.last_event_id,
    };
    let fields = headers::upstream_request_fields(&request.headers, &router_fields);
    let mut output = BytesMut::with_capacity(1_024);
    output.put_slice(request.method.as_str().as_bytes());
    output.put_u8(b' ');
    output.put_slice(call.request_target().as_bytes());
    output.put_slice(b" HTTP/1.1\r\n");
    put_fields(&mut output, &fields);
    if !fields.contains_key(http::header::HOST) {
        output.put_slice(format!("host: {}\r\n", target.entry.address).as_bytes());
    }
    if !request.body.is_empty() || request.method != http::Method::GET {
        output.put_slice(format!("content-length: {}\r\n", request.body.len()).as_bytes());
    }
    output.put_slice(b"\r\n");
    join_small_body(output, &request.body)
}
