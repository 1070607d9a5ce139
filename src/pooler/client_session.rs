//! One client's session, from its greeting to its end.
use crate::base::errors::ErrorKind;
use crate::base::ids::{InstanceId, Position, ServiceName};
use crate::base::sync::lock;
use crate::base::time::Tick;
use crate::config::configuration::RouteType;
use crate::config::route_table::{RouteEntry, RouteTable};
use crate::net::rpc::pooler_messages::SuspicionReason;
use crate::net::statement_protocol::{
    self, Line, NoLine, Outcome, ReadBuffer, Reply, State, Statement,
};
use crate::pooler::admission::AcquireError;
use crate::pooler::leases::Seen;
use crate::pooler::replica_reads::{LAGGING_SKIP_MS, PRIMARY_FALLBACK_PENALTY};
use crate::pooler::reroute::{
    LossOutcome, SessionReroute, StatementDecision, StatementKind, StatementPlan,
};
use crate::pooler::server::{CheckedOutConnection, Pooler};
use crate::pooler::server_connection::{Loss, SILENT_MS, lay_on, shape_id};
use log::warn;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Silent reruns of one statement.
const MAX_RERUNS: u32 = 4;

const RERUN_PAUSE_MS: u64 = 15;

pub(crate) struct ClientSession {
    pooler: Arc<Pooler>,
    seen: Arc<Seen>,
    id: u64,
    reroute: SessionReroute,
    bound: Option<CheckedOutConnection>,
    database: String,
    config: Arc<RouteTable>,
    route: RouteEntry,
    service: ServiceName,
    /// The last position of this session's own commits.
    own: Option<Position>,
    last_position: Option<Position>,
}

/// A statement that a database has to run, as it came.
struct ClientStatement<'a> {
    id: &'a str,
    text: &'a str,
    statement: Statement<'a>,
    task: StatementPlan,
    arrived: Tick,
}

/// What goes back to the client.
enum ClientReply {
    /// The database's own bytes, up to `end` in the inbox of the bound connection.
    Passed {
        reply: Reply,
    },
    Complete,
    Error(ErrorKind, String),
}

/// What a session does once its client has nothing more to say for the moment.
pub(crate) enum Next {
    Rest,
    End,
}

/// A client's connection. Between two lines it is no thread's: see `Parked`.
pub(crate) struct Session {
    pub(crate) id: u64,
    pub(crate) pooler: Arc<Pooler>,
    pub(crate) seen: Arc<Seen>,
    pub(crate) inbox: ReadBuffer,
    /// There once the client has said CONNECT.
    pub(crate) scion: Option<ClientSession>,
}

impl Session {
    /// Serves the client until it pauses or the session is over.
    pub(crate) fn serve(&mut self) -> io::Result<Next> {
        if self.scion.is_none()
            && let Some(next) = self.greet()?
        {
            return Ok(next);
        }
        match &mut self.scion {
            Some(scion) => scion.converse(&mut self.inbox),
            None => Ok(Next::End),
        }
    }

    /// Takes the client's CONNECT; goes on with its statements unless told otherwise.
    fn greet(&mut self) -> io::Result<Option<Next>> {
        let mut client = &self.seen.stream;
        let refuse = |kind: ErrorKind, text: &str| {
            let mut client = &self.seen.stream;
            client.write_all(format!("ERROR {kind} {text}\r\n").as_bytes())?;
            Ok(Some(Next::End))
        };
        let database = match self.inbox.line(&mut client) {
            Ok(line) => match statement_protocol::parse(line) {
                Ok(Line::Connect { database }) => database.to_owned(),
                Ok(Line::Close) => return Ok(Some(Next::End)),
                _ => return refuse(ErrorKind::Malformed, "CONNECT comes first"),
            },
            Err(NoLine::TooLarge) => return refuse(ErrorKind::TooLarge, "over 1 MiB"),
            Err(NoLine::Quiet) => return Ok(Some(Next::Rest)),
            Err(_) => return Ok(Some(Next::End)),
        };
        let found = self.pooler.config().and_then(|config| {
            let (route_entry, service) = config.entry_for_hostname(&database)?;
            let (route_entry, service) = (route_entry.clone(), service.clone());
            Some((config, route_entry, service))
        });
        let Some((config, route, service)) = found else {
            return refuse(ErrorKind::NoDatabase, "no such database");
        };
        client.write_all(b"READY I -\r\n")?;
        self.seen.connected.store(true, Ordering::Relaxed);
        self.scion = Some(ClientSession {
            pooler: Arc::clone(&self.pooler),
            seen: Arc::clone(&self.seen),
            id: self.id,
            reroute: SessionReroute::default(),
            bound: None,
            database,
            config,
            route,
            service,
            own: None,
            last_position: None,
        });
        Ok(None)
    }
}

