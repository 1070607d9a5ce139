//! A scale run on one machine: real controllers as processes, before them hollow nodes and hollow
//! databases, many to this process, that speak the real protocols and carry no traffic.
//!
//! Prints one line of JSON: what the leader and the other controllers used, what each node was sent, and
//! how long a new configuration took to be in force everywhere. `docs/CAPACITY.md` has its figures.
use clap::Parser;
use serde_json::json;
use silvertack::base::ids::{DbTerm, NodeName, Position, Revision, ServiceName};
use silvertack::config::route_table::RouteTable;
use silvertack::net::http;
use silvertack::net::leader_connection::{LeaderConnection, LeaderSubscriber};
use silvertack::net::rpc::pooler_messages::{
    ObservedPosition, PrimaryStatus, ToController, ToPooler,
};
use silvertack::net::rpc::{Frame, encode};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Runs controllers with hollow nodes and databases, and tells what they cost.
#[derive(Clone, Parser)]
struct Args {
    #[arg(long, default_value_t = 100)]
    nodes: usize,
    /// Three databases a service.
    #[arg(long, default_value_t = 150)]
    databases: usize,
    /// api or pooler.
    #[arg(long, default_value = "api")]
    kind: String,
    /// Services of which each node tells a position in each renewal, and asks for a floor.
    #[arg(long, default_value_t = 0)]
    saw: usize,
    #[arg(long, default_value_t = 300)]
    routes: usize,
    /// Configurations during the measured time.
    #[arg(long, default_value_t = 5)]
    changes: u64,
    /// Measured time.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    #[arg(long, default_value_t = 3)]
    controllers: u8,
    #[arg(long, default_value = "target/release/silvertack")]
    program: PathBuf,
}

struct Process(Child);
impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[derive(Default)]
struct Counts {
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    frames_in: AtomicU64,
    led: AtomicU64,
}

struct Hollow {
    node: NodeName,
    zone: String,
    link: LeaderConnection,
    counts: Arc<Counts>,
    config: Mutex<Option<RouteTable>>,
    /// The revision in force, and when it came to be.
    revision: AtomicU64,
    since: Mutex<Instant>,
    heard: AtomicU64,
    seq: AtomicU64,
    saw: usize,
}
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
impl Hollow {
    fn tell(&self, message: ToController) {
        let bytes = encode(&Frame::Pooler(message.clone())).len() as u64;
        self.counts.bytes_out.fetch_add(bytes, Ordering::Relaxed);
        self.link.send(message);
    }
    fn renew(&self) {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let names = (0..self.saw).map(|n| ServiceName(format!("s{n}")));
        let position = Position { term: DbTerm(1), number: seq };
        let observed = names
            .clone()
            .map(|service| ObservedPosition {
                service,
                term: DbTerm(1),
                position,
                sent_after_ms: 100,
            })
            .collect();
        let load = if seq.is_multiple_of(8) {
            (0..3).map(|n| (ServiceName(format!("s{n}")), 100 + (seq % 50) as u32)).collect()
        } else {
            Vec::new()
        };
        let (quotas, demand) = (Vec::new(), Vec::new());
        let last_grant_seq = self.heard.load(Ordering::Relaxed);
        let bounds_requested = names.collect();
        self.tell(ToController::RenewLeases {
            seq,
            last_grant_seq,
            quotas,
            demand,
            observed,
            bounds_requested,
            load,
        });
    }
    fn configured(&self, config: RouteTable) {
        *lock(&self.since) = Instant::now();
        self.revision.store(config.revision.0, Ordering::SeqCst);
        *lock(&self.config) = Some(config);
    }
}
impl LeaderSubscriber for Hollow {
    fn hello(&self) -> ToController {
        let revision = Revision(self.revision.load(Ordering::Relaxed));
        ToController::Hello {
            node: self.node.clone(),
            incarnation: 1,
            revision,
            zone: self.zone.clone(),
        }
    }
    fn on_connected(&self) {}
    fn on_ready(&self) {
        self.renew();
    }
    fn on_message(&self, message: ToPooler) {
        let bytes = encode(&Frame::Controller(message.clone())).len() as u64;
        self.counts.bytes_in.fetch_add(bytes, Ordering::Relaxed);
        self.counts.frames_in.fetch_add(1, Ordering::Relaxed);
        match message {
            ToPooler::RouteTable(config) => self.configured(*config),
            ToPooler::RouteTableDelta(changed) => {
                let next = lock(&self.config).as_ref().and_then(|c| c.apply(&changed));
                match next {
                    Some(config) => self.configured(config),
                    None => self.tell(ToController::RequestFullTable),
                }
            }
            ToPooler::LeaseGrants { seq, grants, .. } => {
                self.heard.store(seq, Ordering::Relaxed);
                let led =
                    grants.iter().filter(|g| matches!(g.status, PrimaryStatus::Active { .. }));
                self.counts.led.fetch_add(led.count() as u64, Ordering::Relaxed);
            }
            ToPooler::RenewNow => self.renew(),
            _ => {}
        }
    }
}

