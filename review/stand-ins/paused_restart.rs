//! Case: the primary is to be replaced. While the planned change is under way, the replica that takes
//! over receives nothing, and the other one, which was paused, crashes and comes back: that ends its
//! pause.
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
        record.say(&format!("{} writes were acknowledged", written()));

        service.change("the primary a says draining", |state| state[0].draining = true);
        sleep_ms(200);
        if trouble {
            // Of b and c, the one that is not paused is the one that takes over.
            let target = lock(&service.calls).last().map(|call| call.3.clone());
            let at = target.and_then(|id| service.index(&id)).ok_or("no planned change began")?;
            service.change("the replica that takes over receives nothing from here on", |state| {
                state[at].deaf = true;
            });
            // RESTART=0 leaves out just the restart of the other replica, for comparison.
            if !std::env::var("RESTART").is_ok_and(|value| value == "0") {
                let other = if at == 1 { 2 } else { 1 };
                service.crash(other, "the other replica, which is paused, crashes");
                sleep_ms(150);
                service.come_back(other, "it comes back with its log, and its pause is over");
            }
            sleep_ms(2_000);
            service.change("the one that took over receives again", |state| {
                state[at].deaf = false;
            });
        } else {
            sleep_ms(2_000);
        }
        sleep_ms(5_000);
        if !service.say_goodbye(0, &deployment.admins()) {
            return Err("the leaving was not acknowledged".into());
        }
        sleep_ms(100);
        service.crash(0, "a has ended");
        sleep_ms(2_000);
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
