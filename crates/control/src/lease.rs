//! The lease on a shard, kept as one row of the table.
//!
//! The holder counts its term from before it sent the renewal, less a margin,
//! on its own monotonic clock; a taker waits the whole term after it first saw
//! the row unchanged (Gray and Cheriton, "Leases", 1989). No wall clock is
//! compared. Every commit of the holder rewrites the lease row and requires the
//! version that it wrote last, so a commit of a former holder, or one delayed on
//! the way, always conflicts.

use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use almondbank_port::commit;
use almondbank_port::table::{ABSENT, Outcome, Row, Table, Transaction};
use almondbank_wire::{id, row};

use crate::error::Code;
use crate::{Result, audit, key, membership};

const MARGIN_PERCENT: u32 = 10;
const PERCENT: u32 = 100;
const RENEWAL_DIVISOR: u32 = 3;

/// Who asks for the lease, and where its row is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Environment whose shard it is.
    pub environment: String,
    /// Incarnation of the asking process.
    pub incarnation: id::Incarnation,
    /// Its address for peers.
    pub address: String,
    /// Term of the lease.
    pub term: Duration,
}

/// Watches the lease row and takes the lease when it may.
#[derive(Debug)]
pub struct Candidate {
    identity: Identity,
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    seen: Option<Sighting>,
}

#[derive(Clone, Copy, Debug)]
struct Sighting {
    version: u64,
    since: Duration,
}

/// A lease that is held.
#[derive(Debug)]
pub struct Lease {
    identity: Identity,
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    fencing: id::Fencing,
    renewal: u64,
    version: u64,
    renewed: Duration,
    former: Vec<row::Former>,
}

impl Candidate {
    /// Starts watching.
    #[must_use]
    pub fn new(identity: Identity, table: Arc<dyn Table>, clock: Arc<dyn Clock>) -> Self {
        Self {
            identity,
            table,
            clock,
            seen: None,
        }
    }

    /// Learns that its holder wrote the row's `version` before `heard`, so that
    /// the term may be counted from then.
    pub fn observe(&mut self, version: u64, heard: Duration) {
        let is_newer = self.seen.is_none_or(|seen| seen.version < version);
        if version != ABSENT && is_newer {
            self.seen = Some(Sighting {
                version,
                since: heard,
            });
        }
    }

    /// Reads the row once and takes the lease if it is free or has lapsed.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer or the row is malformed.
    pub async fn poll(&mut self) -> Result<Option<Lease>> {
        let key = key::lease(&self.identity.environment);
        let read_at = self.clock.now();
        let Some(row) = self.table.get(&key).await? else {
            return self.take(ABSENT, 0, Vec::new()).await;
        };
        let lease: row::Lease = key::decode(&row.key, &row.value)?;
        let is_own = lease
            .holder
            .as_ref()
            .is_some_and(|holder| self.is_own_former(holder));
        let free = lease.holder.is_none() || is_own;
        if !free && self.unchanged_for(&row, read_at) < self.identity.term {
            return Ok(None);
        }
        let fencing = lease.fencing;
        let former = former_holders(lease);
        self.take(row.version, fencing, former).await
    }

    // The VM runs one process of this instance at a time, so that an earlier
    // run of it has ended.
    fn is_own_former(&self, holder: &str) -> bool {
        let own = &self.identity.incarnation;
        holder != own && membership::instance_of(holder) == membership::instance_of(own)
    }

    // Counts from after the first sighting was answered, to before this read
    // was sent: the shortest time that the row can have stood.
    fn unchanged_for(&mut self, row: &Row, read_at: Duration) -> Duration {
        match self.seen {
            Some(seen) if seen.version == row.version => read_at.saturating_sub(seen.since),
            _ => {
                self.seen = Some(Sighting {
                    version: row.version,
                    since: self.clock.now(),
                });
                Duration::ZERO
            }
        }
    }

    async fn take(
        &mut self,
        version: u64,
        fencing: id::Fencing,
        former: Vec<row::Former>,
    ) -> Result<Option<Lease>> {
        let mut lease = Lease {
            identity: self.identity.clone(),
            table: Arc::clone(&self.table),
            clock: Arc::clone(&self.clock),
            fencing: fencing + 1,
            renewal: 0,
            version,
            renewed: self.clock.now(),
            former,
        };
        let change = audit::Change {
            actor: self.identity.incarnation.clone(),
            action: "take_lease".to_owned(),
            target: key::lease(&self.identity.environment),
            from: Some(fencing),
            to: Some(fencing + 1),
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
            Ok(()) => Ok(Some(lease)),
            Err(error) if error.category() == crate::Category::NotLeader => Ok(None),
            Err(error) => Err(error),
        }
    }
}

impl Lease {
    /// Fencing number of this holding; rises with each taking.
    #[must_use]
    pub fn fencing(&self) -> id::Fencing {
        self.fencing
    }

    /// Version of the lease row that was written last.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Time until which orders may be given, on the injected clock.
    #[must_use]
    pub fn valid_until(&self) -> Duration {
        self.renewed + self.identity.term * (PERCENT - MARGIN_PERCENT) / PERCENT
    }

    /// Whether orders may be given now.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.clock.now() < self.valid_until()
    }

    /// Whether it is time to renew.
    #[must_use]
    pub fn is_due(&self) -> bool {
        self.clock.now() >= self.renewed + self.identity.term / RENEWAL_DIVISOR
    }

    /// Starts a transaction that also renews the lease.
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

    /// Forgets the former holders for which `gone` holds; the next commit writes it.
    pub fn prune_former(&mut self, gone: impl Fn(&row::Former) -> bool) {
        self.former.retain(|former| !gone(former));
    }

    /// Whether a former holder with a fencing number of at least `fencing` may
    /// still be running and have a last order on its way.
    #[must_use]
    pub fn has_former_since(&self, fencing: id::Fencing) -> bool {
        self.former.iter().any(|former| former.fencing >= fencing)
    }

    /// Commits a transaction made by [`Lease::transaction`].
    ///
    /// # Errors
    ///
    /// `NotLeader` if the lease was lost, also when its term ended before the
    /// outcome was certain.
    pub async fn commit(&mut self, transaction: Transaction) -> Result<()> {
        let sent = self.clock.now();
        let deadline = self.valid_until();
        let outcome = commit::resolve(&*self.table, &*self.clock, &transaction, deadline).await;
        match outcome {
            Ok(Outcome::Committed(version)) => {
                self.version = version;
                self.renewal += 1;
                self.renewed = sent;
                Ok(())
            }
            Ok(Outcome::Conflict(_)) | Err(_) => Err(Code::LeaseLost.into()),
        }
    }

    /// Finds the lease again after a commit whose outcome stayed unknown or
    /// conflicted with an earlier one of this holder.
    ///
    /// # Errors
    ///
    /// `NotLeader` if another has taken it; else if the table does not answer.
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

    /// Gives the lease up so that another instance can take it at once.
    ///
    /// # Errors
    ///
    /// `NotLeader` if it was lost already or the table does not answer.
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

// A holder that released the lease has nothing under way and is not listed.
fn former_holders(lease: row::Lease) -> Vec<row::Former> {
    let mut former = lease.former;
    former.extend(lease.holder.map(|incarnation| row::Former {
        incarnation,
        fencing: lease.fencing,
    }));
    former
}
