//! Fakes of the systems that almondbank depends on, for tests and examples.
//!
//! Faults can be injected into each: delays, outages, requests that are never
//! answered, lost responses and aborted streams. [`engine::Engine`] counts memory
//! and replicas independently of almondbank, so that tests can verify its
//! placement against the runner's own counters.

pub mod client;
pub mod engine;
pub mod fixture;
pub mod manual;
pub mod platform;
pub mod runner;
pub mod server;
pub mod service;
pub mod store;
