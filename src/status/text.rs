//! Tables for operators.

use std::fmt::Write;

use super::{FleetReport, ProcessReport};
use crate::membership::MemberPhase;

/// Rejected publications that the text shows; the JSON has all that the fleet remembers.
const SHOWN_REJECTIONS: usize = 10;

/// Renders a report as tables, one after the other.
pub(super) fn render(report: &FleetReport) -> String {
    let mut out = String::new();
    render_process(&mut out, &report.process);
    line(
        &mut out,
        format_args!(
            "State: next offset {}, configuration revision {}, {} upstreams, {} late bills",
            report.next_offset, report.configuration_revision, report.upstreams, report.late_bills
        ),
    );
    render_members(&mut out, report);
    render_budgets(&mut out, report);
    render_rollouts(&mut out, report);
    render_rejections(&mut out, report);
    out.truncate(out.trim_end().len());
    out
}

fn render_process(out: &mut String, process: &ProcessReport) {
    let readiness = match (process.is_stopping, process.is_ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    line(
        out,
        format_args!(
            "Router {} in {}, incarnation {}: {readiness}",
            process.vm, process.data_centre, process.incarnation
        ),
    );
    line(
        out,
        format_args!("Log: {} records behind", process.log_lag_records),
    );
    line(
        out,
        format_args!(
            "Load: {} open responses, {} queued, {} bytes held",
            process.open_responses, process.queued_requests, process.held_bytes
        ),
    );
    for peer in &process.peers {
        line(
            out,
            format_args!("Peer {}: next offset {}", peer.vm, peer.next_offset),
        );
    }
}

fn render_members(out: &mut String, report: &FleetReport) {
    line(
        out,
        format_args!("\nIncarnations: {}", report.members.len()),
    );
    for member in &report.members {
        let phase = match member.phase {
            MemberPhase::Open => "open",
            MemberPhase::Closed => "closed",
            MemberPhase::Left => "left",
        };
        line(
            out,
            format_args!(
                "  {:<20} {:<16} {} {phase}, batch {}",
                member.vm, member.data_centre, member.incarnation, member.last_seq
            ),
        );
    }
}

fn render_budgets(out: &mut String, report: &FleetReport) {
    line(
        out,
        format_args!(
            "\nBudgets in tokens:\n  {:<24} {:>8} {:>16} {:>16} {:>16} {:>16}",
            "customer", "revision", "prepaid", "billed", "held by routers", "unallocated"
        ),
    );
    for budget in &report.budgets {
        line(
            out,
            format_args!(
                "  {:<24} {:>8} {:>16} {:>16} {:>16} {:>16}",
                budget.customer,
                budget.revision,
                budget.prepaid_total_tokens,
                budget.billed_tokens,
                budget.granted_unbilled_tokens,
                budget.unallocated_tokens
            ),
        );
    }
}

fn render_rollouts(out: &mut String, report: &FleetReport) {
    line(out, format_args!("\nRollouts: {}", report.rollouts.len()));
    for rollout in &report.rollouts {
        line(
            out,
            format_args!(
                "  {}: {} from {} to {}, step {} with {} ppm: {}",
                rollout.id,
                rollout.model,
                rollout.from_version,
                rollout.to_version,
                rollout.step,
                rollout.share_ppm,
                rollout.outcome
            ),
        );
    }
}

fn render_rejections(out: &mut String, report: &FleetReport) {
    line(
        out,
        format_args!("\nRejected publications: {}", report.rejections.len()),
    );
    for rejection in report.rejections.iter().rev().take(SHOWN_REJECTIONS) {
        line(
            out,
            format_args!(
                "  offset {}, {}: {}",
                rejection.offset, rejection.subject, rejection.reason
            ),
        );
    }
}

fn line(out: &mut String, arguments: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _ = writeln!(out, "{arguments}");
}
