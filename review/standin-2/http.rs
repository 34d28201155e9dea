//! Minimal HTTP/1.1: a server with a thread for each connection, and a client with a connection for
//! each call.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Time for which a client waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// A request that a server has read.
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header; its name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let known = self.headers.iter().find(|(key, _)| key == name);
        known.map(|(_, value)| value.as_str())
    }

    /// Returns a parameter of the query.
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

    /// Returns a parameter of the query that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.param(name)?.parse().ok()
    }
}

/// Status and body of a response; `None` closes the connection without one.
pub type Answer = Option<(u16, Vec<u8>)>;

/// Serves requests on a listener until the process ends.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Request) -> Answer + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                // An error ends only this connection.
                let _ = serve_connection(&stream, &*handle);
            });
        }
    });
}

fn serve_connection(stream: &TcpStream, handle: &dyn Fn(Request) -> Answer) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream.try_clone()?;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let target = line.split(' ').nth(1).unwrap_or("/").to_owned();
        let (headers, length) = read_headers(&mut reader)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let req = Request {
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body,
        };
        let Some((status, body)) = handle(req) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut response = head.into_bytes();
        response.extend(body);
        writer.write_all(&response)?;
    }
}

fn read_headers(reader: &mut impl BufRead) -> std::io::Result<(Vec<(String, String)>, usize)> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    Ok((headers, length))
}

/// Makes a call; `None` if there is no complete response.
pub fn call(
    method: &str,
    addr: SocketAddr,
    host: &str,
    path: &str,
    body: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, CLIENT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CLIENT_TIMEOUT)).ok()?;
    let req = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\nX-Knapweedspan-Deadline-Ms: 3000\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(req.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status: u16 = line.split(' ').nth(1)?.parse().ok()?;
    let (_, length) = read_headers(&mut reader).ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
