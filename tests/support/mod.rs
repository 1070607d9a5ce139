//! A stand-in for the databases of one service and for the platform, in one process.
//!
//! All databases share one store, so that a replica never lags. Tests set the faults they want in
//! `Faults`, and look up what reached a database in `ran`.
#![allow(dead_code, reason = "each test file and the example use a part of it")]
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A statement that reached a database.
pub(crate) struct Ran {
    pub(crate) database: usize,
    pub(crate) id: String,
    pub(crate) text: String,
}

/// A fault that a statement meets at a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    /// Answered as it should be; stands for a statement in the sequence.
    NoFault,
    /// Never answered; the connection stays open.
    NoAnswer,
    /// Answered after so many milliseconds.
    Late(u64),
    /// The connection is reset before it ran, after it ran, within the answer, after the answer.
    ResetBeforeRun,
    ResetAfterRun,
    ResetInAnswer,
    ResetAfterAnswer,
    /// Not run, and the transaction is rolled back with the session's state from within.
    RolledBack,
    /// Answered twice: at once, or so many milliseconds apart.
    Duplicated,
    DuplicatedLate(u64),
}

/// The faults that are set; each happens once.
#[derive(Default)]
pub(crate) struct Faults {
    /// Close the connection after running the next statement with a client's id.
    pub(crate) break_next: AtomicBool,
    /// Answer the next statement with a client's id by something that is no answer.
    pub(crate) garble_next: AtomicBool,
    /// What the next statements meet, in their order: by the statement's id, or by the first word
    /// of its text where the id is `-`.
    pub(crate) by_key: Mutex<HashMap<String, VecDeque<InjectedFault>>>,
    /// So many commits of the primary are missing at the replicas, as they describe themselves.
    pub(crate) replicas_lack: AtomicU64,
}

#[derive(Default)]
struct Store {
    values: HashMap<String, String>,
    term: u64,
    number: u64,
    primary: usize,
}

