//! Callers of the admin addresses: how they try one controller after the other.
use crate::controller::effects::Input;
use crate::net::http::{Request, Response};
use crate::simulation::events::Event;
use crate::simulation::network::Endpoint;
use crate::simulation::schedule::chance;
use crate::simulation::world::{World, machine_of};
use std::sync::mpsc::{Receiver, sync_channel};

/// One that calls controllers over HTTP: an operator, or a database with its heartbeats.
#[derive(Default)]
pub(super) struct Caller {
    pub(super) attempt: u64,
    pub(super) sent: u64,
    /// Where the next try goes.
    pub(super) next: usize,
    pub(super) redirects: u8,
    pub(super) pause: u64,
    pub(super) under_way: Option<Request>,
    pub(super) answer: Option<(usize, u64, Receiver<Response>)>,
}

impl World {
    fn caller(&mut self, who: usize) -> &mut Caller {
        let operators = self.operators.len();
        match who.checked_sub(operators) {
            None => &mut self.operators[who].caller,
            Some(database) => &mut self.databases[database].caller,
        }
    }

    fn endpoint_of(&self, who: usize) -> Endpoint {
        match who.checked_sub(self.operators.len()) {
            None => Endpoint::Operator(who),
            Some(database) => Endpoint::Database(database),
        }
    }

    /// Sends a request, or the same one again, to the controller that is next.
    pub(super) fn send_request(&mut self, who: usize, request: Request) {
        let running: Vec<usize> =
            (0..self.machines.len()).filter(|m| !self.machines[*m].removed).collect();
        let (now, from) = (self.now, self.endpoint_of(who));
        let caller = self.caller(who);
        caller.attempt += 1;
        caller.sent = now;
        caller.under_way = Some(request.clone());
        caller.answer = None;
        let (attempt, next) = (caller.attempt, caller.next);
        let to = if running.contains(&next) { next } else { running[next % running.len()] };
        self.caller(who).next = to;
        match self.arrival_time(from, Endpoint::Controller(to), 0) {
            Some(time) if self.machines[to].controller.is_some() => {
                self.schedule_at(time, Event::Request(who, attempt, request));
            }
            Some(time) => return self.schedule_at(time, Event::Response(who, attempt, None)),
            None => {}
        }
        self.schedule_after(1_000, Event::Response(who, attempt, None));
    }

    /// A request reaches the controller that it was sent to.
    pub(super) fn deliver_request(&mut self, who: usize, attempt: u64, request: Request) {
        let caller = self.caller(who);
        if caller.attempt != attempt {
            // Gave up on it, but what is on its direction arrives all the same.
            let to = caller.next;
            let (reply, _) = sync_channel(1);
            return self.step(to, Some(Input::Http(request, reply)));
        }
        let to = caller.next;
        let (reply, answer) = sync_channel(1);
        let incarnation = self.machines[to].incarnation;
        self.caller(who).answer = Some((to, incarnation, answer));
        self.step(to, Some(Input::Http(request, reply)));
    }

    /// What this controller has answered goes on its direction.
    pub(super) fn collect_responses(&mut self, number: usize, delay_ms: u64) {
        let incarnation = self.machines[number].incarnation;
        for who in 0..self.operators.len() + self.databases.len() {
            let caller = self.caller(who);
            let Some((at, its, answer)) = &caller.answer else { continue };
            if *at != number || *its != incarnation {
                continue;
            }
            let Ok(response) = answer.try_recv() else { continue };
            let attempt = caller.attempt;
            caller.answer = None;
            let to = self.endpoint_of(who);
            let lost = !self.repaired && chance(3);
            if let Some(time) = self.arrival_time(Endpoint::Controller(number), to, delay_ms)
                && !lost
            {
                self.schedule_at(time, Event::Response(who, attempt, Some(response)));
            }
        }
    }

    /// A response, or the end of the wait for one, reaches its caller, who follows redirects and retries.
    pub(super) fn handle_response(&mut self, who: usize, attempt: u64, response: Option<Response>) {
        let machines = self.machines.len();
        let caller = self.caller(who);
        if caller.attempt != attempt {
            return;
        }
        let Some(request) = caller.under_way.clone() else { return };
        let response = response.filter(|r| r.status < 500);
        if let Some(Response { status: 307, location: Some(to), .. }) = &response
            && caller.redirects < 2
        {
            caller.redirects += 1;
            let at = to.trim_start_matches("http://").split('/').next().map(str::parse);
            if let Some(Ok(at)) = at {
                caller.next = machine_of(at);
                return self.send_request(who, request);
            }
        }
        caller.redirects = 0;
        match response.filter(|r| r.status != 307) {
            Some(response) => {
                caller.under_way = None;
                caller.attempt += 1;
                caller.pause = 0;
                let sent = caller.sent;
                match who.checked_sub(self.operators.len()) {
                    None => self.handle_operator_response(who, sent, response),
                    Some(database) => self.handle_heartbeat_response(database, &request, &response),
                }
            }
            None => {
                caller.next = (caller.next + 1) % machines;
                caller.pause = (caller.pause * 2).clamp(50, 800);
                caller.attempt += 1;
                let after = caller.pause;
                self.schedule_after(after, Event::TakeTurn(who));
            }
        }
    }

    /// A caller sends what it has to say: an operator its read or change, a database its heartbeat.
    pub(super) fn take_turn(&mut self, who: usize) {
        if let Some(database) = who.checked_sub(self.operators.len()) {
            return self.send_heartbeat(database);
        }
        if let Some(request) = self.caller(who).under_way.clone() {
            return self.send_request(who, request);
        }
        let request = match self.operators[who].change.clone() {
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
        self.send_request(who, request);
    }
}
