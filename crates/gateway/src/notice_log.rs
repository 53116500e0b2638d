//! Log lines for what runners say in their responses.

use crate::notices::Change;
use crate::runner_limit;
use crate::span::millis;

/// Logs what a response of `runner` to `request` has changed.
pub(crate) fn log(changes: &[Change], runner: &str, request: Option<&str>) {
    for change in changes {
        log_change(*change, runner, request);
    }
}

fn log_change(change: Change, runner: &str, request: Option<&str>) {
    match change {
        Change::Leaves => log::info!(request, runner; "runner said that it leaves"),
        Change::Closed(time) => log::info!(
            request, runner, closed_ms = millis(time);
            "runner turns requests away for a time"
        ),
        Change::Open => log::info!(request, runner; "runner accepts requests again"),
        Change::Brittle(max_rejections) => log::info!(
            request, runner, max_rejections;
            "runner named the rejections per second that it bears"
        ),
        Change::Malformed => log::warn!(
            request, runner;
            "runner sent a malformed notice; it is ignored"
        ),
        Change::Limit(runner_limit::Change::Named(limit)) => log::info!(
            request, runner, limit;
            "runner named a limit on its requests per second"
        ),
        Change::Limit(runner_limit::Change::Ended) => log::info!(
            request, runner;
            "runner names no limit any more"
        ),
        Change::Limit(runner_limit::Change::Malformed) => log::warn!(
            request, runner;
            "runner named a malformed limit; it is ignored"
        ),
    }
}
