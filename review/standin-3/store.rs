//! Stand-in of the platform's store: keyed topics of one partition, as PROTOCOL.md tells them.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{Answer, Request};

/// Largest page of the newest records: their number and the bytes of their values.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Topic {
    /// Keys and values by offset.
    records: Vec<(String, Vec<u8>)>,
    /// Offset of the newest record of each key that has a value.
    newest: BTreeMap<String, usize>,
    epoch: u64,
    sequence: u64,
    last: Option<String>,
}

impl Topic {
    fn push(&mut self, key: String, value: Vec<u8>) {
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key.clone(), self.records.len());
        }
        self.records.push((key, value));
    }
}

/// The store.
#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
}

impl Store {
    /// Writes a record, as an operator or a runner does; without a value the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.push(key.to_owned(), value.as_bytes().to_vec());
        self.changed.notify_all();
    }

    /// Handles a request.
    pub fn handle(&self, req: &Request) -> Answer {
        let name = req.param("Topic").unwrap_or_default().to_owned();
        match req.path.as_str() {
            "/api/log-append" => self.append(&name, req),
            "/api/log-newest" => self.read_newest(&name, req),
            "/api/log-read" => self.read(&name, req),
            _ => Answer::Reply(404, Vec::new()),
        }
    }

    fn append(&self, name: &str, req: &Request) -> Answer {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let end = topic.records.len() as u64;
        if req.number("At").is_some_and(|at| at != end) {
            return Answer::Reply(412, format!("{{\"EndOffset\":{end}}}").into_bytes());
        }
        if let Some(epoch) = req.number("epoch") {
            let sequence = req.number("Seq").unwrap_or(0);
            if epoch < topic.epoch {
                return Answer::Reply(409, b"{\"Reason\":\"fenced\"}".to_vec());
            }
            if epoch == topic.epoch && !req.body.is_empty() {
                if let Some(last) = topic.last.clone().filter(|_| sequence == topic.sequence) {
                    return Answer::Reply(200, last.into_bytes());
                }
                if topic.last.is_some() && sequence != topic.sequence + 1 {
                    let next = topic.sequence + 1;
                    let reason = format!("{{\"Reason\":\"seq\",\"Seq\":{next}}}");
                    return Answer::Reply(409, reason.into_bytes());
                }
            }
            if epoch > topic.epoch {
                topic.last = None;
            }
            topic.epoch = epoch;
            if !req.body.is_empty() {
                topic.sequence = sequence;
            }
        }
        let mut rest = &req.body[..];
        while rest.len() > 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let key_length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..1 + key_length]).into_owned();
            topic.push(key, record[1 + key_length..].to_vec());
            rest = &rest[4 + length..];
        }
        let done = format!("{{\"Offset\":{end},\"EndOffset\":{}}}", topic.records.len());
        if !req.body.is_empty() {
            topic.last = Some(done.clone());
        }
        self.changed.notify_all();
        Answer::Reply(200, done.into_bytes())
    }

    fn read_newest(&self, name: &str, req: &Request) -> Answer {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let after = req.param("DependsOn").unwrap_or_default();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, offset) in topic.newest.iter().filter(|(key, _)| key.as_str() > after) {
            let value = &topic.records[*offset].1;
            if items.len() == PAGE_RECORDS || (bytes + value.len() > PAGE_BYTES && bytes > 0) {
                has_more = true;
                break;
            }
            bytes += value.len();
            let value = base64(value);
            items.push(format!(
                "{{\"Key\":\"{key}\",\"Value\":\"{value}\",\"Offset\":{offset}}}"
            ));
        }
        let (items, end) = (items.join(","), topic.records.len());
        let page = format!("{{\"items\":[{items}],\"HasMore\":{has_more},\"EndOffset\":{end}}}");
        Answer::Reply(200, page.into_bytes())
    }

    fn read(&self, name: &str, req: &Request) -> Answer {
        let from = req.number("From").unwrap_or(0) as usize;
        let max_bytes = req.number("MaxKb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(req.number("WaitMs").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let now = Instant::now();
            let end = topics.entry(name.to_owned()).or_default().records.len();
            if end > from || now >= until {
                break;
            }
            topics = self.changed.wait_timeout(topics, until - now).unwrap().0;
        }
        let records = &topics.entry(name.to_owned()).or_default().records;
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            if body.len() + key.len() + value.len() > max_bytes && body.len() > 16 {
                break;
            }
            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        Answer::Reply(200, body)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let number = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit) & 63) as usize;
            let is_filler = digit > chunk.len();
            text.push(if is_filler {
                '='
            } else {
                DIGITS[index] as char
            });
        }
    }
    text
}
