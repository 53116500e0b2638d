//! Ends of events in a byte stream that arrives in arbitrary chunks.

use almondbank_gateway::sse::Scanner;
use quickcheck::quickcheck;

quickcheck! {
    fn a_stream_is_inside_an_event_unless_it_ends_with_one(choices: Vec<u8>, cuts: Vec<u8>) -> bool {
        let bytes: Vec<u8> = choices
            .iter()
            .map(|choice| if choice % 2 == 0 { b'\n' } else { b'x' })
            .collect();
        let mut scanner = Scanner::default();
        let mut rest = bytes.as_slice();
        for cut in cuts {
            let (chunk, next) = rest.split_at(usize::from(cut % 4).min(rest.len()));
            scanner.scan(chunk);
            rest = next;
        }
        scanner.scan(rest);
        let is_whole = bytes.is_empty() || bytes.ends_with(b"\n\n");
        scanner.is_inside_event() != is_whole
    }
}
