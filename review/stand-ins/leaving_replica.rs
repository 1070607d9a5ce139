//! Case: a replica leaves by `DELETE /instances/ID` first and serves on for `drain_ms`; meanwhile
//! the other replica receives nothing and the primary crashes.
mod support;
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use support::*;

const DRAIN_MS: u64 = 7_000;

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
        let writers: Vec<Writer> = deployment
            .machines
            .iter()
            .map(|m| Writer::start(&service, m.frontend, "orders", 20))
            .collect();
        let written = || writers.iter().map(|w| w.done.load(Ordering::SeqCst)).sum::<u64>();
        if !eventually(20, || written() > 300) {
            return Err("no writes were served".into());
        }
        // Quotas of connections settle, and every lease is of the present leader.
        sleep_ms(5_000);
        record.say(&format!("{} writes were acknowledged", written()));

        // LEAVE=0 leaves out just the leaving, for comparison.
        let leaves = trouble && !std::env::var("LEAVE").is_ok_and(|value| value == "0");
        if leaves {
            // Replica b is to end. It never says draining: DELETE first, then it serves on.
            if !service.say_goodbye(1, &deployment.admins()) {
                return Err("the leaving was not acknowledged".into());
            }
        }
        sleep_ms(3_500);
        if trouble {
            service.change("replica c receives nothing from here on", |state| {
                state[2].deaf = true;
            });
        }
        sleep_ms(1_500);
        let told = written();
        service.crash(0, "the primary a crashes");
        // Replica b serves on until `drain_ms` after its goodbye, and a little longer; c receives
        // again before that; a comes back with its log after 7 s.
        sleep_ms(4_500);
        service.change("replica c receives again", |state| state[2].deaf = false);
        if leaves {
            service.crash(1, &format!("the leaving replica b ends, over {DRAIN_MS} ms after DELETE"));
        }
        sleep_ms(2_500);
        service.come_back(0, "a comes back with its log");
        sleep_ms(4_000);
        for writer in &writers {
            writer.stop.store(true, Ordering::SeqCst);
        }
        sleep_ms(300);
        let missing = lock(&service.missing).len();
        record.say(&format!(
            "{told} writes acknowledged before the crash, {} in all; promotions: {}; acknowledged \
             writes that a promoted database lacked: {missing}",
            written(),
            service.promotions.load(Ordering::SeqCst)
        ));
        if std::env::var_os("KEEP").is_some() {
            record.say(&format!("logs: {}", deployment.folder.display()));
        }
        Ok(if missing > 0 { BROKEN } else { HELD })
    })
}
