//! A queue of frames to be written to one peer. Performs no I/O.
//!
//! Each peer connection of a controller owns a queue and writes as many bytes as the socket
//! accepts. The queue guarantees that a partly written frame is completed before another one
//! starts.
use std::collections::VecDeque;
use std::sync::Arc;

/// A queue of encoded frames to one peer.
#[derive(Debug, Default)]
pub struct SendQueue {
    frames: VecDeque<Arc<[u8]>>,
    /// The number of bytes of the first frame that have been written.
    head_written: usize,
    pending_bytes: usize,
    total_written: u64,
}

impl SendQueue {
    /// Appends a frame at the end of the queue.
    pub fn push(&mut self, frame: Arc<[u8]>) {
        self.pending_bytes += frame.len();
        self.frames.push_back(frame);
    }
    /// Inserts a frame before all frames that are not partly written.
    pub fn push_first(&mut self, frame: Arc<[u8]>) {
        self.pending_bytes += frame.len();
        self.frames.insert(usize::from(self.head_written > 0), frame);
    }
    /// The bytes to write next; `None` if the queue is empty.
    pub fn next_bytes(&self) -> Option<&[u8]> {
        self.frames.front().map(|frame| &frame[self.head_written..])
    }
    /// Records that `bytes` of the bytes returned by [`Self::next_bytes`] have been written.
    pub fn advance(&mut self, bytes: usize) {
        self.head_written += bytes;
        self.pending_bytes -= bytes;
        self.total_written += bytes as u64;
        if self.frames.front().is_some_and(|frame| frame.len() <= self.head_written) {
            self.frames.pop_front();
            self.head_written = 0;
        }
    }
    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }
    /// The number of bytes that are not written yet.
    pub fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }
    /// The number of bytes written since the queue was created.
    pub fn total_written(&self) -> u64 {
        self.total_written
    }
}
