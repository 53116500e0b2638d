//! Thread that writes the lines of the log.
//!
//! What cannot be written is tried again: a disk may be full for a time, and a limit may be
//! raised.

use std::collections::BTreeMap;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender};
use std::thread;
use std::time::Duration;

use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use nix::unistd;
use parking_lot::Mutex;

/// Most lines that are written at once.
const BATCH_LINES: usize = 4096;
/// Time from a failure to write to the next attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Formats the line that reports what was not written.
pub(crate) type Report = fn(Gap) -> String;

/// What went wrong before a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Gap {
    /// Lines were dropped.
    Dropped(u64),
    /// Lines were written late, after `attempts` that failed, the last one with `error`.
    Late { attempts: u64, error: Errno },
}

/// What the queue holds.
pub(crate) enum Entry {
    /// A line, with its end.
    Line(Vec<u8>),
    /// Dropped when all lines before it are written.
    Flush(SyncSender<()>),
}

/// What became of the lines, for the metrics.
#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) lost_lines: AtomicU64,
    pub(crate) waiting_bytes: AtomicUsize,
    pub(crate) failures: Mutex<BTreeMap<String, u64>>,
}

impl Counts {
    /// Counts a failure by the name of its error.
    pub(crate) fn fail(&self, error: String) {
        *self.failures.lock().entry(error).or_default() += 1;
    }
}

/// Writer of the queued lines.
pub(crate) struct Writer {
    file: Box<dyn AsFd + Send>,
    queue: Receiver<Entry>,
    report: Report,
    counts: Arc<Counts>,
    /// Dropped lines that a line has reported.
    reported: u64,
}

impl Writer {
    /// Writes to `file` what comes from `queue`.
    pub(crate) fn new(
        file: impl AsFd + Send + 'static,
        queue: Receiver<Entry>,
        report: Report,
        counts: Arc<Counts>,
    ) -> Self {
        Self {
            file: Box::new(file),
            queue,
            report,
            counts,
            reported: 0,
        }
    }

    /// Writes until the queue is closed.
    pub(crate) fn run(&mut self) {
        while let Ok(first) = self.queue.recv() {
            let mut batch = Vec::new();
            let mut flushes = Vec::new();
            for entry in std::iter::once(first).chain(self.queue.try_iter().take(BATCH_LINES)) {
                match entry {
                    Entry::Line(line) => batch.extend(line),
                    Entry::Flush(written) => flushes.push(written),
                }
            }
            let taken = batch.len();
            let lost = self.counts.lost_lines.load(Ordering::Relaxed);
            if lost > self.reported {
                batch.extend((self.report)(Gap::Dropped(lost - self.reported)).into_bytes());
                self.reported = lost;
            }
            if let Some(gap) = self.write(batch) {
                self.write((self.report)(gap).into_bytes());
            }
            let waiting = &self.counts.waiting_bytes;
            waiting.fetch_sub(taken, Ordering::Relaxed);
        }
    }

    // Writes whole lines, however long it takes. Returns whether they are late.
    fn write(&self, mut lines: Vec<u8>) -> Option<Gap> {
        let mut written = 0;
        let mut attempts = 0;
        let mut last_error = None;
        while written < lines.len() {
            // A file that takes nothing without an error is as good as full.
            let error = match unistd::write(&*self.file, &lines[written..]) {
                Ok(0) => Errno::ENOSPC,
                Ok(count) => {
                    written += count;
                    continue;
                }
                Err(Errno::EINTR) => continue,
                Err(Errno::EAGAIN) => {
                    self.wait_writable();
                    continue;
                }
                Err(error) => error,
            };
            attempts += 1;
            last_error = Some(error);
            self.counts.fail(format!("{error:?}"));
            restart_line(&mut lines, written);
            written = 0;
            thread::sleep(RETRY_INTERVAL);
        }
        last_error.map(|error| Gap::Late { attempts, error })
    }

    fn wait_writable(&self) {
        let timeout = PollTimeout::try_from(RETRY_INTERVAL).unwrap_or(PollTimeout::MAX);
        let mut files = [PollFd::new(self.file.as_fd(), PollFlags::POLLOUT)];
        // Without poll(2), waits for as long as it would at most.
        if poll(&mut files, timeout).is_err() {
            thread::sleep(RETRY_INTERVAL);
        }
    }
}

// Removes the lines that were written. One that was cut is written again, as the file may have
// been truncated or replaced since, on a line of its own.
fn restart_line(lines: &mut Vec<u8>, written: usize) {
    let done = &lines[..written];
    let start = done.iter().rposition(|byte| *byte == b'\n');
    let start = start.map_or(0, |position| position + 1);
    lines.drain(..start);
    if written > start {
        lines.insert(0, b'\n');
    }
}
