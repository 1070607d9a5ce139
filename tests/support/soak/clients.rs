//! The clients of a soak: threads that use their connections until the process at the other end is
//! gone, and then connect to another one.
use super::deployment::{Databases, Deployment, GRACE_S};
use super::gateway_clients::{GatewayClient, RequestLog};
use super::pooler_clients::{PoolerClient, SessionLog};
use super::{Operator, Plan, Timeline};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a client waits for a connection, and for a reply.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// A node that clients connect to.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) frontend: SocketAddr,
}

impl Node {
    pub(crate) fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.frontend, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT)).ok()?;
        Some(stream)
    }
}

/// What a client needs.
pub(crate) struct ClientContext {
    /// Distinguishes the ids of its requests.
    pub(crate) number: usize,
    pub(crate) nodes: Vec<Node>,
    pub(crate) random: SmallRng,
    pub(crate) only_planned_work: bool,
    pub(crate) stopped: Arc<AtomicBool>,
}

impl ClientContext {
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Connects to some node, and waits a little if there is none.
    pub(crate) fn connect(&mut self) -> Option<(Node, TcpStream)> {
        let node = self.nodes[self.random.random_range(0..self.nodes.len())].clone();
        match node.connect() {
            Some(stream) => Some((node, stream)),
            None => {
                self.pause(20..100);
                None
            }
        }
    }

    pub(crate) fn pause(&mut self, milliseconds: std::ops::Range<u64>) {
        std::thread::sleep(Duration::from_millis(self.random.random_range(milliseconds)));
    }
}

/// A request that was sent and whose connection ended without a complete reply, although its client
/// stayed.
#[derive(Clone, Debug)]
pub(crate) struct Unanswered {
    pub(crate) id: String,
    pub(crate) node: String,
    pub(crate) ended_at: Instant,
}

impl Unanswered {
    /// The broken guarantee, if the request has reached a database while there was only planned work,
    /// and not so late that the grace period ended it.
    pub(crate) fn violation(&self, plan: &Plan, timeline: &Timeline) -> Option<String> {
        let grace = Duration::from_secs(GRACE_S);
        let ended_by_grace = timeline
            .terminations(&self.node)
            .into_iter()
            .filter_map(|terminated_at| self.ended_at.checked_duration_since(terminated_at))
            .any(|elapsed| elapsed > grace * 5 / 6 && elapsed < grace * 2);
        (plan.only_planned_work && !ended_by_grace).then(|| {
            format!(
                "LOST: {} of {} reached a database and got no reply, {:.3} s{}",
                self.id,
                self.node,
                timeline.seconds(self.ended_at),
                timeline.history(self.ended_at)
            )
        })
    }
}

/// The logs of all clients.
pub(crate) enum Observed {
    Sessions(SessionLog),
    Requests(RequestLog),
}

impl Observed {
    pub(crate) fn violations(&self, plan: &Plan, timeline: &Timeline) -> Vec<String> {
        match self {
            Self::Sessions(log) => log.violations(plan, timeline),
            Self::Requests(log) => log.violations(plan, timeline),
        }
    }

    pub(crate) fn requests(&self) -> usize {
        match self {
            Self::Sessions(log) => log.statements,
            Self::Requests(log) => log.requests,
        }
    }

    pub(crate) fn departures(&self) -> usize {
        match self {
            Self::Sessions(log) => log.departures,
            Self::Requests(log) => log.departures.len(),
        }
    }
}

/// The threads of the clients.
pub(crate) enum RunningClients {
    Sessions { threads: Vec<JoinHandle<SessionLog>>, stopped: Arc<AtomicBool>, all: SessionLog },
    Requests { threads: Vec<JoinHandle<RequestLog>>, stopped: Arc<AtomicBool>, all: RequestLog },
}

/// Starts the clients. `_operator` shows that a configuration is in force.
pub(crate) fn start(
    plan: &Plan,
    deployment: &Deployment,
    timeline: &Timeline,
    _operator: &Operator<'_>,
) -> RunningClients {
    let stopped = Arc::new(AtomicBool::new(false));
    let nodes: Vec<Node> = deployment
        .nodes
        .iter()
        .map(|node| Node { name: node.name.clone(), frontend: node.frontend })
        .collect();
    let context = |number: usize| ClientContext {
        number,
        nodes: nodes.clone(),
        random: SmallRng::seed_from_u64(plan.seed * 10_000 + number as u64),
        only_planned_work: plan.only_planned_work,
        stopped: Arc::clone(&stopped),
    };
    timeline.note(&format!("{} clients begin", plan.clients));
    match &*deployment.databases {
        Databases::Sessions(databases) => {
            let all = SessionLog::new(databases);
            let threads = (0..plan.clients).map(|n| {
                let client = PoolerClient::new(context(n), databases);
                std::thread::spawn(move || client.run())
            });
            let threads = threads.collect();
            RunningClients::Sessions { threads, stopped: Arc::clone(&stopped), all }
        }
        Databases::Requests(endpoints) => {
            let all = RequestLog::new(endpoints);
            let threads = (0..plan.clients).map(|n| {
                let client = GatewayClient::new(context(n), endpoints);
                std::thread::spawn(move || client.run())
            });
            let threads = threads.collect();
            RunningClients::Requests { threads, stopped: Arc::clone(&stopped), all }
        }
    }
}

impl RunningClients {
    /// Lets the clients end, and returns what they observed.
    pub(crate) fn stop(self) -> Observed {
        match self {
            Self::Sessions { threads, stopped, mut all } => {
                stopped.store(true, Ordering::SeqCst);
                threads.into_iter().for_each(|t| all.merge(t.join().expect("client")));
                Observed::Sessions(all)
            }
            Self::Requests { threads, stopped, mut all } => {
                stopped.store(true, Ordering::SeqCst);
                threads.into_iter().for_each(|t| all.merge(t.join().expect("client")));
                Observed::Requests(all)
            }
        }
    }
}
