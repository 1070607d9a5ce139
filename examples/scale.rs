//! A load test of the control plane on one machine: real controllers run as processes; this process
//! simulates many nodes and databases that use the real protocols but carry no traffic.
//!
//! Prints one line of JSON: the resources that the leader and the other controllers used, the
//! traffic of each node, and the time until a new configuration was in force on all nodes.
//! `docs/CAPACITY.md` has figures.
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

/// Runs controllers with simulated nodes and databases, and measures the controllers' resource
/// usage.
#[derive(Clone, Parser)]
struct Args {
    /// The number of simulated nodes.
    #[arg(long, default_value_t = 100)]
    nodes: usize,
    /// The number of simulated databases; there are three for each service.
    #[arg(long, default_value_t = 150)]
    databases: usize,
    /// The value of the controllers' `rollout` setting: api or pooler.
    #[arg(long, default_value = "api")]
    kind: String,
    /// The number of services for which each lease renewal reports an observed position and
    /// requests a bound.
    #[arg(long, default_value_t = 0)]
    saw: usize,
    /// The number of routes in a configuration.
    #[arg(long, default_value_t = 300)]
    routes: usize,
    /// The number of configuration changes during the measurement.
    #[arg(long, default_value_t = 5)]
    changes: u64,
    /// The duration of the measurement, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// The number of controllers.
    #[arg(long, default_value_t = 3)]
    controllers: u8,
    /// The path of the controllers' program.
    #[arg(long, default_value = "target/release/silvertack")]
    program: PathBuf,
}

/// A child process that is killed when dropped.
struct Process(Child);
impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail if the process has ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The traffic of all simulated nodes, and the leases granted to them.
#[derive(Default)]
struct Counts {
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    frames_in: AtomicU64,
    active_grants: AtomicU64,
}

/// A node that subscribes to the leader and renews its leases, but serves no clients.
struct SimulatedNode {
    node: NodeName,
    zone: String,
    leader: LeaderConnection,
    counts: Arc<Counts>,
    route_table: Mutex<Option<RouteTable>>,
    /// The revision in force; 0 before the first configuration.
    revision: AtomicU64,
    /// When that revision came into force.
    revision_since: Mutex<Instant>,
    /// The sequence number of the last answered renewal.
    last_grant_seq: AtomicU64,
    /// The sequence number of the last renewal.
    last_renewal_seq: AtomicU64,
    observed_services: usize,
}
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
impl SimulatedNode {
    fn send(&self, message: ToController) {
        let bytes = encode(&Frame::Pooler(message.clone())).len() as u64;
        self.counts.bytes_out.fetch_add(bytes, Ordering::Relaxed);
        self.leader.send(message);
    }
    fn renew_leases(&self) {
        let seq = self.last_renewal_seq.fetch_add(1, Ordering::Relaxed) + 1;
        let names = (0..self.observed_services).map(|n| ServiceName(format!("s{n}")));
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
        let last_grant_seq = self.last_grant_seq.load(Ordering::Relaxed);
        let bounds_requested = names.collect();
        self.send(ToController::RenewLeases {
            seq,
            last_grant_seq,
            quotas,
            demand,
            observed,
            bounds_requested,
            load,
        });
    }
    fn set_route_table(&self, route_table: RouteTable) {
        *lock(&self.revision_since) = Instant::now();
        self.revision.store(route_table.revision.0, Ordering::SeqCst);
        *lock(&self.route_table) = Some(route_table);
    }
}
impl LeaderSubscriber for SimulatedNode {
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
        self.renew_leases();
    }
    fn on_message(&self, message: ToPooler) {
        let bytes = encode(&Frame::Controller(message.clone())).len() as u64;
        self.counts.bytes_in.fetch_add(bytes, Ordering::Relaxed);
        self.counts.frames_in.fetch_add(1, Ordering::Relaxed);
        match message {
            ToPooler::RouteTable(route_table) => self.set_route_table(*route_table),
            ToPooler::RouteTableDelta(delta) => {
                let next = lock(&self.route_table).as_ref().and_then(|table| table.apply(&delta));
                match next {
                    Some(route_table) => self.set_route_table(route_table),
                    None => self.send(ToController::RequestFullTable),
                }
            }
            ToPooler::LeaseGrants { seq, grants, .. } => {
                self.last_grant_seq.store(seq, Ordering::Relaxed);
                let active =
                    grants.iter().filter(|g| matches!(g.status, PrimaryStatus::Active { .. }));
                self.counts.active_grants.fetch_add(active.count() as u64, Ordering::Relaxed);
            }
            ToPooler::RenewNow => self.renew_leases(),
            _ => {}
        }
    }
}

