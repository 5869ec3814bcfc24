//! Datagrams between gateways, as they are encoded.

use prost::{Enumeration, Message, Oneof};

use crate::allowance::{BudgetRecord, MAX_BUDGET_TOKENS};
use crate::upstream_limits::MAX_LIMIT_MILLI_PER_S;

/// Longest wait in a datagram; no request waits for longer.
const MAX_WAIT_MS: u64 = 86_400_000;

/// Largest age and reading of a wall clock in a datagram, in the year 37,648.
const MAX_TIME_MS: u64 = 1 << 50;

/// Largest number of requests or responses in a datagram.
const MAX_COUNT: u64 = 1 << 40;

/// Envelope of all datagrams.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Datagram {
    /// Content of the datagram.
    #[prost(
        oneof = "Content",
        tags = "1, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 30"
    )]
    pub(super) content: Option<Content>,
}

/// Content of a datagram. Tags 2 and 3 were used by earlier versions.
#[derive(Clone, PartialEq, Oneof)]
pub(in crate::gateway) enum Content {
    #[prost(message, tag = "1")]
    PromptNotice(PromptNotice),
    /// Rights that a gateway gives to another one.
    #[prost(message, tag = "4")]
    Handover(Handover),
    #[prost(message, tag = "5")]
    Clock(ClockMessage),
    #[prost(message, tag = "6")]
    Reserve(Reserve),
    #[prost(message, tag = "7")]
    ReserveReply(ReserveReply),
    #[prost(message, tag = "8")]
    Settle(Settle),
    #[prost(message, tag = "9")]
    SettleReply(SettleReply),
    #[prost(message, tag = "10")]
    RightsRequest(RightsRequest),
    #[prost(message, tag = "11")]
    HandoverReply(HandoverReply),
    /// Limit that an upstream has stated.
    #[prost(message, tag = "12")]
    Limit(LimitMessage),
    #[prost(message, tag = "13")]
    LimitRequest(LimitRequest),
    #[prost(message, tag = "14")]
    LimitReply(LimitReply),
    /// Responses of both versions of a service during a rollout.
    #[prost(message, tag = "15")]
    VersionReport(VersionReport),
    /// A new version of a team's record.
    #[prost(message, tag = "16")]
    RecordNotice(RecordNotice),
    #[prost(message, tag = "17")]
    RecordNoticeReply(RecordNoticeReply),
    #[prost(message, tag = "18")]
    RecordQuery(RecordQuery),
    #[prost(message, tag = "19")]
    RecordQueryReply(RecordQueryReply),
    /// Permission to send requests to a new version only, shortly before its rollout is completed.
    #[prost(message, tag = "20")]
    MoveNotice(MoveNotice),
    /// The process of an upstream is gone.
    #[prost(message, tag = "21")]
    UpstreamGone(UpstreamGone),
    #[prost(message, tag = "30")]
    LimitServed(LimitServed),
}

impl Content {
    /// Returns whether all figures are within the bounds that gateways keep, so that sums of them fit.
    pub(super) fn is_within_bounds(&self) -> bool {
        let wait_fits = |wait_ms: Option<u64>| wait_ms.is_none_or(|ms| ms <= MAX_WAIT_MS);
        let limit_fits =
            |limit: Option<u64>| limit.is_none_or(|limit| limit <= MAX_LIMIT_MILLI_PER_S);
        match self {
            Self::Handover(handover) => handover.tokens <= MAX_BUDGET_TOKENS,
            Self::Clock(clock) => clock.wall_ms <= MAX_TIME_MS,
            Self::Reserve(request) => {
                request.tokens <= MAX_BUDGET_TOKENS && request.remaining_ms <= MAX_WAIT_MS
            }
            Self::ReserveReply(reply) => {
                wait_fits(reply.wait_ms) && reply.retry_after_ms <= MAX_WAIT_MS
            }
            Self::Settle(settlement) => settlement.charge_tokens <= MAX_BUDGET_TOKENS,
            Self::RightsRequest(request) => request.tokens <= MAX_BUDGET_TOKENS,
            Self::Limit(message) => limit_fits(message.limit_milli_per_s),
            Self::LimitRequest(request) => limit_fits(request.limit_milli_per_s),
            Self::LimitReply(reply) => wait_fits(reply.denied_ms),
            Self::VersionReport(report) => report.is_within_bounds(),
            Self::MoveNotice(notice) => {
                let times_ms = [notice.valid_ms, notice.complete_in_ms];
                notice.new_requests <= MAX_COUNT && times_ms.iter().all(|ms| *ms <= MAX_TIME_MS)
            }
            Self::UpstreamGone(message) => message.age_ms <= MAX_TIME_MS,
            Self::PromptNotice(_)
            | Self::SettleReply(_)
            | Self::HandoverReply(_)
            | Self::RecordNotice(_)
            | Self::RecordNoticeReply(_)
            | Self::RecordQuery(_)
            | Self::RecordQueryReply(_)
            | Self::LimitServed(_) => true,
        }
    }
}

