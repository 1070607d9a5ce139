//! Operators, who read configurations and send new ones.
use crate::base::ids::Revision;
use crate::config::configuration::Configuration;
use crate::net::http::Response;
use crate::simulation::callers::Caller;
use crate::simulation::events::Event;
use crate::simulation::schedule::{chance, draw_below};
use crate::simulation::world::{SERVICES, World};

#[derive(Clone)]
pub(super) struct ConfigurationChange {
    pub(super) base: Revision,
    pub(super) revision: Revision,
    pub(super) body: Vec<u8>,
    /// It has been taken before, or can't be taken.
    pub(super) known: Option<bool>,
}

pub(super) struct Operator {
    pub(super) caller: Caller,
    pub(super) order: Option<ConfigurationChange>,
    pub(super) made: u64,
}

impl World {
    pub(super) fn handle_operator_response(&mut self, who: usize, sent: u64, response: Response) {
        let pause = 20 + draw_below(600);
        let Some(order) = self.operators[who].order.take() else {
            let floor = self.read_floor(sent);
            let read = Configuration::read(&response.body).map(|c| c.revision);
            let revision = match (response.status, read) {
                (200, Ok(revision)) => match self.committed_place(revision, &response.body) {
                    Some(place) if place < floor => {
                        return self
                            .report_violation(format!("a read gave {revision}, newer was known"));
                    }
                    Some(place) => {
                        self.read_floors.push((self.now, place));
                        revision
                    }
                    None => {
                        return self
                            .report_violation(format!("a read gave {revision}, never in force"));
                    }
                },
                (404, _) if floor == 0 => Revision(0),
                (status, _) => {
                    return self.report_violation(format!("a read was answered {status}"));
                }
            };
            self.report.reads += 1;
            self.operators[who].order = Some(self.draw_change(who, revision));
            return self.schedule_after(draw_below(60), Event::TakeTurn(who));
        };
        let place = self.committed_place(order.revision, &order.body);
        let current = self.committed_configurations.last().map_or(Revision(0), |f| f.revision);
        match response.status {
            200 => {
                let Some(place) = place else {
                    let (base, number) = (order.base, order.revision);
                    return self
                        .report_violation(format!("{number} on {base} confirmed, not in force"));
                };
                if order.known == Some(false)
                    || self.committed_configurations[place - 1].base != order.base
                {
                    return self
                        .report_violation(format!("{} confirmed on a wrong base", order.revision));
                }
                self.read_floors.push((self.now, place));
                self.report.acknowledged += u64::from(order.known.is_none());
                // The answer may have been lost for all that the sender knows.
                if chance(25) {
                    self.report.resent += 1;
                    self.operators[who].order =
                        Some(ConfigurationChange { known: Some(true), ..order });
                }
            }
            status => {
                if place.is_some() {
                    let number = order.revision;
                    return self
                        .report_violation(format!("{number} was taken, and answered {status}"));
                }
                if status != 412 {
                    return self
                        .report_violation(format!("{} was answered {status}", order.revision));
                }
                if order.base == current {
                    let why = format!("an order on {} refused, which is current", order.base);
                    return self.report_violation(why);
                }
                self.report.refused += 1;
            }
        }
        self.schedule_after(pause, Event::TakeTurn(who));
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
            && let Some(committed_configurations) = self.committed_configurations.last()
        {
            // What is in force, with one blank more.
            let (base, revision, mut body) = (
                committed_configurations.base,
                committed_configurations.revision,
                committed_configurations.body.clone(),
            );
            body.push(b' ');
            return ConfigurationChange { base, revision, body, known: Some(false) };
        }
        // Two operators may pick the same number.
        let revision = Revision(base.0 + 1 + draw_below(2));
        let body = self.configuration_body(who, number, revision);
        ConfigurationChange { base, revision, body, known: None }
    }

    fn configuration_body(&self, who: usize, number: u64, revision: Revision) -> Vec<u8> {
        let route = |n: u64| {
            serde_json::json!({ "name": format!("r{who}-{number}-{n}"), "hostname": format!("h{n}"),
                "route_type": "primary", "timeout_ms": 1000, "target_service": SERVICES[0] })
        };
        let service = |name: &str| serde_json::json!({ "name": name, "max_connections": 64, "sync_replicas": 1 });
        let many = 1 + if chance(20) { self.large * 100 } else { 0 };
        let routes: Vec<_> = (0..many).map(route).collect();
        let services: Vec<_> = SERVICES.into_iter().map(service).collect();
        serde_json::json!({ "revision": revision, "route_rules": routes, "services": services })
            .to_string()
            .into_bytes()
    }
}
