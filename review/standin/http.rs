//! HTTP/1.1 servers and single calls over blocking sockets.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request that a server received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    /// Headers with lower-case names.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Address of the caller.
    pub from: IpAddr,
}

impl Request {
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }
}

/// What a server does with a request.
pub enum Reply {
    /// Answers with a status and a body.
    Answer(u16, Vec<u8>),
    /// Never answers; the connection stays open until the caller closes it.
    Silence,
    /// Closes the connection without an answer.
    Close,
}

impl Reply {
    pub fn json(status: u16, body: String) -> Self {
        Self::Answer(status, body.into_bytes())
    }
}

/// Serves requests on a free port of an address until the process exits.
pub fn serve(
    address: IpAddr,
    handle: impl Fn(Request) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((address, 0)).expect("a loopback address can be bound");
    let addr = listener.local_addr().expect("a bound socket");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = serve_connection(&stream, &*handle);
            });
        }
    });
    addr
}

fn serve_connection(stream: &TcpStream, handle: &dyn Fn(Request) -> Reply) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let from = stream.peer_addr()?.ip();
    let mut reader = BufReader::new(stream);
    loop {
        let Some((first, headers, body)) = read_message(&mut reader)? else {
            return Ok(());
        };
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect();
        let request = Request {
            method,
            path: path.to_owned(),
            query,
            headers,
            body,
            from,
        };
        match handle(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let mut answer = head.into_bytes();
                answer.extend_from_slice(&body);
                let mut writer = stream;
                writer.write_all(&answer)?;
            }
            Reply::Silence => {
                // Whatever comes next on the connection is lost as well.
                let mut rest = [0; 4096];
                while reader.read(&mut rest)? > 0 {}
                return Ok(());
            }
            Reply::Close => return Ok(()),
        }
    }
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        if b == b'%' {
            let hex: Vec<u8> = bytes.by_ref().take(2).collect();
            let hex = std::str::from_utf8(&hex).unwrap_or("3f");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
        } else {
            out.push(b);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Message = (String, HashMap<String, String>, Vec<u8>);

fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let mut body = Vec::new();
    if let Some(length) = headers.get("content-length") {
        body.resize(length.parse().unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
    } else if headers
        .get("transfer-encoding")
        .is_some_and(|how| how == "chunked")
    {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let start = body.len();
            body.resize(start + length, 0);
            reader.read_exact(&mut body[start..])?;
            reader.read_line(&mut String::new())?;
            if length == 0 {
                break;
            }
        }
    }
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Makes one call on a connection of its own; `None` if there is no complete answer in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Knapweedspan-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let (first, _, body) = read_message(&mut BufReader::new(&stream)).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
