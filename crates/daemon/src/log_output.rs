//! Output of the log.
//!
//! A thread writes the lines from a bounded queue, so that a slow reader does not
//! block the tasks that log. Lines that do not fit, by their number or their bytes, are
//! dropped; a later line holds their count. What cannot be written is tried again: a disk may
//! be full for a time, and a limit may be raised.

use std::collections::BTreeMap;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use almondbank_gateway::log_status;
use almondbank_port::clock::Clock;
use nix::errno::Errno;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use nix::unistd;
use parking_lot::Mutex;

/// Capacity of the queue, in lines.
const QUEUE_CAPACITY: usize = 4096;
/// Capacity of the queue, in bytes. Callers choose the length of some fields.
const QUEUE_BYTES: usize = 2 << 20;
/// Longest time for which the end of the process waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time from a failure to write to the next attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time from one attempt to start the thread to the next, in which lines wait in the queue.
const THREAD_INTERVAL: Duration = Duration::from_secs(1);
/// Name, in the metrics, of a failure to start the thread.
const NO_THREAD: &str = "no_thread";

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

enum Entry {
    Line(Vec<u8>),
    /// Dropped when all lines before it are written.
    Flush(SyncSender<()>),
}

/// Sender of lines to the writer thread. Clones share it.
#[derive(Clone)]
pub(crate) struct Output {
    shared: Arc<Shared>,
}

struct Shared {
    lines: SyncSender<Entry>,
    writer: Mutex<Writer>,
    /// Whether the thread was started.
    is_running: AtomicBool,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    lost_lines: AtomicU64,
    waiting_bytes: AtomicUsize,
    failures: Mutex<BTreeMap<String, u64>>,
}

impl Counts {
    fn fail(&self, error: String) {
        *self.failures.lock().entry(error).or_default() += 1;
    }
}

impl Output {
    /// Starts to write to `file`. If the kernel refuses the thread, lines wait in the queue.
    pub(crate) fn new(file: impl AsFd + Send + 'static, report: Report) -> Self {
        let (lines, queue) = sync_channel(QUEUE_CAPACITY);
        let counts = Arc::<Counts>::default();
        let writer = Writer {
            file: Box::new(file),
            queue,
            report,
            counts: Arc::clone(&counts),
            reported: 0,
        };
        let shared = Shared {
            lines,
            writer: Mutex::new(writer),
            is_running: AtomicBool::new(false),
            counts,
        };
        let output = Self {
            shared: Arc::new(shared),
        };
        output.start_thread();
        output
    }

    /// Queues a line, or drops it.
    pub(crate) fn send(&self, line: String) {
        if !self.try_send(line) {
            self.shared
                .counts
                .lost_lines
                .fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Starts the thread once the kernel no longer refuses it.
    pub(crate) async fn keep_writing(self, clock: Arc<dyn Clock>) {
        while !self.start_thread() {
            clock.sleep(THREAD_INTERVAL).await;
        }
    }

    /// What became of the lines so far.
    pub(crate) fn status(&self) -> log_status::Status {
        let counts = &self.shared.counts;
        let waiting_bytes = counts.waiting_bytes.load(Ordering::Relaxed);
        log_status::Status {
            lost_lines: counts.lost_lines.load(Ordering::Relaxed),
            failures: counts.failures.lock().clone(),
            waiting_bytes: u64::try_from(waiting_bytes).unwrap_or(u64::MAX),
        }
    }

    // Returns whether the thread is running.
    fn start_thread(&self) -> bool {
        if self.shared.is_running.swap(true, Ordering::Relaxed) {
            return true;
        }
        let shared = Arc::clone(&self.shared);
        let thread = thread::Builder::new().name("log".to_owned());
        let started = thread.spawn(move || shared.writer.lock().run());
        if started.is_err() {
            self.shared.counts.fail(NO_THREAD.to_owned());
            self.shared.is_running.store(false, Ordering::Relaxed);
        }
        started.is_ok()
    }

    fn try_send(&self, line: String) -> bool {
        let bytes = line.len();
        let waiting = &self.shared.counts.waiting_bytes;
        let queued = waiting.fetch_add(bytes, Ordering::Relaxed);
        let entry = Entry::Line(line.into_bytes());
        let is_sent = queued + bytes <= QUEUE_BYTES && self.shared.lines.try_send(entry).is_ok();
        if !is_sent {
            waiting.fetch_sub(bytes, Ordering::Relaxed);
        }
        is_sent
    }
}

/// Writes the queued lines when it is dropped, so that the reason for which the process ends is
/// not lost with it.
pub(crate) struct Flush(pub(crate) Output);

impl Drop for Flush {
    fn drop(&mut self) {
        self.0.start_thread();
        let (written, is_written) = sync_channel(0);
        if self.0.shared.lines.try_send(Entry::Flush(written)).is_ok() {
            // Ends with the sender, or with the timeout if nobody reads the lines.
            let _ = is_written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

struct Writer {
    file: Box<dyn AsFd + Send>,
    queue: Receiver<Entry>,
    report: Report,
    counts: Arc<Counts>,
    /// Dropped lines that a line has reported.
    reported: u64,
}

impl Writer {
    fn run(&mut self) {
        while let Ok(first) = self.queue.recv() {
            let mut batch = Vec::new();
            let mut flushes = Vec::new();
            for entry in std::iter::once(first).chain(self.queue.try_iter().take(QUEUE_CAPACITY)) {
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
