//! A minimal HTTP/1.1 server and client on threads, for the stand-ins of the review.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request that has arrived completely.
#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a query parameter.
    pub fn param(&self, name: &str) -> Option<&str> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns a query parameter that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.param(name)?.parse().ok()
    }
}

/// What a handler answers; `Silence` closes the connection without an answer.
pub enum Answer {
    Reply(u16, Vec<u8>),
    Silence,
}

/// Serves requests on a free loopback port, one thread a connection.
pub fn serve(handle: impl Fn(&Request) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let handle = Arc::clone(&handle);
            let build = thread::Builder::new().stack_size(256 * 1024);
            let _ = build.spawn(move || serve_connection(stream, &*handle));
        }
    });
    addr
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Answer) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let length = length_of(&headers);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let req = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body,
        };
        let Answer::Reply(status, body) = handle(&req) else {
            return None;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        writer.write_all(&bytes).ok()?;
    }
}

/// Reads the first line and the headers of a message.
fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn length_of(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(name, _)| name == "content-length");
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Sends a request on a connection of its own; `None` if no complete answer arrives in time.
pub fn call(
    addr: &str,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let addr: SocketAddr = addr.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let req = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         x-knapweedspan-deadline-ms: {}\r\ncontent-length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(req.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; length_of(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
