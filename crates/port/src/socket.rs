//! CBOR messages over a WebSocket between two instances.

use std::time::Duration;

use almondbank_wire::codec;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};

use crate::Result;
use crate::error::Code;

/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// A WebSocket between two instances.
pub type Stream = WebSocketStream<TcpStream>;

/// Sending half.
#[derive(Debug)]
pub struct Writer {
    inner: SplitSink<Stream, Message>,
}

/// Receiving half.
#[derive(Debug)]
pub struct Reader {
    inner: SplitStream<Stream>,
}

/// Limits for every connection between instances.
#[must_use]
pub fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Splits a WebSocket into its halves.
#[must_use]
pub fn split(stream: Stream) -> (Writer, Reader) {
    let (sink, stream) = stream.split();
    (Writer { inner: sink }, Reader { inner: stream })
}

impl Writer {
    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<()> {
        let bytes = codec::encode(message);
        let sent = self.inner.send(Message::Binary(bytes.into())).await;
        sent.map_err(|error| Code::Broken(error.to_string()).into())
    }
}

impl Reader {
    /// Receives the next message, or fails after `silence` without one.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke, was silent, or carried something else.
    pub async fn receive<T: DeserializeOwned>(&mut self, silence: Duration) -> Result<T> {
        time::timeout(silence, self.next())
            .await
            .map_err(|_| Code::Timeout)?
    }

    /// Receives the next message, however long that takes.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke or carried something else.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<T> {
        loop {
            let received: Option<tungstenite::Result<Message>> = self.inner.next().await;
            let message = received
                .ok_or_else(|| Code::Broken("closed".to_owned()))?
                .map_err(|error| Code::Broken(error.to_string()))?;
            match message {
                Message::Binary(bytes) => {
                    let typed = codec::decode(&bytes)
                        .map_err(|error| Code::Malformed(error.to_string()))?;
                    return Ok(typed);
                }
                Message::Close(_) => return Err(Code::Broken("closed".to_owned()).into()),
                Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
                Message::Text(_) => return Err(Code::Malformed("text".to_owned()).into()),
            }
        }
    }
}
