//! What a choice is made from: prompts, load reports, candidates.

/// Load that an upstream reported with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// Time that work takes at present, in percent of the usual time; `None` if the upstream does not state it.
    pub work_percent: Option<u32>,
}

/// Number of parts of a prompt that are told apart.
pub(super) const MAX_PARTS: usize = 4;

/// A beginning of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the last part of the beginning.
    pub id: u64,
    /// Tokens up to the end of that part.
    pub end_tokens: u64,
}

/// The beginnings of a prompt that other prompts may share, the shortest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptParts {
    parts: [PromptPart; MAX_PARTS],
    count: usize,
}

impl PromptParts {
    /// Adds a longer beginning. If there is no room, it replaces the last one.
    pub fn push(&mut self, part: PromptPart) {
        self.count = (self.count + 1).min(MAX_PARTS);
        self.parts[self.count - 1] = part;
    }

    /// Returns the beginnings.
    pub fn as_slice(&self) -> &[PromptPart] {
        &self.parts[..self.count]
    }
}

/// The prompt of a request to a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Hash that identifies the session, whose requests share the beginning of their prompts.
    pub session: u64,
    /// Tokens of the beginning that the requests of the session share.
    pub shared_tokens: u64,
    /// Tokens that follow the shared beginning.
    pub own_tokens: u64,
    /// The beginnings that other prompts may share; the last one is that of the session.
    pub parts: PromptParts,
}

impl Prompt {
    /// Returns the length of the prompt.
    pub fn total_tokens(&self) -> u64 {
        self.own_tokens + self.shared_tokens
    }
}

/// An upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Id of the upstream.
    pub id: &'a str,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Whether it is in the same data centre as this router.
    pub is_local: bool,
}
