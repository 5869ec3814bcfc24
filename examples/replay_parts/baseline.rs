//! Simpler designs with which the ledger is compared.

use super::report::Report;
use super::scenario::Scenario;
use super::trace::Trace;

/// A simpler design.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Each router gets an equal share of the tokens that remain at the start of the day.
    StaticSplit,
    /// Each request is checked against the log before it runs.
    LogPerRequest,
}

/// Replays a trace with a simpler design.
///
/// Both designs are idealised: the share of a killed router passes to its successor, and the log answers immediately
/// when it is reachable.
pub fn replay(trace: &Trace, scenario: Scenario, baseline: Baseline, routers: usize) -> Report {
    let mut report = Report::default();
    let customers = trace.customers.len();
    let mut remaining: Vec<u64> = trace
        .customers
        .iter()
        .map(|c| c.prepaid_tokens - c.spent_before_tokens)
        .collect();
    let mut shares = vec![vec![0; customers]; routers];
    for share in &mut shares {
        for (tokens, remaining) in share.iter_mut().zip(&remaining) {
            *tokens = remaining / routers as u64;
        }
    }
    for request in &trace.requests {
        let customer = request.customer;
        let prepaid_tokens = trace.customers[customer].prepaid_tokens;
        let is_in_scope = remaining[customer] >= prepaid_tokens / 10;
        let is_fault_hour = scenario.is_fault_active(request.at_ms);
        report.record_request(is_in_scope, is_fault_hour);
        let (can_run, source) = match baseline {
            Baseline::StaticSplit => (true, &mut shares[request.router][customer]),
            Baseline::LogPerRequest => {
                let is_reachable = scenario.is_log_reachable(request.at_ms, request.router);
                (is_reachable, &mut remaining[customer])
            }
        };
        if can_run && *source >= request.reserved_tokens {
            *source -= request.charge_tokens;
            if baseline == Baseline::StaticSplit {
                remaining[customer] -= request.charge_tokens;
            }
            report.served += 1;
        } else {
            let is_covered = remaining[customer] >= request.reserved_tokens;
            report.record_refusal(is_in_scope, is_covered, is_fault_hour);
        }
    }
    report
}
