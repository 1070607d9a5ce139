//! A stand-in for the databases of one service and for the platform, in one process.
//!
//! All databases share one store, so a replica is never behind. What a test wants to go wrong is
//! set in `Faults`; everything that reached a database is kept in `ran`.
// The tests and the example each need a part of it.
#![allow(dead_code)]
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

pub struct Ran {
    pub database: usize,
    pub id: String,
    pub text: String,
}

/// What a statement meets at a database, instead of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mishap {
    /// As it should be; a place in the order.
    Fine,
    /// Never answered; the connection stays.
    Silence,
    /// Answered after so many milliseconds.
    Late(u64),
    /// Reset before it ran, after it ran, in the middle of the answer, after the answer.
    ResetBefore,
    ResetAfter,
    ResetWithin,
    ResetThen,
    /// Not run, and the transaction is gone with what was laid on inside.
    RolledBack,
    /// Answered twice: at once, or so many milliseconds apart.
    Doubled,
    DoubledLate(u64),
}

/// Each is spent once when it is set.
#[derive(Default)]
pub struct Faults {
    /// Break the connection after running the next statement with a client's id.
    pub break_next: AtomicBool,
    /// Answer it with something that is no answer.
    pub garble_next: AtomicBool,
    /// By the id of a statement, or by the first word of a text where the id is `-`: what the next
    /// ones meet, in their order.
    pub mishaps: Mutex<HashMap<String, VecDeque<Mishap>>>,
}

#[derive(Default)]
struct Store {
    things: HashMap<String, String>,
    term: u64,
    number: u64,
    primary: usize,
}

pub struct StandIn {
    pub service: String,
    pub addresses: Vec<SocketAddr>,
    pub platform: SocketAddr,
    pub faults: Faults,
    pub open: AtomicUsize,
    pub most_open: AtomicUsize,
    ran: Mutex<Vec<Ran>>,
    store: Mutex<Store>,
    stamps: AtomicU64,
}

