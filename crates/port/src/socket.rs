//! CBOR messages over WebSocket connections between instances.

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

const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// A WebSocket connection between two instances.
pub type Stream = WebSocketStream<TcpStream>;

/// Sending half of a connection.
#[derive(Debug)]
pub struct Writer {
    inner: SplitSink<Stream, Message>,
}

/// Receiving half of a connection.
#[derive(Debug)]
pub struct Reader {
    inner: SplitStream<Stream>,
}

/// Returns the configuration of connections between instances, which limits
/// messages to 16 MiB.
#[must_use]
pub fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Splits a connection into its sending and receiving half.
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
    /// Fails if the connection is lost.
    pub async fn send(&mut self, message: &impl Serialize) -> Result<()> {
        let bytes = codec::encode(message);
        let sent = self.inner.send(Message::Binary(bytes.into())).await;
        sent.map_err(|error| Code::Broken(error.to_string()).into())
    }
}

impl Reader {
    /// Receives the next message within `idle_timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost, no message arrives in time, or the message
    /// is not valid CBOR of type `T`.
    pub async fn receive<T: DeserializeOwned>(&mut self, idle_timeout: Duration) -> Result<T> {
        time::timeout(idle_timeout, self.next())
            .await
            .map_err(|_| Code::Timeout)?
    }

    /// Receives the next message without a timeout.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost or the message is not valid CBOR of type `T`.
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
