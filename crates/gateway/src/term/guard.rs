//! End of a term that its task does not survive.

use std::sync::Arc;

use crate::gateway::Gateway;
use crate::term::Term;

/// Ends a term when it is dropped, also by a panic: this instance sends no more orders under its
/// lease and does not report to be the leader.
pub(crate) struct Guard<'a> {
    gateway: &'a Gateway,
    term: Arc<Term>,
}

impl<'a> Guard<'a> {
    /// Begins the term.
    pub(crate) fn new(gateway: &'a Gateway, term: &Arc<Term>) -> Self {
        gateway.set_term(Some(term));
        Self {
            gateway,
            term: Arc::clone(term),
        }
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.term.authority.ended.cancel();
        self.gateway.set_term(None);
    }
}
