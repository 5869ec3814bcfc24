//! Spending rights against a store that loses answers, runs writes late and serves several routers at once.

use std::collections::BTreeMap;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use monsoonfield::allowance::{Account, Shortage, TeamRecord};

const PREPAID: u64 = 100_000;
const ROUTERS: u64 = 3;

/// A store with one record, conditional writes, and writes that are still under way.
#[derive(Default)]
struct World {
    record: TeamRecord,
    end: u64,
    /// Writes without an answer: condition and content.
    late: Vec<(u64, TeamRecord)>,
    routers: BTreeMap<u64, Router>,
    charged: u64,
}

#[derive(Default)]
struct Router {
    account: Account,
    /// Reservations of open requests.
    open: Vec<u64>,
    /// A write whose fate is not known: condition and content.
    unknown: Option<(u64, TeamRecord)>,
}

impl World {
    fn new() -> Self {
        let routers = (0..ROUTERS).map(|id| (id, Router::default())).collect();
        Self {
            routers,
            ..Self::default()
        }
    }

    fn apply(&mut self, condition: u64, content: &TeamRecord) -> bool {
        if condition != self.end {
            return false;
        }
        self.record = content.clone();
        self.end += 1;
        true
    }

    /// One look of a router at the record, with a write that may be lost or late.
    fn cycle(&mut self, id: u64, fault: u8, returns: bool) {
        let (record, end) = (self.record.clone(), self.end);
        let Some(router) = self.routers.get_mut(&id) else {
            return;
        };
        if let Some((condition, content)) = router.unknown.clone() {
            let was_written = router.account.is_written(&record, id);
            if was_written || end > condition {
                router.account.finish(was_written);
                router.unknown = None;
            } else {
                self.send(id, condition, content, fault);
            }
            return;
        }
        router.account.observe(&record, id, PREPAID);
        let planned = if returns {
            router.account.plan_return(&record, id)
        } else {
            router.account.plan(&record, id, PREPAID, ROUTERS)
        };
        if let Some(planned) = planned {
            router.account.begin(&planned, id);
            router.unknown = Some((end, planned.clone()));
            self.send(id, end, planned, fault);
        }
    }

    fn send(&mut self, id: u64, condition: u64, content: TeamRecord, fault: u8) {
        match fault % 4 {
            // Neither the call nor its answer arrives.
            0 => {}
            // Done, the answer is lost.
            1 => {
                self.apply(condition, &content);
            }
            // Done later, if its condition still holds then.
            2 => self.late.push((condition, content)),
            _ => {
                if self.apply(condition, &content) {
                    if let Some(router) = self.routers.get_mut(&id) {
                        router.account.finish(true);
                        router.unknown = None;
                    }
                }
            }
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>, now_ms: u64) -> arbtest::arbitrary::Result<()> {
        let id = u.int_in_range(0..=self.routers.len() as u64 - 1)?;
        let id = *self.routers.keys().nth(id as usize).unwrap();
        match u.int_in_range(0..=9)? {
            0..=3 => {
                let need = u.int_in_range(1..=9_000)?;
                let router = self.routers.get_mut(&id).unwrap();
                match router.account.reserve(need, now_ms) {
                    Ok(()) => router.open.push(need),
                    Err(_) => router.account.want(need),
                }
            }
            4..=5 => {
                let router = self.routers.get_mut(&id).unwrap();
                if let Some(need) = router.open.pop() {
                    let charge = u.int_in_range(0..=need)?;
                    router.account.settle(need, charge);
                    self.charged += charge;
                }
            }
            6 => {
                // A transfer between routers, which may be lost on the way.
                let asked = u.int_in_range(0..=20_000)?;
                let given = self.routers.get_mut(&id).unwrap().account.give(asked, 500);
                let taker = *self.routers.keys().next().unwrap();
                if taker != id && u.ratio(4, 5)? {
                    self.routers.get_mut(&taker).unwrap().account.receive(given);
                }
            }
            7 => {
                let (fault, returns) = (u.arbitrary()?, u.ratio(1, 5)?);
                self.cycle(id, fault, returns);
            }
            8 => {
                if !self.late.is_empty() {
                    let index = u.choose_index(self.late.len())?;
                    let (condition, content) = self.late.remove(index);
                    self.apply(condition, &content);
                }
            }
            _ => {
                // A router is killed; its open requests may still be charged in full by what they deliver.
                let router = self.routers.remove(&id).unwrap();
                self.charged += router.open.iter().sum::<u64>();
                let next = self.routers.keys().max().copied().unwrap_or(0).max(id) + 1;
                self.routers.insert(next, Router::default());
            }
        }
        Ok(())
    }
}

/// Guards against spending more than was prepaid when answers are lost, writes run late and routers are killed.
#[test]
fn no_interleaving_overspends() {
    arbtest(|u| {
        let mut world = World::new();
        let steps = u.int_in_range(10..=300)?;
        for step in 0..steps {
            world.step(u, step * 20)?;
            let open: u64 = world.routers.values().flat_map(|router| &router.open).sum();
            assert!(
                world.charged + open <= PREPAID,
                "charged {} open {open}",
                world.charged
            );
            assert!(world.record.granted_tokens <= PREPAID);
        }
        Ok(())
    });
}

fn cycle(account: &mut Account, record: &mut TeamRecord, router: u64) {
    account.observe(record, router, PREPAID);
    if let Some(planned) = account.plan(record, router, PREPAID, ROUTERS) {
        account.begin(&planned, router);
        account.finish(true);
        *record = planned;
    }
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
