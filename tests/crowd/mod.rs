//! Crowds of clients that break the rules of an interface, and what a process uses of its host's
//! memory and descriptors while they are connected.

use std::{
    fs,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{io::AsyncWriteExt as _, net::TcpStream};

use crate::harness::{POLL_INTERVAL, Process};

/// Time after which a client gives up a write that the process does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which the use must not have grown until the process counts as settled.
const SETTLED_TIME: Duration = Duration::from_millis(1_000);

/// Maximum time until a process settles.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(20);

/// Interval between two samples of a process's use.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// What one client sends before it falls silent and stays connected.
#[derive(Clone, Debug, Default)]
pub(crate) struct Script {
    /// Bytes sent first.
    pub(crate) head: Vec<u8>,
    /// Bytes sent next, `repeats` times.
    pub(crate) piece: Rc<[u8]>,
    /// Number of pieces.
    pub(crate) repeats: usize,
    /// Bytes sent last.
    pub(crate) tail: Vec<u8>,
}

impl Script {
    async fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(&self.head).await?;
        for _ in 0..self.repeats {
            stream.write_all(&self.piece).await?;
            // The clients take turns.
            tokio::task::yield_now().await;
        }
        stream.write_all(&self.tail).await
    }
}

/// Connects one client for each script, lets them send at the same time, and returns their
/// connections. A client whose connection is closed, or whose bytes are not read, stops sending.
pub(crate) async fn connect(addr: &str, scripts: Vec<Script>) -> Vec<TcpStream> {
    let clients = scripts.into_iter().map(|script| {
        let addr = addr.to_owned();
        ntex::rt::spawn(async move {
            let mut stream = TcpStream::connect(addr).await.ok()?;
            // A refusal is what the process may answer with.
            let _ = tokio::time::timeout(WRITE_TIMEOUT, script.send(&mut stream)).await;
            Some(stream)
        })
    });
    let clients: Vec<_> = clients.collect();
    let mut streams = Vec::new();
    for client in clients {
        streams.extend(client.await.expect("a client does not panic"));
    }
    streams
}

/// Maximum use of a process of its host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Use {
    /// Peak of the resident memory, in KiB.
    pub(crate) memory_kib: u64,
    /// Descriptors of sockets and pipes.
    pub(crate) sockets: usize,
    /// All descriptors.
    pub(crate) descriptors: usize,
}

impl Use {
    /// Returns the higher of each figure.
    pub(crate) fn max(self, other: Self) -> Self {
        Self {
            memory_kib: self.memory_kib.max(other.memory_kib),
            sockets: self.sockets.max(other.sockets),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Returns the use of a process; `None` if it has ended.
pub(crate) fn sample(process: &mut Process) -> Option<Use> {
    if !matches!(process.child.try_wait(), Ok(None)) {
        return None;
    }
    let id = process.child.id();
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let memory_kib = peak.trim().trim_end_matches(" kB").parse().ok()?;
    let entries = fs::read_dir(format!("/proc/{id}/fd")).ok()?.flatten();
    let targets: Vec<_> = entries
        .map(|entry| fs::read_link(entry.path()).unwrap_or_default())
        .collect();
    let is_socket = |target: &&std::path::PathBuf| {
        let target = target.to_string_lossy();
        target.starts_with("socket:") || target.starts_with("pipe:")
    };
    Some(Use {
        memory_kib,
        sockets: targets.iter().filter(is_socket).count(),
        descriptors: targets.len(),
    })
}

/// Samples a process until `work` is done and the use has stopped growing. Returns the highest use,
/// or `None` if the process has ended, and the result of `work`.
pub(crate) async fn watch<T: 'static>(
    process: &mut Process,
    work: impl Future<Output = T> + 'static,
) -> (Option<Use>, T) {
    let work = ntex::rt::spawn(work);
    let mut highest = Use::default();
    let mut done_at = None;
    let mut grown_at = Instant::now();
    loop {
        let Some(now) = sample(process) else {
            return (None, work.await.expect("a client does not panic"));
        };
        if highest.max(now) != highest {
            highest = highest.max(now);
            grown_at = Instant::now();
        }
        if done_at.is_none() && work.is_finished() {
            done_at = Some(Instant::now());
        }
        let is_settled = grown_at.elapsed() >= SETTLED_TIME;
        if done_at.is_some_and(|at| {
            is_settled && at.elapsed() >= SETTLED_TIME || at.elapsed() >= MAX_SETTLE_TIME
        }) {
            break;
        }
        tokio::time::sleep(SAMPLE_INTERVAL.min(POLL_INTERVAL)).await;
    }
    (Some(highest), work.await.expect("a client does not panic"))
}
