//! Admission, routing and the execution ledger of almondbank.
//!
//! [`admission`] holds requests by rank and deadline until a runner has room,
//! [`routing`] picks the replica, and [`ledger`] runs calls that may not be
//! repeated at most once.
//!
//! ```
//! use std::time::Duration;
//! use almondbank_serving::ledger::{Begin, Ledger};
//!
//! let ledger = Ledger::new(Duration::from_secs(60), 1000);
//! let call = ledger.begin("caller/service/call/key", "digest", Duration::ZERO, Duration::ZERO);
//! assert!(matches!(call, Begin::Run(_)));
//! ```

pub mod admission;
pub mod ejection;
pub mod floors;
pub mod ledger;
pub mod prefix;
pub mod routing;

mod queue;
