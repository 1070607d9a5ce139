//! The controller process: opens the storage, starts the listeners and the storage thread, and runs
//! the controller on the main thread. The command line calls [`run`].
use crate::base::errors::Fatal;
use crate::base::ids::MemberId;
use crate::base::signals::Signals;
use crate::base::time::Tick;
use crate::base::worker_pool::start_loop_thread;
use crate::config::settings::{Settings, SettingsWatcher};
use crate::controller::core::Controller;
use crate::controller::effects::Input;
use crate::controller::peer_listener::accept_peers;
use crate::controller::transport::{Event, SocketTransport, submit_admin_request};
use crate::net::http;
use crate::net::rpc::raft_messages::Member;
use crate::net::sockets::listen;
use crate::raft::state::PersistentState;
use crate::raft::storage::{InitializedStorage, RaftStorage, WriteBatch};
use log::warn;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

/// Interval between attempts to open the storage while the disk fails.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Each of the two listeners may use `max_open_files` divided by this number for connections.
const OPEN_FILES_DIVISOR: usize = 4;

/// A bit set in every member id, so that no id is small or zero.
const MEMBER_ID_BIT: u64 = 1 << 40;

/// Runs a controller until a signal requests termination. `path` is the settings file, for reloads.
///
/// The main thread runs the controller, and the process exits when it returns. The threads that
/// listen, read or make outgoing calls are not joined, as none of them has work that must be
/// completed. Neither is the storage thread: SQLite's journal rolls back an interrupted write, and
/// data that is not stored has not been acknowledged.
///
/// # Errors
/// If the controller can't start or continue.
pub fn run(path: PathBuf, settings: Settings) -> Result<(), Fatal> {
    let admin = settings
        .listeners
        .admin
        .ok_or_else(|| Fatal::Settings("listeners.admin is needed by a controller".into()))?;
    let signals = Signals::install().map_err(Fatal::System)?;
    let InitializedStorage { storage, state, restarted } =
        open_storage(&settings, admin, &signals)?;
    let (events, queue) = channel();
    let max_connections = settings.limits.max_open_files as usize / OPEN_FILES_DIVISOR;
    let peer = SocketAddr::new(settings.ip_address, settings.peer_port());
    accept_peers(peer, max_connections, events.clone())?;
    // Each database may keep a connection open for its heartbeats, which all go to the leader.
    let http_events = events.clone();
    let respond = move |request| submit_admin_request(&http_events, request);
    http::serve(listen(admin)?, "admin", max_connections, respond)
        .map_err(|e| Fatal::Listen(admin.to_string(), e))?;
    let writes = start_storage_thread(storage, events.clone())?;
    let transport = SocketTransport::new(writes, events);
    let mut controller =
        Controller::new(settings, state, restarted, rand::random::<u64>, transport, Tick::now())?;
    controller.serve(queue, &signals, SettingsWatcher::new(path))
}

/// Opens the storage on disk, or in-memory storage if this controller can't vote. Retries while the
/// disk is full or failing, as it may recover.
fn open_storage(
    settings: &Settings,
    admin: SocketAddr,
    signals: &Signals,
) -> Result<InitializedStorage, Fatal> {
    let new_state = || initial_state(settings, admin, rand::random::<u64>);
    loop {
        let opened =
            match &settings.data_path {
                Some(folder) if settings.can_vote() => {
                    RaftStorage::open_or_initialize(folder, new_state).map_err(Fatal::from)
                }
                _ => RaftStorage::in_memory().map_err(Fatal::from).map(|storage| {
                    InitializedStorage { storage, state: new_state(), restarted: false }
                }),
            };
        match opened {
            Err(Fatal::Disk(reason)) if !signals.termination_requested() => {
                warn!(target: "disk", "cannot be used, tried again soon: {reason}");
                std::thread::sleep(DISK_RETRY_INTERVAL);
            }
            opened => return opened,
        }
    }
}

/// Starts the thread that writes to the disk, so that the controller's thread never blocks on it.
///
/// The thread ends once the returned sender is dropped or the event queue is closed.
fn start_storage_thread(
    mut storage: RaftStorage,
    events: Sender<Event>,
) -> Result<Sender<WriteBatch>, Fatal> {
    let (writes, queue) = channel::<WriteBatch>();
    start_loop_thread("the disk", move || {
        for batch in queue {
            let result = storage.save(&batch);
            if events.send(Event::Input(Input::WriteFinished(result))).is_err() {
                return;
            }
        }
    })?;
    Ok(writes)
}

/// Returns the initial state of an empty disk, under a new member id.
///
/// When the system starts for the first time, the first seed bootstraps the Raft group with
/// itself as the only member. All other controllers start without members and request to join.
pub fn initial_state(
    settings: &Settings,
    admin: SocketAddr,
    random: fn() -> u64,
) -> PersistentState {
    let mut state =
        PersistentState { member_id: new_member_id(random), ..PersistentState::default() };
    if settings.can_vote() && settings.bootstrap_seed() == Some(admin) {
        let founder = Member { voter: true, ..new_member(settings, admin, state.member_id) };
        state.snapshot.members = vec![founder];
    }
    state
}

/// Generates a random id for a member with a new disk.
pub(crate) fn new_member_id(random: fn() -> u64) -> MemberId {
    // SQLite's integers are signed: leave the two highest bits unset.
    MemberId((random() >> 2) | MEMBER_ID_BIT)
}

/// Describes this controller as a member that does not vote yet.
pub(crate) fn new_member(settings: &Settings, admin: SocketAddr, id: MemberId) -> Member {
    Member {
        id,
        node: settings.node(),
        peer: SocketAddr::new(settings.ip_address, settings.peer_port()),
        admin,
        voter: false,
        can_vote: settings.can_vote(),
    }
}
