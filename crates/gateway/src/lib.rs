//! Gateway that forwards requests of callers to runners and places models on the
//! runners according to demand.
//!
//! A gateway reads its [`environment`] and the runners' registrations through
//! the traits in [`feed`], converts HTTP heads of callers and runners with
//! [`protocol`], and sends [`order`]s to the runners while it is the leader. The
//! leader is the instance that holds the lease and alone may place models.
//! Decisions use neither network nor clock: [`scoring`] selects a runner,
//! [`planner`] places models, [`budget`] limits retries.
//!
//! ```
//! use std::time::Duration;
//! use almondbank_gateway::{in_flight::Work, scoring};
//!
//! let busy = scoring::Candidate {
//!     runner: "runner-1".to_owned(),
//!     is_local: true,
//!     work: Work { pending: 3, pending_tokens: 30_000, running: 0, tokens: 30_000 },
//!     slots: 64,
//!     token_time: Duration::from_micros(25),
//!     cached_tokens: 0,
//!     expected_loss: 0,
//!     holds_adapter: true,
//!     is_ejected: false,
//!     failure_rate: 0.0,
//!     recent_gap: Duration::ZERO,
//!     preference: 0,
//! };
//! let idle = scoring::Candidate {
//!     runner: "runner-2".to_owned(),
//!     work: Work::default(),
//!     ..busy.clone()
//! };
//! let request = scoring::Request {
//!     prompt_tokens: 9_000,
//!     tokens: 9_100,
//!     capacity: 250_000,
//!     event_gap: Duration::from_millis(500),
//!     service_time: Duration::from_secs(1),
//! };
//! let candidates = [busy, idle];
//! let best = scoring::choose(&candidates, &request).unwrap();
//! assert_eq!(best.runner, "runner-2");
//! ```

pub mod adapter_step;
pub mod body;
pub mod brittle;
pub mod budget;
pub mod call;
pub mod connector;
pub mod cost;
pub mod crash;
pub mod demand;
pub mod demand_rate;
pub mod environment;
pub mod event_gap;
pub mod explanation;
pub mod fair_share;
pub mod feed;
pub mod fetch;
pub mod fingerprint;
pub mod follower;
pub mod health;
pub mod id;
pub mod in_flight;
pub mod join;
pub mod lag;
pub mod log_status;
pub mod members;
pub mod memory;
pub mod notice;
pub mod notices;
pub mod order;
pub mod planner;
pub mod prediction;
pub mod prefill;
pub mod prefix;
pub mod prompt;
pub mod protocol;
pub mod quarantine;
pub mod quota;
pub mod rate;
pub mod reach;
pub mod refusal;
pub mod registry;
pub mod report_timing;
pub mod route;
pub mod runner;
pub mod runner_limit;
pub mod scoring;
pub mod service;
pub mod service_time;
pub mod software;
pub mod sse;
pub mod store_load;
pub mod summary;
pub mod suspect;
pub mod tcp;
pub mod tenant;
pub mod topology;
pub mod trial;

mod adapter_request;
mod adapters;
mod attempt;
mod authority;
mod bounded;
mod confinement;
mod crash_check;
mod crash_report;
mod delivery;
mod discovery;
mod dispatcher;
mod entries;
mod environment_record;
mod error;
mod exchange;
mod fanout;
mod fleet;
mod forward;
mod framing;
mod gateway;
mod grace;
mod handover;
mod instance;
mod leader;
mod leader_row;
mod leaving;
mod links;
mod listener;
mod listening;
mod memory_watch;

mod mesh;
mod metrics;
mod notice_log;
mod opening;
mod outage;
mod outcome;
mod pool;
mod prefix_cache;
mod quarantine_record;
mod reach_check;
mod read_pacer;
mod registered;
mod rejection_bound;
mod relay;
mod replica_index;
mod report;
mod runner_view;
mod selection;

mod served;
mod server;
mod soundness;
mod span;
mod stream_origin;
mod stream_record;
mod supervisor;
mod term;
mod transfer;
mod unlisted_check;
mod upload;
mod version_record;
mod wait;
mod watcher;

pub use error::{Category, Error, Result};
pub use gateway::Ports;
pub use instance::Instance;
