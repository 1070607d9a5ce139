//! Leases, connection quotas and parts: each row is a rule by which no two poolers get the same.
use silvertack::base::ids::{
    DbTerm, InstanceId, LogIndex, MemberId, NodeName, Position, Revision, ServiceName, Term,
};
use silvertack::base::time::Tick;
use silvertack::config::settings::Settings;
use silvertack::controller::core::Controller;
use silvertack::controller::effects::{Effects, Input};
use silvertack::controller::leader_lease::{LeaderLease, SharedLeaderLease};
use silvertack::failover::{Attempt, DatabaseRequest, DatabaseResponse, PromotionResponse};
use silvertack::leases::lease_table::{CoverageRule, LEASE_MS, LeaseTable};
use silvertack::leases::passed_on::UnreportedCommits;
use silvertack::leases::subset_assignments::SubsetAssignments;
use silvertack::leases::watermarks::Watermark;
use silvertack::net::http::Request;
use silvertack::net::rpc::pooler_messages::{
    Handover, LeaseGrant, ObservedPosition, PositionBound, PrimaryStatus, SuspicionReason,
    ToController, ToPooler,
};
use silvertack::net::rpc::raft_messages::{
    LogPosition, Member, RaftMessage, RaftMessageKind, Snapshot,
};
use silvertack::net::rpc::{Frame, LAYOUT, PARTS_LAYOUT, receive};
use silvertack::net::statement_protocol::ServerDescription;
use silvertack::raft::node::RaftNode;
use silvertack::raft::state::{PersistentState, UnsavedChanges};
use silvertack::raft::storage::WriteBatch;
use silvertack::state_machine::{Command, CommandOutcome, PrimaryRecord, StateMachine};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;

/// From the grant of a lease until nobody can use it.
const LEASE_ENDS_MS: u64 = LEASE_MS + 50;
/// So long a lost pooler's connections are counted, and its last word is waited for.
const QUOTA_HELD_MS: u64 = 4_500;
const WORD_AWAITED_MS: u64 = 10_000;

const START: Tick = Tick(100_000);
const TERM: DbTerm = DbTerm(2);

fn at(number: u64) -> Position {
    Position { term: DbTerm(1), number }
}
fn service() -> ServiceName {
    "s".into()
}
fn node(number: u64) -> NodeName {
    NodeName(format!("n{number}"))
}
fn grant(standing: PrimaryStatus, share: u32) -> LeaseGrant {
    LeaseGrant { service: service(), status: standing, quota: share }
}
fn led(term: u64) -> PrimaryStatus {
    PrimaryStatus::Active { term: DbTerm(term), primary: "a".into() }
}
/// A book that has long been led with, and so many poolers on connections 0, 1 and so on.
fn book(poolers: u64) -> LeaseTable {
    let mut book = LeaseTable::new(Tick(0));
    for n in 0..poolers {
        book.register(&node(n), 1, n, START);
    }
    book
}
/// A renewal is answered with this.
fn granted(book: &mut LeaseTable, to: u64, standing: PrimaryStatus, share: u32, now: Tick) {
    book.grant(&node(to), grant(standing, share));
    book.renew(&node(to), now);
}
/// A pooler asks for its quota of `total` and is told it.
fn quota(book: &mut LeaseTable, of: u64, total: u32, now: Tick) -> u32 {
    let share = book.quota(&node(of), &service(), total, now);
    granted(book, of, PrimaryStatus::Absent, share, now);
    share
}

/// The lease that is asked about is of term 2.
#[test]
fn a_lease_may_be_in_use_until_its_slack_is_over_or_it_was_given_back() {
    // (what was granted, what happens then, ms after the grant, whether the lease is gone)
    let cases = [
        ("not ended", 2, "nothing", LEASE_MS, false),
        ("within the slack", 2, "nothing", LEASE_ENDS_MS, false),
        ("after the slack", 2, "nothing", LEASE_ENDS_MS + 1, true),
        ("of an older term, not ended", 1, "nothing", 10, false),
        ("of an older term, within the slack", 1, "nothing", LEASE_ENDS_MS, false),
        ("of a newer term", 3, "nothing", 10, true),
        ("revoked, not ended", 2, "revoked", LEASE_ENDS_MS, false),
        ("revoked, of an older term", 1, "revoked", LEASE_ENDS_MS, false),
        ("revoked, after the slack", 2, "revoked", LEASE_ENDS_MS + 1, true),
        ("given back", 2, "term 2 given back", 10, true),
        ("an older term given back", 2, "term 1 given back", 10, false),
        ("an older term given back, slack", 2, "term 1 given back", LEASE_ENDS_MS, false),
        ("an older term given back, over", 2, "term 1 given back", LEASE_ENDS_MS + 1, true),
        ("a newer term given back", 2, "term 3 given back", 10, true),
        ("lost, within the slack", 2, "lost", LEASE_ENDS_MS, false),
        ("goodbye said, not given back", 2, "goodbye", LEASE_ENDS_MS, false),
        ("goodbye said, after the slack", 2, "goodbye", LEASE_ENDS_MS + 1, true),
        ("given back, then goodbye said", 2, "given back, goodbye", 10, true),
        ("revoked, then goodbye said", 2, "revoked, goodbye", LEASE_ENDS_MS, false),
    ];
    for (what, term, then, after, gone) in cases {
        let mut book = book(1);
        granted(&mut book, 0, led(term), 8, START);
        let revoke =
            |book: &mut LeaseTable| granted(book, 0, PrimaryStatus::Absent, 8, START.plus(5));
        let give_back = |book: &mut LeaseTable, term| {
            book.acknowledge_revocation(&node(0), &service(), DbTerm(term), Some(at(5)));
        };
        match then {
            "revoked" => revoke(&mut book),
            "term 1 given back" => give_back(&mut book, 1),
            "term 2 given back" => give_back(&mut book, 2),
            "term 3 given back" => give_back(&mut book, 3),
            "lost" => drop(book.disconnect(0, START.plus(5))),
            "goodbye" => book.release_all(&node(0)),
            "given back, goodbye" => {
                give_back(&mut book, 2);
                book.release_all(&node(0));
            }
            "revoked, goodbye" => {
                revoke(&mut book);
                book.release_all(&node(0));
            }
            _ => assert_eq!(then, "nothing"),
        }
        assert_eq!(book.all_released(&service(), TERM, START.plus(after)), gone, "{what}");
    }
}

