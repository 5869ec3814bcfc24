//! Spending rights against a store that loses answers, runs writes late and serves several routers at once.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use monsoonfield::allowance::{
    Account, ClockReading, JournalEntry, Limit, Mark, Shortage, TeamRecord, LOCKED_MS,
};

const PREPAID: u64 = 100_000;

/// Budget of the random test; small, so that most runs use it up.
const SMALL_PREPAID: u64 = 20_000;
const ROUTERS: u64 = 3;

/// A store with a team's record and a journal for each VM. Writes are conditional, and some are still under way.
#[derive(Default)]
struct World {
    now_ms: u64,
    record: TeamRecord,
    end: u64,
    /// Writes of records without an answer: condition and content.
    late: Vec<(u64, TeamRecord)>,
    vms: Vec<Vm>,
    next_router: u64,
    charged: u64,
}

#[derive(Default)]
struct Vm {
    journal: Option<JournalEntry>,
    journal_end: u64,
    /// Journal entries without an answer: condition and content.
    late: Vec<(u64, JournalEntry)>,
    /// Offset of the steady clock; another one after a loss of power.
    steady_offset_ms: u64,
    /// Offset of the wall clock, which jumps now and then.
    wall_offset_ms: u64,
    router: Router,
}

#[derive(Default)]
struct Router {
    id: u64,
    account: Account,
    /// Reservations of open requests.
    open: Vec<u64>,
    /// A write whose fate is not known: condition and content.
    unknown: Option<(u64, TeamRecord)>,
    /// A journal entry whose fate is not known: condition and content.
    unknown_entry: Option<(u64, JournalEntry)>,
    made_ms: u64,
    entries: u64,
    /// Process that ran on the VM before and the most that it can have used.
    predecessor: Option<(u64, u64)>,
    /// Need of the request that waits for rights.
    wanted: u64,
}

/// What becomes of a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fate {
    /// Neither the call nor its answer arrives.
    Nothing,
    /// Done, the answer is lost.
    AnswerLost,
    /// Done later, if its condition still holds then.
    Late,
    Answered,
}

impl Fate {
    fn draw(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Self> {
        let fates = [
            Self::Nothing,
            Self::AnswerLost,
            Self::Late,
            Self::Answered,
            Self::Answered,
        ];
        u.choose(&fates).copied()
    }
}

impl Vm {
    fn clocks(&self, now_ms: u64) -> ClockReading {
        ClockReading {
            steady_ms: now_ms + self.steady_offset_ms,
            wall_ms: 1_000_000 + now_ms + self.wall_offset_ms,
            boot: String::new(),
            fleet_ms: Some(1_000_000 + now_ms),
        }
    }

    fn apply(&mut self, condition: u64, entry: &JournalEntry) -> bool {
        if condition != self.journal_end {
            return false;
        }
        self.journal = Some(entry.clone());
        self.journal_end += 1;
        true
    }

    /// Makes or repeats a journal entry, like `gateway::journal`.
    fn write_journal(&mut self, now_ms: u64, fate: Fate) {
        let (condition, entry) = match self.router.unknown_entry.clone() {
            Some((condition, entry)) => {
                let is_written = self.journal.as_ref() == Some(&entry);
                if is_written {
                    self.opened(&entry);
                    return;
                }
                // Nothing else writes here, so the condition still holds.
                (condition, entry)
            }
            None => {
                let limit = self.router.account.begin_entry();
                self.router.entries += 1;
                self.router.made_ms = now_ms;
                let clocks = self.clocks(now_ms);
                let entry = JournalEntry {
                    router: self.router.id,
                    write: self.router.entries,
                    steady_ms: clocks.steady_ms,
                    wall_ms: clocks.wall_ms,
                    boot: clocks.boot,
                    marks: vec![Mark::new("team", limit)],
                    fleet_ms: clocks.fleet_ms,
                };
                self.router.unknown_entry = Some((self.journal_end, entry.clone()));
                (self.journal_end, entry)
            }
        };
        match fate {
            Fate::Nothing => {}
            Fate::AnswerLost => {
                self.apply(condition, &entry);
            }
            Fate::Late => self.late.push((condition, entry)),
            Fate::Answered => {
                if self.apply(condition, &entry) {
                    self.opened(&entry);
                }
            }
        }
    }

