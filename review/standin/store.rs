//! The platform's store: a log with keyed topics, as the users' protocol page describes it.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Request},
    json::quote,
};

/// `RecordBytes` and `RequestBytes` of the settings.
const RECORD_BYTES: usize = 262_144;
const REQUEST_BYTES: usize = 2_097_152;

/// Time that the store takes for an answer, as in the users' sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Largest page of newest records.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// Default of `MaxKb`.
const READ_BYTES: usize = 1_024 * 1_024;

/// How the store treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Serves,
    /// Refuses each call with 503.
    Busy,
    /// Gives no answer.
    Silent,
}

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    epoch: u64,
    sequence: Option<u64>,
    /// Last five appends with their responses.
    answers: VecDeque<(u64, String)>,
}

struct State {
    topics: HashMap<String, Topic>,
    mode: Mode,
    /// Modes of single callers.
    mode_of: HashMap<IpAddr, Mode>,
    /// Appends that were refused because of a record's size.
    oversized: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(address: IpAddr) -> Self {
        let state = Arc::new(Mutex::new(State {
            topics: HashMap::new(),
            mode: Mode::Serves,
            mode_of: HashMap::new(),
            oversized: 0,
        }));
        let shared = Arc::clone(&state);
        let addr = http::serve(address, move |request| handle(&shared, &request));
        Self { state, addr }
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Sets the mode for one caller.
    pub fn set_mode_of(&self, caller: IpAddr, mode: Mode) {
        self.state.lock().unwrap().mode_of.insert(caller, mode);
    }

    /// Appends a record as the operator or a runner; fails while the store does not serve.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.mode != Mode::Serves {
            return false;
        }
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic
            .records
            .push((key.to_owned(), value.as_bytes().to_vec()));
        true
    }

    /// Returns the number of appends refused because a record was too large.
    pub fn oversized(&self) -> u64 {
        self.state.lock().unwrap().oversized
    }
}

fn handle(state: &Mutex<State>, request: &Request) -> Reply {
    let mode = {
        let state = state.lock().unwrap();
        let own = state.mode_of.get(&request.from).copied();
        if state.mode == Mode::Serves {
            own.unwrap_or(Mode::Serves)
        } else {
            state.mode
        }
    };
    match mode {
        Mode::Serves => {}
        Mode::Busy => return Reply::Answer(503, Vec::new()),
        Mode::Silent => return Reply::Silence,
    }
    thread::sleep(ANSWER_TIME);
    let name = request.query.get("Topic").cloned().unwrap_or_default();
    match request.path.as_str() {
        "/api/log-append" => {
            let mut state = state.lock().unwrap();
            let (status, body) = append(state.topics.entry(name).or_default(), request);
            if status == 413 {
                state.oversized += 1;
            }
            Reply::json(status, body)
        }
        "/api/log-newest" => {
            let state = state.lock().unwrap();
            let empty = Topic::default();
            let topic = state.topics.get(&name).unwrap_or(&empty);
            Reply::json(200, newest(topic, request.query.get("DependsOn")))
        }
        "/api/log-read" => {
            let from = request.number("From").unwrap_or(0) as usize;
            let wait = Duration::from_millis(request.number("WaitMs").unwrap_or(0));
            let until = Instant::now() + wait;
            loop {
                {
                    let state = state.lock().unwrap();
                    if state.mode != Mode::Serves {
                        return Reply::Answer(503, Vec::new());
                    }
                    let empty = Topic::default();
                    let topic = state.topics.get(&name).unwrap_or(&empty);
                    if topic.records.len() > from || Instant::now() >= until {
                        return Reply::Answer(200, read(topic, from));
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
        }
        _ => Reply::Answer(404, Vec::new()),
    }
}

fn append(topic: &mut Topic, request: &Request) -> (u16, String) {
    let end = topic.records.len() as u64;
    if request.number("At").is_some_and(|at| at != end) {
        return (412, format!("{{\"EndOffset\":{end}}}"));
    }
    let body = &request.body;
    let epoch = request.number("epoch");
    let sequence = request.number("Seq").unwrap_or(0);
    if let Some(epoch) = epoch {
        if epoch < topic.epoch {
            return (409, "{\"Reason\":\"fenced\"}".to_owned());
        }
        if epoch == topic.epoch {
            if let Some((_, answer)) = topic.answers.iter().find(|(known, _)| *known == sequence) {
                return (200, answer.clone());
            }
            let next = topic.sequence.map_or(sequence, |last| last + 1);
            if sequence != next {
                return (409, format!("{{\"Reason\":\"seq\",\"Seq\":{next}}}"));
            }
        }
    }
    let mut records = Vec::new();
    let mut rest = &body[..];
    let mut total = 0;
    while let Some((length, tail)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let Some((content, tail)) = tail.split_at_checked(length) else {
            return (400, String::new());
        };
        total += length;
        if length > RECORD_BYTES || total > REQUEST_BYTES {
            return (413, String::new());
        }
        let (key, value) = content[1..].split_at(usize::from(content[0]));
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        rest = tail;
    }
    topic.records.append(&mut records);
    let answer = format!("{{\"Offset\":{end},\"EndOffset\":{}}}", topic.records.len());
    if let Some(epoch) = epoch {
        if epoch > topic.epoch {
            topic.answers.clear();
        }
        topic.epoch = epoch;
        topic.sequence = Some(sequence);
        topic.answers.push_back((sequence, answer.clone()));
        if topic.answers.len() > 5 {
            topic.answers.pop_front();
        }
    }
    (200, answer)
}

fn newest(topic: &Topic, after: Option<&String>) -> String {
    let mut newest: BTreeMap<&str, usize> = BTreeMap::new();
    for (offset, (key, _)) in topic.records.iter().enumerate() {
        newest.insert(key, offset);
    }
    newest.retain(|_, offset| !topic.records[*offset].1.is_empty());
    let mut items = Vec::new();
    let mut bytes = 0;
    let mut has_more = false;
    for (key, offset) in newest {
        if after.is_some_and(|after| key <= after.as_str()) {
            continue;
        }
        let value = &topic.records[offset].1;
        if !items.is_empty() && (items.len() >= PAGE_ITEMS || bytes + value.len() > PAGE_BYTES) {
            has_more = true;
            break;
        }
        bytes += value.len();
        items.push(format!(
            "{{\"Key\":{},\"Value\":\"{}\",\"Offset\":{offset}}}",
            quote(key),
            base64(value)
        ));
    }
    format!(
        "{{\"items\":[{}],\"HasMore\":{has_more},\"EndOffset\":{}}}",
        items.join(","),
        topic.records.len()
    )
}

fn read(topic: &Topic, from: usize) -> Vec<u8> {
    let mut out = (topic.records.len() as u64).to_be_bytes().to_vec();
    out.extend_from_slice(&0_u64.to_be_bytes());
    for (key, value) in topic.records.iter().skip(from) {
        let length = 1 + key.len() + value.len();
        if out.len() > 16 && out.len() + 4 + length > READ_BYTES {
            break;
        }
        out.extend_from_slice(&(length as u32).to_be_bytes());
        out.push(key.len() as u8);
        out.extend_from_slice(key.as_bytes());
        out.extend_from_slice(value);
    }
    out
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let three = [
            chunk[0],
            chunk.get(1).copied().unwrap_or(0),
            chunk.get(2).copied().unwrap_or(0),
        ];
        let bits = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