#[test]
fn a_new_leader_waits_for_leases_of_which_it_may_not_know() {
    let book = LeaseTable::new(START);
    for (after, gone) in [(0, false), (LEASE_ENDS_MS, false), (LEASE_ENDS_MS + 1, true)] {
        assert_eq!(book.all_released(&service(), TERM, START.plus(after)), gone, "after {after}");
    }
}

/// How far commits of term 2 were passed on at most; none if that is not certain.
fn known(book: &LeaseTable, seen: Option<Watermark>, now: Tick) -> Option<Option<Position>> {
    let told = book.passed_on(&service(), TERM, None, seen, CoverageRule::Watermark, now);
    match told.unreported {
        UnreportedCommits::Unknown => None,
        UnreportedCommits::Nothing => Some(told.reported),
        UnreportedCommits::UpTo(position) => Some(told.reported.max(Some(position))),
    }
}

/// The watermark of a revoked term is certain once every pooler has said it or is covered.
#[test]
fn the_watermark_needs_a_word_on_this_term_or_a_sight_after_the_lease() {
    let watermark = |as_of, number| Some(Watermark { as_of, position: at(number) });
    let seen = |after: u64| watermark(START.plus(after), 9);
    // (what becomes of the pooler, what was seen, what is certain)
    let cases = [
        ("gave this term back", None, None),
        ("gave this term back", watermark(Tick(LEASE_ENDS_MS), 3), Some(Some(at(5)))),
        ("gave an older term back", watermark(Tick(LEASE_ENDS_MS), 3), None),
        ("gave an older term back", seen(LEASE_ENDS_MS - 1), None),
        ("gave an older term back", seen(LEASE_ENDS_MS), Some(Some(at(9)))),
        ("gave it back and said goodbye", watermark(Tick(LEASE_ENDS_MS), 3), Some(Some(at(5)))),
        ("gave it back and started anew", watermark(Tick(LEASE_ENDS_MS), 3), Some(Some(at(5)))),
        ("said goodbye", None, None),
        ("said goodbye", watermark(Tick(LEASE_ENDS_MS), 3), None),
        ("said goodbye", seen(LEASE_ENDS_MS - 1), None),
        ("said goodbye", seen(LEASE_ENDS_MS), Some(Some(at(9)))),
        ("revoked", watermark(Tick(LEASE_ENDS_MS), 3), None),
        ("revoked", seen(LEASE_ENDS_MS - 1), None),
        ("revoked", seen(LEASE_ENDS_MS), Some(Some(at(9)))),
        ("another process", watermark(Tick(LEASE_ENDS_MS), 3), None),
        ("another process", seen(LEASE_ENDS_MS - 1), None),
        ("another process", seen(LEASE_ENDS_MS), Some(Some(at(9)))),
    ];
    for (what, seen, certain) in cases {
        let mut book = book(1);
        granted(&mut book, 0, led(2), 8, START);
        let now = START.plus(100);
        match what {
            "gave this term back" => {
                book.acknowledge_revocation(&node(0), &service(), TERM, Some(at(5)))
            }
            "gave an older term back" => {
                book.acknowledge_revocation(&node(0), &service(), DbTerm(1), Some(at(5)));
            }
            "gave it back and said goodbye" => {
                book.acknowledge_revocation(&node(0), &service(), TERM, Some(at(5)));
                book.release_all(&node(0));
            }
            "gave it back and started anew" => {
                book.acknowledge_revocation(&node(0), &service(), TERM, Some(at(5)));
                book.release_all(&node(0));
                book.register(&node(0), 2, 1, now);
                book.acknowledge_revocation(&node(0), &service(), TERM, None);
            }
            "said goodbye" => book.release_all(&node(0)),
            "another process" => {
                book.register(&node(0), 2, 1, now);
                book.acknowledge_revocation(&node(0), &service(), TERM, None);
            }
            _ => granted(&mut book, 0, PrimaryStatus::Absent, 8, now),
        }
        let told = known(&book, seen, START.plus(30_000));
        assert_eq!(told, certain, "{what}, {seen:?}");
    }
}

#[test]
fn of_poolers_that_are_forgotten_the_last_lease_counts() {
    for (first, second) in [(2_000, 0), (0, 2_000)] {
        let mut book = book(2);
        granted(&mut book, 0, led(2), 4, START.plus(first));
        granted(&mut book, 1, led(2), 4, START.plus(second));
        book.disconnect(0, START.plus(2_100));
        book.disconnect(1, START.plus(2_100));
        let now = START.plus(2_100 + WORD_AWAITED_MS);
        book.expire_lost(now);
        assert!(book.poolers.is_empty());
        for (after, certain) in [(0, false), (1_999, false), (2_000, true)] {
            let as_of = START.plus(LEASE_ENDS_MS + after);
            let seen = Some(Watermark { as_of, position: at(9) });
            let told = known(&book, seen, now);
            assert_eq!(told, certain.then_some(Some(at(9))), "{first} {second}, {after}");
        }
    }
}

#[test]
fn a_lost_pooler_may_come_back_and_is_forgotten_only_after_its_word_is_overdue() {
    // (ms after the loss, whether its quota is freed there, whether it is still known)
    for (after, freed, known) in [
        (QUOTA_HELD_MS - 1, false, true),
        (QUOTA_HELD_MS, true, true),
        (WORD_AWAITED_MS - 1, true, true),
        (WORD_AWAITED_MS, true, false),
    ] {
        let mut lost = book(1);
        lost.disconnect(0, START);
        assert_eq!(lost.expire_lost(START.plus(after)), freed, "after {after}");
        assert_eq!(lost.poolers.contains_key(&node(0)), known, "after {after}");
        // Back on a new connection it is lost no more, however much later that is looked at.
        let mut back = book(1);
        back.disconnect(0, START);
        back.register(&node(0), 1, 1, START.plus(1_000));
        assert!(!back.expire_lost(START.plus(after)), "back, after {after}");
        assert!(back.poolers.contains_key(&node(0)), "back, after {after}");
    }
}

#[test]
fn what_is_told_again_to_a_pooler() {
    let sealed = PrimaryStatus::Sealed(at(9));
    // (what is told twice, whether there is a new connection in between, whether it is told again)
    let cases = [
        (led(2), false, false),
        (led(2), true, true),
        (PrimaryStatus::Absent, false, false),
        (PrimaryStatus::Absent, true, true),
        (sealed.clone(), false, true),
        (sealed, true, true),
    ];
    for (standing, anew, again) in cases {
        let mut book = book(1);
        let told = grant(standing, 4);
        assert_eq!(book.grant(&node(0), told.clone()), Some(told.clone()));
        if anew {
            book.register(&node(0), 1, 1, START.plus(10));
        }
        assert_eq!(book.grant(&node(0), told.clone()), again.then_some(told.clone()), "{told:?}");
    }
}

