//! The time-outs and size limits of the Raft core. Names that end in `_MS` are in milliseconds.

/// The interval at which a leader sends heartbeats.
pub(super) const HEARTBEAT_INTERVAL_MS: u64 = 150;

/// The shortest election timeout (the Raft paper, section 5.2). A follower that has heard from its
/// leader within this time also refuses to vote for another member (section 6).
pub const MIN_ELECTION_TIMEOUT_MS: u64 = 600;

/// The random part of the election timeout, added to [`MIN_ELECTION_TIMEOUT_MS`].
pub(super) const ELECTION_TIMEOUT_SPREAD_MS: u64 = 400;

/// The shortest election timeout of a restarted member that led the newest term it knows, and the
/// size of the random part added to it. No other member leads that term, so there is no leader to
/// wait for.
pub(super) const RESTARTED_LEADER_TIMEOUT_MS: u64 = 50;

/// The duration of the leader lease: a leader acts as the leader only while a quorum has answered
/// messages that it sent within this time. Shorter than [`MIN_ELECTION_TIMEOUT_MS`], so that no
/// other member can be elected during the lease.
pub(super) const LEADER_LEASE_MS: u64 = 450;

/// How long a restarted member grants no votes, as it does not know when it last answered a leader.
/// By then, any lease that its responses supported has expired, and a live leader has contacted it.
pub(super) const NO_VOTE_AFTER_RESTART_MS: u64 = LEADER_LEASE_MS + 20;

/// The random part of the first election timeout after [`NO_VOTE_AFTER_RESTART_MS`].
pub(super) const FIRST_TIMEOUT_SPREAD_MS: u64 = 150;

/// A heartbeat round for pending reads that a quorum has not answered within this time no longer
/// delays the next round.
pub(super) const READ_ROUND_TIMEOUT_MS: u64 = 20;

/// A member that has answered a message sent within this time counts as present.
pub(super) const PRESENT_WITHIN_MS: u64 = 1_000;

/// The timeout of a leadership transfer. When it expires, the leader steps down, as the target may
/// still receive the request and start an election.
pub(super) const LEADERSHIP_TRANSFER_TIMEOUT_MS: u64 = 500;

/// How long a new cluster with fewer voters than its fault tolerance requires waits for more
/// controllers before it accepts its first command.
pub(super) const BOOTSTRAP_WAIT_MS: u64 = 5_000;

/// The same wait if there are no more voters than tolerated losses: then this controller itself may
/// be the one that is partitioned.
pub(super) const SPARSE_BOOTSTRAP_WAIT_MS: u64 = 60_000;

/// The maximum number of log entries in one message.
pub(super) const MAX_BATCH_ENTRIES: usize = 64;

/// The maximum size of the unanswered entries to a member, and the smallest size of a chunk of a
/// larger message, in bytes. It bounds how long a slow link delays a heartbeat queued behind them.
pub(crate) const MAX_IN_FLIGHT_BYTES: usize = 16 << 10;

/// A chunk answered sooner than this is followed by one of twice the size.
pub(super) const FAST_CHUNK_MS: u64 = 40;

/// A chunk answered only after this time is followed by one of [`MAX_IN_FLIGHT_BYTES`].
pub(super) const SLOW_CHUNK_MS: u64 = 120;

/// The maximum size of a chunk, in bytes.
pub(super) const MAX_CHUNK_BYTES: usize = 64 << 10;

/// The maximum size of a message received in chunks, in bytes. It bounds the receiver's memory use.
pub(super) const MAX_CHUNKED_MESSAGE_BYTES: usize = 64 << 20;

/// How many senders' frame layouts are recorded before those of non-members are dropped.
pub(super) const MAX_PEER_LAYOUTS: usize = 64;

/// The number of applied entries at which the log is compacted into a snapshot.
pub(super) const COMPACT_ENTRIES: usize = 256;

/// The size of the applied entries, in bytes, at which the log is compacted into a snapshot.
pub(super) const COMPACT_BYTES: usize = 1 << 20;

/// The number of applied entries at which the log is compacted even if a member that is present
/// will then need a snapshot.
pub(super) const FORCED_COMPACT_ENTRIES: usize = 8_192;

/// The size of the applied entries, in bytes, at which the log is compacted even if a member that
/// is present will then need a snapshot.
pub(super) const FORCED_COMPACT_BYTES: usize = 4 << 20;
