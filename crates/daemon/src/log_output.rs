//! Output of the log.
//!
//! A thread writes the lines from a bounded queue, so that a slow reader does not
//! block the tasks that log. Lines that do not fit, by their number or their bytes, are
//! dropped; a later line holds their count.

use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use almondbank_gateway::log_status;
use almondbank_port::clock::Clock;
use parking_lot::Mutex;

use crate::log_writer::{Counts, Entry, Report, Writer};

/// Capacity of the queue, in lines.
const QUEUE_CAPACITY: usize = 4096;
/// Capacity of the queue, in bytes. Callers choose the length of some fields.
const QUEUE_BYTES: usize = 2 << 20;
/// Longest time for which the end of the process waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time from one attempt to start the thread to the next, in which lines wait in the queue.
const THREAD_INTERVAL: Duration = Duration::from_secs(1);
/// Name, in the metrics, of a failure to start the thread.
const NO_THREAD: &str = "no_thread";

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

impl Output {
    /// Starts to write to `file`. If the kernel refuses the thread, lines wait in the queue.
    pub(crate) fn new(file: impl AsFd + Send + 'static, report: Report) -> Self {
        let (lines, queue) = sync_channel(QUEUE_CAPACITY);
        let counts = Arc::<Counts>::default();
        let writer = Writer::new(file, queue, report, Arc::clone(&counts));
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