/// Of twelve connections nine are given out, as a quarter of so few is kept back.
#[test]
fn a_quota_counts_whatever_another_process_may_still_hold() {
    let total = 12;
    // (what becomes of the one that had all, ms after that, the quotas of it and of another then)
    let cases = [
        ("there", 10, Some(4), 0),
        ("another connection", 10, Some(4), 0),
        ("another process", 10, Some(4), 4),
        ("lost", QUOTA_HELD_MS - 1, None, 0),
        ("lost", QUOTA_HELD_MS, None, 9),
        ("lost and back", QUOTA_HELD_MS, Some(0), 9),
    ];
    for (what, after, own, others) in cases {
        let mut book = book(1);
        assert_eq!(quota(&mut book, 0, total, START), 9);
        book.register(&node(1), 1, 1, START);
        assert_eq!(quota(&mut book, 1, total, START), 0, "nothing is left");
        let now = START.plus(after);
        match what {
            "another connection" => book.register(&node(0), 1, 2, START),
            "another process" => book.register(&node(0), 2, 2, START),
            "lost" | "lost and back" => drop(book.disconnect(0, START)),
            _ => assert_eq!(what, "there"),
        }
        book.expire_lost(now);
        assert_eq!(book.quota(&node(1), &service(), total, now), others, "{what}");
        if what == "lost and back" {
            // The other was given all meanwhile, and the first still has what it had.
            granted(&mut book, 1, PrimaryStatus::Absent, 9, now);
            book.register(&node(0), 1, 2, now);
        }
        if let Some(own) = own {
            assert_eq!(book.quota(&node(0), &service(), total, now), own, "{what}");
        }
    }
}

#[test]
fn a_pooler_on_a_second_connection_is_one_pooler() {
    let mut book = book(1);
    for conn in 1..4 {
        book.register(&node(0), 1, conn, START);
    }
    assert_eq!(quota(&mut book, 0, 12, START), 9);
}

#[test]
fn quotas_of_more_poolers_than_connections_stay_below_the_total() {
    // (connections of the database, poolers, what they get one after the other)
    let cases: [(u32, u64, &[u32]); 4] = [
        (4, 5, &[1, 1, 1, 0, 0]),
        (1, 2, &[1, 0]),
        (12, 2, &[4, 4]),
        (92, 8, &[11, 11, 11, 11, 11, 11, 11, 11]),
    ];
    for (total, poolers, quotas) in cases {
        let mut book = book(poolers);
        let got: Vec<u32> = (0..poolers).map(|n| quota(&mut book, n, total, START)).collect();
        assert_eq!(got, quotas, "{total} among {poolers}");
    }
}

#[test]
fn a_young_leader_gives_no_more_than_somebody_has_while_quotas_may_be_held() {
    // (ms after the election, what the only pooler it knows gets of 88)
    for (after, share) in [(0, 4), (1_000, 4), (QUOTA_HELD_MS - 1, 4), (QUOTA_HELD_MS, 88)] {
        let mut book = LeaseTable::new(START);
        book.register(&node(0), 1, 0, START);
        assert_eq!(book.quota(&node(0), &service(), 92, START.plus(after)), share, "{after}");
    }
}

#[test]
fn others_hear_of_a_quota_that_shrank_or_is_the_largest_so_far() {
    let mut book = book(2);
    granted(&mut book, 0, PrimaryStatus::Absent, 4, START);
    // (who, the connections it says it has, whether others may get more now)
    let cases =
        [(0, 9, true), (0, 9, false), (1, 9, false), (0, 4, true), (0, 2, false), (1, 10, true)];
    for (row, (who, share, stirred)) in cases.into_iter().enumerate() {
        let names = book.report_quotas(&node(who), vec![(service(), share)], START);
        assert_eq!(names == [service()], stirred, "row {row}: {names:?}");
    }
}

/// Four poolers, nine connections to give: two each, and one is left to lend.
#[test]
fn what_is_lent_is_lent_once_and_looked_at_until_it_is_back() {
    let mut book = book(4);
    book.request_quota(&node(0), &service(), 5, START);
    assert_eq!(quota(&mut book, 0, 12, START), 3);
    // The others have not taken their parts yet, which are theirs all the same.
    book.request_quota(&node(1), &service(), 5, START);
    assert_eq!(quota(&mut book, 1, 12, START), 2, "it is lent already");
    // (ms later, what the first says it has, its quota, whether it is looked at after that)
    for (after, says, share, looked) in
        [(2_999, 3, 3, true), (3_000, 3, 2, true), (3_100, 3, 2, true), (3_200, 2, 2, false)]
    {
        let now = START.plus(after);
        book.report_quotas(&node(0), vec![(service(), says)], now);
        assert_eq!(quota(&mut book, 0, 12, now), share, "after {after}");
        assert_eq!(book.services_with_requests(&node(0)).count() == 1, looked, "after {after}");
    }
}

#[test]
fn a_part_is_told_once_on_a_connection_and_again_on_the_next() {
    let mut subset_assignments = SubsetAssignments::new(START);
    subset_assignments.report_load(&node(0), "here", service(), 100);
    subset_assignments.rebalance(|_| true, START.plus(3_000));
    for (row, (all, told)) in [(false, 1), (false, 0), (true, 1)].into_iter().enumerate() {
        assert_eq!(subset_assignments.take_updates(&node(0), all).len(), told, "row {row}");
    }
}