/// The version of a team's record that a gateway has written.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct RecordNotice {
    /// Random id of the notice.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) id: u64,
    /// Name of the team.
    #[prost(string, tag = "2")]
    pub(in crate::gateway) team: String,
    /// The record.
    #[prost(message, required, tag = "3")]
    pub(in crate::gateway) record: BudgetRecord,
}

/// Acknowledgement of a [`RecordNotice`].
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct RecordNoticeReply {
    /// Id of the notice.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) id: u64,
    /// Whether the store may have forgotten the version, see [`crate::allowance::Knowledge::may_be_lost`].
    #[prost(bool, tag = "2")]
    pub(in crate::gateway) may_be_lost: bool,
}

/// A question for the newest version of a team's record that a gateway knows.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct RecordQuery {
    /// Random id of the question.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) id: u64,
    /// Name of the team.
    #[prost(string, tag = "2")]
    pub(in crate::gateway) team: String,
    /// Epoch of the store in which the record is recovered.
    #[prost(uint64, tag = "3")]
    pub(in crate::gateway) epoch: u64,
}

/// Answer to a [`RecordQuery`].
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct RecordQueryReply {
    /// Id of the question.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) id: u64,
    /// Random id of the process that answers.
    #[prost(fixed64, tag = "2")]
    pub(in crate::gateway) router: u64,
    /// The newest version that it knows; `None` if it has not followed the team.
    #[prost(message, optional, tag = "3")]
    pub(in crate::gateway) record: Option<BudgetRecord>,
}

/// A request for the wall clock of another gateway, or the response.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct ClockMessage {
    /// Wall clock of the responding gateway.
    #[prost(uint64, tag = "1")]
    pub(in crate::gateway) wall_ms: u64,
    /// Monotonic clock of the requesting gateway when it sent the request.
    #[prost(uint64, tag = "2")]
    pub(in crate::gateway) asked_steady_ms: u64,
    /// Whether this is the response.
    #[prost(bool, tag = "3")]
    pub(in crate::gateway) is_answer: bool,
}

/// Spending rights that are handed over.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct Handover {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub(in crate::gateway) team: String,
    /// Number of tokens.
    #[prost(uint64, tag = "2")]
    pub(in crate::gateway) tokens: u64,
    /// Random id of the handover.
    #[prost(fixed64, tag = "3")]
    pub(in crate::gateway) id: u64,
    /// Id of the process that gives the rights away.
    #[prost(fixed64, tag = "4")]
    pub(in crate::gateway) giver: u64,
}

/// Acknowledgement of a [`Handover`].
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct HandoverReply {
    /// Id of the handover.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) id: u64,
}

/// A request of one holder to another one for rights that it can spend and does not need at once.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct RightsRequest {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub(in crate::gateway) team: String,
    /// Number of tokens.
    #[prost(uint64, tag = "2")]
    pub(in crate::gateway) tokens: u64,
}

