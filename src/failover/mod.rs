//! The change of a service's primary, lost or planned, as a value moved on by events and a passed-in time.
use crate::base::ids::{DbTerm, InstanceId, NodeName, Position, ServiceName, Term};
use crate::base::time::Tick;
use crate::config::directory::{Instance, Lifecycle, Role};
use crate::net::rpc::pooler_messages::SuspicionReason;
use crate::net::statement_protocol::ServerDescription;
use crate::state_machine::{Command, PrimaryRecord};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the system asks a database for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatabaseRequest {
    Describe,
    Pause(DbTerm),
    Continue,
    StepDown(DbTerm),
}

/// What came of asking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DatabaseResponse {
    Description(ServerDescription),
    /// Its machine took the connection; the answer may follow.
    Connected,
    /// It answered, so it lives, but not with its state.
    NoDescription,
    /// Refused, closed, or another database lives there.
    Unavailable,
    TimedOut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionResponse {
    Accepted,
    /// The named database is not running.
    NotRunning,
    /// Not taken this time, for certain.
    NotAttempted,
    Unknown,
}

/// One try at something, as its questions and calls carry it: an answer to an earlier try says
/// nothing about a later one. The term tells the offices of one process apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    pub raft_term: Term,
    pub number: u64,
}

impl Attempt {
    /// For the platform: rises with the leader, and with each call of the same leader, so that a
    /// call that was held up on its way is known to be older than one made since.
    pub fn fence(self) -> u64 {
        (self.raft_term.0 << ATTEMPT_BITS) | self.number.min((1 << ATTEMPT_BITS) - 1)
    }
}

const ATTEMPT_BITS: u32 = 20;

/// What each is asked belongs to the attempt that is under way when the step ends.
#[derive(Clone, Debug, PartialEq)]
pub enum FailoverAction {
    SendRequest(InstanceId, DatabaseRequest),
    Promote(InstanceId),
    Propose(Command),
    RevokeLeases(DbTerm),
}

/// A service as the leader sees it when a step is taken.
#[derive(Clone, Debug)]
pub struct ServiceSnapshot {
    pub service: ServiceName,
    /// The term in which this leader was elected.
    pub raft_term: Term,
    pub primary_record: Option<PrimaryRecord>,
    /// Every listed database of the service.
    pub databases: Vec<(InstanceId, Instance)>,
    /// Replicas that left and may hold the only copy of a commit; see `StateMachine::departed`.
    pub departed: BTreeMap<InstanceId, u64>,
    /// Those whose heartbeats came lately.
    pub alive: BTreeSet<InstanceId>,
    pub sync_replicas: u32,
    /// No lease on the present term can be in use any more.
    pub leases_expired: bool,
    /// Every pooler that could have used the present term has given it back and said how far it
    /// saw, or is covered by what was seen later: the furthest position passed on.
    pub released_up_to: Option<Option<Position>>,
}

