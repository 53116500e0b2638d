//! Stand-ins of almondbank's surroundings for tests and examples.
//!
//! Each can be asked to misbehave: to be slow, down or silent, to lose answers,
//! to cut streams. [`engine::Engine`] counts memory and replicas itself, so that
//! tests check the system against the runner's own count.

pub mod client;
pub mod engine;
pub mod fixture;
pub mod manual;
pub mod platform;
pub mod runner;
pub mod server;
pub mod service;
pub mod store;
