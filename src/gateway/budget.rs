//! Spending rights of this gateway: the tokens of the teams' prepaid budgets that it may spend, see
//! [`crate::allowance`].
//!
//! One task for each team reads the team's record, plans the next one with [`crate::allowance`] and appends it on the
//! condition that the record has not changed in between. If the response to an append is lost, the task reads the
//! record until it knows whether the write took effect, and repeats the same write as long as that is unknown. At most
//! one of the copies can meet the condition.

pub(super) mod remote;
pub(super) mod serving;
mod team_budget;
mod team_record;
pub(super) mod versions;

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::{format_compact, CompactString};
use rand::Rng;

use super::peers::Handover;
use super::Shared;
use crate::allowance::{Knowledge, ReserveError, TeamLimit, LOCK_PERIOD_MS};
use crate::collections::FastMap;
use crate::holders::{Holder, HOLDERS_PER_TEAM};
use crate::notify::Notify;
use crate::reservations::ReservationId;
use crate::routing::RoutingTable;

use remote::{Answer, Need, Outbox, Replies};

use team_budget::{Goal, Reclaim, ReconcileResult, TeamBudget, EXHAUSTED_RETRY_AFTER_MS};
use versions::Exchange;

/// Interval at which a holder polls the record of a team.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Part of the reading calls that the store accepts which all gateways together use to poll the records of teams, in
/// percent.
const POLL_READS_PERCENT: u64 = 10;

/// Interval at which a record is polled while requests wait for rights that other holders may return.
const WAITING_POLL_INTERVAL_MS: u64 = 60;

/// Interval at which a gateway that holds no rights of a team checks whether it has become a holder.
const ROLE_INTERVAL_MS: u64 = 1_000;

/// Minimum time between two polls, so that a team that needs rights does not flood the store.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Maximum number of attempts in a row when the write of another gateway takes effect first.
const MAX_CONFLICTS: u32 = 6;

/// Maximum backoff after a conflict for each holder of the team; the backoff is random, so that the holders do not
/// collide again. A change takes two responses of the store.
const CONFLICT_BACKOFF_MS: u64 = 8;

/// Length of one holder's turn to reclaim the rights of a team; a read and a write take two responses of the store.
const RECLAIM_TURN_MS: u64 = 12;

/// Time over which gateways spread the check for rights that are not in the predecessor's last journal entry; few have
/// any.
const LATE_RECLAIM_MS: u64 = 3_000;

/// Age of the last poll from which on received rights are moved in the record at once; until then they are lost if this
/// process is killed.
const TRANSFER_RECORD_INTERVAL_MS: u64 = 300;

/// Age of the process from which on a team that a configuration adds is new. After a return of the store the operator
/// writes the newest configuration again within moments, so an older one is not mistaken for the time before the team.
const NEW_TEAM_AGE: Duration = Duration::from_secs(10);

/// Time over which the first polls of the records are spread.
const START_JITTER_MS: u64 = 1_000;

/// Number of gateways that hold rights of a team at the same time, with those from which rights are just moving away.
const MAX_HOLDERS_PER_TEAM: usize = 2 * HOLDERS_PER_TEAM;

/// Number of holders that may fail to respond to one request before it asks no more of them.
const MAX_SILENT: usize = 2;

/// Spending rights of all teams that have a budget.
pub(super) struct Budgets {
    teams: RefCell<FastMap<CompactString, Rc<TeamBudget>>>,
    replies: Replies,
    outbox: Rc<Outbox>,
    exchange: Exchange,
    /// Start of the process.
    started: Instant,
    is_first_start: bool,
    /// Whether a configuration has been applied.
    is_configured: Cell<bool>,
    team_added: Notify,
    unstarted: RefCell<Vec<Rc<TeamBudget>>>,
    predecessor: RefCell<Option<Predecessor>>,
}

/// Previous process on this VM, with what bounds its use of each team's rights.
struct Predecessor {
    router: u64,
    /// What its last entry says of each team.
    limits: FastMap<CompactString, TeamLimit>,
    /// Upper bound of the age of that entry; `None` if it is unknown, and then nothing is reclaimed.
    age_ms: Option<u64>,
    vm: CompactString,
    /// Time from which its rights are reclaimed.
    from_ms: u64,
}

/// The last journal entry of a process that has ended.
pub(super) struct LastEntry<'e> {
    pub(super) router: u64,
    pub(super) limits: &'e [TeamLimit],
    /// Upper bound of the age that the entry had when this process started; `None` if the clocks give none.
    pub(super) age_ms: Option<u64>,
}

