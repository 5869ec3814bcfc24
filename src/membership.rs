//! Incarnations of router processes, folded from the log.
//!
//! See `docs/design.md`, section 3.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::IncarnationId;

/// Number of retired writers that are retained so that a delayed copy of their first batch is dropped.
///
/// The bound is a count and not a duration, because all processes must drop the same writers at the same offset. It
/// covers two days at 10,000 operator batches a day.
pub const RETAINED_WRITERS: usize = 20_000;

pub mod detector;
pub mod rendezvous;

/// Life cycle phase of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberPhase {
    /// The incarnation may claim calls and receive grants.
    Open,
    /// A peer closed the incarnation; its grants count as spent until it is finalised.
    Closed,
    /// The incarnation ended after a graceful shutdown.
    Left,
}

/// One incarnation of a router process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: CompactString,
    /// Name of the data centre.
    pub data_centre: CompactString,
    /// Address for peers, as `ip:port`.
    pub address: CompactString,
    /// Life cycle phase.
    pub phase: MemberPhase,
    /// Number of its newest batch that was folded.
    pub last_seq: u64,
}

/// All incarnations that are not yet finalised.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    members: BTreeMap<IncarnationId, Member>,
    /// Retired writers, the oldest first.
    #[serde(default)]
    ended: VecDeque<IncarnationId>,
}

impl Members {
    /// Adds an incarnation.
    pub fn open(&mut self, id: IncarnationId, member: Member) {
        self.members.entry(id).or_insert(member);
    }

    /// Closes an incarnation if `last_seq` is still its newest batch; returns whether it was closed.
    pub fn close(&mut self, id: IncarnationId, last_seq: u64) -> bool {
        match self.members.get_mut(&id) {
            Some(member) if member.phase == MemberPhase::Open && member.last_seq == last_seq => {
                member.phase = MemberPhase::Closed;
                true
            }
            _ => false,
        }
    }

    /// Ends an incarnation after its graceful shutdown.
    pub fn leave(&mut self, id: IncarnationId) {
        if let Some(member) = self.members.get_mut(&id) {
            if member.phase == MemberPhase::Open {
                member.phase = MemberPhase::Left;
            }
        }
    }

    /// Removes an incarnation that has ended; returns whether it was removed.
    pub fn finalize(&mut self, id: IncarnationId) -> bool {
        match self.members.get(&id) {
            Some(member) if member.phase != MemberPhase::Open => {
                self.members.remove(&id);
                self.retire_writer(id);
                true
            }
            _ => false,
        }
    }

    /// Retains a writer whose further batches must be dropped.
    pub fn retire_writer(&mut self, id: IncarnationId) {
        if self.ended.len() == RETAINED_WRITERS {
            self.ended.pop_front();
        }
        self.ended.push_back(id);
    }

    /// Returns whether a writer was finalised, or was an operator command whose only batch was folded.
    pub fn is_retired(&self, id: IncarnationId) -> bool {
        self.ended.contains(&id)
    }

    /// Returns an incarnation.
    pub fn get(&self, id: IncarnationId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns a mutable reference to an incarnation.
    pub fn get_mut(&mut self, id: IncarnationId) -> Option<&mut Member> {
        self.members.get_mut(&id)
    }

    /// Returns all incarnations in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (IncarnationId, &Member)> {
        self.members.iter().map(|(&id, member)| (id, member))
    }
}
