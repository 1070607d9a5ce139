//! Callers of the admin addresses: how they try one controller after the other.
use crate::controller::effects::Input;
use crate::net::http::{Request, Response};
use crate::simulation::events::Event;
use crate::simulation::network::End;
use crate::simulation::schedule::chance;
use crate::simulation::world::{World, machine_at};
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

    fn end_of(&self, who: usize) -> End {
        match who.checked_sub(self.operators.len()) {
            None => End::Operator(who),
            Some(database) => End::Database(database),
        }
    }

    /// Sends a request, or the same one again, to the controller that is next.
    pub(super) fn call(&mut self, who: usize, request: Request) {
        let running: Vec<usize> =
            (0..self.machines.len()).filter(|m| !self.machines[*m].gone).collect();
        let (now, from) = (self.now, self.end_of(who));
        let caller = self.caller(who);
        caller.attempt += 1;
        caller.sent = now;
        caller.under_way = Some(request.clone());
        caller.answer = None;
        let (attempt, next) = (caller.attempt, caller.next);
        let to = if running.contains(&next) { next } else { running[next % running.len()] };
        self.caller(who).next = to;
        match self.arrival(from, End::Controller(to), 0) {
            Some(time) if self.machines[to].controller.is_some() => {
                self.at(time, Event::AdminCall(who, attempt, request));
            }
            Some(time) => return self.at(time, Event::Answer(who, attempt, None)),
            None => {}
        }
        self.soon(1_000, Event::Answer(who, attempt, None));
    }

    pub(super) fn reach_controller(&mut self, who: usize, attempt: u64, request: Request) {
        let caller = self.caller(who);
        if caller.attempt != attempt {
            // Gave up on it, but what is on its way arrives all the same.
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

    /// What this controller has answered goes on its way.
    pub(super) fn gather_answers(&mut self, number: usize, held: u64) {
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
            let to = self.end_of(who);
            let lost = !self.healed && chance(3);
            if let Some(time) = self.arrival(End::Controller(number), to, held)
                && !lost
            {
                self.at(time, Event::Answer(who, attempt, Some(response)));
            }
        }
    }

    pub(super) fn answered(&mut self, who: usize, attempt: u64, response: Option<Response>) {
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
                caller.next = machine_at(at);
                return self.call(who, request);
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
                    None => self.operator_heard(who, sent, response),
                    Some(database) => self.database_heard(database, &request, &response),
                }
            }
            None => {
                caller.next = (caller.next + 1) % machines;
                caller.pause = (caller.pause * 2).clamp(50, 800);
                caller.attempt += 1;
                let after = caller.pause;
                self.soon(after, Event::Act(who));
            }
        }
    }

    pub(super) fn act(&mut self, who: usize) {
        if let Some(database) = who.checked_sub(self.operators.len()) {
            return self.heartbeat(database);
        }
        if let Some(request) = self.caller(who).under_way.clone() {
            return self.call(who, request);
        }
        let request = match self.operators[who].order.clone() {
            Some(order) => Request {
                method: "PUT".into(),
                path: "/configuration".into(),
                if_match: Some(order.base.to_string()),
                body: order.body,
            },
            None => Request {
                method: "GET".into(),
                path: "/configuration".into(),
                if_match: None,
                body: Vec::new(),
            },
        };
        self.call(who, request);
    }
}