    fn opened(&mut self, entry: &JournalEntry) {
        self.router.account.open(entry.marks[0].limit());
        self.router.unknown_entry = None;
    }
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            next_router: ROUTERS,
            ..Self::default()
        };
        for id in 0..ROUTERS {
            let mut vm = Vm::default();
            vm.router.id = id;
            world.vms.push(vm);
        }
        world
    }

    fn apply(&mut self, condition: u64, content: &TeamRecord) -> bool {
        if condition != self.end {
            return false;
        }
        self.record = content.clone();
        self.end += 1;
        true
    }

    /// One look of a router at the record, with a write that may be lost or late, like `gateway::budget`.
    fn cycle(&mut self, vm: usize, fate: Fate, returns: bool) {
        let (record, end) = (self.record.clone(), self.end);
        let router = &mut self.vms[vm].router;
        let id = router.id;
        if let Some((predecessor, limit_tokens)) = router.predecessor {
            match record.reclaim(predecessor, limit_tokens) {
                Some(planned) => {
                    self.send(vm, end, planned, fate, false);
                }
                None => router.predecessor = None,
            }
            return;
        }
        router.account.observe(&record, id, SMALL_PREPAID);
        if let Some((condition, content)) = router.unknown.clone() {
            let was_written = router.account.is_written(&record, id);
            if was_written || end > condition {
                router.account.finish(was_written);
                router.unknown = None;
            } else {
                self.send(vm, condition, content, fate, true);
            }
            return;
        }
        let planned = if returns {
            router.account.plan_return(&record, id)
        } else {
            router.account.plan(&record, id, SMALL_PREPAID, ROUTERS)
        };
        if let Some(planned) = planned {
            router.account.begin(&planned, id);
            router.unknown = Some((end, planned.clone()));
            self.send(vm, end, planned, fate, true);
        }
    }

    fn send(&mut self, vm: usize, condition: u64, content: TeamRecord, fate: Fate, is_own: bool) {
        match fate {
            Fate::Nothing => {}
            Fate::AnswerLost => {
                self.apply(condition, &content);
            }
            Fate::Late => self.late.push((condition, content)),
            Fate::Answered => {
                if self.apply(condition, &content) && is_own {
                    let router = &mut self.vms[vm].router;
                    router.account.finish(true);
                    router.unknown = None;
                }
            }
        }
    }

    /// Ends a process; the one after it starts after `down_ms`.
    fn kill(&mut self, vm: usize, down_ms: u64, loses_power: bool) {
        // What is open may still be charged in full by what it delivers.
        self.charged += self.vms[vm].router.open.iter().sum::<u64>();
        self.now_ms += down_ms;
        let id = self.next_router;
        self.next_router += 1;
        let vm = &mut self.vms[vm];
        if loses_power {
            vm.steady_offset_ms += 77_777;
        }
        let start = vm.clocks(self.now_ms);
        let predecessor = vm.journal.as_ref().and_then(|entry| {
            let age_ms = entry.age_at(&start)?;
            Some((entry.router, entry.marks[0].limit().at(age_ms)))
        });
        vm.router = Router {
            id,
            made_ms: self.now_ms,
            predecessor,
            ..Router::default()
        };
    }

    /// Checks that a successor which started now would take back no more than what its predecessor has left.
    fn check_successors(&self) {
        for vm in &self.vms {
            let router = &vm.router;
            let entry = vm
                .journal
                .as_ref()
                .filter(|entry| entry.router == router.id);
            let (Some(entry), None) = (entry, &router.unknown) else {
                continue;
            };
            let age_ms = entry.age_at(&vm.clocks(self.now_ms)).expect("an age");
            let limit_tokens = entry.marks[0].limit().at(age_ms);
            if let Some(reclaimed) = self.record.reclaim(router.id, limit_tokens) {
                let taken = self.record.granted_tokens - reclaimed.granted_tokens;
                let left = router.account.available_tokens();
                assert!(taken <= left, "{taken} taken back of {left} that are left");
            }
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
        self.now_ms += u.int_in_range(0..=400)?;
        if u.ratio(1, 60)? {
            let vm = u.choose_index(self.vms.len())?;
            self.vms[vm].wall_offset_ms = u.int_in_range(0..=4_000)?;
        }
        for vm in &mut self.vms {
            let age_ms = self.now_ms - vm.router.made_ms;
            vm.router.account.set_entry_age(age_ms);
        }
        let vm = u.choose_index(self.vms.len())?;
        match u.int_in_range(0..=39)? {
            0..=8 => {
                let need = u.int_in_range(1..=3_000)?;
                let now_ms = self.now_ms;
                let router = &mut self.vms[vm].router;
                let waited = std::mem::take(&mut router.wanted);
                router.account.unwant(waited);
                match router.account.reserve(need, now_ms) {
                    Ok(()) => router.open.push(need),
                    Err(_) => {
                        router.account.want(need);
                        router.wanted = need;
                    }
                }
            }
            9..=14 => {
                let router = &mut self.vms[vm].router;
                if let Some(need) = router.open.pop() {
                    let charge = if u.ratio(4, 5)? {
                        need
                    } else {
                        u.int_in_range(0..=need)?
                    };
                    router.account.settle(need, charge);
                    self.charged += charge;
                }
            }
            15..=17 => {
                // A transfer between routers, which may be lost on the way.
                let asked = u.int_in_range(0..=20_000)?;
                let given = self.vms[vm].router.account.give(asked, 500);
                let taker = u.choose_index(self.vms.len())?;
                if taker != vm && u.ratio(4, 5)? {
                    let giver = self.vms[vm].router.id;
                    self.vms[taker].router.account.receive(giver, given);
                }
            }
            18..=27 => {
                let (fate, returns) = (Fate::draw(u)?, u.ratio(1, 5)?);
                self.cycle(vm, fate, returns);
            }
            28..=35 => {
                let (now_ms, fate) = (self.now_ms, Fate::draw(u)?);
                self.vms[vm].write_journal(now_ms, fate);
            }
            36..=38 => {
                if !self.late.is_empty() {
                    let index = u.choose_index(self.late.len())?;
                    let (condition, content) = self.late.remove(index);
                    self.apply(condition, &content);
                }
                let vm = &mut self.vms[vm];
                if !vm.late.is_empty() {
                    let index = u.choose_index(vm.late.len())?;
                    let (condition, entry) = vm.late.remove(index);
                    vm.apply(condition, &entry);
                }
            }
            _ => {
                let (down_ms, loses_power) = (u.int_in_range(0..=5_000)?, u.ratio(1, 3)?);
                self.kill(vm, down_ms, loses_power);
            }
        }
        Ok(())
    }
}