/// What a controller sends and asks; nothing of it goes anywhere by itself.
#[derive(Default)]
struct Queue {
    writes: bool,
    asks: Vec<(InstanceId, DatabaseRequest, Attempt)>,
    posts: Vec<(InstanceId, Attempt)>,
    sent: Vec<(u64, ToPooler)>,
    raft: Vec<(MemberId, RaftMessage)>,
    leader_lease: Option<LeaderLease>,
}
impl Queue {
    fn keep(&mut self, conn: u64, frame: &[u8]) {
        if let Ok(Frame::Controller(message)) = receive(&mut &frame[..]) {
            self.sent.push((conn, message));
        }
    }
}
impl Effects for Queue {
    fn set_leader_lease(&mut self, lease: Option<LeaderLease>) {
        self.leader_lease = lease;
    }
    fn send_raft(&mut self, to: MemberId, _: SocketAddr, message: RaftMessage, _: Tick) {
        self.raft.push((to, message));
    }
    fn retain_peer_links(&mut self, _: &[Member]) {}
    fn start_write(&mut self, _: WriteBatch) -> bool {
        self.writes = true;
        true
    }
    fn request_membership(&mut self, _: SocketAddr, _: Member, _: bool) {}
    fn call_database(
        &mut self,
        _: &ServiceName,
        id: &InstanceId,
        _: SocketAddr,
        ask: DatabaseRequest,
        attempt: Attempt,
    ) -> bool {
        self.asks.push((id.clone(), ask, attempt));
        true
    }
    fn request_promotion(
        &mut self,
        _: SocketAddr,
        _: &str,
        _: &ServiceName,
        target: &InstanceId,
        attempt: Attempt,
    ) {
        self.posts.push((target.clone(), attempt));
    }
    fn send(&mut self, conn: u64, frame: Arc<[u8]>) {
        self.keep(conn, &frame);
    }
    fn send_first(&mut self, conn: u64, frame: Arc<[u8]>) {
        self.keep(conn, &frame);
    }
    fn queued_bytes(&self, _: u64) -> Option<usize> {
        Some(0)
    }
    fn flush(&mut self) -> Vec<u64> {
        Vec::new()
    }
    fn connection_count(&self) -> usize {
        0
    }
}

const SETTINGS: &str = "node_name = \"one\"\nip_address = \"10.0.0.1\"\nzone = \"z\"\n\
    port_range = [7440, 7440]\nseed_nodes = [\"10.0.0.1:8782\"]\nheartbeat_ms = 600000\n\
    [listeners]\nadmin = \"10.0.0.1:8782\"\n[provider]\naddress = \"10.0.0.8:1\"\n";

/// A leader, with followers that only answer it, or with none. The primary is `a` in term 1, its replicas are `b` and `c`.
struct Leader {
    controller: Controller<Queue>,
    followers: Vec<RaftNode>,
    /// The followers are out of reach.
    cut: bool,
    now: Tick,
}
impl Leader {
    /// With changes of the state from before it leads.
    fn new(sync_replicas: u32, before: &[Command]) -> Self {
        Self::of(1, sync_replicas, before)
    }
    fn of(voters: u64, sync_replicas: u32, before: &[Command]) -> Self {
        let instance = |role: &str| {
            let instance = serde_json::json!({
                "target_service": "s", "address": "10.0.0.9:1", "zone": "z", "revision": "v1",
                "capacity": 7, "lifecycle_state": "available", "warmup_left_ms": 0,
                "database_role": role,
            });
            serde_json::from_value(instance).expect("instance")
        };
        let body = serde_json::json!({
            "revision": 1, "route_rules": [], "limits": {},
            "services": [{ "name": "s", "max_connections": 16, "sync_replicas": sync_replicas }],
        });
        let body = serde_bytes::ByteBuf::from(body.to_string());
        let mut state_machine = StateMachine::default();
        state_machine.apply(&Command::PutConfiguration {
            base: Revision(0),
            revision: Revision(1),
            body,
        });
        for (id, role) in [("a", "primary"), ("b", "replica"), ("c", "replica")] {
            let (id, instance) = (id.into(), instance(role));
            state_machine.apply(&Command::Heartbeat { id, instance, sequence: 1 });
        }
        let primary = "a".into();
        state_machine.apply(&Command::SetPrimary { service: service(), term: DbTerm(1), primary });
        for change in before {
            assert_eq!(state_machine.apply(change), CommandOutcome::Applied, "{change:?}");
        }
        let member = |id| Member {
            id: MemberId(id),
            node: NodeName(format!("controller{id}")),
            peer: format!("10.0.0.{id}:7440").parse().expect("address"),
            admin: format!("10.0.0.{id}:8782").parse().expect("address"),
            voter: true,
            can_vote: true,
        };
        let snapshot = Snapshot {
            last_included: LogPosition::new(Term(1), LogIndex(5)),
            members: (1..=voters).map(member).collect(),
            state: serde_bytes::ByteBuf::from(state_machine.to_snapshot()),
        };
        let kept = |id| PersistentState {
            member_id: MemberId(id),
            term: Term(1),
            snapshot: snapshot.clone(),
            ..PersistentState::default()
        };
        let follower = |id| RaftNode::new(kept(id), false, START, || 10);
        let settings = Settings::parse(SETTINGS).expect("settings");
        let controller = Controller::new(settings, kept(1), true, || 10, Queue::default(), START);
        let followers = (2..=voters).map(follower).collect();
        let controller = controller.expect("starts");
        let mut this = Self { controller, followers, cut: false, now: START };
        this.run(10_000);
        assert!(this.controller.raft().holds_leader_lease(this.now), "it leads");
        this
    }
    fn turn(&mut self) {
        self.controller.step(self.now).expect("readable");
        while std::mem::take(&mut self.controller.effects.writes) {
            self.controller.handle_input(Input::WriteFinished(Ok(())), self.now);
            self.controller.step(self.now).expect("readable");
            self.exchange();
        }
        self.exchange();
    }
    /// What it sends its followers is answered at once.
    fn exchange(&mut self) {
        loop {
            let messages = std::mem::take(&mut self.controller.effects.raft);
            if messages.is_empty() || self.cut {
                return;
            }
            for (to, message) in messages {
                let follower = self.followers.iter_mut().find(|f| f.state.member_id == to);
                let follower = follower.expect("a follower");
                follower.step(message, self.now);
                follower.unsaved = UnsavedChanges::default();
                follower.log_persisted(follower.last_position());
                for (to, answer) in follower.outbox.drain(..) {
                    let message = Box::new(answer);
                    self.controller
                        .handle_input(Input::Frame(0, Frame::Raft { to, message }), self.now);
                }
            }
            self.controller.step(self.now).expect("readable");
        }
    }
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now = self.now.plus(10);
            self.turn();
        }
    }
    fn hear(&mut self, conn: u64, message: ToController) {
        self.controller.handle_input(Input::Frame(conn, Frame::Pooler(message)), self.now);
        self.turn();
    }
    fn hello(&mut self, conn: u64, name: &str) {
        self.hello_of(conn, name, LAYOUT);
    }
    /// The greeting of a pooler that reads this layout.
    fn hello_of(&mut self, conn: u64, name: &str, layout: u8) {
        let (node, zone, revision) = (name.into(), "z".into(), Revision(1));
        self.controller.handle_input(Input::NodeLayout(conn, layout), self.now);
        self.hear(conn, ToController::Hello { node, incarnation: 1, revision, zone });
    }
    fn close(&mut self, conn: u64) {
        self.controller.handle_input(Input::Closed(conn), self.now);
        self.turn();
    }
    /// A renewal with what was seen; gives its answer's grant and watermark of the service.
    fn renew_with(
        &mut self,
        conn: u64,
        seq: u64,
        heard: u64,
        saw: Vec<ObservedPosition>,
    ) -> Granted {
        self.controller.effects.sent.clear();
        let (shares, wants, busy) = (Vec::new(), Vec::new(), Vec::new());
        let asks = vec![service()];
        self.hear(
            conn,
            ToController::RenewLeases {
                seq,
                last_grant_seq: heard,
                quotas: shares,
                demand: wants,
                observed: saw,
                bounds_requested: asks,
                load: busy,
            },
        );
        let answers = std::mem::take(&mut self.controller.effects.sent).into_iter();
        let mut granted = answers.filter_map(|(to, message)| match message {
            ToPooler::LeaseGrants { seq: of, grants, position_bounds: fresh, .. }
                if (to, of) == (conn, seq) =>
            {
                Some((grants.into_iter().next(), fresh.into_iter().next()))
            }
            _ => None,
        });
        granted.next_back()
    }
    fn renew(&mut self, conn: u64) -> Option<LeaseGrant> {
        self.renew_with(conn, 1, 0, Vec::new()).expect("answered").0
    }
    fn standing(&mut self, conn: u64) -> Option<PrimaryStatus> {
        self.renew(conn).map(|grant| grant.status)
    }
    fn share(&mut self, conn: u64) -> Option<u32> {
        self.renew(conn).map(|grant| grant.quota)
    }
    fn says(&mut self, conn: u64, share: u32) {
        let (shares, wants, saw) = (vec![(service(), share)], Vec::new(), Vec::new());
        let (seq, heard, asks, busy) = (1, 0, Vec::new(), Vec::new());
        self.hear(
            conn,
            ToController::RenewLeases {
                seq,
                last_grant_seq: heard,
                quotas: shares,
                demand: wants,
                observed: saw,
                bounds_requested: asks,
                load: busy,
            },
        );
    }
    /// A database answers the question of this kind that it was asked.
    fn answer(&mut self, id: &str, kind: fn(&DatabaseRequest) -> bool, told: DatabaseResponse) {
        let asks = &mut self.controller.effects.asks;
        let place = asks.iter().position(|(of, ask, _)| *of == id.into() && kind(ask));
        let (id, ask, attempt) = asks.remove(place.unwrap_or_else(|| panic!("{id} is not asked")));
        self.controller.handle_input(
            Input::DatabaseResponse {
                service: service(),
                instance: id,
                request: ask,
                attempt,
                response: told,
            },
            self.now,
        );
        self.turn();
    }
    /// A database answers all questions of this kind in the same way.
    fn answer_all(
        &mut self,
        id: &str,
        kind: fn(&DatabaseRequest) -> bool,
        told: &DatabaseResponse,
    ) {
        while self.asked(id, kind) {
            self.answer(id, kind, told.clone());
        }
    }
    fn asked(&self, id: &str, kind: fn(&DatabaseRequest) -> bool) -> bool {
        self.controller.effects.asks.iter().any(|(of, ask, _)| *of == id.into() && kind(ask))
    }
    /// The replicas go on after the earlier leader.
    fn settle(&mut self, replicas: &[&str]) {
        for id in replicas {
            // It was asked again and again while the leader waited.
            while self.asked(id, |ask| *ask == DatabaseRequest::Continue) {
                self.answer(id, |ask| *ask == DatabaseRequest::Continue, row(false, 1, 7));
            }
        }
    }
    /// The primary is doubted and refuses.
    fn lose_primary(&mut self, conn: u64) {
        let (instance, why) = ("a".into(), SuspicionReason::ConnectionsBroken);
        self.hear(conn, ToController::Suspect { service: service(), instance, reason: why });
        self.answer("a", |ask| *ask == DatabaseRequest::Describe, DatabaseResponse::Unavailable);
    }
    fn lead(&self) -> &PrimaryRecord {
        &self.controller.state_machine().primaries()[&service()]
    }
}
type Granted = Option<(Option<LeaseGrant>, Option<PositionBound>)>;

