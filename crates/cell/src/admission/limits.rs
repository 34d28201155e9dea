//! Limits on what clients and their jobs hold in the process, from the memory and the descriptors of its host.

/// Descriptors that the host keeps for files; sockets and pipes share the others.
const FILE_DESCRIPTORS: usize = 200;

/// Memory that an open connection may take besides what is reserved for its requests, in bytes: the
/// head of a request and the buffers in both directions.
const CONNECTION_BYTES: usize = 24 * 1024;

/// Fraction of the host's memory for what clients send and have not read, and fraction for their
/// connections. The rest holds the cell's state, and the process itself.
const BYTES_DIVISOR: u64 = 5;
const CONNECTIONS_DIVISOR: u64 = 5;

/// Fraction of the host's memory for jobs that were accepted and have not ended.
const JOBS_DIVISOR: u64 = 4;

/// Bounds of the number of connections for interfaces that few clients use.
const MIN_CONNECTIONS: usize = 8;
const MAX_SERVICE_CONNECTIONS: usize = 32;

/// Returns the memory that accepted jobs may take on a host with this memory, in bytes.
pub(crate) fn max_job_bytes(memory_mb: u64) -> u64 {
    memory_mb.saturating_mul(1_000_000) / JOBS_DIVISOR
}

/// An interface of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Interface {
    /// Callers' requests.
    Callers,
    /// Readiness checks.
    Ready,
    /// Metrics, state and explanations.
    Operators,
    /// Requests of other processes of the cell.
    Peers,
}

impl Interface {
    /// All interfaces, in the order of their numbers.
    pub(crate) const ALL: [Self; 4] = [Self::Callers, Self::Ready, Self::Operators, Self::Peers];

    /// Returns the interface's name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Ready => "ready",
            Self::Operators => "operators",
            Self::Peers => "peers",
        }
    }
}

/// Limits of an interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Limits {
    /// Bytes that its clients may hold: bodies, frames, requests in flight and queued replies.
    pub(crate) bytes: usize,
    /// Number of its connections.
    pub(crate) connections: usize,
}

impl Limits {
    /// Returns the limits of an interface on a host with this memory and these descriptors.
    pub(crate) fn new(interface: Interface, memory_mb: u64, max_descriptors: usize) -> Self {
        let memory = usize::try_from(memory_mb * 1_000_000).unwrap_or(usize::MAX);
        let divide = |divisor| memory / usize::try_from(divisor).unwrap_or(usize::MAX);
        let bytes = divide(BYTES_DIVISOR);
        let sockets = max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let connections = divide(CONNECTIONS_DIVISOR) / CONNECTION_BYTES;
        let few = (sockets / 16).clamp(MIN_CONNECTIONS, MAX_SERVICE_CONNECTIONS);
        // The process's own connections to the store and to runners have about half of the sockets.
        match interface {
            Interface::Callers => Self {
                bytes: bytes / 2,
                connections: (sockets / 3).min(connections).max(MIN_CONNECTIONS),
            },
            Interface::Peers => Self {
                bytes: bytes * 3 / 8,
                connections: (sockets / 8).min(connections / 2).max(MIN_CONNECTIONS),
            },
            Interface::Ready | Interface::Operators => Self {
                bytes: bytes / 16,
                connections: few,
            },
        }
    }
}
