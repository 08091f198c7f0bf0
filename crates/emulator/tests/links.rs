//! Directed links: each applies its rule, and answers take the same way back.

use std::net::SocketAddr;
use std::time::Duration;

use stonefold_emulator::{DatagramLinks, LinkRule};
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout};

/// Time limit of every wait; only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(10);
const DATAGRAMS: usize = 2_000;

async fn sockets(count: usize) -> (Vec<UdpSocket>, Vec<SocketAddr>) {
    let mut sockets = Vec::new();
    for _ in 0..count {
        sockets.push(UdpSocket::bind("127.0.0.1:0").await.unwrap());
    }
    let addresses = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
    (sockets, addresses)
}

async fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buffer = [0; 64];
    let (length, from) = timeout(TIMEOUT, socket.recv_from(&mut buffer)).await.expect("a datagram").unwrap();
    (buffer[..length].to_vec(), from)
}

#[tokio::test]
async fn a_datagram_comes_from_the_senders_proxy_and_its_answer_returns() {
    let (sockets, addresses) = sockets(2).await;
    let links = DatagramLinks::start(addresses, 1).await.unwrap();
    sockets[0].send_to(b"question", links.proxy_addr(1).unwrap()).await.unwrap();
    let (bytes, from) = receive(&sockets[1]).await;
    assert_eq!((&bytes[..], from), (&b"question"[..], links.proxy_addr(0).unwrap()));
    sockets[1].send_to(b"answer", from).await.unwrap();
    let (bytes, from) = receive(&sockets[0]).await;
    assert_eq!((&bytes[..], from), (&b"answer"[..], links.proxy_addr(1).unwrap()));
}

#[tokio::test]
async fn a_cut_affects_one_direction_until_it_is_lifted() {
    let (sockets, addresses) = sockets(2).await;
    let links = DatagramLinks::start(addresses, 1).await.unwrap();
    links.set(0, 1, LinkRule::CUT);
    sockets[0].send_to(b"lost", links.proxy_addr(1).unwrap()).await.unwrap();
    sockets[1].send_to(b"back", links.proxy_addr(0).unwrap()).await.unwrap();
    assert_eq!(receive(&sockets[0]).await.0, b"back");
    while links.counts().lost == 0 {
        tokio::task::yield_now().await;
    }
    links.set(0, 1, LinkRule::OPEN);
    sockets[0].send_to(b"healed", links.proxy_addr(1).unwrap()).await.unwrap();
    assert_eq!(receive(&sockets[1]).await.0, b"healed");
}

#[tokio::test]
async fn loss_and_duplication_match_the_rule_and_every_datagram_is_counted() {
    let (sockets, addresses) = sockets(2).await;
    let links = DatagramLinks::start(addresses, 1).await.unwrap();
    links.set_all(|_, _| LinkRule { loss: 0.3, duplicated: 0.1, ..LinkRule::OPEN });
    for n in 0..DATAGRAMS {
        sockets[0].send_to(&n.to_le_bytes(), links.proxy_addr(1).unwrap()).await.unwrap();
        // Each datagram is counted before the next is sent, so that no socket's buffer overflows.
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
async fn delayed_datagrams_come_no_sooner_and_overtake_each_other() {
    const MIN_DELAY: Duration = Duration::from_millis(20);
    let (sockets, addresses) = sockets(2).await;
    let links = DatagramLinks::start(addresses, 1).await.unwrap();
    links.set_all(|_, _| LinkRule { delay: (MIN_DELAY, 4 * MIN_DELAY), ..LinkRule::OPEN });
    let start = Instant::now();
    for n in 0..50_u8 {
        sockets[0].send_to(&[n], links.proxy_addr(1).unwrap()).await.unwrap();
    }
    let mut order = Vec::new();
    for _ in 0..50 {
        order.push(receive(&sockets[1]).await.0[0]);
        assert!(start.elapsed() >= MIN_DELAY);
    }
    assert!(!order.is_sorted(), "no datagram overtook another");
}

#[tokio::test]
async fn a_datagram_from_an_unknown_sender_is_not_forwarded() {
    let (sockets, addresses) = sockets(2).await;
    let links = DatagramLinks::start(addresses[..1].to_vec(), 1).await.unwrap();
    sockets[1].send_to(b"?", links.proxy_addr(0).unwrap()).await.unwrap();
    while links.counts().unknown == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(links.counts().passed, 0);
}
