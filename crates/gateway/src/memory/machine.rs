//! What the kernel holds for TCP connections on the whole machine.

use std::fs;

const SOCKETS: &str = "/proc/net/sockstat";

/// Reads the pages that buffers of TCP connections take; `None` if the kernel does not tell.
#[must_use]
pub fn tcp_pages() -> Option<u64> {
    parse_tcp_pages(&fs::read_to_string(SOCKETS).ok()?)
}

/// Reads them from the text of `/proc/net/sockstat`.
#[must_use]
pub fn parse_tcp_pages(sockets: &str) -> Option<u64> {
    let line = sockets.lines().find_map(|line| line.strip_prefix("TCP:"))?;
    let mut words = line.split_whitespace().skip_while(|word| *word != "mem");
    words.nth(1)?.parse().ok()
}
