//! Numbers of connections and bodies that were ended for want of memory or descriptors.

/// Numbers since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Ended {
    /// Connections that were closed for new ones.
    pub connections_evicted: u64,
    /// Connections that were closed when they were accepted.
    pub connections_refused: u64,
    /// Incomplete bodies that have given way to others.
    pub bodies_evicted: u64,
    /// Bodies that there was no memory for.
    pub bodies_refused: u64,
}

impl Ended {
    /// Returns the increase of each number since `earlier`, with its name.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> [(&'static str, u64); 4] {
        let increase = |number: fn(&Self) -> u64| number(self).saturating_sub(number(earlier));
        [
            (
                "connections_evicted",
                increase(|ended| ended.connections_evicted),
            ),
            (
                "connections_refused",
                increase(|ended| ended.connections_refused),
            ),
            ("bodies_evicted", increase(|ended| ended.bodies_evicted)),
            ("bodies_refused", increase(|ended| ended.bodies_refused)),
        ]
    }
}
