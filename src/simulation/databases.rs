//! The databases of each service: replication, commits, and the platform that promotes.
use crate::base::ids::{DbTerm, InstanceId, Position, ServiceName};
use crate::config::directory::{Lifecycle, Role};
use crate::controller::effects::Input;
use crate::failover::{Attempt, DatabaseRequest, DatabaseResponse, PromotionResponse};
use crate::net::http::{Request, Response};
use crate::net::statement_protocol::ServerDescription;
use crate::simulation::callers::Caller;
use crate::simulation::checker::Passed;
use crate::simulation::events::Event;
use crate::simulation::network::End;
use crate::simulation::schedule::{chance, upto};
use crate::simulation::world::World;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

pub(super) struct Database {
    pub(super) id: InstanceId,
    pub(super) service: ServiceName,
    pub(super) caller: Caller,
    pub(super) up: bool,
    pub(super) gone: bool,
    pub(super) primary: bool,
    pub(super) term: DbTerm,
    pub(super) log: Vec<Write>,
    pub(super) paused: bool,
    pub(super) deaf: u64,
    pub(super) draining: bool,
    pub(super) drained: bool,
    pub(super) sequence: u64,
    /// How much of its log each other one has.
    pub(super) received: BTreeMap<usize, usize>,
    /// Who waits for which commit.
    pub(super) owed: Vec<(usize, u64, usize, u64)>,
    pub(super) told: Option<(Role, Lifecycle)>,
    /// Since when it could reach a newer primary.
    pub(super) deposed: Option<u64>,
}

