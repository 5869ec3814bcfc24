//! The failure detector, which decides which incarnations are live and which may be closed or finalised.
//!
//! A closed incarnation loses its spending rights, so the rule is conservative: an incarnation is closed after
//! `close_after_ms` without a log record, as seen by a reader that was caught up with the log all that time, if there
//! is no current heartbeat either. A false closure is still safe, because all rights granted to the incarnation count
//! as spent. The platform's VM list is not used, because it lags and may be wrong.

use std::collections::BTreeMap;

use crate::ids::IncarnationId;
use crate::membership::{rendezvous, Member, MemberPhase, Members};
use crate::record::{Close, Entry, Finalize};
use crate::settings::Timing;

/// Number of heartbeat intervals between two ticks above which the process is considered to have been paused.
const PAUSE_INTERVALS: u64 = 3;

/// What this process has observed of one incarnation.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    last_record_ms: u64,
    last_heartbeat_ms: Option<u64>,
    ended_ms: Option<u64>,
    is_leaving: bool,
    proposed_ms: Option<u64>,
}

/// Failure detector for the other incarnations, based on their log records and heartbeats.
#[derive(Debug)]
pub struct FailureDetector {
    timing: Timing,
    observations: BTreeMap<IncarnationId, Observation>,
    /// Time since which the reader has been caught up with the log without a gap.
    caught_up_since_ms: Option<u64>,
    last_tick_ms: Option<u64>,
}

