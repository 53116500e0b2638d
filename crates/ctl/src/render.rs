//! Answers as text for people.

use std::fmt::Write;

use almondbank_wire::{operator, row};
use serde::Serialize;

/// One field in which two documents differ.
#[derive(Debug, Serialize)]
pub struct Change {
    /// Path of the field.
    pub path: String,
    /// Value before.
    pub old: Option<String>,
    /// Value after.
    pub new: Option<String>,
}

/// Renders a comparison.
pub fn changes(changes: &[Change]) -> String {
    let mut text = String::new();
    for change in changes {
        if let Some(old) = &change.old {
            let _ = writeln!(text, "- {}: {old}", change.path);
        }
        if let Some(new) = &change.new {
            let _ = writeln!(text, "+ {}: {new}", change.path);
        }
    }
    if text.is_empty() {
        text.push_str("no differences");
    }
    text.trim_end().to_owned()
}

/// Renders the audit trail.
pub fn history(entries: &[row::Audit]) -> String {
    let mut text = String::new();
    for entry in entries {
        let from = entry.from.map_or_else(|| "-".to_owned(), |n| n.to_string());
        let to = entry.to.map_or_else(|| "-".to_owned(), |n| n.to_string());
        let _ = writeln!(
            text,
            "{} {} {} {} {from} -> {to}",
            entry.at_unix_ms, entry.actor, entry.action, entry.target,
        );
    }
    text.trim_end().to_owned()
}

/// Renders an instance's view.
pub fn status(status: &operator::Status) -> String {
    let leader = if status.fencing > 0 {
        format!(", keeper with fencing number {}", status.fencing)
    } else {
        String::new()
    };
    let mut text = format!(
        "{} serves {} at revision {}{leader}; {} waiting, {} running{}\n",
        status.instance,
        status.environment,
        status.revision,
        status.waiting,
        status.running,
        if status.leaving { ", leaving" } else { "" },
    );
    for peer in &status.peers {
        let _ = writeln!(
            text,
            "  {} {} {} revision {}{}{}{}",
            peer.instance,
            peer.callers,
            peer.data_centre,
            peer.revision,
            if peer.live { "" } else { ", down" },
            if peer.leaving { ", leaving" } else { "" },
            if peer.keeper { ", keeper" } else { "" },
        );
    }
    text.trim_end().to_owned()
}

/// Renders the replicas.
pub fn places(places: &[operator::Place]) -> String {
    let mut text = String::new();
    for place in places {
        let _ = writeln!(
            text,
            "{}@{} on {} ({}){}",
            place.model,
            place.version,
            place.runner,
            if place.ready { "ready" } else { "not ready" },
            if place.adapters.is_empty() {
                String::new()
            } else {
                format!(" with {}", place.adapters.join(", "))
            },
        );
    }
    if text.is_empty() {
        text.push_str("no replicas");
    }
    text.trim_end().to_owned()
}