/// Guards against spending more than was prepaid when answers are lost, writes run late, rights pass between routers,
/// and routers are killed or lose power and their successors take rights back.
#[test]
fn no_interleaving_overspends() {
    arbtest(|u| {
        let mut world = World::new();
        let steps = u.int_in_range(10..=400)?;
        for _ in 0..steps {
            world.step(u)?;
            let open: u64 = world.vms.iter().flat_map(|vm| &vm.router.open).sum();
            let charged = world.charged;
            // Rights that a router has and does not spend yet count, too: whatever it has it can spend later.
            let accounts = world.vms.iter().map(|vm| &vm.router.account);
            let available: u64 = accounts.map(Account::available_tokens).sum();
            assert!(
                charged + open + available <= SMALL_PREPAID,
                "charged {charged} open {open} available {available}"
            );
            assert!(world.record.granted_tokens <= SMALL_PREPAID);
            world.check_successors();
        }
        Ok(())
    })
    .size_min(400)
    .size_max(6_000)
    .budget_ms(4_000);
}

/// Guards against rights that are taken back although their process may have used them, and against rights that stay
/// lost after an ordinary kill or a loss of power.
#[test]
fn an_entry_is_as_old_as_the_clocks_prove_at_most() {
    let entry = JournalEntry {
        router: 1,
        write: 1,
        steady_ms: 50_000,
        wall_ms: 900_000,
        boot: "b".into(),
        marks: Vec::new(),
        fleet_ms: Some(900_100),
    };
    let slack_ms = 300;
    let kill = Some(800 + slack_ms);
    // Case, steady clock, wall clock, boot, time of the fleet, largest age.
    let cases = [
        ("a kill and a quick start", 50_800, 900_800, "b", None, kill),
        ("a loss of power", 300, 900_800, "c", Some(900_900), kill),
        (
            "a loss of power, no other VM",
            300,
            900_800,
            "c",
            None,
            None,
        ),
        (
            "a wall clock that jumped back during a loss of power",
            300,
            898_000,
            "c",
            Some(904_100),
            Some(4_000 + slack_ms),
        ),
        (
            "a steady clock that began anew at a later time",
            70_000,
            900_800,
            "b",
            None,
            None,
        ),
        (
            "a wall clock that jumped",
            50_800,
            898_000,
            "b",
            Some(900_900),
            kill,
        ),
        (
            "a suspended VM, whose steady clock stood still",
            50_800,
            905_000,
            "b",
            Some(905_100),
            Some(5_000 + slack_ms),
        ),
        (
            "a fleet whose time is behind by less than the slack",
            300,
            900_800,
            "c",
            Some(899_900),
            Some(slack_ms),
        ),
        (
            "a fleet whose time is behind by more",
            300,
            900_800,
            "c",
            Some(899_000),
            None,
        ),
    ];
    for (case, steady_ms, wall_ms, boot, fleet_ms, expected) in cases {
        let now = ClockReading {
            steady_ms,
            wall_ms,
            boot: boot.into(),
            fleet_ms,
        };
        assert_eq!(entry.age_at(&now), expected, "{case}");
    }
}

