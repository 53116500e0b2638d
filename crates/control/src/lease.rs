//! The lease on a shard, stored as one row of the table.
//!
//! The holder measures the term on its own monotonic clock, from before it sent
//! the renewal and less a safety margin. Another instance takes the lease only
//! after the row has stayed unchanged for the whole term (Gray and Cheriton,
//! "Leases", 1989). Wall clocks are not compared. Every commit of the holder
//! rewrites the lease row and requires the version that it wrote last, so commits
//! of a former holder and delayed commits always conflict.

use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use almondbank_port::commit;
use almondbank_port::table::{ABSENT, Outcome, Row, Table, Transaction};
use almondbank_wire::{id, row};

use crate::error::Code;
use crate::{Result, audit, key, membership};

const SAFETY_MARGIN_PERCENT: u32 = 10;
const PERCENT: u32 = 100;
const RENEWALS_PER_TERM: u32 = 3;
/// Number of low bits of a fencing token that count the leases of one history of the table.
/// The bits above hold the history, so that tokens of two histories differ.
const LEASE_BITS: u32 = 32;
/// Largest history, which larger ones count as. JSON numbers are exact up to 2^53.
const MAX_HISTORY: u64 = (1 << (53 - LEASE_BITS)) - 1;

/// History of the table in which the lease with this fencing token was taken.
#[must_use]
pub fn history(fencing: id::Fencing) -> u64 {
    fencing >> LEASE_BITS
}

/// A process that competes for the lease of an environment's shard.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Environment of the shard.
    pub environment: String,
    /// Incarnation of the process.
    pub incarnation: id::Incarnation,
    /// Address of the process for peers.
    pub address: String,
    /// Lease term.
    pub term: Duration,
}

/// Watches the lease row and takes the lease once it is free or has expired.
#[derive(Debug)]
pub struct Candidate {
    identity: Identity,
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    seen: Option<Observation>,
    /// Version of the row whose holder has stated that it sends no more orders.
    resigned: Option<u64>,
    /// Highest fencing token that is known to have been used. The row may name a lower
    /// one if the table has lost writes.
    used_fencing: id::Fencing,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    version: u64,
    since: Duration,
}

/// A lease held by this process.
#[derive(Debug)]
pub struct Lease {
    identity: Identity,
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    fencing: id::Fencing,
    renewal: u64,
    version: u64,
    renewed_at: Duration,
    former: Vec<row::Former>,
    is_first: bool,
}

impl Candidate {
    /// Creates a candidate that has not seen the lease row yet.
    #[must_use]
    pub fn new(identity: Identity, table: Arc<dyn Table>, clock: Arc<dyn Clock>) -> Self {
        Self {
            identity,
            table,
            clock,
            seen: None,
            resigned: None,
            used_fencing: 0,
        }
    }

    /// Records that a holder has used `fencing`, so that it is not given out again.
    pub fn observe_fencing(&mut self, fencing: id::Fencing) {
        self.used_fencing = self.used_fencing.max(fencing);
    }

    /// Records that the holder that wrote the row's `version` sends no more orders
    /// under it, so that the lease is free while the row has that version.
    pub fn observe_resignation(&mut self, version: u64) {
        if version != ABSENT {
            self.resigned = Some(version);
        }
    }

    /// Time until the lease expires if the row does not change, as far as its last
    /// change is known.
    #[must_use]
    pub fn expires_in(&self) -> Duration {
        self.seen.map_or(Duration::ZERO, |seen| {
            (seen.since + self.identity.term).saturating_sub(self.clock.now())
        })
    }

    /// Records that the holder wrote the row's `version` before `seen_at`, so that
    /// the term counts from then.
    pub fn observe(&mut self, version: u64, seen_at: Duration) {
        let is_newer = self.seen.is_none_or(|seen| seen.version < version);
        if version != ABSENT && is_newer {
            self.seen = Some(Observation {
                version,
                since: seen_at,
            });
        }
    }