fn row(primary: bool, term: u64, number: u64) -> DatabaseResponse {
    DatabaseResponse::Description(ServerDescription {
        primary,
        term: DbTerm(term),
        received: at(number),
    })
}
fn pauses(ask: &DatabaseRequest) -> bool {
    matches!(ask, DatabaseRequest::Pause(_))
}

/// What a replica is asked once its primary is lost.
fn fences(ask: &DatabaseRequest) -> bool {
    pauses(ask) || *ask == DatabaseRequest::Describe
}

/// From the loss of a primary to the next one's term, as the poolers are told.
#[test]
fn a_renewal_grants_no_lease_that_is_revoked_and_the_next_term_waits_for_the_old() {
    let revoked =
        |highest| ToController::RevokeAck { service: service(), term: DbTerm(1), highest };
    // (what the pooler does, ms after its last lease at which the next primary may be chosen)
    for (what, until) in [
        ("nothing", LEASE_ENDS_MS),
        ("closes", LEASE_ENDS_MS),
        ("gives back", 0),
        ("goodbye", LEASE_ENDS_MS),
        ("gives back, goodbye", 0),
    ] {
        let mut leader = Leader::new(1, &[]);
        leader.settle(&["b", "c"]);
        leader.hello(1, "n1");
        leader.hello(2, "n2");
        assert_eq!(leader.standing(1), Some(led(1)), "{what}");
        let leased = leader.now;
        leader.lose_primary(2);
        assert_eq!(leader.standing(2), Some(PrimaryStatus::Absent), "{what}: never leased");
        match what {
            "closes" => leader.close(1),
            "gives back" => leader.hear(1, revoked(Some(at(8)))),
            "goodbye" => leader.hear(1, ToController::Goodbye),
            "gives back, goodbye" => {
                leader.hear(1, revoked(Some(at(8))));
                leader.hear(1, ToController::Goodbye);
            }
            _ => assert_eq!(leader.standing(1), Some(PrimaryStatus::Absent)),
        }
        leader.answer_all("b", pauses, &row(false, 1, 7));
        leader.answer_all("c", pauses, &row(false, 1, 9));
        while leader.lead().intent.is_none() {
            assert!(leader.now.since(leased) < until + 200, "{what}: nobody is chosen");
            leader.run(50);
            leader.answer_all("b", pauses, &row(false, 1, 7));
            leader.answer_all("c", pauses, &row(false, 1, 9));
        }
        assert!(leader.now.since(leased) >= until, "{what}: chosen while a lease is in use");
        assert_eq!(leader.lead().intent, Some("c".into()), "{what}");
        for _ in 0..2 {
            assert_eq!(leader.standing(2), Some(PrimaryStatus::Sealed(at(9))), "{what}: each time");
        }
        let (target, attempt) = leader.controller.effects.posts.pop().expect("promoted");
        let posted = Input::PromotionResponse {
            service: service(),
            target,
            attempt,
            response: PromotionResponse::Accepted,
        };
        leader.controller.handle_input(posted, leader.now);
        leader.run(600);
        leader.answer("c", |ask| *ask == DatabaseRequest::Describe, row(true, 2, 9));
        leader.run(150);
        assert_eq!((&leader.lead().primary, leader.lead().term), (&"c".into(), TERM), "{what}");
        let next = PrimaryStatus::Active { term: TERM, primary: "c".into() };
        assert_eq!(leader.standing(2), Some(next), "{what}");
    }
}

