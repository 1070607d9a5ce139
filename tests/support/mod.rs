//! A stand-in for the databases of one service and for the platform, in one process.
//!
//! All databases share one store, so replicas never lag. Tests inject faults with `Faults` and
//! query which statements a database has received.
#![allow(dead_code, reason = "each test file and the example use a part of it")]
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A statement that a database has received.
pub(crate) struct ReceivedStatement {
    pub(crate) database: usize,
    /// The user in the CONNECT of its connection.
    pub(crate) user: String,
    pub(crate) id: String,
    pub(crate) text: String,
    pub(crate) received_at: Instant,
    /// Whether it is not within a transaction.
    pub(crate) begins: bool,
}

/// A fault that a database applies to a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    /// No fault: a placeholder for a statement that is handled normally.
    NoFault,
    /// No reply is sent; the connection stays open.
    NoReply,
    /// The reply is delayed by this many milliseconds.
    Late(u64),
    /// The connection is reset before the statement is executed, after it is executed, while the
    /// reply is sent, or after the reply.
    ResetBeforeRun,
    ResetAfterRun,
    ResetDuringReply,
    ResetAfterReply,
    /// The statement is not executed. The transaction is rolled back, including the session state
    /// set within it.
    RolledBack,
    /// The reply is sent twice, immediately or this many milliseconds apart.
    Duplicated,
    DuplicatedLate(u64),
}

/// The injected faults. Each is applied once.
#[derive(Default)]
pub(crate) struct Faults {
    /// Closes the connection after executing the next statement that has a client's id.
    pub(crate) disconnect_next: AtomicBool,
    /// Sends a malformed reply to the next statement that has a client's id.
    pub(crate) malformed_reply_next: AtomicBool,
    /// The faults of the next statements, in order. The key is the statement's id, or the first
    /// word of its text if the id is `-`.
    pub(crate) by_key: Mutex<HashMap<String, VecDeque<InjectedFault>>>,
    /// The number of commits of the primary that replicas lack according to their own replies.
    pub(crate) replica_lag: AtomicU64,
}

/// The state that all databases of the service share.
#[derive(Default)]
struct Store {
    values: HashMap<String, String>,
    term: u64,
    number: u64,
    primary: usize,
    /// How often each write outside a transaction and each commit took effect, by statement id.
    applied: HashMap<String, usize>,
}

/// The databases of one service, and a platform that promotes them.
pub(crate) struct StandIn {
    pub(crate) service: String,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) platform: SocketAddr,
    pub(crate) faults: Faults,
    pub(crate) open_connections: AtomicUsize,
    pub(crate) max_open_connections: AtomicUsize,
    received: Mutex<Vec<ReceivedStatement>>,
    store: Mutex<Store>,
    stamps: AtomicU64,
    /// How often each database was started again, which gives it another id.
    lives: Vec<AtomicU64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Makes the kernel reset the connection when it is closed.
