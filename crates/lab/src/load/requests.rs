//! Callers' requests.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use kspan_model::{
    Name, Outcome,
    document::{Document, RequestClass, Service},
};
use ntex::{
    SharedCfg,
    client::{Client, Connector, error::ClientError},
    http::header::HeaderValue,
    time::Millis,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::balancer::{Balancer, Target};
use crate::{
    clock::{now, unix_ms},
    http::ThreadPool,
    record::{Answer, Book, Call, Send},
    token::{expected_body, mix, segment},
};

/// Sends of one request before its caller gives up.
const MAX_ATTEMPTS: u32 = 3;

/// Connections refused in a row before a caller gives up.
const MAX_REFUSALS: u32 = 40;

/// Pause after a refused connection.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

/// Time past a request's deadline for which its caller waits for the answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// Time after which an impatient caller gives a send up; most answers take a little longer.
const GIVE_UP_AFTER: Duration = Duration::from_millis(12);

/// Connections that one load thread keeps to one entry host.
const CONNECTIONS: usize = 512;

/// Largest answer that a caller takes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// What load is to be sent.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Requests a second.
    pub rate: f64,
    /// Seed of everything random.
    pub seed: u64,
    /// Threads that send.
    pub threads: usize,
    /// How many sends are given up early.
    pub impatience: Impatience,
}

/// One of how many sends is given up early; zero for none. Shared with the senders.
#[derive(Clone, Debug, Default)]
pub struct Impatience(Arc<AtomicU32>);

impl Impatience {
    /// Changes the share of sends that are given up early.
    pub fn set(&self, one_in: u32) {
        self.0.store(one_in, Ordering::Release);
    }

    /// Only the first send of a request is given up, so that every request gets an outcome.
    fn gives_up(&self, token: u64, attempt: u32) -> bool {
        let one_in = u64::from(self.0.load(Ordering::Acquire));
        attempt == 1 && one_in > 0 && mix(token).is_multiple_of(one_in)
    }
}

/// Requests under way.
pub struct Load {
    stop: Arc<AtomicBool>,
    open: Arc<AtomicU64>,
}

struct Sender {
    client: Client,
    balancer: Balancer,
    book: Book,
    document: Document,
    open: Arc<AtomicU64>,
    impatience: Impatience,
}

impl Load {
    /// Starts sending.
    pub fn start(plan: &Plan, document: &Document, balancer: &Balancer, book: &Book) -> Self {
        let pool = ThreadPool::new(plan.threads);
        let stop = Arc::new(AtomicBool::new(false));
        let open = Arc::new(AtomicU64::new(0));
        for index in 0..plan.threads {
            let (plan, document, balancer) = (plan.clone(), document.clone(), balancer.clone());
            let (book, stop, open) = (book.clone(), stop.clone(), open.clone());
            let keep = pool.clone();
            pool.run(move || {
                ntex::rt::spawn(async move {
                    let client = new_client(Millis(60_000)).await;
                    let sender = Sender {
                        client,
                        balancer,
                        book,
                        document,
                        open,
                        impatience: plan.impatience.clone(),
                    };
                    generate(Rc::new(sender), &plan, index, &stop).await;
                    // The threads end with the last pool handle, and calls may be open still.
                    std::mem::forget(keep);
                });
            });
        }
        Self { stop, open }
    }

    /// Sends no more new requests.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
    }

    /// Returns how many requests are open.
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Acquire)
    }

    /// Waits until every request is settled, or the time is over.
    pub async fn settle(&self, within: Duration) -> bool {
        let deadline = tokio::time::Instant::now() + within;
        while self.open() > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.open() == 0
    }
}

/// Creates a client with many connections.
///
/// # Panics
///
/// Panics where the library refuses its own configuration.
pub async fn new_client(timeout: Millis) -> Client {
    Client::builder()
        .response_timeout(timeout)
        .response_payload_limit(4 * 1024 * 1024)
        .connector::<()>(Connector::new().limit(CONNECTIONS))
        .build(SharedCfg::default())
        .await
        .expect("a client without TLS can always be built")
}

/// Asks one router for one idempotent request of every service, and returns whether all ran.
/// These requests are not recorded as callers' requests.
pub async fn try_router(client: &Client, document: &Document, http: SocketAddr) -> bool {
    for service in &document.services {
        let Some(class) = service.classes.iter().find(|class| class.idempotent) else {
            continue;
        };
        let token = mix(now().0);
        let url = format!(
            "http://{http}/s/{}/{}/{}",
            service.name,
            class.name,
            segment(token)
        );
        let asked = client.post(url).header("kspan-attempt", "1").send();
        let answer = tokio::time::timeout(Duration::from_secs(1), asked).await;
        let ran = answer.is_ok_and(|answer| {
            answer.is_ok_and(|res| {
                let header = res.header(Outcome::HEADER);
                header.is_some_and(|value| value.as_bytes() == b"ran")
            })
        });
        if !ran {
            return false;
        }
    }
    true
}

async fn generate(sender: Rc<Sender>, plan: &Plan, index: usize, stop: &AtomicBool) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ ((index as u64) << 32));
    let mean = plan.threads as f64 / plan.rate;
    let mut due = tokio::time::Instant::now();
    while !stop.load(Ordering::Acquire) {
        due += Duration::from_secs_f64(-mean * (1.0 - rng.random::<f64>()).ln());
        tokio::time::sleep_until(due).await;
        let Some(call) = sender.new_call(&mut rng) else {
            return;
        };
        sender.open.fetch_add(1, Ordering::AcqRel);
        let sender = sender.clone();
        ntex::rt::spawn(async move {
            let open = sender.open.clone();
            sender.run(call).await;
            open.fetch_sub(1, Ordering::AcqRel);
        });
    }
}

