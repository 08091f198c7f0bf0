//! A node under test, and what stands round it: scripted servers and a client. All wait on events.
#![allow(dead_code, unreachable_pub)] // each test file uses its own part

use std::ffi::OsString;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// Long enough for any machine; reached only by a test that fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A write of so many bytes is still under way while the peer reads none of it, where the peer is one that takes little:
/// [a server](listener_that_takes_little) or [a client](Node::client_that_takes_little).
pub const UNTAKEN_BYTES: usize = 4_000_000;
/// The receive buffer of a peer that takes little, in bytes.
const SMALL_RECEIVE_BUFFER: usize = 16 << 10;

/// A listener whose connections take little of what the peer writes before it is read. With the kernel's own buffers, a
/// write of 4 MB may be taken whole.
pub fn listener_that_takes_little() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).unwrap(); // its connections inherit it
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(128).unwrap();
    socket.into()
}

/// What a scripted server was asked, and the connection to answer on.
pub struct Call {
    /// A command's words; of HTTP the method, path, header lines and body.
    pub words: Vec<String>,
    /// The number of its connection, from 0.
    pub connection: usize,
    stream: TcpStream,
}

impl Call {
    pub fn answer(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).unwrap();
    }
    /// Answers on a connection that the node may have closed.
    pub fn try_answer(&mut self, bytes: &str) {
        let _ = self.stream.write_all(bytes.as_bytes());
    }
    pub fn value(mut self, value: &str) {
        self.answer(format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()));
    }
    pub fn miss(mut self) {
        self.answer("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    }
    pub fn http(mut self, status: &str, body: &str) {
        self.answer(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
    /// Answers a request that the node may give up while the answer comes.
    pub fn http_or_closed(mut self, status: &str, body: &str) {
        self.try_answer(&format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }
}

/// A scripted cache, origin or discovery.
pub struct Fake {
    pub addr: SocketAddr,
    calls: Receiver<Call>,
    closed: Receiver<usize>,
}

type ReadCall = fn(&mut BufReader<TcpStream>) -> Option<Vec<String>>;

impl Fake {
    pub fn cache() -> Fake {
        Fake::serving(TcpListener::bind("127.0.0.1:0").unwrap(), command)
    }

    pub fn http() -> Fake {
        Fake::serving(TcpListener::bind("127.0.0.1:0").unwrap(), request)
    }

    /// A cache that does not read the values of writes; they have to begin with a line's end. The kernels of both sides
    /// take less than [`UNTAKEN_BYTES`] of one.
    pub fn cache_without_values() -> Fake {
        Fake::serving(listener_that_takes_little(), command_without_value)
    }

    /// An origin that does not read the bodies of requests; they have to begin with a line's end. The kernels of both
    /// sides take less than [`UNTAKEN_BYTES`] of one.
    pub fn http_without_bodies() -> Fake {
        Fake::serving(listener_that_takes_little(), request_without_body)
    }

    fn serving(listener: TcpListener, read: ReadCall) -> Fake {
        let addr = listener.local_addr().unwrap();
        let ((to_calls, calls), (to_closed, closed)) = (channel(), channel());
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (stream, to_calls, to_closed) = (stream.unwrap(), to_calls.clone(), to_closed.clone());
                thread::spawn(move || attend(stream, connection, read, &to_calls, &to_closed));
            }
        });
        Fake { addr, calls, closed }
    }

    /// The next call.
    pub fn call(&self) -> Call {
        self.calls.recv_timeout(PATIENCE).expect("a call")
    }
    /// A call that has come already.
    pub fn called(&self) -> Option<Call> {
        self.calls.try_recv().ok()
    }
    /// Waits until the node has closed a connection; tells which.
    pub fn closed(&self) -> usize {
        self.closed.recv_timeout(PATIENCE).expect("a connection closed")
    }
}

/// A server whose connections come up only once the test lets them in: until then the node is connecting.
pub struct Late {
    pub addr: SocketAddr,
    listener: TcpListener,
    /// Fills the backlog.
    before: TcpStream,
    read: ReadCall,
}

impl Late {
    pub fn cache() -> Late {
        Late::reading(command)
    }

    pub fn http() -> Late {
        Late::reading(request)
    }

    fn reading(read: ReadCall) -> Late {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let addr = listener.local_addr().unwrap();
        Late { addr, before: TcpStream::connect(addr).unwrap(), listener, read }
    }

    /// Waits until so many connections are on their way here.
    pub fn awaited_by(&self, connections: usize) {
        let start = Instant::now();
        while connecting(self.addr) != connections {
            assert!(start.elapsed() < PATIENCE, "{} connect, not {connections}", connecting(self.addr));
            thread::yield_now();
        }
    }

    /// How many connections are on their way here.
    pub fn awaiting(&self) -> usize {
        connecting(self.addr)
    }

    /// Waits until any connection is on its way here.
    pub fn awaited_by_some(&self) {
        let start = Instant::now();
        while self.awaiting() == 0 {
            assert!(start.elapsed() < PATIENCE, "none connects");
            thread::yield_now();
        }
    }

    /// From here on it is a server like others.
    pub fn let_in(self) -> Fake {
        let fake = Fake::serving(self.listener, self.read);
        drop(self.before);
        assert_eq!(fake.closed(), 0, "the one that filled the backlog");
        fake
    }
}

/// How many sockets of this machine are connecting to an address, as the kernel tells it.
pub fn connecting(to: SocketAddr) -> usize {
    const SYN_SENT: &str = "02";
    let SocketAddr::V4(to) = to else { unreachable!("the tests' addresses are of version 4") };
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(to.ip().octets()), to.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().map(|row| row.split_whitespace().skip(2).take(2).collect::<Vec<_>>());
    rows.filter(|row| row[..] == [&remote, SYN_SENT]).count()
}

fn attend(
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

fn line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    match reader.read_line(&mut text) {
        Ok(n) if n > 0 => Some(text.trim_end().to_owned()),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => panic!("nothing came"),
        _ => None,
    }
}

fn bytes(reader: &mut BufReader<TcpStream>, n: usize) -> Option<String> {
    let mut text = vec![0; n];
    reader.read_exact(&mut text).ok()?;
    Some(String::from_utf8_lossy(&text).into_owned())
}

fn command(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    command_up_to(reader, usize::MAX)
}

fn command_without_value(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let words = command_up_to(reader, 4)?;
    if words[0] == "CACHE.SET" {
        line(reader)?; // the value's length
    }
    Some(words)
}

fn command_up_to(reader: &mut BufReader<TcpStream>, most: usize) -> Option<Vec<String>> {
    let n: usize = line(reader)?.strip_prefix('*')?.parse().ok()?;
    (0..n.min(most))
        .map(|_| {
            let length: usize = line(reader)?.strip_prefix('$')?.parse().ok()?;
            let word = bytes(reader, length)?;
            line(reader).map(|_| word)
        })
        .collect()
}

fn request(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let (mut words, length) = request_head(reader)?;
    words.push(bytes(reader, length)?);
    Some(words)
}

fn request_without_body(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    request_head(reader).map(|(words, _)| words)
}

/// A request's words but for its body, and how long that is.
fn request_head(reader: &mut BufReader<TcpStream>) -> Option<(Vec<String>, usize)> {
    let first = line(reader)?;
    let mut words: Vec<String> = first.split(' ').take(2).map(String::from).collect();
    let mut length = 0;
    loop {
        let header = line(reader)?;
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

/// A running node.
pub struct Node {
    child: Child,
    addr: SocketAddr,
    operator: Option<SocketAddr>,
    config: tempfile::NamedTempFile,
    /// The lines at its start.
    said: Vec<String>,
    /// The log, held open though nobody may read it.
    log: Option<BufReader<ChildStderr>>,
}

/// The settings of the tests: classes of each effect, an origin beside the caches.
pub const SETTINGS: &str = r#"{"Classes":[
    {"Name":"read","Aim":300.0,"HardLimit":2000.0,"Effect":"safe","Worth":3.0},
    {"Name":"put","Aim":800.0,"HardLimit":2000.0,"Effect":"unsafe","Worth":9.0}],
  "Dcs":["a"],"Skus":["m","origin"],"FamilyInfo":{"Mode":"aside","OriginKind":1},
  "Guarantees":{"Cold":20000.0,"ColdFrom":0.2,"DrainGrace":500.0,"Fall":1000.0,"MustAskIn":10000.0,"OverloadFactor":3.0},
  "Limits":{"Cancel":true,"ConnectTimeout":10000.0,"Keepalive":15000.0,"MaxAttempts":5,"MaxRetryAfter":2000.0,
            "MaxStreams":1,"RetryAfter":true,"SecondCopies":true},
  "Quantum":5.0,"RegistryMode":"automatic","Siblings":1,"Zone":"a"}"#;

pub fn entry(id: &str, addr: SocketAddr, kind: &str, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"{kind}","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

/// A list of caches, in that order, and an origin.
pub fn list(version: u64, caches: &[(&str, SocketAddr)], origin: SocketAddr) -> String {
    let caches = caches.iter().map(|(id, addr)| entry(id, *addr, "m", "SERVING"));
    let entries: Vec<String> = caches.chain([entry("o", origin, "origin", "SERVING")]).collect();
    format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, entries.join(","))
}

/// The program, by way of a shell command that ends in `exec "$0" node`.
pub fn program(shell: &str) -> Command {
    let mut command = Command::new("/bin/sh");
    command.args(["-c", shell, env!("CARGO_BIN_EXE_stonefold")]).env_clear().stderr(Stdio::piped());
    command
}

/// How a node is started.
pub struct Start<'a> {
    pub known: &'a str,
    pub discovery: SocketAddr,
    pub sockets: usize,
    pub memory_mb: usize,
    pub settings: &'a str,
    pub shell: &'a str,
    /// Whether operators may call.
    pub operator: bool,
    /// A listening socket to pass on.
    pub passed: Option<&'a TcpListener>,
    /// What both processes of an upgrade share.
    pub shared: Option<&'a Path>,
    /// Whether the log's pipe stays open, unread; else it closes.
    pub unread: bool,
    /// More of its environment.
    pub environment: Vec<(&'static str, OsString)>,
}

impl Node {
    pub fn start(known: &str, discovery: SocketAddr) -> Node {
        Start::new(known, discovery).node()
    }
}

impl<'a> Start<'a> {
    pub fn new(known: &'a str, discovery: SocketAddr) -> Self {
        Start {
            known,
            discovery,
            sockets: 1024,
            memory_mb: 192,
            settings: SETTINGS,
            shell: "exec \"$0\" node",
            operator: false,
            passed: None,
            shared: None,
            unread: false,
            environment: Vec::new(),
        }
    }

    pub fn node(self) -> Node {
        let Start {
            known,
            discovery,
            sockets,
            memory_mb,
            settings,
            shell,
            operator,
            passed,
            shared,
            unread,
            environment,
        } = self;
        let config = format!(
            r#"{{"name":"n0","seed":"8c1f30d27a5be964","limits":{{"sockets":{sockets},"memory_mb":{memory_mb}}},"known":{known},"settings":{settings}}}"#
        );
        let file = tempfile::NamedTempFile::new().unwrap();
        std::fs::write(file.path(), config).unwrap();
        // The socket comes as standard input, and the shell makes it the descriptor that is named.
        let passing = format!("exec 4<&0 </dev/null; {shell}");
        let mut command = program(if passed.is_some() { &passing } else { shell });
        command
            .env("EDGE_CONFIG", file.path())
            .env("EDGE_LISTEN", "127.0.0.1:0")
            .env("EDGE_DISCOVERY", discovery.to_string())
            .envs(environment);
        if let Some(listener) = passed {
            command.stdin(OwnedFd::from(listener.try_clone().unwrap())).env("EDGE_PASSED_SOCKET", "4");
        }
        if operator {
            command.env("EDGE_OPERATOR", "127.0.0.1:0");
        }
        if let Some(path) = shared {
            command.env("TMPDIR", path);
        }
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut addr, mut operators, mut said) = (None, None, Vec::new());
        while addr.is_none() || operator && operators.is_none() {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "ended at its start");
            let told = |event: &str| {
                let (_, at) = line.split_once(&format!(r#"event="{event}" at="#))?;
                Some(at.trim().parse().unwrap())
            };
            addr = told("listening").or(addr);
            operators = told("operator_listening").or(operators);
            said.push(line);
        }
        // From here on nobody reads the log, which the node must not mind.
        let log = unread.then_some(log);
        Node { child, addr: addr.unwrap(), operator: operators, config: file, said, log }
    }
}

impl Node {
    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { reader: BufReader::new(stream) }
    }

    /// A client whose machine takes little of an answer before the client reads it.
    pub fn client_that_takes_little(&self) -> Client {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).unwrap();
        socket.connect(&self.addr.into()).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { reader: BufReader::new(stream) }
    }

    /// What the node answers to an operator's bytes.
    pub fn call(&self, bytes: impl AsRef<[u8]>) -> String {
        let mut stream = self.caller();
        stream.write_all(bytes.as_ref()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// Where clients call.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Where operators call.
    pub fn operators(&self) -> SocketAddr {
        self.operator.unwrap()
    }

    /// An operator's connection.
    pub fn caller(&self) -> TcpStream {
        let stream = TcpStream::connect(self.operator.unwrap()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration by a text, and says so.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.config.path(), config).unwrap();
        self.signal("-HUP");
    }

    /// The configuration as it is.
    pub fn config(&self) -> String {
        std::fs::read_to_string(self.config.path()).unwrap()
    }

    /// The configuration as it is, with this address for discovery.
    pub fn config_with(&self, discovery: SocketAddr) -> String {
        self.config().replacen("{", &format!(r#"{{"discovery":"{discovery}","#), 1)
    }

    /// Stops its threads where they are, until it is thawed.
    pub fn freeze(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().rsplit(')').next().unwrap().starts_with(" T") {
            thread::yield_now();
        }
    }

    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// A figure of this name, and labels if it has some.
    pub fn figure(&self, name: &str) -> f64 {
        let text = self.call("STATS\n");
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }

    /// A line of an event in the log, where that is held open; it is read on from here on.
    pub fn logged(&mut self, event: &str) -> String {
        let named = format!("event=\"{event}\"");
        if let Some(line) = self.said.iter().find(|line| line.contains(&named)) {
            return line.clone();
        }
        self.events(event).recv_timeout(PATIENCE).expect("an event")
    }

    /// All further lines of an event in the log, where that is held open.
    pub fn events(&mut self, event: &str) -> Receiver<String> {
        let named = format!("event=\"{event}\"");
        let (log, (to, lines)) = (self.log.take().expect("held open"), channel());
        thread::spawn(move || {
            let lines = log.lines().map_while(Result::ok).filter(|line| line.contains(&named));
            lines.for_each(|line| _ = to.send(line)); // nobody waits any more
        });
        lines
    }

    /// How many descriptors the process has.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Waits for its end; tells whether it was a success.
    pub fn exit(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A command's text.
pub fn words(words: &[&str]) -> String {
    let bulk: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*{}\r\n{bulk}", words.len())
}

/// What became of a client's request.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A bulk string's text, or the line.
    Answer(String),
    /// The connection ended before a whole answer.
    Closed,
    /// Nothing came in the time of a read.
    Nothing,
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.reader.get_mut().write_all(bytes.as_ref()).unwrap();
    }
    pub fn send(&mut self, command: &[&str]) {
        self.write(words(command));
    }
    pub fn get(&mut self, key: &str, facts: &str) {
        self.send(&["CACHE.GET", key, "9b1f03aa5c7e2d41", facts]);
    }
    pub fn set(&mut self, key: &str, facts: &str, value: &str) {
        self.send(&["CACHE.SET", key, "9b1f03aa5c7e2d41", facts, value]);
    }
    /// The next answer: a bulk string's text, or the line; nothing once the node has closed.
    pub fn answer(&mut self) -> Option<String> {
        let first = line(&mut self.reader)?;
        let Some(length) = first.strip_prefix('$') else { return Some(first) };
        let value = bytes(&mut self.reader, length.parse().unwrap())?;
        line(&mut self.reader).map(|_| value)
    }
    /// What becomes of a request: its answer, a close, or nothing in the read's time.
    pub fn outcome(&mut self) -> Outcome {
        let mut first = String::new();
        match self.reader.read_line(&mut first) {
            Ok(0) => return Outcome::Closed,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Outcome::Nothing;
            }
            Err(_) => return Outcome::Closed,
        }
        let Some(length) = first.trim_end().strip_prefix('$') else {
            return Outcome::Answer(first.trim_end().to_owned());
        };
        let Ok(length) = length.parse() else { return Outcome::Closed };
        let value = bytes(&mut self.reader, length);
        let whole = value.and_then(|value| line(&mut self.reader).map(|_| value));
        whole.map_or(Outcome::Closed, Outcome::Answer)
    }
    /// The next line.
    pub fn line(&mut self) -> String {
        line(&mut self.reader).expect("a line")
    }
    /// How many bytes come until the node closes.
    pub fn rest_of_stream(&mut self) -> usize {
        let mut rest = Vec::new();
        let _ = self.reader.read_to_end(&mut rest); // a reset is a close too
        rest.len()
    }
    /// An answer, if one has begun to come.
    pub fn try_answer(&mut self) -> Option<String> {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let come = !self.reader.buffer().is_empty() || stream.peek(&mut [0]).is_ok();
        self.reader.get_ref().set_nonblocking(false).unwrap();
        if come { self.answer() } else { None }
    }
    /// Writes to a connection that the node may close meanwhile.
    pub fn try_write(&mut self, bytes: &str) {
        let _ = self.reader.get_mut().write_all(bytes.as_bytes());
    }
    /// Spends the time that a connection to a server rests before it is used again.
    pub fn rest(&mut self) {
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(20) {
            self.ping();
        }
    }
    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }
    pub fn ping(&mut self) {
        self.send(&["PING"]);
        assert_eq!(self.answer().as_deref(), Some("+PONG"));
    }
}