impl ServiceSnapshot {
    fn database(&self, wanted: &InstanceId) -> Option<&(InstanceId, Instance)> {
        self.databases.iter().find(|(id, _)| id == wanted)
    }
    fn replicas(&self) -> impl Iterator<Item = &(InstanceId, Instance)> {
        let primary = self.primary_record.as_ref().map(|l| l.primary.clone());
        self.databases.iter().filter(move |(id, _)| Some(id) != primary.as_ref())
    }
    /// All that a commit may have been acknowledged for, besides the primary.
    fn holders(&self) -> impl Iterator<Item = &InstanceId> {
        self.replicas().map(|(id, _)| id).chain(self.departed.keys())
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum FailoverState {
    Steady,
    /// A first primary says so itself; its term is being asked for.
    DiscoveringFirstPrimary {
        asked: Tick,
    },
    /// The primary is suspected; its own answer decides.
    Suspected {
        asked: Tick,
        /// Its machine took the connection, so it is not dark, only slow perhaps.
        reached: bool,
    },
    /// Replicas are paused, so that the old primary can commit no more than is seen.
    Fencing {
        /// The replica a planned change goes to; none when the primary was lost.
        target: Option<InstanceId>,
        /// Planned only because the primary is slow: given up at the first obstacle.
        slow: bool,
        since: Tick,
        asked: Tick,
        rows: BTreeMap<InstanceId, ServerDescription>,
    },
    /// The intent is on its way into the log.
    RecordingIntent {
        target: InstanceId,
        since: Tick,
    },
    Promoting {
        target: InstanceId,
        tried: Tick,
        in_flight: bool,
        /// The last call that may have taken effect.
        perhaps: Option<Tick>,
        looked: Tick,
    },
    /// The target leads; the old term's leases are running out.
    AwaitingLeaseExpiry {
        target: InstanceId,
        term: DbTerm,
        recorded: bool,
    },
}

/// So many poolers that are owed answers outweigh one unanswered question.
const SILENT_STILES: usize = 3;

/// A machine in reach takes a connection well within this.
const DARK_MS: u64 = 25;

const ASK_AGAIN_MS: u64 = 400;

/// A database that said goodbye receives nothing more after this; it may repeat the goodbye once.
const ENDED_MS: u64 = 2_000;

/// The replicas have this long to reach the mark; then a rest, a longer one each time.
const COVER_PATIENCE_MS: u64 = 1_500;

const COVER_REST_MS: u64 = 1_000;

const COVER_REST_MOST_MS: u64 = 16_000;

const POST_AGAIN_MS: u64 = 300;

/// A call that got an answer or none at all is not under way any more after this.
const POST_SETTLED_MS: u64 = 2_000;

/// A call has ended by then, with an answer or without.
const POST_UNHEARD_MS: u64 = 3_000;

const LOOK_AGAIN_MS: u64 = 500;

const OWED_AGAIN_MS: u64 = 1_000;

/// An order that was not answered within this is not carried out any more: its connection gave up
/// long before.
const ORDER_ENDED_MS: u64 = 3_000;

/// A slow primary is replaced at most this often.
const SLOW_AGAIN_MS: u64 = 5_000;

/// A database that can work answers a question about itself within this.
const SLOW_ANSWER_MS: u64 = 150;

/// Slow twice within this is slow, not a moment's queue.
const SLOW_TWICE_MS: u64 = 2_000;

/// A second question without an answer within this says that the first was no lost packet.
const UNANSWERED_MS: u64 = 1_500;

/// So many reports of broken connections, from so many poolers, within so long, make a primary
/// unsteady.
const BREAKS_MANY: usize = 5;

const BREAKS_STILES: usize = 3;

const BREAKS_WITHIN_MS: u64 = 1_500;

const BREAKS_KEPT: usize = 32;

const PLANNED_PATIENCE_MS: u64 = 3_000;

const PAUSE_PATIENCE_MS: u64 = 600;

/// For this long the replicas themselves are waited for, before the poolers' word is taken.
const VOUCH_AFTER_MS: u64 = 300;

/// A primary that just proved itself is not doubted again for this long.
const TRUST_MS: u64 = 300;

/// One look at whether the listed replicas have what some that left may have taken along.
#[derive(Clone, Debug)]
struct DepartedReplicaCheck {
    attempt: Attempt,
    departed: BTreeMap<InstanceId, u64>,
    began: Tick,
    asked: Tick,
    /// How far the primary was after they had ended.
    mark: Option<Position>,
    holders: BTreeSet<InstanceId>,
}

impl DepartedReplicaCheck {
    fn ask(&self, snapshot: &ServiceSnapshot) -> Vec<FailoverAction> {
        let living =
            snapshot.replicas().map(|(id, _)| id).filter(|id| snapshot.alive.contains(*id));
        let missing = living.filter(|id| !self.holders.contains(*id));
        missing
            .map(|id| FailoverAction::SendRequest(id.clone(), DatabaseRequest::Describe))
            .collect()
    }
}

/// Orders of one kind that databases have not answered yet.
#[derive(Clone, Debug, Default)]
struct Orders(BTreeMap<InstanceId, (u32, Tick)>);

impl Orders {
    fn sent(&mut self, id: &InstanceId, now: Tick) {
        let (count, asked) = self.0.entry(id.clone()).or_insert((0, now));
        (*count, *asked) = (*count + 1, now);
    }
    fn ended(&mut self, id: &InstanceId) {
        if let Some((count, _)) = self.0.get_mut(id) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(id);
            }
        }
    }
    fn under_way(&self, id: &InstanceId, now: Tick) -> bool {
        self.0.get(id).is_some_and(|(_, asked)| now.since(*asked) < ORDER_ENDED_MS)
    }
}

/// What poolers are told about the leases of a service while its primary changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseStatus {
    /// Leases on the present term are being revoked, and none is granted.
    pub revoking: bool,
    /// With the replicas fenced, every acknowledged commit lies at or before this position.
    pub sealed: Option<Position>,
}

/// Brings one service from primary to primary. Every step is safe to take again.
#[derive(Clone, Debug)]
pub struct Failover {
    pub state: FailoverState,
    /// The attempt under way, or the last one.
    pub attempt: Attempt,
    /// The term whose leases are being taken back; none is granted meanwhile.
    pub revoking: bool,
    /// With the replicas fenced, every acknowledged commit lies at or before this.
    pub sealed: Option<Position>,
    suspects: BTreeSet<NodeName>,
    trusted: Option<Tick>,
    rested: Option<Tick>,
    paused: BTreeSet<InstanceId>,
    /// Let go, but not yet heard to have been: asked again while they live.
    owed: BTreeMap<InstanceId, Attempt>,
    /// Each order travels on a connection of its own, so two may overtake each other: a replica is
    /// not paused while it is being let go, nor taken for let go while it is being paused.
    pausing: Orders,
    letting_go: Orders,
    /// Who left, and since when this leader knows it.
    departed: BTreeMap<InstanceId, (u64, Tick)>,
    cover: Option<DepartedReplicaCheck>,
    cover_due: Tick,
    cover_rest: u64,
    owed_asked: Tick,
    stepped_down: Option<Tick>,
    slow_tried: Option<Tick>,
    slow_before: Option<Tick>,
    unanswered: Option<Tick>,
    /// Broken connections at the primary, as poolers told of them.
    breaks: VecDeque<(Tick, NodeName)>,
}

