//! Versions of the teams' records that the gateways know.
//!
//! The store may return from an older copy, and then only the gateways know what was granted since. So a gateway tells
//! the other ones that follow a team of each version that it writes, and spends what the version grants to it only
//! after one of them has acknowledged. After a return, a record is recovered from the newest version that a live
//! gateway knows, see [`crate::allowance::Recovery`].

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use prost::Message;
use rand::Rng;

use super::team_budget::{ReconcileResult, TeamBudget};
use crate::allowance::{BudgetRecord, Recovery};
use crate::collections::FastMap;
use crate::gateway::peers::{
    Content, RecordNotice, RecordNoticeReply, RecordQuery, RecordQueryReply,
};
use crate::gateway::Shared;
use crate::notify::Notify;
use crate::store::{AppendOutcome, Record, Store};

/// Interval at which a notice is repeated to gateways that have not acknowledged it.
const NOTICE_INTERVAL: Duration = Duration::from_millis(30);

/// Number of times that a notice is sent.
const NOTICE_SENDS: u32 = 3;

/// Interval at which a question is repeated to gateways that have not answered it.
const QUERY_INTERVAL: Duration = Duration::from_millis(60);

/// Longest wait for the answers of gateways that responded lately; one that is slow may know the newest version.
const QUERY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest wait if only gateways that have not responded lately are missing.
const SILENT_QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Time since the start of the process before which no record is charged in full. Gateways that know more may be
/// starting to reach the store at the same time.
const MIN_UNINFORMED_MS: u64 = 4_000;

/// Time for which a gateway that no other one answers leaves a recovery to those that reach each other. What they were
/// granted lately is unknown to it.
const ISOLATED_WAIT_MS: u64 = 5_000;

/// Notices and questions that wait for replies.
#[derive(Default)]
pub(super) struct Exchange {
    /// Replies to notices, by the id of the notice.
    notices: RefCell<FastMap<u64, NoticeReplies>>,
    /// Answers to questions, by the id of the question.
    answers: RefCell<FastMap<u64, FastMap<SocketAddr, RecordQueryReply>>>,
    received: Notify,
}

/// Replies to one notice so far.
#[derive(Default)]
struct NoticeReplies {
    /// Receivers that have not replied.
    missing: Vec<SocketAddr>,
    /// Whether a receiver replied that the store may have forgotten the version.
    may_be_lost: bool,
}

/// Whether the tokens that an announced version grants can be spent.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Announcement {
    /// A recovery would find the version, or no other gateway responded.
    Known,
    /// The store may have returned from an older copy before another gateway knew the version.
    MayBeLost,
}

/// A notice that waits for acknowledgements; it is forgotten on drop.
struct PendingNotice<'a> {
    exchange: &'a Exchange,
    id: u64,
}

impl<'a> PendingNotice<'a> {
    fn new(exchange: &'a Exchange, id: u64, receivers: Vec<SocketAddr>) -> Self {
        let replies = NoticeReplies {
            missing: receivers,
            ..NoticeReplies::default()
        };
        exchange.notices.borrow_mut().insert(id, replies);
        Self { exchange, id }
    }

    fn missing(&self) -> Vec<SocketAddr> {
        self.exchange.notices.borrow()[&self.id].missing.clone()
    }

    fn may_be_lost(&self) -> bool {
        self.exchange.notices.borrow()[&self.id].may_be_lost
    }
}

impl Drop for PendingNotice<'_> {
    fn drop(&mut self) {
        self.exchange.notices.borrow_mut().remove(&self.id);
    }
}

/// A question that waits for answers; it is forgotten on drop.
struct PendingQuery<'a> {
    exchange: &'a Exchange,
    id: u64,
}

impl PendingQuery<'_> {
    fn has_answer(&self, peer: SocketAddr) -> bool {
        let answers = self.exchange.answers.borrow();
        answers[&self.id].contains_key(&peer)
    }
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        self.exchange.answers.borrow_mut().remove(&self.id);
    }
}

