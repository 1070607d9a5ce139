//! The pooler's client sessions: admission, the worker threads that serve them, and idle timeouts.
//!
//! A worker thread serves one session at a time until its client pauses. The session is then
//! parked: it uses a file descriptor but no thread, and is dispatched to a worker again when data
//! arrives.
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::net::idle_connections::Registration;
use crate::net::sockets::{configure_stream, enable_keep_alive};
use crate::net::statement_protocol::ReadBuffer;
use crate::pooler::client_session::{NextStep, Session};
use crate::pooler::server::Pooler;
use std::collections::VecDeque;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// The stack size of a worker thread: statements are small, and buffers are on the heap.
const WORKER_STACK_BYTES: usize = 128 << 10;

/// The time in ms after which an idle worker thread ends.
const WORKER_IDLE_TIMEOUT_MS: u64 = 2_000;

/// The number of idle worker threads that are retained, because the operating system may not be
/// able to start a new one later.
const MIN_IDLE_WORKERS: usize = 1;

/// The time in ms that a retained worker thread waits for a session before it checks the queue
/// again without a notification.
const RETAINED_WORKER_WAIT_MS: u64 = 60_000;

/// How long a worker waits for the next line of a session before it parks the session.
const NEXT_LINE_TIMEOUT: Duration = Duration::from_millis(20);

/// The timeout for one write to a client.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The time after which the kernel closes the connection of a client that acknowledges no data.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);

/// The time in ms within which a client has to send CONNECT.
const CONNECT_DEADLINE_MS: u64 = 10_000;

/// The age in ms from which a session counts as long-lived.
const LONG_LIVED_MS: u64 = 1_000;

/// The idle time after which the kernel sends keep-alive probes to the client of a long-lived
/// session.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(30);

/// The idle timeout of a transaction in ms, while no configuration sets one.
const DEFAULT_TRANSACTION_IDLE_MS: u64 = 3_000;

/// The part of a session that other threads may read, and through which they may end it.
pub(crate) struct SessionHandle {
    pub(crate) stream: TcpStream,
    accepted_at: Tick,
    /// Whether the session is older than `LONG_LIVED_MS`; keep-alive is then enabled.
    pub(crate) long_lived: AtomicBool,
    /// Whether the session was parked before, so that its stream is already registered.
    parked_before: AtomicBool,
    /// Whether the client has sent CONNECT.
    pub(crate) connected: AtomicBool,
    /// The tick since which the session waits for its client; 0 while it serves a statement.
    pub(crate) waiting_since: AtomicU64,
    /// Whether the client has an open transaction.
    pub(crate) in_transaction: AtomicBool,
}

/// Which of the sessions that wait for their clients are closed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseScope {
    /// Sessions without an open transaction.
    Idle,
    /// All sessions, with or without an open transaction.
    Waiting,
}

impl SessionHandle {
    fn new(stream: TcpStream, now: Tick) -> Self {
        Self {
            stream,
            accepted_at: now,
            long_lived: AtomicBool::new(false),
            parked_before: AtomicBool::new(false),
            connected: AtomicBool::new(false),
            waiting_since: AtomicU64::new(now.0),
            in_transaction: AtomicBool::new(false),
        }
    }

    /// Stops reading from the client if the session waits for it and is in the scope. Statements
    /// that were already received are still served.
    pub(super) fn close_if_waiting(&self, scope: CloseScope) {
        let waits = self.waiting_since.load(Ordering::Relaxed) > 0;
        let in_scope = scope == CloseScope::Waiting || !self.in_transaction.load(Ordering::Relaxed);
        if waits && in_scope {
            drop(self.stream.shutdown(Shutdown::Read));
        }
    }

    /// Ends the session if its client has not sent CONNECT in time or has left a transaction idle
    /// for too long. Enables keep-alive on long-lived sessions.
    fn enforce_time_limits(&self, now: Tick, transaction_idle_ms: u64) {
        let waiting_since = self.waiting_since.load(Ordering::Relaxed);
        let idle_too_long = waiting_since > 0 && now.0 > waiting_since + transaction_idle_ms;
        if self.in_transaction.load(Ordering::Relaxed) && idle_too_long {
            drop(self.stream.shutdown(Shutdown::Both));
        }
        let age_ms = now.since(self.accepted_at);
        if age_ms > CONNECT_DEADLINE_MS && !self.connected.load(Ordering::Relaxed) {
            drop(self.stream.shutdown(Shutdown::Both));
        }
        if age_ms > LONG_LIVED_MS && !self.long_lived.swap(true, Ordering::Relaxed) {
            // If this fails, the loss of the client is only noticed at the next write to it.
            drop(enable_keep_alive(&self.stream, KEEP_ALIVE_IDLE));
        }
    }
}

/// The queue of sessions that have input to serve, and the worker threads that take from it.
#[derive(Default)]
pub(super) struct SessionWorkers {
    queue: Mutex<WorkerQueue>,
    session_added: Condvar,
}

#[derive(Default)]
struct WorkerQueue {
    idle_threads: usize,
    sessions: VecDeque<Session>,
}

