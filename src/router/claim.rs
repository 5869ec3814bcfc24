//! Claims on calls that may run at most once.

use std::time::Duration;

use super::call::{Call, Refused};
use super::Shared;
use crate::fleet;
use crate::ids::RequestKey;
use crate::intent::Claim;
use crate::record::{Abandon, Entry, Intent, Outcome};
use crate::refusal::Refusal;

/// Longest time that a call waits until its claim is seen in the fold.
const CLAIM_WAIT: Duration = Duration::from_secs(2);

/// Advice for a retry while the log is unavailable.
const RETRY_AFTER_MS: u64 = 2_000;

/// What the claim permits.
pub(super) enum Claimed {
    /// This process may dispatch the call once.
    Won,
    /// The call ran before with this status.
    Ran(u16),
}

/// Claims a call and waits until the claim has won in log order.
///
/// Whatever is not certain is refused: an intent whose place in the log is unknown is abandoned and never dispatched.
pub(super) async fn claim(shared: &Shared, call: &Call) -> Result<Claimed, Refused> {
    if let Some(earlier) = shared.fleet.state().intents.get(call.key) {
        return judge_earlier(earlier, call);
    }
    if !shared.fleet.is_log_available() {
        return Err(log_unavailable());
    }
    let own = shared.fleet.incarnation();
    let intent = Entry::Intent(Intent {
        key_high: high(call.key),
        key_low: low(call.key),
        fingerprint: call.fingerprint.0,
    });
    match shared.fleet.write_and_wait([intent], CLAIM_WAIT).await {
        Ok(_) => {}
        Err(fleet::Error::NotQueued(_)) => return Err(log_unavailable()),
        Err(error) => {
            log::warn!(step = "claim", request_key:% = call.key; "{error}");
            abandon(shared, call);
            return Err(log_unavailable());
        }
    }
    let claim = shared.fleet.state().intents.get(call.key);
    match claim {
        Some(Claim::Open { holder, .. }) if holder == own && own == shared.fleet.incarnation() => {
            Ok(Claimed::Won)
        }
        Some(earlier) => judge_earlier(earlier, call),
        // The own incarnation was closed before the intent was folded, so nobody holds the claim.
        None => Err(log_unavailable()),
    }
}

/// Writes that the call ran.
pub(super) fn complete(shared: &Shared, call: &Call, status: u16) {
    let outcome = Entry::Outcome(Outcome {
        key_high: high(call.key),
        key_low: low(call.key),
        status: status.into(),
    });
    if let Err(error) = shared.fleet.write(outcome) {
        // The claim stays open, so a retry is answered with `may_have_run`, which is true.
        log::warn!(step = "outcome", request_key:% = call.key; "{error}");
    }
}

/// Gives the claim up; the call was not dispatched and never will be.
pub(super) fn abandon(shared: &Shared, call: &Call) {
    let entry = Entry::Abandon(Abandon {
        key_high: high(call.key),
        key_low: low(call.key),
    });
    if let Err(error) = shared.fleet.write(entry) {
        log::warn!(step = "abandon", request_key:% = call.key; "{error}");
    }
}

pub(super) fn judge_earlier(earlier: Claim, call: &Call) -> Result<Claimed, Refused> {
    if earlier.fingerprint() != call.fingerprint {
        return Err(Refused::new(
            Refusal::KeyReused,
            "the idempotency key was used before with another request",
        ));
    }
    match earlier {
        Claim::Ran { status, .. } => Ok(Claimed::Ran(status)),
        Claim::Open { .. } => Err(Refused::new(
            Refusal::EarlierAttempt,
            "an earlier attempt with this idempotency key may have run",
        )),
    }
}

fn log_unavailable() -> Refused {
    Refused::new(
        Refusal::LogUnavailable,
        "the call may run only once and cannot be claimed now",
    )
    .retry_after(RETRY_AFTER_MS)
}

fn high(key: RequestKey) -> u64 {
    (key.0 >> 64) as u64
}

fn low(key: RequestKey) -> u64 {
    key.0 as u64
}