/// Where the tokens of a request are reserved.
enum ReservedAt {
    /// In the account of this gateway.
    Own(Rc<TeamBudget>),
    /// At another gateway, which holds rights of the team.
    Peer {
        id: ReservationId,
        holder: SocketAddr,
        team: CompactString,
        outbox: Rc<Outbox>,
    },
}

/// Tokens reserved for one request until it is settled. On drop the charge is deducted and the rest becomes available.
pub(super) struct Reservation {
    reserved_at: ReservedAt,
    tokens: u64,
    charge_tokens: Cell<u64>,
    /// VM of the gateway that holds the tokens, for the log.
    pub(super) holder: CompactString,
}

impl Reservation {
    /// Sets the charge that is deducted when the reservation is dropped.
    pub(super) fn charge(&self, tokens: u64) {
        self.charge_tokens.set(tokens);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let charge_tokens = self.charge_tokens.get();
        match &self.reserved_at {
            ReservedAt::Own(team) => team.settle_tokens(self.tokens, charge_tokens),
            ReservedAt::Peer {
                id,
                holder,
                team,
                outbox,
            } => outbox.settle(*id, *holder, team, charge_tokens),
        }
    }
}

/// Why no tokens could be reserved for a request.
pub(super) struct Shortage {
    pub(super) error: ReserveError,
    /// Time after which the request may be served.
    pub(super) retry_after_ms: u64,
    /// Answers of the gateways that were asked, for the log.
    pub(super) answers: CompactString,
}

/// What the holders have answered to one request so far.
struct Inquiry {
    answers: CompactString,
    retry_after_ms: u64,
    /// The holder that expects to have the rights soonest, and when.
    soonest: Option<(u64, Holder)>,
    /// Number of holders that did not respond.
    silent: usize,
    /// Number of holders that serve no reservations.
    unavailable: usize,
}

impl Default for Inquiry {
    fn default() -> Self {
        Self {
            answers: CompactString::default(),
            retry_after_ms: EXHAUSTED_RETRY_AFTER_MS,
            soonest: None,
            silent: 0,
            unavailable: 0,
        }
    }
}

impl Inquiry {
    /// Records the answer of a holder that did not grant the tokens.
    ///
    /// # Errors
    ///
    /// Returns a shortage if no other holder can have the tokens either.
    fn record(&mut self, shared: &Shared, holder: &Holder, answer: Answer) -> Result<(), Shortage> {
        let name = holder_name(shared, holder);
        // Writing to a growable text cannot fail.
        let _ = write!(self.answers, "{name}: {answer}; ");
        match answer {
            Answer::Exhausted => {
                let inquiry = std::mem::take(self);
                return Err(inquiry.into_shortage(ReserveError::Exhausted));
            }
            Answer::NotHeld {
                wait_ms,
                retry_after_ms,
            } => {
                self.retry_after_ms = self.retry_after_ms.min(retry_after_ms);
                let soonest_ms = self.soonest.as_ref().map(|(wait_ms, _)| *wait_ms);
                let is_sooner = |wait_ms: &u64| soonest_ms.is_none_or(|soonest| *wait_ms < soonest);
                if let Some(wait_ms) = wait_ms.filter(is_sooner) {
                    self.soonest = Some((wait_ms, holder.clone()));
                }
            }
            Answer::Silent => self.silent += 1,
            Answer::Unavailable => self.unavailable += 1,
            Answer::Granted(_) => {}
        }
        Ok(())
    }

    /// Returns whether all holders have answered that they hold too few tokens.
    fn is_not_held_everywhere(&self) -> bool {
        self.silent == 0 && self.unavailable == 0
    }

    fn into_shortage(self, error: ReserveError) -> Shortage {
        Shortage {
            error,
            retry_after_ms: self.retry_after_ms,
            answers: self.answers,
        }
    }
}

/// Figures of one team's budget as this gateway knows them, for the log.
#[derive(Default)]
pub(super) struct BudgetSummary {
    granted_tokens: u64,
    spent_tokens: u64,
    available_tokens: u64,
    spendable_tokens: u64,
    unspent_tokens: u64,
    read_ms: u64,
}

