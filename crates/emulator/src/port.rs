//! Listeners, one for each node, that can be closed and opened again at the same addresses.

use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Mutex;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tracing::warn;

use crate::error::EmulatorError;
use crate::lock::locked;

/// After an accept that failed, for want of descriptors say.
const PAUSE: Duration = Duration::from_millis(20);
/// How often an address that is not free again yet is tried.
const AGAIN: Duration = Duration::from_millis(5);

/// One listener for each node.
pub(crate) struct Listeners {
    addrs: Vec<SocketAddr>,
    /// Sockets that are bound to the addresses and don't listen: so a closed address refuses connections, and is never
    /// given to another server, which would get what is sent to this one.
    _reserved: Vec<Socket>,
    /// Open, and not yet served.
    fresh: Mutex<Vec<TcpListener>>,
    /// Ends all that was accepted so far, and the listening.
    run: Mutex<CancellationToken>,
}

impl Listeners {
    pub async fn open(ip: IpAddr, nodes: usize) -> Result<Listeners, EmulatorError> {
        let mut fresh = Vec::with_capacity(nodes);
        let mut reserved = Vec::with_capacity(nodes);
        for _ in 0..nodes {
            let (socket, at) = reserve(ip)?;
            reserved.push(socket);
            fresh.push(listen(at).await?);
        }
        let addrs = fresh.iter().map(addr_of).collect();
        Ok(Listeners { addrs, _reserved: reserved, fresh: Mutex::new(fresh), run: Mutex::default() })
    }

    pub fn addr(&self, node: usize) -> Option<SocketAddr> {
        self.addrs.get(node).copied()
    }

    /// Accepts until the port is closed or `stop`; each connection gets a token that ends it.
    pub fn serve<F, Fut>(&self, stop: &CancellationToken, each: F)
    where
        F: Fn(usize, TcpStream, CancellationToken) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let run = stop.child_token();
        *locked(&self.run) = run.clone();
        for (node, listener) in locked(&self.fresh).drain(..).enumerate() {
            let each = each.clone();
            accept(listener, run.clone(), move |stream, end| each(node, stream, end));
        }
    }

    /// Closes the listeners and resets their connections.
    pub fn close(&self) {
        locked(&self.run).cancel();
    }

    /// Opens the listeners again, at the same addresses.
    pub async fn reopen(&self, stop: &CancellationToken) {
        let mut fresh = Vec::with_capacity(self.addrs.len());
        for &at in &self.addrs {
            // The old listener is closed by its own task, a moment after it was told.
            let listener = loop {
                match TcpListener::bind(at).await {
                    Ok(listener) => break listener,
                    Err(_) if stop.is_cancelled() => return,
                    Err(_) => tokio::time::sleep(AGAIN).await,
                }
            };
            fresh.push(listener);
        }
        *locked(&self.fresh) = fresh;
    }
}

/// Accepts connections until it is told to end; each gets a token that ends it too.
pub(crate) fn accept<F, Fut>(listener: TcpListener, end: CancellationToken, each: F)
where
    F: Fn(TcpStream, CancellationToken) -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = end.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true); // slower without, no worse
                    tokio::spawn(each(stream, end.child_token()));
                }
                Err(error) => {
                    warn!(event = "accept_failed", front = "emulator", %error, "a connection is not taken");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    });
}

/// Closes a connection so that the peer sees a reset, not an end.
pub(crate) fn reset(stream: TcpStream) {
    // Where the option can't be set the peer sees an end instead, which is a break too.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drop(stream);
}

/// Binds a free port of an address without listening. Others that set `SO_REUSEADDR` may listen there all the same, as
/// listeners do; the kernel gives the port to nobody of itself.
fn reserve(ip: IpAddr) -> Result<(Socket, SocketAddr), EmulatorError> {
    let any = SocketAddr::new(ip, 0);
    let bind = || {
        let socket = Socket::new(Domain::for_address(any), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&any.into())?;
        let at = socket.local_addr()?.as_socket().unwrap_or(any);
        Ok((socket, at))
    };
    bind().map_err(|source| EmulatorError::Listen { at: any, source })
}

/// Listens at an address.
pub(crate) async fn listen(at: SocketAddr) -> Result<TcpListener, EmulatorError> {
    TcpListener::bind(at).await.map_err(|source| EmulatorError::Listen { at, source })
}

pub(crate) fn addr_of(listener: &TcpListener) -> SocketAddr {
    // A bound listener has an address; were it gone, nothing could be told apart from this.
    listener.local_addr().unwrap_or_else(|_| SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0))
}
