//! A node under test, with the scripted servers and the clients around it. All of them wait for events, not for times.
#![allow(dead_code, unreachable_pub)] // each test file uses a part of this module

use std::ffi::OsString;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// How long a test waits for an event. It is long enough for any machine: only a test that fails reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// More bytes than the buffers of both kernels hold: a write of this length does not complete while the peer reads
/// nothing, provided that the peer is [a server](listener_with_small_receive_buffer) or
/// [a client](Node::client_with_small_receive_buffer) with a small receive buffer.
pub const BYTES_BEYOND_BUFFERS: usize = 4_000_000;
/// The receive buffer of such a peer, in bytes.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// A listener whose connections have a small receive buffer. With the kernel's default buffers, a write of 4 MB may
/// complete though nobody reads it.
pub fn listener_with_small_receive_buffer() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES).unwrap(); // accepted connections inherit it
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(128).unwrap();
    socket.into()
}

/// A request that a scripted server received, and the connection to reply on.
pub struct Call {
    /// The words of a command, or the method, path, header lines and body of an HTTP request.
    pub words: Vec<String>,
    /// The number of the connection in the order in which the server accepted them, from 0.
    pub connection: usize,
    stream: TcpStream,
}

impl Call {
    /// Writes these bytes to the connection.
    pub fn reply(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).unwrap();
    }
    /// Writes these bytes to a connection that the node may have closed.
    pub fn try_reply(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes());
    }
    /// Replies with a cached value.
    pub fn reply_value(mut self, value: &str) {
        self.reply(format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()));
    }
    /// Replies that the cache does not hold the key.
    pub fn reply_miss(mut self) {
        self.reply("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    }
    /// Replies with an HTTP response.
    pub fn reply_http(mut self, status: &str, body: &str) {
        self.reply(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
    /// Replies with an HTTP response to a request that the node may give up meanwhile.
    pub fn try_reply_http(mut self, status: &str, body: &str) {
        self.try_reply(&format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }
}

/// A cache, origin or discovery whose replies a test scripts.
pub struct FakeServer {
    pub addr: SocketAddr,
    calls: Receiver<Call>,
    closed: Receiver<usize>,
}

type ReadCall = fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>;

impl FakeServer {
    pub fn cache() -> FakeServer {
        FakeServer::start(TcpListener::bind("127.0.0.1:0").unwrap(), read_command)
    }

    pub fn http() -> FakeServer {
        FakeServer::start(TcpListener::bind("127.0.0.1:0").unwrap(), read_request)
    }

    /// A cache that does not read the values of writes, which have to begin with a line's end. The kernels of both
    /// sides buffer less than [`BYTES_BEYOND_BUFFERS`] of a value.
    pub fn cache_that_leaves_values_unread() -> FakeServer {
        FakeServer::start(listener_with_small_receive_buffer(), read_command_without_value)
    }

    /// An origin that does not read the bodies of requests, which have to begin with a line's end. The kernels of both
    /// sides buffer less than [`BYTES_BEYOND_BUFFERS`] of a body.
    pub fn http_that_leaves_bodies_unread() -> FakeServer {
        FakeServer::start(listener_with_small_receive_buffer(), read_request_without_body)
    }

    fn start(listener: TcpListener, read: ReadCall) -> FakeServer {
        let addr = listener.local_addr().unwrap();
        let ((to_calls, calls), (to_closed, closed)) = (channel(), channel());
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (stream, to_calls, to_closed) = (stream.unwrap(), to_calls.clone(), to_closed.clone());
                thread::spawn(move || read_calls(stream, connection, read, &to_calls, &to_closed));
            }
        });
        FakeServer { addr, calls, closed }
    }

    /// Waits for the next request.
    pub fn next_call(&self) -> Call {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call")
    }
    /// The next request, if it has come already.
    pub fn try_next_call(&self) -> Option<Call> {
        self.calls.try_recv().ok()
    }
    /// Waits until the node has closed a connection, and returns the connection's number.
    pub fn next_closed(&self) -> usize {
        self.closed.recv_timeout(TEST_TIMEOUT).expect("a connection closed")
    }
}

/// A server with a full accept backlog: connections to it stay in progress until the test accepts them.
pub struct BackloggedServer {
    pub addr: SocketAddr,
    listener: TcpListener,
    /// The connection that fills the backlog.
    filler: TcpStream,
    read: ReadCall,
}

impl BackloggedServer {
    pub fn cache() -> BackloggedServer {
        BackloggedServer::with_reader(read_command)
    }

    pub fn http() -> BackloggedServer {
        BackloggedServer::with_reader(read_request)
    }

    fn with_reader(read: ReadCall) -> BackloggedServer {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr().unwrap();
        BackloggedServer { addr, filler: TcpStream::connect(addr).unwrap(), listener, read }
    }

    /// Waits until exactly this many connections to the server are in progress.
    pub fn wait_for_connecting(&self, connections: usize) {
        let start = Instant::now();
        while connecting_sockets(self.addr) != connections {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "{} connecting, not {connections}",
                connecting_sockets(self.addr)
            );
            thread::yield_now();
        }
    }

    /// The number of connections to the server that are in progress.
    pub fn connecting_count(&self) -> usize {
        connecting_sockets(self.addr)
    }

    /// Waits until at least one connection to the server is in progress.
    pub fn wait_for_any_connecting(&self) {
        let start = Instant::now();
        while self.connecting_count() == 0 {
            assert!(start.elapsed() < TEST_TIMEOUT, "no connection is in progress");
            thread::yield_now();
        }
    }

    /// Accepts the connections in progress and all later ones, and serves them as a [`FakeServer`].
    pub fn accept_connections(self) -> FakeServer {
        let server = FakeServer::start(self.listener, self.read);
        drop(self.filler);
        assert_eq!(server.next_closed(), 0, "the connection that filled the backlog");
        server
    }
}