fn limit(open_tokens: u64, held_tokens: u64) -> Limit {
    Limit {
        open_tokens,
        held_tokens,
    }
}

/// Guards against a process that spends more than its successor assumes: the limit must not rise before the entry is
/// old, never fall, and never pass what is held.
#[test]
fn the_limit_rises_only_with_the_age_of_the_entry() {
    let limit = limit(1_000, 5_000);
    assert_eq!(limit.at(0), 1_000);
    assert_eq!(limit.at(LOCKED_MS), 1_000);
    assert_eq!(limit.at(60_000), 5_000);
    for used in [0, 1_000, 1_001, 3_000, 5_000] {
        let age_ms = limit.age_for(used).expect("an age");
        assert!(limit.at(age_ms) >= used, "{used}");
        assert!(age_ms == 0 || limit.at(age_ms - 1) < used, "{used}");
    }
    assert_eq!(limit.age_for(5_001), None);
}

/// Guards against spending up to an old mark while an entry with a lower one may take effect, from which a successor would
/// take back rights that were spent.
#[test]
fn a_lower_mark_binds_from_the_moment_it_is_sent() {
    let mut record = TeamRecord::default();
    let mut account = Account::default();
    account.want(30_000);
    cycle(&mut account, &mut record, 1);
    account.unwant(30_000);
    account.open(limit(5_000, 30_000));
    account.want(1_000);
    account.begin_entry();
    account.unwant(1_000);
    assert_eq!(account.reserve(1_001, 0), Err(Shortage::NotHeld));
    assert!(account.reserve(1_000, 0).is_ok());
}

/// Guards against a kill that strands the rights a router holds for outages.
#[test]
fn a_successor_takes_back_what_lies_beyond_the_mark() {
    let mut record = TeamRecord::default();
    let mut account = Account::default();
    account.want(30_000);
    cycle(&mut account, &mut record, 1);
    account.unwant(30_000);
    account.open(limit(2_000, 30_000));
    assert!(account.reserve(2_000, 0).is_ok());
    assert_eq!(
        account.reserve(1, 0),
        Err(Shortage::NotHeld),
        "beyond the mark"
    );
    let reclaimed = record.reclaim(1, 2_000).expect("unused rights");
    assert_eq!(reclaimed.granted_tokens, 2_000);
    assert_eq!(reclaimed.reclaim(1, 2_000), None, "only once");
    account.set_entry_age(60_000);
    assert!(
        account.reserve(28_000, 0).is_ok(),
        "after a long outage everything that is held counts"
    );
}

/// Guards against rights that pass between routers in an outage and are stranded by a kill after it: the record never
/// showed them for the router that received them.
#[test]
fn received_rights_are_moved_to_the_receiver_in_the_record() {
    let mut record = TeamRecord::default();
    let (mut giver, mut taker) = (Account::default(), Account::default());
    giver.want(30_000);
    cycle(&mut giver, &mut record, 1);
    giver.unwant(30_000);
    let given = giver.give(10_000, 1_000);
    taker.receive(1, given);
    assert!(
        taker.reserve(10_000, 0).is_ok(),
        "at once, without the store"
    );
    taker.settle(10_000, 4_000);
    journal(&mut taker);
    cycle(&mut taker, &mut record, 2);
    assert_eq!(taker.available_tokens(), taker.granted_tokens() - 4_000);
    giver.observe(&record, 1, PREPAID);
    assert_eq!(giver.available_tokens(), 20_000);
    let held = |router| record.holder(router).expect("an entry").granted_tokens;
    assert_eq!(held(1), 20_000);
    assert_eq!(held(2), taker.granted_tokens());
    assert_eq!(record.granted_tokens, held(1) + held(2));
    let reclaimed = record.reclaim(2, 4_000).expect("unused rights");
    assert_eq!(
        reclaimed.granted_tokens, 24_000,
        "the giver's and what was used"
    );
}