/// What threads are told of the leadership is never longer than the leader itself may rely on.
#[test]
fn threads_act_for_a_leader_only_while_it_certainly_leads() {
    for voters in [1, 3, 5] {
        let mut leader = Leader::of(voters, 1, &[]);
        let shared = SharedLeaderLease::default();
        let term = leader.controller.raft().state.term;
        assert!(!shared.covers(term, leader.now), "nothing was set");
        shared.set(leader.controller.effects.leader_lease);
        assert!(shared.covers(term, leader.now), "{voters}");
        for other in [Term(term.0 - 1), Term(term.0 + 1)] {
            assert!(!shared.covers(other, leader.now), "{voters}: {other:?}");
        }
        // Followers that answer no more: it ends by itself, also for a thread that was told before.
        leader.cut = true;
        let cut_at = leader.now;
        while leader.now.since(cut_at) < 1_000 {
            let alone = leader.controller.raft().holds_leader_lease(leader.now);
            let told = shared.covers(term, leader.now);
            assert!(!told || alone, "{voters}: after {}", leader.now.since(cut_at));
            leader.run(10);
        }
        assert!(!shared.covers(term, leader.now), "{voters}: it ends without being set again");
        shared.set(leader.controller.effects.leader_lease);
        assert_eq!(shared.covers(term, leader.now), voters == 1, "{voters}: alone it goes on");
        leader.cut = false;
        leader.run(200);
        leader.controller.transfer_leadership(leader.now);
        shared.set(leader.controller.effects.leader_lease);
        assert!(voters == 1 || !shared.covers(term, leader.now), "{voters}: it is handed over");
    }
}

/// The primary drains, and `b` is to follow it, with `n1` and `n2` as poolers. Gives the handover.
fn handing_over(layout_of_n2: u8) -> (Leader, Handover) {
    let mut leader = Leader::new(1, &[]);
    leader.settle(&["b", "c"]);
    leader.hello(1, "n1");
    leader.hello_of(2, "n2", layout_of_n2);
    for conn in [1, 2] {
        assert_eq!(leader.standing(conn), Some(led(1)), "{conn}");
    }
    leader.controller.effects.sent.clear();
    let body = serde_json::json!({
        "target_service": "s", "address": "10.0.0.9:1", "zone": "z", "revision": "v1", "capacity": 7,
        "lifecycle_state": "draining", "warmup_left_ms": 0, "database_role": "primary",
        "sequence": 2,
    });
    let (path, body) = ("/instances/a".to_owned(), body.to_string().into_bytes());
    let request = Request { method: "PUT".to_owned(), path, if_match: None, body };
    let (sender, _answer) = sync_channel(1);
    leader.controller.handle_input(Input::AdminRequest(request, sender), leader.now);
    leader.run(50);
    let told = leader.controller.effects.sent.iter().find_map(|(to, message)| match message {
        ToPooler::HandOver { handover, .. } if *to == 1 => Some(handover.clone()),
        _ => None,
    });
    let handover = told.expect("`n1` is told");
    assert_eq!((&handover.target, handover.term), (&"b".into(), DbTerm(1)));
    (leader, handover)
}

/// After how many ms `b` is chosen, if it is while the change is planned. The databases answer all that
/// they are asked, and `n2` may go on to renew its lease.
fn chosen_after(leader: &mut Leader, n2_renews: bool) -> Option<u64> {
    let describes = |ask: &DatabaseRequest| *ask == DatabaseRequest::Describe;
    let began = leader.now;
    while leader.now.since(began) < 2_500 {
        leader.answer_all("a", describes, &row(true, 1, 9));
        leader.answer_all("b", describes, &row(false, 1, 9));
        if n2_renews {
            assert_ne!(leader.standing(2), Some(led(1)), "its lease goes on, handed over");
        }
        if leader.lead().intent.is_some() {
            return Some(leader.now.since(began));
        }
        leader.run(10);
    }
    None
}

