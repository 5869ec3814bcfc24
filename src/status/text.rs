//! Status report as text tables.

use std::fmt::Write;

use super::{FleetReport, ProcessReport};
use crate::membership::MemberPhase;

/// Largest number of rejected publications in the text; the JSON contains all that the fleet state retains.
const MAX_SHOWN_REJECTIONS: usize = 10;

/// Renders a report as a sequence of tables.
pub(super) fn render(report: &FleetReport) -> String {
    let mut out = String::new();
    render_process(&mut out, &report.process);
    write_line(
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
    write_line(
        out,
        format_args!(
            "Router {} in {}, incarnation {}: {readiness}",
            process.vm, process.data_centre, process.incarnation
        ),
    );
    write_line(
        out,
        format_args!("Log: {} records behind", process.log_lag_records),
    );
    write_line(
        out,
        format_args!(
            "Load: {} open responses, {} queued, {} bytes held",
            process.open_responses, process.queued_requests, process.held_bytes
        ),
    );
    for peer in &process.peers {
        write_line(
            out,
            format_args!("Peer {}: next offset {}", peer.vm, peer.next_offset),
        );
    }
}

fn render_members(out: &mut String, report: &FleetReport) {
    write_line(
        out,
        format_args!("\nIncarnations: {}", report.members.len()),
    );
    for member in &report.members {
        let phase = match member.phase {
            MemberPhase::Open => "open",
            MemberPhase::Closed => "closed",
            MemberPhase::Left => "left",
        };
        write_line(
            out,
            format_args!(
                "  {:<20} {:<16} {} {phase}, batch {}",
                member.vm, member.data_centre, member.incarnation, member.last_seq
            ),
        );
    }
}

fn render_budgets(out: &mut String, report: &FleetReport) {
    write_line(
        out,
        format_args!(
            "\nBudgets in tokens:\n  {:<24} {:>8} {:>16} {:>16} {:>16} {:>16}",
            "customer", "revision", "prepaid", "billed", "held by routers", "unallocated"
        ),
    );
    for budget in &report.budgets {
        write_line(
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
    write_line(out, format_args!("\nRollouts: {}", report.rollouts.len()));
    for rollout in &report.rollouts {
        write_line(
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
    write_line(
        out,
        format_args!("\nRejected publications: {}", report.rejections.len()),
    );
    for rejection in report.rejections.iter().rev().take(MAX_SHOWN_REJECTIONS) {
        write_line(
            out,
            format_args!(
                "  offset {}, {}: {}",
                rejection.offset, rejection.subject, rejection.reason
            ),
        );
    }
}

fn write_line(out: &mut String, arguments: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _ = writeln!(out, "{arguments}");
}