/// A prompt that was sent to an engine.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct PromptNotice {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub(in crate::gateway) upstream: String,
    /// Hash that identifies the session of the prompt.
    #[prost(fixed64, tag = "2")]
    pub(in crate::gateway) session: u64,
    /// Time that the engine takes to prefill the prompt, in microseconds.
    #[prost(uint64, tag = "3")]
    pub(in crate::gateway) prefill_us: u64,
    /// The same at usual speed, if engines state their speed.
    #[prost(uint64, optional, tag = "4")]
    pub(in crate::gateway) work_us: Option<u64>,
    /// Hashes of the other parts that prompts of other sessions share, if engines state their speed.
    #[prost(fixed64, repeated, tag = "5")]
    pub(in crate::gateway) parts: Vec<u64>,
    /// Statements of engines about their speed that the sender has received lately.
    #[prost(message, repeated, tag = "6")]
    pub(in crate::gateway) speeds: Vec<SpeedMessage>,
}

/// A statement of an engine about its speed.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct SpeedMessage {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub(in crate::gateway) upstream: String,
    /// Time that its work takes, in percent of the usual time.
    #[prost(uint32, tag = "2")]
    pub(in crate::gateway) work_percent: u32,
    /// Time since the statement arrived.
    #[prost(uint32, tag = "3")]
    pub(in crate::gateway) age_ms: u32,
}

/// A request to reserve the largest possible charge of a caller's request at a holder of the team's rights.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct Reserve {
    /// Random id of the reservation.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) id: u64,
    /// Name of the team.
    #[prost(string, tag = "2")]
    pub(in crate::gateway) team: String,
    /// Tokens to reserve.
    #[prost(uint64, tag = "3")]
    pub(in crate::gateway) tokens: u64,
    /// Time until the deadline of the caller's request.
    #[prost(uint64, tag = "4")]
    pub(in crate::gateway) remaining_ms: u64,
    /// Budget of the team in the configuration of the sender.
    #[prost(uint64, tag = "5")]
    pub(in crate::gateway) prepaid_tokens: u64,
    /// Whether the holder may wait for rights before it responds.
    #[prost(bool, tag = "6")]
    pub(in crate::gateway) may_wait: bool,
    /// Id of the caller's request, for the log.
    #[prost(string, tag = "7")]
    pub(in crate::gateway) request_id: String,
}

/// Result of a [`Reserve`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub(in crate::gateway) enum ReserveOutcome {
    /// Not used; an unknown result counts as [`ReserveOutcome::Unavailable`].
    Unspecified = 0,
    /// The tokens are reserved.
    Granted = 1,
    /// The team's balance does not cover the request.
    Exhausted = 2,
    /// The holder can spend too few tokens now.
    NotHeld = 3,
    /// The holder waits for rights and will send another reply.
    Waiting = 4,
    /// The holder serves no reservations, because it is shutting down or does not know the team.
    Unavailable = 5,
}

/// Reply to a [`Reserve`].
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct ReserveReply {
    /// Id of the reservation.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) id: u64,
    /// Result.
    #[prost(enumeration = "ReserveOutcome", tag = "2")]
    pub(in crate::gateway) outcome: i32,
    /// If the tokens are not held: time after which the holder expects to have them; `None` if it expects none.
    #[prost(uint64, optional, tag = "3")]
    pub(in crate::gateway) wait_ms: Option<u64>,
    /// If the tokens are not held: time after which the caller may be served.
    #[prost(uint64, tag = "4")]
    pub(in crate::gateway) retry_after_ms: u64,
}

/// The charge of a reservation, which ends it.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct Settle {
    /// Id of the reservation.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) id: u64,
    /// Name of the team.
    #[prost(string, tag = "2")]
    pub(in crate::gateway) team: String,
    /// Tokens to charge.
    #[prost(uint64, tag = "3")]
    pub(in crate::gateway) charge_tokens: u64,
}

/// Acknowledgement of a [`Settle`].
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct SettleReply {
    /// Id of the reservation.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) id: u64,
}