/// However a session ends, it lets go of its connection and is taken off the list.
impl Drop for Session {
    fn drop(&mut self) {
        if let Some(scion) = &mut self.scion {
            scion.unbind();
        }
        lock(&self.pooler.sessions).remove(&self.id);
    }
}

impl ClientSession {
    fn converse(&mut self, inbox: &mut ReadBuffer) -> io::Result<Next> {
        let seen = Arc::clone(&self.seen);
        let mut client = &seen.stream;
        let mut served = false;
        loop {
            let state = self.reroute.state();
            if state == State::Idle
                && inbox.is_empty()
                && self.pooler.draining.load(Ordering::Relaxed)
                && self.pooler.closing_idle()
            {
                return Ok(Next::End);
            }
            seen.open.store(state != State::Idle, Ordering::Relaxed);
            seen.resting.store(Tick::now().0, Ordering::Relaxed);
            // A session that stays has usually said all for now; another most likely goes on.
            let lasting = seen.lasting.load(Ordering::Relaxed);
            if served && lasting && state == State::Idle && inbox.is_empty() {
                return Ok(Next::Rest);
            }
            let line = match inbox.line(&mut client) {
                Ok(line) => line,
                Err(NoLine::TooLarge) => {
                    client.write_all(b"ERROR TOOLARGE over 1 MiB\r\n")?;
                    return Ok(Next::End);
                }
                Err(NoLine::Quiet) => return Ok(Next::Rest),
                Err(NoLine::Closed) => return Ok(Next::End),
                Err(NoLine::Io(e)) => return Err(e),
            };
            seen.resting.store(0, Ordering::Relaxed);
            served = true;
            let arrived = Tick::now();
            let say = match statement_protocol::parse(line) {
                Ok(Line::Close) => return Ok(Next::End),
                Ok(Line::Query { id, text, statement }) => {
                    if state == State::Idle && !self.rebind_route() {
                        client.write_all(b"ERROR NODATABASE no such database any more\r\n")?;
                        return Ok(Next::End);
                    }
                    match self.reroute.handle_statement(&statement, arrived) {
                        StatementDecision::Completed => ClientReply::Complete,
                        StatementDecision::RolledBack => {
                            self.unbind();
                            ClientReply::Complete
                        }
                        StatementDecision::Rejected(kind) => {
                            if self.reroute.reusable() {
                                self.unbind();
                            }
                            ClientReply::Error(kind, refusal_text(kind).to_owned())
                        }
                        StatementDecision::Run(task) => {
                            self.run(&ClientStatement { id, text, statement, task, arrived })
                        }
                    }
                }
                Ok(Line::Connect { .. }) | Err(_) => {
                    if self.reroute.state() == State::Open {
                        self.reroute.fail();
                        self.unbind();
                    }
                    ClientReply::Error(ErrorKind::Malformed, "not understood".to_owned())
                }
            };
            let refused = matches!(say, ClientReply::Error(ErrorKind::Throttled, _));
            self.say(&mut client, say)?;
            let idle = self.reroute.state() == State::Idle && inbox.is_empty();
            if refused && idle && self.pooler.deaf(Tick::now()) {
                return Ok(Next::End);
            }
        }
    }

    /// A changed route binds from the next transaction on. False when it is no longer there.
    fn rebind_route(&mut self) -> bool {
        let Some(config) = self.pooler.config() else {
            return false;
        };
        if !Arc::ptr_eq(&config, &self.config) {
            let Some((route, service)) = config.entry_for_hostname(&self.database) else {
                return false;
            };
            (self.route, self.service) = (route.clone(), service.clone());
            self.config = config;
        }
        true
    }