impl BudgetSummary {
    /// Returns the figures with the age of the record at a time.
    fn aged(&self, now_ms: u64) -> CompactString {
        format_compact!(
            "granted {}, spent {}, available {}, spendable {}, unspent by the team {}, record {} ms old",
            self.granted_tokens,
            self.spent_tokens,
            self.available_tokens,
            self.spendable_tokens,
            self.unspent_tokens,
            now_ms.saturating_sub(self.read_ms)
        )
    }
}

impl Budgets {
    /// Creates an empty set; `started` is the start of the process.
    ///
    /// `is_first_start` tells that no gateway of the fleet has run before.
    pub(super) fn new(started: Instant, is_first_start: bool) -> Self {
        Self {
            is_first_start,
            is_configured: Cell::new(false),
            teams: RefCell::default(),
            replies: Replies::default(),
            outbox: Rc::new(Outbox::new(started)),
            exchange: Exchange::default(),
            started,
            team_added: Notify::default(),
            unstarted: RefCell::default(),
            predecessor: RefCell::default(),
        }
    }

    /// Applies the budgets of a configuration.
    pub(super) fn configure(&self, table: &RoutingTable) {
        let mut teams = self.teams.borrow_mut();
        for team in table.teams() {
            let Some(prepaid_tokens) = team.prepaid_tokens else {
                continue;
            };
            if let Some(existing) = teams.get(&team.name) {
                let before = existing.prepaid_tokens.replace(prepaid_tokens);
                if before != prepaid_tokens {
                    existing.request_poll();
                }
                continue;
            }
            let budget = Rc::new(TeamBudget {
                name: team.name.clone(),
                prepaid_tokens: Cell::new(prepaid_tokens),
                account: RefCell::default(),
                poll_requested: Notify::default(),
                is_poll_requested: Cell::new(false),
                rights_changed: Notify::default(),
                failing_since_ms: Cell::new(None),
                read_ms: Cell::new(0),
                free_tokens: Cell::new(prepaid_tokens),
                book: RefCell::default(),
                peers_asked_ms: Cell::new(0),
                received_ms: Cell::new(0),
                ranking: RefCell::default(),
                pending_reclaim: Cell::new(self.reclaim_for(&team.name)),
                outdated_since_ms: Cell::new(None),
                knowledge: RefCell::new(self.initial_knowledge()),
            });
            teams.insert(team.name.clone(), Rc::clone(&budget));
            self.unstarted.borrow_mut().push(budget);
        }
        self.is_configured.set(true);
        self.team_added.notify();
    }

    /// Returns what this gateway knows of the record of a team that a configuration adds.
    ///
    /// A team that appears well after the start of the process is new, so nothing was granted before. One that is known
    /// from the start may have a record that the store has forgotten, however late the first configuration is read.
    fn initial_knowledge(&self) -> Knowledge {
        let is_added = self.is_configured.get() && self.started.elapsed() >= NEW_TEAM_AGE;
        if self.is_first_start || is_added {
            Knowledge::of_new_team()
        } else {
            Knowledge::default()
        }
    }

    /// Reserves the maximum charge of a request, here or at another gateway; waits a short time if rights must be
    /// acquired first. Returns `None` for a team without a budget.
    ///
    /// Each holder that responds is asked once without waiting, and then the one that expects rights soonest may wait
    /// for them.
    ///
    /// # Errors
    ///
    /// Returns whether the budget is exhausted or the rights cannot be obtained now.
    pub(super) async fn reserve(
        &self,
        shared: &Shared,
        team: &str,
        need: Need<'_>,
    ) -> Result<Option<Reservation>, Shortage> {
        let Some(team) = self.find(team) else {
            return Ok(None);
        };
        let mut inquiry = Inquiry::default();
        for holder in team.ask_order(shared) {
            if inquiry.silent == MAX_SILENT && holder != Holder::Own {
                continue;
            }
            match self.ask(shared, &team, &holder, need, None).await {
                Ok(reservation) => return Ok(Some(reservation)),
                Err(answer) => inquiry.record(shared, &holder, answer)?,
            }
        }
        if let Some((wait_ms, holder)) = inquiry.soonest.take() {
            match self.ask(shared, &team, &holder, need, Some(wait_ms)).await {
                Ok(reservation) => return Ok(Some(reservation)),
                Err(answer) => inquiry.record(shared, &holder, answer)?,
            }
        }
        // Callers that came back for the last part of a budget would be refused again.
        let is_exhausted =
            inquiry.is_not_held_everywhere() && team.is_nearly_spent(shared, need.tokens);
        Err(inquiry.into_shortage(if is_exhausted {
            ReserveError::Exhausted
        } else {
            ReserveError::NotHeld
        }))
    }

