//! A stand-in for a service with three databases and for the platform, to try the system on one
//! machine.
//!
//! Prints the platform's address for the settings files, then sends heartbeats to the given
//! controller. With `--gateway` it runs three databases that answer HTTP requests, and no platform.
#[path = "../tests/support/gateway.rs"]
mod stand_in_endpoints;
#[path = "../tests/support/mod.rs"]
pub mod support;

use std::net::SocketAddr;
use std::time::Duration;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1).peekable();
    let gateway = arguments.next_if_eq("--gateway").is_some();
    let (Some(service), Some(admin)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin [--gateway] SERVICE CONTROLLER_ADMIN_ADDRESS");
        std::process::exit(2);
    };
    let admin: SocketAddr = admin.parse()?;
    if gateway {
        let databases = stand_in_endpoints::StandInEndpoints::start(&service, 3)?;
        for sequence in 1.. {
            // A failed heartbeat is ignored: the controller may not be running yet, which its
            // status shows.
            databases.send_heartbeats(admin, sequence);
            std::thread::sleep(Duration::from_millis(1000));
        }
    }
    let databases = support::StandIn::start(&service, 3)?;
    println!("platform {}", databases.platform);
    for (number, address) in databases.addresses.iter().enumerate() {
        println!("{} {address}", databases.id(number));
    }
    databases.start_heartbeats(admin, Duration::from_millis(1000));
    loop {
        std::thread::park();
    }
}
