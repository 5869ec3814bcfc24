//! The two designs that the ledger is compared with.

use super::report::Report;
use super::scenario::Scenario;
use super::trace::Trace;

/// Which simpler design is replayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Each router gets an equal share of what is left in the morning.
    StaticSplit,
    /// Each request asks the log before it runs.
    LogForEachRequest,
}

/// Replays a trace with a simpler design.
///
/// Both are given what they need for free: the share of a killed router stays with its successor, and the log answers
/// at once when it is reachable.
pub fn replay(trace: &Trace, scenario: Scenario, baseline: Baseline, routers: usize) -> Report {
    let mut report = Report::default();
    let customers = trace.customers.len();
    let mut left: Vec<u64> = trace
        .customers
        .iter()
        .map(|c| c.prepaid_tokens - c.spent_before_tokens)
        .collect();
    let mut shares = vec![vec![0; customers]; routers];
    for share in &mut shares {
        for (tokens, left) in share.iter_mut().zip(&left) {
            *tokens = left / routers as u64;
        }
    }
    for request in &trace.requests {
        let customer = request.customer;
        let prepaid_tokens = trace.customers[customer].prepaid_tokens;
        let is_in_scope = left[customer] >= prepaid_tokens / 10;
        let is_fault_hour = scenario.is_fault_active(request.at_ms);
        report.note_request(is_in_scope, is_fault_hour);
        let (can_run, source) = match baseline {
            Baseline::StaticSplit => (true, &mut shares[request.router][customer]),
            Baseline::LogForEachRequest => {
                let is_reachable = scenario.is_log_reachable(request.at_ms, request.router);
                (is_reachable, &mut left[customer])
            }
        };
        if can_run && *source >= request.reserved_tokens {
            *source -= request.charge_tokens;
            if baseline == Baseline::StaticSplit {
                left[customer] -= request.charge_tokens;
            }
            report.served += 1;
        } else {
            let is_covered = left[customer] >= request.reserved_tokens;
            report.note_refusal(is_in_scope, is_covered, is_fault_hour);
        }
    }
    report
}
