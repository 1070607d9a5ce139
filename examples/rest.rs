//! Measures the memory and threads that idle clients cost a node: opens connections to a gateway or
//! a pooler in steps, sends one request on each, and prints the node's usage once all of them are
//! idle. `docs/CAPACITY.md` has figures.
use clap::Parser;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Opens idle connections to a node and prints the memory and threads that the node uses.
#[derive(Parser)]
struct Args {
    /// The address of the node's frontend.
    frontend: SocketAddr,
    /// The id of the node's process.
    pid: u32,
    /// The request that each client sends, with CR LF written as \r\n.
    first: String,
    /// The numbers of open connections at which the usage is printed.
    #[arg(long, value_delimiter = ',', default_value = "1000,2000,4000,8000")]
    steps: Vec<usize>,
}

fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let request = args.first.replace("\\r\\n", "\r\n");
    let mut connections: Vec<TcpStream> = Vec::new();
    for step in args.steps {
        while connections.len() < step {
            let mut stream = TcpStream::connect(args.frontend)?;
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            stream.write_all(request.as_bytes())?;
            let mut response = [0; 512];
            if stream.read(&mut response)? == 0 {
                return Err(std::io::Error::other(format!(
                    "{} closed a connection without a response; {} are open",
                    args.frontend,
                    connections.len()
                )));
            }
            connections.push(stream);
        }
        // By then the threads that served the requests have ended.
        std::thread::sleep(Duration::from_secs(13));
        let status = std::fs::read_to_string(format!("/proc/{}/status", args.pid))?;
        let field = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default();
            line.split_whitespace().next().and_then(|n| n.parse::<u64>().ok())
        };
        println!(
            "{}",
            json!({ "clients": connections.len(), "memory_kib": field("VmRSS:"),
                "peak_kib": field("VmHWM:"), "threads": field("Threads:") })
        );
    }
    Ok(())
}
