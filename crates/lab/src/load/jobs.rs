//! Generates job submissions of batch and gang workloads.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use kspan_model::{JobId, JobResult, Name, document::Document};
use ntex::{client::Client, http::Method, time::Millis};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::{balancer::Balancer, requests::new_client};
use crate::{
    clock::now,
    http::ThreadPool,
    record::{JobCall, Recorder},
};

/// Timeout of a request to a scheduler.
const REQUEST_TIMEOUT: Millis = Millis(5_000);

/// Interval between status requests for a job.
const STATUS_INTERVAL: Duration = Duration::from_millis(300);

/// Delay before a submission that was not accepted is retried.
const RESUBMIT_DELAY: Duration = Duration::from_millis(500);

/// One in this many jobs is cancelled.
const CANCEL_ONE_IN: u32 = 12;

/// Parameters of the job load.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Jobs per second.
    pub rate: f64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A running load of job submissions.
pub struct Jobs {
    stop: Arc<AtomicBool>,
    abandon: Arc<AtomicBool>,
    open: Arc<AtomicU64>,
}

#[derive(Serialize)]
struct SubmitBody<'a> {
    workload: &'a str,
    key: &'a str,
}

#[derive(Deserialize)]
struct Submitted {
    job: JobId,
}

/// The part of a scheduler's job status that the load uses.
#[derive(Deserialize)]
struct Status {
    #[serde(default)]
    result: Option<JobResult>,
}

#[derive(Clone)]
struct Workload {
    name: Name,
    tasks: u32,
    gang: bool,
}

#[derive(Clone)]
struct Submitter {
    client: Client,
    balancer: Balancer,
    recorder: Recorder,
    abandon: Arc<AtomicBool>,
}

impl Jobs {
    /// Starts submitting.
    pub fn start(
        plan: Plan,
        document: &Document,
        balancer: &Balancer,
        recorder: &Recorder,
    ) -> Self {
        let pool = ThreadPool::new(1);
        let (stop, abandon) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        let open = Arc::new(AtomicU64::new(0));
        let workloads = workloads(document);
        let regions: Vec<Name> = document
            .regions
            .iter()
            .map(|region| region.name.clone())
            .collect();
        let (balancer, recorder) = (balancer.clone(), recorder.clone());
        let (stopped, abandoned, open_count) = (stop.clone(), abandon.clone(), open.clone());
        let pool_handle = pool.clone();
        pool.spawn(move || {
            ntex::rt::spawn(async move {
                let submitter = Submitter {
                    client: new_client(REQUEST_TIMEOUT).await,
                    balancer,
                    recorder,
                    abandon: abandoned,
                };
                generate(
                    &submitter,
                    plan,
                    &workloads,
                    &regions,
                    &stopped,
                    &open_count,
                )
                .await;
                // Dropping the last pool handle would end the thread while jobs are still open.
                std::mem::forget(pool_handle);
            });
        });
        Self {
            stop,
            abandon,
            open,
        }
    }

    /// Stops submitting new jobs.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
    }

    /// Waits until every job has ended or the timeout expires, then stops polling.
    ///
    /// Returns the number of jobs that have not ended.
    pub async fn settle(&self, timeout: Duration) -> u64 {
        let deadline = tokio::time::Instant::now() + timeout;
        while self.open.load(Ordering::Acquire) > 0 && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let unfinished = self.open.load(Ordering::Acquire);
        self.abandon.store(true, Ordering::Release);
        unfinished
    }
}

fn workloads(document: &Document) -> Vec<Workload> {
    let batch = document.batch.iter().map(|batch| Workload {
        name: batch.name.clone(),
        tasks: batch.tasks,
        gang: false,
    });
    let gangs = document.gangs.iter().map(|gang| Workload {
        name: gang.name.clone(),
        tasks: gang.tasks,
        gang: true,
    });
    batch.chain(gangs).collect()
}

