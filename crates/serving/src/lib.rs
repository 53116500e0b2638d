//! Admission, routing and the execution ledger of almondbank.
//!
//! [`admission`] queues requests by rank and deadline until a runner has a free
//! slot, [`routing`] chooses the replica, and [`ledger`] ensures that calls which
//! must not be repeated run at most once. Routes and slots come from the leader: the
//! instance that holds the lease of the shard and alone may place models.
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