/// Guards against a planned change that trusts an answer of a replica while some pooler still passes
/// on whatever the old primary acknowledges.
#[test]
fn a_planned_change_waits_until_no_pooler_passes_on_what_the_target_lacks() {
    // (what becomes of `n2`, ms until `b` may be chosen, if it may at all while the change is planned)
    for (what, until) in [
        ("confirms", Some(0)),
        ("confirms another handover", Some(LEASE_ENDS_MS)),
        ("gives its lease back", Some(0)),
        ("closes", Some(LEASE_ENDS_MS)),
        ("is restarted", Some(0)),
        ("renews and says nothing", None),
        ("is of an older version", Some(0)),
    ] {
        let old = what == "is of an older version";
        let (mut leader, handover) = handing_over(if old { PARTS_LAYOUT } else { LAYOUT });
        let confirm = |number| ToController::HandOverAck {
            service: service(),
            handover: number,
            highest: None,
        };
        let revoked =
            || ToController::RevokeAck { service: service(), term: DbTerm(1), highest: None };
        // What all of them still hold is granted with the handover, and to a new one as well.
        let status = PrimaryStatus::HandingOver { primary: "a".into(), handover: handover.clone() };
        assert_eq!(leader.standing(1), None, "{what}: it was told");
        leader.hello(3, "n3");
        assert_eq!(leader.standing(3), Some(status.clone()), "{what}");
        for conn in [1, 3] {
            leader.hear(conn, confirm(handover.number));
        }
        match what {
            "confirms" => leader.hear(2, confirm(handover.number)),
            "confirms another handover" => leader.hear(2, confirm(handover.number + 1)),
            "gives its lease back" => leader.hear(2, revoked()),
            "closes" => leader.close(2),
            "is restarted" => {
                let (node, zone, revision) = ("n2".into(), "z".into(), Revision(1));
                let hello = ToController::Hello { node, incarnation: 2, revision, zone };
                leader.controller.handle_input(Input::NodeLayout(4, LAYOUT), leader.now);
                leader.hear(4, hello);
            }
            "is of an older version" => {
                assert_eq!(leader.standing(2), Some(PrimaryStatus::Absent));
                leader.hear(2, revoked());
            }
            _ => assert_eq!(what, "renews and says nothing"),
        }
        let chosen = chosen_after(&mut leader, what.starts_with("renews"));
        match until {
            Some(until) => {
                let after = chosen.unwrap_or(u64::MAX);
                assert!(after + 60 >= until && after < until + 100, "{what}: after {after} ms");
            }
            None => assert_eq!(chosen, None, "{what}"),
        }
        if chosen.is_none() {
            // Called off in the end, the lease is granted as before.
            leader.run(1_000);
            assert_eq!(leader.standing(1), Some(led(1)), "{what}");
        }
    }
}

/// Only `b` of two replicas answers, at 7.
#[test]
fn a_word_of_the_poolers_stands_in_for_a_replica_only_if_all_gave_it() {
    let cases = [
        ("nothing", 1, 12_000, false),
        ("closes", 1, 12_000, false),
        ("closes", 0, 1_000, false),
        ("closes", 0, 12_000, true),
        ("gives back 7", 1, 1_000, true),
        ("gives back 8", 1, 12_000, false),
        ("gives back 7, nothing seen", 1, 12_000, false),
        ("gives back 7", 0, 1_000, true),
    ];
    // (what the pooler does, synchronous replicas, ms, whether `b` takes over)
    for (what, sync_replicas, ms, may) in cases {
        let mut leader = Leader::new(sync_replicas, &[]);
        leader.settle(&["b", "c"]);
        leader.hello(1, "n1");
        leader.hello(2, "n2");
        assert_eq!(leader.standing(1), Some(led(1)), "{what}");
        // What was seen since the election covers poolers that only the leader before knew.
        if what != "gives back 7, nothing seen" {
            leader.run(100);
            let saw = ObservedPosition {
                service: service(),
                term: DbTerm(1),
                position: at(6),
                sent_after_ms: 50,
            };
            leader.renew_with(1, 2, 1, vec![saw]).expect("answered");
        }
        leader.lose_primary(2);
        let word = |number| {
            let highest = Some(at(number));
            ToController::RevokeAck { service: service(), term: DbTerm(1), highest }
        };
        match what {
            "closes" => leader.close(1),
            "gives back 7" | "gives back 7, nothing seen" => leader.hear(1, word(7)),
            "gives back 8" => leader.hear(1, word(8)),
            _ => assert_eq!(what, "nothing"),
        }
        // The other pooler never had a lease, and says that it passed on nothing.
        leader.hear(
            2,
            ToController::RevokeAck { service: service(), term: DbTerm(1), highest: None },
        );
        leader.answer("b", fences, row(false, 1, 7));
        leader.run(ms);
        let target = may.then(|| "b".into());
        assert_eq!(leader.lead().intent, target, "{what} {sync_replicas} {ms}");
    }
}

#[test]
fn a_departed_replica_does_not_hold_up_a_planned_change() {
    let gone = Command::RemoveInstance { id: "c".into(), sequence: u64::MAX };
    // (synchronous replicas, whether `c` has departed)
    for (sync_replicas, departed) in [(1, true), (0, true), (1, false)] {
        let draining = || {
            let instance = serde_json::json!({
                "target_service": "s", "address": "10.0.0.9:1", "zone": "z", "revision": "v1",
                "capacity": 7, "lifecycle_state": "draining", "warmup_left_ms": 0,
                "database_role": "primary",
            });
            let instance = serde_json::from_value(instance).expect("instance");
            Command::Heartbeat { id: "a".into(), instance, sequence: 2 }
        };
        let before = if departed { vec![draining(), gone.clone()] } else { vec![draining()] };
        let mut leader = Leader::new(sync_replicas, &before);
        leader.settle(if departed { &["b"] } else { &["b", "c"] });
        leader.run(200);
        // No pooler is there that could pass anything on, so the target is asked at once.
        let began = leader.asked("b", |ask| *ask == DatabaseRequest::Describe);
        assert!(began, "{sync_replicas} {departed}");
    }
}

#[test]
fn a_watermark_is_as_old_as_the_answer_that_was_heard_before_it() {
    // (the answer that the pooler says it heard, ms after it, the age that others are told)
    let cases = [
        (1, 100, Some(1_401)),
        (2, 100, Some(401)),
        (1, 1_500, Some(1)),
        (2, 501, None),
        (0, 0, None),
        (9, 0, None),
    ];
    for (heard, after, age) in cases {
        let mut leader = Leader::new(1, &[]);
        leader.settle(&["b", "c"]);
        leader.hello(1, "n1");
        leader.hello(2, "n2");
        leader.renew_with(1, 1, 0, Vec::new()).expect("answered");
        leader.run(1_000);
        leader.renew_with(1, 2, 1, Vec::new()).expect("answered");
        leader.run(500);
        let saw = ObservedPosition {
            service: service(),
            term: DbTerm(1),
            position: at(7),
            sent_after_ms: after,
        };
        leader.renew_with(1, 3, heard, vec![saw]).expect("answered");
        let (_, fresh) = leader.renew_with(2, 1, 0, Vec::new()).expect("answered");
        assert_eq!(fresh.map(|f| f.age_ms), age, "{heard} {after}");
    }
}

