//! Withdrawal of a congested router from the load balancer's rotation, to move some of its callers to others.
//!
//! The load balancer probes each second and takes a router out of rotation after two misses. From then on a caller
//! whose connection is closed comes back to another router, and stays there as long as it keeps its connection. So a
//! withdrawal has two parts: a time until the load balancer has noticed, in which nothing is closed, and a time in which
//! a share of the connections is closed after their responses. It ends on its own, and the next one is allowed only
//! after many times its length, because a router must be ready for most of the time.

/// Time within which the load balancer takes a router that is not ready out of rotation: two probes, one each second.
const NOTICE_MS: u64 = 2_300;

/// Length of a withdrawal.
const WITHDRAWAL_MS: u64 = 4_500;

/// Time from the start of one withdrawal to the next one, as a multiple of its length.
///
/// A router that is not ready for an eighth of the time fails its duty. With this factor two withdrawals take less than
/// an eighth of the time from the start of the first one to the end of the second.
const INTERVAL_FACTOR: u64 = 16;

/// Age of the process from which on it may withdraw; after a start all callers connect at once.
const MIN_AGE_MS: u64 = 5_000;

/// Pressure from which on a router withdraws, and the time for which it has to last. It is lower than that of
/// congestion, because callers are to move before they suffer.
const WITHDRAWAL_PERMILLE: u32 = 250;
const SUSTAINED_MS: u64 = 1_000;

/// Longest random delay before a withdrawal, so that routers that become congested together do not withdraw together.
const MAX_DELAY_MS: u64 = 2_000;

/// Share of the connections that is closed at full pressure, in thousandths.
///
/// The rest stays, because another withdrawal can follow, and callers that were sent away come back only slowly.
const MAX_SHED_PERMILLE: u32 = 600;

/// Maximum number of connections closed in a second, so that the other routers do not get all of the callers at once.
const MAX_CLOSES_PER_S: u32 = 100;

/// How many routers are congested, by what they report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCongestion {
    /// Other routers of the fleet.
    pub others: usize,
    /// Those of them that are congested.
    pub congested_others: usize,
    /// Other routers in the data centre.
    pub local_others: usize,
    /// Those of them that are congested.
    pub congested_local_others: usize,
}

impl FleetCongestion {
    /// Returns the share of what this router would shed that others can take, in thousandths: all if none of them is
    /// congested, nothing from half of them on, in the data centre or in all.
    ///
    /// A router that is alone in its data centre stays in rotation whether it is ready or not.
    pub(super) fn spare_permille(&self) -> u32 {
        let spare = |all: usize, congested: usize| match all {
            0 => 0,
            _ => 1_000_u32.saturating_sub((congested * 2_000 / all) as u32),
        };
        let local = spare(self.local_others, self.congested_local_others);
        local.min(spare(self.others, self.congested_others))
    }
}

#[derive(Clone, Copy, Debug)]
struct Current {
    started_ms: u64,
    shed_permille: u32,
}

/// Withdrawals of this router.
#[derive(Clone, Debug, Default)]
pub struct Withdrawal {
    current: Option<Current>,
    /// Time since which the pressure is high enough, and the random delay that was drawn then.
    pressed_since_ms: Option<(u64, u64)>,
    /// Time of the first observation.
    first_ms: Option<u64>,
    /// Second in which connections were last closed, and their number in it.
    closes: (u64, u32),
}

impl Withdrawal {
    /// Starts a withdrawal if the pressure has been high for some time and others can take callers.
    pub fn update(
        &mut self,
        pressure_permille: u32,
        fleet: &FleetCongestion,
        random: u32,
        now_ms: u64,
    ) {
        let first_ms = *self.first_ms.get_or_insert(now_ms);
        let earliest_ms = match self.current {
            Some(last) => last.started_ms + WITHDRAWAL_MS * INTERVAL_FACTOR,
            None => first_ms + MIN_AGE_MS,
        };
        if pressure_permille < WITHDRAWAL_PERMILLE || now_ms < earliest_ms {
            self.pressed_since_ms = None;
            return;
        }
        let delay_ms = u64::from(random) % MAX_DELAY_MS;
        let (since_ms, delay_ms) = *self.pressed_since_ms.get_or_insert((now_ms, delay_ms));
        let shed_permille = pressure_permille.min(1_000) * MAX_SHED_PERMILLE / 1_000;
        let shed_permille = shed_permille * fleet.spare_permille() / 1_000;
        if shed_permille > 0 && now_ms.saturating_sub(since_ms) >= SUSTAINED_MS + delay_ms {
            self.current = Some(Current {
                started_ms: now_ms,
                shed_permille,
            });
            self.pressed_since_ms = None;
        }
    }

    /// Returns whether the router is withdrawn, so that it does not report ready.
    pub fn is_withdrawn(&self, now_ms: u64) -> bool {
        self.elapsed_ms(now_ms)
            .is_some_and(|elapsed_ms| elapsed_ms < WITHDRAWAL_MS)
    }

    /// Returns the share of the connections that is closed now, in thousandths.
    pub fn shed_permille(&self, now_ms: u64) -> u32 {
        match (self.current, self.elapsed_ms(now_ms)) {
            (Some(current), Some(NOTICE_MS..WITHDRAWAL_MS)) => current.shed_permille,
            _ => 0,
        }
    }

    /// Returns whether a connection is to be closed after its present response, and if so counts it.
    ///
    /// Whether a connection belongs to the share is drawn once for each withdrawal, so that callers with many requests
    /// are not sent away more often than others.
    pub fn take_close(&mut self, connection: u64, now_ms: u64) -> bool {
        let shed_permille = self.shed_permille(now_ms);
        let started_ms = self.current.map_or(0, |current| current.started_ms);
        let draw = xxhash_rust::xxh3::xxh3_64_with_seed(&connection.to_le_bytes(), started_ms);
        if draw % 1_000 >= u64::from(shed_permille) {
            return false;
        }
        let second = now_ms / 1_000;
        if self.closes.0 != second {
            self.closes = (second, 0);
        }
        let is_allowed = self.closes.1 < MAX_CLOSES_PER_S;
        self.closes.1 += u32::from(is_allowed);
        is_allowed
    }

    fn elapsed_ms(&self, now_ms: u64) -> Option<u64> {
        let current = self.current?;
        Some(now_ms.saturating_sub(current.started_ms))
    }
}
