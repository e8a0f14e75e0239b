//! A plain HTTP/1.1 server and client over loopback.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request that a stand-in has read.
#[derive(Debug)]
pub struct Request {
    /// The path without the query.
    pub path: String,
    pub query: BTreeMap<String, String>,
    /// Header names are in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: String,
    stream: TcpStream,
}

impl Request {
    /// Whether the caller has closed its channel, and so waits for no answer any more.
    pub fn is_abandoned(&self) -> bool {
        let probe = || {
            self.stream.set_read_timeout(Some(Duration::from_millis(1)))?;
            let seen = self.stream.peek(&mut [0]);
            self.stream.set_read_timeout(None)?;
            seen
        };
        match probe() {
            Ok(length) => length == 0,
            Err(err) => !matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
        }
    }
}

/// What a stand-in does with a request.
pub enum Reply {
    Answer(u16, String),
    /// The answer is lost: the channel returns nothing further.
    Lost,
}

/// Serves requests on a free loopback port until the process ends.
pub fn serve<F>(handler: F) -> io::Result<SocketAddr>
where
    F: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                // A connection that breaks is the peer's concern.
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(address)
}

fn serve_connection<F>(stream: TcpStream, handler: &F) -> io::Result<()>
where
    F: Fn(Request) -> Reply,
{
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all(format!("{head}{body}").as_bytes())?;
            }
            Reply::Lost => {
                io::copy(&mut reader, &mut io::sink())?;
                return Ok(());
            }
        }
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut parts = line.split_whitespace();
    let target = parts.nth(1).unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.map(|(name, value)| (name.to_owned(), unescape(value))).collect(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
        stream: reader.get_ref().try_clone()?,
    }))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                plain.push(byte);
                at += 3;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// Sends one request on a channel of its own. Gives status and body, or `None` without an answer
/// within `patience`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    patience: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + patience;
    let mut stream = TcpStream::connect_timeout(&address, patience).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        patience.as_millis(),
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    stream
        .set_read_timeout(Some(
            until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)),
        ))
        .ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader).ok()?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