/// Databases of one service and a platform that promotes them.
pub(crate) struct StandIn {
    pub(crate) service: String,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) platform: SocketAddr,
    pub(crate) faults: Faults,
    pub(crate) open: AtomicUsize,
    pub(crate) most_open: AtomicUsize,
    ran: Mutex<Vec<Ran>>,
    store: Mutex<Store>,
    stamps: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Makes the connection be reset when it is closed.
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
            open: AtomicUsize::new(0),
            most_open: AtomicUsize::new(0),
            ran: Mutex::default(),
            store: Mutex::new(Store { term: 1, ..Store::default() }),
            stamps: AtomicU64::new(1),
        });
        for (database, listener) in listeners.into_iter().enumerate() {
            let this = Arc::clone(&this);
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let this = Arc::clone(&this);
                    std::thread::spawn(move || {
                        let open = this.open.fetch_add(1, Ordering::SeqCst) + 1;
                        this.most_open.fetch_max(open, Ordering::SeqCst);
                        // Tests break connections off.
                        let _ = this.serve(database, stream);
                        this.open.fetch_sub(1, Ordering::SeqCst);
                    });
                }
            });
        }
        let promoting = Arc::clone(&this);
        std::thread::spawn(move || {
            for stream in platform.incoming().flatten() {
                let _ = promoting.promote(stream);
            }
        });
        Ok(this)
    }

    pub(crate) fn id(&self, database: usize) -> String {
        format!("i-{}-{database}", self.service)
    }
    /// What ran with a client's id, in order.
    pub(crate) fn clients_ran(&self) -> Vec<(String, String)> {
        lock(&self.ran)
            .iter()
            .filter(|r| r.id != "-")
            .map(|r| (r.id.clone(), r.text.clone()))
            .collect()
    }
    pub(crate) fn last_database(&self, id: &str) -> Option<usize> {
        lock(&self.ran).iter().rev().find(|r| r.id == id).map(|r| r.database)
    }
    /// How often a statement with this id reached any database.
    pub(crate) fn reached(&self, id: &str) -> usize {
        lock(&self.ran).iter().filter(|r| r.id == id).count()
    }
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
        let role = if lock(&self.store).primary == database { "primary" } else { "replica" };
        serde_json::json!({
            "target_service": self.service, "address": self.addresses[database], "zone": "here",
            "revision": "v1", "capacity": 7, "lifecycle_state": "available", "warmup_left_ms": 0,
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

    fn promote(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        let mut bytes = Vec::new();
        let mut chunk = [0; 1024];
        let body = loop {
            let got = stream.read(&mut chunk)?;
            bytes.extend_from_slice(&chunk[..got]);
            let text = String::from_utf8_lossy(&bytes).into_owned();
            if let Some((_, body)) = text.split_once("\r\n\r\n")
                && (body.ends_with('}') || got == 0)
            {
                break body.to_owned();
            }
        };
        let body: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        let named = (0..self.addresses.len()).find(|d| body["instance_id"] == self.id(*d).as_str());
        let status = match named {
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

    #[expect(clippy::too_many_lines, reason = "one connection, read to its end")]
    fn serve(&self, database: usize, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream;
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let mut words = line.split_whitespace();
        let (_, service, _, id) = (words.next(), words.next(), words.next(), words.next());
        if service != Some(&self.service) || id.is_some_and(|id| id != self.id(database)) {
            return out.write_all(b"ERROR WRONGNODE other\r\n");
        }
        out.write_all(format!("READY I {}\r\n", self.position()).as_bytes())?;
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
            lock(&self.ran).push(Ran { database, id: id.to_owned(), text: text.to_owned() });
            let fault = self.next_fault(id, text);
            if fault == InjectedFault::ResetBeforeRun {
                return reset(&out);
            }
            if open.is_none() {
                before.clone_from(&names);
            }
            let answer = match fault {
                InjectedFault::RolledBack => "ERROR THROTTLED not now\r\n".to_owned(),
                _ => self.answer(database, id, text, &mut names, &mut open),
            };
            if fault == InjectedFault::RolledBack || text == "ABORT" {
                open = None;
                names.clone_from(&before);
            }
            // These faults come after the statement ran.
            match fault {
                InjectedFault::NoAnswer => {
                    while reader.read_line(&mut line)? > 0 {}
                    return Ok(());
                }
                InjectedFault::ResetAfterRun => return reset(&out),
                InjectedFault::ResetInAnswer => {
                    out.write_all(&answer.as_bytes()[..answer.len() - 3])?;
                    std::thread::sleep(Duration::from_millis(20));
                    return reset(&out);
                }
                InjectedFault::Late(ms) => std::thread::sleep(Duration::from_millis(ms)),
                _ => {}
            }
            if id != "-" && self.faults.break_next.swap(false, Ordering::SeqCst) {
                return Ok(());
            }
            if id != "-" && self.faults.garble_next.swap(false, Ordering::SeqCst) {
                out.write_all(b"COMPLETE 1\r\nNONSENSE\r\n")?;
                continue;
            }
            let state = if open.is_some() { 'T' } else { 'I' };
            let answer = format!("{answer}READY {state} {}\r\n", self.position());
            match fault {
                InjectedFault::Duplicated => out.write_all(answer.repeat(2).as_bytes())?,
                InjectedFault::DuplicatedLate(ms) => {
                    out.write_all(answer.as_bytes())?;
                    std::thread::sleep(Duration::from_millis(ms));
                    out.write_all(answer.as_bytes())?;
                    // The second answer comes by itself, ahead of any to the next statement.
                    std::thread::sleep(Duration::from_millis(ms));
                }
                _ => out.write_all(answer.as_bytes())?,
            }
            if fault == InjectedFault::ResetAfterAnswer {
                // A reset discards what has not been read: the answer must have been.
                std::thread::sleep(Duration::from_millis(50));
                return reset(&out);
            }
        }
    }

    fn position(&self) -> String {
        let store = lock(&self.store);
        format!("{}.{}", store.term, store.number)
    }

    #[expect(clippy::too_many_lines, reason = "one connection, read to its end")]
    fn answer(
        &self,
        database: usize,
        id: &str,
        text: &str,
        names: &mut BTreeMap<String, String>,
        open: &mut Option<Vec<(String, String)>>,
    ) -> String {
        let text = match text.strip_prefix("WAITFOR ") {
            Some(rest) => rest.split_once(' ').map_or("", |(_, text)| text),
            None => text,
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let stamp = format!("stamp.{id}.{}", self.stamps.fetch_add(1, Ordering::SeqCst));
        let primary = lock(&self.store).primary == database;
        let done = "COMPLETE -\r\n".to_owned();
        match word {
            "BEGIN" if rest.is_empty() && !primary => "ERROR READONLY here\r\n".to_owned(),
            "BEGIN" => {
                *open = Some(Vec::new());
                done
            }
            "COMMIT" => {
                let writes = open.take().unwrap_or_default();
                let mut store = lock(&self.store);
                store.number += u64::from(!writes.is_empty());
                store.values.extend(writes);
                format!("COMPLETE {stamp}\r\n")
            }
            "ABORT" => {
                *open = None;
                done
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
                let (thing, data) = rest.split_once(' ').unwrap_or((rest, ""));
                let write = (thing.to_owned(), data.to_owned());
                match open {
                    Some(writes) => writes.push(write),
                    None => {
                        let mut store = lock(&self.store);
                        store.number += 1;
                        store.values.extend([write]);
                    }
                }
                format!("COMPLETE {stamp}\r\n")
            }
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ').unwrap_or((rest, ""));
                names.insert(name.to_owned(), shape.to_owned());
                done
            }
            "EXECUTE" => {
                let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
                match names.get(name).and_then(|shape| shape.split(' ').next()) {
                    Some(verb) => {
                        let text = format!("{verb} {rest}");
                        self.answer(database, id, &text, &mut BTreeMap::new(), open)
                    }
                    None => "ERROR NOTFOUND name\r\n".to_owned(),
                }
            }
            "DISCARD" => {
                names.clear();
                done
            }
            "CONFIGURE" => {
                let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
                names.insert(format!("={name}"), value.to_owned());
                done
            }
            "DESCRIBE" | "PAUSE" | "CONTINUE" | "STEPDOWN" => {
                let store = lock(&self.store);
                let role = if primary { "primary" } else { "replica" };
                let lacks =
                    if primary { 0 } else { self.faults.replicas_lack.load(Ordering::SeqCst) };
                let position = format!("{}.{}", store.term, store.number.saturating_sub(lacks));
                format!("ROW {role} {} {position} 0 0 0 1\r\nCOMPLETE -\r\n", store.term)
            }
            _ => "ERROR MALFORMED what\r\n".to_owned(),
        }
    }
}

/// A free port outside the kernel's range for outgoing connections: one within it may be taken by
/// the time a program listens on it.
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

/// One HTTP call on a connection of its own: the status and the body.
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
