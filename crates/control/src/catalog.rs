//! The current document, and how a new one is accepted.
//!
//! A document is accepted when one transaction has updated the environment's
//! head row and written the audit entry. An instance never replaces its document
//! by one of a lower revision, whether it comes from the table or from a peer.

use std::sync::Arc;
use std::time::Duration;

use almondbank_port::clock::Clock;
use almondbank_port::commit;
use almondbank_port::objects::Objects;
use almondbank_port::table::{ABSENT, Outcome, Table, Transaction};
use almondbank_wire::document::{self, Document};
use almondbank_wire::{digest, id, row};
use tokio::sync::watch;

use crate::error::Code;
use crate::{Result, audit, key};

const ACCEPT_TIMEOUT: Duration = Duration::from_secs(10);

/// A document and its revision.
#[derive(Clone, Debug, Default)]
pub struct Edition {
    /// Revision; 0 is the empty document before the first accepted one.
    pub revision: id::Revision,
    /// The document, parsed and validated.
    pub document: Document,
    /// The document as submitted, in YAML.
    pub text: String,
}

/// Holds the current edition of this instance.
#[derive(Debug)]
pub struct Catalog {
    environment: String,
    sender: watch::Sender<Arc<Edition>>,
}

impl Catalog {
    /// Creates a catalog with the empty document.
    #[must_use]
    pub fn new(environment: impl Into<String>) -> Self {
        Self {
            environment: environment.into(),
            sender: watch::Sender::new(Arc::default()),
        }
    }

    /// The current edition. An operation uses the edition that it started with
    /// until it ends.
    #[must_use]
    pub fn current(&self) -> Arc<Edition> {
        Arc::clone(&self.sender.borrow())
    }

    /// Subscribes to changes of the current edition.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Edition>> {
        self.sender.subscribe()
    }

    /// Makes an accepted document current if its revision is higher.
    ///
    /// Returns whether it became current.
    ///
    /// # Errors
    ///
    /// Fails if the document is invalid or is for another environment.
    pub fn offer(&self, revision: id::Revision, text: &str) -> Result<bool> {
        if revision <= self.sender.borrow().revision {
            return Ok(false);
        }
        let document = check(&self.environment, text)?;
        let edition = Arc::new(Edition {
            revision,
            document,
            text: text.to_owned(),
        });
        let replaced = self.sender.send_if_modified(|current| {
            let is_newer = revision > current.revision;
            if is_newer {
                *current = edition;
            }
            is_newer
        });
        Ok(replaced)
    }
}

/// The newest accepted revision.
#[derive(Clone, Debug)]
pub struct Head {
    /// The head row, which names the object with the text.
    pub row: row::Head,
    /// Version of the row.
    pub version: u64,
}

/// The accepted documents, in the table and the object store.
#[derive(Clone, Debug)]
pub struct Repository {
    /// Table service.
    pub table: Arc<dyn Table>,
    /// Object store.
    pub objects: Arc<dyn Objects>,
    /// Clock for deadlines and audit entries.
    pub clock: Arc<dyn Clock>,
}

/// A document that an operator submits for acceptance.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Environment that the document is for.
    pub environment: String,
    /// Revision that it is based on; 0 if there was none.
    pub base: id::Revision,
    /// The document as YAML.
    pub text: String,
    /// Operator that submits it.
    pub actor: String,
    /// Action for the audit trail: `apply` or `promote`.
    pub action: String,
}

impl Repository {
    /// Reads the newest accepted revision.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer or the row is malformed.
    pub async fn head(&self, environment: &str) -> Result<Option<Head>> {
        let Some(found) = self.table.get(&key::head(environment)).await? else {
            return Ok(None);
        };
        let row = key::decode(&found.key, &found.value)?;
        Ok(Some(Head {
            row,
            version: found.version,
        }))
    }