/// A stand-in for all databases at once, as far as controllers ask them anything.
fn describe(listener: TcpListener) {
    for stream in listener.incoming().flatten() {
        std::thread::spawn(move || -> std::io::Result<()> {
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut out = stream;
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let role = if line.trim_end().ends_with("-0") { "primary" } else { "replica" };
            out.write_all(b"READY I 1.1\r\n")?;
            loop {
                line.clear();
                if reader.read_line(&mut line)? == 0 {
                    return Ok(());
                }
                out.write_all(
                    format!("ROW {role} 1 1.1 1 0 0 1\r\nCOMPLETE -\r\nREADY I 1.1\r\n").as_bytes(),
                )?;
            }
        });
    }
}

/// Beats of some databases, each on a kept connection of its own, once a second.
fn heartbeat(
    databases: Vec<usize>,
    all: usize,
    at: SocketAddr,
    leader: SocketAddr,
    stop: &AtomicBool,
) {
    let mut kept: Vec<Option<TcpStream>> = databases.iter().map(|_| None).collect();
    for sequence in 1.. {
        let round = Instant::now();
        for (place, database) in databases.iter().enumerate() {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let service = database % (all / 3).max(1);
            let number = database / (all / 3).max(1);
            let role = if number == 0 { "primary" } else { "replica" };
            let body = json!({ "target_service": format!("s{service}"), "address": at, "zone": format!("z{}", database % 7),
                "revision": "v1", "capacity": 6, "lifecycle_state": "available", "warmup_left_ms": 0,
                "database_role": role, "sequence": sequence })
            .to_string();
            let request = format!(
                "PUT /instances/i-{service}-{number} HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let mut call = || -> std::io::Result<()> {
                if kept[place].is_none() {
                    let stream = TcpStream::connect_timeout(&leader, Duration::from_secs(1))?;
                    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
                    stream.set_nodelay(true)?;
                    kept[place] = Some(stream);
                }
                let Some(stream) = &mut kept[place] else { return Ok(()) };
                stream.write_all(request.as_bytes())?;
                let mut chunk = [0; 2048];
                if stream.read(&mut chunk)? == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
                Ok(())
            };
            if call().is_err() {
                kept[place] = None;
            }
            // Spread over the second.
            let due =
                Duration::from_micros(1_000_000 * (place as u64 + 1) / databases.len() as u64);
            std::thread::sleep(due.saturating_sub(round.elapsed()));
        }
    }
}

/// Processor time in ms, memory in KiB and threads of a process.
fn usage(pid: u32) -> (u64, u64, u64) {
    let read =
        |what: &str| std::fs::read_to_string(format!("/proc/{pid}/{what}")).unwrap_or_default();
    let stat = read("stat");
    let fields: Vec<u64> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .map(|f| f.parse().unwrap_or(0))
        .collect();
    // In ticks of 10 ms.
    let ticks = fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0);
    let status = read("status");
    let field = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default();
        line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
    };
    (ticks * 10, field("VmHWM:"), field("Threads:"))
}