/// Answers the controllers' status queries for all simulated databases.
fn serve_status_queries(listener: TcpListener) {
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

/// Sends heartbeats for some of the databases once a second, each on a persistent connection of its
/// own.
fn send_heartbeats(
    databases: Vec<usize>,
    all: usize,
    database_address: SocketAddr,
    leader: SocketAddr,
    stop: &AtomicBool,
) {
    let mut connections: Vec<Option<TcpStream>> = databases.iter().map(|_| None).collect();
    for sequence in 1.. {
        let round = Instant::now();
        for (place, database) in databases.iter().enumerate() {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let service = database % (all / 3).max(1);
            let number = database / (all / 3).max(1);
            let role = if number == 0 { "primary" } else { "replica" };
            let body =
                json!({ "target_service": format!("s{service}"), "address": database_address,
                "zone": format!("z{}", database % 7), "revision": "v1", "capacity": 6,
                "lifecycle_state": "available", "warmup_left_ms": 0,
                "database_role": role, "sequence": sequence })
                .to_string();
            let request = format!(
                "PUT /instances/i-{service}-{number} HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let mut call = || -> std::io::Result<()> {
                if connections[place].is_none() {
                    let stream = TcpStream::connect_timeout(&leader, Duration::from_secs(1))?;
                    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
                    stream.set_nodelay(true)?;
                    connections[place] = Some(stream);
                }
                let Some(stream) = &mut connections[place] else { return Ok(()) };
                stream.write_all(request.as_bytes())?;
                let mut chunk = [0; 2048];
                if stream.read(&mut chunk)? == 0 {
                    return Err(std::io::ErrorKind::UnexpectedEof.into());
                }
                Ok(())
            };
            if call().is_err() {
                connections[place] = None;
            }
            // The heartbeats are spread over the second.
            let due =
                Duration::from_micros(1_000_000 * (place as u64 + 1) / databases.len() as u64);
            std::thread::sleep(due.saturating_sub(round.elapsed()));
        }
    }
}

/// The processor time in ms, the peak memory in KiB and the number of threads of a process.
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
    // User and system time, in ticks of 10 ms.
    let ticks = fields.get(11).unwrap_or(&0) + fields.get(12).unwrap_or(&0);
    let status = read("status");
    let field = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default();
        line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
    };
    (ticks * 10, field("VmHWM:"), field("Threads:"))
}

fn write_settings(
    folder: &Path,
    number: u8,
    args: &Args,
) -> std::io::Result<(PathBuf, SocketAddr)> {
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
            // Each revision changes the time-outs of a few routes.
            let timeout = if n as u64 % 40 == revision % 40 { 1_000 + revision } else { 1_000 };
            json!({ "name": format!("r{n}"), "hostname": format!("host{n}"), "path_prefix": "/",
                "route_type": kind, "timeout_ms": timeout, "target_latency_ms": 250, "priority": 1,
                "target_service": format!("s{}", n % services) })
        })
        .collect();
    let services: Vec<_> = (0..services)
        .map(|n| json!({ "name": format!("s{n}"), "max_connections": 4_000, "sync_replicas": 1 }))
        .collect();
    json!({ "revision": revision, "route_rules": routes, "services": services }).to_string()
}