    fn say(&mut self, client: &mut &TcpStream, say: ClientReply) -> io::Result<()> {
        let position = |p: Option<Position>| p.map_or("-".to_owned(), |p| p.to_string());
        match say {
            ClientReply::Complete => {
                let state = self.reroute.state().letter();
                let position = position(self.last_position);
                client.write_all(format!("COMPLETE -\r\nREADY {state} {position}\r\n").as_bytes())
            }
            ClientReply::Error(kind, text) => {
                let state = self.reroute.state().letter();
                let position = position(self.last_position);
                client.write_all(
                    format!("ERROR {kind} {text}\r\nREADY {state} {position}\r\n").as_bytes(),
                )
            }
            ClientReply::Passed { reply } => {
                self.last_position = reply.position.or(self.last_position);
                let Some(bound) = &mut self.bound else {
                    return Ok(());
                };
                let sent = client.write_all(&bound.stock.inbox.pending()[..reply.end]);
                bound.stock.taken(&reply);
                if self.reroute.reusable() {
                    self.unbind();
                }
                sent
            }
        }
    }

    /// Lets go of the connection; what it has open is rolled back first.
    fn unbind(&mut self) {
        let Some(CheckedOutConnection { mut stock, pool, .. }) = self.bound.take() else {
            return;
        };
        if !stock.open {
            return pool.give_back(stock);
        }
        let limit = Tick::now().plus(300);
        let ended = stock
            .write(b"QUERY - ABORT\r\n", 1)
            .map_err(|(loss, _)| loss)
            .and_then(|()| stock.answer(|| (Tick::now() >= limit).then_some(Loss::Overdue)));
        match ended {
            Ok(reply) if reply.state == State::Idle => {
                stock.taken(&reply);
                stock.open = false;
                pool.give_back(stock);
            }
            _ => pool.lose(stock),
        }
    }
    /// The connection can't be used any more.
    fn cut(&mut self) {
        if let Some(CheckedOutConnection { stock, pool, .. }) = self.bound.take() {
            pool.lose(stock);
        }
    }

    /// Has a database run the statement, on as many connections as the reroute rules allow.
    fn run(&mut self, asked: &ClientStatement<'_>) -> ClientReply {
        let ClientStatement { task, arrived, .. } = asked;
        let limit = arrived.plus(self.route.timeout_ms);
        // Waiting for a connection longer than this rarely ends well; the client is better off
        // coming back, and has the time to.
        let hold = arrived.plus(self.route.timeout_ms * 20 / 100);
        let mut avoid: Vec<InstanceId> = Vec::new();
        let mut patient = false;
        let mut reruns = 0;
        loop {
            if self.bound.is_none() {
                if !task.first_in_transaction {
                    self.reroute.abandon();
                    return ClientReply::Error(ErrorKind::RolledBack, "connection lost".to_owned());
                }
                match self.bind(asked, hold, &mut avoid) {
                    Ok(bound) => self.bound = Some(bound),
                    Err(kind) => return self.refuse(kind),
                }
            }
            let (loss, sent) = match self.exchange(asked, limit, patient) {
                Ok(reply) => match reply.outcome {
                    Outcome::Complete => return self.passed(task, reply),
                    Outcome::Error(kind) => match self.denied(task, kind, &reply, &mut avoid) {
                        Some(say) => return say,
                        None => (None, false),
                    },
                },
                Err((loss, sent)) => {
                    if let Some(bound) = &self.bound {
                        avoid.push(bound.pool.id.clone());
                    }
                    self.cut();
                    (Some(loss), sent)
                }
            };
            if let Some(loss) = loss {
                if let LossOutcome::Report(kind) = self.reroute.handle_loss(task, sent) {
                    return ClientReply::Error(kind, "connection lost".to_owned());
                }
                patient |= matches!(loss, Loss::Overdue);
                if matches!(loss, Loss::Late) {
                    return self.expired(task);
                }
            }
            reruns += 1;
            let now = Tick::now();
            if reruns > MAX_RERUNS || now >= limit {
                return self.refuse(ErrorKind::Throttled);
            }
            if reruns > 1 {
                std::thread::sleep(Duration::from_millis(RERUN_PAUSE_MS * u64::from(reruns)));
            }
        }
    }