impl Sender {
    fn new_call(&self, rng: &mut ChaCha8Rng) -> Option<Call> {
        let service = pick(&self.document.services, rng)?;
        let class = pick(&service.classes, rng)?;
        let region = pick(&self.document.regions, rng)?;
        let token: u64 = rng.random();
        let key = (!class.idempotent).then(|| Name::from(format!("{}:{token:016x}", region.name)));
        Some(Call {
            token,
            service: service.name.clone(),
            class: class.name.clone(),
            idempotent: class.idempotent,
            region: region.name.clone(),
            key,
            wanted: now(),
            settled: now(),
            sends: Vec::new(),
            outcome: Outcome::Unknown,
        })
    }

    async fn run(&self, mut call: Call) {
        let created = unix_ms();
        let mut attempt = 1;
        let mut refusals = 0;
        let outcome = loop {
            let last = call.sends.last().map(|send| send.to.clone());
            let target = self.balancer.pick(&call.region, last.as_ref());
            let send = self.send_once(&call, &target, attempt, created).await;
            let answer = send.answer;
            call.sends.push(send);
            match answer {
                Answer::Told(outcome @ (Outcome::Ran | Outcome::NotRun)) => break outcome,
                Answer::NotConnected if refusals < MAX_REFUSALS => {
                    refusals += 1;
                    tokio::time::sleep(REFUSAL_PAUSE).await;
                }
                Answer::NotConnected if attempt == 1 => break Outcome::NotRun,
                Answer::Told(Outcome::Unknown) | Answer::Lost if attempt < MAX_ATTEMPTS => {
                    attempt += 1;
                }
                _ => break Outcome::Unknown,
            }
        };
        call.outcome = outcome;
        call.settled = now();
        self.book.records().calls.push(call);
    }

    async fn send_once(&self, call: &Call, target: &Target, attempt: u32, created: u64) -> Send {
        let delay = self.document.fleet.delay_caller.as_duration();
        let sent = now();
        tokio::time::sleep(delay).await;
        let answer = self.exchange(call, target, attempt, created).await;
        tokio::time::sleep(delay).await;
        Send {
            to: target.name.clone(),
            attempt,
            sent,
            answered: now(),
            answer,
        }
    }

    async fn exchange(&self, call: &Call, target: &Target, attempt: u32, created: u64) -> Answer {
        let Some(class) = self.class(call) else {
            return Answer::NotConnected;
        };
        let patience = if self.impatience.gives_up(call.token, attempt) {
            GIVE_UP_AFTER
        } else {
            class.deadline.as_duration() + PATIENCE
        };
        let asked = self.ask(call, class, target, attempt, created);
        tokio::time::timeout(patience, asked)
            .await
            .unwrap_or(Answer::Lost)
    }

    async fn ask(
        &self,
        call: &Call,
        class: &RequestClass,
        target: &Target,
        attempt: u32,
        created: u64,
    ) -> Answer {
        let (service, name) = (&call.service, &call.class);
        let url = format!(
            "http://{}/s/{service}/{name}/{}",
            target.http,
            segment(call.token)
        );
        let req = self
            .client
            .post(url)
            .header("kspan-attempt", attempt.to_string())
            .header("kspan-caller", header_text(&call.region))
            .header("kspan-deadline-ms", class.deadline.0.to_string());
        let req = match &call.key {
            Some(key) => req
                .header("idempotency-key", header_text(key))
                .header("idempotency-created", created.to_string()),
            None => req,
        };
        let res = match req.send_body(segment(call.token)).await {
            Ok(res) => res,
            Err(ClientError::Connect(_)) => return Answer::NotConnected,
            Err(_) => return Answer::Lost,
        };
        let status = res.status().as_u16();
        let header = res
            .header(Outcome::HEADER)
            .and_then(|value| value.to_str().ok());
        let outcome = header.and_then(parse_outcome);
        let Some(outcome) = outcome else {
            return Answer::NoOutcome { status };
        };
        let body = res.body().limit(MAX_ANSWER_BYTES).await;
        match (outcome, body) {
            // A body that the connection did not carry whole is known to be cut, so nothing was
            // passed off as complete.
            (Outcome::Ran, Err(_)) => Answer::Lost,
            (Outcome::Ran, Ok(body)) if *body != *expected_body(call.token).as_bytes() => {
                Answer::WrongBody
            }
            (outcome, _) => Answer::Told(outcome),
        }
    }

    fn class(&self, call: &Call) -> Option<&RequestClass> {
        let service: &Service = self.document.service(&call.service)?;
        service.class(&call.class)
    }
}

fn pick<'a, T>(from: &'a [T], rng: &mut ChaCha8Rng) -> Option<&'a T> {
    (!from.is_empty()).then(|| &from[rng.random_range(0..from.len())])
}

/// Names of regions are not all ASCII, and go over HTTP as UTF-8.
fn header_text(text: &Name) -> HeaderValue {
    HeaderValue::from_bytes(text.as_bytes()).expect("names have no control characters")
}

fn parse_outcome(text: &str) -> Option<Outcome> {
    [Outcome::Ran, Outcome::NotRun, Outcome::Unknown]
        .into_iter()
        .find(|outcome| outcome.to_string() == text)
}
