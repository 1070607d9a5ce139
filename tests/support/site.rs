//! A controller and one pooler or gateway as processes, on the loopback address.
#![allow(dead_code, reason = "each test uses only a part of this module")]
#[path = "processes.rs"]
mod processes;

use crate::support::{free_port, http};
pub(crate) use processes::eventually;
use processes::{Folder, Process, ProcessResources};
use std::net::SocketAddr;

/// A controller and one pooler or gateway.
pub(crate) struct Site {
    pub(crate) admin: SocketAddr,
    pub(crate) frontend: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) controller: Option<Process>,
    node: Process,
    _folder: Folder,
}
impl Site {
    /// Starts the processes with a retry ratio of 1 and waits until the node is ready. `heartbeat`
    /// is called once the configuration was accepted.
    pub(crate) fn start(
        role: &str,
        more_settings: &str,
        configuration: &str,
        heartbeat: impl Fn(SocketAddr),
    ) -> Self {
        Self::start_with_retry_ratio(1.0, role, more_settings, configuration, heartbeat)
    }

    /// Like `start`, with another retry ratio.
    pub(crate) fn start_with_retry_ratio(
        retry_ratio: f64,
        role: &str,
        more_settings: &str,
        configuration: &str,
        heartbeat: impl Fn(SocketAddr),
    ) -> Self {
        let addresses: Vec<SocketAddr> =
            (0..4).map(|_| SocketAddr::from(([127, 0, 0, 1], free_port()))).collect();
        let folder = Folder::new("site", addresses[0].port());
        let settings = format!(
            "node_name = \"one\"\nip_address = \"127.0.0.1\"\nzone = \"here\"\nport_range = [{p}, {p}]\n\
             seed_nodes = [\"{admin}\"]\nbootstrap = true\ndata_path = \"{data}\"\n{more_settings}\n\
             [listeners]\nfrontend = \"{front}\"\nreadiness = \"{ready}\"\nadmin = \"{admin}\"\n\
             [timing_bounds]\ngrace_s = 3\nretry_ratio = {retry_ratio}\n",
            p = addresses[0].port(),
            admin = addresses[1],
            front = addresses[2],
            ready = addresses[3],
            data = folder.0.join("data").display(),
        );
        let file = folder.write("node.toml", &settings);
        let controller = Some(Process::run("controller", &file));
        let node = Process::run(role, &file);
        let site = Self {
            admin: addresses[1],
            frontend: addresses[2],
            readiness: addresses[3],
            controller,
            node,
            _folder: folder,
        };
        eventually("a configuration", || site.put_configuration("0", configuration));
        heartbeat(site.admin);
        eventually("readiness", || {
            http(site.readiness, "GET", "/readiness", &[], "").is_ok_and(|(s, _)| s == 200)
        });
        site
    }

    /// Sends a configuration that is based on a revision. Returns whether it was accepted.
    pub(crate) fn put_configuration(&self, base: &str, body: &str) -> bool {
        let headers = [("If-Match", base)];
        http(self.admin, "PUT", "/configuration", &headers, body).is_ok_and(|(s, _)| s == 200)
    }

    /// Sends a signal to the pooler or gateway, as [`Process::signal`] does.
    pub(crate) fn signal_node(&self, name: &str) {
        self.node.signal(name);
    }

    /// What the process of the pooler or gateway uses now.
    pub(crate) fn node_resources(&self) -> ProcessResources {
        self.node.resources()
    }

    /// The status of the node.
    pub(crate) fn status(&self) -> serde_json::Value {
        let (_, body) = http(self.readiness, "GET", "/status", &[], "").expect("status");
        serde_json::from_str(&body).expect("JSON")
    }
}