    /// The statement's time is over; nothing of it can have been kept.
    fn expired(&mut self, task: &StatementPlan) -> ClientReply {
        if task.autocommit {
            return ClientReply::Error(ErrorKind::TimedOut, "no answer in time".to_owned());
        }
        self.reroute.abandon();
        ClientReply::Error(ErrorKind::RolledBack, "no answer in time".to_owned())
    }

    /// It did not run, and nothing is kept: the client is told when to come back.
    fn refuse(&mut self, kind: ErrorKind) -> ClientReply {
        self.reroute.abandon();
        self.unbind();
        let after = self.pooler.come_back_ms(&self.service);
        ClientReply::Error(kind, format!("retry_after_ms={after}"))
    }

    /// Picks a database and borrows a connection to it.
    fn bind(
        &self,
        asked: &ClientStatement<'_>,
        hold: Tick,
        avoid: &mut Vec<InstanceId>,
    ) -> Result<CheckedOutConnection, ErrorKind> {
        let task = &asked.task;
        let pooler = &self.pooler;
        let service = &self.service;
        let began = self.reroute.started_at(asked.arrived);
        let elsewhere = task.read_only && self.route.route_type != RouteType::Primary;
        let waits = || pooler.ask_now(Tick::now());
        loop {
            let now = Tick::now();
            if elsewhere && self.need(began).is_some() {
                for pool in pooler.replicas(service, now) {
                    if avoid.contains(&pool.id) {
                        continue;
                    }
                    let priority = self.route.priority;
                    if let Ok(stock) = pool.borrow(&self.reroute, self.id, priority, hold, waits) {
                        return Ok(CheckedOutConnection { stock, pool, term: None });
                    }
                }
            }
            if let Some((term, pool)) = pooler.primary(service, now) {
                // Reads that belong on replicas wait behind the work only a primary can do.
                let behind = if elsewhere { PRIMARY_FALLBACK_PENALTY } else { 0 };
                let priority = self.route.priority.saturating_add(behind);
                match pool.borrow(&self.reroute, self.id, priority, hold, waits) {
                    // The lease may have run out while waiting.
                    Ok(stock) if pooler.still(service, term, Tick::now()) => {
                        return Ok(CheckedOutConnection { stock, pool, term: Some(term) });
                    }
                    Ok(stock) => pool.give_back(stock),
                    Err(AcquireError::Exhausted) => {}
                    Err(AcquireError::Unavailable) => {
                        pooler.doubt(&pool, SuspicionReason::ConnectionsBroken, Tick::now())
                    }
                }
            }
            let now = Tick::now();
            if now >= hold {
                return Err(ErrorKind::Throttled);
            }
            if elsewhere {
                pooler.ask_now(now);
            }
            pooler.wait_for_news(hold.since(now).clamp(1, 50));
            // A replica that lagged may have caught up.
            avoid.clear();
        }
    }

    /// The position a replica must have for a read that began at `began`.
    fn need(&self, began: Tick) -> Option<Position> {
        let floor = self.pooler.floor(&self.service, began, self.route.stale_ms)?;
        Some(match self.route.route_type {
            RouteType::ReadYourWrites => self.own.map_or(floor, |own| own.max(floor)),
            _ => floor,
        })
    }