async fn generate(
    submitter: &Submitter,
    plan: Plan,
    workloads: &[Workload],
    regions: &[Name],
    stop: &AtomicBool,
    open: &Arc<AtomicU64>,
) {
    if workloads.is_empty() || regions.is_empty() || plan.rate <= 0.0 {
        return;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ 0x6a6f_6273);
    let period = Duration::from_secs_f64(1.0 / plan.rate);
    for number in 0u32.. {
        if stop.load(Ordering::Acquire) {
            return;
        }
        let workload = workloads[number as usize % workloads.len()].clone();
        let region = regions[rng.random_range(0..regions.len())].clone();
        let key = format!("lab-{}-{number}", plan.seed);
        let cancel = number % CANCEL_ONE_IN == CANCEL_ONE_IN - 1;
        let cancel = cancel.then(|| Duration::from_millis(rng.random_range(0..800)));
        let (submitter, open) = (submitter.clone(), open.clone());
        open.fetch_add(1, Ordering::AcqRel);
        ntex::rt::spawn(async move {
            submitter.run(&workload, &region, key, cancel).await;
            open.fetch_sub(1, Ordering::AcqRel);
        });
        tokio::time::sleep(period).await;
    }
}

impl Submitter {
    async fn run(&self, workload: &Workload, region: &Name, key: String, cancel: Option<Duration>) {
        let index = self.record_submission(workload, key.clone());
        let Some(job) = self.submit(workload, region, &key, index).await else {
            return;
        };
        if let Some(after) = cancel {
            tokio::time::sleep(after).await;
            self.cancel(job, region, index).await;
        }
        while !self.is_abandoned() {
            tokio::time::sleep(STATUS_INTERVAL).await;
            let status: Option<Status> = self.request_job(Method::GET, job, region).await;
            if let Some(result) = status.and_then(|status| status.result) {
                self.update(index, |call| {
                    call.result = Some(result);
                    call.ended = Some(now());
                });
                return;
            }
        }
    }

    fn record_submission(&self, workload: &Workload, key: String) -> usize {
        let mut records = self.recorder.records();
        records.jobs.push(JobCall {
            key,
            workload: workload.name.clone(),
            tasks: workload.tasks,
            gang: workload.gang,
            sent: now(),
            job: None,
            accepted: None,
            cancelled: None,
            result: None,
            ended: None,
        });
        records.jobs.len() - 1
    }

    fn update(&self, index: usize, change: impl FnOnce(&mut JobCall)) {
        change(&mut self.recorder.records().jobs[index]);
    }

    fn is_abandoned(&self) -> bool {
        self.abandon.load(Ordering::Acquire)
    }

    /// Sends the submission with the same idempotency key until a scheduler accepts it.
    async fn submit(
        &self,
        workload: &Workload,
        region: &Name,
        key: &str,
        index: usize,
    ) -> Option<JobId> {
        let body = SubmitBody {
            workload: &workload.name,
            key,
        };
        while !self.is_abandoned() {
            let target = self.balancer.select(region, None);
            let url = format!("http://{}/v1/jobs", target.http);
            if let Ok(res) = self.client.post(url).send_json(&body).await
                && res.status().as_u16() == 202
                && let Ok(submitted) = res.json::<Submitted>().await
            {
                self.update(index, |call| {
                    call.job = Some(submitted.job);
                    call.accepted = Some(now());
                });
                return Some(submitted.job);
            }
            tokio::time::sleep(RESUBMIT_DELAY).await;
        }
        None
    }

    async fn cancel(&self, job: JobId, region: &Name, index: usize) {
        self.update(index, |call| call.cancelled = Some(now()));
        // The job's result shows later whether the cancellation took effect.
        let _: Option<serde_json::Value> = self.request_job(Method::DELETE, job, region).await;
    }

    async fn request_job<T: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        job: JobId,
        region: &Name,
    ) -> Option<T> {
        let target = self.balancer.select(region, None);
        let url = format!("http://{}/v1/jobs/{job}", target.http);
        let res = self.client.request(method, url).send().await.ok()?;
        if !res.status().is_success() {
            return None;
        }
        res.json().await.ok()
    }
}
