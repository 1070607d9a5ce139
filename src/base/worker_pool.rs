//! Threads that do one short job after the other.
use crate::base::errors::Fatal;
use crate::base::sync::lock;
use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

type Job = Box<dyn FnOnce() + Send>;

/// Threads that do one short job after the other, and jobs that one of them is about to take. Calls,
/// heartbeats and questions come by the hundred a second; a new thread for each costs more than the work.
struct WorkerPool {
    threads: usize,
    resting: usize,
    jobs: VecDeque<Job>,
}

static CREW: Mutex<WorkerPool> =
    Mutex::new(WorkerPool { threads: 0, resting: 0, jobs: VecDeque::new() });

static WANTED: Condvar = Condvar::new();

/// How long a thread waits for another job.
const REST: Duration = Duration::from_secs(10);

fn next_job() -> Option<Job> {
    let mut crew = lock(&CREW);
    if let Some(job) = crew.jobs.pop_front() {
        return Some(job);
    }
    crew.resting += 1;
    let no_job = |crew: &mut WorkerPool| crew.jobs.is_empty();
    let waited = WANTED.wait_timeout_while(crew, REST, no_job);
    crew = waited.unwrap_or_else(PoisonError::into_inner).0;
    crew.resting -= 1;
    let job = crew.jobs.pop_front();
    crew.threads -= usize::from(job.is_none());
    job
}

/// Has a thread with a small stack do a job that ends. Where the machine has none left, one that is at
/// work takes it next; false if there is none at all: that is no reason to end, and whoever wanted it
/// tries again or refuses.
pub fn start_thread(work: impl FnOnce() + Send + 'static) -> bool {
    {
        let mut crew = lock(&CREW);
        crew.jobs.push_back(Box::new(work));
        if crew.resting >= crew.jobs.len() {
            drop(crew);
            WANTED.notify_one();
            return true;
        }
        crew.threads += 1;
    }
    let started = spawn(|| {
        while let Some(job) = next_job() {
            job();
        }
    });
    if started {
        return true;
    }
    let mut crew = lock(&CREW);
    crew.threads -= 1;
    crew.threads > 0 || crew.jobs.pop_back().is_none()
}

fn spawn(work: impl FnOnce() + Send + 'static) -> bool {
    let started = std::thread::Builder::new().stack_size(256 << 10).spawn(work);
    if let Err(e) = &started {
        log::warn!(target: "threads", "none left: {e}");
    }
    started.is_ok()
}

/// Starts a loop that a program can't do without.
pub fn must_start(what: &str, work: impl FnOnce() + Send + 'static) -> Result<(), Fatal> {
    let lost = || Fatal::Call(format!("no thread for {what}"));
    spawn(work).then_some(()).ok_or_else(lost)
}