/// The number of this machine's sockets that are connecting to an address, by the kernel's table.
pub fn connecting_sockets(to: SocketAddr) -> usize {
    const SYN_SENT: &str = "02";
    let SocketAddr::V4(to) = to else { unreachable!("the tests use IPv4 addresses") };
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(to.ip().octets()), to.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().map(|row| row.split_whitespace().skip(2).take(2).collect::<Vec<_>>());
    rows.filter(|row| row[..] == [&remote, SYN_SENT]).count()
}

/// Reports each request of a connection, then the end of the connection.
fn read_calls(
    stream: TcpStream,
    connection: usize,
    read: ReadCall,
    calls: &Sender<Call>,
    closed: &Sender<usize>,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(words) = read(&mut reader) {
        let _ = calls.send(Call { words, connection, stream: stream.try_clone().unwrap() });
    }
    let _ = closed.send(connection);
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    match reader.read_line(&mut text) {
        Ok(n) if n > 0 => Some(text.trim_end().to_owned()),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            panic!("no line within the read timeout")
        }
        _ => None,
    }
}

fn read_bytes(reader: &mut BufReader<TcpStream>, n: usize) -> Option<String> {
    let mut text = vec![0; n];
    reader.read_exact(&mut text).ok()?;
    Some(String::from_utf8_lossy(&text).into_owned())
}

fn read_command(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    read_command_prefix(reader, usize::MAX)
}

fn read_command_without_value(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let words = read_command_prefix(reader, 4)?;
    if words[0] == "CACHE.SET" {
        read_line(reader)?; // the value's length
    }
    Some(words)
}

/// Reads the first words of a command, at most `max_words`.
fn read_command_prefix(reader: &mut BufReader<TcpStream>, max_words: usize) -> Option<Vec<String>> {
    let n: usize = read_line(reader)?.strip_prefix('*')?.parse().ok()?;
    (0..n.min(max_words))
        .map(|_| {
            let length: usize = read_line(reader)?.strip_prefix('$')?.parse().ok()?;
            let word = read_bytes(reader, length)?;
            read_line(reader).map(|_| word)
        })
        .collect()
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let (mut words, length) = read_request_head(reader)?;
    words.push(read_bytes(reader, length)?);
    Some(words)
}

fn read_request_without_body(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    read_request_head(reader).map(|(words, _)| words)
}

/// Reads a request's method, path and header lines, and returns them with the length of the body.
fn read_request_head(reader: &mut BufReader<TcpStream>) -> Option<(Vec<String>, usize)> {
    let first = read_line(reader)?;
    let mut words: Vec<String> = first.split(' ').take(2).map(String::from).collect();
    let mut length = 0;
    loop {
        let header = read_line(reader)?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(": ")?;
        let name = name.to_lowercase();
        length = if name == "content-length" { value.parse().ok()? } else { length };
        words.push(format!("{name}: {value}"));
    }
    Some((words, length))
}