fn reset(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

impl StandIn {
    /// Starts `count` databases on ports of the loopback address, the first of them primary.
    pub(crate) fn start(service: &str, count: usize) -> std::io::Result<Arc<Self>> {
        let listeners =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<Vec<_>, _>>()?;
        let platform = TcpListener::bind("127.0.0.1:0")?;
        let this = Arc::new(Self {
            service: service.to_owned(),
            addresses: listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?,
            platform: platform.local_addr()?,
            faults: Faults::default(),
            open_connections: AtomicUsize::new(0),
            max_open_connections: AtomicUsize::new(0),
            received: Mutex::default(),
            store: Mutex::new(Store { term: 1, ..Store::default() }),
            stamps: AtomicU64::new(1),
            lives: (0..count).map(|_| AtomicU64::new(0)).collect(),
        });
        for (database, listener) in listeners.into_iter().enumerate() {
            let this = Arc::clone(&this);
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let this = Arc::clone(&this);
                    std::thread::spawn(move || {
                        let open = this.open_connections.fetch_add(1, Ordering::SeqCst) + 1;
                        this.max_open_connections.fetch_max(open, Ordering::SeqCst);
                        // Errors are expected, because tests close connections at any point.
                        let _ = this.serve(database, stream);
                        this.open_connections.fetch_sub(1, Ordering::SeqCst);
                    });
                }
            });
        }
        let promoter = Arc::clone(&this);
        std::thread::spawn(move || {
            for stream in platform.incoming().flatten() {
                let _ = promoter.promote(stream);
            }
        });
        Ok(this)
    }

    pub(crate) fn id(&self, database: usize) -> String {
        match self.lives[database].load(Ordering::SeqCst) {
            0 => format!("i-{}-{database}", self.service),
            life => format!("i-{}-{database}-{life}", self.service),
        }
    }
    /// Gives the database the id of a new start.
    pub(crate) fn begin_life(&self, database: usize) {
        self.lives[database].fetch_add(1, Ordering::SeqCst);
    }
    /// How many statements of clients that begin a transaction, or are outside of one, the database
    /// received within a time.
    pub(crate) fn arrivals(&self, database: usize, from: Instant, to: Instant) -> usize {
        let received = lock(&self.received);
        let late = received.iter().filter(|r| r.received_at > from && r.received_at < to);
        late.filter(|r| r.database == database && r.id != "-" && r.begins).count()
    }
    /// The id and text of every received statement that has a client's id, in order.
    pub(crate) fn client_statements(&self) -> Vec<(String, String)> {
        lock(&self.received)
            .iter()
            .filter(|r| r.id != "-")
            .map(|r| (r.id.clone(), r.text.clone()))
            .collect()
    }
    /// The users of the connections on which a statement with this id was received.
    pub(crate) fn users(&self, id: &str) -> Vec<String> {
        let received = lock(&self.received);
        received.iter().filter(|r| r.id == id).map(|r| r.user.clone()).collect()
    }
    /// The database that received a statement with this id last.
    pub(crate) fn last_database(&self, id: &str) -> Option<usize> {
        lock(&self.received).iter().rev().find(|r| r.id == id).map(|r| r.database)
    }
    /// How often the databases have received a statement with this id.
    pub(crate) fn times_received(&self, id: &str) -> usize {
        lock(&self.received).iter().filter(|r| r.id == id).count()
    }
    /// How often the write or commit with this id took effect.
    pub(crate) fn times_applied(&self, id: &str) -> usize {
        lock(&self.store).applied.get(id).copied().unwrap_or(0)
    }
    /// The stored value of a key.
    pub(crate) fn value(&self, key: &str) -> Option<String> {
        lock(&self.store).values.get(key).cloned()
    }
    /// How often the databases have received a statement of the pooler's own that contains this.
    pub(crate) fn own_statements(&self, text: &str) -> usize {
        lock(&self.received).iter().filter(|r| r.id == "-" && r.text.contains(text)).count()
    }
    /// Sets the faults of the next statements with this key, see [`Faults::by_key`].
    pub(crate) fn inject(&self, key: &str, faults: &[InjectedFault]) {
        let faults = faults.iter().copied().collect();
        lock(&self.faults.by_key).insert(key.to_owned(), faults);
    }
    fn next_fault(&self, id: &str, text: &str) -> InjectedFault {
        let key = if id == "-" { text.split(' ').next().unwrap_or_default() } else { id };
        let mut all = lock(&self.faults.by_key);
        all.get_mut(key).and_then(VecDeque::pop_front).unwrap_or(InjectedFault::NoFault)
    }
    /// The body of a heartbeat of this database.
    pub(crate) fn heartbeat(&self, database: usize, sequence: u64) -> String {
        self.heartbeat_in_state(database, sequence, "available")
    }
    /// The body of a heartbeat of this database, with its lifecycle state.
    pub(crate) fn heartbeat_in_state(&self, database: usize, sequence: u64, state: &str) -> String {
        let role = if lock(&self.store).primary == database { "primary" } else { "replica" };
        serde_json::json!({
            "target_service": self.service, "address": self.addresses[database], "zone": "here",
            "revision": "v1", "capacity": 7, "lifecycle_state": state, "warmup_left_ms": 0,
            "database_role": role, "sequence": sequence,
        })
        .to_string()
    }
    /// Sends heartbeats of all databases to a controller's admin address until the process ends.
    pub(crate) fn start_heartbeats(self: &Arc<Self>, admin: SocketAddr, every: Duration) {
        let this = Arc::clone(self);
        std::thread::spawn(move || {
            for sequence in 1.. {
                for database in 0..this.addresses.len() {
                    let path = format!("/instances/{}", this.id(database));
                    let _ = http(admin, "PUT", &path, &[], &this.heartbeat(database, sequence));
                }
                std::thread::sleep(every);
            }
        });
    }

    /// Handles a promotion request to the platform.
    fn promote(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let mut bytes = Vec::new();
        let mut chunk = [0; 1024];
        let body = loop {
            let count = stream.read(&mut chunk)?;
            bytes.extend_from_slice(&chunk[..count]);
            let text = String::from_utf8_lossy(&bytes).into_owned();
            if let Some((_, body)) = text.split_once("\r\n\r\n")
                && (body.ends_with('}') || count == 0)
            {
                break body.to_owned();
            }
        };
        let body: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        let target =
            (0..self.addresses.len()).find(|d| body["instance_id"] == self.id(*d).as_str());
        let status = match target {
            Some(database) => {
                let mut store = lock(&self.store);
                if store.primary != database {
                    store.primary = database;
                    store.term += 1;
                }
                "200 OK"
            }
            None => "409 Conflict",
        };
        stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\n{{}}").as_bytes())
    }

    /// Serves one connection to a database until it ends.
    #[expect(clippy::too_many_lines, reason = "one connection, read to its end")]
    fn serve(&self, database: usize, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let mut words = line.split_whitespace();
        let (_, service, user, id) = (words.next(), words.next(), words.next(), words.next());
        let user = user.unwrap_or_default().to_owned();
        if service != Some(&self.service) || id.is_some_and(|id| id != self.id(database)) {
            return out.write_all(b"ERROR WRONGNODE other\r\n");
        }
        out.write_all(format!("READY I {}\r\n", self.position(database)).as_bytes())?;
        let mut names: BTreeMap<String, String> = BTreeMap::new();
        let mut before = names.clone();
        let mut open: Option<Vec<(String, String)>> = None;
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let Some((id, text)) =
                line.trim_end().strip_prefix("QUERY ").and_then(|rest| rest.split_once(' '))
            else {
                return Ok(());
            };
            lock(&self.received).push(ReceivedStatement {
                database,
                user: user.clone(),
                id: id.to_owned(),
                text: text.to_owned(),
                received_at: Instant::now(),
                begins: open.is_none(),
            });
            let fault = self.next_fault(id, text);
            if fault == InjectedFault::ResetBeforeRun {
                return reset(&out);
            }
            if open.is_none() {
                before.clone_from(&names);
            }
            let reply = match fault {
                InjectedFault::RolledBack => "ERROR THROTTLED not now\r\n".to_owned(),
                _ => self.execute(database, id, text, &mut names, &mut open),
            };
            if fault == InjectedFault::RolledBack || text == "ABORT" {
                open = None;
                names.clone_from(&before);
            }
            // These faults occur after the statement was executed.
            match fault {
                InjectedFault::NoReply => {
                    while reader.read_line(&mut line)? > 0 {}
                    return Ok(());
                }
                InjectedFault::ResetAfterRun => return reset(&out),
                InjectedFault::ResetDuringReply => {
                    out.write_all(&reply.as_bytes()[..reply.len() - 3])?;
                    std::thread::sleep(Duration::from_millis(20));
                    return reset(&out);
                }
                InjectedFault::Late(ms) => std::thread::sleep(Duration::from_millis(ms)),
                _ => {}
            }
            if id != "-" && self.faults.disconnect_next.swap(false, Ordering::SeqCst) {
                return Ok(());
            }
            if id != "-" && self.faults.malformed_reply_next.swap(false, Ordering::SeqCst) {
                out.write_all(b"COMPLETE 1\r\nNONSENSE\r\n")?;
                continue;
            }
            let state = if open.is_some() { 'T' } else { 'I' };
            let reply = format!("{reply}READY {state} {}\r\n", self.position(database));
            match fault {
                InjectedFault::Duplicated => out.write_all(reply.repeat(2).as_bytes())?,
                InjectedFault::DuplicatedLate(ms) => {
                    out.write_all(reply.as_bytes())?;
                    std::thread::sleep(Duration::from_millis(ms));
                    out.write_all(reply.as_bytes())?;
                    // The second reply is sent separately, before any reply to the next statement.
                    std::thread::sleep(Duration::from_millis(ms));
                }
                _ => out.write_all(reply.as_bytes())?,
            }
            if fault == InjectedFault::ResetAfterReply {
                // A reset discards unread data, so wait until the client has read the reply.
                std::thread::sleep(Duration::from_millis(50));
                return reset(&out);
            }
        }
    }

    /// The last position that a database has received and applied.
    fn position(&self, database: usize) -> String {
        let store = lock(&self.store);
        let lag = if store.primary == database { 0 } else { self.lag() };
        format!("{}.{}", store.term, store.number.saturating_sub(lag))
    }
    fn lag(&self) -> u64 {
        self.faults.replica_lag.load(Ordering::SeqCst)
    }
    fn lacks_position(&self, database: usize, wanted: &str) -> bool {
        let number = |position: &str| -> Option<(u64, u64)> {
            let (term, number) = position.split_once('.')?;
            Some((term.parse().ok()?, number.parse().ok()?))
        };
        number(&self.position(database)) < number(wanted)
    }

    /// Executes a statement and returns the lines of the reply before `READY`.
    #[expect(clippy::too_many_lines, reason = "one connection, read to its end")]
    fn execute(
        &self,
        database: usize,
        id: &str,
        text: &str,
        names: &mut BTreeMap<String, String>,
        open: &mut Option<Vec<(String, String)>>,
    ) -> String {
        let text = match text.strip_prefix("WAITFOR ").and_then(|rest| rest.split_once(' ')) {
            Some((wanted, _)) if self.lacks_position(database, wanted) => {
                return "ERROR LAGGING behind\r\n".to_owned();
            }
            Some((_, text)) => text,
            None => text,
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let stamp = format!("stamp.{id}.{}", self.stamps.fetch_add(1, Ordering::SeqCst));
        let primary = lock(&self.store).primary == database;
        let complete = "COMPLETE -\r\n".to_owned();
        match word {
            "BEGIN" if rest.is_empty() && !primary => "ERROR READONLY here\r\n".to_owned(),
            "BEGIN" => {
                *open = Some(Vec::new());
                complete
            }
            "COMMIT" => {
                let writes = open.take().unwrap_or_default();
                let mut store = lock(&self.store);
                store.number += u64::from(!writes.is_empty());
                *store.applied.entry(id.to_owned()).or_default() += 1;
                store.values.extend(writes);
                format!("COMPLETE {stamp}\r\n")
            }
            "ABORT" => {
                *open = None;
                complete
            }
            "FETCH" if rest.starts_with('=') => {
                let value = names.get(rest).cloned().unwrap_or_default();
                format!("ROW {value}\r\nCOMPLETE {stamp}\r\n")
            }
            "FETCH" => {
                let value = lock(&self.store).values.get(rest).cloned().unwrap_or_default();
                format!("ROW {value}\r\nCOMPLETE {stamp}\r\n")
            }
            "STORE" if !primary => "ERROR READONLY here\r\n".to_owned(),
            "STORE" => {
                let (key, value) = rest.split_once(' ').unwrap_or((rest, ""));
                let write = (key.to_owned(), value.to_owned());
                match open {
                    Some(writes) => writes.push(write),
                    None => {
                        let mut store = lock(&self.store);
                        store.number += 1;
                        *store.applied.entry(id.to_owned()).or_default() += 1;
                        store.values.extend([write]);
                    }
                }
                format!("COMPLETE {stamp}\r\n")
            }
            "PREPARE" => {
                let (name, text) = rest.split_once(' ').unwrap_or((rest, ""));
                names.insert(name.to_owned(), text.to_owned());
                complete
            }
            "EXECUTE" => {
                let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
                match names.get(name).and_then(|text| text.split(' ').next()) {
                    Some(verb) => {
                        let text = format!("{verb} {rest}");
                        self.execute(database, id, &text, &mut BTreeMap::new(), open)
                    }
                    None => "ERROR NOTFOUND name\r\n".to_owned(),
                }
            }
            "DISCARD" => {
                names.clear();
                complete
            }
            "CONFIGURE" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                names.insert(format!("={name}"), value.to_owned());
                complete
            }
            "DESCRIBE" | "PAUSE" | "CONTINUE" | "STEPDOWN" => {
                let position = self.position(database);
                let term = lock(&self.store).term;
                let role = if primary { "primary" } else { "replica" };
                format!("ROW {role} {term} {position} 0 0 0 1\r\nCOMPLETE -\r\n")
            }
            _ => "ERROR MALFORMED what\r\n".to_owned(),
        }
    }
}

/// A free port outside the kernel's range for outgoing connections. A port within that range may be
/// in use by the time a program listens on it.
pub(crate) fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 20_000 + ((u64::from(std::process::id()) * 37 + step) % 11_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Sends one HTTP request on a new connection; returns the status and the body.
pub(crate) fn http(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<(u16, String)> {
    let headers: Vec<(&str, String)> = headers.iter().map(|(n, v)| (*n, (*v).to_owned())).collect();
    let response = silvertack::net::http::call(
        to,
        method,
        path,
        &headers,
        body.as_bytes(),
        Duration::from_secs(5),
    )?;
    Ok((response.status, String::from_utf8_lossy(&response.body).into_owned()))
}
