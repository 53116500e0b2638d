//! Quotas of tenants, which hold for all instances together.
//!
//! Tenants are divided into slots. The owner of a slot, one of the instances, grants tokens
//! of their quotas to the others ([`Ledger`]). An instance spends what it was granted, and
//! asks for more when it runs out ([`Allowance`]); without an owner that it can reach, it
//! keeps to its equal share.

mod account;
mod admission;
mod allowance;
mod ask;
mod bucket;
mod grant;
mod holding;
mod ledger;
mod limit;
mod local;
mod owner;
mod permit;
mod service;
mod share;
mod standing;
mod unanswered;
mod view;

pub use allowance::{Allowance, Answer, Step};
pub use ask::Ask;
pub use bucket::Bucket;
pub use grant::Grant;
pub use ledger::Ledger;
pub use limit::Limit;
pub use owner::{SLOTS, owners, slot};
pub use permit::{Denial, Permit, Source, Verdict};
pub use share::Share;
pub use view::View;

pub(crate) use admission::{admit, refund};
pub(crate) use service::{Service, serve};

use std::time::Duration;

/// Time for which the views that instances have of the membership may differ. An owner whose
/// part of the quota grows grants by the larger part only after this time, as another instance
/// may still grant the difference. While all instances are in touch, the time of their reports
/// replaces it if it is shorter.
pub const TAKEOVER_TIME: Duration = Duration::from_secs(4);
/// Time after an ask in which the tokens that it was granted may be spent.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// Longest wait of a request for an answer of the owner.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
