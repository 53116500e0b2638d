//! A short soak test of the real gateway; `docs/MEASURES.md` lists the long ones.

use std::path::PathBuf;

use almondbank_emulator::soak::{self, Plan, Report};

const SEED: u64 = 20_261_204;
const FAULTS: usize = 6;
const START_SEED: u64 = 93_002;
const OTHER_ROWS: usize = 8;
const LIMIT_SEED: u64 = 95_101;

// With seed 148, the emulated engine responded to a stream request without events
// while its behaviour was `DuplicateResponse`, and the gateway forwarded the response
// unchanged.
const REGRESSION_SEED: u64 = 148;

fn plan(seed: u64) -> Plan {
    Plan::new(seed, PathBuf::from(env!("CARGO_BIN_EXE_almondbank")))
}

// Runs a soak test in which no invariant may be violated.
async fn check(plan: Plan) -> Report {
    let report = soak::run(plan).await.expect("the programs start");
    assert!(
        report.violations.is_empty(),
        "{:#?}\n{:?}",
        report.violations,
        report.faults
    );
    report
}

#[tokio::test(flavor = "multi_thread")]
async fn regression_seeds_pass() {
    check(plan(REGRESSION_SEED)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_external_faults() {
    let mut plan = plan(SEED);
    plan.faults = FAULTS;
    let report = check(plan).await;
    assert!(
        report.served > 100,
        "{} of {}",
        report.served,
        report.requests
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn no_gateway_ends_by_itself_or_fails_to_start_under_faults_around_its_start() {
    let mut plan = plan(START_SEED);
    plan.has_start_faults = true;
    plan.other_rows = OTHER_ROWS;
    check(plan).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_gateway_ends_by_itself_or_is_busy_without_requests_under_limits_of_its_machine() {
    let mut plan = plan(LIMIT_SEED);
    plan.has_limits = true;
    check(plan).await;
}
