//! Schemas: static descriptions of documents, against which a value is checked.

use std::net::SocketAddr;

use serde_json::{Map, Value};

use super::ProblemCollector;

/// Longest name of a customer, model, service, upstream, VM or data centre, in bytes.
const NAME_BYTES_MAX: usize = 64;

/// Number of hexadecimal digits of a SHA-256 hash.
const HEX_DIGITS: usize = 64;

/// Suffixes with which a field name gives its unit.
const UNIT_SUFFIXES: [&str; 4] = ["_ms", "_bytes", "_tokens", "_ppm"];

/// Type of a field: the values that it may have.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FieldType {
    /// A short name.
    Name,
    /// Name of a version, which may also contain `/` and `:`.
    VersionName,
    /// An address to connect to.
    Address,
    /// An address to listen on; port 0 lets the kernel choose.
    ListenAddress,
    /// A SHA-256 hash. Messages never contain a wrong value, because it may be the key itself.
    Sha256,
    /// A whole number within bounds.
    Integer {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
        /// Unit as it appears in messages.
        unit: &'static str,
    },
    /// A number within bounds, with or without a fraction.
    Number {
        /// Smallest value.
        min: f64,
        /// Largest value.
        max: f64,
    },
    /// `true` or `false`.
    Boolean,
    /// One of a fixed set of strings.
    OneOf(&'static [&'static str]),
    /// An object.
    Object(&'static Schema),
    /// A list of objects, with its smallest number of items.
    ObjectList(&'static Schema, usize),
    /// A list of plain values.
    ValueList(&'static FieldType),
}

/// One field of a document.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    name: &'static str,
    kind: FieldType,
    is_required: bool,
}

/// Fields of an object.
#[derive(Debug)]
pub(crate) struct Schema(pub(crate) &'static [Field]);

/// Creates a required field.
pub(crate) const fn field(name: &'static str, kind: FieldType) -> Field {
    Field {
        name,
        kind,
        is_required: true,
    }
}

/// Creates the type of a list of objects with at least `min` items.
pub(crate) const fn object_list(schema: &'static Schema, min: usize) -> FieldType {
    FieldType::ObjectList(schema, min)
}

/// Creates the type of a list of plain values.
pub(crate) const fn value_list(field_type: &'static FieldType) -> FieldType {
    FieldType::ValueList(field_type)
}

impl Field {
    /// Makes the field optional.
    pub(crate) const fn optional(self) -> Self {
        Self {
            is_required: false,
            ..self
        }
    }
}

impl Schema {
    /// Adds the problems of the value at a path; the path is empty for the document itself.
    pub(crate) fn check(&self, path: &str, value: &Value, problems: &mut ProblemCollector) {
        let Some(object) = value.as_object() else {
            let name = if path.is_empty() { "document" } else { path };
            problems.add(name, value, format!("an object with {}", self.names()));
            return;
        };
        for field in self.0 {
            let name = join_path(path, field.name);
            match object.get(field.name) {
                Some(value) => field.kind.check(&name, value, problems),
                None if field.is_required => problems.add_described(name, "", field.kind.allowed()),
                None => {}
            }
        }
        self.check_unknown(path, object, problems);
    }

    fn check_unknown(
        &self,
        path: &str,
        object: &Map<String, Value>,
        problems: &mut ProblemCollector,
    ) {
        for (key, value) in object {
            if self.0.iter().any(|field| field.name == key) {
                continue;
            }
            let with_unit = UNIT_SUFFIXES
                .iter()
                .map(|suffix| format!("{}{suffix}", strip_unit(key)))
                .find(|name| self.0.iter().any(|field| field.name == name));
            let allowed = match with_unit {
                Some(name) => format!("the key {name}, which names its unit"),
                None => format!("only the keys {}", self.names()),
            };
            problems.add(join_path(path, key), value, allowed);
        }
    }

    fn names(&self) -> String {
        let names: Vec<_> = self.0.iter().map(|field| field.name).collect();
        names.join(", ")
    }
}

impl FieldType {
    /// Describes the allowed values for a message.
    pub(crate) fn allowed(&self) -> String {
        match self {
            Self::Name => format!("1 to {NAME_BYTES_MAX} letters, digits, '.', '_' or '-'"),
            Self::VersionName => {
                format!("1 to {NAME_BYTES_MAX} letters, digits, '.', '_', '-', '/' or ':'")
            }
            Self::Address => "an address ip:port with a port from 1 to 65535".into(),
            Self::ListenAddress => "an address ip:port with a port from 0 to 65535".into(),
            Self::Sha256 => format!("a SHA-256 hash as {HEX_DIGITS} lower-case hexadecimal digits"),
            Self::Integer { min, max, unit } => {
                format!("a whole number of {unit} from {min} to {max}, without quotes or unit")
            }
            Self::Number { min, max } => format!("a number from {min} to {max}, without quotes"),
            Self::Boolean => "true or false".into(),
            Self::OneOf(choices) => format!("one of {}", choices.join(", ")),
            Self::Object(schema) => format!("an object with {}", schema.names()),
            Self::ObjectList(schema, min) => {
                format!("a list of at least {min} objects with {}", schema.names())
            }
            Self::ValueList(field_type) => format!("a list, each item {}", field_type.allowed()),
        }
    }

    fn check(&self, path: &str, value: &Value, problems: &mut ProblemCollector) {
        match self {
            Self::Object(schema) => schema.check(path, value, problems),
            Self::ObjectList(schema, min) => match value.as_array() {
                Some(items) if items.len() >= *min => {
                    for (index, item) in items.iter().enumerate() {
                        schema.check(&format!("{path}[{index}]"), item, problems);
                    }
                }
                _ => problems.add(path, value, self.allowed()),
            },
            Self::ValueList(field_type) => match value.as_array() {
                Some(items) => {
                    for (index, item) in items.iter().enumerate() {
                        field_type.check(&format!("{path}[{index}]"), item, problems);
                    }
                }
                None => problems.add(path, value, self.allowed()),
            },
            Self::Sha256 if !self.accepts(value) => {
                let shown = match value.as_str() {
                    Some(text) => format!("a text of {} characters", text.chars().count()),
                    None => "a value that is no text".into(),
                };
                problems.add_described(path, shown, self.allowed());
            }
            _ if !self.accepts(value) => problems.add(path, value, self.allowed()),
            _ => {}
        }
    }

    fn accepts(&self, value: &Value) -> bool {
        match self {
            Self::Name => value.as_str().is_some_and(|text| is_name(text, "._-")),
            Self::VersionName => value.as_str().is_some_and(|text| is_name(text, "._-/:")),
            Self::Address => parse_address(value).is_some_and(|address| address.port() != 0),
            Self::ListenAddress => parse_address(value).is_some(),
            Self::Sha256 => value.as_str().is_some_and(is_sha256),
            Self::Integer { min, max, .. } => value
                .as_u64()
                .is_some_and(|number| (*min..=*max).contains(&number)),
            Self::Number { min, max } => value
                .as_f64()
                .is_some_and(|number| (*min..=*max).contains(&number)),
            Self::Boolean => value.is_boolean(),
            Self::OneOf(choices) => value.as_str().is_some_and(|text| choices.contains(&text)),
            Self::Object(_) => value.is_object(),
            Self::ObjectList(..) | Self::ValueList(_) => value.is_array(),
        }
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

/// Removes the unit from a key, so that `timeout_s` is recognised as `timeout_ms` with another unit.
fn strip_unit(key: &str) -> &str {
    ["_s", "_sec", "_seconds", "_kb", "_mb", "_mib", "_percent"]
        .iter()
        .chain(&UNIT_SUFFIXES)
        .find_map(|suffix| key.strip_suffix(suffix))
        .unwrap_or(key)
}

fn parse_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

fn is_name(text: &str, punctuation: &str) -> bool {
    (1..=NAME_BYTES_MAX).contains(&text.len())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || punctuation.contains(c))
}

fn is_sha256(text: &str) -> bool {
    text.len() == HEX_DIGITS
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}
