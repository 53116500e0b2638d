//! Tests for the prefix index: which blocks it expects a runner to have cached.

use std::time::Duration;

use almondbank_gateway::call::Block;
use almondbank_gateway::prefix::{Index, Memory, Share};
use almondbank_wire::mesh;

const HOLD: Duration = Duration::from_millis(500);

fn block(hash: u64, tokens: u64) -> Block {
    Block { hash, tokens }
}

fn memory(capacity: u64, in_use: u64) -> Memory {
    Memory {
        capacity,
        in_use,
        hold: HOLD,
    }
}

fn kept(hash: u64) -> mesh::Kept {
    mesh::Kept {
        runner: "r".to_owned(),
        chain: hash,
    }
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Looks a prompt up for which a request takes up no memory beyond what is cached.
fn cached(prefixes: &Index, blocks: &[Block], memory: Memory, now: Duration) -> u64 {
    prefixes.look_up("r", blocks, 0, &memory, now).cached_tokens
}

fn is_cached(prefixes: &Index, hash: u64) -> bool {
    prefixes.cached_tokens("r", &[block(hash, 1)]) > 0
}

// Load: prompts of which each takes up a part of the memory, one of them sent often. Guards
// against the selection of a runner for a prefix that has long been evicted there, and
// against the loss of one that is in use all the time.
#[test]
fn the_least_recently_used_blocks_are_evicted_at_the_capacity() {
    let prefixes = Index::default();
    for (at, hash) in [1, 2, 3, 1, 4].into_iter().enumerate() {
        prefixes.record("r", &[block(hash, 3_000)], seconds(at as u64));
    }
    let first = [block(1, 3_000)];
    let tokens = cached(&prefixes, &first, memory(10_000, 0), seconds(9));
    assert_eq!(tokens, 3_000);
    assert!(!is_cached(&prefixes, 2));
    assert!(is_cached(&prefixes, 3) && is_cached(&prefixes, 4));
}

// Load: runners whose memory is taken up by running requests. Guards against the selection of
// a runner for a prefix that has given way to them, and which does not come back when they end.
#[test]
fn running_requests_reduce_what_is_cached() {
    let prefixes = Index::default();
    prefixes.record("r", &[block(1, 6_000)], seconds(0));
    prefixes.record("r", &[block(2, 6_000)], seconds(1));
    let look_up = |in_use, at| {
        let blocks = [block(1, 6_000)];
        cached(&prefixes, &blocks, memory(20_000, in_use), seconds(at))
    };
    assert_eq!(look_up(8_000, 2), 6_000);
    assert_eq!(look_up(9_000, 3), 0);
    assert_eq!(look_up(0, 4), 0);
    assert!(is_cached(&prefixes, 2));
}

// Load: a prefix that the requests in flight share, on a full runner. Guards against a prefix
// that counts as evicted while it is in use, as its tokens are among those of these requests.
#[test]
fn blocks_that_requests_occupy_are_not_evicted() {
    let prefixes = Index::default();
    prefixes.record("r", &[block(1, 6_000), block(2, 3_000)], seconds(1));
    let full = memory(20_000, 20_000);
    let shared = [block(1, 6_000)];
    let held = cached(&prefixes, &shared, full, seconds(1) + HOLD);
    assert_eq!(held, 6_000);
    let idle = cached(&prefixes, &shared, full, seconds(2) + HOLD);
    assert_eq!(idle, 0);
}

// Guards against a prompt of which the beginning is evicted first, so that the rest of it takes
// up memory and is of no use.
#[test]
fn the_end_of_a_prompt_is_evicted_before_its_beginning() {
    let prefixes = Index::default();
    let prompt = [block(1, 4_000), block(2, 4_000), block(3, 4_000)];
    prefixes.record("r", &prompt, seconds(0));
    let tokens = cached(&prefixes, &prompt, memory(9_000, 0), seconds(1));
    assert_eq!(tokens, 8_000);
}

// Load: several instances that send to the same runners. Guards against blocks whose size is
// wrong for good because a peer reported them first: its messages do not contain the size.
#[test]
fn the_size_of_a_block_from_a_peer_is_learned_from_the_first_request_with_it() {
    let prefixes = Index::default();
    prefixes.merge(vec![kept(1)], seconds(0));
    prefixes.record("r", &[block(2, 6_000)], seconds(1));
    let tokens = |hash| {
        let blocks = [block(hash, 6_000)];
        cached(&prefixes, &blocks, memory(11_000, 0), seconds(2))
    };
    assert_eq!(tokens(2), 6_000);
    assert!(is_cached(&prefixes, 1));
    assert_eq!(tokens(1), 0);
    assert!(is_cached(&prefixes, 2));
}

// Guards against the selection of a runner for what it had cached before it restarted.
#[test]
fn the_cache_of_a_run_ends_with_it() {
    let prefixes = Index::default();
    prefixes.record("r", &[block(1, 6_000)], seconds(0));
    prefixes.retain(|_| Some(10));
    prefixes.retain(|_| Some(10));
    assert!(is_cached(&prefixes, 1));
    prefixes.retain(|_| Some(20));
    assert!(!is_cached(&prefixes, 1));
    prefixes.record("r", &[block(1, 6_000)], seconds(1));
    prefixes.retain(|_| None);
    assert!(!is_cached(&prefixes, 1));
}

// Load: a service whose engine has no known capacity. Guards against evictions there.
#[test]
fn nothing_is_evicted_without_a_known_capacity() {
    let prefixes = Index::default();
    prefixes.record("r", &[block(1, 6_000)], seconds(0));
    let tokens = cached(
        &prefixes,
        &[block(1, 6_000)],
        memory(0, 90_000),
        seconds(60),
    );
    assert_eq!(tokens, 6_000);
}

// Load: memory full of cached prefixes, one of which is used every second, one that was used
// twice long ago and the rest of prompts that have ended. Guards against evictions that cost
// others more prefill than a choice of another runner, and against a cost for parts that are
// never used again.
#[test]
fn blocks_that_are_used_again_count_as_a_loss() {
    let prefixes = Index::default();
    for at in [0, 10] {
        prefixes.record("r", &[block(1, 4_000)], seconds(at));
    }
    prefixes.record("r", &[block(2, 4_000)], seconds(11));
    for at in 12..50 {
        prefixes.record("r", &[block(3, 4_000)], seconds(at));
    }
    let look_up = |tokens| {
        let blocks = [block(9, 4_000)];
        prefixes.look_up("r", &blocks, tokens, &memory(14_000, 0), seconds(50))
    };
    let loss = |expected_loss| Share {
        cached_tokens: 0,
        expected_loss,
    };
    assert_eq!(look_up(2_000), loss(0));
    // A quarter of the first block: used at an interval of 10 s, and idle for 40 s.
    assert_eq!(look_up(4_000), loss(1_000));
    assert_eq!(look_up(8_000), loss(1_000));
    assert_eq!(look_up(12_000), loss(5_000));
}
