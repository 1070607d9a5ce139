//! A stand-in service of three databases and a platform, for a first run on one's own machine.
//!
//! Prints the platform's address for the settings files, then heartbeats to the given controller. With
//! `--gateway`, three databases that answer HTTP requests, and no platform.
#[path = "../tests/support/gateway.rs"]
mod stand_in_endpoints;
#[path = "../tests/support/mod.rs"]
pub mod support;

use std::net::SocketAddr;
use std::time::Duration;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut words = std::env::args().skip(1).peekable();
    let gateway = words.next_if_eq("--gateway").is_some();
    let (Some(service), Some(admin)) = (words.next(), words.next()) else {
        eprintln!("usage: standin [--gateway] SERVICE STEWARD_ADMIN_ADDRESS");
        std::process::exit(2);
    };
    let admin: SocketAddr = admin.parse()?;
    if gateway {
        let databases = stand_in_endpoints::StandInEndpoints::start(&service, 3)?;
        for sequence in 1.. {
            // Whether a controller is there yet shows in its status.
            databases.send_heartbeats(admin, sequence);
            std::thread::sleep(Duration::from_millis(1000));
        }
    }
    let databases = support::StandIn::start(&service, 3)?;
    println!("platform {}", databases.platform);
    for (i, address) in databases.addresses.iter().enumerate() {
        println!("{} {address}", databases.id(i));
    }
    databases.start_heartbeats(admin, Duration::from_millis(1000));
    loop {
        std::thread::park();
    }
}