    /// Reads the row once and takes the lease if it is free, has expired or was
    /// held by an earlier run of this instance.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer or the row is malformed.
    pub async fn poll(&mut self) -> Result<Option<Lease>> {
        let key = key::lease(&self.identity.environment);
        let read_at = self.clock.now();
        let Some(row) = self.table.get(&key).await? else {
            return self.acquire(ABSENT, 0, Vec::new()).await;
        };
        let lease: row::Lease = key::decode(&row.key, &row.value)?;
        let is_own = lease
            .holder
            .as_ref()
            .is_some_and(|holder| self.is_previous_run(holder));
        let has_resigned = self.resigned == Some(row.version);
        let is_free = lease.holder.is_none() || is_own || has_resigned;
        if !is_free && self.unchanged_for(&row, read_at) < self.identity.term {
            return Ok(None);
        }
        let fencing = lease.fencing;
        let former = former_holders(lease);
        self.acquire(row.version, fencing, former).await
    }

    // The VM runs one process of this instance at a time, so an earlier run has
    // ended.
    fn is_previous_run(&self, holder: &str) -> bool {
        let own = &self.identity.incarnation;
        holder != own && membership::instance_of(holder) == membership::instance_of(own)
    }

    // Lower bound of the time since the row changed: from when the first read of
    // this version returned to when the current read was sent.
    fn unchanged_for(&mut self, row: &Row, read_at: Duration) -> Duration {
        match self.seen {
            Some(seen) if seen.version == row.version => read_at.saturating_sub(seen.since),
            _ => {
                self.seen = Some(Observation {
                    version: row.version,
                    since: self.clock.now(),
                });
                Duration::ZERO
            }
        }
    }

    async fn acquire(
        &mut self,
        version: u64,
        fencing: id::Fencing,
        former: Vec<row::Former>,
    ) -> Result<Option<Lease>> {
        self.observe_fencing(fencing);
        let is_first = self.used_fencing == 0;
        let history = self.table.history();
        let lowest = history.min(MAX_HISTORY) << LEASE_BITS;
        let mut lease = Lease {
            identity: self.identity.clone(),
            table: Arc::clone(&self.table),
            clock: Arc::clone(&self.clock),
            fencing: self.used_fencing.max(lowest) + 1,
            renewal: 0,
            version,
            renewed_at: self.clock.now(),
            former,
            is_first,
        };
        let change = audit::Change {
            actor: self.identity.incarnation.clone(),
            action: "take_lease".to_owned(),
            target: key::lease(&self.identity.environment),
            from: Some(fencing),
            to: Some(lease.fencing),
        };
        let transaction = lease.transaction();
        let transaction = audit::record(
            transaction,
            &self.identity.environment,
            &*self.clock,
            change,
        );
        self.seen = None;
        let taken = lease.commit(transaction).await;
        match taken {
            // The condition held by chance, for a version that was given out again.
            Ok(()) if self.table.history() != history => {
                self.observe_resignation(lease.version);
                Ok(None)
            }
            Ok(()) => {
                self.observe_fencing(lease.fencing);
                Ok(Some(lease))
            }
            Err(error) if error.category() == crate::Category::NotLeader => Ok(None),
            Err(error) => Err(error),
        }
    }
}

impl Lease {
    /// Fencing token of this lease; it increases each time the lease is taken.
    #[must_use]
    pub fn fencing(&self) -> id::Fencing {
        self.fencing
    }

    /// Whether no other lease is known to have been taken before this one.
    #[must_use]
    pub fn is_first(&self) -> bool {
        self.is_first
    }

    /// Version of the lease row as last written.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Time until which orders may be sent, on the injected clock.
    #[must_use]
    pub fn valid_until(&self) -> Duration {
        self.renewed_at + self.identity.term * (PERCENT - SAFETY_MARGIN_PERCENT) / PERCENT
    }