    /// One round with the bound connection: what the session needs is laid on, a transaction is
    /// opened where one is wanted, and the statement is sent. An error tells whether it was sent.
    fn exchange(
        &mut self,
        asked: &ClientStatement<'_>,
        limit: Tick,
        patient: bool,
    ) -> Result<Reply, (Loss, bool)> {
        let ClientStatement { id, text, statement, task, arrived } = asked;
        let began = self.reroute.started_at(*arrived);
        let waits = match &self.bound {
            Some(bound) if bound.term.is_none() => match self.need(began) {
                Some(position) => format!("WAITFOR {position} "),
                None => return Err((Loss::Overdue, false)),
            },
            _ => String::new(),
        };
        let pooler = Arc::clone(&self.pooler);
        let service = self.service.clone();
        let Some(bound) = &mut self.bound else {
            return Err((Loss::Broken, false));
        };
        let pool = Arc::clone(&bound.pool);
        let term = bound.term;
        // Given up early only where nothing can have been kept: a first read is run again, a
        // transaction under way is rolled back and may be tried again in time.
        let rerun = task.kind == StatementKind::Read && task.first_in_transaction;
        let last_word = task.kind == StatementKind::Commit
            || (task.autocommit && task.kind == StatementKind::Write);
        let early = !(patient || last_word);
        let most = self.route.timeout_ms / if rerun { 4 } else { 3 };
        let kind = self.route.route_type as usize;
        let patience = lock(&pool.paces)[kind].timeout_ms(most) * if rerun { 1 } else { 2 };
        let look = |sent: Tick| {
            let (pooler, pool, service) = (&pooler, &pool, &service);
            move || {
                let now = Tick::now();
                if now >= limit {
                    return Some(Loss::Late);
                }
                if term.is_some_and(|term| !pooler.still(service, term, now)) {
                    return Some(Loss::Overdue);
                }
                let waited = now.since(sent);
                if waited >= SILENT_MS && pool.heard.load(Ordering::Relaxed) < sent.0 {
                    if term.is_some() {
                        pooler.doubt(pool, SuspicionReason::NoResponse, now);
                    } else {
                        pool.failed(now);
                    }
                    if rerun && term.is_none() {
                        return Some(Loss::Overdue);
                    }
                }
                (early && waited >= patience).then_some(Loss::Overdue)
            }
        };
        let broken = |loss: Loss, sent: bool| {
            if matches!(loss, Loss::Broken) {
                if term.is_some() {
                    pooler.doubt(&pool, SuspicionReason::ConnectionsBroken, Tick::now());
                } else {
                    pool.failed(Tick::now());
                }
            }
            (loss, sent)
        };
        lay_on(&mut bound.stock, &self.reroute, self.id, &pooler.hasher, look(Tick::now()))
            .map_err(|loss| broken(loss, false))?;
        let mut waits = waits;
        if !task.autocommit && !bound.stock.open {
            let begin = if task.read_only { "BEGIN FETCH" } else { "BEGIN" };
            let line = format!("QUERY - {waits}{begin}\r\n");
            bound.stock.write(line.as_bytes(), 1).map_err(|(l, _)| broken(l, false))?;
            let reply = bound.stock.answer(look(Tick::now())).map_err(|l| broken(l, false))?;
            pool.heard(Tick::now());
            if reply.outcome != Outcome::Complete {
                return Ok(reply);
            }
            if reply.state != State::Open {
                // An answer to something else.
                return Err(broken(Loss::Broken, false));
            }
            bound.stock.taken(&reply);
            bound.stock.open = true;
        }
        if !task.autocommit {
            waits.clear();
        }
        let line = match (&task.prepared, statement) {
            (Some(shape), Statement::Execute { rest, .. }) => {
                let name = shape_id(&pooler.hasher, shape);
                format!("QUERY {id} {waits}EXECUTE p{name:x} {rest}\r\n")
            }
            _ => format!("QUERY {id} {waits}{text}\r\n"),
        };
        let sent = Tick::now();
        // The last look before a write can take effect there.
        if term.is_some_and(|term| !pooler.still(&service, term, sent)) {
            return Err((Loss::Overdue, false));
        }
        bound.stock.write(line.as_bytes(), 1).map_err(|(l, left)| broken(l, left))?;
        let reply = bound.stock.answer(look(sent)).map_err(|l| broken(l, true))?;
        let now = Tick::now();
        pool.heard(now);
        if reply.outcome == Outcome::Complete && !reply.stamped {
            // An answer to the set-up that went ahead, come a second time.
            return Err(broken(Loss::Broken, true));
        }
        if reply.outcome == Outcome::Complete {
            lock(&pool.paces)[kind].record(now.since(sent));
        }
        if let Some(term) = term {
            if pooler.still(&service, term, now) {
                if let Some(position) = reply.position {
                    pooler.learn(&service, term, sent, position);
                }
            } else if reply.outcome == Outcome::Complete {
                // Another primary may lead by now: a success of the old one is not passed on.
                return Err((Loss::Overdue, true));
            }
        }
        Ok(reply)
    }

