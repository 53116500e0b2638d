//! How the bodies of streamed responses end.

use std::future;
use std::pin::Pin;

use almondbank_gateway::body::{Body, Chunk};
use bytes::Bytes;
use hyper::body::Body as _;
use tokio::sync::mpsc;

// Guards against streams whose relay ended early, sent to the caller as complete ones.
#[tokio::test]
async fn a_body_whose_sender_is_dropped_fails_instead_of_ending() {
    let (chunks, queue) = mpsc::channel(1);
    let mut body = Body::Chunks(queue);
    let half = Chunk::Data(Bytes::from_static(b"half"));
    chunks.send(Ok(half)).await.unwrap();
    drop(chunks);
    let data = future::poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await;
    assert!(data.is_some_and(|data| data.is_ok()));
    let end = future::poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await;
    assert!(end.is_some_and(|end| end.is_err()));
}

#[tokio::test]
async fn a_body_ends_where_its_sender_says_so() {
    let (chunks, queue) = mpsc::channel(1);
    let mut body = Body::Chunks(queue);
    chunks.send(Ok(Chunk::End)).await.unwrap();
    drop(chunks);
    let end = future::poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await;
    assert!(end.is_none());
}