/// Tells the other gateways that follow a team of a version of its record.
///
/// For a version that grants tokens to this gateway, this waits until another gateway knows it. If none responds, the
/// tokens may be spent nevertheless: a gateway that is cut off from all others still serves its callers.
pub(super) async fn announce(
    shared: &Shared,
    team: &TeamBudget,
    record: &BudgetRecord,
    is_grant: bool,
) -> Announcement {
    let witnesses = team.witnesses(shared);
    if witnesses.is_empty() {
        return Announcement::Known;
    }
    let id = shared.random.borrow_mut().random();
    let notice = Content::RecordNotice(RecordNotice {
        id,
        team: team.name.as_str().into(),
        record: record.clone(),
    });
    let exchange = &shared.budgets.exchange;
    if !is_grant {
        for witness in witnesses {
            shared.peer_socket.send(notice.clone(), witness);
        }
        return Announcement::Known;
    }
    let pending = PendingNotice::new(exchange, id, witnesses.clone());
    for sends in 1..=NOTICE_SENDS {
        for witness in pending.missing() {
            shared.peer_socket.send(notice.clone(), witness);
        }
        let all = exchange.received.wait_for(|| {
            let is_complete = pending.missing().is_empty() || pending.may_be_lost();
            is_complete.then_some(())
        });
        let is_complete = monoio::time::timeout(NOTICE_INTERVAL, all).await.is_ok();
        if pending.may_be_lost() {
            log::warn!(
                step = "record notice", team = team.name.as_str(), at_ms = shared.now_ms();
                "the store may have forgotten a version of the record, reading it again"
            );
            return Announcement::MayBeLost;
        }
        if is_complete {
            return Announcement::Known;
        }
        if sends > 1 && pending.missing().len() < witnesses.len() {
            break;
        }
    }
    let missing = pending.missing();
    for peer in &missing {
        let mut monitor = shared.peer_monitor.borrow_mut();
        monitor.record_timeout(*peer, shared.now_ms());
    }
    if missing.len() == witnesses.len() {
        log::warn!(
            step = "record notice", team = team.name.as_str(), witnesses = witnesses.len(),
            at_ms = shared.now_ms(); "no other gateway acknowledged a new version of the record"
        );
    }
    Announcement::Known
}

/// Remembers a version that another gateway has written, and acknowledges it.
pub(in crate::gateway) fn handle_notice(shared: &Shared, notice: &RecordNotice, peer: SocketAddr) {
    let Some(team) = shared.budgets.find(&notice.team) else {
        // A configuration without the team does not follow its record, so the notice is not acknowledged.
        return;
    };
    let mut knowledge = team.knowledge.borrow_mut();
    knowledge.learn(&notice.record);
    let reply = RecordNoticeReply {
        id: notice.id,
        may_be_lost: knowledge.may_be_lost(&notice.record),
    };
    drop(knowledge);
    shared
        .peer_socket
        .send(Content::RecordNoticeReply(reply), peer);
}

/// Records that a gateway knows an announced version.
pub(in crate::gateway) fn handle_notice_reply(
    shared: &Shared,
    reply: &RecordNoticeReply,
    peer: SocketAddr,
) {
    let exchange = &shared.budgets.exchange;
    if let Some(replies) = exchange.notices.borrow_mut().get_mut(&reply.id) {
        replies.missing.retain(|receiver| *receiver != peer);
        replies.may_be_lost |= reply.may_be_lost;
    }
    exchange.received.notify();
}

/// Answers with the newest version that this gateway knows.
pub(in crate::gateway) fn handle_query(shared: &Shared, query: &RecordQuery, peer: SocketAddr) {
    let team = shared.budgets.find(&query.team);
    let reply = RecordQueryReply {
        id: query.id,
        router: shared.router_id,
        record: team.and_then(|team| team.knowledge.borrow_mut().answer(query.epoch).cloned()),
    };
    shared
        .peer_socket
        .send(Content::RecordQueryReply(reply), peer);
}

/// Hands an answer to the recovery that waits for it.
pub(in crate::gateway) fn handle_query_reply(
    shared: &Shared,
    reply: RecordQueryReply,
    peer: SocketAddr,
) {
    let exchange = &shared.budgets.exchange;
    if let Some(answers) = exchange.answers.borrow_mut().get_mut(&reply.id) {
        answers.insert(peer, reply);
    }
    exchange.received.notify();
}

