//! Messages over a WebSocket between two instances.

use std::time::Duration;

use almondbank_wire::{codec, peer};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};

use crate::Result;
use crate::error::Code;

/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

pub(crate) type Stream = WebSocketStream<TcpStream>;

/// Sending half.
#[derive(Debug)]
pub(crate) struct Writer {
    inner: SplitSink<Stream, Message>,
}

/// Receiving half.
#[derive(Debug)]
pub(crate) struct Reader {
    inner: SplitStream<Stream>,
}

/// Limits for every connection between instances.
pub(crate) fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

pub(crate) fn split(stream: Stream) -> (Writer, Reader) {
    let (sink, stream) = stream.split();
    (Writer { inner: sink }, Reader { inner: stream })
}

impl Writer {
    pub(crate) async fn send(&mut self, message: &peer::Message) -> Result<()> {
        let bytes = codec::encode(message);
        let sent = self.inner.send(Message::Binary(bytes.into())).await;
        sent.map_err(|error| Code::Socket(Box::new(error)).into())
    }
}

impl Reader {
    /// Receives the next message, or fails after `silence` without one.
    pub(crate) async fn receive(&mut self, silence: Duration) -> Result<peer::Message> {
        time::timeout(silence, self.next())
            .await
            .map_err(|_| Code::Silent)?
    }

    async fn next(&mut self) -> Result<peer::Message> {
        loop {
            let received: Option<tungstenite::Result<Message>> = self.inner.next().await;
            let message = received
                .ok_or(Code::Closed)?
                .map_err(|error| Code::Socket(Box::new(error)))?;
            match message {
                Message::Binary(bytes) => {
                    let typed = codec::decode(&bytes).map_err(Code::Message)?;
                    return Ok(typed);
                }
                Message::Close(_) => return Err(Code::Closed.into()),
                Message::Ping(_) | Message::Pong(_) | Message::Frame(_) => {}
                Message::Text(_) => return Err(Code::Unexpected.into()),
            }
        }
    }
}
