//! The controller's process: settings, storage, listeners and the thread that writes.
use crate::base::errors::Fatal;
use crate::base::ids::MemberId;
use crate::base::signals::Signals;
use crate::base::time::Tick;
use crate::base::worker_pool::must_start;
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
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

pub fn run(path: PathBuf, settings: Settings) -> Result<(), Fatal> {
    let admin = settings
        .listeners
        .admin
        .ok_or_else(|| Fatal::Settings("listeners.admin is needed by a controller".into()))?;
    let signals = Signals::install().map_err(|e| Fatal::Call(e.to_string()))?;
    let first = || first_state(&settings, admin, rand::random::<u64>);
    let opened = || match &settings.data_path {
        Some(folder) if settings.can_vote() => {
            RaftStorage::open_or_initialize(folder, first).map_err(Fatal::from)
        }
        _ => Ok(InitializedStorage {
            storage: RaftStorage::in_memory()?,
            state: first(),
            restarted: false,
        }),
    };
    let InitializedStorage { storage, state, restarted } = loop {
        match opened() {
            Ok(opened) => break opened,
            // A full or failing disk may be well again later.
            Err(Fatal::Disk(why)) if !signals.terminated() => {
                warn!(target: "disk", "cannot be used, tried again soon: {why}");
                std::thread::sleep(Duration::from_millis(500));
            }
            Err(e) => return Err(e),
        }
    };
    let (tx, rx) = channel();
    let peer = SocketAddr::new(settings.ip_address, settings.peer_port());
    accept_peers(peer, settings.limits.max_open_files as usize / 4, tx.clone())?;
    let http_tx = tx.clone();
    // Each database may keep a connection for its heartbeats, and all of them come to the leader.
    let callers = settings.limits.max_open_files as usize / 4;
    http::serve(listen(admin)?, "admin", callers, move |request| ask_core(&http_tx, request))
        .map_err(|e| Fatal::Listen(admin.to_string(), e))?;
    let storage_thread = start_storage_thread(storage, tx.clone())?;
    let effects =
        SocketTransport { conns: HashMap::new(), links: HashMap::new(), storage_thread, tx };
    let mut controller =
        Controller::new(settings, state, restarted, rand::random::<u64>, effects, Tick::now())?;
    controller.serve(rx, &signals, SettingsWatcher::new(path))
}

/// The thread that waits for the disk, so that nothing else does.
fn start_storage_thread(
    mut storage: RaftStorage,
    done: Sender<Event>,
) -> Result<Sender<WriteBatch>, Fatal> {
    let (jobs, next) = channel::<WriteBatch>();
    must_start("the disk", move || {
        for batch in next {
            let saved = storage.save(&batch);
            if done.send(Event::Input(Input::Saved(saved))).is_err() {
                return;
            }
        }
    })?;
    Ok(jobs)
}

/// The first state of an empty disk. When the system starts for the first time, the first of the
/// seeds begins alone, and all others ask it to be taken in. Ids are drawn anew for each disk.
pub fn first_state(settings: &Settings, admin: SocketAddr, random: fn() -> u64) -> PersistentState {
    let mut kept = PersistentState { member_id: fresh_id(random), ..PersistentState::default() };
    if settings.can_vote() && settings.founder() == Some(admin) {
        kept.snapshot.members =
            vec![Member { voter: true, ..as_member(settings, admin, kept.member_id) }];
    }
    kept
}

pub(crate) fn fresh_id(random: fn() -> u64) -> MemberId {
    // Below i64::MAX for the disk.
    MemberId((random() >> 2) | (1 << 40))
}

pub(crate) fn as_member(settings: &Settings, admin: SocketAddr, id: MemberId) -> Member {
    Member {
        id,
        node: settings.node(),
        peer: SocketAddr::new(settings.ip_address, settings.peer_port()),
        admin,
        voter: false,
        can_vote: settings.can_vote(),
    }
}
