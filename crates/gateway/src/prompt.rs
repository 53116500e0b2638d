//! Parts of a prompt, as the head of a request lists them.

use hyper::header::HeaderValue;

/// One part of a prompt. Prompts with equal part ids share that part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part<'a> {
    /// Id of the part.
    pub id: &'a str,
    /// Length in tokens.
    pub tokens: u64,
}

/// Returns the first part of a list, and the rest of the list.
pub type Split = for<'a> fn(&'a str) -> Option<(Part<'a>, &'a str)>;

/// Parts of a prompt, in order. Callers choose their number, so they are kept as the text that
/// lists them, which shares the memory of the request's head.
#[derive(Clone, Debug)]
pub struct Parts {
    list: HeaderValue,
    split: Split,
}

impl Parts {
    /// Creates the parts that `list` names, as `split` reads it.
    #[must_use]
    pub fn new(list: HeaderValue, split: Split) -> Self {
        Self { list, split }
    }

    /// Returns the parts, in order.
    pub fn iter(&self) -> impl Iterator<Item = Part<'_>> {
        let mut rest = self.list.to_str().unwrap_or_default();
        std::iter::from_fn(move || {
            let (part, after) = (self.split)(rest)?;
            rest = after;
            Some(part)
        })
    }

    /// Returns the parts that other requests may share: all but the last, which belongs to this
    /// request or its session.
    pub fn shared(&self) -> impl Iterator<Item = Part<'_>> {
        let mut parts = self.iter().peekable();
        std::iter::from_fn(move || {
            let part = parts.next()?;
            parts.peek()?;
            Some(part)
        })
    }
}

impl Default for Parts {
    fn default() -> Self {
        Self::new(HeaderValue::from_static(""), |_| None)
    }
}