    /// Asks one holder for tokens; with `wait_ms` it may wait for rights about that long.
    async fn ask(
        &self,
        shared: &Shared,
        team: &Rc<TeamBudget>,
        holder: &Holder,
        need: Need<'_>,
        wait_ms: Option<u64>,
    ) -> Result<Reservation, Answer> {
        let reserved_at = match holder {
            Holder::Own => {
                let result = match wait_ms {
                    None => team.reserve_tokens(shared, need.tokens),
                    Some(_) => {
                        team.wait_for_rights(shared, need.tokens, need.remaining_ms)
                            .await
                    }
                };
                match result {
                    Ok(()) => ReservedAt::Own(Rc::clone(team)),
                    Err(ReserveError::Exhausted) => return Err(Answer::Exhausted),
                    Err(ReserveError::NotHeld) => {
                        return Err(Answer::NotHeld {
                            wait_ms: team.expected_wait_ms(shared, need.tokens, need.remaining_ms),
                            retry_after_ms: team.retry_after_ms(shared, need.tokens),
                        });
                    }
                }
            }
            Holder::Peer { address, .. } => {
                match remote::ask(shared, *address, team, need, wait_ms).await {
                    Answer::Granted(id) => ReservedAt::Peer {
                        id,
                        holder: *address,
                        team: team.name.clone(),
                        outbox: Rc::clone(&self.outbox),
                    },
                    answer => return Err(answer),
                }
            }
        };
        Ok(Reservation {
            reserved_at,
            tokens: need.tokens,
            charge_tokens: Cell::new(0),
            holder: holder_name(shared, holder).into(),
        })
    }

    /// Returns the budget of a team; `None` if it has none.
    fn find(&self, team: &str) -> Option<Rc<TeamBudget>> {
        self.teams.borrow().get(team).cloned()
    }

    /// Returns the budgets of all teams.
    fn all(&self) -> Vec<Rc<TeamBudget>> {
        self.teams.borrow().values().cloned().collect()
    }

    /// Returns whether rights of any team are held and not in use.
    pub(super) fn holds_rights(&self) -> bool {
        let teams = self.teams.borrow();
        let mut accounts = teams.values().map(|team| team.account.borrow());
        accounts.any(|account| account.available_tokens() > 0)
    }

    /// Returns an upper bound on the number of gateways that hold rights of any team.
    pub(super) fn expected_holders(&self) -> u64 {
        (self.teams.borrow().len() * MAX_HOLDERS_PER_TEAM) as u64
    }

    /// Returns whether requests of other gateways have reserved tokens here, or settlements have not arrived there.
    pub(super) fn has_open_reservations(&self) -> bool {
        let teams = self.teams.borrow();
        let mut books = teams.values().map(|team| team.book.borrow());
        books.any(|book| book.open_count() > 0) || !self.outbox.is_empty()
    }

    /// Adds rights that another gateway handed over.
    pub(super) fn receive(&self, shared: &Shared, team: &str, giver: u64, tokens: u64) {
        let Some(team) = self.teams.borrow().get(team).cloned() else {
            return;
        };
        team.account.borrow_mut().receive(giver, tokens);
        team.received_ms.set(shared.now_ms());
        team.wake_journal(shared);
        team.rights_changed.notify();
        log::info!(
            step = "receive", team = team.name.as_str(), tokens = tokens,
            at_ms = shared.now_ms(); "received rights of another gateway"
        );
    }

    /// Returns the spending limits for the next journal entry.
    pub(super) fn begin_entry(&self) -> Vec<TeamLimit> {
        let teams = self.teams.borrow();
        let limits = teams.values().map(|team| {
            let mut account = team.account.borrow_mut();
            let limit = account.begin_entry();
            TeamLimit {
                spent_tokens: account.spent_tokens(),
                reserved_tokens: account.reserved_tokens(),
                ..TeamLimit::new(&team.name, limit)
            }
        });
        limits.filter(|stored| stored.held_tokens > 0).collect()
    }

