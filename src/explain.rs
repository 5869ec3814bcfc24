//! Explanations of individual decisions for operators.
//!
//! An explanation combines two sources: the shared state, which shows what the fleet agreed on and at which offset, and
//! the [`DecisionHistory`] of one process, which shows what that process decided and when. The history is bounded: it
//! drops its oldest decisions first, while what the shared state shows stays available.

mod history;
mod sentences;

use clap::ArgMatches;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::cli::{self, CommandOutput, ExitCode, OutputFormat};
use crate::fleet_state::FleetState;
use crate::ids::RequestKey;

pub use history::{DecisionHistory, DecisionRecord, Subject, MAX_DECISIONS};

/// What was decided about one subject, as sentences.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Subject as given by the operator.
    pub subject: CompactString,
    /// Whether anything is known about the subject.
    pub is_known: bool,
    /// Sentences in chronological order, followed by those on the shared state.
    pub sentences: Vec<String>,
}

/// Explains the subject that a path below `/explain/` names: `request/{key}`, `budget/{customer}` or `rollout/{id}`.
///
/// Returns `None` if the path is malformed.
pub fn explain_path(
    path: &str,
    state: &FleetState,
    history: &DecisionHistory,
) -> Option<Explanation> {
    let (kind, subject) = path.trim_start_matches('/').split_once('/')?;
    match kind {
        "request" => {
            let key = RequestKey::try_from(subject.to_owned()).ok()?;
            Some(explain_request(key, state, history))
        }
        "budget" => Some(explain_budget(subject, state, history)),
        "rollout" => Some(explain_rollout(subject, state, history)),
        _ => None,
    }
}

/// Explains one request.
pub fn explain_request(
    key: RequestKey,
    state: &FleetState,
    history: &DecisionHistory,
) -> Explanation {
    let mut sentences = history.sentences(&Subject::Request(key));
    sentences.extend(sentences::claim(key, state));
    sentences.extend(sentences::bill(key, state));
    explanation(&key.to_string(), sentences)
}

/// Explains a customer's budget.
pub fn explain_budget(
    customer: &str,
    state: &FleetState,
    history: &DecisionHistory,
) -> Explanation {
    let mut sentences = history.sentences(&Subject::Customer(customer.into()));
    sentences.extend(sentences::budget(customer, state));
    explanation(customer, sentences)
}

/// Explains a version rollout.
pub fn explain_rollout(id: &str, state: &FleetState, history: &DecisionHistory) -> Explanation {
    let mut sentences = history.sentences(&Subject::Rollout(id.into()));
    sentences.extend(sentences::rollout(id, state));
    explanation(id, sentences)
}

fn explanation(subject: &str, sentences: Vec<String>) -> Explanation {
    Explanation {
        subject: subject.into(),
        is_known: !sentences.is_empty(),
        sentences,
    }
}

/// Runs the `explain` command.
pub fn run(arguments: &ArgMatches) -> CommandOutput {
    let Some((kind, arguments)) = arguments.subcommand() else {
        return CommandOutput::failure(
            ExitCode::InvalidInput,
            vec!["expected one of request, budget, rollout".into()],
        );
    };
    let subject = cli::string_argument(arguments, "subject");
    let path = format!("/explain/{kind}/{subject}");
    let explanation: Explanation = match cli::fetch_admin_json(arguments, "read explanation", &path)
    {
        Ok(explanation) => explanation,
        Err(failure) => return failure,
    };
    let stdout = match cli::output_format(arguments) {
        OutputFormat::Json => serde_json::to_string(&explanation).unwrap_or_default(),
        OutputFormat::Text => explanation.sentences.join("\n"),
    };
    if explanation.is_known {
        return CommandOutput::success(stdout);
    }
    CommandOutput {
        code: ExitCode::Failure,
        stdout,
        errors: vec![format!(
            "{kind} {subject}: this router has no information about it"
        )],
    }
}
