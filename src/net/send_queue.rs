//! Frames on their way to one peer.
use std::collections::VecDeque;
use std::sync::Arc;

/// Frames on their way to one peer, as a value: which bytes go next, and how many wait.
#[derive(Debug, Default)]
pub struct SendQueue {
    frames: VecDeque<Arc<[u8]>>,
    /// Bytes of the first frame that have left.
    left: usize,
    waiting: usize,
    /// Bytes that ever left.
    pub(crate) gone: u64,
}

impl SendQueue {
    pub fn push(&mut self, frame: Arc<[u8]>) {
        self.waiting += frame.len();
        self.frames.push_back(frame);
    }
    /// Ahead of all that has not begun to leave.
    pub fn push_first(&mut self, frame: Arc<[u8]>) {
        self.waiting += frame.len();
        self.frames.insert(usize::from(self.left > 0), frame);
    }
    pub fn next(&self) -> Option<&[u8]> {
        self.frames.front().map(|f| &f[self.left..])
    }
    pub fn took(&mut self, bytes: usize) {
        self.left += bytes;
        self.waiting -= bytes;
        self.gone += bytes as u64;
        if self.frames.front().is_some_and(|f| f.len() <= self.left) {
            self.frames.pop_front();
            self.left = 0;
        }
    }
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }
    pub fn waiting(&self) -> usize {
        self.waiting
    }
}
