//! Explanations of single decisions for operators.
//!
//! An explanation joins two sources: the shared state, which says what the fleet agreed on and at which offset, and the
//! [`Journal`] of one process, which says what that process decided and when. The journal is bounded, so that the
//! oldest decisions are forgotten first; the shared state stays.

mod journal;
mod sentences;

use clap::ArgMatches;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::cli::{self, ExitCode, Output, Report};
use crate::fleet_state::FleetState;
use crate::ids::RequestKey;

pub use journal::{Journal, Note, Subject, JOURNAL_NOTES};

/// What was decided about one subject, in plain sentences.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Subject as the operator named it.
    pub subject: CompactString,
    /// Whether anything is known about the subject.
    pub is_known: bool,
    /// Sentences in the order of time, the shared state last.
    pub sentences: Vec<String>,
}

/// Explains the subject of a path below `/explain/`: `request/{key}`, `budget/{customer}` or `rollout/{id}`.
///
/// Returns `None` if the path has another form.
pub fn answer(path: &str, state: &FleetState, journal: &Journal) -> Option<Explanation> {
    let (kind, subject) = path.trim_start_matches('/').split_once('/')?;
    match kind {
        "request" => {
            let key = RequestKey::try_from(subject.to_owned()).ok()?;
            Some(request(key, state, journal))
        }
        "budget" => Some(budget(subject, state, journal)),
        "rollout" => Some(rollout(subject, state, journal)),
        _ => None,
    }
}

/// Explains one request.
pub fn request(key: RequestKey, state: &FleetState, journal: &Journal) -> Explanation {
    let mut sentences = journal.sentences(&Subject::Request(key));
    sentences.extend(sentences::claim(key, state));
    sentences.extend(sentences::bill(key, state));
    explanation(&key.to_string(), sentences)
}

/// Explains a customer's budget.
pub fn budget(customer: &str, state: &FleetState, journal: &Journal) -> Explanation {
    let mut sentences = journal.sentences(&Subject::Customer(customer.into()));
    sentences.extend(sentences::budget(customer, state));
    explanation(customer, sentences)
}

/// Explains a version rollout.
pub fn rollout(id: &str, state: &FleetState, journal: &Journal) -> Explanation {
    let mut sentences = journal.sentences(&Subject::Rollout(id.into()));
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

/// Runs the command.
pub fn run(arguments: &ArgMatches) -> Report {
    let Some((kind, arguments)) = arguments.subcommand() else {
        return Report::error(
            ExitCode::InvalidInput,
            vec!["expected what to explain".into()],
        );
    };
    let subject = cli::text(arguments, "subject");
    let path = format!("/explain/{kind}/{subject}");
    let explanation: Explanation = match cli::read_admin(arguments, "read explanation", &path) {
        Ok(explanation) => explanation,
        Err(report) => return report,
    };
    let output = match cli::output(arguments) {
        Output::Json => serde_json::to_string(&explanation).unwrap_or_default(),
        Output::Text => explanation.sentences.join("\n"),
    };
    if explanation.is_known {
        return Report::done(output);
    }
    Report {
        code: ExitCode::Failed,
        output,
        errors: vec![format!(
            "{kind} {subject}: this router knows nothing about it"
        )],
    }
}