fn settings(folder: &Path, number: u8, args: &Args) -> std::io::Result<(PathBuf, SocketAddr)> {
    let ip = Ipv4Addr::new(127, 0, 9, number);
    let seeds: Vec<String> = (1..=args.controllers).map(|n| format!("127.0.9.{n}:17400")).collect();
    let text = format!(
        "node_name = \"controller-{number}\"\nip_address = \"{ip}\"\nzone = \"z{number}\"\nport_range = [17410, 17419]\n\
         seed_nodes = {seeds:?}\nbootstrap = true\nrollout = \"{}\"\ndata_path = \"{}\"\nheartbeat_ms = 1000\n\
         [listeners]\nadmin = \"{ip}:17400\"\n[limits]\nmemory_mb = 1024\nmax_open_files = 30000\n\
         [fault_tolerance]\nmachines = 1\n",
        args.kind,
        folder.join(format!("data-{number}")).display(),
    );
    let file = folder.join(format!("{number}.toml"));
    std::fs::write(&file, text)?;
    Ok((file, SocketAddr::from((ip, 17_400))))
}

fn configuration(revision: u64, args: &Args) -> String {
    let services = (args.databases / 3).max(1);
    let kind = if args.kind == "api" { "idempotent" } else { "primary" };
    let routes: Vec<_> = (0..args.routes)
        .map(|n| {
            // Each version changes the time-outs of a few routes.
            let timeout = if n as u64 % 40 == revision % 40 { 1_000 + revision } else { 1_000 };
            json!({ "name": format!("r{n}"), "hostname": format!("host{n}"), "path_prefix": "/", "route_type": kind,
                "timeout_ms": timeout, "target_latency_ms": 250, "priority": 1, "target_service": format!("s{}", n % services) })
        })
        .collect();
    let services: Vec<_> = (0..services)
        .map(|n| json!({ "name": format!("s{n}"), "max_connections": 4_000, "sync_replicas": 1 }))
        .collect();
    json!({ "revision": revision, "route_rules": routes, "services": services }).to_string()
}