/// A running process of `stonefold node`.
pub struct Node {
    child: Child,
    addr: SocketAddr,
    operator_addr: Option<SocketAddr>,
    config: tempfile::NamedTempFile,
    /// The log lines up to the last one that tells an address.
    startup_lines: Vec<String>,
    /// The rest of the log, if its pipe is held open.
    log: Option<BufReader<ChildStderr>>,
}

/// The usual settings of the tests: a safe and an unsafe class, and an origin beside the caches.
pub const SETTINGS: &str = r#"{"Classes":[
    {"Name":"read","Aim":300.0,"HardLimit":2000.0,"Effect":"safe","Worth":3.0},
    {"Name":"put","Aim":800.0,"HardLimit":2000.0,"Effect":"unsafe","Worth":9.0}],
  "Dcs":["a"],"Skus":["m","origin"],"FamilyInfo":{"Mode":"aside","OriginKind":1},
  "Guarantees":{"Cold":20000.0,"ColdFrom":0.2,"DrainGrace":500.0,"Fall":1000.0,"MustAskIn":10000.0,"OverloadFactor":3.0},
  "Limits":{"Cancel":true,"ConnectTimeout":10000.0,"Keepalive":15000.0,"MaxAttempts":5,"MaxRetryAfter":2000.0,
            "MaxStreams":1,"RetryAfter":true,"SecondCopies":true},
  "Quantum":5.0,"RegistryMode":"automatic","Siblings":1,"Zone":"a"}"#;

/// A server's entry in a server list.
pub fn server_entry(id: &str, addr: SocketAddr, kind: &str, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"{kind}","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

/// A server list with these caches, in this order, and an origin.
pub fn server_list(version: u64, caches: &[(&str, SocketAddr)], origin: SocketAddr) -> String {
    let caches = caches.iter().map(|(id, addr)| server_entry(id, *addr, "m", "SERVING"));
    let entries: Vec<String> = caches.chain([server_entry("o", origin, "origin", "SERVING")]).collect();
    format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, entries.join(","))
}

/// Builds a command that runs the program through a shell command, which ends in `exec "$0" node`.
pub fn stonefold_through_shell(shell: &str) -> Command {
    let mut command = Command::new("/bin/sh");
    command.args(["-c", shell, env!("CARGO_BIN_EXE_stonefold")]).env_clear().stderr(Stdio::piped());
    command
}

/// How a node is started.
pub struct NodeOptions<'a> {
    /// The server list in the node's configuration.
    pub known_list: &'a str,
    pub discovery: SocketAddr,
    pub sockets: usize,
    pub memory_mb: usize,
    pub settings: &'a str,
    /// The shell command that starts the program, see [`stonefold_through_shell`].
    pub shell: &'a str,
    /// Whether the node listens for operators.
    pub operator: bool,
    /// A listening socket that the node inherits.
    pub passed_socket: Option<&'a TcpListener>,
    /// The node's TMPDIR, where it keeps the operators' orders. Both processes of an upgrade share it.
    pub state_dir: Option<&'a Path>,
    /// Whether the pipe of the log stays open, unread; otherwise it is closed.
    pub keep_log_open: bool,
    /// Further environment variables.
    pub environment: Vec<(&'static str, OsString)>,
}

impl Node {
    pub fn start(known_list: &str, discovery: SocketAddr) -> Node {
        NodeOptions::new(known_list, discovery).start()
    }
}

impl<'a> NodeOptions<'a> {
    pub fn new(known_list: &'a str, discovery: SocketAddr) -> Self {
        NodeOptions {
            known_list,
            discovery,
            sockets: 1024,
            memory_mb: 192,
            settings: SETTINGS,
            shell: "exec \"$0\" node",
            operator: false,
            passed_socket: None,
            state_dir: None,
            keep_log_open: false,
            environment: Vec::new(),
        }
    }

