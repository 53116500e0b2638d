//! How late tasks run that are due, which shows that a task or the machine holds up all others.

use std::time::Duration;

use nix::sys::resource::{self, UsageWho};
use nix::sys::time::{TimeVal, TimeValLike};
use strum::IntoStaticStr;

/// Lag from which on all requests, links and leases suffer.
pub const STALL: Duration = Duration::from_secs(1);
/// Shortest time from one report to the next.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Part of its share of the processor from which on the process counts as having held it.
const HELD_PART: f64 = 0.5;

/// What held up the tasks.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The process used the processor, so a task did not yield.
    Task,
    /// The process did not run: the machine gave it no processor, or stopped it.
    Machine,
}

/// A time for which no task ran that was due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stall {
    /// Time by which the check was late.
    pub lag: Duration,
    /// Processor time that the process used from the previous check to this one.
    pub processor: Duration,
}

impl Stall {
    /// What held up the tasks of a process that may use `share` of a core.
    #[must_use]
    pub fn cause(&self, share: f64) -> Cause {
        if self.processor.as_secs_f64() >= self.lag.as_secs_f64() * share.min(1.0) * HELD_PART {
            Cause::Task
        } else {
            Cause::Machine
        }
    }
}

/// Stalls that are reported together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Report {
    /// The longest one.
    pub longest: Stall,
    /// Number of stalls since the previous report.
    pub stalls: u32,
}

/// Result of a check.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Check {
    /// Time by which the check was late.
    pub lag: Duration,
    /// The stall that the check has ended, if any.
    pub stall: Option<Stall>,
    /// What is to be logged now.
    pub report: Option<Report>,
}

/// Compares the times of checks with those at which they were due.
#[derive(Clone, Copy, Debug)]
pub struct Monitor {
    interval: Duration,
    checked_at: Duration,
    /// Processor time of the process at that time.
    used: Duration,
    reported_at: Option<Duration>,
    /// Stalls that were not reported yet.
    pending: Option<Report>,
}

impl Monitor {
    /// Creates a monitor whose first check is due `interval` after `now`. `used` is the processor
    /// time that the process has used.
    #[must_use]
    pub fn new(interval: Duration, now: Duration, used: Duration) -> Self {
        Self {
            interval,
            checked_at: now,
            used,
            reported_at: None,
            pending: None,
        }
    }

    /// Records a check at `now`; the next one is due an interval later.
    pub fn check(&mut self, now: Duration, used: Duration) -> Check {
        let lag = now.saturating_sub(self.checked_at + self.interval);
        let processor = used.saturating_sub(self.used);
        self.checked_at = now;
        self.used = used;
        let stall = (lag >= STALL).then_some(Stall { lag, processor });
        if let Some(stall) = stall {
            let pending = self.pending.get_or_insert(Report {
                longest: stall,
                stalls: 0,
            });
            pending.stalls += 1;
            if stall.lag > pending.longest.lag {
                pending.longest = stall;
            }
        }
        Check {
            lag,
            stall,
            report: self.report(now),
        }
    }

    fn report(&mut self, now: Duration) -> Option<Report> {
        let is_due = self
            .reported_at
            .is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL);
        let report = self.pending.take_if(|_| is_due)?;
        self.reported_at = Some(now);
        Some(report)
    }
}

/// Processor time that this process has used; zero if the kernel does not tell.
#[must_use]
pub fn processor_time() -> Duration {
    resource::getrusage(UsageWho::RUSAGE_SELF).map_or(Duration::ZERO, |usage| {
        duration(usage.user_time()) + duration(usage.system_time())
    })
}

fn duration(time: TimeVal) -> Duration {
    Duration::from_micros(u64::try_from(time.num_microseconds()).unwrap_or_default())
}
