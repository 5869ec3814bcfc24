//! Figures of one replay.

/// Figures of one replay.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub served: u64,
    /// Requests that arrived while a tenth of the budget was left.
    pub in_scope: u64,
    /// Refused although the budget covered the request, while a tenth of it was left.
    pub false_in_scope: u64,
    /// The same two figures for the hour of the fault only.
    pub fault_in_scope: u64,
    pub fault_false: u64,
    /// Refused although the budget covered the request, with less left.
    pub false_later: u64,
    /// Refused because the budget did not cover the request.
    pub exhausted: u64,
    /// Payments refused before dispatch because the log is needed for a claim.
    pub claims_refused: u64,
    /// Payments answered as possibly run after a router was killed.
    pub claims_unknown: u64,
    pub overspent_tokens: u64,
    pub lost: u64,
    pub double_bills: u64,
    pub double_dispatches: u64,
    /// Largest share of a prepaid total that a router held when it was killed, in parts per million.
    pub stranded_ppm: u64,
    /// Rights left with the routers after a planned stop of all of them.
    pub stop_stranded_tokens: u64,
    /// Largest share of a prepaid total that is in no hands after all routers stopped, in parts per million.
    ///
    /// These are rights that a router had handed to another one which was killed later. They return when the router to
    /// which they were granted is finalised.
    pub lent_lost_ppm: u64,
    pub appends: u64,
}

impl Report {
    pub fn note_request(&mut self, is_in_scope: bool, is_fault_hour: bool) {
        self.in_scope += u64::from(is_in_scope);
        self.fault_in_scope += u64::from(is_in_scope && is_fault_hour);
    }

    pub fn note_refusal(&mut self, is_in_scope: bool, is_covered: bool, is_fault_hour: bool) {
        self.fault_false += u64::from(is_in_scope && is_covered && is_fault_hour);
        match (is_covered, is_in_scope) {
            (true, true) => self.false_in_scope += 1,
            (true, false) => self.false_later += 1,
            (false, _) => self.exhausted += 1,
        }
    }

    /// Returns the false refusals in percent of the requests that arrived while a tenth of the budget was left.
    ///
    /// Payments that were refused because the log is needed for their claim count as well.
    pub fn false_percent(&self) -> f64 {
        let refused = self.false_in_scope + self.claims_refused;
        100.0 * refused as f64 / self.in_scope.max(1) as f64
    }

    /// Returns the false refusals for want of rights, in percent of the requests of the fault's hour.
    pub fn fault_percent(&self) -> f64 {
        100.0 * self.fault_false as f64 / self.fault_in_scope.max(1) as f64
    }
}
