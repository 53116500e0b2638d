//! Body of a request to a runner.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as _, Frame, SizeHint};

use super::Upload;

/// A whole body, which records when the HTTP library has taken it.
#[derive(Debug)]
pub(crate) struct Body {
    inner: Full<Bytes>,
    upload: Upload,
}

impl Body {
    pub(crate) fn new(inner: Full<Bytes>, upload: Upload) -> Self {
        if inner.is_end_stream() {
            upload.record_buffered();
        }
        Self { inner, upload }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let body = self.get_mut();
        let frame = Pin::new(&mut body.inner).poll_frame(context);
        if body.inner.is_end_stream() {
            body.upload.record_buffered();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
