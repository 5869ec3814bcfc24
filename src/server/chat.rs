//! The parts of a chat completion request that the router needs.

use std::borrow::Cow;

use serde::Deserialize;
use xxhash_rust::xxh3::Xxh3;

use crate::selection::BLOCK_TOKENS;

/// Bytes of prompt text that the reservation counts as one token.
///
/// Engines report about four bytes for each token of ordinary text; the lower value keeps the reservation an upper bound
/// in practice. A bill never exceeds its reservation in any case.
const PROMPT_BYTES_PER_TOKEN: u64 = 3;

/// Tokens that a prompt may need beyond its text.
const PROMPT_OVERHEAD_TOKENS: u64 = 16;

/// Prompt bytes that make one block of the prefix cache: 64 tokens of about four bytes.
const PREFIX_BLOCK_BYTES: usize = 256;

/// Largest number of prefix blocks that are compared; longer prompts differ early or share enough.
const MAX_PREFIX_BLOCKS: usize = 64;

/// The parts of a chat completion request that the router needs; all other fields go to the engine unread.
#[derive(Debug, Deserialize)]
pub struct ChatRequest<'a> {
    /// Name of the model.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Messages of the conversation.
    #[serde(borrow)]
    pub messages: Vec<ChatMessage<'a>>,
    /// Largest number of tokens to generate.
    pub max_tokens: Option<u64>,
    /// Whether the response is a stream of events.
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
    /// Returns a description of the first field that is missing or has the wrong type.
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

    /// Returns the largest number of prompt tokens that the request is charged for.
    pub fn prompt_tokens_bound(&self) -> u64 {
        let bytes: usize = self
            .messages
            .iter()
            .map(|message| message.content.len())
            .sum();
        (bytes as u64).div_ceil(PROMPT_BYTES_PER_TOKEN) + PROMPT_OVERHEAD_TOKENS
    }

    /// Returns the number of tokens that the prompt probably has, on the scale of [`Self::prefix_blocks`].
    ///
    /// The bound above counts each byte and would make a cached prefix look a quarter of its worth.
    pub fn prompt_tokens_estimate(&self) -> u64 {
        let bytes: usize = self
            .messages
            .iter()
            .map(|message| message.content.len())
            .sum();
        (bytes * BLOCK_TOKENS as usize / PREFIX_BLOCK_BYTES) as u64
    }

    /// Returns the hashes of the prompt's prefixes, one for each full block, the shortest first.
    ///
    /// Engines report their prefix caches by the same hashes: the XXH3 of all message contents up to the block's end.
    pub fn prefix_blocks(&self) -> Vec<u64> {
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