    /// Applies the spending limits of a journal entry that has taken effect, and the time that it took to be written.
    pub(super) fn commit_entry(&self, shared: &Shared, limits: &[TeamLimit], write_ms: u64) {
        let teams = self.teams.borrow();
        for stored in limits {
            if let Some(team) = teams.get(stored.team.as_str()) {
                let mut account = team.account.borrow_mut();
                account.commit_entry(stored.limit(), write_ms);
                let has_journalled_transfers = account.has_journalled_transfers();
                drop(account);
                team.rights_changed.notify();
                let age_ms = shared.now_ms().saturating_sub(team.read_ms.get());
                if has_journalled_transfers && age_ms > TRANSFER_RECORD_INTERVAL_MS {
                    team.request_poll();
                }
            }
        }
    }

    /// Sets the age of the newest journal entry; more rights become spendable as it grows.
    pub(super) fn set_entry_age(&self, age_ms: u64) {
        for team in self.teams.borrow().values() {
            team.account.borrow_mut().set_entry_age(age_ms);
            if age_ms > LOCK_PERIOD_MS {
                team.rights_changed.notify();
            }
        }
    }

    /// Schedules the reclaim of the rights that the predecessor left: everything beyond what its last entry let it
    /// spend at the maximum age that the entry had when this process started.
    ///
    /// Holders that start together take turns at each record, because only one of them can change it at a time. A hash
    /// of the VM and the team determines a gateway's turn. A team that the entry does not name is checked later, because
    /// rights that were acquired just after the entry may be left.
    pub(super) fn reclaim(&self, shared: &Shared, last: &LastEntry<'_>) {
        let limits = last
            .limits
            .iter()
            .map(|stored| (stored.team.as_str().into(), stored.clone()));
        *self.predecessor.borrow_mut() = Some(Predecessor {
            router: last.router,
            limits: limits.collect(),
            age_ms: last.age_ms,
            vm: shared.settings.vm.clone(),
            from_ms: shared.now_ms(),
        });
        for team in self.teams.borrow().values() {
            team.pending_reclaim.set(self.reclaim_for(&team.name));
            team.request_poll();
        }
    }

    /// Returns whether rights that the predecessor's last entry names are still to be reclaimed.
    pub(super) fn is_reclaiming(&self) -> bool {
        let teams = self.teams.borrow();
        let mut pending = teams.values().filter_map(|team| team.pending_reclaim.get());
        pending.any(|reclaim| reclaim.is_in_entry)
    }

    /// Polls the records of teams with waiting requests as soon as possible.
    pub(super) fn wake_waiting(&self) {
        for team in self.teams.borrow().values() {
            if team.has_waiting_requests() {
                team.request_poll();
            }
        }
    }

    fn reclaim_for(&self, team: &str) -> Option<Reclaim> {
        let predecessor = self.predecessor.borrow();
        let predecessor = predecessor.as_ref()?;
        let stored = predecessor.limits.get(team);
        let seed = xxhash_rust::xxh3::xxh3_64(team.as_bytes());
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(predecessor.vm.as_bytes(), seed);
        let round_ms = RECLAIM_TURN_MS * (HOLDERS_PER_TEAM as u64 + 1);
        let delay_ms = match stored {
            Some(_) => hash % round_ms / RECLAIM_TURN_MS * RECLAIM_TURN_MS,
            None => hash % LATE_RECLAIM_MS,
        };
        Some(Reclaim {
            router: predecessor.router,
            limit_tokens: match predecessor.age_ms {
                Some(age_ms) => stored.map_or(0, |stored| stored.limit().at(age_ms)),
                // Without a known age nothing is reclaimed, and the grants are only closed.
                None => u64::MAX,
            },
            entry_spent_tokens: stored.map_or(0, |stored| stored.spent_tokens),
            entry_reserved_tokens: stored.map_or(0, |stored| stored.reserved_tokens),
            is_in_entry: stored.is_some(),
            from_ms: predecessor.from_ms + delay_ms,
            round_ms,
        })
    }

    /// Returns the figures of a team's budget for the log.
    pub(super) fn summary(&self, team: &str, now_ms: u64) -> CompactString {
        let summary = self.find(team).map(|team| team.summary());
        summary.unwrap_or_default().aged(now_ms)
    }

    /// Returns all unreserved rights to the store, for a graceful shutdown.
    pub(super) async fn return_all(&self, shared: &Shared) {
        let teams: Vec<_> = self.teams.borrow().values().cloned().collect();
        let returns = teams
            .iter()
            .map(|team| team.reconcile(shared, Goal::Return));
        futures_util::future::join_all(returns).await;
    }
}