fn leader(admins: &[SocketAddr]) -> Option<SocketAddr> {
    admins.iter().find_map(|at| {
        let response = http::call(*at, "GET", "/status", &[], &[], Duration::from_secs(2)).ok()?;
        let status: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
        status["leader_admin"].as_str()?.parse().ok()
    })
}
fn put(at: SocketAddr, base: u64, body: &str) -> bool {
    let headers = [("If-Match", base.to_string())];
    http::call(at, "PUT", "/configuration", &headers, body.as_bytes(), Duration::from_secs(5))
        .is_ok_and(|response| response.status == 200)
}
fn within(seconds: u64, what: &str, mut check: impl FnMut() -> bool) -> Result<f64, String> {
    let start = Instant::now();
    while !check() {
        if start.elapsed() > Duration::from_secs(seconds) {
            return Err(format!("never: {what}"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(start.elapsed().as_secs_f64())
}

#[expect(clippy::too_many_lines, reason = "one measurement, told in order")]
fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    let folder = std::env::temp_dir().join(format!("silvertack-scale-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let (mut processes, mut admins) = (Vec::new(), Vec::new());
    for number in 1..=args.controllers {
        let (file, admin) = settings(&folder, number, &args)?;
        let mut command = Command::new(&args.program);
        command.args(["--log", "warn", "controller", "--settings"]).arg(file).stderr(Stdio::null());
        processes.push(Process(command.spawn()?));
        admins.push(admin);
    }
    let mut at = None;
    within(20, "a leader", || {
        at = leader(&admins);
        at.is_some()
    })?;
    let at = at.ok_or("no leader")?;
    within(20, "a configuration", || put(at, 0, &configuration(1, &args)))?;
    let listener = TcpListener::bind("127.0.9.200:0")?;
    let database = listener.local_addr()?;
    std::thread::spawn(move || describe(listener));
    let stop = Arc::new(AtomicBool::new(false));
    let beaters = 16.min(args.databases.max(1));
    for beater in 0..beaters {
        let mine = (beater..args.databases).step_by(beaters).collect();
        let (stop, all) = (Arc::clone(&stop), args.databases);
        std::thread::spawn(move || heartbeat(mine, all, database, at, &stop));
    }
    let counts = Arc::new(Counts::default());
    let peers: Vec<SocketAddr> = admins.iter().map(|a| SocketAddr::new(a.ip(), 17_410)).collect();
    let mut nodes = Vec::new();
    let joining = Instant::now();
    for number in 0..args.nodes {
        let node = Arc::new(Hollow {
            node: NodeName(format!("n{number}")),
            zone: format!("z{}", number % 7),
            link: LeaderConnection::new("hollow", peers.clone()),
            counts: Arc::clone(&counts),
            config: Mutex::new(None),
            revision: AtomicU64::new(0),
            since: Mutex::new(Instant::now()),
            heard: AtomicU64::new(0),
            seq: AtomicU64::new(0),
            saw: args.saw,
        });
        let keeping = Arc::clone(&node);
        std::thread::Builder::new()
            .stack_size(128 << 10)
            .spawn(move || keeping.link.run(&*keeping))?;
        nodes.push(node);
    }
    let has = |revision: u64| nodes.iter().all(|n| n.revision.load(Ordering::SeqCst) >= revision);
    within(60, "all nodes there", || has(1))?;
    let joined_s = joining.elapsed().as_secs_f64();
    // As real nodes do, each by itself; one thread drives many.
    let (renewing, stopping) = (nodes.clone(), Arc::clone(&stop));
    std::thread::spawn(move || {
        while !stopping.load(Ordering::Relaxed) {
            let round = Instant::now();
            for (place, node) in renewing.iter().enumerate() {
                node.renew();
                let due =
                    Duration::from_micros(450_000 * (place as u64 + 1) / renewing.len() as u64);
                std::thread::sleep(due.saturating_sub(round.elapsed()));
            }
        }
    });
    // Elections, first shares and the first heartbeats are over by then.
    std::thread::sleep(Duration::from_secs(6));
    let before: Vec<_> = processes.iter().map(|p| usage(p.0.id())).collect();
    let (bytes_in, bytes_out) =
        (counts.bytes_in.load(Ordering::Relaxed), counts.bytes_out.load(Ordering::Relaxed));
    let frames = counts.frames_in.load(Ordering::Relaxed);
    let start = Instant::now();
    let mut in_force = Vec::new();
    for change in 1..=args.changes {
        let due = Duration::from_millis(1_000 * args.seconds * change / (args.changes + 1));
        std::thread::sleep(due.saturating_sub(start.elapsed()));
        if !put(at, change, &configuration(change + 1, &args)) {
            return Err("a configuration was not taken".into());
        }
        let acknowledged = Instant::now();
        within(30, "in force everywhere", || has(change + 1))?;
        let last = nodes.iter().map(|n| *lock(&n.since)).max().unwrap_or(acknowledged);
        in_force.push(last.saturating_duration_since(acknowledged).as_millis() as u64);
    }
    std::thread::sleep(Duration::from_secs(args.seconds).saturating_sub(start.elapsed()));
    let seconds = start.elapsed().as_secs_f64();
    let after: Vec<_> = processes.iter().map(|p| usage(p.0.id())).collect();
    let led = admins.iter().position(|a| *a == at).unwrap_or(0);
    let core = |n: usize| (after[n].0 - before[n].0) as f64 / seconds / 1_000.0;
    let others = (0..processes.len()).filter(|n| *n != led).map(core);
    let per = |bytes: u64| bytes as f64 / seconds / args.nodes.max(1) as f64;
    let round = |x: f64| (x * 10_000.0).round() / 10_000.0;
    let line = json!({
        "kind": args.kind, "nodes": args.nodes, "databases": args.databases, "saw": args.saw,
        "routes": args.routes, "changes": args.changes, "seconds": round(seconds),
        "leader_cores": round(core(led)), "other_controllers_cores": round(others.fold(0.0, f64::max)),
        "leader_peak_kib": after[led].1, "leader_threads": after[led].2,
        "node_bytes_in_s": round(per(counts.bytes_in.load(Ordering::Relaxed) - bytes_in)),
        "node_bytes_out_s": round(per(counts.bytes_out.load(Ordering::Relaxed) - bytes_out)),
        "node_frames_in_s": round(per(counts.frames_in.load(Ordering::Relaxed) - frames)),
        "grants_led": counts.led.load(Ordering::Relaxed),
        "join_s": round(joined_s), "in_force_ms": in_force,
    });
    println!("{line}");
    stop.store(true, Ordering::Relaxed);
    drop(processes);
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}
