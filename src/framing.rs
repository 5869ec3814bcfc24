//! Framing of message bodies by the header fields.

use http::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};

/// Length of a body as the header fields state it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyLength {
    /// No field states a length.
    Unstated,
    /// Number of bytes.
    Fixed(usize),
    /// The chunked transfer coding delimits the body.
    Chunked,
}

impl BodyLength {
    /// Reads the length from the header fields.
    ///
    /// A length that is stated twice is invalid even if both statements agree, because two parsers could disagree on
    /// where the body ends, which allows request smuggling and mixes up responses.
    ///
    /// # Errors
    ///
    /// Returns what is invalid, ambiguous or unsupported.
    pub(crate) fn of(headers: &HeaderMap) -> Result<Self, &'static str> {
        let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
        let length = lengths.next();
        if lengths.next().is_some() {
            return Err("the content-length header is repeated");
        }
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        match (length, codings.next(), codings.next()) {
            (None, None, _) => Ok(Self::Unstated),
            (Some(length), None, _) => length
                .to_str()
                .ok()
                .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
                .and_then(|text| text.parse().ok())
                .map(Self::Fixed)
                .ok_or("content-length is not a number"),
            (None, Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Ok(Self::Chunked)
            }
            _ => Err("the framing of the body is ambiguous or unsupported"),
        }
    }
}
