//! A server's listeners, one for each node, which can be closed and opened again at the same addresses.

use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Mutex;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tracing::warn;

use crate::error::EmulatorError;
use crate::lock::lock;

/// Delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval between attempts to listen at an address that is still in use.
const REBIND_INTERVAL: Duration = Duration::from_millis(5);

/// One listener for each node.
pub(crate) struct Listeners {
    addrs: Vec<SocketAddr>,
    /// Sockets that are bound to the addresses and do not listen: a closed address refuses connections, and the kernel
    /// gives it to no other server, which would receive what is sent to this one.
    _reserved: Vec<Socket>,
    /// Listeners that are open and not yet served.
    pending: Mutex<Vec<TcpListener>>,
    /// Cancelled to close the listeners and reset the connections accepted by them.
    serving: Mutex<CancellationToken>,
}

impl Listeners {
    pub async fn open(ip: IpAddr, nodes: usize) -> Result<Listeners, EmulatorError> {
        let mut pending = Vec::with_capacity(nodes);
        let mut reserved = Vec::with_capacity(nodes);
        for _ in 0..nodes {
            let (socket, at) = reserve_addr(ip)?;
            reserved.push(socket);
            pending.push(listen(at).await?);
        }
        let addrs = pending.iter().map(local_addr).collect();
        Ok(Listeners { addrs, _reserved: reserved, pending: Mutex::new(pending), serving: Mutex::default() })
    }

    pub fn addr(&self, node: usize) -> Option<SocketAddr> {
        self.addrs.get(node).copied()
    }

    /// Accepts connections until the listeners are closed or `stop` is cancelled; each connection gets a token that is
    /// cancelled with them.
    pub fn serve<F, Fut>(&self, stop: &CancellationToken, handler: F)
    where
        F: Fn(usize, TcpStream, CancellationToken) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let serving = stop.child_token();
        *lock(&self.serving) = serving.clone();
        for (node, listener) in lock(&self.pending).drain(..).enumerate() {
            let handler = handler.clone();
            accept(listener, serving.clone(), move |stream, closing| handler(node, stream, closing));
        }
    }

    /// Closes the listeners and resets their connections.
    pub fn close(&self) {
        lock(&self.serving).cancel();
    }

    /// Opens the listeners again, at the same addresses.
    pub async fn reopen(&self, stop: &CancellationToken) {
        let mut pending = Vec::with_capacity(self.addrs.len());
        for &at in &self.addrs {
            // The task of the old listener closes it a moment after the cancellation.
            let listener = loop {
                match TcpListener::bind(at).await {
                    Ok(listener) => break listener,
                    Err(_) if stop.is_cancelled() => return,
                    Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
                }
            };
            pending.push(listener);
        }
        *lock(&self.pending) = pending;
    }
}

/// Accepts connections until `closing` is cancelled; each gets a child token of it.
pub(crate) fn accept<F, Fut>(listener: TcpListener, closing: CancellationToken, handler: F)
where
    F: Fn(TcpStream, CancellationToken) -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = closing.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true); // without it answers are only slower
                    tokio::spawn(handler(stream, closing.child_token()));
                }
                Err(error) => {
                    warn!(event = "accept_failed", front = "emulator", %error, "a connection could not be accepted");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
}

/// Closes a connection with a reset instead of an orderly end.
pub(crate) fn reset(stream: TcpStream) {
    // If the option can't be set, the peer sees an orderly end, which breaks the connection too.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}

/// Binds a free port of an address without listening. Sockets with `SO_REUSEADDR`, such as the server's listeners, can
/// still listen there; the kernel does not choose the port for any other socket.
fn reserve_addr(ip: IpAddr) -> Result<(Socket, SocketAddr), EmulatorError> {
    let any_port = SocketAddr::new(ip, 0);
    let bind = || {
        let socket = Socket::new(Domain::for_address(any_port), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&any_port.into())?;
        let at = socket.local_addr()?.as_socket().unwrap_or(any_port);
        Ok((socket, at))
    };
    bind().map_err(|source| EmulatorError::Listen { at: any_port, source })
}

/// Listens at an address.
pub(crate) async fn listen(at: SocketAddr) -> Result<TcpListener, EmulatorError> {
    TcpListener::bind(at).await.map_err(|source| EmulatorError::Listen { at, source })
}

pub(crate) fn local_addr(listener: &TcpListener) -> SocketAddr {
    // A bound listener has an address, so this does not fail.
    listener.local_addr().unwrap_or_else(|_| SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0))
}
