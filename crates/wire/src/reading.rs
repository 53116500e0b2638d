//! Settings of a gateway as it reads them at its start.
//!
//! A gateway that does not start serves nobody, and the same settings keep it from starting
//! again. So a value without which it can serve, and that is not valid, does not keep it from
//! starting: the closest valid value is used instead, or the default, and the finding is
//! reported.

use std::net::{Ipv4Addr, SocketAddr};

use serde_json::{Map, Value};

use crate::error::Code;
use crate::gateway::{self, SCHEMA, Settings};
use crate::generated::gateway as raw;
use crate::{Finding, Result, yaml};

/// Settings without which a gateway cannot serve. The last of a file shows that it is complete.
const NEEDED: [&str; 5] = [
    "instance",
    "callers_listen",
    "ready_listen",
    "peers_listen",
    "store",
];
/// Limits that are 0 if they are negative, so that a bound is rather kept too well.
const BOUNDS: [&str; 5] = [
    "retry_ratio",
    "retry_extra",
    "quota_overage",
    "quota_slack",
    "reconcile_ms",
];
const SEEDS: &str = "seeds";
const MEMORY: &str = "memory_mb";
/// Descriptors of a process whose limit is not known, the usual limit of a system.
const DEFAULT_FILES: u64 = 1024;

/// Settings to start with, and what of the text is not used as it is.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    /// The settings.
    pub settings: Settings,
    /// Values that are not valid; for each, another one is used.
    pub findings: Vec<Finding>,
}

/// Reads YAML settings for a start. Unknown settings are ignored.
///
/// # Errors
///
/// Fails if the text is not YAML, or with the errors of settings without which a gateway cannot
/// serve.
pub fn read(text: &str) -> Result<Reading> {
    let text = text.trim_start_matches('\u{feff}').trim_end_matches('\0');
    let schema: Value = serde_json::from_str(SCHEMA).map_err(Code::Json)?;
    let Value::Object(mut fields) = yaml::read_rendered(text)? else {
        let reason = "is not a mapping of settings";
        return Err(Code::Findings(vec![Finding::new("", reason)]).into());
    };
    let mut findings = prepare(&mut fields, &schema["properties"]);
    loop {
        let errors = match yaml::check::<raw::Gateway>(Value::Object(fields.clone()), SCHEMA) {
            Err(error) => error.findings().to_vec(),
            Ok(raw) => {
                let is_small = raw.memory_mb > 0;
                let (settings, mut errors) = gateway::checked(raw);
                // A process keeps to less memory than it should have as well as it can.
                let is_used = |error: &Finding| is_small && setting(error) == MEMORY;
                findings.extend(errors.extract_if(.., |error| is_used(error)));
                if errors.is_empty() {
                    return Ok(Reading { settings, findings });
                }
                errors
            }
        };
        if errors.is_empty() || errors.iter().any(is_fatal) {
            return Err(Code::Findings(errors).into());
        }
        replace(&mut fields, &errors);
        findings.extend(errors);
    }
}

// Removes what is not known or empty, and converts values to the types of the settings.
fn prepare(fields: &mut Map<String, Value>, properties: &Value) -> Vec<Finding> {
    let is_unknown = |name: &String| properties.get(name).is_none();
    let unknown = fields.keys().filter(|name| is_unknown(name));
    let mut findings: Vec<_> = unknown
        .map(|name| Finding::new(format!("/{name}"), "is not a known setting"))
        .collect();
    fields.retain(|name, _| !is_unknown(name));
    for (name, value) in fields.iter_mut() {
        match properties[name]["type"].as_str() {
            Some("integer" | "number" | "boolean") => convert(value),
            Some("string") if !NEEDED.contains(&name.as_str()) => make_text(value),
            _ => {}
        }
        match (fallback(name), value.is_null()) {
            (Some(fallback), true) => {
                findings.push(Finding::new(format!("/{name}"), "is empty"));
                *value = fallback;
            }
            _ => yaml::make_whole(value),
        }
        if properties[name]["type"] == "integer" {
            truncate(value);
        }
    }
    fields.retain(|_, value| !value.is_null());
    findings
}

// Reads a number or a truth value that is written as text.
fn convert(value: &mut Value) {
    if let Some(text) = value.as_str() {
        let text = text.trim().to_ascii_lowercase();
        if let Ok(parsed) = serde_json::from_str::<Value>(&text)
            && !parsed.is_string()
        {
            *value = parsed;
        } else if text.is_empty() {
            *value = Value::Null;
        }
    }
}

fn make_text(value: &mut Value) {
    if value.is_number() || value.is_boolean() {
        *value = Value::from(value.to_string());
    }
}

// Turns a number that is not whole, or beyond the range of whole ones, into the next whole one.
fn truncate(value: &mut Value) {
    let number = value.as_f64().filter(|number| *number >= 0.0);
    if let (Some(number), true) = (number, value.is_f64()) {
        let whole = format!("{:.0}", number.floor());
        *value = Value::from(whole.parse::<u64>().unwrap_or(u64::MAX));
    }
}

fn replace(fields: &mut Map<String, Value>, errors: &[Finding]) {
    let items = errors.iter().filter_map(seed).collect::<Vec<_>>();
    if let Some(Value::Array(seeds)) = fields.get_mut(SEEDS) {
        let mut at = 0..;
        seeds.retain(|_| at.next().is_none_or(|at| !items.contains(&at)));
    }
    for error in errors.iter().filter(|error| seed(error).is_none()) {
        let name = setting(error);
        let value = fields.remove(name);
        let is_negative = value.is_some_and(|value| value.as_f64().is_some_and(|v| v < 0.0));
        let zero = (is_negative && BOUNDS.contains(&name)).then(|| Value::from(0));
        if let Some(value) = zero.or_else(|| fallback(name)) {
            fields.insert(name.to_owned(), value);
        }
    }
}

// Whether the error is one that no other value can mend.
fn is_fatal(error: &Finding) -> bool {
    let name = setting(error);
    name.is_empty() || NEEDED.contains(&name)
}

// Name of the setting that the finding is about, or nothing if it is about all of them.
fn setting(finding: &Finding) -> &str {
    finding.path.split('/').nth(1).unwrap_or_default()
}

// Number of the seed that the finding is about.
fn seed(finding: &Finding) -> Option<usize> {
    let item = finding.path.strip_prefix("/seeds/")?;
    item.split('/').next()?.parse().ok()
}

// Value of a setting that has no default, as a file without it may not be complete.
fn fallback(name: &str) -> Option<Value> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    match name {
        "max_files" => Some(Value::from(DEFAULT_FILES)),
        "data_centre" => Some(Value::from("")),
        "directory_listen" | "metrics_listen" => Some(Value::from(any_port.to_string())),
        _ => None,
    }
}
