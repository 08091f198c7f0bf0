//! Directed links: each does what its rule says, and answers go the same way back.

use std::net::SocketAddr;
use std::time::Duration;

use stonefold_emulator::{DatagramLinks, LinkRule};
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout};

/// Long enough for any machine; reached only by a test that fails.
const PATIENCE: Duration = Duration::from_secs(10);
const DATAGRAMS: usize = 2_000;

async fn sockets(count: usize) -> (Vec<UdpSocket>, Vec<SocketAddr>) {
    let mut sockets = Vec::new();
    for _ in 0..count {
        sockets.push(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    }
    let addresses = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
    (sockets, addresses)
}

async fn received(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 64];
    let (length, from) = timeout(PATIENCE, socket.recv_from(&mut buffer)).await.expect("a datagram").unwrap();
    (buffer[..length].to_vec(), from)
}

#[tokio::test]
async fn a_datagram_comes_from_its_senders_front_and_its_answer_goes_back() {
    let (sockets, addresses) = sockets(2).await;
    let links = DatagramLinks::start(addresses, 1).await.unwrap();
    sockets[0].send_to(b"question", links.proxy_addr(1).unwrap()).await.unwrap();
    let (bytes, from) = received(&sockets[1]).await;
    assert_eq!((&bytes[..], from), (&b"question"[..], links.proxy_addr(0).unwrap()));
    sockets[1].send_to(b"answer", from).await.unwrap();
    let (bytes, from) = received(&sockets[0]).await;
    assert_eq!((&bytes[..], from), (&b"answer"[..], links.proxy_addr(1).unwrap()));
}

#[tokio::test]
async fn a_cut_holds_in_its_direction_alone_until_it_is_healed() {
    let (sockets, addresses) = sockets(2).await;
    let links = DatagramLinks::start(addresses, 1).await.unwrap();
    links.set(0, 1, LinkRule::CUT);
    sockets[0].send_to(b"lost", links.proxy_addr(1).unwrap()).await.unwrap();
    sockets[1].send_to(b"back", links.proxy_addr(0).unwrap()).await.unwrap();
    assert_eq!(received(&sockets[0]).await.0, b"back");
    while links.counts().lost == 0 {
        tokio::task::yield_now().await;
    }
    links.set(0, 1, LinkRule::OPEN);
    sockets[0].send_to(b"healed", links.proxy_addr(1).unwrap()).await.unwrap();
    assert_eq!(received(&sockets[1]).await.0, b"healed");
}

#[tokio::test]
async fn loss_and_doubling_are_as_stated_and_all_is_counted() {
    let (sockets, addresses) = sockets(2).await;
    let links = DatagramLinks::start(addresses, 1).await.unwrap();
    links.set_all(|_, _| LinkRule { loss: 0.3, duplicated: 0.1, ..LinkRule::OPEN });
    for n in 0..DATAGRAMS {
        sockets[0].send_to(&n.to_le_bytes(), links.proxy_addr(1).unwrap()).await.unwrap();
        // Counted before the next is sent, so that no socket's buffer overflows.
        let handled = |links: &DatagramLinks| links.counts().passed + links.counts().lost;
        while (handled(&links) as usize) <= n {
            tokio::task::yield_now().await;
        }
    }
    let counts = links.counts();
    let expected = DATAGRAMS as f64 * 1.1;
    let lost = counts.lost as f64 / expected;
    assert!((0.25..0.35).contains(&lost), "{counts:?}");
    assert_eq!((counts.dropped, counts.unknown), (0, 0));
}

#[tokio::test]
async fn a_delay_is_kept_and_lets_datagrams_overtake() {
    const LEAST: Duration = Duration::from_millis(20);
    let (sockets, addresses) = sockets(2).await;
    let links = DatagramLinks::start(addresses, 1).await.unwrap();
    links.set_all(|_, _| LinkRule { delay: (LEAST, 4 * LEAST), ..LinkRule::OPEN });
    let start = Instant::now();
    for n in 0..50_u8 {
        sockets[0].send_to(&[n], links.proxy_addr(1).unwrap()).await.unwrap();
    }
    let mut order = Vec::new();
    for _ in 0..50 {
        order.push(received(&sockets[1]).await.0[0]);
        assert!(start.elapsed() >= LEAST);
    }
    assert!(!order.is_sorted(), "none was overtaken");
}

#[tokio::test]
async fn a_stranger_is_not_passed_on() {
    let (sockets, addresses) = sockets(2).await;
    let links = DatagramLinks::start(addresses[..1].to_vec(), 1).await.unwrap();
    sockets[1].send_to(b"?", links.proxy_addr(0).unwrap()).await.unwrap();
    while links.counts().unknown == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(links.counts().passed, 0);
}
