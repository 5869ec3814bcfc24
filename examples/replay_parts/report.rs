//! Results of one replay.

/// Results of one replay.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub served: u64,
    /// Requests that arrived while at least a tenth of the budget remained.
    pub in_scope: u64,
    /// Refused although the budget covered the request, while at least a tenth of it remained.
    pub false_in_scope: u64,
    /// The two counts above, for the hour of the fault only.
    pub fault_in_scope: u64,
    pub fault_false: u64,
    /// Refused although the budget covered the request, while less than a tenth of it remained.
    pub false_out_of_scope: u64,
    /// Refused because the budget did not cover the request.
    pub exhausted: u64,
    /// Payments refused before dispatch because a claim needs the log.
    pub claims_refused: u64,
    /// Payments that were reported as possibly run, after a router was killed.
    pub claims_unknown: u64,
    pub overspent_tokens: u64,
    /// Requests that got no outcome or were served without a bill.
    pub lost: u64,
    pub double_bills: u64,
    pub double_dispatches: u64,
    /// Largest share of a prepaid total that a router held when it was killed, in parts per million.
    pub stranded_ppm: u64,
    /// Rights that remain with the routers after a graceful shutdown of all of them.
    pub stop_stranded_tokens: u64,
    /// Largest share of a prepaid total that no router holds after all routers have shut down, in parts per million.
    ///
    /// These are rights that a router transferred to another one that was killed later. They are recovered when the
    /// router to which they were granted is finalised.
    pub transfer_lost_ppm: u64,
    pub appends: u64,
}

impl Report {
    pub fn record_request(&mut self, is_in_scope: bool, is_fault_hour: bool) {
        self.in_scope += u64::from(is_in_scope);
        self.fault_in_scope += u64::from(is_in_scope && is_fault_hour);
    }

    pub fn record_refusal(&mut self, is_in_scope: bool, is_covered: bool, is_fault_hour: bool) {
        self.fault_false += u64::from(is_in_scope && is_covered && is_fault_hour);
        match (is_covered, is_in_scope) {
            (true, true) => self.false_in_scope += 1,
            (true, false) => self.false_out_of_scope += 1,
            (false, _) => self.exhausted += 1,
        }
    }

    /// Returns false refusals in percent of the requests that arrived while at least a tenth of the budget remained.
    ///
    /// Payments that were refused because a claim needs the log are included.
    pub fn false_percent(&self) -> f64 {
        let refused = self.false_in_scope + self.claims_refused;
        100.0 * refused as f64 / self.in_scope.max(1) as f64
    }

    /// Returns false refusals due to missing rights, in percent of the requests during the hour of the fault.
    pub fn fault_percent(&self) -> f64 {
        100.0 * self.fault_false as f64 / self.fault_in_scope.max(1) as f64
    }
}