/// Limit on the rate of requests that an upstream has stated to the sender.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct LimitMessage {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub(in crate::gateway) upstream: String,
    /// Requests that it takes from all gateways, in thousandths of a request a second; `None` if it states no limit any
    /// more.
    #[prost(uint64, optional, tag = "2")]
    pub(in crate::gateway) limit_milli_per_s: Option<u64>,
    /// Time for which the sender has known the limit.
    #[prost(uint64, tag = "3")]
    pub(in crate::gateway) known_ms: u64,
}

/// A request for permission to send one request to an upstream that has stated a limit or may be cold.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct LimitRequest {
    /// Random id of the request.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) id: u64,
    /// Id of the upstream.
    #[prost(string, tag = "2")]
    pub(in crate::gateway) upstream: String,
    /// Limit as the sender knows it, in thousandths of a request a second; `None` if the upstream states none.
    #[prost(uint64, optional, tag = "3")]
    pub(in crate::gateway) limit_milli_per_s: Option<u64>,
    /// Time for which the sender has known the limit.
    #[prost(uint64, tag = "4")]
    pub(in crate::gateway) known_ms: u64,
    /// Whether the request is light, so that others go first.
    #[prost(bool, tag = "5")]
    pub(in crate::gateway) is_light: bool,
    /// Whether the sender has no proof that the upstream is warm.
    #[prost(bool, tag = "6")]
    pub(in crate::gateway) may_be_cold: bool,
    /// Time since the sender lost contact with the upstream; older signs of life prove nothing to it.
    #[prost(uint64, optional, tag = "7")]
    pub(in crate::gateway) lost_age_ms: Option<u64>,
}

/// Tells the coordinator that a request which it has granted was answered, so that the upstream lives.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct LimitServed {
    /// Id of the request for permission.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) id: u64,
    /// Id of the upstream.
    #[prost(string, tag = "2")]
    pub(in crate::gateway) upstream: String,
}

/// Reply to a [`LimitRequest`].
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct LimitReply {
    /// Id of the request.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) id: u64,
    /// Time until the upstream takes the next request; `None` if the request may be sent now.
    #[prost(uint64, optional, tag = "2")]
    pub(in crate::gateway) denied_ms: Option<u64>,
    /// Age of the last sign of life, if the request needed no grant because the upstream is proved to be warm.
    #[prost(uint64, optional, tag = "3")]
    pub(in crate::gateway) proof_age_ms: Option<u64>,
}

/// Responses of both versions of a service that the sender has counted since the order to move it.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct VersionReport {
    /// VM of the sender.
    #[prost(string, tag = "1")]
    pub(in crate::gateway) vm: String,
    /// The service.
    #[prost(string, tag = "2")]
    pub(in crate::gateway) service: String,
    /// The new version.
    #[prost(string, tag = "3")]
    pub(in crate::gateway) target: String,
    /// Responses of the new version.
    #[prost(uint64, tag = "4")]
    pub(in crate::gateway) new_responses: u64,
    /// Bad ones among them.
    #[prost(uint64, tag = "5")]
    pub(in crate::gateway) new_bad: u64,
    /// Responses of the present version.
    #[prost(uint64, tag = "6")]
    pub(in crate::gateway) old_responses: u64,
    /// Bad ones among them.
    #[prost(uint64, tag = "7")]
    pub(in crate::gateway) old_bad: u64,
    /// Random id of the sender's process; its counts begin with it.
    #[prost(fixed64, tag = "8")]
    pub(in crate::gateway) router: u64,
    /// Requests of callers for the service.
    #[prost(uint64, tag = "9")]
    pub(in crate::gateway) requests: u64,
    /// Requests that were sent to the new version.
    #[prost(uint64, tag = "10")]
    pub(in crate::gateway) new_requests: u64,
    /// Time since the sender read the order.
    #[prost(uint64, tag = "11")]
    pub(in crate::gateway) age_ms: u64,
    /// Responses by route.
    #[prost(message, repeated, tag = "12")]
    pub(in crate::gateway) routes: Vec<RouteReport>,
}

