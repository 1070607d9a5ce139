//! What resting clients cost a node: opens connections to a gateway or a pooler in steps, has each ask
//! one thing, and prints the node's memory and threads once all rest. `docs/CAPACITY.md` has figures.
use clap::Parser;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Opens connections that rest, and tells what the node has for them.
#[derive(Parser)]
struct Args {
    /// The node's frontend.
    frontend: SocketAddr,
    /// The node's process.
    pid: u32,
    /// What each client says first, with CR LF written as \r\n.
    first: String,
    #[arg(long, value_delimiter = ',', default_value = "1000,2000,4000,8000")]
    steps: Vec<usize>,
}

fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let first = args.first.replace("\\r\\n", "\r\n");
    let mut open: Vec<TcpStream> = Vec::new();
    for step in args.steps {
        while open.len() < step {
            let mut stream = TcpStream::connect(args.frontend)?;
            stream.set_read_timeout(Some(Duration::from_secs(5)))?;
            stream.write_all(first.as_bytes())?;
            let mut answer = [0; 512];
            if stream.read(&mut answer)? == 0 {
                return Err(std::io::Error::other(format!("refused after {}", open.len())));
            }
            open.push(stream);
        }
        // Threads that served them are gone by then.
        std::thread::sleep(Duration::from_secs(13));
        let status = std::fs::read_to_string(format!("/proc/{}/status", args.pid))?;
        let field = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default();
            line.split_whitespace().next().and_then(|n| n.parse::<u64>().ok())
        };
        println!(
            "{}",
            json!({ "clients": open.len(), "memory_kib": field("VmRSS:"), "peak_kib": field("VmHWM:"), "threads": field("Threads:") })
        );
    }
    Ok(())
}
