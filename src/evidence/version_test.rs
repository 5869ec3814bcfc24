//! Sequential test of a version over all its routes.

use serde::{Deserialize, Serialize};

use super::change_detector::ChangeDetector;
use super::comparison::{ClosedStratum, FALSE_ROLLBACK_PROBABILITY};
use super::Metric;

/// Part of [`FALSE_ROLLBACK_PROBABILITY`] for the version as a whole; the routes share the other half.
const VERSION_TEST_SHARE: f64 = 0.5;

/// Probability that a version that is bad on one route only is rolled back as a whole.
const FALSE_EXTENSION_PROBABILITY: f64 = 1.0 / 1_000.0;

/// Number of routes for which the version is also tested without them.
///
/// A rollout with more routes is judged as a whole only by the number of its bad routes.
const MAX_ROUTES: usize = 8;

/// Evidence against a version over all routes, and over all routes but one.
///
/// The combined evidence of all routes shows a difference sooner if it exists on all of them. The difference must also
/// show without the worst route, because a fault of one route must not cause a rollback of the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionTest {
    expected_ms: u64,
    all: ChangeDetector,
    /// Evidence over all routes but one, by the number of the route that is left out.
    without: Vec<ChangeDetector>,
    has_more_routes: bool,
}

impl VersionTest {
    /// Creates the test of a version that is compared for `expected_ms`.
    pub fn new(expected_ms: u64) -> Self {
        Self {
            expected_ms,
            all: ChangeDetector::new(expected_ms),
            without: Vec::new(),
            has_more_routes: false,
        }
    }

    /// Adds a stratum of the `number`th route.
    pub fn add(&mut self, number: u32, closed: &ClosedStratum) {
        let number = number as usize;
        if number >= MAX_ROUTES {
            self.has_more_routes = true;
            return;
        }
        while self.without.len() <= number {
            // Strata before the first one of a route belong to all other routes, which is the content of `all` so far.
            self.without.push(self.all.clone());
        }
        self.all.add(&closed.values, closed.is_first_of_step);
        for (index, without) in self.without.iter_mut().enumerate() {
            if index != number {
                without.add(&closed.values, closed.is_first_of_step);
            }
        }
    }

    /// Returns the metric on which the version as a whole is worse.
    pub fn worse_metric(&self) -> Option<Metric> {
        let (metric, evidence) = self.all.strongest();
        let is_on_one_route = self.without.len() < 2
            || self
                .without
                .iter()
                .any(|without| without.strongest().1 < -FALSE_EXTENSION_PROBABILITY.ln());
        let is_worse = !self.has_more_routes
            && !is_on_one_route
            && evidence >= -(FALSE_ROLLBACK_PROBABILITY * VERSION_TEST_SHARE / 2.0).ln();
        is_worse.then_some(metric)
    }

    /// Returns whether the version is worse on routes other than the `number`th one, which was rolled back.
    pub fn is_worse_without(&self, number: u32) -> bool {
        self.without
            .get(number as usize)
            .is_some_and(|without| without.strongest().1 >= -FALSE_EXTENSION_PROBABILITY.ln())
    }
}