impl Failover {
    /// Taken up by a new leader. An intent it finds is finished first, with the same target;
    /// replicas that an earlier leader paused are let go.
    pub fn begin(snapshot: &ServiceSnapshot, now: Tick) -> (Self, Vec<FailoverAction>) {
        let mut this = Self {
            state: FailoverState::Steady,
            attempt: Attempt { raft_term: snapshot.raft_term, number: 0 },
            revoking: false,
            sealed: None,
            suspects: BTreeSet::new(),
            trusted: None,
            rested: None,
            paused: BTreeSet::new(),
            owed: BTreeMap::new(),
            pausing: Orders::default(),
            letting_go: Orders::default(),
            departed: BTreeMap::new(),
            cover: None,
            cover_due: now,
            cover_rest: COVER_REST_MS,
            owed_asked: now,
            stepped_down: None,
            slow_tried: None,
            slow_before: None,
            unanswered: None,
            breaks: VecDeque::new(),
        };
        let mut actions = Vec::new();
        match snapshot
            .primary_record
            .as_ref()
            .and_then(|l| l.intent.clone().map(|target| (l.term, target)))
        {
            Some((term, target)) => actions = this.take_up(snapshot, term, target, now),
            None if snapshot.primary_record.is_some() => {
                this.paused = snapshot.replicas().map(|(id, _)| id.clone()).collect();
                actions.extend(this.let_go(now));
            }
            None => {}
        }
        (this, actions)
    }

    /// Finishes an intent that an earlier leader left.
    fn take_up(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        target: InstanceId,
        now: Tick,
    ) -> Vec<FailoverAction> {
        self.revoking = true;
        let mut actions = vec![FailoverAction::RevokeLeases(term)];
        actions.extend(self.pause_newcomers(snapshot, &target, now));
        self.paused.insert(target.clone());
        self.post(target, now, &mut actions);
        actions
    }

    /// The target leads a newer term than is written down.
    fn taking(
        &mut self,
        snapshot: &ServiceSnapshot,
        target: InstanceId,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        self.state = FailoverState::AwaitingLeaseExpiry { target, term, recorded: false };
        let mut actions = Vec::new();
        if let Some(lead) = &snapshot.primary_record {
            if !self.revoking {
                self.revoking = true;
                actions.push(FailoverAction::RevokeLeases(lead.term));
            }
            actions.push(FailoverAction::SendRequest(
                lead.primary.clone(),
                DatabaseRequest::StepDown(term),
            ));
        }
        actions.extend(self.tick(snapshot, now));
        actions
    }

    /// What poolers are told about the leases of the service.
    pub fn lease_status(&self) -> LeaseStatus {
        LeaseStatus { revoking: self.revoking, sealed: self.sealed }
    }

    fn renumber(&mut self) {
        self.attempt.number += 1;
    }

    fn post(&mut self, target: InstanceId, now: Tick, actions: &mut Vec<FailoverAction>) {
        self.renumber();
        actions.push(FailoverAction::Promote(target.clone()));
        self.state = FailoverState::Promoting {
            target,
            tried: now,
            in_flight: true,
            perhaps: None,
            looked: now,
        };
    }

    fn settle(&mut self, now: Tick) {
        self.state = FailoverState::Steady;
        self.revoking = false;
        self.sealed = None;
        self.suspects.clear();
        self.trusted = Some(now);
    }

    /// Lets everything go as it was, while nothing has been posted.
    fn call_off(&mut self, now: Tick) -> Vec<FailoverAction> {
        self.settle(now);
        self.rested = Some(now);
        self.let_go(now)
    }

    fn let_go(&mut self, now: Tick) -> Vec<FailoverAction> {
        let paused = std::mem::take(&mut self.paused);
        self.owed.extend(paused.iter().map(|id| (id.clone(), self.attempt)));
        self.owed_asked = now;
        self.ask_to_go_on(paused.into_iter().collect(), now)
    }
    fn ask_to_go_on(&mut self, which: Vec<InstanceId>, now: Tick) -> Vec<FailoverAction> {
        which.iter().for_each(|id| self.letting_go.sent(id, now));
        which
            .into_iter()
            .map(|id| FailoverAction::SendRequest(id, DatabaseRequest::Continue))
            .collect()
    }

    pub fn report_suspicion(
        &mut self,
        snapshot: &ServiceSnapshot,
        who: &NodeName,
        of: &InstanceId,
        why: SuspicionReason,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(lead) = &snapshot.primary_record else {
            return Vec::new();
        };
        if lead.primary != *of {
            return Vec::new();
        }
        if why == SuspicionReason::ConnectionsBroken {
            self.breaks.push_back((now, who.clone()));
            if self.breaks.len() > BREAKS_KEPT {
                self.breaks.pop_front();
            }
        }
        if self.trusted.is_some_and(|t| now.since(t) < TRUST_MS) {
            return Vec::new();
        }
        if why == SuspicionReason::NoResponse {
            self.suspects.insert(who.clone());
        }
        let planned = matches!(self.state, FailoverState::Fencing { target: Some(_), .. });
        match self.state {
            FailoverState::Suspected { .. } => self.tick(snapshot, now),
            FailoverState::Steady => self.doubt(&lead.primary, now),
            _ if planned => {
                vec![FailoverAction::SendRequest(lead.primary.clone(), DatabaseRequest::Describe)]
            }
            _ => Vec::new(),
        }
    }

    fn doubt(&mut self, primary: &InstanceId, now: Tick) -> Vec<FailoverAction> {
        self.renumber();
        self.state = FailoverState::Suspected { asked: now, reached: false };
        vec![FailoverAction::SendRequest(primary.clone(), DatabaseRequest::Describe)]
    }