    fn passed(&mut self, task: &StatementPlan, reply: Reply) -> ClientReply {
        let state = match (task.autocommit, task.kind) {
            (true, _) | (false, StatementKind::Commit) => State::Idle,
            _ => State::Open,
        };
        if reply.state != state {
            // The database sees the transaction otherwise than this session: nothing of it counts.
            warn!(target: "pool", "answered {:?} where {state:?} was due", reply.state);
            self.cut();
            return match self.reroute.handle_loss(task, true) {
                LossOutcome::Report(kind) => ClientReply::Error(kind, "out of step".to_owned()),
                LossOutcome::Retry => self.refuse(ErrorKind::Throttled),
            };
        }
        let kept = task.kind == StatementKind::Commit
            || (task.autocommit && task.kind == StatementKind::Write);
        if kept {
            self.own = self.own.max(reply.position);
        }
        if let Some(bound) = &mut self.bound {
            bound.stock.open = state == State::Open;
            if !bound.stock.open {
                bound.stock.inside = false;
            }
        }
        self.reroute.handle_reply(state);
        ClientReply::Passed { reply }
    }

    /// A database answered with an error. `None`: to be run again.
    fn denied(
        &mut self,
        task: &StatementPlan,
        kind: ErrorKind,
        reply: &Reply,
        avoid: &mut Vec<InstanceId>,
    ) -> Option<ClientReply> {
        let ran = matches!(kind, ErrorKind::Failed | ErrorKind::TimedOut | ErrorKind::Unknown);
        let again = if ran {
            task.autocommit && task.kind == StatementKind::Read && avoid.is_empty()
        } else {
            task.first_in_transaction
        };
        let bound = self.bound.as_mut()?;
        let id = bound.pool.id.clone();
        let at_primary = bound.term.is_some();
        if again {
            bound.stock.taken(reply);
            bound.stock.open = reply.state != State::Idle;
            match kind {
                ErrorKind::ReadOnly if at_primary => {
                    // It has lost the lead; the controllers find out who has it.
                    let pool = Arc::clone(&bound.pool);
                    self.unbind();
                    self.pooler.doubt(&pool, SuspicionReason::ConnectionsBroken, Tick::now());
                    self.pooler.wait_for_news(50);
                }
                ErrorKind::Lagging => {
                    // A session's own fresh commit may be missing for a moment; the floor may not.
                    let (pool, now) = (Arc::clone(&bound.pool), Tick::now());
                    if self.own.is_none_or(|own| self.need(now).is_some_and(|need| need > own)) {
                        pool.lags_until.store(now.plus(LAGGING_SKIP_MS).0, Ordering::Relaxed);
                    }
                    self.unbind();
                }
                ErrorKind::NotFound => {
                    // The name was laid on and is not there: this connection can't be trusted.
                    self.cut();
                }
                _ => self.unbind(),
            }
            avoid.push(id);
            return None;
        }
        if ran || task.autocommit {
            let state = if task.autocommit { State::Idle } else { State::Failed };
            let (state, same) = match reply.state {
                State::Open => (State::Failed, false),
                other => (other, other == state),
            };
            bound.stock.open = reply.state != State::Idle;
            self.reroute.handle_reply(state);
            if same {
                return Some(ClientReply::Passed { reply: reply.clone() });
            }
            bound.stock.taken(reply);
            self.unbind();
            return Some(ClientReply::Error(kind, "from the database".to_owned()));
        }
        // It did not run, but its transaction can't go on as if nothing had been.
        bound.stock.taken(reply);
        bound.stock.open = reply.state != State::Idle;
        self.unbind();
        self.reroute.abandon();
        Some(ClientReply::Error(ErrorKind::RolledBack, format!("{kind} at the database")))
    }
}

fn refusal_text(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::NotFound => "no such prepared name",
        ErrorKind::RolledBack => "the transaction had failed",
        _ => "not here, or not now",
    }
}
