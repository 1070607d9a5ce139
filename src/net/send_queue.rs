//! The frames that wait to be written to one peer, as a value without a socket.
//!
//! The controller's peer connections own one queue each and write what the socket takes. The queue
//! promises that a frame which has begun to leave is finished before any other begins.
use std::collections::VecDeque;
use std::sync::Arc;

/// Encoded frames on their way to one peer: which bytes are written next, and how many wait.
#[derive(Debug, Default)]
pub struct SendQueue {
    frames: VecDeque<Arc<[u8]>>,
    /// Bytes of the first frame that have been written.
    head_written: usize,
    pending_bytes: usize,
    total_written: u64,
}

impl SendQueue {
    /// Appends a frame behind all that wait.
    pub fn push(&mut self, frame: Arc<[u8]>) {
        self.pending_bytes += frame.len();
        self.frames.push_back(frame);
    }
    /// Puts a frame ahead of all that have not begun to leave.
    pub fn push_first(&mut self, frame: Arc<[u8]>) {
        self.pending_bytes += frame.len();
        self.frames.insert(usize::from(self.head_written > 0), frame);
    }
    /// The bytes to write next; none if the queue is empty.
    pub fn next_bytes(&self) -> Option<&[u8]> {
        self.frames.front().map(|frame| &frame[self.head_written..])
    }
    /// Records that `bytes` of what [`Self::next_bytes`] gave have been written.
    pub fn advance(&mut self, bytes: usize) {
        self.head_written += bytes;
        self.pending_bytes -= bytes;
        self.total_written += bytes as u64;
        if self.frames.front().is_some_and(|frame| frame.len() <= self.head_written) {
            self.frames.pop_front();
            self.head_written = 0;
        }
    }
    /// Whether nothing waits to be written.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }
    /// Bytes that wait to be written.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }
    /// Bytes written since the queue was made.
    pub fn total_written(&self) -> u64 {
        self.total_written
    }
}
