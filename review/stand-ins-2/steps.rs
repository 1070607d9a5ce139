//! Steps that the cases of the second review share, beside the stand-ins of the first one.
use crate::support::*;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The clients of a quiet service: one writes, through one machine; others only read, through the
/// other machines.
pub struct Clients {
    /// The machine that the writing client is connected to. It does not hold the leader.
    pub machine: usize,
    writer: Writer,
    stop_reading: Arc<AtomicBool>,
    reads: Arc<AtomicU64>,
}

/// Starts the clients and waits until the service has been in use for some seconds.
pub fn quiet_service(service: &Arc<Service>, deployment: &Deployment) -> Result<Clients, String> {
    let mut leader = None;
    eventually(10, || {
        leader = deployment.leader();
        leader.is_some()
    });
    let leader = leader.ok_or("no controller leads")?;
    let record = &deployment.record;
    record.say(&format!("{} leads the controllers", deployment.machines[leader].name));
    let machine = (leader + 1) % deployment.machines.len();
    let writer = Writer::start(service, deployment.machines[machine].frontend, "orders", 20);
    let (stop_reading, reads) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    for (at, other) in deployment.machines.iter().enumerate() {
        if at != machine {
            read(other.frontend, Arc::clone(&stop_reading), Arc::clone(&reads));
        }
    }
    let clients = Clients { machine, writer, stop_reading, reads };
    if !eventually(20, || clients.written() > 100 && clients.reads.load(Ordering::SeqCst) > 50) {
        return Err("the clients were not served".into());
    }
    // Quotas of connections settle, and every lease is of the present leader.
    sleep_ms(5_000);
    Ok(clients)
}

/// A client that reads through a node, every 80 ms.
fn read(to: SocketAddr, stop: Arc<AtomicBool>, reads: Arc<AtomicU64>) {
    std::thread::spawn(move || {
        let mut session: Option<Session> = None;
        while !stop.load(Ordering::SeqCst) {
            sleep_ms(80);
            if session.is_none() {
                session = Session::open(to, "orders").ok();
            }
            let Some(open) = &mut session else { continue };
            match open.query(&fresh_id(), "FETCH crate-0") {
                Ok(reply) if reply.outcome.starts_with("COMPLETE") => {
                    reads.fetch_add(1, Ordering::SeqCst);
                }
                Ok(_) => sleep_ms(100),
                Err(_) => session = None,
            }
        }
    });
}

impl Clients {
    pub fn written(&self) -> u64 {
        self.writer.done.load(Ordering::SeqCst)
    }

    /// Ends the clients, and tells whether a promoted database lacked what clients were told of.
    pub fn finish(&self, service: &Service, deployment: &Deployment) -> i32 {
        self.writer.stop.store(true, Ordering::SeqCst);
        self.stop_reading.store(true, Ordering::SeqCst);
        sleep_ms(300);
        let missing = lock(&service.missing).len();
        let record = &deployment.record;
        record.say(&format!(
            "{} writes acknowledged in all; promotions: {}; acknowledged writes that a promoted \
             database lacked: {missing}",
            self.written(),
            service.promotions.load(Ordering::SeqCst)
        ));
        if std::env::var_os("KEEP").is_some() {
            record.say(&format!("logs: {}", deployment.folder.display()));
        }
        if missing > 0 { BROKEN } else { HELD }
    }
}

/// Kills both processes of a machine.
pub fn kill_machine(deployment: &Deployment, machine: usize, record: &Record) {
    let machine = &deployment.machines[machine];
    for program in [&machine.node, &machine.controller] {
        if let Some(program) = lock(program).as_ref() {
            program.signal("KILL");
            record.say(&format!("{} is killed", program.name));
        }
    }
}

/// The processes of a machine that was killed and is back. They end with this value.
pub struct Restarted(Vec<Child>);

impl Drop for Restarted {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Starts both processes of a machine again.
pub fn restart_machine(deployment: &Deployment, machine: usize) -> Result<Restarted, String> {
    let machine = &deployment.machines[machine];
    // Only the first start of the system has it.
    let text = std::fs::read_to_string(&machine.settings).map_err(|e| e.to_string())?;
    let later = text.replace("bootstrap = true", "bootstrap = false");
    std::fs::write(&machine.settings, later).map_err(|e| e.to_string())?;
    let mut restarted = Restarted(Vec::new());
    for role in ["controller", deployment.node_role] {
        let child = Command::new(&deployment.program)
            .args([role, "--settings"])
            .arg(&machine.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| e.to_string())?;
        restarted.0.push(child);
        deployment.record.say(&format!("{role} on {} is started again", machine.name));
    }
    Ok(restarted)
}

/// Sends the heartbeats of a database until the end of the case. With `told`, they name this
/// address in place of the database's own.
pub fn heartbeats(
    service: &Arc<Service>,
    at: usize,
    deployment: &Deployment,
    told: Option<SocketAddr>,
) {
    let (service, admins) = (Arc::clone(service), deployment.admins());
    std::thread::spawn(move || {
        let mut target = at % admins.len();
        let mut named: Option<SocketAddr> = None;
        let mut sent: Option<Instant> = None;
        let mut was_primary = None;
        loop {
            sleep_ms(10);
            let due = sent.is_none_or(|sent| sent.elapsed() >= Duration::from_millis(1_150));
            let (path, body) = {
                let mut state = lock(&service.state);
                let database = &mut state[at];
                if !database.up
                    || database.said_goodbye
                    || (!due && was_primary == Some(database.primary))
                {
                    continue;
                }
                database.sequence += 1;
                was_primary = Some(database.primary);
                let role = if database.primary { "primary" } else { "replica" };
                let address = told.unwrap_or(database.address);
                let body = format!(
                    "{{\"target_service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\
                     \"revision\":\"v1\",\"capacity\":7,\"lifecycle_state\":\"available\",\
                     \"warmup_left_ms\":0,\"database_role\":\"{role}\",\"sequence\":{}}}",
                    service.name, database.zone, database.sequence
                );
                (format!("/instances/{}", database.id), body)
            };
            sent = Some(Instant::now());
            match control(named.unwrap_or(admins[target]), "PUT", &path, &[], &body) {
                Ok(answer) if (200..300).contains(&answer.status) => {
                    named = json_text(&answer.body, "heartbeat_url").and_then(|a| a.parse().ok());
                }
                _ => {
                    (named, was_primary) = (None, None);
                    target = (target + 1) % admins.len();
                    sleep_ms(100);
                }
            }
        }
    });
}
