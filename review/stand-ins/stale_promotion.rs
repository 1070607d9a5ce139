//! Not a case, see REPORT.md: a leading controller calls the platform while that is cut off, stands still, and goes on
//! with the call after another controller has taken over.
mod support;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use support::*;

/// The longest that the leader stands still.
const LONGEST_FREEZE_MS: u64 = 4_000;
/// The least: the first packet of its connection to the platform is repeated after a second.
const SHORTEST_FREEZE_MS: u64 = 1_100;

fn main() {
    run_case(|program, record, trouble| {
        let text = |e: std::io::Error| e.to_string();
        let platform = TcpListener::bind("127.0.0.1:0").map_err(text)?;
        let platform_at = platform.local_addr().map_err(text)?;
        let service = Service::start(record, "ledger", 3).map_err(text)?;
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
        let leader = deployment.leader().ok_or("no controller leads")?;
        record.say(&format!("{} leads the controllers", deployment.machines[leader].name));

        let mut waiting = Vec::new();
        if trouble {
            // The platform is cut off: packets that open a connection get no answer.
            set_backlog(&platform, 0);
            for _ in 0..3 {
                waiting.extend(TcpStream::connect_timeout(&platform_at, Duration::from_millis(50)));
            }
            record.say("the platform is cut off");
        }
        service.crash(0, "the primary a crashes");
        let stopped = if trouble {
            let is_promoting = || {
                let controller = lock(&deployment.machines[leader].controller);
                controller.as_ref().is_some_and(|c| c.log_text().contains("now promoting"))
            };
            if !eventually(10, is_promoting) {
                return Err("no promotion began".into());
            }
            let controller = lock(&deployment.machines[leader].controller);
            let Some(controller) = controller.as_ref() else { return Err("no leader".into()) };
            controller.signal("STOP");
            record.say(&format!("{} stands still", controller.name));
            true
        } else {
            false
        };
        if trouble {
            // It is reached again; a connection that is being opened is answered when its first
            // packet is repeated.
            sleep_ms(100);
            set_backlog(&platform, 128);
            record.say("the platform is reached again");
        }
        drop(waiting);
        let promoting = Arc::clone(&service);
        promoting.serve_platform(platform);
        if stopped {
            // Until its successor has called the platform, and a moment longer: the promotion that
            // was asked for has not taken effect yet.
            let began = std::time::Instant::now();
            sleep_ms(SHORTEST_FREEZE_MS - 100);
            eventually(1, || !lock(&service.calls).is_empty());
            sleep_ms(50);
            while lock(&service.calls).is_empty()
                && began.elapsed() < Duration::from_millis(LONGEST_FREEZE_MS - 200)
            {
                sleep_ms(10);
            }
            let controller = lock(&deployment.machines[leader].controller);
            if let Some(controller) = controller.as_ref() {
                record.say(&format!("{} goes on", controller.name));
                controller.signal("CONT");
            }
        }
        sleep_ms(6_000);
        service.come_back(0, "a comes back with its log");
        sleep_ms(2_000);
        for writer in &writers {
            writer.stop.store(true, Ordering::SeqCst);
        }
        sleep_ms(300);
        let mut highest: Option<(u64, String)> = None;
        let mut broken = false;
        for (at, holder, fence, target) in lock(&service.calls).iter() {
            if let Some((seen, by)) = &highest
                && fence < seen
            {
                broken = true;
                record.say(&format!(
                    "ONE: at {at:.3} {holder} had {target} promoted with Fence-Token {fence}, \
                     after the platform had seen {seen} from {by}"
                ));
            }
            if let Some((seen, by)) = &highest
                && fence == seen
                && by != holder
            {
                broken = true;
                record.say(&format!("ONE: {holder} and {by} promote with the same fence {fence}"));
            }
            if highest.as_ref().is_none_or(|(seen, _)| fence > seen) {
                highest = Some((*fence, holder.clone()));
            }
        }
        if lock(&service.calls).is_empty() {
            return Err("the platform was never called".into());
        }
        if std::env::var_os("KEEP").is_some() {
            record.say(&format!("logs: {}", deployment.folder.display()));
        }
        Ok(if broken { BROKEN } else { HELD })
    })
}
