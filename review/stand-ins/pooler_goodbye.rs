//! Case: a pooler is stopped in order right after it has passed on a commit; then the primary and
//! the only replica that has the commit crash, and the replica that received nothing is left.
mod support;
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use support::*;

fn main() {
    run_case(|program, record, trouble| {
        let text = |e: std::io::Error| e.to_string();
        let platform = TcpListener::bind("127.0.0.1:0").map_err(text)?;
        let platform_at = platform.local_addr().map_err(text)?;
        let service = Service::start(record, "ledger", 3).map_err(text)?;
        service.serve_platform(platform);
        let deployment =
            Deployment::new(record, program, "pooler", 3, platform_at, "").map_err(text)?;
        deployment.start_all().map_err(text)?;
        if !deployment.put_first_configuration(&pooler_configuration("ledger")) {
            return Err("no configuration was taken".into());
        }
        (0..3).for_each(|at| service.start_heartbeats(at, deployment.admins()));
        if !eventually(20, || deployment.all_ready()) {
            return Err("the poolers did not get ready".into());
        }
        // One client writes through the pooler of machine 1; the service is quiet otherwise.
        let first = &deployment.machines[0];
        let mut session = Session::open(first.frontend, "orders").map_err(text)?;
        let write = |session: &mut Session| {
            let id = fresh_id();
            let reply = session.query(&id, &format!("STORE crate-{id} in"));
            record.note(&format!("client: {id} {reply:?}"));
            let told = reply.is_ok_and(|r| r.outcome.starts_with("COMPLETE"));
            if told {
                lock(&service.acknowledged).push(id);
            }
            told
        };
        let mut written = 0;
        for _ in 0..70 {
            written += u64::from(write(&mut session));
            sleep_ms(100);
        }
        if written < 20 {
            return Err("no writes were served".into());
        }
        record.say(&format!("{written} writes were acknowledged"));
        // Their positions reach the leader with the next renewal.
        sleep_ms(1_500);

        // A transaction that is open while its pooler is asked to stop, and ends in the time that
        // it has for that.
        let begin = session.query(&fresh_id(), "BEGIN").map_err(text)?;
        let id = fresh_id();
        let store = session.query(&id, &format!("STORE crate-{id} in")).map_err(text)?;
        record.say(&format!("client: BEGIN {}, STORE {id} {}", begin.outcome, store.outcome));
        if trouble {
            let signal = std::env::var("SIGNAL").unwrap_or_else(|_| "TERM".into());
            let node = lock(&first.node);
            let Some(node) = node.as_ref() else { return Err("no pooler".into()) };
            if signal == "TERM" {
                node.signal("TERM");
                record.say(&format!("SIGTERM to {}", node.name));
            }
        }
        sleep_ms(2_200);
        if trouble {
            service.change("replica b receives nothing from here on", |state| state[1].deaf = true);
        }
        sleep_ms(300);
        let commit = session.query(&fresh_id(), "COMMIT").map_err(text)?;
        record.say(&format!("client: COMMIT {}", commit.outcome));
        if !commit.outcome.starts_with("COMPLETE") {
            return Err("the commit was not acknowledged".into());
        }
        lock(&service.acknowledged).push(id.clone());
        session.close();
        if trouble {
            let node = lock(&first.node);
            let Some(node) = node.as_ref() else { return Err("no pooler".into()) };
            if std::env::var("SIGNAL").is_ok_and(|s| s == "KILL") {
                sleep_ms(20);
                node.signal("KILL");
                record.say(&format!("SIGKILL to {}", node.name));
            }
            if !eventually(4, || node.has_ended()) {
                return Err("the pooler did not end".into());
            }
            record.say(&format!("{} has ended", node.name));
        }
        sleep_ms(300);
        if trouble {
            service.crash(2, "replica c crashes");
        }
        service.crash(0, "the primary a crashes");
        // Clients come to the other poolers.
        let second = Writer::start(&service, deployment.machines[1].frontend, "orders", 50);
        let third = Writer::start(&service, deployment.machines[2].frontend, "orders", 50);
        sleep_ms(4_300);
        if trouble {
            service.come_back(2, "replica c comes back with its log");
        }
        sleep_ms(1_200);
        service.change("replica b receives again", |state| state[1].deaf = false);
        sleep_ms(1_500);
        service.come_back(0, "a comes back with its log");
        sleep_ms(5_000);
        second.stop.store(true, Ordering::SeqCst);
        third.stop.store(true, Ordering::SeqCst);
        sleep_ms(300);
        let missing = lock(&service.missing).clone();
        record.say(&format!(
            "{} writes acknowledged in all; promotions: {}; acknowledged writes that a promoted \
             database lacked: {}",
            lock(&service.acknowledged).len(),
            service.promotions.load(Ordering::SeqCst),
            missing.len()
        ));
        if std::env::var_os("KEEP").is_some() {
            record.say(&format!("logs: {}", deployment.folder.display()));
        }
        Ok(if missing.is_empty() { HELD } else { BROKEN })
    })
}
