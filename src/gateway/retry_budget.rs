//! The share of requests that may be sent again.
use crate::base::time::Tick;
use std::collections::VecDeque;

/// The part of a budget over the whole fleet that this node earns by its own requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    pub(crate) ratio: f64,
    pub(crate) window_ms: u64,
    /// For each span of time: when it began, requests, repeats.
    spans: VecDeque<(Tick, u64, u64)>,
}

const SPAN_MS: u64 = 500;

impl RetryBudget {
    pub fn new(ratio: f64, window_ms: u64) -> Self {
        Self { ratio, window_ms, spans: VecDeque::new() }
    }
    fn span(&mut self, now: Tick) -> &mut (Tick, u64, u64) {
        while self.spans.front().is_some_and(|(t, ..)| now.since(*t) > self.window_ms) {
            self.spans.pop_front();
        }
        if self.spans.back().is_none_or(|(t, ..)| now.since(*t) >= SPAN_MS) {
            self.spans.push_back((now, 0, 0));
        }
        let last = self.spans.len() - 1;
        &mut self.spans[last]
    }
    pub fn asked(&mut self, now: Tick) {
        self.span(now).1 += 1;
    }
    pub fn has(&mut self, now: Tick) -> bool {
        self.span(now);
        let (asked, spent) =
            self.spans.iter().fold((0, 0), |(a, s), (_, asked, spent)| (a + asked, s + spent));
        (spent + 1) as f64 <= self.ratio * asked as f64
    }
    pub fn spend(&mut self, now: Tick) -> bool {
        let has = self.has(now);
        if has {
            self.span(now).2 += 1;
        }
        has
    }
}
