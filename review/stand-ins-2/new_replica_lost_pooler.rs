//! Case: a new database starts; its first heartbeat comes seconds late. Meanwhile the replicas
//! receive nothing, the primary crashes and a machine is killed.
#[path = "../stand-ins/support.rs"]
mod support;
mod steps;
use std::net::TcpListener;
use steps::*;
use support::*;

/// How much later than its start the first heartbeat of the new database comes.
const FIRST_HEARTBEAT_MS: u64 = 3_000;

fn main() {
    run_case(|program, record, trouble| {
        let text = |e: std::io::Error| e.to_string();
        let platform = TcpListener::bind("127.0.0.1:0").map_err(text)?;
        let platform_at = platform.local_addr().map_err(text)?;
        let service = Service::start(record, "ledger", 4).map_err(text)?;
        // Database d is started later.
        lock(&service.state)[3].up = false;
        service.serve_platform(platform);
        let deployment =
            Deployment::new(record, program, "pooler", 3, platform_at, "").map_err(text)?;
        deployment.start_all().map_err(text)?;
        if !deployment.put_first_configuration(&pooler_configuration("ledger")) {
            return Err("no configuration was taken".into());
        }
        (0..3).for_each(|at| heartbeats(&service, at, &deployment, None));
        if !eventually(20, || deployment.all_ready()) {
            return Err("the poolers did not get ready".into());
        }
        let used = quiet_service(&service, &deployment)?;
        record.say(&format!("{} writes were acknowledged", used.written()));

        service.change("the new database d starts and receives the log", |state| {
            state[3].up = true;
        });
        // LATE=0 leaves out just the lateness of its first heartbeat, for comparison.
        let late = trouble && !std::env::var("LATE").is_ok_and(|value| value == "0");
        if !late {
            heartbeats(&service, 3, &deployment, None);
        }
        sleep_ms(100);
        if trouble {
            service.change("the replicas b and c receive nothing from here on", |state| {
                (state[1].deaf, state[2].deaf) = (true, true);
            });
            sleep_ms(400);
            service.crash(0, "the primary a crashes");
            kill_machine(&deployment, used.machine, record);
        } else {
            sleep_ms(400);
        }
        sleep_ms(FIRST_HEARTBEAT_MS - 500);
        if late {
            heartbeats(&service, 3, &deployment, None);
            record.say("the first heartbeat of d is sent");
        }
        sleep_ms(500);
        let restarted = trouble.then(|| restart_machine(&deployment, used.machine)).transpose()?;
        sleep_ms(500);
        service.change("b and c receive again", |state| {
            (state[1].deaf, state[2].deaf) = (false, false);
        });
        sleep_ms(3_400);
        service.come_back(0, "a is back with its log");
        sleep_ms(4_000);
        let verdict = used.finish(&service, &deployment);
        drop(restarted);
        Ok(verdict)
    })
}
