//! A small HTTP/1.1 server and client on loopback.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::json::{self, Json};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Json,
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, String),
    /// Ends the connection without an answer.
    Reset,
}

impl Reply {
    pub fn json(status: u16, body: &Json) -> Reply {
        Reply::Answer(status, body.text())
    }

    pub fn empty(status: u16) -> Reply {
        Reply::Answer(status, "{}".to_owned())
    }
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves requests on a free port, one thread a connection.
pub fn serve(handler: Handler) -> SocketAddr {
    serve_behind(Arc::default(), handler)
}

/// Lets a server go silent: its connections are closed, and opening packets get no answer.
#[derive(Default)]
pub struct Gate {
    silent: AtomicBool,
    listener: OnceLock<(SocketAddr, i32)>,
    open: Mutex<BTreeMap<u64, TcpStream>>,
    /// Connections that fill the queue of new ones.
    fillers: Mutex<Vec<TcpStream>>,
}

unsafe extern "C" {
    fn listen(fd: i32, backlog: i32) -> i32;
}

impl Gate {
    /// Closes all connections, and fills the queue of new ones: from now on the system drops the
    /// opening packets of further ones, and their senders repeat them.
    pub fn go_silent(&self) {
        let (address, fd) = *self.listener.get().expect("a server");
        self.silent.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
        for stream in self.open.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // SAFETY: `listen` only changes the length of the queue of an open listening socket.
        unsafe { listen(fd, 0) };
        let mut fillers = self.fillers.lock().unwrap();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(50)) {
            fillers.push(stream);
        }
    }

    pub fn answer_again(&self) {
        let (_, fd) = *self.listener.get().expect("a server");
        self.fillers.lock().unwrap().clear();
        // SAFETY: as above.
        unsafe { listen(fd, 128) };
        self.silent.store(false, Ordering::SeqCst);
    }
}

/// As [`serve`]; `gate` can silence the server.
pub fn serve_behind(gate: Arc<Gate>, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    let _ = gate.listener.set((address, listener.as_raw_fd()));
    listener.set_nonblocking(true).expect("a socket that does not block");
    thread::spawn(move || {
        for number in 0.. {
            let accepted =
                if gate.silent.load(Ordering::SeqCst) { None } else { listener.accept().ok() };
            let Some((stream, _)) = accepted else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let (handler, gate) = (handler.clone(), gate.clone());
            thread::spawn(move || {
                stream.set_nonblocking(false).ok()?;
                gate.open.lock().unwrap().insert(number, stream.try_clone().ok()?);
                serve_connection(stream, &handler);
                gate.open.lock().unwrap().remove(&number)
            });
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers, body) = read_message(&mut reader)?;
        let mut parts = first.split(' ');
        let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = query.map(|(key, value)| (key.to_owned(), decode(value))).collect();
        let body = json::parse(&body);
        match handler(Request { method, path: path.to_owned(), query, headers, body }) {
            Reply::Answer(status, body) => write!(
                writer,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .ok()?,
            Reply::Reset => return None,
        }
    }
}

fn decode(text: &str) -> String {
    let (mut out, bytes) = (Vec::new(), text.as_bytes());
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Message = (String, BTreeMap<String, String>, String);

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first.trim_end().to_owned(), headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Makes one call on a connection of its own. `None` without an answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    )
    .ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(stream))?;
    Some((first.split(' ').nth(1)?.parse().ok()?, json::parse(&body)))
}