/// Guards against moving received rights before the journal counts them: a successor would take them back although they
/// were spent.
#[test]
fn received_rights_stay_with_the_giver_until_the_journal_counts_them() {
    let mut record = TeamRecord::default();
    let (mut giver, mut taker) = (Account::default(), Account::default());
    giver.want(30_000);
    cycle(&mut giver, &mut record, 1);
    journal(&mut taker);
    let under_way = taker.begin_entry();
    taker.receive(1, giver.give(10_000, 1_000));
    taker.open(under_way);
    assert!(taker.reserve(10_000, 0).is_ok());
    taker.observe(&record, 2, PREPAID);
    let planned = taker.plan(&record, 2, PREPAID, ROUTERS);
    let moved = |planned: &TeamRecord| planned.holder(1).expect("the giver").moved_tokens;
    assert_eq!(planned.as_ref().map_or(0, moved), 0);
    journal(&mut taker);
    let planned = taker.plan(&record, 2, PREPAID, ROUTERS);
    assert_eq!(planned.as_ref().map(moved), Some(10_000));
}

fn journal(account: &mut Account) {
    let limit = account.begin_entry();
    account.open(limit);
}

fn cycle(account: &mut Account, record: &mut TeamRecord, router: u64) {
    account.observe(record, router, PREPAID);
    if let Some(planned) = account.plan(record, router, PREPAID, ROUTERS) {
        account.begin(&planned, router);
        account.finish(true);
        *record = planned;
    }
    account.open(limit(u64::MAX, u64::MAX));
}

/// Guards against refusing a request that the balance covers while no other router holds rights.
#[test]
fn a_lone_router_can_spend_the_whole_budget() {
    let mut record = TeamRecord::default();
    let mut account = Account::default();
    let mut spent = 0;
    for step in 0..200 {
        let need = 1_000;
        if account.reserve(need, step * 100).is_err() {
            account.want(need);
            cycle(&mut account, &mut record, 1);
            account.unwant(need);
            if account.reserve(need, step * 100).is_err() {
                break;
            }
        }
        account.settle(need, need);
        spent += need;
    }
    assert_eq!(spent, PREPAID);
    cycle(&mut account, &mut record, 1);
    assert_eq!(account.reserve(1, 50_000), Err(Shortage::Exhausted));
}

/// Guards against calling a budget exhausted while another router may still return rights.
#[test]
fn rights_of_other_routers_are_not_exhausted() {
    let mut record = TeamRecord::default();
    let mut busy = Account::default();
    busy.want(PREPAID);
    cycle(&mut busy, &mut record, 1);
    busy.unwant(PREPAID);
    let mut other = Account::default();
    cycle(&mut other, &mut record, 2);
    assert_eq!(other.reserve(500, 0), Err(Shortage::NotHeld));
}

/// Guards against losing the rights of killed routers of a large fleet: the entries of their successors pushed theirs out
/// of the record before they were taken back.
#[test]
fn entries_with_rights_outlast_those_of_sixty_successors() {
    let mut record = TeamRecord::default();
    for router in 0..120 {
        let mut account = Account::default();
        account.want(500);
        cycle(&mut account, &mut record, router);
        if router >= 60 {
            assert_eq!(account.reserve(account.granted_tokens(), 0), Ok(()));
        }
    }
    for router in 0..60 {
        assert!(record.reclaim(router, 0).is_some(), "{router}");
    }
}

/// Guards against rights that an idle router keeps while others need them.
#[test]
fn idle_rights_go_back() {
    let mut record = TeamRecord::default();
    let mut account = Account::default();
    account.want(50_000);
    cycle(&mut account, &mut record, 1);
    account.unwant(50_000);
    assert_eq!(account.available_tokens(), 50_000);
    cycle(&mut account, &mut record, 1);
    assert!(account.available_tokens() < 10_000);
    assert_eq!(record.granted_tokens, account.granted_tokens());
}
