//! Sentences on the shared state.

use crate::fleet_state::FleetState;
use crate::ids::{IncarnationId, RequestKey};
use crate::intent::Claim;

/// Describes whether a call that may run at most once was claimed and whether it ran.
pub(super) fn claim(key: RequestKey, state: &FleetState) -> Option<String> {
    let sentence = match state.intents.get(key)? {
        Claim::Open { holder, .. } => format!(
            "The call is claimed by {}, and its result is not in the log: it may have run.",
            describe_incarnation(holder, state)
        ),
        Claim::Ran { status, .. } => {
            format!("The call ran once, and the upstream answered with status {status}.")
        }
    };
    Some(sentence)
}

/// Describes the bill of a request.
pub(super) fn bill(key: RequestKey, state: &FleetState) -> Option<String> {
    let fingerprint = state.ledger.billed(key)?;
    Some(format!(
        "The request was billed once, with body fingerprint {:016x}.",
        fingerprint.0
    ))
}

/// Describes which incarnation holds which part of a budget.
pub(super) fn budget(customer: &str, state: &FleetState) -> Vec<String> {
    let Some(key) = state.customers.get(customer) else {
        return Vec::new();
    };
    let (Some(in_force), Some(budget)) = (state.contracts.get(&key), state.ledger.budget(key))
    else {
        return Vec::new();
    };
    let mut sentences = vec![
        format!(
            "Contract revision {} is in force since offset {}, with {} prepaid tokens in total.",
            in_force.revision, in_force.offset, budget.prepaid_total_tokens
        ),
        format!(
            "{} tokens are billed, and {} are not granted to any router.",
            budget.billed_tokens(),
            budget.unallocated_tokens()
        ),
    ];
    for (&incarnation, grant) in &budget.grants {
        sentences.push(format!(
            "{} was granted {} tokens, of which {} are billed.",
            describe_incarnation(incarnation, state),
            grant.granted_tokens,
            grant.billed_tokens
        ));
    }
    let rejections = state.rejections.iter().filter(|r| r.subject == customer);
    sentences.extend(rejections.map(|rejection| {
        format!(
            "The publication at offset {} was rejected: {}.",
            rejection.offset, rejection.reason
        )
    }));
    sentences
}

/// Describes the progress of a rollout, and why it ended or was rolled back.
pub(super) fn rollout(id: &str, state: &FleetState) -> Vec<String> {
    let Some((_, rollout)) = state.rollouts.iter().find(|(name, _)| *name == id) else {
        return Vec::new();
    };
    let mut sentences = vec![format!(
        "Revision {} moves {} from {} to {} between {} ms and {} ms; step {} gives the new version {} ppm.",
        rollout.revision,
        rollout.model,
        rollout.from_version,
        rollout.to_version,
        rollout.start_ms,
        rollout.deadline_ms,
        rollout.step,
        rollout.share_ppm
    )];
    sentences.extend(state.rollouts.explain(id));
    if rollout.end.is_none() && !rollout.rolled_back.contains_key("") {
        sentences.push("The rollout has not ended.".to_owned());
    }
    sentences
}

fn describe_incarnation(incarnation: IncarnationId, state: &FleetState) -> String {
    match state.members.get(incarnation) {
        Some(member) => format!("VM {} (incarnation {incarnation})", member.vm),
        None => format!("Incarnation {incarnation} (no longer a member)"),
    }
}
