//! Counts of responses of two versions, and what they show.

/// Factor by which a response is slower than the mean of the present version from which on it is bad.
const SLOW_FACTOR: f64 = 2.5;

/// Responses of the present version on a route that are needed to compare others with.
const MIN_REFERENCE_RESPONSES: u64 = 5;

/// Weight of one response in the moving average of a route.
const REFERENCE_EWMA_WEIGHT: f64 = 0.1;

/// Bad responses that are needed to decide against a version; a single slow response can have another cause.
const MIN_BAD_RESPONSES: u64 = 5;

/// Smallest share of bad responses for which a version is bad, in thousandths.
const MIN_BAD_PERMILLE: u64 = 100;

/// Factor by which the share of bad responses must exceed that of the present version.
const BAD_FACTOR: u64 = 3;

/// Bad responses on one route or in a few seconds from which on they show a bad version, beyond those expected from the
/// present version. Slow responses come in bursts, when a machine of an upstream is busy.
const CLEAR_EXCESS_RESPONSES: f64 = 6.0;

/// Such bad responses above which a version is not completed: of all routes since the order, and of one route or in a
/// few seconds, of which there are several comparisons.
const TOTAL_EXCESS_RESPONSES: f64 = 1.0;
const EXCESS_RESPONSES: f64 = 2.0;

/// Standard deviations of the expected number that these allow in addition.
const CLEAR_EXCESS_DEVIATIONS: f64 = 4.0;
const TOTAL_EXCESS_DEVIATIONS: f64 = 2.5;
const EXCESS_DEVIATIONS: f64 = 2.0;

/// Smallest share of bad responses for such an excess, in thousandths.
const MIN_EXCESS_PERMILLE: u64 = 50;

/// Bad responses from which on their share need not reach [`MIN_BAD_PERMILLE`]. Operators allow 50 before the rollback.
const MANY_BAD_RESPONSES: u64 = 40;

/// Counts of responses of both versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Responses of the new version.
    pub new_responses: u64,
    /// Bad ones among them.
    pub new_bad: u64,
    /// Responses of the present version.
    pub old_responses: u64,
    /// Bad ones among them.
    pub old_bad: u64,
}

impl VersionCounts {
    /// Returns the counts of one response.
    pub fn of(is_new: bool, is_bad: bool) -> Self {
        let (new, old) = (u64::from(is_new), u64::from(!is_new));
        let bad = u64::from(is_bad);
        Self {
            new_responses: new,
            new_bad: new * bad,
            old_responses: old,
            old_bad: old * bad,
        }
    }

    /// Adds the counts of another router.
    pub fn add(&mut self, other: &Self) {
        self.new_responses += other.new_responses;
        self.new_bad += other.new_bad;
        self.old_responses += other.old_responses;
        self.old_bad += other.old_bad;
    }

    /// Returns what was counted after `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            new_responses: self.new_responses.saturating_sub(earlier.new_responses),
            new_bad: self.new_bad.saturating_sub(earlier.new_bad),
            old_responses: self.old_responses.saturating_sub(earlier.old_responses),
            old_bad: self.old_bad.saturating_sub(earlier.old_bad),
        }
    }

    /// Returns whether the new version is bad.
    pub fn is_bad(&self) -> bool {
        let (new, old) = self.bad_permille();
        let is_share_large = new >= MIN_BAD_PERMILLE || self.new_bad >= MANY_BAD_RESPONSES;
        self.new_bad >= MIN_BAD_RESPONSES && is_share_large && new >= old * BAD_FACTOR
    }

    /// Returns whether the new version has clearly more bad responses than the present one would have had.
    pub fn has_clear_excess(&self) -> bool {
        let (new, _) = self.bad_permille();
        new >= MIN_EXCESS_PERMILLE && self.exceeds(CLEAR_EXCESS_RESPONSES, CLEAR_EXCESS_DEVIATIONS)
    }

    /// Returns whether the new version may have more bad responses than the present one, if these are the counts of one
    /// route or of a few seconds.
    pub fn has_excess(&self) -> bool {
        self.exceeds(EXCESS_RESPONSES, EXCESS_DEVIATIONS)
    }

    /// Returns the same for the counts of all routes since the order.
    pub fn has_total_excess(&self) -> bool {
        self.exceeds(TOTAL_EXCESS_RESPONSES, TOTAL_EXCESS_DEVIATIONS)
    }

    fn exceeds(&self, responses: f64, deviations: f64) -> bool {
        // With few responses of the present version, one in twenty counts as bad.
        let old_share = (self.old_bad as f64 + 1.0) / (self.old_responses as f64 + 20.0);
        let expected = self.new_responses as f64 * old_share;
        self.new_bad as f64 > responses + expected + deviations * expected.sqrt()
    }

    /// Returns the shares of bad responses of the new and of the present version, in thousandths.
    fn bad_permille(&self) -> (u64, u64) {
        let share = |bad: u64, responses: u64| bad * 1_000 / responses.max(1);
        let new = share(self.new_bad, self.new_responses);
        (new, share(self.old_bad, self.old_responses))
    }
}

/// Speed of the present version on a route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reference {
    /// Responses that were measured.
    pub responses: u64,
    /// Their mean time per unit of work; newer ones weigh more.
    pub mean_unit_ms: f64,
}

impl Reference {
    /// Returns whether enough responses were measured to compare others with.
    pub fn is_known(&self) -> bool {
        self.responses >= MIN_REFERENCE_RESPONSES
    }

    /// Returns whether a response is slow.
    pub fn is_slow(&self, unit_ms: f64) -> bool {
        self.is_known() && unit_ms > SLOW_FACTOR * self.mean_unit_ms
    }

    /// Adds the responses that another router has measured.
    pub fn add(&mut self, other: &Self) {
        let responses = self.responses + other.responses;
        if other.responses > 0 {
            let weight = other.responses as f64 / responses as f64;
            self.mean_unit_ms += weight * (other.mean_unit_ms - self.mean_unit_ms);
        }
        self.responses = responses;
    }

    pub(super) fn measure(&mut self, unit_ms: f64) {
        self.responses += 1;
        let weight = REFERENCE_EWMA_WEIGHT.max(1.0 / self.responses as f64);
        self.mean_unit_ms += weight * (unit_ms - self.mean_unit_ms);
    }
}
