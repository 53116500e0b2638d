//! Parses YAML, validates it against a JSON Schema and reports all errors at once.

use std::collections::BTreeSet;
use std::fmt::Write;

use jsonschema::Validator;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Code;
use crate::{Result, finding};

/// Maximum number of YAML nodes. A document of 27,000 adapters with one grant
/// each has 400,000.
const MAX_NODES: usize = 2_000_000;
/// Maximum number of parser events; a node has at most two.
const MAX_EVENTS: usize = 2 * MAX_NODES;

/// Parses `text` as YAML, validates it against `schema` and deserializes it.
///
/// # Errors
///
/// Fails if the text is not YAML, or with all violations of the schema.
pub(crate) fn parse<T: DeserializeOwned>(text: &str, schema: &str) -> Result<T> {
    check(read(text)?, schema)
}

/// Like [`parse`], for text that was rendered from a template: a value that is empty counts as
/// absent, and a whole number may be written as a decimal fraction.
///
/// # Errors
///
/// Fails if the text is not YAML, or with all violations of the schema.
pub(crate) fn parse_rendered<T: DeserializeOwned>(text: &str, schema: &str) -> Result<T> {
    let mut value = read_rendered(text)?;
    if let Value::Object(fields) = &mut value {
        fields.retain(|_, field| !field.is_null());
        fields.values_mut().for_each(make_whole);
    }
    check(value, schema)
}

/// Reads text whose values were rendered as JSON. Of what JSON leaves as it is in a text, YAML does
/// not accept all, and takes some for line breaks.
pub(crate) fn read_rendered(text: &str) -> Result<Value> {
    let mut escaped = String::with_capacity(text.len());
    for character in text.trim_start_matches('\u{feff}').chars() {
        match character {
            '\u{7f}'..='\u{9f}'
            | '\u{2028}'
            | '\u{2029}'
            | '\u{feff}'
            | '\u{fffe}'
            | '\u{ffff}' => {
                let _ = write!(escaped, "\\u{:04x}", u32::from(character));
            }
            _ => escaped.push(character),
        }
    }
    read(&escaped)
}

fn read(text: &str) -> Result<Value> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_nodes: MAX_NODES,
            max_events: MAX_EVENTS,
        },
    };
    let value = serde_saphyr::from_str_with_options(text, options)
        .map_err(|error| Code::Yaml(error.to_string()))?;
    Ok(value)
}

pub(crate) fn check<T: DeserializeOwned>(value: Value, schema: &str) -> Result<T> {
    let findings = validate(&value, schema)?;
    if !findings.is_empty() {
        return Err(Code::Findings(findings).into());
    }
    let typed = serde_json::from_value(value).map_err(Code::Json)?;
    Ok(typed)
}

// Turns a number such as 260.0 into the integer.
pub(crate) fn make_whole(value: &mut Value) {
    let number = value.as_f64().filter(|number| number.fract() == 0.0);
    let whole = number.and_then(|number| format!("{number:.0}").parse::<u64>().ok());
    if let (Some(whole), true) = (whole, value.is_f64()) {
        *value = Value::from(whole);
    }
}

/// Serializes `value` as YAML.
pub(crate) fn write(value: &impl Serialize) -> Result<String> {
    let text = serde_saphyr::to_string(value).map_err(|error| Code::Yaml(error.to_string()))?;
    Ok(text)
}

fn validate(value: &Value, schema: &str) -> Result<Vec<finding::Finding>> {
    let schema: Value = serde_json::from_str(schema).map_err(Code::Json)?;
    let validator = Validator::new(&schema).map_err(|error| Code::Yaml(error.to_string()))?;
    let findings: BTreeSet<_> = validator
        .iter_errors(value)
        .map(|error| finding::Finding::new(error.instance_path().to_string(), error.to_string()))
        .collect();
    Ok(findings.into_iter().collect())
}
