//! Stand-in of the platform's store: keyed topics of one partition, with conditional and fenced appends.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Answer, Request};

/// Time that the store takes for an answer, as the users' sheet says.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Maximum number of records of a page.
const PAGE_RECORDS: usize = 500;

/// Number of appends of a producer whose repeats get their first response again.
const REPEATABLE: usize = 5;

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    epoch: u64,
    sequence: Option<u64>,
    recent: Vec<(u64, usize, usize)>,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<Mutex<BTreeMap<String, Topic>>>,
    appended: Arc<Condvar>,
}

impl Store {
    /// Starts the store; returns it with its address.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound port");
        let served = store.clone();
        http::serve(listener, move |req| served.handle(&req));
        (store, addr)
    }

    /// Appends a record as the operator, a runner or another writer does. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().expect("no handler panics");
        let topic = topics.entry(topic.to_owned()).or_default();
        topic
            .records
            .push((key.to_owned(), value.as_bytes().to_vec()));
        self.appended.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let topics = self.topics.lock().expect("no handler panics");
        let records = &topics.get(topic)?.records;
        let newest = records.iter().rev().find(|(known, _)| known == key)?;
        Some(newest.1.clone())
    }

    fn handle(&self, req: &Request) -> Answer {
        thread::sleep(ANSWER_TIME);
        match req.path.as_str() {
            "/api/log-append" => Some(self.append(req)),
            "/api/log-read" => Some((200, self.read(req))),
            "/api/log-newest" => Some((200, self.newest(req))),
            _ => Some((404, Vec::new())),
        }
    }

    fn append(&self, req: &Request) -> (u16, Vec<u8>) {
        let mut topics = self.topics.lock().expect("no handler panics");
        let topic = topics
            .entry(req.param("Topic").unwrap_or_default().to_owned())
            .or_default();
        let end = topic.records.len();
        if req.number("At").is_some_and(|at| at != end as u64) {
            return (412, format!("{{\"EndOffset\":{end}}}").into_bytes());
        }
        if let Some(epoch) = req.number("epoch") {
            let sequence = req.number("Seq").unwrap_or(0);
            if epoch < topic.epoch {
                return (409, br#"{"Reason":"fenced"}"#.to_vec());
            }
            if epoch > topic.epoch {
                topic.epoch = epoch;
                topic.sequence = None;
                topic.recent.clear();
            }
            if let Some((_, first, end)) =
                topic.recent.iter().find(|(known, ..)| *known == sequence)
            {
                return (200, offsets(*first, *end));
            }
            if let Some(last) = topic.sequence.filter(|last| sequence != last + 1) {
                let body = format!("{{\"Reason\":\"seq\",\"Seq\":{}}}", last + 1);
                return (409, body.into_bytes());
            }
            topic.sequence = Some(sequence);
        }
        let mut rest = req.body.as_slice();
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let (record, tail) = tail.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let key = String::from_utf8_lossy(key).into_owned();
            topic.records.push((key, value.to_vec()));
            rest = tail;
        }
        let new_end = topic.records.len();
        if let Some(sequence) = topic.sequence.filter(|_| req.number("epoch").is_some()) {
            topic.recent.push((sequence, end, new_end));
            if topic.recent.len() > REPEATABLE {
                topic.recent.remove(0);
            }
        }
        self.appended.notify_all();
        (200, offsets(end, new_end))
    }

    fn read(&self, req: &Request) -> Vec<u8> {
        let name = req.param("Topic").unwrap_or_default().to_owned();
        let from = req.number("From").unwrap_or(0) as usize;
        let max_bytes = req.number("MaxKb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(req.number("WaitMs").unwrap_or(0));
        let mut topics = self.topics.lock().expect("no handler panics");
        loop {
            let end = topics.entry(name.clone()).or_default().records.len();
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            let waited = self.appended.wait_timeout(topics, left);
            topics = waited.expect("no handler panics").0;
        }
        let topic = topics.entry(name).or_default();
        let mut out = (topic.records.len() as u64).to_be_bytes().to_vec();
        out.extend(0_u64.to_be_bytes());
        for (key, value) in topic.records.iter().skip(from) {
            if out.len() > max_bytes {
                break;
            }
            out.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            out.push(key.len() as u8);
            out.extend(key.as_bytes());
            out.extend(value);
        }
        out
    }

    fn newest(&self, req: &Request) -> Vec<u8> {
        let mut topics = self.topics.lock().expect("no handler panics");
        let topic = topics
            .entry(req.param("Topic").unwrap_or_default().to_owned())
            .or_default();
        let after = req.param("DependsOn").unwrap_or_default();
        let mut newest: BTreeMap<&str, usize> = BTreeMap::new();
        for (offset, (key, _)) in topic.records.iter().enumerate() {
            newest.insert(key, offset);
        }
        newest.retain(|key, offset| !topic.records[*offset].1.is_empty() && *key > after);
        let has_more = newest.len() > PAGE_RECORDS;
        let items: Vec<String> = newest
            .iter()
            .take(PAGE_RECORDS)
            .map(|(key, offset)| {
                let value = base64(&topic.records[*offset].1);
                format!("{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}")
            })
            .collect();
        let end = topic.records.len();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"HasMore\":{has_more},\"EndOffset\":{end}}}").into_bytes()
    }
}

fn offsets(first: usize, end: usize) -> Vec<u8> {
    format!("{{\"Offset\":{first},\"EndOffset\":{end}}}").into_bytes()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let part = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for at in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= chunk.len() {
                char::from(letter)
            } else {
                '='
            });
        }
    }
    out
}
