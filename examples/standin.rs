//! A stand-in service of three databases and a platform, for a first run on one's own machine.
//!
//! Prints the platform's address for the settings files, then beats to the given steward.
#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut words = std::env::args().skip(1);
    let (Some(service), Some(admin)) = (words.next(), words.next()) else {
        eprintln!("usage: standin SERVICE STEWARD_ADMIN_ADDRESS");
        std::process::exit(2);
    };
    let admin: SocketAddr = admin.parse()?;
    let databases = support::StandIn::start(&service, 3)?;
    println!("platform {}", databases.platform);
    for (i, address) in databases.addresses.iter().enumerate() {
        println!("{} {address}", databases.id(i));
    }
    databases.keep_beating(admin, Duration::from_millis(1000));
    loop {
        std::thread::park();
    }
}
