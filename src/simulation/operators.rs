//! Operators, who read configurations and send new ones.
use crate::base::ids::Revision;
use crate::config::configuration::Configuration;
use crate::net::http::Response;
use crate::simulation::callers::Caller;
use crate::simulation::events::Event;
use crate::simulation::runner::Violation;
use crate::simulation::schedule::{chance, random_below};
use crate::simulation::world::{SERVICES, World};

/// A configuration that an operator sends, until it knows what became of it.
#[derive(Clone)]
pub(super) struct ConfigurationChange {
    pub(super) base: Revision,
    pub(super) revision: Revision,
    pub(super) body: Vec<u8>,
    /// It has been taken before, or can't be taken.
    pub(super) known: Option<bool>,
}

/// An operator: reads, changes what it read, and sends it until it is answered.
pub(super) struct Operator {
    pub(super) caller: Caller,
    pub(super) change: Option<ConfigurationChange>,
    /// How many changes it has made.
    pub(super) made: u64,
}

impl World {
    /// Checks what an operator was answered, and has it go on after a while.
    pub(super) fn handle_operator_response(&mut self, who: usize, sent: u64, response: Response) {
        let pause = 20 + random_below(600);
        let checked = match self.operators[who].change.take() {
            None => self.handle_read(who, sent, &response).map(|()| random_below(60)),
            Some(change) => {
                self.handle_change_response(who, change, response.status).map(|()| pause)
            }
        };
        match checked {
            Ok(after) => self.schedule_after(after, Event::TakeTurn(who)),
            Err(violation) => self.report_violation(violation.description),
        }
    }

    /// A read gives a configuration that was in force, and none older than was known when it was sent.
    /// The operator's next change builds on it.
    fn handle_read(&mut self, who: usize, sent: u64, response: &Response) -> Result<(), Violation> {
        let floor = self.read_floor(sent);
        let read = Configuration::read(&response.body).map(|c| c.revision);
        let revision = match (response.status, read) {
            (200, Ok(revision)) => match self.committed_place(revision, &response.body) {
                Some(place) if place < floor => {
                    return Err(self.violated(format!("a read gave {revision}, newer was known")));
                }
                Some(place) => {
                    self.read_floors.push((self.now, place));
                    revision
                }
                None => {
                    return Err(self.violated(format!("a read gave {revision}, never in force")));
                }
            },
            (404, _) if floor == 0 => Revision(0),
            (status, _) => return Err(self.violated(format!("a read was answered {status}"))),
        };
        self.report.reads += 1;
        self.operators[who].change = Some(self.draw_change(who, revision));
        Ok(())
    }

    fn handle_change_response(
        &mut self,
        who: usize,
        change: ConfigurationChange,
        status: u16,
    ) -> Result<(), Violation> {
        let place = self.committed_place(change.revision, &change.body);
        match (status, place) {
            (200, Some(place)) => self.handle_acknowledgement(who, change, place),
            (200, None) => {
                let (base, number) = (change.base, change.revision);
                Err(self.violated(format!("{number} on {base} confirmed, not in force")))
            }
            (status, Some(_)) => {
                let number = change.revision;
                Err(self.violated(format!("{number} was taken, and answered {status}")))
            }
            (412, None) => self.handle_rejection(&change),
            (status, None) => {
                Err(self.violated(format!("{} was answered {status}", change.revision)))
            }
        }
    }

    /// A change is acknowledged only if it is in force, on the base that it names.
    fn handle_acknowledgement(
        &mut self,
        who: usize,
        change: ConfigurationChange,
        place: usize,
    ) -> Result<(), Violation> {
        let on_base = self.committed_configurations[place - 1].base == change.base;
        if change.known == Some(false) || !on_base {
            return Err(self.violated(format!("{} confirmed on a wrong base", change.revision)));
        }
        self.read_floors.push((self.now, place));
        self.report.acknowledged += u64::from(change.known.is_none());
        // The answer may have been lost for all that the sender knows.
        if chance(25) {
            self.report.resent += 1;
            self.operators[who].change = Some(ConfigurationChange { known: Some(true), ..change });
        }
        Ok(())
    }

    /// A change is rejected only if its base is not the current version.
    fn handle_rejection(&mut self, change: &ConfigurationChange) -> Result<(), Violation> {
        let current = self.committed_configurations.last().map_or(Revision(0), |f| f.revision);
        if change.base == current {
            let why = format!("an order on {} refused, which is current", change.base);
            return Err(self.violated(why));
        }
        self.report.refused += 1;
        Ok(())
    }

    fn draw_change(&mut self, who: usize, base: Revision) -> ConfigurationChange {
        self.operators[who].made += 1;
        let number = self.operators[who].made;
        if chance(5) && !self.repaired {
            // On top of a version that is still to come.
            let (base, revision) = (Revision(base.0 + 500), Revision(base.0 + 501));
            let body = self.configuration_body(who, number, revision);
            return ConfigurationChange { base, revision, body, known: Some(false) };
        }
        if chance(5)
            && let Some(newest) = self.committed_configurations.last()
        {
            // What is in force, with one blank more.
            let (base, revision, mut body) = (newest.base, newest.revision, newest.body.clone());
            body.push(b' ');
            return ConfigurationChange { base, revision, body, known: Some(false) };
        }
        // Two operators may pick the same number.
        let revision = Revision(base.0 + 1 + random_below(2));
        let body = self.configuration_body(who, number, revision);
        ConfigurationChange { base, revision, body, known: None }
    }

    fn configuration_body(&self, who: usize, number: u64, revision: Revision) -> Vec<u8> {
        let route = |n: u64| {
            serde_json::json!({ "name": format!("r{who}-{number}-{n}"), "hostname": format!("h{n}"),
                "route_type": "primary", "timeout_ms": 1000, "target_service": SERVICES[0] })
        };
        let service = |name: &str| serde_json::json!({ "name": name, "max_connections": 64, "sync_replicas": 1 });
        let many = 1 + if chance(20) { self.extra_routes_hundreds * 100 } else { 0 };
        let routes: Vec<_> = (0..many).map(route).collect();
        let services: Vec<_> = SERVICES.into_iter().map(service).collect();
        serde_json::json!({ "revision": revision, "route_rules": routes, "services": services })
            .to_string()
            .into_bytes()
    }
}
