//! Validation of operators' files and of published documents.
//!
//! A document is first parsed into an untyped value and checked against a `Schema`, a static description of its fields.
//! Serde stops at the first error in a document, which would make an operator correct one field at a time; the check
//! collects every [`Problem`]. The rules depend on nothing but their input, because they are applied to published
//! documents when the log is folded and must give the same result in every process.

mod schema;

use std::fmt;

use quick_error::quick_error;
use serde::de::DeserializeOwned;
use serde_json::Value;

pub(crate) use schema::{field, object_list, value_list, Field, FieldType, Schema};

/// Number of characters after which a rejected value is truncated in a message.
const MAX_VALUE_CHARS: usize = 60;

/// A field whose value is not allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the field within the document, such as `limits.body_bytes`.
    pub field: String,
    /// Value found, truncated; empty if the field is missing.
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

/// All problems of one document, in the order of its schema.
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
    /// A document was rejected.
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
    /// Returns one message for each problem; each message starts with the name of the file.
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
    /// Adds a field whose value is not allowed.
    pub(crate) fn add(
        &mut self,
        field: impl Into<String>,
        value: &Value,
        allowed: impl Into<String>,
    ) {
        self.add_described(field, truncate_value(value), allowed);
    }

    /// Adds a field with a description in place of its value, for values that must not appear in a message.
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

    /// Adds each string that occurs more than once; `strings` are pairs of a field path and a string.
    pub(crate) fn add_duplicates<'a>(
        &mut self,
        strings: impl IntoIterator<Item = (String, &'a str)>,
        allowed: &str,
    ) {
        let mut seen = std::collections::BTreeMap::new();
        for (field, text) in strings {
            if let Some(first) = seen.get(text) {
                let shown = truncate_value(&Value::from(text));
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

/// A document with a schema, and with rules that relate several fields.
pub(crate) trait Document: DeserializeOwned {
    /// Schema of the document.
    const SCHEMA: &'static Schema;

    /// Adds the problems that concern more than one field.
    ///
    /// The value may violate the schema, so any field may be missing or of another type.
    fn check_relations(value: &Value, problems: &mut ProblemCollector);
}

/// Reports all problems of a value.
pub(crate) fn check<D: Document>(value: &Value) -> Result<(), Error> {
    let mut problems = ProblemCollector::default();
    D::SCHEMA.check("", value, &mut problems);
    D::check_relations(value, &mut problems);
    problems.into_result()
}

/// Checks a value and converts it into the typed document.
pub(crate) fn from_value<D: Document>(value: Value) -> Result<D, Error> {
    check::<D>(&value)?;
    serde_json::from_value(value).map_err(|error| Error::Syntax(error.to_string()))
}

/// Parses and checks a YAML document.
pub(crate) fn from_yaml<D: Document>(text: &str) -> Result<D, Error> {
    let value = serde_saphyr::from_str(text).map_err(|error| Error::Syntax(first_line(&error)))?;
    from_value(value)
}

/// Returns the string field `key` of each object in a list, with its path.
pub(crate) fn string_fields<'a>(value: &'a Value, list: &str, key: &str) -> Vec<(String, &'a str)> {
    list_items(value, list)
        .iter()
        .enumerate()
        .filter_map(|(index, item)| {
            let text = item.get(key)?.as_str()?;
            Some((format!("{list}[{index}].{key}"), text))
        })
        .collect()
}

/// Returns the items of a list, or none if there is no such list.
pub(crate) fn list_items<'a>(value: &'a Value, list: &str) -> &'a [Value] {
    value
        .get(list)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}

/// Returns the first line of a parser's message, which has the position; the other lines repeat the source.
fn first_line(error: &dyn fmt::Display) -> String {
    let text = error.to_string();
    let line = text.lines().next().unwrap_or_default();
    line.strip_prefix("error: ").unwrap_or(line).to_owned()
}

fn truncate_value(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_VALUE_CHARS {
        return text;
    }
    let head: String = text.chars().take(MAX_VALUE_CHARS).collect();
    format!("{head}...")
}
