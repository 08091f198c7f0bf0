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

use super::nodes::{CLUSTER, PATIENCE, keys};

/// A connection on which the test sends the frames of a subscriber or a publisher itself.
pub(crate) struct RawPeer {
    stream: TcpStream,
    sealer: Sealer,
    opener: Opener,
}

impl RawPeer {
    pub(crate) async fn connect(at: &str) -> RawPeer {
        let mut stream = TcpStream::connect(at).await.unwrap();
        let (asking, hello) = ClientHandshake::new(&keys(1).subscriber_keys(), [3; 32]);
        stream.write_all(&hello).await.unwrap();
        let mut welcome = [0; WELCOME_BYTES];
        stream.read_exact(&mut welcome).await.unwrap();
        let (key, proof) = asking.finish(&welcome).unwrap();
        stream.write_all(&proof).await.unwrap();
        let mut raw =
            RawPeer { stream, sealer: Sealer::new(key.clone(), true), opener: Opener::new(key, false) };
        raw.send(&encode("an introduction", &(CLUSTER, Caller::Subscriber, String::new())).unwrap()).await;
        let said: Result<(), String> = decode("an answer", &raw.receive().await.unwrap()).unwrap();
        assert_eq!(said, Ok(()));
        raw
    }

    pub(crate) async fn accept(listener: &TcpListener) -> RawPeer {
        let (mut stream, _) = timeout(PATIENCE, listener.accept()).await.unwrap().unwrap();
        let mut hello = [0; HELLO_BYTES];
        stream.read_exact(&mut hello).await.unwrap();
        let (welcoming, welcome) = ServerHandshake::new(&keys(1).subscriber_keys(), &hello, [4; 32]).unwrap();
        stream.write_all(&welcome).await.unwrap();
        let mut proof = [0; PROOF_BYTES];
        stream.read_exact(&mut proof).await.unwrap();
        let key = welcoming.finish(&proof).unwrap();
        let mut raw =
            RawPeer { stream, sealer: Sealer::new(key.clone(), false), opener: Opener::new(key, true) };
        raw.receive().await.unwrap();
        raw.send(&encode("an answer", &Ok::<(), String>(())).unwrap()).await;
        raw
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) {
        let frame = self.sealer.seal(bytes).unwrap();
        let _ = self.stream.write_all(&frame).await; // it may be closed already
    }

    pub(crate) async fn receive(&mut self) -> Option<Vec<u8>> {
        let mut head = [0; 4];
        timeout(PATIENCE, self.stream.read_exact(&mut head)).await.unwrap().ok()?;
        let mut rest = vec![0; self.opener.sealed_len(head).unwrap()];
        self.stream.read_exact(&mut rest).await.ok()?;
        Some(self.opener.open(&rest).unwrap().to_vec())
    }

    /// The frames that it receives until the connection is closed.
    pub(crate) async fn receive_until_closed(&mut self) -> Vec<PublisherFrame> {
        let mut all = Vec::new();
        while let Some(bytes) = self.receive().await {
            all.push(decode_frame(&bytes).unwrap());
        }
        all
    }
}

pub(crate) fn hello(revision: u64) -> Hello {
    Hello { revision, list_version: 0, last_purge: None, time: 0 }
}
