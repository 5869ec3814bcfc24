//! Parsing of the head of a response.
//!
//! Upstreams in trouble may spoil any byte of a head. The decoder of the HTTP library accepts a lone line feed as a line
//! end and drops all fields after an empty line that ends with one, so a single changed byte can hide the length of the
//! body. This parser refuses such a head. See `docs/incidents/2026-12-07-spoilt-responses.md`.

use bytes::{Buf, BytesMut};
use http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::StatusCode;
use quick_error::quick_error;

use crate::framing::BodyLength;

/// Maximum number of fields in a head.
const MAX_FIELDS: usize = 96;

/// Minor version of HTTP/1.1, the first one with transfer codings.
const HTTP_11: u8 = 1;

quick_error! {
    /// Why a head is refused.
    #[derive(Debug)]
    pub enum HeadError {
        /// The status line or a field line does not have the syntax of HTTP.
        Syntax(error: httparse::Error) {
            display("the head is invalid: {}", error)
            from()
        }
        /// The lines are well-formed, but their content is not.
        Content(reason: &'static str) {
            display("{}", reason)
            from()
        }
    }
}

/// Head of a response.
pub(super) struct Head {
    pub(super) status: u16,
    pub(super) fields: HeaderMap,
    pub(super) body_length: BodyLength,
    /// Whether the length has more white space around it than the single space that upstreams write. A blank in place
    /// of a digit looks like that.
    pub(super) has_padded_length: bool,
}

impl Head {
    /// Takes a head from the input; returns `None` if more input is needed.
    ///
    /// # Errors
    ///
    /// Returns why the input cannot be the beginning of a valid head.
    pub(super) fn take(input: &mut BytesMut) -> Result<Option<Self>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut response = httparse::Response::new(&mut fields);
        let Some(size) = complete(response.parse(input)?) else {
            check_line_ends(input)?;
            return Ok(None);
        };
        let bytes = &input[..size];
        check_line_ends(bytes)?;
        let status = response.code.unwrap_or_default();
        if !(100..600).contains(&status) {
            return Err("the status is not between 100 and 599".into());
        }
        let fields = field_map(response.headers)?;
        let body_length = BodyLength::of(&fields)?;
        let is_http_11 = response.version == Some(HTTP_11);
        check_body_length(status, is_http_11, body_length)?;
        if body_length == BodyLength::Unstated && lines(bytes).any(is_spoilt_length_field) {
            return Err("a field differs in one byte from one that states the length".into());
        }
        let head = Self {
            status,
            fields,
            body_length,
            has_padded_length: lines(bytes).any(is_padded_length),
        };
        input.advance(size);
        Ok(Some(head))
    }

    /// Returns whether another head follows on the connection for the same request.
    pub(super) fn is_interim(&self) -> bool {
        self.status < StatusCode::OK.as_u16()
    }
}

fn complete(status: httparse::Status<usize>) -> Option<usize> {
    match status {
        httparse::Status::Complete(size) => Some(size),
        httparse::Status::Partial => None,
    }
}

/// Checks that each line feed follows a carriage return; the parser checks the reverse.
fn check_line_ends(bytes: &[u8]) -> Result<(), HeadError> {
    let mut previous = 0;
    for &byte in bytes {
        if byte == b'\n' && previous != b'\r' {
            return Err("a line of the head does not end with CRLF".into());
        }
        previous = byte;
    }
    Ok(())
}

fn field_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, HeadError> {
    let mut map = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        match (name, value) {
            (Ok(name), Ok(value)) => map.append(name, value),
            _ => return Err("a field of the head is invalid".into()),
        };
    }
    Ok(map)
}

/// Checks that the status and the version allow a body whose length is stated in this way.
fn check_body_length(
    status: u16,
    is_http_11: bool,
    body_length: BodyLength,
) -> Result<(), HeadError> {
    let has_body = matches!(body_length, BodyLength::Fixed(1..) | BodyLength::Chunked);
    if has_body && (status < 200 || status == 204) {
        return Err("the response has a body, which its status excludes".into());
    }
    if body_length == BodyLength::Chunked && !is_http_11 {
        return Err("the transfer coding is unknown in this version of HTTP".into());
    }
    Ok(())
}

/// Returns the lines of a head without their line ends.
fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = bytes.split(|byte| *byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Returns whether a line would state the length of the body if one byte of its name or its colon were another.
fn is_spoilt_length_field(line: &[u8]) -> bool {
    [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| {
        let expected = name.as_str().bytes().chain([b':']);
        let pairs = line.iter().zip(expected);
        let differing = pairs.filter(|(byte, expected)| !byte.eq_ignore_ascii_case(expected));
        line.len() > name.as_str().len() && differing.count() == 1
    })
}

/// Returns whether a line states the length of the body with more white space than one leading space.
fn is_padded_length(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    let value = value.strip_prefix(b" ").unwrap_or(value);
    let is_length = name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str().as_bytes());
    is_length && value.trim_ascii().len() < value.len()
}