fn hold<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Has the connection be reset when it is closed.
fn reset(stream: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

impl StandIn {
    /// Starts `count` databases on ports of the loopback address, the first of them primary.
    pub fn start(service: &str, count: usize) -> std::io::Result<Arc<Self>> {
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
                        // A caller that breaks off is part of the tests.
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

    pub fn id(&self, database: usize) -> String {
        format!("i-{}-{database}", self.service)
    }
    /// What ran with a client's id, in order.
    pub fn clients_ran(&self) -> Vec<(String, String)> {
        hold(&self.ran)
            .iter()
            .filter(|r| r.id != "-")
            .map(|r| (r.id.clone(), r.text.clone()))
            .collect()
    }
    pub fn last_database(&self, id: &str) -> Option<usize> {
        hold(&self.ran).iter().rev().find(|r| r.id == id).map(|r| r.database)
    }
    /// How often a statement with this id reached any database.
    pub fn reached(&self, id: &str) -> usize {
        hold(&self.ran).iter().filter(|r| r.id == id).count()
    }
    pub fn will(&self, key: &str, mishaps: &[Mishap]) {
        let mishaps = mishaps.iter().copied().collect();
        hold(&self.faults.mishaps).insert(key.to_owned(), mishaps);
    }
    fn mishap(&self, id: &str, text: &str) -> Mishap {
        let key = if id == "-" { text.split(' ').next().unwrap_or_default() } else { id };
        let mut all = hold(&self.faults.mishaps);
        all.get_mut(key).and_then(VecDeque::pop_front).unwrap_or(Mishap::Fine)
    }
    /// The body of a heartbeat of this database.
    pub fn heartbeat(&self, database: usize, sequence: u64) -> String {
        let role = if hold(&self.store).primary == database { "primary" } else { "replica" };
        serde_json::json!({
            "target_service": self.service, "address": self.addresses[database], "zone": "here",
            "revision": "v1", "capacity": 7, "lifecycle_state": "available", "warmup_left_ms": 0,
            "database_role": role, "sequence": sequence,
        })
        .to_string()
    }
    /// Beats for all databases to a controller's admin address, for as long as the process lives.
    pub fn keep_beating(self: &Arc<Self>, admin: SocketAddr, every: Duration) {
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
                let mut store = hold(&self.store);
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
            hold(&self.ran).push(Ran { database, id: id.to_owned(), text: text.to_owned() });
            let mishap = self.mishap(id, text);
            if mishap == Mishap::ResetBefore {
                return reset(&out);
            }
            if open.is_none() {
                before.clone_from(&names);
            }
            let answer = match mishap {
                Mishap::RolledBack => "ERROR THROTTLED not now\r\n".to_owned(),
                _ => self.answer(database, id, text, &mut names, &mut open),
            };
            if mishap == Mishap::RolledBack || text == "ABORT" {
                open = None;
                names.clone_from(&before);
            }
            // What it holds when an answer is owed that never comes.
            match mishap {
                Mishap::Silence => {
                    while reader.read_line(&mut line)? > 0 {}
                    return Ok(());
                }
                Mishap::ResetAfter => return reset(&out),
                Mishap::ResetWithin => {
                    out.write_all(&answer.as_bytes()[..answer.len() - 3])?;
                    std::thread::sleep(Duration::from_millis(20));
                    return reset(&out);
                }
                Mishap::Late(ms) => std::thread::sleep(Duration::from_millis(ms)),
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
            match mishap {
                Mishap::Doubled => out.write_all(answer.repeat(2).as_bytes())?,
                Mishap::DoubledLate(ms) => {
                    out.write_all(answer.as_bytes())?;
                    std::thread::sleep(Duration::from_millis(ms));
                    out.write_all(answer.as_bytes())?;
                    // It stands alone for a while, whatever was asked meanwhile.
                    std::thread::sleep(Duration::from_millis(ms));
                }
                _ => out.write_all(answer.as_bytes())?,
            }
            if mishap == Mishap::ResetThen {
                // Once the answer was read; a reset would take it along.
                std::thread::sleep(Duration::from_millis(50));
                return reset(&out);
            }
        }
    }

    fn position(&self) -> String {
        let store = hold(&self.store);
        format!("{}.{}", store.term, store.number)
    }

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
        let primary = hold(&self.store).primary == database;
        let done = "COMPLETE -\r\n".to_owned();
        match word {
            "BEGIN" if rest.is_empty() && !primary => "ERROR READONLY here\r\n".to_owned(),
            "BEGIN" => {
                *open = Some(Vec::new());
                done
            }
            "COMMIT" => {
                let writes = open.take().unwrap_or_default();
                let mut store = hold(&self.store);
                store.number += u64::from(!writes.is_empty());
                store.things.extend(writes);
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
                let value = hold(&self.store).things.get(rest).cloned().unwrap_or_default();
                format!("ROW {value}\r\nCOMPLETE {stamp}\r\n")
            }
            "STORE" if !primary => "ERROR READONLY here\r\n".to_owned(),
            "STORE" => {
                let (thing, data) = rest.split_once(' ').unwrap_or((rest, ""));
                let write = (thing.to_owned(), data.to_owned());
                match open {
                    Some(writes) => writes.push(write),
                    None => {
                        let mut store = hold(&self.store);
                        store.number += 1;
                        store.things.extend([write]);
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
                let store = hold(&self.store);
                let role = if primary { "primary" } else { "replica" };
                let position = format!("{}.{}", store.term, store.number);
                format!("ROW {role} {} {position} 0 0 0 1\r\nCOMPLETE -\r\n", store.term)
            }
            _ => "ERROR MALFORMED what\r\n".to_owned(),
        }
    }
}

/// A port that is free, outside the range from which the kernel gives ports to connections: one of
/// those may be gone by the time a program listens on it.
pub fn free_port() -> u16 {
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
pub fn http(
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