impl Budgets {
    /// Hands unreserved rights over to other gateways, for a shutdown while the store is unavailable.
    pub(super) fn hand_over_all(&self, shared: &Shared) {
        for team in self.all() {
            let receiver = team.other_holders(shared).next();
            if let Some(receiver) = receiver {
                self.hand_over(shared, &team, u64::MAX, receiver);
            }
        }
    }

    /// Gives rights that can be spent now to another gateway, at most `tokens`.
    fn hand_over(&self, shared: &Shared, team: &TeamBudget, tokens: u64, receiver: SocketAddr) {
        let given = team.account.borrow_mut().give(tokens);
        if given == 0 {
            return;
        }
        let handover = Handover {
            team: team.name.as_str().into(),
            tokens: given,
            id: shared.random.borrow_mut().random(),
            giver: shared.router_id,
        };
        self.outbox.hand_over(handover, receiver);
        team.wake_journal(shared);
        log::info!(
            step = "hand over", team = team.name.as_str(), tokens = given,
            peer = receiver.to_string().as_str(), at_ms = shared.now_ms();
            "handed rights over to another gateway"
        );
    }
}

/// Returns the name of a holder for the log.
fn holder_name<'a>(shared: &'a Shared, holder: &'a Holder) -> &'a str {
    match holder {
        Holder::Own => &shared.settings.vm,
        Holder::Peer { vm, .. } => vm,
    }
}

/// Starts a task for each team that the configuration adds.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        let budgets = &shared.budgets;
        let unstarted = budgets.team_added.wait_for(|| {
            let teams = std::mem::take(&mut *budgets.unstarted.borrow_mut());
            (!teams.is_empty()).then_some(teams)
        });
        for team in unstarted.await {
            monoio::spawn(maintain(Rc::clone(&shared), team));
        }
    }
}

async fn maintain(shared: Rc<Shared>, team: Rc<TeamBudget>) {
    // Gateways that start together would all change the record at once, so each delays its first poll at random. A
    // waiting request or a reclaim ends the delay.
    let jitter = Duration::from_millis(u64::from(shared.random()) % START_JITTER_MS);
    let poll_requested = team
        .poll_requested
        .wait_for(|| team.is_poll_requested.get().then_some(()));
    let _ = monoio::time::timeout(jitter, poll_requested).await;
    while !shared.is_stopping() {
        team.is_poll_requested.set(false);
        for _ in 0..MAX_CONFLICTS {
            if team.reconcile(&shared, Goal::Hold).await != ReconcileResult::Conflict
                || !team.has_waiting_requests()
            {
                break;
            }
            let max_pause_ms = CONFLICT_BACKOFF_MS * team.role(&shared).holders.max(1);
            let pause_ms = u64::from(shared.random()) % max_pause_ms;
            monoio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        monoio::time::sleep(MIN_POLL_INTERVAL).await;
        wait_for_poll(&shared, &team).await;
    }
}

/// Waits until the record of a team is to be polled: regularly if this gateway is a holder or has rights left,
/// otherwise only on request.
async fn wait_for_poll(shared: &Shared, team: &TeamBudget) {
    loop {
        let reclaim_wait_ms = team.reclaim_wait_ms(shared.now_ms()).unwrap_or(u64::MAX);
        let is_polling = team.role(shared).is_holder || team.account.borrow().holds_tokens();
        let interval_ms = if team.has_waiting_requests() {
            WAITING_POLL_INTERVAL_MS
        } else if is_polling {
            poll_interval_ms(shared)
        } else {
            ROLE_INTERVAL_MS
        };
        let interval = Duration::from_millis(interval_ms.min(reclaim_wait_ms));
        let poll_requested = team
            .poll_requested
            .wait_for(|| team.is_poll_requested.get().then_some(()));
        let is_requested = monoio::time::timeout(interval, poll_requested)
            .await
            .is_ok();
        let is_due = is_polling || reclaim_wait_ms <= interval_ms;
        if is_requested || is_due || shared.is_stopping() {
            return;
        }
    }
}

/// Returns the poll interval that keeps all gateways together within their part of the calls that the store accepts.
fn poll_interval_ms(shared: &Shared) -> u64 {
    let teams = shared.budgets.teams.borrow().len() as u64;
    let holders = shared.routers.borrow().count().min(HOLDERS_PER_TEAM as u64);
    let polls_per_s = shared.settings.store.reads_per_s * POLL_READS_PERCENT / 100;
    POLL_INTERVAL_MS.max(teams * holders * 1_000 / polls_per_s.max(1))
}
