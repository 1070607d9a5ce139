//! Operators: clients that read the configuration and change it.
use crate::base::ids::Revision;
use crate::config::configuration::Configuration;
use crate::net::http::Response;
use crate::simulation::callers::Caller;
use crate::simulation::events::Event;
use crate::simulation::runner::Violation;
use crate::simulation::schedule::{chance, random_below};
use crate::simulation::world::{SERVICES, World};

/// A configuration that an operator sends until it receives the outcome.
#[derive(Clone)]
pub(super) struct ConfigurationChange {
    pub(super) base: Revision,
    pub(super) revision: Revision,
    pub(super) body: Vec<u8>,
    /// Whether the change must be accepted because it was before, or must be rejected; none if
    /// either is possible.
    pub(super) expected_accepted: Option<bool>,
}

/// An operator: reads the configuration, changes it, and sends the change until it is answered.
pub(super) struct Operator {
    pub(super) caller: Caller,
    pub(super) change: Option<ConfigurationChange>,
    /// How many changes it has generated.
    pub(super) changes_made: u64,
}

impl World {
    /// Checks the response to an operator's request, and schedules the next request.
    pub(super) fn handle_operator_response(
        &mut self,
        operator: usize,
        sent_at: u64,
        response: Response,
    ) {
        let pause = 20 + random_below(600);
        let checked = match self.operators[operator].change.take() {
            None => self.handle_read(operator, sent_at, &response).map(|()| random_below(60)),
            Some(change) => {
                self.handle_change_response(operator, change, response.status).map(|()| pause)
            }
        };
        match checked {
            Ok(after) => self.schedule_after(after, Event::CallerTurn(operator)),
            Err(violation) => self.report_violation(violation.description),
        }
    }

    /// Checks that a read returned a committed configuration, and none older than one that was
    /// known when the read was sent. The operator's next change is based on it.
    fn handle_read(
        &mut self,
        operator: usize,
        sent_at: u64,
        response: &Response,
    ) -> Result<(), Violation> {
        let floor = self.read_floor(sent_at);
        let read = Configuration::read(&response.body).map(|c| c.revision);
        let revision = match (response.status, read) {
            (200, Ok(revision)) => match self.committed_place(revision, &response.body) {
                Some(place) if place < floor => {
                    return Err(self.violation_now(format!(
                        "stale read of revision {revision}, a newer one was known"
                    )));
                }
                Some(place) => {
                    self.read_floors.push((self.now, place));
                    revision
                }
                None => {
                    return Err(self.violation_now(format!(
                        "read returned revision {revision}, which was never committed"
                    )));
                }
            },
            (404, _) if floor == 0 => Revision(0),
            (status, _) => {
                return Err(self.violation_now(format!("read failed with status {status}")));
            }
        };
        self.report.reads += 1;
        self.operators[operator].change = Some(self.random_change(operator, revision));
        Ok(())
    }

    fn handle_change_response(
        &mut self,
        operator: usize,
        change: ConfigurationChange,
        status: u16,
    ) -> Result<(), Violation> {
        let place = self.committed_place(change.revision, &change.body);
        match (status, place) {
            (200, Some(place)) => self.handle_acknowledgement(operator, change, place),
            (200, None) => {
                let (base, number) = (change.base, change.revision);
                Err(self.violation_now(format!(
                    "change to revision {number} on base {base} acknowledged, but not committed"
                )))
            }
            (status, Some(_)) => {
                let number = change.revision;
                Err(self.violation_now(format!(
                    "change to revision {number} committed, but answered with status {status}"
                )))
            }
            (412, None) => self.handle_rejection(&change),
            (status, None) => Err(self.violation_now(format!(
                "change to revision {} answered with status {status}",
                change.revision
            ))),
        }
    }

    /// Checks that an acknowledged change could be accepted and was committed on the base that it
    /// names.
    fn handle_acknowledgement(
        &mut self,
        operator: usize,
        change: ConfigurationChange,
        place: usize,
    ) -> Result<(), Violation> {
        let on_base = self.committed_configurations[place - 1].base == change.base;
        if change.expected_accepted == Some(false) || !on_base {
            return Err(self.violation_now(format!(
                "change to revision {} acknowledged, but its base was not the current revision",
                change.revision
            )));
        }
        self.read_floors.push((self.now, place));
        self.report.acknowledged += u64::from(change.expected_accepted.is_none());
        // Some operators send an acknowledged change again, as if the response had been lost.
        if chance(25) {
            self.report.resent += 1;
            self.operators[operator].change =
                Some(ConfigurationChange { expected_accepted: Some(true), ..change });
        }
        Ok(())
    }

    /// Checks that a rejected change was not based on the current revision.
    fn handle_rejection(&mut self, change: &ConfigurationChange) -> Result<(), Violation> {
        let current = self.committed_configurations.last().map_or(Revision(0), |f| f.revision);
        if change.base == current {
            let description =
                format!("change on base {} rejected, although it is current", change.base);
            return Err(self.violation_now(description));
        }
        self.report.refused += 1;
        Ok(())
    }

    fn random_change(&mut self, operator: usize, base: Revision) -> ConfigurationChange {
        self.operators[operator].changes_made += 1;
        let number = self.operators[operator].changes_made;
        if chance(5) && !self.repaired {
            // The base is a revision that does not exist yet.
            let (base, revision) = (Revision(base.0 + 500), Revision(base.0 + 501));
            let body = self.configuration_body(operator, number, revision);
            return ConfigurationChange { base, revision, body, expected_accepted: Some(false) };
        }
        if chance(5)
            && let Some(newest) = self.committed_configurations.last()
        {
            // The committed configuration with another blank: the same revision with another body.
            let (base, revision, mut body) = (newest.base, newest.revision, newest.body.clone());
            body.push(b' ');
            return ConfigurationChange { base, revision, body, expected_accepted: Some(false) };
        }
        // Two operators may choose the same revision.
        let revision = Revision(base.0 + 1 + random_below(2));
        let body = self.configuration_body(operator, number, revision);
        ConfigurationChange { base, revision, body, expected_accepted: None }
    }

    fn configuration_body(&self, operator: usize, number: u64, revision: Revision) -> Vec<u8> {
        let route = |n: u64| {
            serde_json::json!({ "name": format!("r{operator}-{number}-{n}"),
                "hostname": format!("h{n}"), "route_type": "primary",
                "timeout_ms": 1000, "target_service": SERVICES[0] })
        };
        let service = |name: &str| {
            serde_json::json!({ "name": name, "max_connections": 64,
                "sync_replicas": 1 })
        };
        let route_count = 1 + if chance(20) { self.extra_routes_hundreds * 100 } else { 0 };
        let routes: Vec<_> = (0..route_count).map(route).collect();
        let services: Vec<_> = SERVICES.into_iter().map(service).collect();
        serde_json::json!({ "revision": revision, "route_rules": routes, "services": services })
            .to_string()
            .into_bytes()
    }
}
