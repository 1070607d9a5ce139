//! Which databases are ejected for a while, and when one is tried again.
use crate::base::time::Tick;

/// What a node has seen of a database, and whether it is tried at the moment.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    /// Time of recent answers, in ms; 0 with none.
    pub pace: f64,
    out_until: Tick,
    /// Times in a row that it was put out.
    outs: u32,
    /// Answers that failed, of late.
    failures: f64,
}

/// How long a database that failed is left alone; doubled each time in a row.
const OUT_MS: u64 = 2_000;

const MAX_OUT_MS: u64 = 16_000;

const UNREACHED_MS: u64 = 300;

/// How long one is left alone that had no room.
const FULL_MS: u64 = 150;

/// A failed answer alone may be the request's own fault; so many lately are not.
const FAILED_ANSWERS: f64 = 1.5;

impl OutlierDetector {
    pub fn served(&mut self, ms: u64) {
        let ms = ms.max(1) as f64;
        self.pace = if self.pace == 0.0 { ms } else { self.pace * 0.8 + ms * 0.2 };
        self.outs = 0;
        self.failures *= 0.8;
    }
    /// It could not be reached, broke off, or said what is no answer.
    pub fn broke(&mut self, now: Tick) {
        self.leave_out(OUT_MS, now);
    }
    pub fn failed(&mut self, now: Tick) {
        self.failures += 1.0;
        if self.failures >= FAILED_ANSWERS {
            self.failures = 0.0;
            self.broke(now);
        }
    }
    /// No connection was had in time: it may be busy, and only again and again is it dark.
    pub fn unreached(&mut self, now: Tick) {
        self.leave_out(UNREACHED_MS, now);
    }
    fn leave_out(&mut self, first_ms: u64, now: Tick) {
        let out = (first_ms << self.outs.min(8)).min(MAX_OUT_MS);
        self.out_until = self.out_until.max(now.plus(out));
        self.outs += 1;
    }
    pub fn full(&mut self, now: Tick) {
        self.out_until = self.out_until.max(now.plus(FULL_MS));
    }
    pub fn out(&self, now: Tick) -> bool {
        self.out_until > now
    }
    /// News of it: whatever kept it from being tried may be over.
    pub fn renewed(&mut self) {
        (self.out_until, self.outs, self.failures) = (Tick(0), 0, 0.0);
    }
}
