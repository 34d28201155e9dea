//! Generates callers' requests.

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
    record::{Answer, Call, Recorder, SendRecord},
    token::{expected_body, mix, segment},
};

/// Maximum number of attempts of a request; refused connections do not count.
const MAX_ATTEMPTS: u32 = 3;

/// Maximum number of refused connections of a request.
const MAX_REFUSED_CONNECTIONS: u32 = 40;

/// Delay after a refused connection.
const REFUSAL_DELAY: Duration = Duration::from_millis(50);

/// Time that a caller waits for the answer beyond the request's deadline.
const EXTRA_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of a send that is aborted early; most answers take slightly longer.
const ABORT_TIMEOUT: Duration = Duration::from_millis(12);

/// Maximum number of connections from one load thread to one entry host.
const MAX_CONNECTIONS: usize = 512;

/// Maximum length of an answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Parameters of the request load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Requests per second.
    pub rate: f64,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Number of sending threads.
    pub threads: usize,
    /// Fraction of sends that are aborted early.
    pub abort_rate: AbortRate,
}

/// The fraction of sends that callers abort early, given as one in N; zero aborts none.
///
/// Clones share the value.
#[derive(Clone, Debug, Default)]
pub struct AbortRate(Arc<AtomicU32>);

impl AbortRate {
    /// Sets the fraction of sends that are aborted early.
    pub fn set(&self, one_in: u32) {
        self.0.store(one_in, Ordering::Release);
    }

    /// Returns whether to abort a send; only first attempts, so that every request gets an outcome.
    fn should_abort(&self, token: u64, attempt: u32) -> bool {
        let one_in = u64::from(self.0.load(Ordering::Acquire));
        attempt == 1 && one_in > 0 && mix(token).is_multiple_of(one_in)
    }
}

/// A running load of requests.
pub struct Load {
    stop: Arc<AtomicBool>,
    open: Arc<AtomicU64>,
}

struct Sender {
    client: Client,
    balancer: Balancer,
    recorder: Recorder,
    document: Document,
    open: Arc<AtomicU64>,
    abort_rate: AbortRate,
}

impl Load {
    /// Starts sending requests.
    pub fn start(
        plan: &Plan,
        document: &Document,
        balancer: &Balancer,
        recorder: &Recorder,
    ) -> Self {
        let pool = ThreadPool::new(plan.threads);
        let stop = Arc::new(AtomicBool::new(false));
        let open = Arc::new(AtomicU64::new(0));
        for index in 0..plan.threads {
            let (plan, document, balancer) = (plan.clone(), document.clone(), balancer.clone());
            let (recorder, stop, open) = (recorder.clone(), stop.clone(), open.clone());
            let pool_handle = pool.clone();
            pool.spawn(move || {
                ntex::rt::spawn(async move {
                    let client = new_client(Millis(60_000)).await;
                    let sender = Sender {
                        client,
                        balancer,
                        recorder,
                        document,
                        open,
                        abort_rate: plan.abort_rate.clone(),
                    };
                    generate(Rc::new(sender), &plan, index, &stop).await;
                    // Dropping the last pool handle would end the threads while requests are open.
                    std::mem::forget(pool_handle);
                });
            });
        }
        Self { stop, open }
    }

    /// Stops sending new requests.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
    }

    /// Returns the number of requests in flight.
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Acquire)
    }

    /// Waits until every request has settled or the timeout expires; returns whether all have.
    pub async fn settle(&self, timeout: Duration) -> bool {
        let deadline = tokio::time::Instant::now() + timeout;
        while self.open() > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.open() == 0
    }
}

/// Creates an HTTP client that allows many connections per host.
///
/// # Panics
///
/// Panics if the HTTP library rejects the configuration.
pub async fn new_client(timeout: Millis) -> Client {
    Client::builder()
        .response_timeout(timeout)
        .response_payload_limit(4 * 1024 * 1024)
        .connector::<()>(Connector::new().limit(MAX_CONNECTIONS))
        .build(SharedCfg::default())
        .await
        .expect("a client without TLS can always be built")
}

/// Sends one idempotent request of every service to a router and returns whether all ran.
///
/// These requests are not recorded as callers' requests.
pub async fn probe_router(client: &Client, document: &Document, http: SocketAddr) -> bool {
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
        let response = client.post(url).header("kspan-attempt", "1").send();
        let answer = tokio::time::timeout(Duration::from_secs(1), response).await;
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
        let service = choose(&self.document.services, rng)?;
        let class = choose(&service.classes, rng)?;
        let region = choose(&self.document.regions, rng)?;
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
        let created_ms = unix_ms();
        let mut attempt = 1;
        let mut refused_connections = 0;
        let outcome = loop {
            let previous = call.sends.last().map(|send| send.to.clone());
            let target = self.balancer.select(&call.region, previous.as_ref());
            let send = self.send_once(&call, &target, attempt, created_ms).await;
            let answer = send.answer;
            call.sends.push(send);
            match answer {
                Answer::Told(outcome @ (Outcome::Ran | Outcome::NotRun)) => break outcome,
                Answer::NotConnected if refused_connections < MAX_REFUSED_CONNECTIONS => {
                    refused_connections += 1;
                    tokio::time::sleep(REFUSAL_DELAY).await;
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
        self.recorder.records().calls.push(call);
    }

    async fn send_once(
        &self,
        call: &Call,
        target: &Target,
        attempt: u32,
        created_ms: u64,
    ) -> SendRecord {
        let delay = self.document.fleet.delay_caller.as_duration();
        let sent = now();
        tokio::time::sleep(delay).await;
        let answer = self.exchange(call, target, attempt, created_ms).await;
        tokio::time::sleep(delay).await;
        SendRecord {
            to: target.name.clone(),
            attempt,
            sent,
            answered: now(),
            answer,
        }
    }

    async fn exchange(
        &self,
        call: &Call,
        target: &Target,
        attempt: u32,
        created_ms: u64,
    ) -> Answer {
        let Some(class) = self.class(call) else {
            return Answer::NotConnected;
        };
        let wait = if self.abort_rate.should_abort(call.token, attempt) {
            ABORT_TIMEOUT
        } else {
            class.deadline.as_duration() + EXTRA_ANSWER_TIMEOUT
        };
        let response = self.send_request(call, class, target, attempt, created_ms);
        tokio::time::timeout(wait, response)
            .await
            .unwrap_or(Answer::Lost)
    }

    async fn send_request(
        &self,
        call: &Call,
        class: &RequestClass,
        target: &Target,
        attempt: u32,
        created_ms: u64,
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
            .header("kspan-caller", header_value(&call.region))
            .header("kspan-deadline-ms", class.deadline.0.to_string());
        let req = match &call.key {
            Some(key) => req
                .header("idempotency-key", header_value(key))
                .header("idempotency-created", created_ms.to_string()),
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
            // The HTTP client detects a truncated body, so the router did not present it as
            // complete.
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

fn choose<'a, T>(items: &'a [T], rng: &mut ChaCha8Rng) -> Option<&'a T> {
    (!items.is_empty()).then(|| &items[rng.random_range(0..items.len())])
}

/// Encodes a name, which may contain non-ASCII characters, as a UTF-8 header value.
fn header_value(text: &Name) -> HeaderValue {
    HeaderValue::from_bytes(text.as_bytes()).expect("names have no control characters")
}

fn parse_outcome(text: &str) -> Option<Outcome> {
    [Outcome::Ran, Outcome::NotRun, Outcome::Unknown]
        .into_iter()
        .find(|outcome| outcome.to_string() == text)
}
