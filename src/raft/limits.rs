//! The times and sizes that the Raft core works with. All times are in milliseconds.

/// How often a leader sends a heartbeat when it has nothing else to send.
pub(super) const HEARTBEAT_INTERVAL_MS: u64 = 150;

/// The shortest election timeout (the Raft paper, section 5.2). A follower that heard from its
/// leader within this time also refuses to vote for anybody else (section 6).
pub const MIN_ELECTION_TIMEOUT_MS: u64 = 600;

/// The random part of the election timeout, added to [`MIN_ELECTION_TIMEOUT_MS`].
pub(super) const ELECTION_TIMEOUT_SPREAD_MS: u64 = 400;

/// The election timeout, and its random part, of a member that led the newest term it knows when it
/// was restarted. Nobody else leads that term, so there is no leader to wait for.
pub(super) const RESTARTED_LEADER_TIMEOUT_MS: u64 = 50;

/// A leader acts as one only while a quorum answered messages that it sent within this time. It is
/// shorter than [`MIN_ELECTION_TIMEOUT_MS`], so that no other member can be elected meanwhile.
pub(super) const LEADER_LEASE_MS: u64 = 450;

/// A restarted member does not know when it last answered a leader, so it does not vote for this
/// long: any lease that its answers supported has ended by then, and a live leader was heard from.
pub(super) const NO_VOTE_AFTER_RESTART_MS: u64 = LEADER_LEASE_MS + 20;

/// The random part of the first election timeout after [`NO_VOTE_AFTER_RESTART_MS`].
pub(super) const FIRST_TIMEOUT_SPREAD_MS: u64 = 150;

/// A heartbeat round for waiting reads that a quorum has not answered within this time no longer
/// keeps the next round from starting.
pub(super) const READ_ROUND_TIMEOUT_MS: u64 = 20;

/// A member that answered a message sent within this time counts as present.
pub(super) const PRESENT_WITHIN_MS: u64 = 1_000;

/// A leadership transfer that has not succeeded after this time is given up, and the leader steps
/// down: the target may still start an election in the leader's term.
pub(super) const LEADERSHIP_TRANSFER_TIMEOUT_MS: u64 = 500;

/// How long a new cluster with fewer voters than its fault tolerance asks for waits for more
/// controllers before it accepts its first command.
pub(super) const BOOTSTRAP_WAIT_MS: u64 = 5_000;

/// The same wait when there are not even more voters than losses to tolerate: then this controller
/// itself may be the one that is cut off.
pub(super) const SPARSE_BOOTSTRAP_WAIT_MS: u64 = 60_000;

/// The most log entries sent in one message.
pub(super) const MAX_BATCH_ENTRIES: usize = 64;

/// The most bytes of entries, or of one chunk of a larger message, in flight to a member before it
/// has answered. A heartbeat queued behind them waits no longer than a slow link takes for these.
pub(crate) const MAX_IN_FLIGHT_BYTES: usize = 16 << 10;

/// A chunk that was answered sooner than this is followed by one of twice the size.
pub(super) const FAST_CHUNK_MS: u64 = 40;

/// A chunk that took this long is followed by one of [`MAX_IN_FLIGHT_BYTES`].
pub(super) const SLOW_CHUNK_MS: u64 = 120;

/// The largest chunk.
pub(super) const MAX_CHUNK_BYTES: usize = 64 << 10;

/// The largest message that is accepted in chunks: a bound on the receiver's memory.
pub(super) const MAX_CHUNKED_MESSAGE_BYTES: usize = 64 << 20;

/// How many members' frame layouts are remembered before those of non-members are dropped.
pub(super) const MAX_PEER_LAYOUTS: usize = 64;

/// The log is compacted into a snapshot when it has this many applied entries...
pub(super) const COMPACT_ENTRIES: usize = 256;

/// ...or when its applied entries take this many bytes.
pub(super) const COMPACT_BYTES: usize = 1 << 20;

/// While compaction would force a snapshot on a member that is present, the log is not compacted
/// before it has this many applied entries...
pub(super) const FORCED_COMPACT_ENTRIES: usize = 8_192;

/// ...or before they take this many bytes.
pub(super) const FORCED_COMPACT_BYTES: usize = 4 << 20;
