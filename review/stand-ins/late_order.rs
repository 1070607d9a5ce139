//! Case: the leading controller stands still while its order to let replicas go on is on its way, and
//! goes on while its successor relies on their pause. The queue of new connections of one replica is
//! full for a moment, so that the order waits there when the leader stops.
mod support;
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::time::Instant;
use support::*;

fn main() {
    run_case(|program, record, trouble| {
        let text = |e: std::io::Error| e.to_string();
        let platform = TcpListener::bind("127.0.0.1:0").map_err(text)?;
        let platform_at = platform.local_addr().map_err(text)?;
        // Three databases, and d, with which the replacement of a began.
        let service = Service::start(record, "ledger", 4).map_err(text)?;
        service.serve_platform(platform);
        let deployment =
            Deployment::new(record, program, "pooler", 3, platform_at, "").map_err(text)?;
        deployment.start_all().map_err(text)?;
        if !deployment.put_first_configuration(&pooler_configuration("ledger")) {
            return Err("no configuration was taken".into());
        }
        (0..4).for_each(|at| service.start_heartbeats(at, deployment.admins()));
        if !eventually(20, || deployment.all_ready()) {
            return Err("the poolers did not get ready".into());
        }
        let writers: Vec<Writer> = deployment
            .machines
            .iter()
            .map(|m| Writer::start(&service, m.frontend, "orders", 20))
            .collect();
        let written = || writers.iter().map(|w| w.done.load(Ordering::SeqCst)).sum::<u64>();
        if !eventually(20, || written() > 300) {
            return Err("no writes were served".into());
        }
        sleep_ms(5_000);
        let leader = deployment.leader().ok_or("no controller leads")?;
        record.say(&format!("{} leads; {} writes were acknowledged",
            deployment.machines[leader].name, written()));
        service.change("the primary a says draining", |state| state[0].draining = true);
        let calls = || lock(&service.calls).len();
        // The leader records the new primary and lets the others go on.
        let mut waiting = Vec::new();
        if !eventually(10, || calls() == 1) {
            return Err("no first change began".into());
        }
        sleep_ms(450);
        if trouble {
            lock(&service.state)[3].jammed = true;
            let address = lock(&service.state)[3].address;
            sleep_ms(5);
            for _ in 0..3 {
                let limit = std::time::Duration::from_millis(4);
                waiting.extend(std::net::TcpStream::connect_timeout(&address, limit));
            }
            record.say("the queue of new connections of d is full");
        }
        if !eventually(10, || service.promotions.load(Ordering::SeqCst) == 1) {
            return Err("the first change did not come about".into());
        }
        let began = Instant::now();
        let recorded = || {
            let controller = lock(&deployment.machines[leader].controller);
            let log = controller.as_ref().map(|c| c.log_text()).unwrap_or_default();
            let end = log.rfind("leads term 2");
            end.is_some_and(|end| log[end..].contains("now steady"))
        };
        while !recorded() {
            if began.elapsed().as_secs() > 5 {
                return Err("the first change did not end".into());
            }
            sleep_ms(3);
        }
        let signal = |signal: &str| {
            let controller = lock(&deployment.machines[leader].controller);
            if let Some(controller) = controller.as_ref() {
                controller.signal(signal);
                record.say(&format!("SIG{signal} to {}", controller.name));
            }
        };
        let stopped = Instant::now();
        if trouble {
            signal("STOP");
        }
        sleep_ms(100);
        if trouble {
            lock(&service.state)[3].jammed = false;
            drop(waiting);
            record.say("d accepts connections again");
        }
        service.change("the primary b says draining", |state| state[1].draining = true);
        if !eventually(6, || calls() == 2) {
            if trouble {
                signal("CONT");
            }
            return Err("no second change began".into());
        }
        sleep_ms(50);
        if trouble {
            let target = lock(&service.calls).last().map(|call| call.3.clone());
            let at = target.and_then(|id| service.index(&id)).ok_or("no target")?;
            service.change("the replica that takes over receives nothing from here on", |state| {
                state[at].deaf = true;
            });
            // GOES_ON=0 leaves the old leader where it is, for comparison.
            if !std::env::var("GOES_ON").is_ok_and(|value| value == "0") {
                signal("CONT");
                record.say(&format!("it stood still for {} ms", stopped.elapsed().as_millis()));
            }
            sleep_ms(1_500);
            service.change("the one that took over receives again", |state| {
                state[at].deaf = false;
            });
            signal("CONT");
        }
        sleep_ms(4_000);
        for writer in &writers {
            writer.stop.store(true, Ordering::SeqCst);
        }
        sleep_ms(300);
        let missing = lock(&service.missing).len();
        record.say(&format!(
            "{} writes acknowledged in all; promotions: {}; acknowledged writes that a promoted \
             database lacked: {missing}",
            written(),
            service.promotions.load(Ordering::SeqCst)
        ));
        if std::env::var_os("KEEP").is_some() {
            record.say(&format!("logs: {}", deployment.folder.display()));
        }
        Ok(if missing > 0 { BROKEN } else { HELD })
    })
}