impl FailureDetector {
    /// Creates a detector without observations.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            observations: BTreeMap::new(),
            caught_up_since_ms: None,
            last_tick_ms: None,
        }
    }

    /// Records that a log record of an incarnation was read.
    pub fn on_record(&mut self, id: IncarnationId, now_ms: u64) {
        self.observations.entry(id).or_default().last_record_ms = now_ms;
    }

    /// Records a heartbeat of an incarnation.
    pub fn on_heartbeat(&mut self, id: IncarnationId, is_leaving: bool, now_ms: u64) {
        let observation = self.observations.entry(id).or_default();
        observation.last_heartbeat_ms = Some(now_ms);
        observation.is_leaving |= is_leaving;
    }

    /// Records that the connection to an incarnation was refused or broke, so it is not live until its next heartbeat.
    pub fn on_disconnect(&mut self, id: IncarnationId) {
        if let Some(observation) = self.observations.get_mut(&id) {
            observation.last_heartbeat_ms = None;
        }
    }

    /// Records whether the reader has read all records of the log.
    pub fn on_caught_up(&mut self, is_caught_up: bool, now_ms: u64) {
        if !is_caught_up {
            self.caught_up_since_ms = None;
        } else if self.caught_up_since_ms.is_none() {
            self.caught_up_since_ms = Some(now_ms);
        }
    }

    /// Returns whether the incarnation's newest heartbeat is recent and it is not leaving.
    pub fn is_live(&self, id: IncarnationId, now_ms: u64) -> bool {
        self.observations.get(&id).is_some_and(|observation| {
            !observation.is_leaving && self.has_heartbeat(observation, now_ms)
        })
    }

    /// Returns whether a heartbeat of the incarnation arrived at or after `since_ms`.
    pub fn has_heartbeat_since(&self, id: IncarnationId, since_ms: u64) -> bool {
        self.observations
            .get(&id)
            .and_then(|observation| observation.last_heartbeat_ms)
            .is_some_and(|last| last >= since_ms)
    }

    /// Returns the `Close` and `Finalize` entries that the process `own` should write now.
    ///
    /// The live members propose one after the other in the order of their rendezvous rank, one heartbeat timeout apart,
    /// so that a failed VM does not cause one record from each survivor.
    pub fn propose(&mut self, own: IncarnationId, members: &Members, now_ms: u64) -> Vec<Entry> {
        self.detect_pause(now_ms);
        self.update_ended(members, now_ms);
        let Some(caught_up_since_ms) = self.caught_up_since_ms else {
            return Vec::new();
        };
        let live: Vec<_> = members
            .iter()
            .filter(|(id, member)| {
                member.phase == MemberPhase::Open && (*id == own || self.is_live(*id, now_ms))
            })
            .map(|(id, _)| id)
            .collect();
        let mut entries = Vec::new();
        for (id, member) in members.iter().filter(|(id, _)| *id != own) {
            let observation = self.observations.get(&id).copied().unwrap_or_default();
            let Some((due_ms, entry)) = self.next_proposal(id, member, caught_up_since_ms, now_ms)
            else {
                continue;
            };
            // A proposal is repeated only after a heartbeat timeout, because folding it from the log takes time.
            let may_propose = observation
                .proposed_ms
                .is_none_or(|proposed| now_ms >= proposed + self.timing.heartbeat_timeout_ms);
            if now_ms < due_ms || !may_propose {
                continue;
            }
            let rank = rendezvous::rank(&id.0.to_be_bytes(), live.iter().copied())
                .iter()
                .position(|candidate| *candidate == own)
                .unwrap_or(live.len()) as u64;
            if now_ms >= due_ms + rank * self.timing.heartbeat_timeout_ms {
                self.observations.entry(id).or_default().proposed_ms = Some(now_ms);
                entries.push(entry);
            }
        }
        entries
    }

    /// Returns the entry to propose for a member and the time from which the member with rank 0 may propose it.
    fn next_proposal(
        &self,
        id: IncarnationId,
        member: &Member,
        caught_up_since_ms: u64,
        now_ms: u64,
    ) -> Option<(u64, Entry)> {
        let observation = self.observations.get(&id).copied().unwrap_or_default();
        if let Some(ended_ms) = observation.ended_ms {
            let entry = Entry::Finalize(Finalize { incarnation: id.0 });
            return Some((ended_ms + self.timing.finalize_after_ms, entry));
        }
        if self.has_heartbeat(&observation, now_ms) {
            return None;
        }
        let silent_since_ms = observation.last_record_ms.max(caught_up_since_ms);
        let silent_ms = now_ms.saturating_sub(silent_since_ms);
        let entry = Entry::Close(Close {
            incarnation: id.0,
            last_seq: member.last_seq,
            reason: format!("no log record for {silent_ms} ms and no heartbeat"),
        });
        Some((silent_since_ms + self.timing.close_after_ms, entry))
    }

    fn has_heartbeat(&self, observation: &Observation, now_ms: u64) -> bool {
        observation
            .last_heartbeat_ms
            .is_some_and(|last| now_ms < last + self.timing.heartbeat_timeout_ms)
    }

    /// Restarts the period of silence of all others after a pause of this process, during which it read no records.
    fn detect_pause(&mut self, now_ms: u64) {
        let limit_ms = PAUSE_INTERVALS * self.timing.heartbeat_interval_ms;
        if self
            .last_tick_ms
            .is_some_and(|last| now_ms > last + limit_ms)
        {
            self.caught_up_since_ms = None;
        }
        self.last_tick_ms = Some(now_ms);
    }

    /// Records when this process first saw that an incarnation had ended, and drops those that were finalised.
    fn update_ended(&mut self, members: &Members, now_ms: u64) {
        // A process whose `Open` is not folded yet is no member, but its heartbeats are kept while they arrive.
        let retention_ms = self.timing.close_after_ms;
        self.observations.retain(|id, observation| {
            members.get(*id).is_some()
                || observation
                    .last_heartbeat_ms
                    .is_some_and(|last| now_ms < last + retention_ms)
        });
        for (id, member) in members.iter() {
            if member.phase != MemberPhase::Open {
                let observation = self.observations.entry(id).or_default();
                if observation.ended_ms.is_none() {
                    observation.ended_ms = Some(now_ms);
                    observation.proposed_ms = None;
                }
            }
        }
    }
}
