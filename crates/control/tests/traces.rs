//! Replays the recorded traces and checks the expectations in them.
//!
//! A trace under `traces/` has one JSON value per line: a note, an event, a repeated
//! list of events, or an expectation on the current state. The invariants of
//! [`World::check`] are checked after every event.

mod support;

use std::collections::BTreeMap;
use std::fs;

use serde::Deserialize;
use support::{Event, World};

#[derive(Deserialize)]
#[serde(untagged)]
enum Line {
    Note { note: String },
    Expect { expect: Expectation },
    Repeat { repeat: usize, events: Vec<Event> },
    Event(Event),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Expectation {
    /// Number of replicas on all runners, by model.
    loaded: BTreeMap<String, usize>,
    /// Number of loads that all runners have started.
    loads: Option<u64>,
}

fn replay(name: &str, text: &str) {
    let mut world = World::new();
    for (at, line) in text.lines().enumerate() {
        let place = format!("{name}:{}", at + 1);
        let line = serde_json::from_str(line).unwrap_or_else(|e| panic!("{place}: {e}"));
        match line {
            Line::Note { note } => println!("{place}: {note}"),
            Line::Event(event) => apply(&mut world, &place, &event),
            Line::Repeat { repeat, events } => {
                for event in events.iter().cycle().take(repeat * events.len()) {
                    apply(&mut world, &place, event);
                }
            }
            Line::Expect { expect } => check(&world, &place, &expect),
        }
    }
}

fn apply(world: &mut World, place: &str, event: &Event) {
    world.apply(event);
    if let Err(violation) = world.check() {
        panic!("{place}: after {event:?}: {violation}");
    }
}

fn check(world: &World, place: &str, expect: &Expectation) {
    for (model, expected) in &expect.loaded {
        let loaded: usize = world
            .engines
            .values()
            .map(|engine| engine.loaded(model, "v1"))
            .sum();
        assert_eq!(loaded, *expected, "{place}: replicas of {model}");
    }
    if let Some(expected) = expect.loads {
        let loads: u64 = world.engines.values().map(|e| e.counters().loads).sum();
        assert_eq!(loads, expected, "{place}: loads");
    }
}

#[test]
fn every_trace_meets_its_expectations() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");
    let mut names: Vec<_> = fs::read_dir(folder)
        .expect("the traces folder is readable")
        .map(|entry| entry.expect("the folder entry is readable").path())
        .collect();
    names.sort();
    assert!(!names.is_empty());
    for path in names {
        let text = fs::read_to_string(&path).expect("the trace file is readable");
        replay(&path.display().to_string(), &text);
    }
}
