//! Operators, who read configurations and send new ones.
use crate::base::ids::Revision;
use crate::config::configuration::Configuration;
use crate::net::http::Response;
use crate::simulation::callers::Caller;
use crate::simulation::events::Event;
use crate::simulation::schedule::{chance, upto};
use crate::simulation::world::{SERVICES, World};

#[derive(Clone)]
pub(super) struct Order {
    pub(super) base: Revision,
    pub(super) revision: Revision,
    pub(super) body: Vec<u8>,
    /// It has been taken before, or can't be taken.
    pub(super) known: Option<bool>,
}

pub(super) struct Operator {
    pub(super) caller: Caller,
    pub(super) order: Option<Order>,
    pub(super) made: u64,
}

impl World {
    pub(super) fn operator_heard(&mut self, who: usize, sent: u64, response: Response) {
        let pause = 20 + upto(600);
        let Some(order) = self.operators[who].order.take() else {
            let floor = self.floor(sent);
            let read = Configuration::read(&response.body).map(|c| c.revision);
            let revision = match (response.status, read) {
                (200, Ok(revision)) => match self.find(revision, &response.body) {
                    Some(place) if place < floor => {
                        return self.fail(format!("a read gave {revision}, newer was known"));
                    }
                    Some(place) => {
                        self.floors.push((self.now, place));
                        revision
                    }
                    None => return self.fail(format!("a read gave {revision}, never in force")),
                },
                (404, _) if floor == 0 => Revision(0),
                (status, _) => return self.fail(format!("a read was answered {status}")),
            };
            self.report.reads += 1;
            self.operators[who].order = Some(self.make_order(who, revision));
            return self.soon(upto(60), Event::Act(who));
        };
        let place = self.find(order.revision, &order.body);
        let current = self.forced.last().map_or(Revision(0), |f| f.revision);
        match response.status {
            200 => {
                let Some(place) = place else {
                    let (base, number) = (order.base, order.revision);
                    return self.fail(format!("{number} on {base} confirmed, not in force"));
                };
                if order.known == Some(false) || self.forced[place - 1].base != order.base {
                    return self.fail(format!("{} confirmed on a wrong base", order.revision));
                }
                self.floors.push((self.now, place));
                self.report.acknowledged += u64::from(order.known.is_none());
                // The answer may have been lost for all that the sender knows.
                if chance(25) {
                    self.report.resent += 1;
                    self.operators[who].order = Some(Order { known: Some(true), ..order });
                }
            }
            status => {
                if place.is_some() {
                    let number = order.revision;
                    return self.fail(format!("{number} was taken, and answered {status}"));
                }
                if status != 412 {
                    return self.fail(format!("{} was answered {status}", order.revision));
                }
                if order.base == current {
                    let why = format!("an order on {} refused, which is current", order.base);
                    return self.fail(why);
                }
                self.report.refused += 1;
            }
        }
        self.soon(pause, Event::Act(who));
    }

    fn make_order(&mut self, who: usize, base: Revision) -> Order {
        self.operators[who].made += 1;
        let number = self.operators[who].made;
        if chance(5) && !self.healed {
            // On top of a version that is still to come.
            let (base, revision) = (Revision(base.0 + 500), Revision(base.0 + 501));
            let body = self.body(who, number, revision);
            return Order { base, revision, body, known: Some(false) };
        }
        if chance(5)
            && let Some(forced) = self.forced.last()
        {
            // What is in force, with one blank more.
            let (base, revision, mut body) = (forced.base, forced.revision, forced.body.clone());
            body.push(b' ');
            return Order { base, revision, body, known: Some(false) };
        }
        // Two operators may pick the same number.
        let revision = Revision(base.0 + 1 + upto(2));
        let body = self.body(who, number, revision);
        Order { base, revision, body, known: None }
    }

    fn body(&self, who: usize, number: u64, revision: Revision) -> Vec<u8> {
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
