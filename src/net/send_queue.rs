//! Frames that wait to be sent to one peer.
//!
//! A pure value: the owner of the connection writes what [`SendQueue::next`] gives and reports with
//! [`SendQueue::took`] how much of it the kernel accepted.
use std::collections::VecDeque;
use std::sync::Arc;

/// The frames for one peer, in the order in which they are sent.
#[derive(Debug, Default)]
pub struct SendQueue {
    frames: VecDeque<Arc<[u8]>>,
    /// Bytes of the first frame that are sent.
    sent_of_first: usize,
    /// Bytes of all frames that are not sent.
    waiting: usize,
    /// Bytes that were ever sent.
    pub(crate) gone: u64,
}

impl SendQueue {
    /// Appends a frame.
    pub fn push(&mut self, frame: Arc<[u8]>) {
        self.waiting += frame.len();
        self.frames.push_back(frame);
    }

    /// Puts a frame before all those that are not partly sent.
    pub fn push_first(&mut self, frame: Arc<[u8]>) {
        self.waiting += frame.len();
        self.frames.insert(usize::from(self.sent_of_first > 0), frame);
    }

    /// The bytes to send next: the rest of the first frame.
    pub fn next(&self) -> Option<&[u8]> {
        self.frames.front().map(|frame| &frame[self.sent_of_first..])
    }

    /// Removes so many bytes, which were sent; never more than [`SendQueue::next`] gave.
    pub fn took(&mut self, bytes: usize) {
        self.sent_of_first += bytes;
        self.waiting -= bytes;
        self.gone += bytes as u64;
        if self.frames.front().is_some_and(|frame| frame.len() <= self.sent_of_first) {
            self.frames.pop_front();
            self.sent_of_first = 0;
        }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    /// How many bytes wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }
}
