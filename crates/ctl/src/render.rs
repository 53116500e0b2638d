//! Formats the results of commands as text.

use std::fmt::Write;

use almondbank_wire::{operator, row};
use serde::Serialize;

/// A field in which two documents differ.
#[derive(Debug, Serialize)]
pub struct Change {
    /// Path of the field, with list items identified by name.
    pub path: String,
    /// Value in the stored document; `None` if the field was added.
    pub old: Option<String>,
    /// Value in the new document; `None` if the field was removed.
    pub new: Option<String>,
}

/// Formats a comparison of two documents, with a line for each value that differs.
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

/// Formats the audit trail, one entry a line.
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

/// Formats the status of an instance, with a line for each peer.
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

/// Formats a list of replicas, one a line.
pub fn replicas(replicas: &[operator::Place]) -> String {
    let mut text = String::new();
    for replica in replicas {
        let _ = writeln!(
            text,
            "{}@{} on {} ({}){}",
            replica.model,
            replica.version,
            replica.runner,
            if replica.ready { "ready" } else { "not ready" },
            if replica.adapters.is_empty() {
                String::new()
            } else {
                format!(" with {}", replica.adapters.join(", "))
            },
        );
    }
    if text.is_empty() {
        text.push_str("no replicas");
    }
    text.trim_end().to_owned()
}