    /// Reads the text of a document from the object store.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or has no such object.
    pub async fn text(&self, object: &str) -> Result<String> {
        let missing = || Code::Missing(format!("object {object}"));
        let body = self.objects.get(object).await?.ok_or_else(missing)?;
        let text = String::from_utf8(body.to_vec()).map_err(|_| missing())?;
        Ok(text)
    }

    /// Reads the text of one accepted revision.
    ///
    /// # Errors
    ///
    /// Fails if there is no such revision or the platform does not answer.
    pub async fn revision(&self, environment: &str, revision: id::Revision) -> Result<String> {
        let key = key::revision(environment, revision);
        let missing = || Code::Missing(format!("revision {revision}"));
        let found = self.table.get(&key).await?.ok_or_else(missing)?;
        let head: row::Head = key::decode(&found.key, &found.value)?;
        self.text(&head.object).await
    }

    /// Accepts `proposal` if its base is still the newest revision.
    ///
    /// Submitting the same document again after a lost response returns the
    /// revision that it was accepted as.
    ///
    /// # Errors
    ///
    /// `Conflict` names the revision that was accepted instead; `Data` lists the
    /// validation errors; after `Platform` the document may have been accepted.
    pub async fn accept(&self, proposal: &Proposal) -> Result<id::Revision> {
        check(&proposal.environment, &proposal.text)?;
        let object = format!("document/{}", digest::sha256(&proposal.text));
        let head = self.head(&proposal.environment).await?;
        let newest = head.as_ref().map_or(0, |head| head.row.revision);
        if newest != proposal.base {
            return resolve_conflict(proposal, &object, head.as_ref());
        }
        let text = proposal.text.clone();
        self.objects.create(&object, text.into()).await?;
        let transaction = self.transaction(proposal, &object, head.as_ref());
        let deadline = self.clock.now() + ACCEPT_TIMEOUT;
        let outcome = commit::resolve(&*self.table, &*self.clock, &transaction, deadline).await?;
        match outcome {
            Outcome::Committed(_) => Ok(newest + 1),
            Outcome::Conflict(_) => {
                let head = self.head(&proposal.environment).await?;
                resolve_conflict(proposal, &object, head.as_ref())
            }
        }
    }

    fn transaction(&self, proposal: &Proposal, object: &str, head: Option<&Head>) -> Transaction {
        let environment = &proposal.environment;
        let revision = proposal.base + 1;
        let row = key::encode(&row::Head {
            revision,
            object: object.to_owned(),
            actor: proposal.actor.clone(),
        });
        let writer = format!("{}/{revision}/{:016x}", proposal.action, random());
        let transaction = Transaction::new(writer)
            .require(
                key::head(environment),
                head.map_or(ABSENT, |head| head.version),
            )
            .put(key::head(environment), row.clone())
            .put(key::revision(environment, revision), row);
        let change = audit::Change {
            actor: proposal.actor.clone(),
            action: proposal.action.clone(),
            target: object.to_owned(),
            from: Some(proposal.base),
            to: Some(revision),
        };
        audit::record(transaction, environment, &*self.clock, change)
    }
}

fn random() -> u64 {
    rand::random()
}

// The head has changed: either this proposal was accepted in an earlier attempt,
// or another one was.
fn resolve_conflict(
    proposal: &Proposal,
    object: &str,
    head: Option<&Head>,
) -> Result<id::Revision> {
    let Some(head) = head else {
        return Err(Code::Conflict(0, String::new()).into());
    };
    let is_own = head.row.revision == proposal.base + 1
        && head.row.object == object
        && head.row.actor == proposal.actor;
    if is_own {
        return Ok(head.row.revision);
    }
    Err(Code::Conflict(head.row.revision, head.row.actor.clone()).into())
}

fn check(environment: &str, text: &str) -> Result<Document> {
    let document = document::parse(text)?;
    if document.environment == environment {
        return Ok(document);
    }
    let expected = environment.to_owned();
    Err(Code::Environment(document.environment, expected).into())
}