impl VersionReport {
    fn is_within_bounds(&self) -> bool {
        let counts = [
            self.new_responses,
            self.new_bad,
            self.old_responses,
            self.old_bad,
            self.requests,
            self.new_requests,
        ];
        counts.iter().all(|count| *count <= MAX_COUNT)
            && self.age_ms <= MAX_TIME_MS
            && self.routes.iter().all(RouteReport::is_within_bounds)
    }
}

impl RouteReport {
    fn is_within_bounds(&self) -> bool {
        let counts = [
            self.new_responses,
            self.new_bad,
            self.old_responses,
            self.old_bad,
            self.reference_responses,
        ];
        let times = self.unjudged_ms.iter().chain([&self.reference_unit_ms]);
        counts.iter().all(|count| *count <= MAX_COUNT)
            && times
                .into_iter()
                .all(|ms| (0.0..=MAX_TIME_MS as f64).contains(ms))
    }
}

/// Responses of both versions on one route.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct RouteReport {
    /// Name of the route.
    #[prost(string, tag = "1")]
    pub(in crate::gateway) route: String,
    /// Responses of the new version.
    #[prost(uint64, tag = "2")]
    pub(in crate::gateway) new_responses: u64,
    /// Bad ones among them.
    #[prost(uint64, tag = "3")]
    pub(in crate::gateway) new_bad: u64,
    /// Responses of the present version.
    #[prost(uint64, tag = "4")]
    pub(in crate::gateway) old_responses: u64,
    /// Bad ones among them.
    #[prost(uint64, tag = "5")]
    pub(in crate::gateway) old_bad: u64,
    /// Responses from which the speed of the present version was measured.
    #[prost(uint64, tag = "6")]
    pub(in crate::gateway) reference_responses: u64,
    /// Mean time per unit of work of these responses.
    #[prost(double, tag = "7")]
    pub(in crate::gateway) reference_unit_ms: f64,
    /// Times per unit of work of responses of the new version that could not be compared yet.
    #[prost(double, repeated, tag = "8")]
    pub(in crate::gateway) unjudged_ms: Vec<f64>,
}

/// Permission of a decider to send requests to a new version only.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct MoveNotice {
    /// The service.
    #[prost(string, tag = "1")]
    pub(in crate::gateway) service: String,
    /// The new version.
    #[prost(string, tag = "2")]
    pub(in crate::gateway) target: String,
    /// Random id of the process to which the permission applies.
    #[prost(fixed64, tag = "3")]
    pub(in crate::gateway) router: u64,
    /// Highest number of requests that the process may have sent to the version since the order.
    #[prost(uint64, tag = "4")]
    pub(in crate::gateway) new_requests: u64,
    /// Time for which the permission is valid.
    #[prost(uint64, tag = "5")]
    pub(in crate::gateway) valid_ms: u64,
    /// Time until the completion is written.
    #[prost(uint64, tag = "6")]
    pub(in crate::gateway) complete_in_ms: u64,
}

/// How the process of an upstream turned out to be gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub(in crate::gateway) enum GoneReason {
    /// Not used; a report without a known reason is ignored.
    Unspecified = 0,
    /// Another process responded at its address.
    Replaced = 1,
    /// Its address refuses connections.
    Unreachable = 2,
}

/// A process of an upstream that the sender found gone.
#[derive(Clone, PartialEq, Message)]
pub(in crate::gateway) struct UpstreamGone {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub(in crate::gateway) upstream: String,
    /// Start of the process by its own clock.
    #[prost(uint64, optional, tag = "2")]
    pub(in crate::gateway) started_ms: Option<u64>,
    /// How the sender found out.
    #[prost(enumeration = "GoneReason", tag = "3")]
    pub(in crate::gateway) kind: i32,
    /// Time since the sender found out.
    #[prost(uint64, tag = "4")]
    pub(in crate::gateway) age_ms: u64,
}
