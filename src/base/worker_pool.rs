//! A pool of threads for short jobs, and threads for the loops of a process.
//!
//! A process runs hundreds of jobs per second for calls, heartbeats and requests. Since a new
//! thread for each would cost more than the job, idle threads wait for another job. Each process
//! has one pool.
//!
//! The threads are never joined. A job is bounded by the timeouts of its sockets, an idle thread
//! exits after `IDLE_TIMEOUT`, and a loop runs until its input or the process ends. A process ends
//! by returning from `main` without waiting for any thread: the main loop itself does everything
//! that must be completed before.
use crate::base::errors::Fatal;
use crate::base::sync::lock;
use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// How long an idle thread waits for another job before it exits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The stack size of each thread. Call stacks are shallow, and there may be thousands of threads.
const STACK_BYTES: usize = 256 << 10;

type Job = Box<dyn FnOnce() + Send>;

/// The number of threads in the pool, and the jobs that wait for one.
struct WorkerPool {
    threads: usize,
    idle: usize,
    jobs: VecDeque<Job>,
}

static POOL: Mutex<WorkerPool> =
    Mutex::new(WorkerPool { threads: 0, idle: 0, jobs: VecDeque::new() });

/// Signalled when a job has been queued for an idle thread.
static JOB_QUEUED: Condvar = Condvar::new();

/// Waits for the next job of a pool thread; `None` if the thread was idle for [`IDLE_TIMEOUT`] and
/// must exit.
fn next_job() -> Option<Job> {
    let mut pool = lock(&POOL);
    if let Some(job) = pool.jobs.pop_front() {
        return Some(job);
    }
    pool.idle += 1;
    let no_job = |pool: &mut WorkerPool| pool.jobs.is_empty();
    let waited = JOB_QUEUED.wait_timeout_while(pool, IDLE_TIMEOUT, no_job);
    pool = waited.unwrap_or_else(PoisonError::into_inner).0;
    pool.idle -= 1;
    let job = pool.jobs.pop_front();
    pool.threads -= usize::from(job.is_none());
    job
}

/// Runs a job on a thread of the pool. The job must end.
///
/// If the operating system can't start another thread, a busy thread of the pool runs the job next.
/// Returns false if the pool has no thread at all: the job will not run. The process should
/// continue in this case; the caller retries later or rejects the request.
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
        log::warn!(target: "threads", "starting a thread failed: {e}");
    }
    started.is_ok()
}

/// Starts a thread for a loop that the process requires; `name` describes the loop in the error.
///
/// # Errors
/// [`Fatal::Thread`] if the thread can't be started.
pub fn start_loop_thread(
    name: &'static str,
    work: impl FnOnce() + Send + 'static,
) -> Result<(), Fatal> {
    spawn(work).then_some(()).ok_or(Fatal::Thread(name))
}
