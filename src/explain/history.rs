//! Recent decisions of one process.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;

use crate::ids::RequestKey;
use crate::rollout::Rollouts;

/// Decisions that a process remembers.
///
/// At up to 250 bytes each they stay at 2 MiB, which the target of 32 MB for an idle process leaves room for.
pub const MAX_DECISIONS: usize = 8192;

/// What a decision is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A request.
    Request(RequestKey),
    /// A customer's budget.
    Customer(CompactString),
    /// A version rollout.
    Rollout(CompactString),
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionRecord {
    /// Wall-clock time since the Unix epoch.
    pub time_ms: u64,
    /// What the decision is about.
    pub subject: Subject,
    /// The decision and its evidence, as a sentence without a full stop.
    pub text: CompactString,
}

/// Recent decisions of one process, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct DecisionHistory {
    notes: VecDeque<DecisionRecord>,
    rollouts: BTreeMap<CompactString, SeenRollout>,
}

/// Part of a rollout's state that was noted before.
#[derive(Clone, Debug, Default)]
struct SeenRollout {
    revision: u64,
    step: u32,
    rolled_back: usize,
    has_ended: bool,
}

impl DecisionHistory {
    /// Adds a decision and forgets the oldest one if there are too many.
    pub fn record(&mut self, time_ms: u64, subject: Subject, text: impl Into<CompactString>) {
        if self.notes.len() == MAX_DECISIONS {
            self.notes.pop_front();
        }
        self.notes.push_back(DecisionRecord {
            time_ms,
            subject,
            text: text.into(),
        });
    }

    /// Adds a decision on a request.
    pub fn record_request(
        &mut self,
        time_ms: u64,
        key: RequestKey,
        text: impl Into<CompactString>,
    ) {
        self.record(time_ms, Subject::Request(key), text);
    }

    /// Adds what changed in the rollouts since the last call.
    ///
    /// Log records carry no time, so the time noted is that at which this process learned of the change.
    pub fn record_rollouts(&mut self, time_ms: u64, rollouts: &Rollouts) {
        for (id, state) in rollouts.iter() {
            let seen = self.rollouts.entry(id.into()).or_default();
            let mut texts = Vec::new();
            if state.revision != seen.revision {
                texts.push(format!(
                    "revision {} moves {} from {} to {}",
                    state.revision, state.model, state.from_version, state.to_version
                ));
            }
            if state.step != seen.step {
                texts.push(format!(
                    "step {} gives the new version {} ppm of the requests",
                    state.step, state.share_ppm
                ));
            }
            if state.rolled_back.len() > seen.rolled_back {
                texts.push("a rollback came into force".to_owned());
            }
            if state.end.is_some() && !seen.has_ended {
                texts.push("the rollout ended".to_owned());
            }
            *seen = SeenRollout {
                revision: state.revision,
                step: state.step,
                rolled_back: state.rolled_back.len(),
                has_ended: state.end.is_some(),
            };
            for text in texts {
                self.record(time_ms, Subject::Rollout(id.into()), text);
            }
        }
    }

    /// Returns the decisions on a subject as sentences with their time.
    pub fn sentences(&self, subject: &Subject) -> Vec<String> {
        let notes = self.notes.iter().filter(|note| note.subject == *subject);
        notes
            .map(|note| format!("At {} ms: {}.", note.time_ms, note.text))
            .collect()
    }
}
