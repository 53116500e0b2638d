//! Replays recorded traces against the outcomes that stand in them.
//!
//! A trace under `traces/` has one JSON value a line: an event, or what must
//! hold at that point. The runners' own count is checked after every line.

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
    /// Replicas on all runners, by model.
    loaded: BTreeMap<String, usize>,
    /// Loads that all runners have begun.
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
    if let Err(broken) = world.check() {
        panic!("{place}: after {event:?}: {broken}");
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
        let loads: u64 = world.engines.values().map(|e| e.count().loads).sum();
        assert_eq!(loads, expected, "{place}: loads");
    }
}

#[test]
fn every_trace_ends_as_it_says() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces");
    let mut names: Vec<_> = fs::read_dir(folder)
        .expect("there are traces")
        .map(|entry| entry.expect("a file").path())
        .collect();
    names.sort();
    assert!(!names.is_empty());
    for path in names {
        let text = fs::read_to_string(&path).expect("the trace is read");
        replay(&path.display().to_string(), &text);
    }
}
