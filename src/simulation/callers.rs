//! HTTP clients of the controllers' admin addresses: redirects, retries and time-outs.
use crate::controller::effects::Input;
use crate::net::http::{Request, Response};
use crate::simulation::events::Event;
use crate::simulation::network::Endpoint;
use crate::simulation::schedule::chance;
use crate::simulation::world::{World, machine_of};
use std::sync::mpsc::{Receiver, sync_channel};

/// The state of an HTTP client of the controllers: an operator, or a database that sends
/// heartbeats.
#[derive(Default)]
pub(super) struct Caller {
    /// The number of the current attempt; responses to earlier ones are ignored.
    pub(super) attempt: u64,
    pub(super) sent_at: u64,
    /// The machine to which the next attempt is sent.
    pub(super) next_controller: usize,
    /// How many redirects the current request has followed.
    pub(super) redirects: u8,
    pub(super) retry_delay_ms: u64,
    pub(super) pending_request: Option<Request>,
    /// The machine and incarnation that received the request, and where its response will be.
    pub(super) pending_response: Option<(usize, u64, Receiver<Response>)>,
}

impl World {
    /// The client state of an operator, or of a database if the number is beyond the operators.
    fn caller(&mut self, caller_number: usize) -> &mut Caller {
        let operators = self.operators.len();
        match caller_number.checked_sub(operators) {
            None => &mut self.operators[caller_number].caller,
            Some(database) => &mut self.databases[database].caller,
        }
    }

    fn endpoint_of(&self, caller_number: usize) -> Endpoint {
        match caller_number.checked_sub(self.operators.len()) {
            None => Endpoint::Operator(caller_number),
            Some(database) => Endpoint::Database(database),
        }
    }

    /// Sends a request, or repeats it, to the caller's next controller.
    pub(super) fn send_request(&mut self, caller_number: usize, request: Request) {
        let running: Vec<usize> =
            (0..self.machines.len()).filter(|m| !self.machines[*m].removed).collect();
        let (now, from) = (self.now, self.endpoint_of(caller_number));
        let caller = self.caller(caller_number);
        caller.attempt += 1;
        caller.sent_at = now;
        caller.pending_request = Some(request.clone());
        caller.pending_response = None;
        let (attempt, next) = (caller.attempt, caller.next_controller);
        let to = if running.contains(&next) { next } else { running[next % running.len()] };
        self.caller(caller_number).next_controller = to;
        match self.arrival_time(from, Endpoint::Controller(to), 0) {
            Some(time) if self.machines[to].controller.is_some() => {
                self.schedule_at(time, Event::Request(caller_number, attempt, request));
            }
            Some(time) => {
                return self.schedule_at(time, Event::Response(caller_number, attempt, None));
            }
            None => {}
        }
        self.schedule_after(1_000, Event::Response(caller_number, attempt, None));
    }

    /// Delivers a request to the controller that it was sent to.
    pub(super) fn deliver_request(&mut self, caller_number: usize, attempt: u64, request: Request) {
        let caller = self.caller(caller_number);
        if caller.attempt != attempt {
            // The caller gave up on this attempt, but the request is in flight and arrives all the
            // same.
            let to = caller.next_controller;
            let (reply, _) = sync_channel(1);
            return self.step(to, Some(Input::AdminRequest(request, reply)));
        }
        let to = caller.next_controller;
        let (reply, receiver) = sync_channel(1);
        let incarnation = self.machines[to].incarnation;
        self.caller(caller_number).pending_response = Some((to, incarnation, receiver));
        self.step(to, Some(Input::AdminRequest(request, reply)));
    }

    /// Sends the responses of a controller back to their callers.
    pub(super) fn collect_responses(&mut self, number: usize, delay_ms: u64) {
        let incarnation = self.machines[number].incarnation;
        for caller_number in 0..self.operators.len() + self.databases.len() {
            let caller = self.caller(caller_number);
            let Some((machine, its_incarnation, receiver)) = &caller.pending_response else {
                continue;
            };
            if *machine != number || *its_incarnation != incarnation {
                continue;
            }
            let Ok(response) = receiver.try_recv() else { continue };
            let attempt = caller.attempt;
            caller.pending_response = None;
            let to = self.endpoint_of(caller_number);
            let response_lost = !self.repaired && chance(3);
            if let Some(time) = self.arrival_time(Endpoint::Controller(number), to, delay_ms)
                && !response_lost
            {
                self.schedule_at(time, Event::Response(caller_number, attempt, Some(response)));
            }
        }
    }

    /// Handles a response, or the time-out of an attempt: the caller follows redirects and retries
    /// requests that failed.
    pub(super) fn handle_response(
        &mut self,
        caller_number: usize,
        attempt: u64,
        response: Option<Response>,
    ) {
        let machines = self.machines.len();
        let caller = self.caller(caller_number);
        if caller.attempt != attempt {
            return;
        }
        let Some(request) = caller.pending_request.clone() else { return };
        let response = response.filter(|r| r.status < 500);
        if let Some(Response { status: 307, location: Some(to), .. }) = &response
            && caller.redirects < 2
        {
            caller.redirects += 1;
            let address = to.trim_start_matches("http://").split('/').next().map(str::parse);
            if let Some(Ok(address)) = address {
                caller.next_controller = machine_of(address);
                return self.send_request(caller_number, request);
            }
        }
        caller.redirects = 0;
        match response.filter(|r| r.status != 307) {
            Some(response) => {
                caller.pending_request = None;
                caller.attempt += 1;
                caller.retry_delay_ms = 0;
                let sent_at = caller.sent_at;
                match caller_number.checked_sub(self.operators.len()) {
                    None => self.handle_operator_response(caller_number, sent_at, response),
                    Some(database) => self.handle_heartbeat_response(database, &request, &response),
                }
            }
            None => {
                caller.next_controller = (caller.next_controller + 1) % machines;
                caller.retry_delay_ms = (caller.retry_delay_ms * 2).clamp(50, 800);
                caller.attempt += 1;
                let after = caller.retry_delay_ms;
                self.schedule_after(after, Event::CallerTurn(caller_number));
            }
        }
    }

    /// Sends a caller's next request: an operator's read or change, or a database's heartbeat.
    pub(super) fn caller_turn(&mut self, caller_number: usize) {
        if let Some(database) = caller_number.checked_sub(self.operators.len()) {
            return self.send_heartbeat(database);
        }
        if let Some(request) = self.caller(caller_number).pending_request.clone() {
            return self.send_request(caller_number, request);
        }
        let request = match self.operators[caller_number].change.clone() {
            Some(change) => Request {
                method: "PUT".into(),
                path: "/configuration".into(),
                if_match: Some(change.base.to_string()),
                body: change.body,
            },
            None => Request {
                method: "GET".into(),
                path: "/configuration".into(),
                if_match: None,
                body: Vec::new(),
            },
        };
        self.send_request(caller_number, request);
    }
}
