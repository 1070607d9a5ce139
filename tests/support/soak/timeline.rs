//! What happened when, as the history of a broken guarantee shows it.
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// How much of the time before and after a request its history shows.
const HISTORY_MARGIN: Duration = Duration::from_secs(4);

/// For how long an event at a controller excuses what needs a settled control plane.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(5);

/// A time in which a process stood still.
#[derive(Clone, Debug)]
pub(crate) struct Standstill {
    pub(crate) node: String,
    pub(crate) began_at: Instant,
    pub(crate) ended_at: Instant,
}

/// The events of a soak, and guarantees that events themselves showed to be broken.
pub(crate) struct Timeline {
    started_at: Instant,
    entries: Mutex<Vec<(Instant, String)>>,
    standstills: Mutex<Vec<Standstill>>,
    /// When a node got SIGTERM.
    terminations: Mutex<Vec<(String, Instant)>>,
    /// When something happened to a controller.
    control_events: Mutex<Vec<Instant>>,
    /// How many releases were checked.
    checked_releases: AtomicUsize,
    violations: Mutex<Vec<String>>,
}

impl Timeline {
    pub(crate) fn start() -> Self {
        Self {
            started_at: Instant::now(),
            entries: Mutex::default(),
            standstills: Mutex::default(),
            terminations: Mutex::default(),
            control_events: Mutex::default(),
            checked_releases: AtomicUsize::new(0),
            violations: Mutex::default(),
        }
    }

    /// Notes an event.
    pub(crate) fn note(&self, text: &str) {
        self.entries.lock().expect("entries").push((Instant::now(), text.to_owned()));
    }

    /// Notes a broken guarantee.
    pub(crate) fn violation(&self, text: String) {
        self.note(&text);
        self.violations.lock().expect("violations").push(text);
    }

    pub(crate) fn violations(&self) -> Vec<String> {
        self.violations.lock().expect("violations").clone()
    }

    pub(crate) fn add_standstill(&self, standstill: Standstill) {
        self.standstills.lock().expect("standstills").push(standstill);
    }

    /// Notes that the node gets SIGTERM now.
    pub(crate) fn add_termination(&self, node: &str) {
        self.terminations.lock().expect("list").push((node.to_owned(), Instant::now()));
    }

    /// When the node got SIGTERM.
    pub(crate) fn terminations(&self, node: &str) -> Vec<Instant> {
        let terminations = self.terminations.lock().expect("list");
        terminations.iter().filter(|(name, _)| name == node).map(|(_, at)| *at).collect()
    }

    /// Notes that something happens to a controller now.
    pub(crate) fn add_control_event(&self) {
        self.control_events.lock().expect("list").push(Instant::now());
    }

    /// Whether nothing happened to a controller from `CONTACT_TIME` before `from` until `to`.
    pub(crate) fn control_was_settled(&self, from: Instant, to: Instant) -> bool {
        let events = self.control_events.lock().expect("list");
        !events.iter().any(|at| *at + CONTACT_TIME > from && *at < to)
    }

    /// Counts a release that was checked.
    pub(crate) fn add_checked_release(&self) {
        self.checked_releases.fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn checked_releases(&self) -> usize {
        self.checked_releases.load(Ordering::SeqCst)
    }

    /// Whether the node stood still at some time from `from` to `to`.
    pub(crate) fn stood_still(&self, node: &str, from: Instant, to: Instant) -> bool {
        let standstills = self.standstills.lock().expect("standstills");
        standstills
            .iter()
            .any(|still| still.node == node && still.began_at < to && still.ended_at > from)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.lock().expect("entries").len()
    }

    /// The seconds from the start to `at`.
    pub(crate) fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.started_at).as_secs_f64()
    }

    /// The events around `at`, a line each.
    pub(crate) fn history(&self, at: Instant) -> String {
        let entries = self.entries.lock().expect("entries");
        let around = entries
            .iter()
            .filter(|(when, _)| *when + HISTORY_MARGIN > at && *when < at + HISTORY_MARGIN);
        around.map(|(when, text)| format!("\n  {:8.3} {text}", self.seconds(*when))).collect()
    }

    /// All events, a line each.
    pub(crate) fn text(&self) -> String {
        let entries = self.entries.lock().expect("entries");
        let lines = entries.iter();
        lines.map(|(when, text)| format!("{:8.3} {text}\n", self.seconds(*when))).collect()
    }
}