fn find_leader(admins: &[SocketAddr]) -> Option<SocketAddr> {
    admins.iter().find_map(|address| {
        let response =
            http::call(*address, "GET", "/status", &[], &[], Duration::from_secs(2)).ok()?;
        let status: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
        status["leader_admin"].as_str()?.parse().ok()
    })
}
fn put_configuration(address: SocketAddr, base: u64, body: &str) -> bool {
    let headers = [("If-Match", base.to_string())];
    http::call(address, "PUT", "/configuration", &headers, body.as_bytes(), Duration::from_secs(5))
        .is_ok_and(|response| response.status == 200)
}
fn wait_for(seconds: u64, condition: &str, mut check: impl FnMut() -> bool) -> Result<f64, String> {
    let start = Instant::now();
    while !check() {
        if start.elapsed() > Duration::from_secs(seconds) {
            return Err(format!("timed out after {seconds} s waiting for {condition}"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(start.elapsed().as_secs_f64())
}

#[expect(clippy::too_many_lines, reason = "one measurement, step by step")]
fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    let folder = std::env::temp_dir().join(format!("silvertack-scale-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let (mut processes, mut admins) = (Vec::new(), Vec::new());
    for number in 1..=args.controllers {
        let (file, admin) = write_settings(&folder, number, &args)?;
        let mut command = Command::new(&args.program);
        command.args(["--log", "warn", "controller", "--settings"]).arg(file).stderr(Stdio::null());
        processes.push(Process(command.spawn()?));
        admins.push(admin);
    }
    let mut found = None;
    wait_for(20, "a leader", || {
        found = find_leader(&admins);
        found.is_some()
    })?;
    let leader_address = found.ok_or("no leader")?;
    wait_for(20, "the first configuration to be accepted", || {
        put_configuration(leader_address, 0, &configuration(1, &args))
    })?;
    let listener = TcpListener::bind("127.0.9.200:0")?;
    let database = listener.local_addr()?;
    std::thread::spawn(move || serve_status_queries(listener));
    let stop = Arc::new(AtomicBool::new(false));
    let heartbeat_threads = 16.min(args.databases.max(1));
    for thread in 0..heartbeat_threads {
        let thread_databases = (thread..args.databases).step_by(heartbeat_threads).collect();
        let (stop, all) = (Arc::clone(&stop), args.databases);
        std::thread::spawn(move || {
            send_heartbeats(thread_databases, all, database, leader_address, &stop)
        });
    }
    let counts = Arc::new(Counts::default());
    let peers: Vec<SocketAddr> = admins.iter().map(|a| SocketAddr::new(a.ip(), 17_410)).collect();
    let mut nodes = Vec::new();
    let join_start = Instant::now();
    for number in 0..args.nodes {
        let node = Arc::new(SimulatedNode {
            node: NodeName(format!("n{number}")),
            zone: format!("z{}", number % 7),
            leader: LeaderConnection::new("hollow", peers.clone()),
            counts: Arc::clone(&counts),
            route_table: Mutex::new(None),
            revision: AtomicU64::new(0),
            revision_since: Mutex::new(Instant::now()),
            last_grant_seq: AtomicU64::new(0),
            last_renewal_seq: AtomicU64::new(0),
            observed_services: args.saw,
        });
        let subscriber = Arc::clone(&node);
        std::thread::Builder::new()
            .stack_size(128 << 10)
            .spawn(move || subscriber.leader.run(&*subscriber))?;
        nodes.push(node);
    }
    let all_have =
        |revision: u64| nodes.iter().all(|n| n.revision.load(Ordering::SeqCst) >= revision);
    wait_for(60, "all nodes to have the first configuration", || all_have(1))?;
    let joined_s = join_start.elapsed().as_secs_f64();
    // Real nodes renew their leases independently; here one thread renews those of all nodes,
    // spread over the interval.
    let (renewing, stopping) = (nodes.clone(), Arc::clone(&stop));
    std::thread::spawn(move || {
        while !stopping.load(Ordering::Relaxed) {
            let round = Instant::now();
            for (place, node) in renewing.iter().enumerate() {
                node.renew_leases();
                let due =
                    Duration::from_micros(450_000 * (place as u64 + 1) / renewing.len() as u64);
                std::thread::sleep(due.saturating_sub(round.elapsed()));
            }
        }
    });
    // By then elections, the first division of quotas and the first heartbeats are over.
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
        if !put_configuration(leader_address, change, &configuration(change + 1, &args)) {
            return Err("a configuration change was rejected".into());
        }
        let acknowledged = Instant::now();
        wait_for(30, "the new configuration to be in force on all nodes", || all_have(change + 1))?;
        let last = nodes.iter().map(|n| *lock(&n.revision_since)).max().unwrap_or(acknowledged);
        in_force.push(last.saturating_duration_since(acknowledged).as_millis() as u64);
    }
    std::thread::sleep(Duration::from_secs(args.seconds).saturating_sub(start.elapsed()));
    let seconds = start.elapsed().as_secs_f64();
    let after: Vec<_> = processes.iter().map(|p| usage(p.0.id())).collect();
    let leader_index = admins.iter().position(|a| *a == leader_address).unwrap_or(0);
    let core = |n: usize| (after[n].0 - before[n].0) as f64 / seconds / 1_000.0;
    let others = (0..processes.len()).filter(|n| *n != leader_index).map(core);
    let per = |bytes: u64| bytes as f64 / seconds / args.nodes.max(1) as f64;
    let round = |x: f64| (x * 10_000.0).round() / 10_000.0;
    let line = json!({
        "kind": args.kind, "nodes": args.nodes, "databases": args.databases, "saw": args.saw,
        "routes": args.routes, "changes": args.changes, "seconds": round(seconds),
        "leader_cores": round(core(leader_index)),
        "other_controllers_cores": round(others.fold(0.0, f64::max)),
        "leader_peak_kib": after[leader_index].1, "leader_threads": after[leader_index].2,
        "node_bytes_in_s": round(per(counts.bytes_in.load(Ordering::Relaxed) - bytes_in)),
        "node_bytes_out_s": round(per(counts.bytes_out.load(Ordering::Relaxed) - bytes_out)),
        "node_frames_in_s": round(per(counts.frames_in.load(Ordering::Relaxed) - frames)),
        "grants_led": counts.active_grants.load(Ordering::Relaxed),
        "join_s": round(joined_s), "in_force_ms": in_force,
    });
    println!("{line}");
    stop.store(true, Ordering::Relaxed);
    drop(processes);
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}