    pub fn start(self) -> Node {
        let NodeOptions {
            known_list,
            discovery,
            sockets,
            memory_mb,
            settings,
            shell,
            operator,
            passed_socket,
            state_dir,
            keep_log_open,
            environment,
        } = self;
        let config = format!(
            r#"{{"name":"n0","seed":"8c1f30d27a5be964","limits":{{"sockets":{sockets},"memory_mb":{memory_mb}}},"known":{known_list},"settings":{settings}}}"#
        );
        let file = tempfile::NamedTempFile::new().unwrap();
        std::fs::write(file.path(), config).unwrap();
        // The socket is passed as standard input, and the shell moves it to descriptor 4, which the environment names.
        let shell_with_socket = format!("exec 4<&0 </dev/null; {shell}");
        let mut command =
            stonefold_through_shell(if passed_socket.is_some() { &shell_with_socket } else { shell });
        command
            .env("EDGE_CONFIG", file.path())
            .env("EDGE_LISTEN", "127.0.0.1:0")
            .env("EDGE_DISCOVERY", discovery.to_string())
            .envs(environment);
        if let Some(listener) = passed_socket {
            command.stdin(OwnedFd::from(listener.try_clone().unwrap())).env("EDGE_PASSED_SOCKET", "4");
        }
        if operator {
            command.env("EDGE_OPERATOR", "127.0.0.1:0");
        }
        if let Some(path) = state_dir {
            command.env("TMPDIR", path);
        }
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut addr, mut operator_addr, mut startup_lines) = (None, None, Vec::new());
        while addr.is_none() || operator && operator_addr.is_none() {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "the process ended during its start");
            let address_in = |event: &str| {
                let (_, at) = line.split_once(&format!(r#"event="{event}" at="#))?;
                Some(at.trim().parse().unwrap())
            };
            addr = address_in("listening").or(addr);
            operator_addr = address_in("operator_listening").or(operator_addr);
            startup_lines.push(line);
        }
        // From here on nobody reads the log, which must not affect the node.
        let log = keep_log_open.then_some(log);
        Node { child, addr: addr.unwrap(), operator_addr, config: file, startup_lines, log }
    }
}

impl Node {
    pub fn client(&self) -> Client {
        Client::new(TcpStream::connect(self.addr).unwrap())
    }

