//! Bounded history of the decisions of one process.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;

use crate::ids::RequestKey;
use crate::rollout::Rollouts;

/// Largest number of decisions that a process retains.
///
/// At up to 250 bytes each they take at most 2 MiB, which fits the target of 32 MB for an idle process.
pub const MAX_DECISIONS: usize = 8192;

/// Subject of a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A request.
    Request(RequestKey),
    /// A customer's budget.
    Customer(CompactString),
    /// A version rollout.
    Rollout(CompactString),
}

/// A decision with its time and subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionRecord {
    /// Wall-clock time since the Unix epoch.
    pub time_ms: u64,
    /// Subject of the decision.
    pub subject: Subject,
    /// The decision and its evidence, as a sentence without the final full stop.
    pub text: CompactString,
}

/// Recent decisions of one process, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DecisionHistory {
    records: VecDeque<DecisionRecord>,
    rollouts: BTreeMap<CompactString, RecordedRollout>,
}

/// State of a rollout whose changes have been recorded.
#[derive(Clone, Debug, Default)]
struct RecordedRollout {
    revision: u64,
    step: u32,
    rolled_back: usize,
    has_ended: bool,
}

impl DecisionHistory {
    /// Records a decision, dropping the oldest one if the history is full.
    pub fn record(&mut self, time_ms: u64, subject: Subject, text: impl Into<CompactString>) {
        if self.records.len() == MAX_DECISIONS {
            self.records.pop_front();
        }
        self.records.push_back(DecisionRecord {
            time_ms,
            subject,
            text: text.into(),
        });
    }

    /// Records a decision on a request.
    pub fn record_request(
        &mut self,
        time_ms: u64,
        key: RequestKey,
        text: impl Into<CompactString>,
    ) {
        self.record(time_ms, Subject::Request(key), text);
    }

    /// Records what changed in the rollouts since the last call.
    ///
    /// Log records carry no time, so the recorded time is when this process learned of the change.
    pub fn record_rollouts(&mut self, time_ms: u64, rollouts: &Rollouts) {
        for (id, state) in rollouts.iter() {
            let recorded = self.rollouts.entry(id.into()).or_default();
            let mut texts = Vec::new();
            if state.revision != recorded.revision {
                texts.push(format!(
                    "revision {} moves {} from {} to {}",
                    state.revision, state.model, state.from_version, state.to_version
                ));
            }
            if state.step != recorded.step {
                texts.push(format!(
                    "step {} gives the new version {} ppm of the requests",
                    state.step, state.share_ppm
                ));
            }
            if state.rolled_back.len() > recorded.rolled_back {
                texts.push("a rollback came into force".to_owned());
            }
            if state.end.is_some() && !recorded.has_ended {
                texts.push("the rollout ended".to_owned());
            }
            *recorded = RecordedRollout {
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

    /// Returns the decisions on a subject as sentences with their times.
    pub fn sentences(&self, subject: &Subject) -> Vec<String> {
        let records = self
            .records
            .iter()
            .filter(|record| record.subject == *subject);
        records
            .map(|record| format!("At {} ms: {}.", record.time_ms, record.text))
            .collect()
    }
}
