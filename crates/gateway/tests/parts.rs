//! Tests for the prefix index, event splitting, health and followers.

use std::time::Duration;

use almondbank_gateway::call::Block;
use almondbank_gateway::follower;
use almondbank_gateway::health::Health;
use almondbank_gateway::prefix::Index;
use almondbank_gateway::sse::Splitter;
use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};

const CASES: u64 = 500;
const SIZE: usize = 100;
const SEED: u64 = 20_261_204;

fn block(hash: u64) -> Block {
    Block { hash, tokens: 100 }
}

#[test]
fn only_leading_parts_count_as_cached() {
    let prefixes = Index::default();
    prefixes.record("r", &[block(1), block(2), block(3)], Duration::ZERO);
    assert_eq!(
        prefixes.cached_tokens("r", &[block(1), block(2), block(9)]),
        200
    );
    assert_eq!(
        prefixes.cached_tokens("r", &[block(9), block(2), block(3)]),
        0
    );
    assert_eq!(prefixes.cached_tokens("other", &[block(1)]), 0);
}

// Guards against a full index that forgets everything: all blocks of one prompt have the
// same age.
#[test]
fn a_full_index_keeps_the_first_blocks_of_a_prompt() {
    let prefixes = Index::default();
    let blocks: Vec<_> = (0..1_100).map(block).collect();
    prefixes.record("r", &blocks, Duration::from_secs(1));
    let kept = (0..1_100).filter(|hash| prefixes.cached_tokens("r", &[block(*hash)]) > 0);
    assert!(kept.eq(0..1_024));
}

#[test]
fn shared_parts_are_reported_to_peers_once() {
    let prefixes = Index::default();
    prefixes.record("r", &[block(1), block(2)], Duration::ZERO);
    prefixes.record("r", &[block(1), block(3)], Duration::ZERO);
    let unreported = prefixes.take_new();
    assert_eq!(
        unreported
            .iter()
            .map(|block| block.chain)
            .collect::<Vec<_>>(),
        [1]
    );
    assert!(prefixes.take_new().is_empty());
}

// Complete events are returned in order, whatever the chunk boundaries.
fn splits_at_event_boundaries(count: u8, cuts: Vec<u8>) -> bool {
    let count = u64::from(count % 20);
    let events: Vec<_> = (1..=count)
        .map(|event| format!("id: {event}\ndata: {event}\n\n"))
        .collect();
    let text = events.concat();
    let mut rest = Bytes::from(text.clone() + "id: 99\nda");
    let mut splitter = Splitter::default();
    let mut out = Vec::new();
    for cut in cuts {
        let piece = rest.split_to(usize::from(cut).min(rest.len()));
        out.extend_from_slice(&splitter.push(&piece).unwrap());
    }
    out.extend_from_slice(&splitter.push(&rest).unwrap());
    let last = Some(count).filter(|count| *count > 0);
    out == text.as_bytes() && splitter.last_id() == last && splitter.take_rest() == "id: 99\nda"
}

#[test]
fn events_are_split_at_their_boundaries() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(CASES)
        .quickcheck(splits_at_event_boundaries as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn a_runner_is_ejected_after_two_consecutive_failures() {
    let health = Health::default();
    let now = Duration::from_secs(1);
    health.record_failure("r", now);
    assert!(!health.is_ejected("r", now));
    health.record_failure("r", now);
    assert!(health.is_ejected("r", now));
    assert!(!health.is_ejected("r", now + Duration::from_secs(5)));
    health.record_success("r");
    assert!(!health.is_ejected("r", now));
    assert!(health.failure_rate("r") > 0.0);
}

#[test]
fn the_first_three_and_the_leader_follow() {
    let follows = |own: &str, is_leader: bool, is_hierarchical: bool, others: &[&str]| {
        let others: Vec<_> = others.iter().map(|name| (*name).to_owned()).collect();
        follower::is_follower(own, is_leader, is_hierarchical, others.iter())
    };
    assert!(follows("a", false, false, &["b", "c"]));
    assert!(!follows("d", false, false, &["a", "b", "c"]));
    assert!(follows("d", true, false, &["a", "b", "c"]));
    // If one of the first three cannot read the store, the fourth replaces it.
    assert!(follows("d", false, false, &["b", "c"]));
    // In a hierarchical topology, one follower is enough for each data centre.
    assert!(!follows("c", false, true, &["b"]));
    assert!(follows("a", false, true, &["b"]));
}

#[test]
fn the_first_three_of_a_data_centre_follow_the_environment() {
    let others: Vec<_> = ["a", "b", "c", "d"].map(str::to_owned).into();
    assert!(!follower::follows_environment("e", others.iter()));
    assert!(!follower::follows_environment("d", others.iter()));
    assert!(follower::follows_environment("c", others.iter()));
}