impl Database {
    pub(super) fn position(&self) -> Position {
        let term = self.log.last().map_or(DbTerm(1), |w| w.term);
        Position { term, number: self.log.len() as u64 }
    }
    pub(super) fn role(&self) -> Role {
        if self.primary { Role::Primary } else { Role::Replica }
    }
    pub(super) fn lifecycle(&self) -> Lifecycle {
        if self.draining { Lifecycle::Draining } else { Lifecycle::Available }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Write {
    pub(super) term: DbTerm,
    pub(super) id: u64,
}

impl World {
    pub(super) fn add_database(&mut self, service: &str, primary: bool, after: u64) {
        let number = self.databases.len();
        self.databases.push(Database {
            id: InstanceId(format!("d{number}")),
            service: service.into(),
            caller: Caller { next: number, ..Caller::default() },
            up: true,
            gone: false,
            primary,
            term: DbTerm(1),
            log: Vec::new(),
            paused: false,
            deaf: 0,
            draining: false,
            drained: false,
            sequence: 0,
            received: BTreeMap::new(),
            owed: Vec::new(),
            told: None,
            deposed: None,
        });
        let who = self.operators.len() + number;
        self.soon(after, Event::Act(who));
        self.soon(after, Event::Database(number));
    }

    pub(super) fn of_service(&self, service: &ServiceName) -> Vec<usize> {
        (0..self.databases.len())
            .filter(|d| self.databases[*d].service == *service && !self.databases[*d].gone)
            .collect()
    }

    /// The primary of the newest term, running or not.
    pub(super) fn primary(&self, service: &ServiceName) -> Option<usize> {
        let all = self.of_service(service).into_iter().filter(|d| self.databases[*d].primary);
        all.max_by_key(|d| self.databases[*d].term)
    }

    pub(super) fn heartbeat(&mut self, number: usize) {
        let database = &mut self.databases[number];
        if !database.up || database.gone {
            return;
        }
        database.sequence += 1;
        let path = format!("/instances/{}", database.id);
        let request = if database.drained {
            Request { method: "DELETE".into(), path, if_match: None, body: Vec::new() }
        } else {
            let body = serde_json::json!({
                "target_service": database.service,
                "address": SocketAddr::from(([10, 1, 0, number as u8 + 1], 7)),
                "zone": "z", "revision": "v1", "capacity": 7,
                "lifecycle_state": database.lifecycle(), "database_role": database.role(),
                "sequence": database.sequence,
            });
            let body = body.to_string().into_bytes();
            database.told = Some((database.role(), database.lifecycle()));
            Request { method: "PUT".into(), path, if_match: None, body }
        };
        self.call(self.operators.len() + number, request);
    }

    pub(super) fn database_heard(&mut self, number: usize, request: &Request, response: &Response) {
        if response.status != 200 {
            return self.fail(format!("a beat was answered {}", response.status));
        }
        let (id, told) = (self.databases[number].id.clone(), self.databases[number].told);
        let best = self.machines.iter().filter_map(|m| m.controller.as_ref());
        let best = best.max_by_key(|s| s.applied()).map(|s| s.state_machine());
        let listed = best.and_then(|a| a.instances.get(&id)).map(|r| r.instance.lifecycle_state);
        if request.method == "DELETE" {
            if listed.is_some() {
                self.fail(format!("{id} said goodbye and is still listed"));
            }
            self.goodbyes.insert(id);
            return self.end_database(number);
        }
        if told.is_some_and(|(_, l)| l == Lifecycle::Draining)
            && listed == Some(Lifecycle::Available)
        {
            return self.fail(format!("{id} is draining, acknowledged and not known to be"));
        }
        let database = &mut self.databases[number];
        let news = told != Some((database.role(), database.lifecycle()));
        if database.draining && !news && !database.drained {
            self.soon(3_000, Event::DatabaseLeaves(number));
        }
        let who = self.operators.len() + number;
        self.soon(if news { 5 } else { 1_000 }, Event::Act(who));
    }

    fn end_database(&mut self, number: usize) {
        let database = &mut self.databases[number];
        (database.up, database.gone, database.primary) = (false, true, false);
    }

    /// A primary brings its replicas on, and one that was replaced gives way in the end.
    pub(super) fn replicate(&mut self, number: usize) {
        if self.databases[number].gone {
            return;
        }
        self.soon(40, Event::Database(number));
        let now = self.now;
        let database = &self.databases[number];
        if !database.up || !database.primary {
            return;
        }
        let newest = self.primary(&database.service.clone());
        let (service, term) = (database.service.clone(), database.term);
        if newest.is_some_and(|n| {
            n != number
                && self.databases[n].up
                && self.reaches(End::Database(number), End::Database(n))
        }) {
            let since = *self.databases[number].deposed.get_or_insert(now);
            if now - since > 1_000 {
                let newer = newest.map_or(term, |n| self.databases[n].term);
                let database = &mut self.databases[number];
                (database.primary, database.term, database.deposed) = (false, newer, None);
                return;
            }
        } else {
            self.databases[number].deposed = None;
        }
        let log = Arc::new(self.databases[number].log.clone());
        for replica in self.of_service(&service) {
            let behind =
                self.databases[number].received.get(&replica).is_none_or(|n| *n < log.len());
            if replica != number
                && behind
                && let Some(time) =
                    self.arrival(End::Database(number), End::Database(replica), upto(15))
            {
                self.at(time, Event::Replicate(number, replica, term, Arc::clone(&log)));
            }
        }
    }

    pub(super) fn receive_log(&mut self, from: usize, to: usize, term: DbTerm, log: &[Write]) {
        let now = self.now;
        let database = &mut self.databases[to];
        let takes = database.up && !database.primary && !database.paused && now >= database.deaf;
        if !takes || database.term > term {
            return;
        }
        if term > database.term || log.len() > database.log.len() {
            database.log = log.to_vec();
        }
        database.term = term;
        let has = database.log.len().min(log.len());
        if let Some(time) = self.arrival(End::Database(to), End::Database(from), 0) {
            self.at(time, Event::Received(from, to, term, has));
        }
    }

    pub(super) fn received(&mut self, number: usize, by: usize, term: DbTerm, has: usize) {
        let database = &mut self.databases[number];
        if !database.up || !database.primary || database.term != term {
            return;
        }
        let most = database.received.entry(by).or_default();
        *most = (*most).max(has);
        let (service, log) = (database.service.clone(), &database.log);
        let due: Vec<_> = database.owed.iter().filter(|o| o.2 <= has).copied().collect();
        database.owed.retain(|o| o.2 > has);
        let words: Vec<_> = due
            .into_iter()
            .map(|(node, incarnation, upto, id)| {
                let position = Position { term: log[upto - 1].term, number: upto as u64 };
                (node, Event::Committed(node, incarnation, service.clone(), term, id, position))
            })
            .collect();
        for (node, event) in words {
            if let Some(time) = self.arrival(End::Database(number), End::Node(node), 0) {
                self.at(time, event);
            }
        }
    }

    pub(super) fn write(&mut self, node: usize, to: usize, incarnation: u64, term: DbTerm) {
        self.numbered += 1;
        let id = self.numbered;
        let database = &mut self.databases[to];
        if database.up && database.primary {
            let term = if database.term == term { term } else { database.term };
            database.log.push(Write { term, id });
            let upto = database.log.len();
            database.owed.push((node, incarnation, upto, id));
        }
    }

    pub(super) fn asked(
        &mut self,
        (from, incarnation): (usize, u64),
        service: ServiceName,
        id: InstanceId,
        ask: DatabaseRequest,
        attempt: Attempt,
    ) {
        let number = self.databases.iter().position(|d| d.id == id);
        let reached = number.filter(|n| {
            let (here, there) = (End::Controller(from), End::Database(*n));
            self.reaches(here, there) && self.reaches(there, here) && !self.lost()
        });
        let (told, after) = match reached {
            None => (DatabaseResponse::TimedOut, 1_000),
            Some(n) if !self.databases[n].up => (DatabaseResponse::Unavailable, 2),
            Some(n) => {
                let database = &mut self.databases[n];
                let good = match ask {
                    DatabaseRequest::Describe => true,
                    DatabaseRequest::Pause(term) if !database.primary && term > database.term => {
                        database.paused = true;
                        true
                    }
                    DatabaseRequest::Pause(_) => false,
                    DatabaseRequest::Continue => {
                        database.paused = false;
                        true
                    }
                    DatabaseRequest::StepDown(term) => {
                        if database.primary && database.term < term {
                            (database.primary, database.term) = (false, term);
                        }
                        true
                    }
                };
                let row = ServerDescription {
                    primary: database.primary,
                    term: database.term,
                    received: database.position(),
                };
                let late = if !self.healed && chance(3) { upto(1_200) } else { upto(5) };
                (
                    if good {
                        DatabaseResponse::Description(row)
                    } else {
                        DatabaseResponse::NoDescription
                    },
                    1 + late,
                )
            }
        };
        self.soon(
            after,
            Event::Input(
                from,
                incarnation,
                Input::DatabaseResponse(service, id, ask, attempt, told),
            ),
        );
    }

    pub(super) fn post(
        &mut self,
        (from, incarnation): (usize, u64),
        service: ServiceName,
        target: InstanceId,
        attempt: Attempt,
    ) {
        let number = self.databases.iter().position(|d| d.id == target);
        let running = number.filter(|n| self.databases[*n].up);
        let (mut posted, mut after) = match running {
            Some(_) => (PromotionResponse::Accepted, 20),
            None => (PromotionResponse::NotRunning, 20),
        };
        if let Some(n) = running {
            self.soon(100 + upto(300), Event::Promote(service.clone(), n));
        }
        if !self.healed && chance(10) {
            (posted, after) = (PromotionResponse::Unknown, 1_000);
        }
        self.soon(
            after,
            Event::Input(
                from,
                incarnation,
                Input::PromotionResponse(service, target, attempt, posted),
            ),
        );
    }

    pub(super) fn promote(&mut self, service: &ServiceName, target: usize) {
        let newest = self.of_service(service).into_iter().map(|d| self.databases[d].term).max();
        let Some(newest) = newest else { return };
        let already = self.databases[target].primary && self.databases[target].term == newest;
        if !self.databases[target].up || already {
            return;
        }
        let log = &self.databases[target].log;
        let passed = self.passed.get(service).into_iter().flatten();
        let missing = passed.copied().find(|p| !log.contains(&p.write));
        let log = log.clone();
        let term = DbTerm(newest.0 + 1);
        if let Some(Passed { write, node, at }) = missing
            && self.clocks_run()
        {
            let (name, of) = (&self.databases[target].id, write.term);
            return self.fail(format!(
                "{name} leads {service} in {term} without a commit of {of}, passed on by node{node} at {at}"
            ));
        }
        self.promoted.entry(service.clone()).or_default().push((term, log));
        self.report.promoted += 1;
        let database = &mut self.databases[target];
        (database.primary, database.term, database.paused) = (true, term, false);
        database.received.clear();
        database.owed.clear();
        for other in self.of_service(service) {
            let hears = self.reaches(End::Database(target), End::Database(other));
            let database = &mut self.databases[other];
            if other != target && hears && database.up && !database.primary {
                database.term = term;
            }
        }
    }
}