    fn fence(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> Vec<FailoverAction> {
        let Some(lead) = &snapshot.primary_record else {
            return Vec::new();
        };
        // The doubt before it asked for no pause, and its question still counts.
        if !matches!(self.state, FailoverState::Suspected { .. }) {
            self.renumber();
        }
        self.revoking = true;
        self.suspects.clear();
        self.state = FailoverState::Fencing {
            target: None,
            slow: false,
            since: now,
            asked: now,
            rows: BTreeMap::new(),
        };
        let mut actions = vec![FailoverAction::RevokeLeases(lead.term)];
        actions.extend(self.pause(
            snapshot.replicas().map(|(id, _)| id.clone()).collect(),
            lead.term,
            now,
        ));
        actions
    }

    /// One that is still being let go is paused once that has ended.
    fn pause(
        &mut self,
        mut which: Vec<InstanceId>,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        which.retain(|id| !self.letting_go.under_way(id, now));
        which.iter().for_each(|id| self.pausing.sent(id, now));
        self.paused.extend(which.iter().cloned());
        self.owed.retain(|id, _| !which.contains(id));
        which
            .into_iter()
            .map(|id| FailoverAction::SendRequest(id, DatabaseRequest::Pause(DbTerm(term.0 + 1))))
            .collect()
    }

    /// Replicas that came after the others were paused: a commit that only they receive would be
    /// acknowledged, and missing at the target.
    fn pause_newcomers(
        &mut self,
        snapshot: &ServiceSnapshot,
        target: &InstanceId,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let Some(lead) = &snapshot.primary_record else { return Vec::new() };
        let new = |id: &&InstanceId| *id != target && !self.paused.contains(*id);
        let newcomers = snapshot.replicas().map(|(id, _)| id).filter(new).cloned().collect();
        self.pause(newcomers, lead.term, now)
    }

    /// The primary was seen slow. Seen so twice in a row it is left, if a replica can take over
    /// at once and the last try was long ago.
    fn leave_slow(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let again = self.slow_before.is_some_and(|t| now.since(t) < SLOW_TWICE_MS);
        self.slow_before = Some(now);
        if again { self.leave(snapshot, term, now) } else { Vec::new() }
    }
    /// It answers for itself, but breaks connections of many poolers again and again: each break
    /// may cost an answer, and a replica may do better.
    fn unsteady(&self, now: Tick) -> bool {
        let recent = || self.breaks.iter().filter(|(at, _)| now.since(*at) < BREAKS_WITHIN_MS);
        recent().count() >= BREAKS_MANY
            && recent().map(|(_, who)| who).collect::<BTreeSet<_>>().len() >= BREAKS_STILES
    }
    fn leave(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        now: Tick,
    ) -> Vec<FailoverAction> {
        if self.slow_tried.is_some_and(|t| now.since(t) < SLOW_AGAIN_MS) {
            return Vec::new();
        }
        self.slow_tried = Some(now);
        self.plan(snapshot, term, true, now)
    }

    /// Begins a planned change: all replicas but the target are paused, so that from then on every
    /// acknowledged commit is on the target, and the primary serves until the promote.
    fn plan(
        &mut self,
        snapshot: &ServiceSnapshot,
        term: DbTerm,
        slow: bool,
        now: Tick,
    ) -> Vec<FailoverAction> {
        // What one that left may have taken along no pause brings out: first others must have it.
        if !snapshot.departed.is_empty() {
            return Vec::new();
        }
        let Some(target) = Self::successor(snapshot) else { return Vec::new() };
        let others: Vec<_> =
            snapshot.replicas().map(|(id, _)| id.clone()).filter(|id| *id != target).collect();
        self.renumber();
        let mut actions = Vec::new();
        if others.is_empty() {
            actions.push(FailoverAction::SendRequest(target.clone(), DatabaseRequest::Describe));
        }
        actions.extend(self.pause(others, term, now));
        self.state = FailoverState::Fencing {
            target: Some(target),
            slow,
            since: now,
            asked: now,
            rows: BTreeMap::new(),
        };
        actions
    }

    /// A replica that left took its log along, and was acknowledged for until it ended. What it had
    /// is safe once enough listed ones have all that the primary had after that.
    fn cover(
        &mut self,
        snapshot: &ServiceSnapshot,
        primary: &InstanceId,
        now: Tick,
    ) -> Vec<FailoverAction> {
        self.departed.retain(|id, (last, _)| snapshot.departed.get(id) == Some(last));
        for (id, last) in &snapshot.departed {
            self.departed.entry(id.clone()).or_insert((*last, now));
        }
        if self.departed.is_empty() {
            (self.cover, self.cover_rest) = (None, COVER_REST_MS);
            return Vec::new();
        }
        if let Some(cover) = &mut self.cover {
            if now.since(cover.began) > COVER_PATIENCE_MS {
                self.cover = None;
                self.cover_due = now.plus(self.cover_rest);
                self.cover_rest = (2 * self.cover_rest).min(COVER_REST_MOST_MS);
            } else if cover.mark.is_some() && now.since(cover.asked) > ASK_AGAIN_MS {
                cover.asked = now;
                return cover.ask(snapshot);
            }
            return Vec::new();
        }
        let ended = self.departed.iter().filter(|(_, (_, at))| now.since(*at) >= ENDED_MS);
        let departed: BTreeMap<_, _> = ended.map(|(id, (last, _))| (id.clone(), *last)).collect();
        if departed.is_empty() || now < self.cover_due {
            return Vec::new();
        }
        self.renumber();
        let (attempt, holders) = (self.attempt, BTreeSet::new());
        let cover =
            DepartedReplicaCheck { attempt, departed, began: now, asked: now, mark: None, holders };
        self.cover = Some(cover);
        vec![FailoverAction::SendRequest(primary.clone(), DatabaseRequest::Describe)]
    }
    fn looked(
        &mut self,
        snapshot: &ServiceSnapshot,
        of: &InstanceId,
        row: &ServerDescription,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let (Some(cover), Some(lead)) = (&mut self.cover, &snapshot.primary_record) else {
            return Vec::new();
        };
        if lead.primary == *of {
            if cover.mark.is_some() || !row.primary || row.term != lead.term {
                return Vec::new();
            }
            (cover.mark, cover.asked) = (Some(row.received), now);
            return cover.ask(snapshot);
        }
        if cover.mark.is_some_and(|mark| row.received >= mark) {
            cover.holders.insert(of.clone());
        }
        let holding = snapshot.replicas().filter(|(id, _)| cover.holders.contains(id)).count();
        if holding < (snapshot.sync_replicas as usize).max(1) {
            return Vec::new();
        }
        let (service, departed) = (snapshot.service.clone(), std::mem::take(&mut cover.departed));
        self.cover = None;
        self.cover_due = now.plus(COVER_REST_MS);
        vec![FailoverAction::Propose(Command::ForgetDeparted { service, departed })]
    }

    /// The replica a planned change should go to, so that one promote is enough.
    fn successor(snapshot: &ServiceSnapshot) -> Option<InstanceId> {
        snapshot
            .replicas()
            .filter(|(id, i)| {
                i.lifecycle_state == Lifecycle::Available && snapshot.alive.contains(id)
            })
            .max_by_key(|(id, i)| {
                (i.revision.len(), i.revision.clone(), std::cmp::Reverse(id.clone()))
            })
            .map(|(id, _)| id.clone())
    }

    pub fn handle_response(
        &mut self,
        snapshot: &ServiceSnapshot,
        attempt: Attempt,
        of: &InstanceId,
        ask: DatabaseRequest,
        told: &DatabaseResponse,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let lead = snapshot.primary_record.clone();
        // Unanswered it may still be carried out; the time says when not.
        match (ask, told) {
            (_, DatabaseResponse::Connected | DatabaseResponse::TimedOut) => {}
            _ if attempt.raft_term != self.attempt.raft_term => {}
            (DatabaseRequest::Pause(_), _) => self.pausing.ended(of),
            (DatabaseRequest::Continue, _) => self.letting_go.ended(of),
            _ => {}
        }
        if let (DatabaseRequest::Describe, Some(cover)) = (ask, &self.cover)
            && cover.attempt == attempt
        {
            return match told {
                DatabaseResponse::Description(row) => self.looked(snapshot, of, row, now),
                _ => Vec::new(),
            };
        }
        let late = match (&self.state, ask) {
            // Whoever leads a newer term does so whenever it was asked.
            (FailoverState::Promoting { .. }, DatabaseRequest::Describe) => false,
            (_, DatabaseRequest::Pause(_) | DatabaseRequest::Describe) => attempt != self.attempt,
            (_, DatabaseRequest::Continue | DatabaseRequest::StepDown(_)) => false,
        };
        if late {
            return Vec::new();
        }
        match (&mut self.state, ask, told) {
            (
                FailoverState::Suspected { reached, .. },
                DatabaseRequest::Describe,
                DatabaseResponse::Connected,
            ) => {
                *reached = true;
                Vec::new()
            }
            (_, _, DatabaseResponse::Connected) => Vec::new(),
            (_, DatabaseRequest::Continue, told) => {
                if matches!(told, DatabaseResponse::Description(_))
                    && self.owed.get(of).is_some_and(|since| attempt >= *since)
                    && !self.pausing.under_way(of, now)
                {
                    self.owed.remove(of);
                }
                // A pause may have waited for this.
                match (&self.state, lead) {
                    (FailoverState::Fencing { target, rows, .. }, Some(lead))
                        if target.as_ref() != Some(of)
                            && !rows.contains_key(of)
                            && !self.pausing.under_way(of, now)
                            && snapshot.replicas().any(|(id, _)| id == of) =>
                    {
                        self.pause(vec![of.clone()], lead.term, now)
                    }
                    _ => Vec::new(),
                }
            }
            (
                FailoverState::DiscoveringFirstPrimary { .. },
                DatabaseRequest::Describe,
                DatabaseResponse::Description(row),
            ) if lead.is_none() => {
                self.state = FailoverState::Steady;
                if !row.primary {
                    return Vec::new();
                }
                let (service, primary) = (snapshot.service.clone(), of.clone());
                vec![FailoverAction::Propose(Command::SetPrimary {
                    service,
                    term: row.term,
                    primary,
                })]
            }
            (FailoverState::DiscoveringFirstPrimary { .. }, ..) => {
                self.state = FailoverState::Steady;
                Vec::new()
            }
            (
                FailoverState::Suspected { .. } | FailoverState::Fencing { .. },
                DatabaseRequest::Describe,
                told,
            ) if lead.as_ref().is_some_and(|l| l.primary == *of) => {
                let leads = match told {
                    DatabaseResponse::Description(row) => {
                        row.primary && lead.as_ref().is_some_and(|l| l.term == row.term)
                    }
                    DatabaseResponse::NoDescription | DatabaseResponse::Connected => true,
                    DatabaseResponse::Unavailable | DatabaseResponse::TimedOut => false,
                };
                match (&self.state, leads) {
                    (FailoverState::Suspected { asked, .. }, true) => {
                        // Its own answer was slow, or it turned even this question away.
                        let slow = now.since(*asked) > SLOW_ANSWER_MS
                            || *told == DatabaseResponse::NoDescription;
                        self.settle(now);
                        match lead {
                            Some(lead) if slow => self.leave_slow(snapshot, lead.term, now),
                            Some(lead) if self.unsteady(now) => {
                                self.leave(snapshot, lead.term, now)
                            }
                            _ => Vec::new(),
                        }
                    }
                    // One question without an answer may be a lost packet: it is asked once more.
                    (FailoverState::Suspected { .. }, false)
                        if *told == DatabaseResponse::TimedOut
                            && self.suspects.len() < SILENT_STILES
                            && self.unanswered.is_none_or(|t| now.since(t) > UNANSWERED_MS) =>
                    {
                        self.unanswered = Some(now);
                        self.state = FailoverState::Suspected { asked: now, reached: false };
                        vec![FailoverAction::SendRequest(of.clone(), DatabaseRequest::Describe)]
                    }
                    // Nothing was posted yet, and the alarm was false.
                    (FailoverState::Fencing { target: None, .. }, true) => self.call_off(now),
                    (FailoverState::Fencing { target: None, .. }, false) | (_, true) => Vec::new(),
                    _ => self.fence(snapshot, now),
                }
            }
            // No pause holds one that leads. Of the present term it is the primary itself.
            (
                FailoverState::Fencing { .. },
                DatabaseRequest::Pause(_) | DatabaseRequest::Describe,
                DatabaseResponse::Description(row),
            ) if row.primary => {
                let (service, primary) = (snapshot.service.clone(), of.clone());
                match lead {
                    Some(PrimaryRecord { term, .. }) if row.term == term => {
                        vec![FailoverAction::Propose(Command::PrimaryReturned {
                            service,
                            term,
                            primary,
                        })]
                    }
                    // An earlier leader's call has taken effect.
                    Some(PrimaryRecord { term, .. }) if row.term > term => {
                        self.taking(snapshot, primary, row.term, now)
                    }
                    Some(PrimaryRecord { term, .. }) => {
                        vec![FailoverAction::SendRequest(primary, DatabaseRequest::StepDown(term))]
                    }
                    None => Vec::new(),
                }
            }
            (
                FailoverState::Fencing { rows, .. },
                DatabaseRequest::Pause(_) | DatabaseRequest::Describe,
                DatabaseResponse::Description(row),
            ) => {
                rows.insert(of.clone(), row.clone());
                let actions = self.choose(snapshot, now);
                match &self.state {
                    // The others are paused: now see how far the target is.
                    FailoverState::Fencing { target: Some(target), rows, .. }
                        if !rows.contains_key(target)
                            && snapshot
                                .replicas()
                                .all(|(id, _)| id == target || rows.contains_key(id)) =>
                    {
                        vec![FailoverAction::SendRequest(target.clone(), DatabaseRequest::Describe)]
                    }
                    _ => actions,
                }
            }
            (
                FailoverState::Promoting { target, .. },
                DatabaseRequest::Describe,
                DatabaseResponse::Description(row),
            ) if of == target
                && row.primary
                && lead.as_ref().is_some_and(|l| l.term < row.term) =>
            {
                self.taking(snapshot, of.clone(), row.term, now)
            }
            _ => Vec::new(),
        }
    }

    /// Whether the paused replicas are enough, and which one then takes over.
    fn choose(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> Vec<FailoverAction> {
        let FailoverState::Fencing { target, rows, since, .. } = &self.state else {
            return Vec::new();
        };
        let Some(lead) = &snapshot.primary_record else {
            return Vec::new();
        };
        let furthest = rows.values().map(|r| r.received).max();
        let chosen = match target {
            Some(target) => {
                let fenced = snapshot.holders().all(|id| id == target || rows.contains_key(id));
                // Commits that no paused replica can vouch for must have been given back.
                let safe = match (fenced, &snapshot.released_up_to) {
                    (true, _) if snapshot.sync_replicas > 0 => true,
                    (_, Some(highest)) => {
                        rows.get(target).is_some_and(|r| highest.is_none_or(|h| r.received >= h))
                    }
                    _ => false,
                };
                let whole = rows.get(target).is_some_and(|r| Some(r.received) >= furthest);
                (safe && whole).then(|| target.clone())
            }
            None => {
                let holders = snapshot.holders().count();
                let needed = (holders + 1).saturating_sub(snapshot.sync_replicas as usize).max(1);
                // One that was paused and left since has said all that it took along.
                let answered = snapshot.holders().filter(|id| rows.contains_key(*id)).count();
                let fenced = snapshot.sync_replicas > 0 && answered >= needed;
                let patient = now.since(*since) < VOUCH_AFTER_MS;
                let vouched = !patient
                    && answered > 0
                    && snapshot.released_up_to.is_some_and(|h| h <= furthest);
                let holds_all = |received: Position| {
                    Some(received) == furthest
                        || snapshot.released_up_to.is_some_and(|highest| highest <= Some(received))
                };
                let best = snapshot
                    .replicas()
                    .filter_map(|(id, i)| Some((id, i, rows.get(id)?.received)))
                    .filter(|(_, _, received)| holds_all(*received))
                    .max_by_key(|(_, i, received)| {
                        let available = i.lifecycle_state == Lifecycle::Available;
                        (available, *received, i.revision.len(), i.revision.clone())
                    });
                match best {
                    // One that is about to end is taken only if there is no other.
                    Some((_, i, _)) if patient && i.lifecycle_state == Lifecycle::Draining => None,
                    Some((id, ..)) if fenced || vouched => {
                        self.sealed = furthest;
                        Some(id.clone())
                    }
                    _ => None,
                }
            }
        };
        let Some(target) = chosen else {
            return Vec::new();
        };
        self.state = FailoverState::RecordingIntent { target: target.clone(), since: now };
        let (service, term) = (snapshot.service.clone(), lead.term);
        vec![FailoverAction::Propose(Command::BeginFailover { service, term, target })]
    }

    pub fn handle_promotion_response(
        &mut self,
        snapshot: &ServiceSnapshot,
        attempt: Attempt,
        of: &InstanceId,
        posted: PromotionResponse,
        now: Tick,
    ) -> Vec<FailoverAction> {
        let FailoverState::Promoting { target, in_flight, perhaps, tried, .. } = &mut self.state
        else {
            return Vec::new();
        };
        if of != target || attempt != self.attempt {
            return Vec::new();
        }
        *in_flight = false;
        match posted {
            PromotionResponse::Accepted => {
                *perhaps = Some(now);
                // Accepted: not to be repeated unless the target stays silent for long.
                *tried = now.plus(POST_SETTLED_MS);
            }
            PromotionResponse::Unknown => *perhaps = Some(now),
            PromotionResponse::NotAttempted => {}
            PromotionResponse::NotRunning => {
                // One that has left for good will not lead any more, whatever is under way.
                let left = snapshot.database(target).is_none();
                if left || perhaps.is_none_or(|t| now.since(t) > POST_SETTLED_MS) {
                    let (service, target) = (snapshot.service.clone(), target.clone());
                    return vec![FailoverAction::Propose(Command::AbandonFailover {
                        service,
                        target,
                    })];
                }
            }
        }
        Vec::new()
    }

    /// Goes on from what is committed of this service: the stage may wait for just that, and the moment
    /// of its commit may have passed while this leader was not certain of leading.
    fn agreed(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> Option<Vec<FailoverAction>> {
        let lead = snapshot.primary_record.as_ref()?;
        match &self.state {
            FailoverState::RecordingIntent { target, .. }
                if lead.intent.as_ref() == Some(target) =>
            {
                let mut actions = Vec::new();
                self.post(target.clone(), now, &mut actions);
                Some(actions)
            }
            // Another leader's, which came into force after this one began.
            FailoverState::Steady
            | FailoverState::Suspected { .. }
            | FailoverState::Fencing { .. }
            | FailoverState::RecordingIntent { .. }
                if lead.intent.is_some() =>
            {
                let target = lead.intent.clone()?;
                Some(self.take_up(snapshot, lead.term, target, now))
            }
            FailoverState::Promoting { target, .. } if lead.intent.as_ref() != Some(target) => {
                Some(self.fence(snapshot, now))
            }
            FailoverState::AwaitingLeaseExpiry { term, .. } if lead.term >= *term => {
                self.paused.remove(&lead.primary);
                let actions = self.call_off(now);
                self.rested = None;
                Some(actions)
            }
            _ => None,
        }
    }

    /// A heartbeat came in; `role` is how the database sees itself.
    pub fn handle_heartbeat(
        &mut self,
        snapshot: &ServiceSnapshot,
        of: &InstanceId,
        role: Role,
        now: Tick,
    ) -> Vec<FailoverAction> {
        match (&mut self.state, &snapshot.primary_record) {
            (FailoverState::Steady, None) if role == Role::Primary => {
                self.state = FailoverState::DiscoveringFirstPrimary { asked: now };
                vec![FailoverAction::SendRequest(of.clone(), DatabaseRequest::Describe)]
            }
            (FailoverState::Steady, Some(lead))
                if role == Role::Primary
                    && lead.primary != *of
                    && self.stepped_down.is_none_or(|t| now.since(t) > 1_000) =>
            {
                self.stepped_down = Some(now);
                vec![FailoverAction::SendRequest(of.clone(), DatabaseRequest::StepDown(lead.term))]
            }
            (FailoverState::Promoting { target, looked, .. }, _)
                if target == of && role == Role::Primary =>
            {
                *looked = now;
                vec![FailoverAction::SendRequest(of.clone(), DatabaseRequest::Describe)]
            }
            _ => Vec::new(),
        }
    }

    pub fn tick(&mut self, snapshot: &ServiceSnapshot, now: Tick) -> Vec<FailoverAction> {
        let Some(lead) = &snapshot.primary_record else {
            if let FailoverState::DiscoveringFirstPrimary { asked } = self.state
                && now.since(asked) > 2 * ASK_AGAIN_MS
            {
                self.state = FailoverState::Steady;
            }
            return Vec::new();
        };
        if let Some(actions) = self.agreed(snapshot, now) {
            return actions;
        }
        if let FailoverState::Fencing { target: Some(target), .. }
        | FailoverState::RecordingIntent { target, .. }
        | FailoverState::Promoting { target, .. } = &self.state
        {
            let actions = self.pause_newcomers(snapshot, &target.clone(), now);
            if !actions.is_empty() {
                return actions;
            }
        }
        let listed = snapshot.database(&lead.primary);
        match &mut self.state {
            FailoverState::Steady => {
                if snapshot.databases.is_empty() {
                    return Vec::new();
                }
                let Some((id, primary)) = listed else {
                    return self.fence(snapshot, now);
                };
                if !self.owed.is_empty() && now.since(self.owed_asked) > OWED_AGAIN_MS {
                    self.owed_asked = now;
                    self.owed.retain(|id, _| snapshot.replicas().any(|(replica, _)| replica == id));
                    let living = self.owed.keys().filter(|id| snapshot.alive.contains(*id));
                    return self.ask_to_go_on(living.cloned().collect(), now);
                }
                let looks = self.cover(snapshot, id, now);
                if !looks.is_empty() {
                    return looks;
                }
                let rested = self.rested.is_none_or(|t| now.since(t) > 1_000);
                let rested = rested && snapshot.departed.is_empty();
                if primary.lifecycle_state == Lifecycle::Draining && rested {
                    return self.plan(snapshot, lead.term, false, now);
                }
                if !snapshot.alive.contains(id) && self.trusted.is_none_or(|t| now.since(t) > 2_000)
                {
                    return self.doubt(id, now);
                }
            }
            FailoverState::DiscoveringFirstPrimary { .. } => self.state = FailoverState::Steady,
            // Several poolers are owed answers. If its machine does not even take a connection, it
            // is lost; if it does, it is slow, and a replica may do better while it still serves.
            FailoverState::Suspected { asked, reached }
                if self.suspects.len() >= SILENT_STILES && now.since(*asked) >= DARK_MS =>
            {
                if !*reached {
                    return self.fence(snapshot, now);
                }
                self.slow_before = Some(now);
                return self.leave_slow(snapshot, lead.term, now);
            }
            FailoverState::Suspected { asked, .. } if now.since(*asked) > 4 * ASK_AGAIN_MS => {
                self.state = FailoverState::Steady;
            }
            FailoverState::Fencing { target, slow, since, asked, rows } => {
                let waited = now.since(*since);
                if let Some(target) = target {
                    let target = target.clone();
                    if waited > if *slow { PAUSE_PATIENCE_MS } else { PLANNED_PATIENCE_MS } {
                        return self.call_off(now);
                    }
                    let others = snapshot
                        .replicas()
                        .map(|(id, _)| id.clone())
                        .filter(|id| *id != target && !rows.contains_key(id))
                        .collect::<Vec<_>>();
                    let stuck = !others.is_empty() && waited > PAUSE_PATIENCE_MS;
                    if (others.is_empty() || snapshot.released_up_to.is_some())
                        && now.since(*asked) >= 100
                    {
                        *asked = now;
                        return vec![FailoverAction::SendRequest(
                            target,
                            DatabaseRequest::Describe,
                        )];
                    }
                    if stuck && !*slow && !self.revoking {
                        self.revoking = true;
                        return vec![FailoverAction::RevokeLeases(lead.term)];
                    }
                    return Vec::new();
                }
                let mut actions = Vec::new();
                if now.since(*asked) > ASK_AGAIN_MS {
                    *asked = now;
                    let missing: Vec<_> = snapshot
                        .replicas()
                        .map(|(id, _)| id.clone())
                        .filter(|id| !rows.contains_key(id))
                        .collect();
                    actions = self.pause(missing, lead.term, now);
                    if waited > 2 * ASK_AGAIN_MS && listed.is_some() {
                        actions.push(FailoverAction::SendRequest(
                            lead.primary.clone(),
                            DatabaseRequest::Describe,
                        ));
                    }
                }
                actions.extend(self.choose(snapshot, now));
                return actions;
            }
            FailoverState::RecordingIntent { target, since } if now.since(*since) > 1_000 => {
                // Proposed but not seen committed: the same proposal again changes nothing twice.
                *since = now;
                let (service, term, target) = (snapshot.service.clone(), lead.term, target.clone());
                return vec![FailoverAction::Propose(Command::BeginFailover {
                    service,
                    term,
                    target,
                })];
            }
            FailoverState::Promoting { target, tried, in_flight, looked, perhaps } => {
                let mut actions = Vec::new();
                // Having left in the meantime, the target is asked for again at once: the refusal
                // settles it.
                let left = snapshot.database(target).is_none();
                let again = now >= tried.plus(POST_AGAIN_MS);
                // What came of a call may have gone by while this leader was not certain of leading.
                let unheard = *in_flight && now.since(*tried) > POST_UNHEARD_MS;
                if unheard {
                    *perhaps = Some(now);
                }
                if (!*in_flight && (again || (left && *tried > now))) || unheard {
                    *in_flight = true;
                    *tried = now;
                    self.attempt.number += 1;
                    actions.push(FailoverAction::Promote(target.clone()));
                }
                if perhaps.is_some_and(|t| now.since(t) > LOOK_AGAIN_MS)
                    && now.since(*looked) > LOOK_AGAIN_MS
                {
                    *looked = now;
                    actions.push(FailoverAction::SendRequest(
                        target.clone(),
                        DatabaseRequest::Describe,
                    ));
                }
                return actions;
            }
            FailoverState::AwaitingLeaseExpiry { target, term, recorded }
                if snapshot.leases_expired && !*recorded =>
            {
                *recorded = true;
                let (service, term, primary) = (snapshot.service.clone(), *term, target.clone());
                return vec![FailoverAction::Propose(Command::SetPrimary {
                    service,
                    term,
                    primary,
                })];
            }
            _ => {}
        }
        Vec::new()
    }
}

impl FailoverState {
    /// The text for the status page and the log; operators search for it.
    pub(crate) fn status_text(&self) -> &'static str {
        match self {
            FailoverState::Steady => "steady",
            FailoverState::DiscoveringFirstPrimary { .. } => "asking the first primary",
            FailoverState::Suspected { .. } => "doubting the primary",
            FailoverState::Fencing { target: Some(_), .. } => "fencing for a planned change",
            FailoverState::Fencing { target: None, .. } => "fencing a lost primary",
            FailoverState::RecordingIntent { .. } => "writing down the intent",
            FailoverState::Promoting { .. } => "promoting",
            FailoverState::AwaitingLeaseExpiry { .. } => "waiting for old leases",
        }
    }
}
