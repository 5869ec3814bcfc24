//! Parsing of chat completion requests, as far as the router needs them.

use std::borrow::Cow;

use serde::Deserialize;
use xxhash_rust::xxh3::Xxh3;

use crate::selection::BLOCK_TOKENS;

/// Number of bytes of prompt text that a reservation counts as one token.
///
/// Engines report about four bytes per token of ordinary text. The lower value keeps the reservation an upper bound in
/// practice; in any case, a bill never exceeds its reservation.
const PROMPT_BYTES_PER_TOKEN: u64 = 3;

/// Number of tokens that a prompt may have in addition to its text.
const PROMPT_OVERHEAD_TOKENS: u64 = 16;

/// Number of bytes of prompt text in one block of the prefix cache: 64 tokens of about four bytes.
const PREFIX_BLOCK_BYTES: usize = 256;

/// Maximum number of prefix blocks of a prompt.
///
/// Two longer prompts either differ within these blocks or share enough of them for the choice of an upstream.
const MAX_PREFIX_BLOCKS: usize = 64;

/// The fields of a chat completion request that the router needs; all other fields are forwarded unread.
#[derive(Debug, Deserialize)]
pub struct ChatRequest<'a> {
    /// Name of the model.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Messages of the conversation.
    #[serde(borrow)]
    pub messages: Vec<ChatMessage<'a>>,
    /// Maximum number of tokens to generate.
    pub max_tokens: Option<u64>,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a conversation.
#[derive(Debug, Deserialize)]
pub struct ChatMessage<'a> {
    /// Role of the author.
    #[serde(borrow)]
    pub role: Cow<'a, str>,
    /// Text of the message.
    #[serde(borrow)]
    pub content: Cow<'a, str>,
}

impl<'a> ChatRequest<'a> {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns a description of the first field that is missing or not valid.
    pub fn from_json(body: &'a [u8]) -> Result<Self, String> {
        let request: Self = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        if request.messages.is_empty() {
            return Err("messages: at least one message is required".into());
        }
        if request.max_tokens == Some(0) {
            return Err("max_tokens: must be at least 1".into());
        }
        Ok(request)
    }

    /// Returns the maximum number of prompt tokens that the request is charged for.
    pub fn prompt_tokens_bound(&self) -> u64 {
        let bytes: usize = self
            .messages
            .iter()
            .map(|message| message.content.len())
            .sum();
        (bytes as u64).div_ceil(PROMPT_BYTES_PER_TOKEN) + PROMPT_OVERHEAD_TOKENS
    }

    /// Returns the estimated number of tokens in the prompt, at the bytes per token of [`Self::prefix_hashes`].
    ///
    /// [`Self::prompt_tokens_bound`] counts three bytes as a token instead of four. With it, a cached prefix would
    /// appear to cover a quarter less of the prompt than it does.
    pub fn prompt_tokens_estimate(&self) -> u64 {
        let bytes: usize = self
            .messages
            .iter()
            .map(|message| message.content.len())
            .sum();
        (bytes * BLOCK_TOKENS as usize / PREFIX_BLOCK_BYTES) as u64
    }

    /// Returns the hashes of all messages except the last one, which belongs to this request; conversations and requests
    /// of one application share the others.
    pub fn shared_message_hashes(&self) -> Vec<u64> {
        let shared = self.messages.split_last().map(|(_, shared)| shared);
        let shared = shared.unwrap_or_default().iter();
        shared
            .map(|message| xxhash_rust::xxh3::xxh3_64(message.content.as_bytes()))
            .collect()
    }

    /// Returns the hashes of the prefixes of the prompt, one for each full block, the shortest prefix first.
    ///
    /// Engines report the contents of their prefix caches by the same hashes: the XXH3 hash of all message contents up
    /// to the end of the block.
    pub fn prefix_hashes(&self) -> Vec<u64> {
        let mut hasher = Xxh3::new();
        let mut blocks = Vec::new();
        let mut remaining_bytes = PREFIX_BLOCK_BYTES;
        for message in &self.messages {
            let mut content = message.content.as_bytes();
            while content.len() >= remaining_bytes && blocks.len() < MAX_PREFIX_BLOCKS {
                let (part, rest) = content.split_at(remaining_bytes);
                hasher.update(part);
                blocks.push(hasher.digest());
                content = rest;
                remaining_bytes = PREFIX_BLOCK_BYTES;
            }
            hasher.update(content);
            remaining_bytes = remaining_bytes.saturating_sub(content.len()).max(1);
        }
        blocks
    }
}
