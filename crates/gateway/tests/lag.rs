//! How late tasks run, and what is reported of it.

use std::time::{Duration, Instant};

use almondbank_gateway::lag::{self, Cause, Check, Monitor, REPORT_INTERVAL, Report, STALL, Stall};

const INTERVAL: Duration = Duration::from_millis(250);
const START: Duration = Duration::from_secs(100);

fn monitor() -> Monitor {
    Monitor::new(INTERVAL, START, Duration::ZERO)
}

fn stall(lag: Duration, processor: Duration) -> Stall {
    Stall { lag, processor }
}

#[test]
fn a_check_in_time_is_no_stall() {
    let check = monitor().check(START + INTERVAL, Duration::from_millis(250));
    assert_eq!(check, Check::default());
    let late = Duration::from_millis(999);
    let check = monitor().check(START + INTERVAL + late, late);
    assert_eq!((check.lag, check.stall, check.report), (late, None, None));
}

#[test]
fn a_clock_that_goes_back_is_no_stall() {
    let check = monitor().check(START.saturating_sub(INTERVAL), Duration::ZERO);
    assert_eq!(check, Check::default());
}

#[test]
fn a_task_that_holds_the_processor_is_told_from_a_machine_that_gives_none() {
    let lag = STALL * 2;
    let check = |used| monitor().check(START + INTERVAL + lag, used);
    let held = check(lag).stall.unwrap();
    assert_eq!(held, stall(lag, lag));
    assert_eq!(held.cause(1.0), Cause::Task);
    let stopped = check(Duration::from_millis(5)).stall.unwrap();
    assert_eq!(stopped.cause(1.0), Cause::Machine);
}

#[test]
fn a_task_that_holds_the_processor_is_found_with_a_quarter_of_a_core() {
    let lag = STALL * 4;
    let quarter = stall(lag, STALL);
    assert_eq!(quarter.cause(0.25), Cause::Task);
    assert_eq!(quarter.cause(1.0), Cause::Machine);
    assert_eq!(stall(lag, lag).cause(8.0), Cause::Task);
}

#[test]
fn many_stalls_are_reported_together_with_the_longest_one() {
    let mut monitor = monitor();
    let mut now = START;
    let mut stop = |lag: Duration| {
        now += INTERVAL + lag;
        monitor.check(now, Duration::ZERO)
    };
    let first = stop(STALL);
    let longest = stall(STALL, Duration::ZERO);
    assert_eq!(first.report, Some(Report { longest, stalls: 1 }));
    assert_eq!(stop(STALL * 3).report, None);
    assert_eq!(stop(STALL * 2).report, None);
    let mut reports = (0..80).filter_map(|_| stop(Duration::ZERO).report);
    let longest = stall(STALL * 3, Duration::ZERO);
    assert_eq!(reports.next(), Some(Report { longest, stalls: 2 }));
    assert_eq!(reports.next(), None);
}

#[test]
fn the_next_stall_after_the_interval_is_reported_at_once() {
    let mut monitor = monitor();
    let first = START + INTERVAL + STALL;
    assert!(monitor.check(first, Duration::ZERO).report.is_some());
    let quiet = first + INTERVAL;
    assert_eq!(monitor.check(quiet, Duration::ZERO).report, None);
    let second = quiet + REPORT_INTERVAL + INTERVAL;
    assert!(monitor.check(second, Duration::ZERO).report.is_some());
}

#[test]
fn the_processor_time_grows_while_the_process_works() {
    let before = lag::processor_time();
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(10) {
        if lag::processor_time() > before {
            return;
        }
    }
    panic!("no processor time is counted");
}