impl SessionWorkers {
    /// Adds a session. Returns true if there are more queued sessions than idle threads.
    fn push(&self, session: Session) -> bool {
        let mut queue = lock(&self.queue);
        queue.sessions.push_back(session);
        queue.sessions.len() > queue.idle_threads
    }

    /// Waits for a session. Returns `None` if there was none for `WORKER_IDLE_TIMEOUT_MS` and more
    /// than `MIN_IDLE_WORKERS` threads are idle.
    fn next(&self) -> Option<Session> {
        let mut queue = lock(&self.queue);
        queue.idle_threads += 1;
        let deadline = Tick::now().plus(WORKER_IDLE_TIMEOUT_MS);
        loop {
            if let Some(session) = queue.sessions.pop_front() {
                queue.idle_threads -= 1;
                return Some(session);
            }
            let left_ms = deadline.since(Tick::now());
            if left_ms == 0 && queue.idle_threads > MIN_IDLE_WORKERS {
                queue.idle_threads -= 1;
                return None;
            }
            let wait_ms = if left_ms == 0 { RETAINED_WORKER_WAIT_MS } else { left_ms };
            let waited = self.session_added.wait_timeout(queue, Duration::from_millis(wait_ms));
            queue = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Pooler {
    /// Starts a session for a client, if the session limit and the state of the leader allow it.
    /// Otherwise the connection is closed at once, so that the client tries another node.
    pub(super) fn admit(self: &Arc<Self>, stream: TcpStream) {
        let id = self.next_session_id.fetch_add(1, Ordering::Relaxed);
        let now = Tick::now();
        if lock(&self.sessions).len() >= self.max_sessions || self.leader_lost(now) {
            return;
        }
        if set_client_options(&stream).is_err() {
            return;
        }
        let handle = Arc::new(SessionHandle::new(stream, now));
        lock(&self.sessions).insert(id, Arc::clone(&handle));
        let pooler = Arc::clone(self);
        self.dispatch(Session { id, pooler, handle, buffer: ReadBuffer::default(), client: None });
    }

    /// Queues the session for an idle worker thread, and starts a new one if there is none. If the
    /// operating system can't start a thread, the session waits for a busy worker.
    pub(super) fn dispatch(self: &Arc<Self>, session: Session) {
        let needs_thread = self.workers.push(session);
        if !needs_thread || !self.start_worker() {
            self.workers.session_added.notify_one();
        }
    }

    /// Starts a worker thread. Returns false if the operating system can't.
    fn start_worker(self: &Arc<Self>) -> bool {
        let pooler = Arc::clone(self);
        let thread = std::thread::Builder::new().stack_size(WORKER_STACK_BYTES);
        thread.spawn(move || pooler.run_worker()).is_ok()
    }

    /// Serves sessions until enough other worker threads are idle.
    pub(super) fn run_worker(&self) {
        while let Some(mut session) = self.workers.next() {
            match session.serve() {
                Ok(NextStep::Park) => self.park(session),
                Ok(NextStep::End) => {}
                // Client connections break often, so this is not logged at a higher level.
                Err(e) => log::debug!(
                    target: "session",
                    "session {} ended by an error on the client connection: {e}",
                    session.id
                ),
            }
        }
    }

    /// Parks the session until its client sends data or closes the connection.
    fn park(&self, session: Session) {
        let (id, handle) = (session.id, Arc::clone(&session.handle));
        let registration = match handle.parked_before.swap(true, Ordering::Relaxed) {
            true => Registration::Existing,
            false => Registration::New,
        };
        self.parked.park(id, &handle.stream, session, registration);
    }

    /// Removes an ended session from the list.
    pub(crate) fn remove_session(&self, id: u64) {
        lock(&self.sessions).remove(&id);
    }

    /// Enforces the time limits of sessions, and closes connections to databases that exceed the
    /// quotas. While the leader is lost, sessions without an open transaction are closed.
    pub(super) fn enforce_limits(&self, now: Tick) {
        let transaction_idle_ms = self
            .route_table()
            .map_or(DEFAULT_TRANSACTION_IDLE_MS, |table| table.limits.txn_idle_ms);
        let leader_lost = self.leader_lost(now);
        for session in lock(&self.sessions).values() {
            if leader_lost {
                session.close_if_waiting(CloseScope::Idle);
            }
            session.enforce_time_limits(now, transaction_idle_ms);
        }
        for service in lock(&self.view).services.values_mut() {
            service.apply_quota(Tick::now());
        }
    }

    /// Closes the waiting sessions in the scope, for draining. Returns the number of all sessions.
    pub(super) fn close_sessions(&self, scope: CloseScope) -> usize {
        let sessions: Vec<Arc<SessionHandle>> = lock(&self.sessions).values().cloned().collect();
        for session in &sessions {
            session.close_if_waiting(scope);
        }
        sessions.len()
    }
}

/// Sets the socket options that every session needs. Many sessions are short, so keep-alive is
/// enabled later, on long-lived ones only.
fn set_client_options(stream: &TcpStream) -> io::Result<()> {
    configure_stream(stream, UNACKNOWLEDGED_TIMEOUT)?;
    stream.set_read_timeout(Some(NEXT_LINE_TIMEOUT))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))
}
