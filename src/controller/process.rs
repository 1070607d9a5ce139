//! The controller's process: opens the storage, starts the listeners and the storage thread, and runs
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
use crate::controller::transport::{Event, SocketTransport, ask_core};
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

/// Pause between attempts to open the disk while it fails.
const DISK_RETRY: Duration = Duration::from_millis(500);

/// The part of `max_open_files` that each of the two listeners may use: one in so many.
const OPEN_FILES_SHARE: usize = 4;

/// A bit that every member id has, so that none is small or zero.
const MEMBER_ID_BIT: u64 = 1 << 40;

/// Runs a controller until it is asked to end. `path` is the settings file, for reloads.
///
/// The main thread runs the controller. When it ends, the process does: the threads that listen,
/// read or call out are not joined, as none of them holds anything that has to be finished. The same
/// is true of the storage thread: SQLite's journal makes a write that is cut off look as if it had
/// never begun, and what is not stored has not been acknowledged.
///
/// # Errors
/// Why the controller can't start or go on.
pub fn run(path: PathBuf, settings: Settings) -> Result<(), Fatal> {
    let admin = settings
        .listeners
        .admin
        .ok_or_else(|| Fatal::Settings("listeners.admin is needed by a controller".into()))?;
    let signals = Signals::install().map_err(Fatal::System)?;
    let InitializedStorage { storage, state, restarted } =
        open_storage(&settings, admin, &signals)?;
    let (events, queue) = channel();
    let max_connections = settings.limits.max_open_files as usize / OPEN_FILES_SHARE;
    let peer = SocketAddr::new(settings.ip_address, settings.peer_port());
    accept_peers(peer, max_connections, events.clone())?;
    // Each database may keep a connection for its heartbeats, and all of them come to the leader.
    let http_events = events.clone();
    let answer = move |request| ask_core(&http_events, request);
    http::serve(listen(admin)?, "admin", max_connections, answer)
        .map_err(|e| Fatal::Listen(admin.to_string(), e))?;
    let writes = start_storage_thread(storage, events.clone())?;
    let transport = SocketTransport::new(writes, events);
    let mut controller =
        Controller::new(settings, state, restarted, rand::random::<u64>, transport, Tick::now())?;
    controller.serve(queue, &signals, SettingsWatcher::new(path))
}

/// Opens the disk, or an empty state in memory where this machine has no vote. Tries again while the
/// disk is full or fails: it may work again later.
fn open_storage(
    settings: &Settings,
    admin: SocketAddr,
    signals: &Signals,
) -> Result<InitializedStorage, Fatal> {
    let first = || first_state(settings, admin, rand::random::<u64>);
    loop {
        let opened =
            match &settings.data_path {
                Some(folder) if settings.can_vote() => {
                    RaftStorage::open_or_initialize(folder, first).map_err(Fatal::from)
                }
                _ => RaftStorage::in_memory().map_err(Fatal::from).map(|storage| {
                    InitializedStorage { storage, state: first(), restarted: false }
                }),
            };
        match opened {
            Err(Fatal::Disk(reason)) if !signals.termination_requested() => {
                warn!(target: "disk", "cannot be used, tried again soon: {reason}");
                std::thread::sleep(DISK_RETRY);
            }
            opened => return opened,
        }
    }
}

/// Starts the thread that writes to the disk, so that the controller's thread never waits for it.
///
/// It ends once the sender that is given back is dropped, or the event queue is gone.
fn start_storage_thread(
    mut storage: RaftStorage,
    events: Sender<Event>,
) -> Result<Sender<WriteBatch>, Fatal> {
    let (writes, queue) = channel::<WriteBatch>();
    start_loop_thread("the disk", move || {
        for batch in queue {
            let saved = storage.save(&batch);
            if events.send(Event::Input(Input::Saved(saved))).is_err() {
                return;
            }
        }
    })?;
    Ok(writes)
}

/// The first state of an empty disk, under a new member id.
///
/// When the system starts for the first time, the first of the seeds founds the Raft group with
/// itself as its only member; all others start without members and ask to join.
pub fn first_state(settings: &Settings, admin: SocketAddr, random: fn() -> u64) -> PersistentState {
    let mut state =
        PersistentState { member_id: new_member_id(random), ..PersistentState::default() };
    if settings.can_vote() && settings.bootstrap_seed() == Some(admin) {
        let founder = Member { voter: true, ..new_member(settings, admin, state.member_id) };
        state.snapshot.members = vec![founder];
    }
    state
}

/// Draws an id for a member with a new disk.
pub(crate) fn new_member_id(random: fn() -> u64) -> MemberId {
    // SQLite's integers are signed: the two highest bits stay free.
    MemberId((random() >> 2) | MEMBER_ID_BIT)
}

/// This controller as a member that does not vote yet.
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
