//! Damaged settings and messages are errors: a panic in the task that reloads the settings, or an
//! overflow of the stack, would end the process.

use std::thread;

use almondbank_wire::{codec, gateway, mesh};

const VALID: &str = "instance: entry-1\ndata_centre: one\ncallers_listen: 127.0.0.1:1\n\
    ready_listen: 127.0.0.1:2\npeers_listen: 127.0.0.1:3\ndirectory_listen: 127.0.0.1:4\n\
    metrics_listen: 127.0.0.1:5\nstore: 127.0.0.1:6\nmax_files: 100\nseeds: [127.0.0.1:3]\n";
/// Bytes that have a meaning in YAML, and some that have none.
const BYTES: &[u8] = b"\0\t\n\"&*-:[{|!\xff";
/// Stack for messages.
const STACK_BYTES: usize = 256 << 10;
/// Stack for settings, which need several times as much in a build without optimizations.
const SETTINGS_STACK_BYTES: usize = 2 << 20;
const DEPTHS: [usize; 5] = [60, 300, 2_000, 20_000, 200_000];

fn parse(bytes: &[u8]) {
    let _ = gateway::parse(&String::from_utf8_lossy(bytes));
}

fn with_stack(bytes: usize, work: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().stack_size(bytes);
    thread.spawn(work).unwrap().join().unwrap();
}

#[test]
fn settings_that_are_cut_off_at_any_byte_do_not_panic() {
    for end in 0..VALID.len() {
        parse(&VALID.as_bytes()[..end]);
    }
}

#[test]
fn settings_with_any_byte_replaced_do_not_panic() {
    for at in 0..VALID.len() {
        for byte in BYTES {
            let mut bytes = VALID.as_bytes().to_vec();
            bytes[at] = *byte;
            parse(&bytes);
        }
    }
}

#[test]
fn nested_settings_do_not_overflow_the_stack() {
    for depth in DEPTHS {
        let nests = [
            "[".repeat(depth),
            "{a: ".repeat(depth),
            "- ".repeat(depth),
            format!("{}{}", "[".repeat(depth), "]".repeat(depth)),
        ];
        for nest in nests {
            let text = format!("{VALID}extra: {nest}\n");
            with_stack(SETTINGS_STACK_BYTES, move || {
                let _ = gateway::parse(&text);
            });
        }
    }
}

#[test]
fn references_that_multiply_are_refused() {
    let level = |number: usize| {
        let references = vec![format!("*l{}", number - 1); 10].join(", ");
        format!("l{number}: &l{number} [{references}]\n")
    };
    let levels: String = (1..12).map(level).collect();
    let text = format!("{VALID}l0: &l0 [x, x, x, x, x, x, x, x, x, x]\n{levels}");
    assert!(gateway::parse(&text).is_err());
}

#[test]
fn nested_messages_of_peers_do_not_overflow_the_stack() {
    for depth in DEPTHS {
        // Arrays, maps and tags of one element each.
        for head in [&[0x81_u8][..], &[0xa1, 0x61, 0x61], &[0xc1]] {
            let bytes = head.repeat(depth);
            with_stack(STACK_BYTES, move || {
                assert!(codec::decode::<mesh::Message>(&bytes).is_err());
            });
        }
    }
}

#[test]
fn lengths_that_a_peer_names_are_not_allocated() {
    // A text, a byte string, an array and a map of nearly 2^63 elements.
    for kind in [0x7b_u8, 0x5b, 0x9b, 0xbb] {
        let mut bytes = vec![kind];
        bytes.extend((u64::MAX >> 1).to_be_bytes());
        assert!(codec::decode::<mesh::Message>(&bytes).is_err());
        // The same within a message, in place of its fields.
        for name in ["hello", "status", "registry", "environment", "quarantine"] {
            let mut message = vec![0xa1, 0x60 | u8::try_from(name.len()).unwrap()];
            message.extend(name.bytes());
            message.extend(&bytes);
            assert!(codec::decode::<mesh::Message>(&message).is_err());
        }
    }
}