    /// Whether orders may be sent now.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.clock.now() < self.valid_until()
    }

    /// Whether the lease is due for renewal.
    #[must_use]
    pub fn is_due(&self) -> bool {
        self.clock.now() >= self.renewed_at + self.identity.term / RENEWALS_PER_TERM
    }

    /// Starts a transaction that requires the current lease and renews it.
    #[must_use]
    pub fn transaction(&self) -> Transaction {
        let writer = format!(
            "{}/{}/{}",
            self.identity.incarnation,
            self.fencing,
            self.renewal + 1
        );
        let lease = row::Lease {
            holder: Some(self.identity.incarnation.clone()),
            address: Some(self.identity.address.clone()),
            fencing: self.fencing,
            renewal: self.renewal + 1,
            former: self.former.clone(),
        };
        let key = key::lease(&self.identity.environment);
        Transaction::new(writer)
            .require(key.clone(), self.version)
            .put(key, key::encode(&lease))
    }

    /// Removes the former holders for which `gone` returns true; the next commit
    /// stores the change.
    pub fn prune_former(&mut self, gone: impl Fn(&row::Former) -> bool) {
        self.former.retain(|former| !gone(former));
    }

    /// Whether a former holder with a fencing token of at least `fencing` may
    /// still be running and have an order in flight.
    #[must_use]
    pub fn has_former_since(&self, fencing: id::Fencing) -> bool {
        self.former.iter().any(|former| former.fencing >= fencing)
    }

    /// Commits a transaction made by [`Lease::transaction`].
    ///
    /// # Errors
    ///
    /// `NotLeader` if the lease was lost, or if its term ended before the outcome
    /// was known.
    pub async fn commit(&mut self, transaction: Transaction) -> Result<()> {
        let sent = self.clock.now();
        let deadline = self.valid_until();
        let outcome = commit::resolve(&*self.table, &*self.clock, &transaction, deadline).await;
        match outcome {
            Ok(Outcome::Committed(version)) => {
                self.version = version;
                self.renewal += 1;
                self.renewed_at = sent;
                Ok(())
            }
            Ok(Outcome::Conflict(_)) | Err(_) => Err(Code::LeaseLost.into()),
        }
    }

    /// Reads the lease row again after a commit whose outcome is unknown or that
    /// conflicted with an earlier commit of this holder.
    ///
    /// # Errors
    ///
    /// `NotLeader` if another instance has taken the lease. Also fails if the
    /// table does not answer or the row is malformed.
    pub async fn resume(&mut self) -> Result<()> {
        let key = key::lease(&self.identity.environment);
        let row = self.table.get(&key).await?.ok_or(Code::LeaseLost)?;
        let lease: row::Lease = key::decode(&row.key, &row.value)?;
        let is_own = lease.holder.as_ref() == Some(&self.identity.incarnation);
        if !is_own || lease.fencing != self.fencing {
            return Err(Code::LeaseLost.into());
        }
        self.version = row.version;
        self.renewal = lease.renewal;
        Ok(())
    }

    /// Releases the lease so that another instance can take it at once.
    ///
    /// # Errors
    ///
    /// `NotLeader` if the lease was already lost or the table does not answer.
    pub async fn release(&mut self) -> Result<()> {
        let key = key::lease(&self.identity.environment);
        let lease = row::Lease {
            holder: None,
            address: None,
            fencing: self.fencing,
            renewal: self.renewal + 1,
            former: self.former.clone(),
        };
        let writer = format!("{}/{}/release", self.identity.incarnation, self.fencing);
        let transaction = Transaction::new(writer)
            .require(key.clone(), self.version)
            .put(key, key::encode(&lease));
        self.commit(transaction).await
    }
}

// A holder that released the lease has no orders in flight and is not listed. One
// that resigned has none either, but it is listed, since the row names it.
fn former_holders(lease: row::Lease) -> Vec<row::Former> {
    let mut former = lease.former;
    former.extend(lease.holder.map(|incarnation| row::Former {
        incarnation,
        fencing: lease.fencing,
    }));
    former
}
