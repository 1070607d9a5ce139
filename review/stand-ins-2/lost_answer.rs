//! Case: a replica leaves by `DELETE /instances/ID` first and serves on for `drain_ms`. One answer
//! of it to the controllers is lost. Later the other replica receives nothing, the primary crashes
//! and a machine is killed.
#[path = "../stand-ins/support.rs"]
mod support;
mod steps;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use steps::*;
use support::*;

const DRAIN_MS: u64 = 7_000;

/// Forwards connections to a database. While `lose` is set, one answer to DESCRIBE is lost: the
/// database runs the request, and the connection breaks off before its answer arrives.
struct Path {
    lose: AtomicBool,
    record: Arc<Record>,
}

impl Path {
    fn start(self: &Arc<Self>, to: std::net::SocketAddr) -> std::io::Result<std::net::SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let path = Arc::clone(self);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let path = Arc::clone(&path);
                std::thread::spawn(move || {
                    let _ = path.forward(client, to);
                });
            }
        });
        Ok(at)
    }

    fn forward(&self, client: TcpStream, to: std::net::SocketAddr) -> std::io::Result<()> {
        // A database that has ended refuses: the connection is reset at once.
        let server = TcpStream::connect_timeout(&to, Duration::from_millis(500))?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (mut to_client, from_server) = (client.try_clone()?, server.try_clone()?);
        let back = std::thread::spawn(move || {
            let mut from_server = from_server;
            let _ = std::io::copy(&mut from_server, &mut to_client);
            let _ = to_client.shutdown(std::net::Shutdown::Both);
        });
        let mut lines = BufReader::new(client.try_clone()?);
        let mut to_server = server.try_clone()?;
        let mut line = String::new();
        while lines.read_line(&mut line)? > 0 {
            if line == "QUERY - DESCRIBE\r\n" && self.lose.swap(false, Ordering::SeqCst) {
                self.record.say("the answer of b to a DESCRIBE is lost: the connection breaks off");
                let _ = client.shutdown(std::net::Shutdown::Write);
                to_server.write_all(line.as_bytes())?;
                break;
            }
            to_server.write_all(line.as_bytes())?;
            line.clear();
        }
        let _ = server.shutdown(std::net::Shutdown::Write);
        let _ = back.join();
        Ok(())
    }
}

fn main() {
    run_case(|program, record, trouble| {
        let text = |e: std::io::Error| e.to_string();
        let platform = TcpListener::bind("127.0.0.1:0").map_err(text)?;
        let platform_at = platform.local_addr().map_err(text)?;
        let service = Service::start(record, "ledger", 3).map_err(text)?;
        // The way to replica b. Its own address is that of the path.
        let path = Arc::new(Path { lose: AtomicBool::new(false), record: Arc::clone(record) });
        let own = lock(&service.state)[1].address;
        let told = path.start(own).map_err(text)?;
        service.serve_platform(platform);
        let deployment =
            Deployment::new(record, program, "pooler", 3, platform_at, "").map_err(text)?;
        deployment.start_all().map_err(text)?;
        if !deployment.put_first_configuration(&pooler_configuration("ledger")) {
            return Err("no configuration was taken".into());
        }
        heartbeats(&service, 0, &deployment, None);
        heartbeats(&service, 1, &deployment, Some(told));
        heartbeats(&service, 2, &deployment, None);
        if !eventually(20, || deployment.all_ready()) {
            return Err("the poolers did not get ready".into());
        }
        let used = quiet_service(&service, &deployment)?;
        record.say(&format!("{} writes were acknowledged", used.written()));

        // LOSE=0 leaves out just the lost answer, for comparison.
        let lose = trouble && !std::env::var("LOSE").is_ok_and(|value| value == "0");
        path.lose.store(lose, Ordering::SeqCst);
        // Replica b ends by plan. It never says draining: DELETE first, then it serves on.
        if !service.say_goodbye(1, &deployment.admins()) {
            return Err("the leaving was not acknowledged".into());
        }
        sleep_ms(3_500);
        if lose && path.lose.load(Ordering::SeqCst) {
            return Err("no DESCRIBE reached b".into());
        }
        if trouble {
            service.change("replica c receives nothing from here on", |state| {
                state[2].deaf = true;
            });
            sleep_ms(1_500);
            service.crash(0, "the primary a crashes");
            kill_machine(&deployment, used.machine, record);
        }
        sleep_ms(3_000);
        let restarted = trouble.then(|| restart_machine(&deployment, used.machine)).transpose()?;
        // Replica b serves on until `drain_ms` after its goodbye, and a little longer.
        sleep_ms(1_500);
        service.change("replica c receives again", |state| state[2].deaf = false);
        service.crash(1, &format!("the leaving replica b ends, over {DRAIN_MS} ms after DELETE"));
        sleep_ms(2_500);
        service.come_back(0, "a is back with its log");
        sleep_ms(4_000);
        let verdict = used.finish(&service, &deployment);
        drop(restarted);
        Ok(verdict)
    })
}
