//! Threads for short jobs, and for the loops of a process.
//!
//! Calls, heartbeats and requests come by the hundred a second, and a new thread for each would cost
//! more than the work: finished threads wait a while for another job. There is one pool a process.
//!
//! Nobody joins these threads. A job ends by itself, by the time limits of its sockets; an idle
//! thread ends after `IDLE_LIMIT`; a loop runs until its input ends or the process does. A process
//! ends by returning from `main`, without waiting for any of them: what must be complete by then is
//! done by the main loop itself.
use crate::base::errors::Fatal;
use crate::base::sync::lock;
use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// How long an idle thread waits for another job before it ends.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Stack of each thread. Jobs and loops are shallow, and there may be thousands of threads.
const STACK_BYTES: usize = 256 << 10;

type Job = Box<dyn FnOnce() + Send>;

/// The threads of the pool, and the jobs that one of them is about to take.
struct WorkerPool {
    threads: usize,
    idle: usize,
    jobs: VecDeque<Job>,
}

static POOL: Mutex<WorkerPool> =
    Mutex::new(WorkerPool { threads: 0, idle: 0, jobs: VecDeque::new() });

/// Signalled when a job has been queued for an idle thread.
static JOB_QUEUED: Condvar = Condvar::new();

/// Waits for the next job of a pool thread; none if it has been idle for too long and must end.
fn next_job() -> Option<Job> {
    let mut pool = lock(&POOL);
    if let Some(job) = pool.jobs.pop_front() {
        return Some(job);
    }
    pool.idle += 1;
    let no_job = |pool: &mut WorkerPool| pool.jobs.is_empty();
    let waited = JOB_QUEUED.wait_timeout_while(pool, IDLE_LIMIT, no_job);
    pool = waited.unwrap_or_else(PoisonError::into_inner).0;
    pool.idle -= 1;
    let job = pool.jobs.pop_front();
    pool.threads -= usize::from(job.is_none());
    job
}

/// Runs a job, which must end, on a thread of the pool.
///
/// Where the operating system has no thread left, a busy one of the pool takes the job next. False
/// if there is none at all: the job will not run. That is no reason for a process to end; the caller
/// tries again later or refuses what it was asked for.
pub fn start_thread(work: impl FnOnce() + Send + 'static) -> bool {
    {
        let mut pool = lock(&POOL);
        pool.jobs.push_back(Box::new(work));
        if pool.idle >= pool.jobs.len() {
            drop(pool);
            JOB_QUEUED.notify_one();
            return true;
        }
        pool.threads += 1;
    }
    let started = spawn(|| {
        while let Some(job) = next_job() {
            job();
        }
    });
    if started {
        return true;
    }
    let mut pool = lock(&POOL);
    pool.threads -= 1;
    pool.threads > 0 || pool.jobs.pop_back().is_none()
}

fn spawn(work: impl FnOnce() + Send + 'static) -> bool {
    let started = std::thread::Builder::new().stack_size(STACK_BYTES).spawn(work);
    if let Err(e) = &started {
        log::warn!(target: "threads", "none left: {e}");
    }
    started.is_ok()
}

/// Starts a thread for a loop that the process can't do without; `name` says what for.
///
/// # Errors
/// [`Fatal::Thread`] if there is no thread for it.
pub fn must_start(name: &'static str, work: impl FnOnce() + Send + 'static) -> Result<(), Fatal> {
    spawn(work).then_some(()).ok_or(Fatal::Thread(name))
}