#[test]
fn what_an_older_connection_of_a_pooler_brings_is_not_heard() {
    let mut leader = Leader::new(1, &[]);
    leader.settle(&["b", "c"]);
    leader.hello(1, "n1");
    leader.hello(2, "n1");
    assert_eq!(leader.renew_with(1, 1, 0, Vec::new()), None, "no lease on the older one");
    assert_eq!(leader.standing(2), Some(led(1)));
    assert_eq!(leader.standing(2), None, "told already, and granted again");
    // A give-back or a goodbye that was under way would end what is granted on the newer one.
    for late in [
        ToController::RevokeAck { service: service(), term: DbTerm(1), highest: None },
        ToController::Goodbye,
    ] {
        leader.hear(1, late);
        assert_eq!(leader.standing(2), None, "it has what it was told");
    }
    leader.close(1);
    assert_eq!(leader.standing(2), None, "the end of the older one is no loss");
}

/// Twelve connections of sixteen are given out.
#[test]
fn quotas_move_as_poolers_come_and_go() {
    let mut leader = Leader::new(1, &[]);
    leader.settle(&["b", "c"]);
    leader.hello(1, "n1");
    assert_eq!(leader.share(1), Some(12));
    leader.hello(2, "n2");
    assert_eq!(leader.share(2), Some(0), "the first has all");
    assert_eq!(leader.share(1), Some(6), "it is told to give some back");
    assert_eq!(leader.share(2), None, "but has not yet");
    leader.says(1, 12);
    assert_eq!(leader.share(2), None);
    leader.says(1, 6);
    assert_eq!(leader.share(2), Some(6));
    leader.close(1);
    leader.run(4_400);
    assert_eq!(leader.share(2), None, "its connections may still be open");
    leader.run(300);
    assert_eq!(leader.share(2), Some(12));
}

/// Another may lead by then, and may have granted, asked or promoted.
#[test]
fn a_leader_that_does_not_hear_its_quorum_grants_and_asks_nothing() {
    let mut leader = Leader::of(3, 1, &[]);
    leader.settle(&["b", "c"]);
    leader.hello(1, "n1");
    assert_eq!(leader.standing(1), Some(led(1)));
    leader.cut = true;
    while leader.controller.raft().holds_leader_lease(leader.now) {
        leader.run(10);
    }
    assert!(leader.controller.raft().is_leader(), "for a moment it leads all the same");
    assert_eq!(leader.renew_with(1, 2, 1, Vec::new()), None, "no lease is renewed");
    leader.controller.effects.asks.clear();
    let (instance, why) = ("a".into(), SuspicionReason::ConnectionsBroken);
    leader.hear(1, ToController::Suspect { service: service(), instance, reason: why });
    assert_eq!(leader.controller.effects.asks, [], "no database is asked");
    leader.controller.effects.sent.clear();
    leader.hello(2, "n2");
    assert!(leader.controller.effects.sent.is_empty(), "nobody new is taken in");
    // Heard again in time, it goes on.
    leader.cut = false;
    leader.run(500);
    assert!(leader.controller.raft().holds_leader_lease(leader.now));
    assert!(leader.controller.effects.sent.iter().any(|(to, _)| *to == 2), "now it is welcome");
    assert_eq!(leader.standing(2), Some(led(1)));
}

fn call(method: &str, path: &str, body: &serde_json::Value) -> Request {
    let (method, path) = (method.to_owned(), path.to_owned());
    Request { method, path, if_match: None, body: body.to_string().into_bytes() }
}

/// Three heartbeats of 600 s are missed before a primary is doubted.
#[test]
fn only_a_newer_heartbeat_tells_that_a_primary_lives() {
    // (the sequence of a heartbeat 200 s before the end of that time, if one comes; whether the
    // primary is doubted after that time)
    for (sequence, doubted) in [(None, true), (Some(0), true), (Some(1), true), (Some(2), false)] {
        let mut leader = Leader::new(1, &[]);
        leader.settle(&["b", "c"]);
        leader.now = leader.now.plus(1_600_000);
        leader.run(100);
        assert!(!leader.asked("a", |ask| *ask == DatabaseRequest::Describe), "not before its time");
        if let Some(sequence) = sequence {
            let body = serde_json::json!({
                "target_service": "s", "address": "10.0.0.9:1", "zone": "z", "revision": "v1",
                "capacity": 7, "lifecycle_state": "available", "warmup_left_ms": 0,
                "database_role": "primary", "sequence": sequence,
            });
            let (reply, answer) = sync_channel(1);
            let heartbeat = call("PUT", "/instances/a", &body);
            leader.controller.handle_input(Input::AdminRequest(heartbeat, reply), leader.now);
            leader.turn();
            assert_eq!(answer.try_recv().map(|a| a.status), Ok(200), "{sequence}");
        }
        leader.now = leader.now.plus(300_000);
        leader.run(100);
        assert_eq!(
            leader.asked("a", |ask| *ask == DatabaseRequest::Describe),
            doubted,
            "{sequence:?}"
        );
    }
}

#[test]
fn a_message_counts_only_for_the_member_that_it_is_for() {
    let message = || {
        let previous = LogPosition::new(Term(0), LogIndex(0));
        let (entries, commit, sent) = (Vec::new(), LogIndex(0), 0);
        let kind = RaftMessageKind::AppendEntries {
            previous,
            entries,
            commit_index: commit,
            sent_at: sent,
        };
        Box::new(RaftMessage { from: MemberId(2), term: Term(99), kind })
    };
    for (to, heard) in [(1, true), (2, false), (9, false)] {
        let mut leader = Leader::of(3, 1, &[]);
        let frame = Frame::Raft { to: MemberId(to), message: message() };
        leader.controller.handle_input(Input::Frame(0, frame), leader.now);
        assert_eq!(leader.controller.raft().is_leader(), !heard, "to {to}");
    }
}

#[test]
fn who_waits_for_an_order_hears_that_another_leads() {
    let mut leader = Leader::of(3, 1, &[]);
    leader.cut = true;
    let (reply, answer) = sync_channel(1);
    let order = call("DELETE", "/instances/b", &serde_json::Value::Null);
    leader.controller.handle_input(Input::AdminRequest(order, reply), leader.now);
    leader.turn();
    assert!(answer.try_recv().is_err(), "it waits for the quorum");
    let previous = LogPosition::new(Term(0), LogIndex(0));
    let (entries, commit, sent) = (Vec::new(), LogIndex(0), 0);
    let kind =
        RaftMessageKind::AppendEntries { previous, entries, commit_index: commit, sent_at: sent };
    let message = Box::new(RaftMessage { from: MemberId(2), term: Term(99), kind });
    leader
        .controller
        .handle_input(Input::Frame(0, Frame::Raft { to: MemberId(1), message }), leader.now);
    leader.turn();
    assert_eq!(answer.try_recv().map(|a| a.status), Ok(503));
}
