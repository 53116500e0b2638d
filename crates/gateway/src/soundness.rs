//! When runners last responded to what may crash them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::suspect::Suspect;

/// Most suspects of one generation. The one before the current is kept, too.
const GENERATION: usize = 4096;

/// Times of the last complete responses, by suspect. Of too many suspects those without a
/// recent response make room.
#[derive(Debug, Default)]
pub(crate) struct Soundness {
    current: BTreeMap<Suspect, Duration>,
    before: BTreeMap<Suspect, Duration>,
}

impl Soundness {
    pub(crate) fn record(&mut self, suspect: &Suspect, now: Duration) {
        if let Some(at) = self.current.get_mut(suspect) {
            *at = now;
            return;
        }
        if self.current.len() >= GENERATION {
            self.before = std::mem::take(&mut self.current);
        }
        self.current.insert(suspect.clone(), now);
    }

    /// Returns when a runner last responded to the suspect, if that is known.
    pub(crate) fn last(&self, suspect: &Suspect) -> Option<Duration> {
        let last = self.current.get(suspect);
        last.or_else(|| self.before.get(suspect)).copied()
    }

    /// Removes responses from before `oldest`.
    pub(crate) fn expire(&mut self, oldest: Duration) {
        self.current.retain(|_, at| *at >= oldest);
        self.before.retain(|_, at| *at >= oldest);
    }
}
