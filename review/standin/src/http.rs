//! A small HTTP/1.1 server and client.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

/// A request with its whole body.
pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

/// What happens to a request.
pub enum Reply {
    /// A response with a status and a JSON body.
    Answer(u16, String),
    /// No response; the connection returns nothing further.
    Lost,
    /// The connection is closed without a response.
    Closed,
    /// The link was cut with this request on its way: it arrives once the link has healed.
    HeldBack,
}

/// What a server does with its requests.
pub type Handler = dyn Fn(&Request) -> Reply + Send + Sync;

/// The link between a daemon and a part of the platform.
#[derive(Default)]
pub struct Link {
    cut: Mutex<bool>,
    healed: Condvar,
}

impl Link {
    pub fn set_cut(&self, cut: bool) {
        *self.cut.lock().unwrap() = cut;
        self.healed.notify_all();
    }

    /// Waits until the link passes bytes. Gives whether it was cut.
    fn wait(&self) -> bool {
        let mut cut = self.cut.lock().unwrap();
        let was_cut = *cut;
        while *cut {
            cut = self.healed.wait(cut).unwrap();
        }
        was_cut
    }
}

/// Serves requests at `listener`, each connection in a thread of its own.
///
/// While the link is cut, the bytes of open connections are held in both directions. They arrive
/// once it has healed, unless their sender has reset the connection. A connection that is opened
/// during a cut never carries anything.
pub fn serve<H>(listener: TcpListener, link: Arc<Link>, handler: H)
where
    H: Fn(&Request) -> Reply + Send + Sync + 'static,
{
    let handler: Arc<Handler> = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, link) = (handler.clone(), link.clone());
            let serving = move || {
                let _ = serve_connection(stream, &link, &handler);
            };
            // Small stacks: there are some hundred connections.
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(serving);
        }
    });
}

fn serve_connection(stream: TcpStream, link: &Link, handler: &Arc<Handler>) -> io::Result<()> {
    if link.wait() {
        return Ok(());
    }
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(req) = read_request(&mut reader)? {
        let reply = loop {
            if link.wait() && is_reset(&out)? {
                return Ok(());
            }
            match handler(&req) {
                Reply::HeldBack => {}
                reply => break reply,
            }
        };
        match reply {
            Reply::Answer(status, body) => {
                link.wait();
                write_response(&mut out, status, &body)?;
            }
            Reply::Closed | Reply::HeldBack => return Ok(()),
            Reply::Lost => {
                // Holds the connection open until the client closes it.
                let mut rest = [0; 1024];
                while reader.read(&mut rest)? > 0 {}
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Whether the peer has reset the connection. One that it has closed in an orderly way delivers what
/// was sent before.
fn is_reset(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(peeked.is_err_and(|err| err.kind() != io::ErrorKind::WouldBlock))
}

fn write_response(out: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    out.write_all(format!("{head}{body}").as_bytes())
}

/// The start line and the headers of a message.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &BTreeMap<String, String>) -> io::Result<String> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    String::from_utf8(body).map_err(io::Error::other)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let _method = words.next();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decoded(value))).collect();
    Ok(Some(Request { path: path.to_owned(), query, headers, body }))
}

/// Decodes percent-encoded text.
fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes a call on a connection of its own. Gives the status and the body; `None` without a
/// response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         deadline-ms: {}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, body))
}
