//! Status reports for operators.
//!
//! A router builds a [`FleetReport`] from its folded state and the status of its own process, and serves it as JSON on
//! its admin address. The command `monsoonfield status` fetches that JSON and prints it as tables.

mod text;

use clap::ArgMatches;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::cli::{self, CommandOutput, OutputFormat};
use crate::fleet_state::FleetState;
use crate::ids::{IncarnationId, Offset};
use crate::membership::MemberPhase;

/// Status of one router process that is not part of the shared state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessReport {
    /// Name of the VM.
    pub vm: CompactString,
    /// Name of the data centre.
    pub data_centre: CompactString,
    /// Incarnation of the process, as in the list of members.
    pub incarnation: CompactString,
    /// Whether the process accepts requests.
    pub is_ready: bool,
    /// Whether the process is shutting down.
    pub is_stopping: bool,
    /// Number of log records up to the newest known offset that the process has not folded yet.
    pub log_lag_records: u64,
    /// Time since the last response of the log; 0 if the process does not measure it.
    pub log_silent_ms: u64,
    /// Number of open responses.
    pub open_responses: u64,
    /// Number of requests in the admission queue.
    pub queued_requests: u64,
    /// Bytes buffered for callers that read slowly.
    pub held_bytes: u64,
    /// Connected peers.
    pub peers: Vec<PeerReport>,
}

/// A peer, as seen by the reporting router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReport {
    /// Name of the peer's VM.
    pub vm: CompactString,
    /// Time since the peer's last message; 0 if the process does not measure it.
    pub silent_ms: u64,
    /// Offset of the next record that the peer folds.
    pub next_offset: Offset,
}

/// An incarnation in the shared state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Identity of the incarnation.
    pub incarnation: IncarnationId,
    /// Name of the VM.
    pub vm: CompactString,
    /// Name of the data centre.
    pub data_centre: CompactString,
    /// Phase of its life cycle.
    pub phase: MemberPhase,
    /// Sequence number of the newest folded batch.
    pub last_seq: u64,
}

/// A customer's budget in the shared state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetReport {
    /// Name of the customer.
    pub customer: CompactString,
    /// Revision of the contract in force.
    pub revision: u64,
    /// Cumulative prepaid total.
    pub prepaid_total_tokens: u64,
    /// Tokens billed so far.
    pub billed_tokens: u64,
    /// Tokens that are granted to incarnations but not billed.
    pub granted_unbilled_tokens: u64,
    /// Tokens that are not granted to any incarnation.
    pub unallocated_tokens: u64,
}

/// A version rollout in the shared state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Name of the rollout.
    pub id: CompactString,
    /// Model or service whose traffic is moved.
    pub model: CompactString,
    /// Version before the rollout.
    pub from_version: CompactString,
    /// Version after the rollout.
    pub to_version: CompactString,
    /// Revision in force.
    pub revision: u64,
    /// Current step.
    pub step: u32,
    /// Share of requests that the new version gets unless it is rolled back, in parts per million.
    pub share_ppm: u32,
    /// State: `moving`, `rolled back`, `rolled back on some routes`, `done` or, if the deadline was missed, `not kept`.
    pub outcome: CompactString,
}

/// A rejected publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionReport {
    /// Offset of the record.
    pub offset: Offset,
    /// What was published.
    pub subject: CompactString,
    /// Reason for the rejection.
    pub reason: CompactString,
}

/// Response to `GET /status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetReport {
    /// The reporting process.
    pub process: ProcessReport,
    /// Offset of the next record to fold.
    pub next_offset: Offset,
    /// Revision of the configuration in force; 0 before the first one.
    pub configuration_revision: u64,
    /// Number of upstreams in the configuration in force.
    pub upstreams: u64,
    /// Incarnations that are not finalised.
    pub members: Vec<MemberReport>,
    /// Budgets, sorted by the name of the customer.
    pub budgets: Vec<BudgetReport>,
    /// Version rollouts.
    pub rollouts: Vec<RolloutReport>,
    /// Most recent rejected publications.
    pub rejections: Vec<RejectionReport>,
    /// Number of bills that were dropped because their grant had already been finalised.
    pub late_bills: u64,
}

impl FleetReport {
    /// Builds the report of a process from its folded state.
    pub fn new(process: ProcessReport, state: &FleetState) -> Self {
        Self {
            process,
            next_offset: state.next_offset,
            configuration_revision: state.configuration.revision,
            upstreams: state.configuration.configuration.upstreams.len() as u64,
            members: members(state),
            budgets: budgets(state),
            rollouts: rollouts(state),
            rejections: rejections(state),
            late_bills: state.late_bills,
        }
    }

    /// Renders the report as JSON.
    pub fn render_json(&self) -> String {
        // Serialisation cannot fail: the report consists of strings, numbers and flags.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Renders the report as text tables.
    pub fn render_text(&self) -> String {
        text::render(self)
    }
}

fn members(state: &FleetState) -> Vec<MemberReport> {
    let members = state
        .members
        .iter()
        .map(|(incarnation, member)| MemberReport {
            incarnation,
            vm: member.vm.clone(),
            data_centre: member.data_centre.clone(),
            phase: member.phase,
            last_seq: member.last_seq,
        });
    members.collect()
}

fn budgets(state: &FleetState) -> Vec<BudgetReport> {
    let mut reports: Vec<_> = state
        .contracts
        .iter()
        .filter_map(|(&key, in_force)| {
            let budget = state.ledger.budget(key)?;
            let billed_tokens = budget.billed_tokens();
            let unallocated_tokens = budget.unallocated_tokens();
            Some(BudgetReport {
                customer: in_force.contract.customer.clone(),
                revision: in_force.revision,
                prepaid_total_tokens: budget.prepaid_total_tokens,
                billed_tokens,
                granted_unbilled_tokens: budget
                    .prepaid_total_tokens
                    .saturating_sub(billed_tokens)
                    .saturating_sub(unallocated_tokens),
                unallocated_tokens,
            })
        })
        .collect();
    reports.sort_by(|a, b| a.customer.cmp(&b.customer));
    reports
}

fn rollouts(state: &FleetState) -> Vec<RolloutReport> {
    let rollouts = state.rollouts.iter().map(|(id, rollout)| {
        let outcome = match &rollout.end {
            _ if rollout.rolled_back.contains_key("") => "rolled back",
            Some(end) if end.is_kept => "done",
            Some(_) => "not kept",
            None if !rollout.rolled_back.is_empty() => "rolled back on some routes",
            None => "moving",
        };
        RolloutReport {
            id: id.into(),
            model: rollout.model.clone(),
            from_version: rollout.from_version.clone(),
            to_version: rollout.to_version.clone(),
            revision: rollout.revision,
            step: rollout.step,
            share_ppm: rollout.share_ppm,
            outcome: outcome.into(),
        }
    });
    rollouts.collect()
}

fn rejections(state: &FleetState) -> Vec<RejectionReport> {
    let rejections = state.rejections.iter().map(|rejection| RejectionReport {
        offset: rejection.offset,
        subject: rejection.subject.clone(),
        reason: rejection.reason.clone(),
    });
    rejections.collect()
}

/// Runs the `status` command.
pub fn run(arguments: &ArgMatches) -> CommandOutput {
    let report: FleetReport = match cli::fetch_admin_json(arguments, "read status", "/status") {
        Ok(report) => report,
        Err(failure) => return failure,
    };
    CommandOutput::success(match cli::output_format(arguments) {
        OutputFormat::Json => report.render_json(),
        OutputFormat::Text => report.render_text(),
    })
}
