//! Validation of operators' files and of published bodies.
//!
//! A document is first read as a plain value and compared with a `Schema`, a static description of its fields. Serde
//! stops at the first error of a document, which would make an operator correct one field at a time; the comparison
//! collects every [`Problem`]. The rules read nothing but their input, because the fold of the log applies them to
//! published bodies and must give the same result in every process.

mod schema;

use std::fmt;

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde_json::Value;

pub(crate) use schema::{field, object_list, value_list, Field, FieldType, Schema};

/// Longest part of a rejected value that a message repeats, in characters.
const SHOWN_VALUE_CHARS: usize = 60;

/// One field that has a value that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field within the document, such as `limits.body_bytes`.
    pub field: String,
    /// Value found, shortened; empty if the field is missing.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.value.is_empty() {
            write!(f, "{}: missing; expected {}", self.field, self.allowed)
        } else {
            write!(
                f,
                "{}: {} is not allowed; expected {}",
                self.field, self.value, self.allowed
            )
        }
    }
}

/// All problems of one document, in the order of its shape.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("; ")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

quick_error! {
    /// Why a document is not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The document could not be read.
        Read(message: String) {
            display("cannot be read: {}", message)
        }
        /// The document is not well-formed.
        Syntax(message: String) {
            display("not well-formed: {}", message)
        }
        /// Fields have values that are not allowed.
        InvalidFields(problems: Problems) {
            display("{}", problems)
        }
    }
}

impl Error {
    /// Returns one message for each problem, each of which starts with the name of the file.
    pub fn messages(&self, file: &str) -> Vec<String> {
        match self {
            Self::InvalidFields(problems) => problems
                .0
                .iter()
                .map(|problem| format!("{file}: {problem}"))
                .collect(),
            other => vec![format!("{file}: {other}")],
        }
    }
}

/// Collects the problems of one document.
#[derive(Debug, Default)]
pub(crate) struct ProblemCollector {
    problems: Vec<Problem>,
}

impl ProblemCollector {
    /// Adds a field with a value that is not allowed.
    pub(crate) fn add(
        &mut self,
        field: impl Into<String>,
        value: &Value,
        allowed: impl Into<String>,
    ) {
        self.add_described(field, shown(value), allowed);
    }

    /// Adds a field whose value is described in words, for values that must not be repeated in a message.
    pub(crate) fn add_described(
        &mut self,
        field: impl Into<String>,
        value: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        self.problems.push(Problem {
            field: field.into(),
            value: value.into(),
            allowed: allowed.into(),
        });
    }

    /// Adds each text that occurs a second time; `texts` are pairs of field path and text.
    pub(crate) fn add_duplicates<'a>(
        &mut self,
        texts: impl IntoIterator<Item = (String, &'a str)>,
        allowed: &str,
    ) {
        let mut seen = std::collections::BTreeMap::new();
        for (field, text) in texts {
            if let Some(first) = seen.get(text) {
                let shown = shown(&Value::from(text));
                self.add_described(field, shown, format!("{allowed}; {first} has the same"));
            } else {
                seen.insert(text, field);
            }
        }
    }

    pub(crate) fn into_result(self) -> Result<(), Error> {
        if self.problems.is_empty() {
            Ok(())
        } else {
            Err(Error::InvalidFields(Problems(self.problems)))
        }
    }
}

/// A document with a shape and with relations between its fields.
pub(crate) trait Document: DeserializeOwned {
    /// Fields of the document.
    const SCHEMA: &'static Schema;

    /// Adds the problems that concern more than one field. The value may have other problems, so every field is optional.
    fn check_relations(value: &Value, problems: &mut ProblemCollector);
}

/// Reports all problems of a value.
pub(crate) fn check<D: Document>(value: &Value) -> Result<(), Error> {
    let mut problems = ProblemCollector::default();
    D::SCHEMA.check("", value, &mut problems);
    D::check_relations(value, &mut problems);
    problems.into_result()
}

/// Checks a value and makes the typed document from it.
pub(crate) fn from_value<D: Document>(value: Value) -> Result<D, Error> {
    check::<D>(&value)?;
    serde_json::from_value(value).map_err(|error| Error::Syntax(error.to_string()))
}

/// Parses and checks a YAML document.
pub(crate) fn from_yaml<D: Document>(text: &str) -> Result<D, Error> {
    let value = serde_saphyr::from_str(text).map_err(|error| Error::Syntax(one_line(&error)))?;
    from_value(value)
}

/// Returns the texts of one key over the objects of a list, with their paths.
pub(crate) fn texts<'a>(value: &'a Value, list: &str, key: &str) -> Vec<(String, &'a str)> {
    items(value, list)
        .iter()
        .enumerate()
        .filter_map(|(index, item)| {
            let text = item.get(key)?.as_str()?;
            Some((format!("{list}[{index}].{key}"), text))
        })
        .collect()
}

/// Returns the items of a list; none if there is no such list.
pub(crate) fn items<'a>(value: &'a Value, list: &str) -> &'a [Value] {
    value
        .get(list)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}

/// Returns the first line of a parser's message, which carries the position; the rest repeats the source.
fn one_line(error: &dyn fmt::Display) -> String {
    let text = error.to_string();
    let line = text.lines().next().unwrap_or_default();
    line.strip_prefix("error: ").unwrap_or(line).to_owned()
}

fn shown(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= SHOWN_VALUE_CHARS {
        return text;
    }
    let head: String = text.chars().take(SHOWN_VALUE_CHARS).collect();
    format!("{head}...")
}