/// Asks all other gateways what they know of a team's record, and adds their answers to its recovery.
async fn collect(shared: &Shared, team: &TeamBudget, epoch: u64, recovery: &mut Recovery) {
    let peers: Vec<SocketAddr> = shared.routers.borrow().peers(&shared.settings.vm).collect();
    let exchange = &shared.budgets.exchange;
    let id = shared.random.borrow_mut().random();
    exchange.answers.borrow_mut().insert(id, FastMap::default());
    let pending = PendingQuery { exchange, id };
    let query = Content::RecordQuery(RecordQuery {
        id,
        team: team.name.as_str().into(),
        epoch,
    });
    let started = Instant::now();
    loop {
        let missing: Vec<SocketAddr> = peers
            .iter()
            .copied()
            .filter(|peer| !pending.has_answer(*peer))
            .collect();
        let is_waiting_for_any = missing
            .iter()
            .any(|peer| !shared.peer_monitor.borrow().is_silent(*peer));
        let timeout = if is_waiting_for_any {
            QUERY_TIMEOUT
        } else {
            SILENT_QUERY_TIMEOUT
        };
        if missing.is_empty() || started.elapsed() >= timeout {
            break;
        }
        for peer in &missing {
            shared.peer_socket.send(query.clone(), *peer);
        }
        let all = exchange.received.wait_for(|| {
            let has_all = missing.iter().all(|peer| pending.has_answer(*peer));
            has_all.then_some(())
        });
        // Whether all have answered or the question is to be repeated, the loop decides.
        let _ = monoio::time::timeout(QUERY_INTERVAL, all).await;
    }
    for answer in exchange.answers.borrow()[&id].values() {
        recovery.add(answer.router, answer.record.as_ref());
    }
    // One that is present and did not answer may be frozen or cut off, and have tokens left.
    for router in shared.routers.borrow().processes() {
        recovery.keep_open(router);
    }
}

/// Writes the first version of a record in this epoch of the store.
pub(super) async fn recover(
    shared: &Shared,
    team: &TeamBudget,
    stored: BudgetRecord,
    end: u64,
) -> ReconcileResult {
    let epoch = shared.store.epoch();
    let granted_before = stored.granted_tokens;
    let mut recovery = Recovery::new(stored);
    recovery.add(shared.router_id, team.knowledge.borrow_mut().answer(epoch));
    collect(shared, team, epoch, &mut recovery).await;
    let now_ms = shared.now_ms();
    if !recovery.is_informed() && now_ms < MIN_UNINFORMED_MS {
        return ReconcileResult::Done;
    }
    let has_peers = shared.routers.borrow().peers(&shared.settings.vm).count() > 0;
    let since_ms = team.outdated_since_ms.get().unwrap_or(now_ms);
    let is_isolated = has_peers && recovery.answer_count() == 1;
    if is_isolated && now_ms.saturating_sub(since_ms) < ISOLATED_WAIT_MS {
        return ReconcileResult::Done;
    }
    let planned = recovery.plan(epoch, team.prepaid_tokens.get());
    let append = Record {
        key: team.name.clone(),
        value: Some(planned.encode_to_vec().into()),
    };
    let result = shared.store.append(team.feed(), Some(end), append).await;
    log::warn!(
        step = "recover", team = team.name.as_str(), epoch = epoch,
        informed = recovery.is_informed(), answers = recovery.answer_count(),
        granted_before_tokens = granted_before, granted_tokens = planned.granted_tokens,
        prepaid_tokens = team.prepaid_tokens.get(), outcome = format!("{result:?}").as_str(),
        at_ms = shared.now_ms();
        "recovering the record of a budget after the store returned from an older copy"
    );
    if matches!(result, Ok(AppendOutcome::Written)) && shared.store.epoch() == epoch {
        team.knowledge.borrow_mut().learn(&planned);
        announce(shared, team, &planned, false).await;
    }
    ReconcileResult::Conflict
}
