//! Memory that response bodies without end take in all.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use almondbank_gateway::buffering::Memory;
use bytes::Bytes;
use hyper::body::{Body, Frame};

const CHUNK_BYTES: usize = 64 << 10;
static CHUNK: [u8; CHUNK_BYTES] = [b'x'; CHUNK_BYTES];
/// Bodies that are read at once.
const BODIES: usize = 40;
/// Bytes that they may take in all.
const MAX_BYTES: usize = 48 << 20;

/// A body of equal chunks that come one at a time.
struct Chunks {
    left: usize,
    is_ready: bool,
    memory: Memory,
}

impl Chunks {
    fn new(count: usize, memory: &Memory) -> Self {
        Self {
            left: count,
            is_ready: false,
            memory: memory.clone(),
        }
    }
}

impl Body for Chunks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let taken = self.memory.taken();
        assert!(taken <= MAX_BYTES, "{taken} bytes");
        if self.left == 0 {
            return Poll::Ready(None);
        }
        self.is_ready = !self.is_ready;
        if self.is_ready {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.left -= 1;
        let chunk = Bytes::from_static(&CHUNK);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }
}

// Guards against an instance that runs out of memory, as it keeps the bodies of errors in case
// no other runner succeeds.
#[tokio::test]
async fn bodies_without_end_take_bounded_memory_in_all() {
    let memory = Memory::default();
    let mut reading = tokio::task::JoinSet::new();
    for _ in 0..BODIES {
        let body = Chunks::new(usize::MAX, &memory);
        let memory = memory.clone();
        reading.spawn(async move { memory.read(body).await.is_err() });
    }
    let small = memory.read(Chunks::new(4, &memory)).await;
    assert_eq!(small.unwrap().len(), 4 * CHUNK_BYTES);
    assert!(reading.join_all().await.into_iter().all(|failed| failed));
    assert_eq!(memory.taken(), 0);
    let large = memory.read(Chunks::new(100, &memory)).await;
    assert_eq!(large.unwrap().len(), 100 * CHUNK_BYTES);
}
