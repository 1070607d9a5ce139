//! The pooler's clients: admitting them, the threads that serve their sessions, and ending sessions
//! whose clients keep quiet for too long.
//!
//! A thread serves one session at a time, for as long as the client goes on without a pause. A
//! session whose client pauses is parked: it costs a descriptor and no thread, and is given to a
//! thread again when something arrives.
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

/// The stack of a thread that serves sessions: statements are small, and buffers are on the heap.
const WORKER_STACK_BYTES: usize = 128 << 10;

/// A thread waits for another session for this long, in ms, before it ends.
const WORKER_IDLE_MS: u64 = 2_000;

/// So many idle threads never end, since a new one may not be had later.
const MIN_IDLE_WORKERS: usize = 1;

/// A thread that is never to end looks for itself this often, in ms.
const KEPT_WORKER_IDLE_MS: u64 = 60_000;

/// A thread waits for the next line of the session it has just served for this long.
const NEXT_LINE_TIMEOUT: Duration = Duration::from_millis(20);

/// The time for one write to a client.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// The time after which the kernel gives up a client that acknowledges nothing.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);

/// The time in ms that a client has to say CONNECT.
const CONNECT_DEADLINE_MS: u64 = 10_000;

/// A session that has lasted for this long, in ms, may last much longer.
const LONG_LIVED_MS: u64 = 1_000;

/// The kernel probes the client of a long session after so much silence.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(30);

/// How long a transaction may be idle while no configuration says so, in ms.
const DEFAULT_TRANSACTION_IDLE_MS: u64 = 3_000;

/// A session as threads other than its own may see and end it.
pub(crate) struct SessionHandle {
    pub(crate) stream: TcpStream,
    accepted_at: Tick,
    /// It has lasted for a while, and the kernel probes its client.
    pub(crate) long_lived: AtomicBool,
    /// It was parked before, so that its stream is registered there.
    parked_before: AtomicBool,
    /// Its client has said CONNECT.
    pub(crate) connected: AtomicBool,
    /// The tick since which it waits for its client; 0 while it works.
    pub(crate) waiting_since: AtomicU64,
    /// Its client has a transaction open.
    pub(crate) in_transaction: AtomicBool,
}

/// Which of the sessions that wait for their clients are to be closed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseScope {
    /// Those with no transaction open.
    Idle,
    /// Those with a transaction open as well.
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

    /// Reads nothing more from the client if the session waits for it and is in the scope. What was
    /// read already is still answered.
    pub(super) fn close_if_waiting(&self, scope: CloseScope) {
        let waits = self.waiting_since.load(Ordering::Relaxed) > 0;
        let in_scope = scope == CloseScope::Waiting || !self.in_transaction.load(Ordering::Relaxed);
        if waits && in_scope {
            drop(self.stream.shutdown(Shutdown::Read));
        }
    }

    /// Ends the session if its client has been quiet for too long.
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
            // Without probes the loss of the client shows at the next write to it.
            drop(enable_keep_alive(&self.stream, KEEP_ALIVE_IDLE));
        }
    }
}

/// Sessions that something has arrived for, and the threads that serve them.
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
    /// Adds a session. True if there are more sessions than idle threads.
    fn push(&self, session: Session) -> bool {
        let mut queue = lock(&self.queue);
        queue.sessions.push_back(session);
        queue.sessions.len() > queue.idle_threads
    }

    /// Waits for a session. None if there was none for `WORKER_IDLE_MS` and enough other threads
    /// wait for one.
    fn next(&self) -> Option<Session> {
        let mut queue = lock(&self.queue);
        queue.idle_threads += 1;
        let deadline = Tick::now().plus(WORKER_IDLE_MS);
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
            let wait_ms = if left_ms == 0 { KEPT_WORKER_IDLE_MS } else { left_ms };
            let waited = self.session_added.wait_timeout(queue, Duration::from_millis(wait_ms));
            queue = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Pooler {
    /// Starts a session for a client, if there is room for it and a leader. Otherwise the
    /// connection is closed at once, and the client goes on to another node.
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

    /// Has an idle thread serve the session, or a new one. Where the machine has none left, the
    /// session waits for one that gets free.
    pub(super) fn dispatch(self: &Arc<Self>, session: Session) {
        let needs_thread = self.workers.push(session);
        if !needs_thread || !self.start_worker() {
            self.workers.session_added.notify_one();
        }
    }

    /// False if the machine has no thread left.
    fn start_worker(self: &Arc<Self>) -> bool {
        let pooler = Arc::clone(self);
        let thread = std::thread::Builder::new().stack_size(WORKER_STACK_BYTES);
        thread.spawn(move || pooler.run_worker()).is_ok()
    }

    /// Serves sessions until there are enough threads without this one.
    pub(super) fn run_worker(&self) {
        while let Some(mut session) = self.workers.next() {
            match session.serve() {
                Ok(NextStep::Park) => self.park(session),
                Ok(NextStep::End) => {}
                // How the connection of a client ends isn't worth a line each.
                Err(e) => log::debug!(target: "session", "{}: {e}", session.id),
            }
        }
    }

    /// The session waits for its client without a thread.
    fn park(&self, session: Session) {
        let (id, handle) = (session.id, Arc::clone(&session.handle));
        let registration = match handle.parked_before.swap(true, Ordering::Relaxed) {
            true => Registration::Existing,
            false => Registration::New,
        };
        self.parked.park(id, &handle.stream, session, registration);
    }

    /// A session is over.
    pub(crate) fn forget_session(&self, id: u64) {
        lock(&self.sessions).remove(&id);
    }

    /// Ends sessions whose clients have been quiet for too long, and closes connections to
    /// databases that the quotas don't allow any more.
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

    /// While draining: closes the sessions in the scope. Returns how many there are in all.
    pub(super) fn close_sessions(&self, scope: CloseScope) -> usize {
        let sessions: Vec<Arc<SessionHandle>> = lock(&self.sessions).values().cloned().collect();
        for session in &sessions {
            session.close_if_waiting(scope);
        }
        sessions.len()
    }
}

/// Sets what every session needs; many are short, so what only long ones need is set later.
fn set_client_options(stream: &TcpStream) -> io::Result<()> {
    configure_stream(stream, UNACKNOWLEDGED_TIMEOUT)?;
    stream.set_read_timeout(Some(NEXT_LINE_TIMEOUT))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))
}
