//! A peer whose frames the tests write by hand.

use stonefold_store::codec::{decode, encode};
use stonefold_store::feed::frame::{Hello, PublisherFrame, decode_frame};
use stonefold_store::message::Caller;
use stonefold_store::wire::{
    ClientHandshake, HELLO_BYTES, Opener, PROOF_BYTES, Sealer, ServerHandshake, WELCOME_BYTES,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::nodes::{CLUSTER, TIMEOUT, keys};

/// A connection on which the test itself sends the frames of a subscriber or a publisher.
pub(crate) struct RawPeer {
    stream: TcpStream,
    sealer: Sealer,
    opener: Opener,
}

impl RawPeer {
    /// Connects to a publisher as a subscriber, up to and including the introduction.
    pub(crate) async fn connect(addr: &str) -> RawPeer {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let (handshake, hello) = ClientHandshake::new(&keys(1).subscriber_keys(), [3; 32]);
        stream.write_all(&hello).await.unwrap();
        let mut welcome = [0; WELCOME_BYTES];
        stream.read_exact(&mut welcome).await.unwrap();
        let (key, proof) = handshake.finish(&welcome).unwrap();
        stream.write_all(&proof).await.unwrap();
        let mut peer =
            RawPeer { stream, sealer: Sealer::new(key.clone(), true), opener: Opener::new(key, false) };
        peer.send(&encode("an introduction", &(CLUSTER, Caller::Subscriber, String::new())).unwrap()).await;
        let introduction_result: Result<(), String> =
            decode("an introduction's answer", &peer.receive().await.unwrap()).unwrap();
        assert_eq!(introduction_result, Ok(()));
        peer
    }

    /// Accepts a subscriber's connection as a publisher, up to and including the introduction.
    pub(crate) async fn accept(listener: &TcpListener) -> RawPeer {
        let (mut stream, _) = timeout(TIMEOUT, listener.accept()).await.unwrap().unwrap();
        let mut hello = [0; HELLO_BYTES];
        stream.read_exact(&mut hello).await.unwrap();
        let (handshake, welcome) = ServerHandshake::new(&keys(1).subscriber_keys(), &hello, [4; 32]).unwrap();
        stream.write_all(&welcome).await.unwrap();
        let mut proof = [0; PROOF_BYTES];
        stream.read_exact(&mut proof).await.unwrap();
        let key = handshake.finish(&proof).unwrap();
        let mut peer =
            RawPeer { stream, sealer: Sealer::new(key.clone(), false), opener: Opener::new(key, true) };
        peer.receive().await.unwrap();
        peer.send(&encode("an introduction's answer", &Ok::<(), String>(())).unwrap()).await;
        peer
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) {
        let frame = self.sealer.seal(bytes).unwrap();
        let _ = self.stream.write_all(&frame).await; // the other side may have closed the connection
    }

    /// The next message; none if the connection is closed.
    pub(crate) async fn receive(&mut self) -> Option<Vec<u8>> {
        let mut head = [0; 4];
        timeout(TIMEOUT, self.stream.read_exact(&mut head)).await.unwrap().ok()?;
        let mut rest = vec![0; self.opener.sealed_len(head).unwrap()];
        self.stream.read_exact(&mut rest).await.ok()?;
        Some(self.opener.open(&rest).unwrap().to_vec())
    }

    /// All frames that arrive until the connection is closed.
    pub(crate) async fn receive_until_closed(&mut self) -> Vec<PublisherFrame> {
        let mut frames = Vec::new();
        while let Some(bytes) = self.receive().await {
            frames.push(decode_frame(&bytes).unwrap());
        }
        frames
    }
}

/// The hello of a subscriber at this revision that knows no list and no purges.
pub(crate) fn hello(revision: u64) -> Hello {
    Hello { revision, list_version: 0, last_purge: None, time: 0 }
}