    /// A client with a small receive buffer: its kernel takes little of a reply before the client reads it.
    pub fn client_with_small_receive_buffer(&self) -> Client {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES).unwrap();
        socket.connect(&self.addr.into()).unwrap();
        Client::new(TcpStream::from(socket))
    }

    /// Sends these bytes on an operator's connection, and returns the node's reply.
    pub fn operator_call(&self, bytes: impl AsRef<[u8]>) -> String {
        let mut stream = self.operator_connection();
        stream.write_all(bytes.as_ref()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// The address for clients.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The address for operators.
    pub fn operator_addr(&self) -> SocketAddr {
        self.operator_addr.unwrap()
    }

    /// A new connection to the address for operators.
    pub fn operator_connection(&self) -> TcpStream {
        let stream = TcpStream::connect(self.operator_addr.unwrap()).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file's text and signals the node to reload it.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.config.path(), config).unwrap();
        self.signal("-HUP");
    }

    /// The text of the configuration file.
    pub fn config(&self) -> String {
        std::fs::read_to_string(self.config.path()).unwrap()
    }

    /// The text of the configuration file, with this address for discovery.
    pub fn config_with_discovery(&self, discovery: SocketAddr) -> String {
        self.config().replacen("{", &format!(r#"{{"discovery":"{discovery}","#), 1)
    }

    /// Stops all threads of the process where they are, until [`Node::resume`].
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().rsplit(')').next().unwrap().starts_with(" T") {
            thread::yield_now();
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// The value of the metric with this name, and these labels if it has any.
    pub fn metric(&self, name: &str) -> f64 {
        let text = self.operator_call("STATS\n");
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }

    /// The first line of an event in the log. The log must have been kept open; from here on it is read.
    pub fn logged_event(&mut self, event: &str) -> String {
        let named = format!("event=\"{event}\"");
        if let Some(line) = self.startup_lines.iter().find(|line| line.contains(&named)) {
            return line.clone();
        }
        self.logged_events(event).recv_timeout(TEST_TIMEOUT).expect("an event")
    }

    /// All further lines of an event in the log, which must have been kept open.
    pub fn logged_events(&mut self, event: &str) -> Receiver<String> {
        let named = format!("event=\"{event}\"");
        let (log, (to, lines)) = (self.log.take().expect("a log that is kept open"), channel());
        thread::spawn(move || {
            let lines = log.lines().map_while(Result::ok).filter(|line| line.contains(&named));
            lines.for_each(|line| _ = to.send(line)); // the receiver may be gone
        });
        lines
    }

    /// The number of file descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// The anonymous memory of the process, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let anonymous = status.lines().find_map(|line| line.strip_prefix("RssAnon:")?.strip_suffix(" kB"));
        anonymous.expect("the process runs").trim().parse::<usize>().unwrap() << 10
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Waits until the process has ended; returns whether its exit status is a success.
    pub fn wait_for_exit(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An id that no other request of the test program has. Every request has a new id.
pub fn request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0x9b1f_03aa_5c7e_2d41);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A command as its bytes on the wire.
pub fn encode_command(words: &[&str]) -> String {
    let bulk: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*{}\r\n{bulk}", words.len())
}

/// How a client's request ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A reply: the text of a bulk string, or the line.
    Reply(String),
    /// The connection ended before the reply was whole.
    Closed,
    /// No reply began within the connection's read timeout.
    TimedOut,
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn new(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client { reader: BufReader::new(stream) }
    }
    /// Drops the bytes that were read ahead, and returns their number.
    pub fn take_buffered(&mut self) -> usize {
        let bytes = self.reader.buffer().len();
        self.reader.consume(bytes);
        bytes
    }
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.reader.get_mut().write_all(bytes.as_ref()).unwrap();
    }
    pub fn send(&mut self, command: &[&str]) {
        self.write(encode_command(command));
    }
    /// Sends a read with an id of its own, and returns the id.
    pub fn send_get(&mut self, key: &str, facts: &str) -> String {
        let id = request_id();
        self.send(&["CACHE.GET", key, &id, facts]);
        id
    }
    /// Sends a write with an id of its own.
    pub fn send_set(&mut self, key: &str, facts: &str, value: &str) {
        self.send(&["CACHE.SET", key, &request_id(), facts, value]);
    }
    /// Reads the next reply, the text of a bulk string or the line; `None` once the node has closed the connection.
    pub fn read_reply(&mut self) -> Option<String> {
        let first = read_line(&mut self.reader)?;
        let Some(length) = first.strip_prefix('$') else { return Some(first) };
        let value = read_bytes(&mut self.reader, length.parse().unwrap())?;
        read_line(&mut self.reader).map(|_| value)
    }
    /// Reads the next reply, and tells a close and a timeout apart.
    pub fn read_outcome(&mut self) -> Outcome {
        let mut first = String::new();
        match self.reader.read_line(&mut first) {
            Ok(0) => return Outcome::Closed,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Outcome::TimedOut;
            }
            Err(_) => return Outcome::Closed,
        }
        let Some(length) = first.trim_end().strip_prefix('$') else {
            return Outcome::Reply(first.trim_end().to_owned());
        };
        let Ok(length) = length.parse() else { return Outcome::Closed };
        let value = read_bytes(&mut self.reader, length);
        let whole = value.and_then(|value| read_line(&mut self.reader).map(|_| value));
        whole.map_or(Outcome::Closed, Outcome::Reply)
    }
    /// Reads the next line.
    pub fn read_line(&mut self) -> String {
        read_line(&mut self.reader).expect("a line")
    }
    /// The number of bytes that come until the node closes the connection.
    pub fn bytes_until_close(&mut self) -> usize {
        let mut rest = Vec::new();
        let _ = self.reader.read_to_end(&mut rest); // a reset counts as a close
        rest.len()
    }
    /// Reads the next reply if its first byte has come.
    pub fn try_read_reply(&mut self) -> Option<String> {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let has_begun = !self.reader.buffer().is_empty() || stream.peek(&mut [0]).is_ok();
        self.reader.get_ref().set_nonblocking(false).unwrap();
        if has_begun { self.read_reply() } else { None }
    }
    /// Writes to a connection that the node may close meanwhile.
    pub fn try_write(&mut self, bytes: &str) {
        let _ = self.reader.get_mut().write_all(bytes.as_bytes());
    }
    /// Pings for 35 ms, which is longer than a connection to a server rests before the node uses it again.
    pub fn ping_until_connections_are_reusable(&mut self) {
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(35) {
            self.ping();
        }
    }
    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }
    pub fn ping(&mut self) {
        self.send(&["PING"]);
        assert_eq!(self.read_reply().as_deref(), Some("+PONG"));
    }
}
