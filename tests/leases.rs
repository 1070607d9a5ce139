//! Tests of leases, connection quotas and database subsets, in the tables and in a whole
//! controller. What one pooler may still use must not be granted to another.
use silvertack::base::ids::{
    DbTerm, InstanceId, LogIndex, MemberId, NodeName, Position, Revision, ServiceName, Term,
};
use silvertack::base::time::Tick;
use silvertack::config::settings::Settings;
use silvertack::controller::core::Controller;
use silvertack::controller::effects::{Effects, Input};
use silvertack::controller::leader_lease::{LeaderLease, SharedLeaderLease};
use silvertack::failover::{Attempt, DatabaseRequest, DatabaseResponse, PromotionResponse};
use silvertack::leases::acknowledged_commits::UnreportedCommits;
use silvertack::leases::lease_table::{CoverageRule, LEASE_MS, LeaseTable};
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
use silvertack::net::rpc::{CHUNKS_LAYOUT, Frame, LAYOUT, receive};
use silvertack::net::statement_protocol::ServerDescription;
use silvertack::raft::node::RaftNode;
use silvertack::raft::state::{PersistentState, UnsavedChanges};
use silvertack::raft::storage::WriteBatch;
use silvertack::state_machine::{Command, CommandOutcome, PrimaryRecord, StateMachine};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::sync_channel;

/// From the grant of a lease until it is certainly no longer in use.
const LEASE_ENDS_MS: u64 = LEASE_MS + 50;
/// How long the quota of a disconnected pooler still counts.
const QUOTA_RETENTION_MS: u64 = 4_500;
/// How long a disconnected pooler is kept, as it may still report its forwarded commits.
const POOLER_RETENTION_MS: u64 = 10_000;

const START: Tick = Tick(100_000);
const TERM: DbTerm = DbTerm(2);

/// A log position in term 1.
fn at(number: u64) -> Position {
    Position { term: DbTerm(1), number }
}
fn service() -> ServiceName {
    "s".into()
}
fn node(number: u64) -> NodeName {
    NodeName(format!("n{number}"))
}
fn lease_grant(status: PrimaryStatus, quota: u32) -> LeaseGrant {
    LeaseGrant { service: service(), status, quota }
}
fn active(term: u64) -> PrimaryStatus {
    PrimaryStatus::Active { term: DbTerm(term), primary: "a".into() }
}
/// The table of a leader elected long ago, with this many poolers on connections 0, 1 and so on.
fn table(poolers: u64) -> LeaseTable {
    let mut table = LeaseTable::new(Tick(0));
    for pooler in 0..poolers {
        table.register(&node(pooler), 1, pooler, START);
    }
    table
}
/// Grants and renews, as the leader does when it responds to a renewal.
fn grant_and_renew(
    table: &mut LeaseTable,
    pooler: u64,
    status: PrimaryStatus,
    quota: u32,
    now: Tick,
) {
    table.grant(&node(pooler), lease_grant(status, quota));
    table.renew(&node(pooler), now);
}
/// Computes and grants the quota of a pooler for a database that allows `max_connections`.
fn grant_quota(table: &mut LeaseTable, pooler: u64, max_connections: u32, now: Tick) -> u32 {
    let quota = table.quota(&node(pooler), &service(), max_connections, now);
    grant_and_renew(table, pooler, PrimaryStatus::Absent, quota, now);
    quota
}

/// Checks whether leases on term 2 are released.
#[test]
fn a_lease_may_be_in_use_until_its_expiry_margin_has_passed_or_it_was_given_up() {
    // (case, granted term, what happens then, ms after the grant, whether the lease is released)
    let cases = [
        ("not expired", 2, "nothing", LEASE_MS, false),
        ("within the expiry margin", 2, "nothing", LEASE_ENDS_MS, false),
        ("after the expiry margin", 2, "nothing", LEASE_ENDS_MS + 1, true),
        ("of an older term, not expired", 1, "nothing", 10, false),
        ("of an older term, within the margin", 1, "nothing", LEASE_ENDS_MS, false),
        ("of a newer term", 3, "nothing", 10, true),
        ("revoked, within the margin", 2, "revoked", LEASE_ENDS_MS, false),
        ("revoked, of an older term", 1, "revoked", LEASE_ENDS_MS, false),
        ("revoked, after the margin", 2, "revoked", LEASE_ENDS_MS + 1, true),
        ("given up", 2, "term 2 given up", 10, true),
        ("an older term given up", 2, "term 1 given up", 10, false),
        ("an older term given up, margin", 2, "term 1 given up", LEASE_ENDS_MS, false),
        ("an older term given up, expired", 2, "term 1 given up", LEASE_ENDS_MS + 1, true),
        ("a newer term given up", 2, "term 3 given up", 10, true),
        ("disconnected, within the margin", 2, "disconnected", LEASE_ENDS_MS, false),
        ("goodbye, not given up", 2, "goodbye", LEASE_ENDS_MS, false),
        ("goodbye, after the margin", 2, "goodbye", LEASE_ENDS_MS + 1, true),
        ("given up, then goodbye", 2, "given up, goodbye", 10, true),
        ("revoked, then goodbye", 2, "revoked, goodbye", LEASE_ENDS_MS, false),
    ];
    for (case, term, event, elapsed_ms, released) in cases {
        let mut table = table(1);
        grant_and_renew(&mut table, 0, active(term), 8, START);
        let revoke = |table: &mut LeaseTable| {
            grant_and_renew(table, 0, PrimaryStatus::Absent, 8, START.plus(5))
        };
        let give_up = |table: &mut LeaseTable, term| {
            table.acknowledge_revocation(&node(0), &service(), DbTerm(term), Some(at(5)));
        };
        match event {
            "revoked" => revoke(&mut table),
            "term 1 given up" => give_up(&mut table, 1),
            "term 2 given up" => give_up(&mut table, 2),
            "term 3 given up" => give_up(&mut table, 3),
            "disconnected" => drop(table.disconnect(0, START.plus(5))),
            "goodbye" => table.withdraw_all_grants(&node(0)),
            "given up, goodbye" => {
                give_up(&mut table, 2);
                table.withdraw_all_grants(&node(0));
            }
            "revoked, goodbye" => {
                revoke(&mut table);
                table.withdraw_all_grants(&node(0));
            }
            _ => assert_eq!(event, "nothing"),
        }
        assert_eq!(
            table.all_released(&service(), TERM, START.plus(elapsed_ms)),
            released,
            "{case}"
        );
    }
}

#[test]
fn a_new_leader_waits_until_leases_of_earlier_leaders_have_expired() {
    let table = LeaseTable::new(START);
    for (elapsed_ms, released) in [(0, false), (LEASE_ENDS_MS, false), (LEASE_ENDS_MS + 1, true)] {
        assert_eq!(
            table.all_released(&service(), TERM, START.plus(elapsed_ms)),
            released,
            "after {elapsed_ms} ms"
        );
    }
}

/// The furthest commit of term 2 that may have been acknowledged; `None` if that is unknown.
fn furthest_acknowledged(
    table: &LeaseTable,
    watermark: Option<Watermark>,
    now: Tick,
) -> Option<Option<Position>> {
    let acknowledged =
        table.acknowledged_commits(&service(), TERM, None, watermark, CoverageRule::Watermark, now);
    match acknowledged.unreported {
        UnreportedCommits::Unknown => None,
        UnreportedCommits::Nothing => Some(acknowledged.reported),
        UnreportedCommits::UpTo(position) => Some(acknowledged.reported.max(Some(position))),
    }
}

/// The furthest acknowledged commit is known once every pooler has reported it or is covered by a
/// watermark.
#[test]
fn acknowledged_commits_need_a_report_on_the_term_or_a_watermark_after_the_lease() {
    let watermark_at = |as_of, number| Some(Watermark { as_of, position: at(number) });
    let watermark_after = |after_ms: u64| watermark_at(START.plus(after_ms), 9);
    // (what happens to the pooler, the watermark, the furthest acknowledged commit, if known)
    let cases = [
        ("gave up this term", None, None),
        ("gave up this term", watermark_at(Tick(LEASE_ENDS_MS), 3), Some(Some(at(5)))),
        ("gave up an older term", watermark_at(Tick(LEASE_ENDS_MS), 3), None),
        ("gave up an older term", watermark_after(LEASE_ENDS_MS - 1), None),
        ("gave up an older term", watermark_after(LEASE_ENDS_MS), Some(Some(at(9)))),
        ("gave it up and said goodbye", watermark_at(Tick(LEASE_ENDS_MS), 3), Some(Some(at(5)))),
        ("gave it up and restarted", watermark_at(Tick(LEASE_ENDS_MS), 3), Some(Some(at(5)))),
        ("said goodbye", None, None),
        ("said goodbye", watermark_at(Tick(LEASE_ENDS_MS), 3), None),
        ("said goodbye", watermark_after(LEASE_ENDS_MS - 1), None),
        ("said goodbye", watermark_after(LEASE_ENDS_MS), Some(Some(at(9)))),
        ("revoked", watermark_at(Tick(LEASE_ENDS_MS), 3), None),
        ("revoked", watermark_after(LEASE_ENDS_MS - 1), None),
        ("revoked", watermark_after(LEASE_ENDS_MS), Some(Some(at(9)))),
        ("restarted", watermark_at(Tick(LEASE_ENDS_MS), 3), None),
        ("restarted", watermark_after(LEASE_ENDS_MS - 1), None),
        ("restarted", watermark_after(LEASE_ENDS_MS), Some(Some(at(9)))),
    ];
    for (case, watermark, expected) in cases {
        let mut table = table(1);
        grant_and_renew(&mut table, 0, active(2), 8, START);
        let now = START.plus(100);
        match case {
            "gave up this term" => {
                table.acknowledge_revocation(&node(0), &service(), TERM, Some(at(5)))
            }
            "gave up an older term" => {
                table.acknowledge_revocation(&node(0), &service(), DbTerm(1), Some(at(5)));
            }
            "gave it up and said goodbye" => {
                table.acknowledge_revocation(&node(0), &service(), TERM, Some(at(5)));
                table.withdraw_all_grants(&node(0));
            }
            "gave it up and restarted" => {
                table.acknowledge_revocation(&node(0), &service(), TERM, Some(at(5)));
                table.withdraw_all_grants(&node(0));
                table.register(&node(0), 2, 1, now);
                table.acknowledge_revocation(&node(0), &service(), TERM, None);
            }
            "said goodbye" => table.withdraw_all_grants(&node(0)),
            "restarted" => {
                table.register(&node(0), 2, 1, now);
                table.acknowledge_revocation(&node(0), &service(), TERM, None);
            }
            _ => grant_and_renew(&mut table, 0, PrimaryStatus::Absent, 8, now),
        }
        let furthest = furthest_acknowledged(&table, watermark, START.plus(30_000));
        assert_eq!(furthest, expected, "{case}, {watermark:?}");
    }
}

#[test]
fn the_last_lease_of_removed_poolers_has_to_be_covered() {
    for (first, second) in [(2_000, 0), (0, 2_000)] {
        let mut table = table(2);
        grant_and_renew(&mut table, 0, active(2), 4, START.plus(first));
        grant_and_renew(&mut table, 1, active(2), 4, START.plus(second));
        table.disconnect(0, START.plus(2_100));
        table.disconnect(1, START.plus(2_100));
        let now = START.plus(2_100 + POOLER_RETENTION_MS);
        table.expire_disconnected(now);
        assert!(table.poolers.is_empty());
        for (after_ms, is_known) in [(0, false), (1_999, false), (2_000, true)] {
            let as_of = START.plus(LEASE_ENDS_MS + after_ms);
            let watermark = Some(Watermark { as_of, position: at(9) });
            let furthest = furthest_acknowledged(&table, watermark, now);
            assert_eq!(furthest, is_known.then_some(Some(at(9))), "{first} {second}, {after_ms}");
        }
    }
}

#[test]
fn a_disconnected_pooler_may_reconnect_and_is_removed_after_its_retention_time() {
    // (ms after the disconnection, whether its quota is released, whether the pooler is kept)
    for (after_ms, freed, kept) in [
        (QUOTA_RETENTION_MS - 1, false, true),
        (QUOTA_RETENTION_MS, true, true),
        (POOLER_RETENTION_MS - 1, true, true),
        (POOLER_RETENTION_MS, true, false),
    ] {
        let mut disconnected = table(1);
        disconnected.disconnect(0, START);
        assert_eq!(
            disconnected.expire_disconnected(START.plus(after_ms)),
            freed,
            "after {after_ms} ms"
        );
        assert_eq!(disconnected.poolers.contains_key(&node(0)), kept, "after {after_ms} ms");
        // A pooler that has reconnected is never expired.
        let mut reconnected = table(1);
        reconnected.disconnect(0, START);
        reconnected.register(&node(0), 1, 1, START.plus(1_000));
        assert!(
            !reconnected.expire_disconnected(START.plus(after_ms)),
            "reconnected, after {after_ms} ms"
        );
        assert!(reconnected.poolers.contains_key(&node(0)), "reconnected, after {after_ms} ms");
    }
}

#[test]
fn an_unchanged_grant_is_sent_again_only_on_a_new_connection_or_if_sealed() {
    let sealed = PrimaryStatus::Sealed(at(9));
    // (status that is granted twice, whether the pooler reconnects in between, whether the grant is
    // sent again)
    let cases = [
        (active(2), false, false),
        (active(2), true, true),
        (PrimaryStatus::Absent, false, false),
        (PrimaryStatus::Absent, true, true),
        (sealed.clone(), false, true),
        (sealed, true, true),
    ];
    for (status, reconnects, sent_again) in cases {
        let mut table = table(1);
        let grant = lease_grant(status, 4);
        assert_eq!(table.grant(&node(0), grant.clone()), Some(grant.clone()));
        if reconnects {
            table.register(&node(0), 1, 1, START.plus(10));
        }
        assert_eq!(
            table.grant(&node(0), grant.clone()),
            sent_again.then_some(grant.clone()),
            "{grant:?}"
        );
    }
}

/// Of twelve connections nine are granted, as a quarter of such a low limit is reserved.
#[test]
fn a_quota_excludes_connections_that_another_process_may_still_have_open() {
    let max_connections = 12;
    // (what happens to the pooler that has all connections, ms after that, then its quota and that
    // of another pooler)
    let cases = [
        ("connected", 10, Some(4), 0),
        ("new connection", 10, Some(4), 0),
        ("restarted", 10, Some(4), 4),
        ("disconnected", QUOTA_RETENTION_MS - 1, None, 0),
        ("disconnected", QUOTA_RETENTION_MS, None, 9),
        ("disconnected and reconnected", QUOTA_RETENTION_MS, Some(0), 9),
    ];
    for (case, after_ms, expected_own, expected_other) in cases {
        let mut table = table(1);
        assert_eq!(grant_quota(&mut table, 0, max_connections, START), 9);
        table.register(&node(1), 1, 1, START);
        assert_eq!(grant_quota(&mut table, 1, max_connections, START), 0, "no connection is left");
        let now = START.plus(after_ms);
        match case {
            "new connection" => table.register(&node(0), 1, 2, START),
            "restarted" => table.register(&node(0), 2, 2, START),
            "disconnected" | "disconnected and reconnected" => drop(table.disconnect(0, START)),
            _ => assert_eq!(case, "connected"),
        }
        table.expire_disconnected(now);
        assert_eq!(
            table.quota(&node(1), &service(), max_connections, now),
            expected_other,
            "{case}"
        );
        if case == "disconnected and reconnected" {
            // The other pooler got all connections meanwhile, and the first still has its own.
            grant_and_renew(&mut table, 1, PrimaryStatus::Absent, 9, now);
            table.register(&node(0), 1, 2, now);
        }
        if let Some(expected_own) = expected_own {
            assert_eq!(
                table.quota(&node(0), &service(), max_connections, now),
                expected_own,
                "{case}"
            );
        }
    }
}

#[test]
fn a_pooler_that_registers_again_counts_once() {
    let mut table = table(1);
    for connection in 1..4 {
        table.register(&node(0), 1, connection, START);
    }
    assert_eq!(grant_quota(&mut table, 0, 12, START), 9);
}

#[test]
fn quotas_of_more_poolers_than_connections_stay_below_the_total() {
    // (connections of the database, poolers, their quotas in the order in which they are granted)
    let cases: [(u32, u64, &[u32]); 4] = [
        (4, 5, &[1, 1, 1, 0, 0]),
        (1, 2, &[1, 0]),
        (12, 2, &[4, 4]),
        (92, 8, &[11, 11, 11, 11, 11, 11, 11, 11]),
    ];
    for (max_connections, poolers, expected) in cases {
        let mut table = table(poolers);
        let quotas: Vec<u32> = (0..poolers)
            .map(|pooler| grant_quota(&mut table, pooler, max_connections, START))
            .collect();
        assert_eq!(quotas, expected, "{max_connections} connections, {poolers} poolers");
    }
}

#[test]
fn a_new_leader_limits_quotas_while_unknown_poolers_may_have_connections() {
    // (ms after the election, the quota of the only known pooler, of 88 connections)
    for (after_ms, quota) in
        [(0, 4), (1_000, 4), (QUOTA_RETENTION_MS - 1, 4), (QUOTA_RETENTION_MS, 88)]
    {
        let mut table = LeaseTable::new(START);
        table.register(&node(0), 1, 0, START);
        assert_eq!(
            table.quota(&node(0), &service(), 92, START.plus(after_ms)),
            quota,
            "after {after_ms} ms"
        );
    }
}

#[test]
fn a_reported_quota_frees_connections_if_it_shrank_or_is_the_highest_so_far() {
    let mut table = table(2);
    grant_and_renew(&mut table, 0, PrimaryStatus::Absent, 4, START);
    // (pooler, quota that it reports, whether other poolers may now get more)
    let cases =
        [(0, 9, true), (0, 9, false), (1, 9, false), (0, 4, true), (0, 2, false), (1, 10, true)];
    for (row, (pooler, quota, freed)) in cases.into_iter().enumerate() {
        let services = table.report_quotas(&node(pooler), vec![(service(), quota)], START);
        assert_eq!(services == [service()], freed, "row {row}: {services:?}");
    }
}

/// Four poolers share nine connections: two each, and one remains.
#[test]
fn a_remaining_connection_is_granted_once_and_reevaluated_until_it_is_released() {
    let mut table = table(4);
    table.request_quota(&node(0), &service(), 5, START);
    assert_eq!(grant_quota(&mut table, 0, 12, START), 3);
    // The shares of the others stay reserved, though these have not been granted yet.
    table.request_quota(&node(1), &service(), 5, START);
    assert_eq!(
        grant_quota(&mut table, 1, 12, START),
        2,
        "the remaining connection is granted already"
    );
    // (ms after the request, quota that the first pooler reports, quota that it is granted, whether
    // it is reevaluated afterwards)
    for (after_ms, reported, quota, reevaluated) in
        [(2_999, 3, 3, true), (3_000, 3, 2, true), (3_100, 3, 2, true), (3_200, 2, 2, false)]
    {
        let now = START.plus(after_ms);
        table.report_quotas(&node(0), vec![(service(), reported)], now);
        assert_eq!(grant_quota(&mut table, 0, 12, now), quota, "after {after_ms} ms");
        assert_eq!(
            table.services_with_quota_requests(&node(0)).count() == 1,
            reevaluated,
            "after {after_ms} ms"
        );
    }
}

#[test]
fn a_subset_is_sent_once_per_connection() {
    let mut subset_assignments = SubsetAssignments::new(START);
    subset_assignments.report_load(&node(0), "here", service(), 100);
    subset_assignments.rebalance(|_| true, START.plus(3_000));
    for (row, (include_unchanged, sent)) in
        [(false, 1), (false, 0), (true, 1)].into_iter().enumerate()
    {
        assert_eq!(
            subset_assignments.take_updates(&node(0), include_unchanged).len(),
            sent,
            "row {row}"
        );
    }
}

/// Records the messages and requests of a controller instead of sending them.
#[derive(Default)]
struct RecordedEffects {
    write_started: bool,
    database_requests: Vec<(InstanceId, DatabaseRequest, Attempt)>,
    promotions: Vec<(InstanceId, Attempt)>,
    sent_to_poolers: Vec<(u64, ToPooler)>,
    raft_messages: Vec<(MemberId, RaftMessage)>,
    leader_lease: Option<LeaderLease>,
}
impl RecordedEffects {
    fn record_frame(&mut self, connection: u64, frame: &[u8]) {
        if let Ok(Frame::Controller(message)) = receive(&mut &frame[..]) {
            self.sent_to_poolers.push((connection, message));
        }
    }
}
impl Effects for RecordedEffects {
    fn set_leader_lease(&mut self, lease: Option<LeaderLease>) {
        self.leader_lease = lease;
    }
    fn send_raft(&mut self, to: MemberId, _: SocketAddr, message: RaftMessage, _: Tick) {
        self.raft_messages.push((to, message));
    }
    fn retain_peer_links(&mut self, _: &[Member]) {}
    fn start_write(&mut self, _: WriteBatch) -> bool {
        self.write_started = true;
        true
    }
    fn request_membership(&mut self, _: SocketAddr, _: Member, _: bool) {}
    fn call_database(
        &mut self,
        _: &ServiceName,
        id: &InstanceId,
        _: SocketAddr,
        request: DatabaseRequest,
        attempt: Attempt,
    ) -> bool {
        self.database_requests.push((id.clone(), request, attempt));
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
        self.promotions.push((target.clone(), attempt));
    }
    fn send(&mut self, connection: u64, frame: Arc<[u8]>) {
        self.record_frame(connection, &frame);
    }
    fn send_first(&mut self, connection: u64, frame: Arc<[u8]>) {
        self.record_frame(connection, &frame);
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

/// A leading controller with followers that only respond to it, or without followers. The primary
/// is `a` in term 1, its replicas are `b` and `c`.
struct Leader {
    controller: Controller<RecordedEffects>,
    followers: Vec<RaftNode>,
    /// Whether the followers are unreachable.
    partitioned: bool,
    now: Tick,
}
impl Leader {
    /// A leader without followers. The commands are applied to the state before it is elected.
    fn new(sync_replicas: u32, initial_commands: &[Command]) -> Self {
        Self::with_voters(1, sync_replicas, initial_commands)
    }
    fn with_voters(voters: u64, sync_replicas: u32, initial_commands: &[Command]) -> Self {
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
        for command in initial_commands {
            assert_eq!(state_machine.apply(command), CommandOutcome::Applied, "{command:?}");
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
        let persisted = |id| PersistentState {
            member_id: MemberId(id),
            term: Term(1),
            snapshot: snapshot.clone(),
            ..PersistentState::default()
        };
        let follower = |id| RaftNode::new(persisted(id), false, START, || 10);
        let settings = Settings::parse(SETTINGS).expect("settings");
        let controller =
            Controller::new(settings, persisted(1), true, || 10, RecordedEffects::default(), START);
        let followers = (2..=voters).map(follower).collect();
        let controller = controller.expect("controller");
        let mut leader = Self { controller, followers, partitioned: false, now: START };
        leader.run(10_000);
        assert!(leader.controller.raft().holds_leader_lease(leader.now), "it is the leader");
        leader
    }
    fn step(&mut self) {
        self.controller.step(self.now).expect("applied entries");
        while std::mem::take(&mut self.controller.effects.write_started) {
            self.controller.handle_input(Input::WriteFinished(Ok(())), self.now);
            self.controller.step(self.now).expect("applied entries");
            self.deliver_raft_messages();
        }
        self.deliver_raft_messages();
    }
    /// Delivers Raft messages to the followers, and their responses, until no more are sent.
    fn deliver_raft_messages(&mut self) {
        loop {
            let messages = std::mem::take(&mut self.controller.effects.raft_messages);
            if messages.is_empty() || self.partitioned {
                return;
            }
            for (to, message) in messages {
                let follower =
                    self.followers.iter_mut().find(|follower| follower.state.member_id == to);
                let follower = follower.expect("a follower");
                follower.step(message, self.now);
                follower.unsaved = UnsavedChanges::default();
                follower.log_persisted(follower.last_position());
                for (to, response) in follower.outbox.drain(..) {
                    let message = Box::new(response);
                    self.controller
                        .handle_input(Input::Frame(0, Frame::Raft { to, message }), self.now);
                }
            }
            self.controller.step(self.now).expect("applied entries");
        }
    }
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now = self.now.plus(10);
            self.step();
        }
    }
    fn receive(&mut self, connection: u64, message: ToController) {
        self.controller.handle_input(Input::Frame(connection, Frame::Pooler(message)), self.now);
        self.step();
    }
    fn register_pooler(&mut self, connection: u64, name: &str) {
        self.register_pooler_with_layout(connection, name, LAYOUT);
    }
    /// Registers a pooler that supports this message layout.
    fn register_pooler_with_layout(&mut self, connection: u64, name: &str, layout: u8) {
        let (node, zone, revision) = (name.into(), "z".into(), Revision(1));
        self.controller.handle_input(Input::NodeLayout(connection, layout), self.now);
        self.receive(connection, ToController::Hello { node, incarnation: 1, revision, zone });
    }
    fn disconnect_pooler(&mut self, connection: u64) {
        self.controller.handle_input(Input::Closed(connection), self.now);
        self.step();
    }
    /// Sends a renewal with observed positions. Returns the grant and the position bound of the
    /// service in its response, or `None` without a response.
    fn renew_with_observations(
        &mut self,
        connection: u64,
        seq: u64,
        last_grant_seq: u64,
        observed: Vec<ObservedPosition>,
    ) -> RenewalResponse {
        self.controller.effects.sent_to_poolers.clear();
        let (quotas, demand, load) = (Vec::new(), Vec::new(), Vec::new());
        let bounds_requested = vec![service()];
        self.receive(
            connection,
            ToController::RenewLeases {
                seq,
                last_grant_seq,
                quotas,
                demand,
                observed,
                bounds_requested,
                load,
            },
        );
        let messages = std::mem::take(&mut self.controller.effects.sent_to_poolers).into_iter();
        let mut responses = messages.filter_map(|(to, message)| match message {
            ToPooler::LeaseGrants { seq: response_seq, grants, position_bounds, .. }
                if (to, response_seq) == (connection, seq) =>
            {
                Some((grants.into_iter().next(), position_bounds.into_iter().next()))
            }
            _ => None,
        });
        responses.next_back()
    }
    /// Renews and returns the grant if it is sent.
    fn renew(&mut self, connection: u64) -> Option<LeaseGrant> {
        self.renew_with_observations(connection, 1, 0, Vec::new()).expect("a response").0
    }
    fn status(&mut self, connection: u64) -> Option<PrimaryStatus> {
        self.renew(connection).map(|grant| grant.status)
    }
    fn granted_quota(&mut self, connection: u64) -> Option<u32> {
        self.renew(connection).map(|grant| grant.quota)
    }
    fn report_quota(&mut self, connection: u64, quota: u32) {
        let (quotas, demand, observed) = (vec![(service(), quota)], Vec::new(), Vec::new());
        let (seq, last_grant_seq, bounds_requested, load) = (1, 0, Vec::new(), Vec::new());
        self.receive(
            connection,
            ToController::RenewLeases {
                seq,
                last_grant_seq,
                quotas,
                demand,
                observed,
                bounds_requested,
                load,
            },
        );
    }
    /// Delivers a database's response to its first request of this kind.
    fn respond(
        &mut self,
        id: &str,
        kind: fn(&DatabaseRequest) -> bool,
        response: DatabaseResponse,
    ) {
        let requests = &mut self.controller.effects.database_requests;
        let index = requests
            .iter()
            .position(|(instance, request, _)| *instance == id.into() && kind(request));
        let (id, request, attempt) =
            requests.remove(index.unwrap_or_else(|| panic!("no such request to {id}")));
        self.controller.handle_input(
            Input::DatabaseResponse {
                service: service(),
                instance: id,
                request,
                attempt,
                response,
            },
            self.now,
        );
        self.step();
    }
    /// Delivers the same response to all requests of this kind to a database.
    fn respond_to_all(
        &mut self,
        id: &str,
        kind: fn(&DatabaseRequest) -> bool,
        response: &DatabaseResponse,
    ) {
        while self.has_request(id, kind) {
            self.respond(id, kind, response.clone());
        }
    }
    fn has_request(&self, id: &str, kind: fn(&DatabaseRequest) -> bool) -> bool {
        self.controller
            .effects
            .database_requests
            .iter()
            .any(|(instance, request, _)| *instance == id.into() && kind(request))
    }
    /// Lets the replicas continue after the change of leader.
    fn resume_replicas(&mut self, replicas: &[&str]) {
        for id in replicas {
            // The request was repeated while the leader waited.
            while self.has_request(id, |request| *request == DatabaseRequest::Continue) {
                self.respond(
                    id,
                    |request| *request == DatabaseRequest::Continue,
                    described(false, 1, 7),
                );
            }
        }
    }
    /// A pooler reports the primary as suspect, and the primary is unavailable.
    fn lose_primary(&mut self, connection: u64) {
        let (instance, reason) = ("a".into(), SuspicionReason::ConnectionsBroken);
        self.receive(connection, ToController::Suspect { service: service(), instance, reason });
        self.respond(
            "a",
            |request| *request == DatabaseRequest::Describe,
            DatabaseResponse::ConnectionRefused,
        );
    }
    fn primary(&self) -> &PrimaryRecord {
        &self.controller.state_machine().primaries()[&service()]
    }
}
type RenewalResponse = Option<(Option<LeaseGrant>, Option<PositionBound>)>;

/// A database response with its role, its term and the last log position that it received.
fn described(primary: bool, term: u64, number: u64) -> DatabaseResponse {
    DatabaseResponse::Description(ServerDescription {
        primary,
        term: DbTerm(term),
        received: at(number),
    })
}
fn is_pause(request: &DatabaseRequest) -> bool {
    matches!(request, DatabaseRequest::Pause(_))
}

/// Whether a request is one that a replica gets after the loss of its primary.
fn is_pause_or_describe(request: &DatabaseRequest) -> bool {
    is_pause(request) || *request == DatabaseRequest::Describe
}

/// Follows a failover from the loss of the primary to the next term, as poolers see it.
#[test]
fn a_revoked_lease_is_not_renewed_and_the_next_primary_waits_for_its_end() {
    let revoke_ack =
        |highest| ToController::RevokeAck { service: service(), term: DbTerm(1), highest };
    // (what the pooler does, ms after its last renewal from which the next primary may be chosen)
    for (case, min_delay_ms) in [
        ("nothing", LEASE_ENDS_MS),
        ("disconnects", LEASE_ENDS_MS),
        ("gives up its lease", 0),
        ("goodbye", LEASE_ENDS_MS),
        ("gives up its lease, goodbye", 0),
    ] {
        let mut leader = Leader::new(1, &[]);
        leader.resume_replicas(&["b", "c"]);
        leader.register_pooler(1, "n1");
        leader.register_pooler(2, "n2");
        assert_eq!(leader.status(1), Some(active(1)), "{case}");
        let leased_at = leader.now;
        leader.lose_primary(2);
        assert_eq!(leader.status(2), Some(PrimaryStatus::Absent), "{case}: it had no lease");
        match case {
            "disconnects" => leader.disconnect_pooler(1),
            "gives up its lease" => leader.receive(1, revoke_ack(Some(at(8)))),
            "goodbye" => leader.receive(1, ToController::Goodbye),
            "gives up its lease, goodbye" => {
                leader.receive(1, revoke_ack(Some(at(8))));
                leader.receive(1, ToController::Goodbye);
            }
            _ => assert_eq!(leader.status(1), Some(PrimaryStatus::Absent)),
        }
        leader.respond_to_all("b", is_pause, &described(false, 1, 7));
        leader.respond_to_all("c", is_pause, &described(false, 1, 9));
        while leader.primary().intent.is_none() {
            assert!(leader.now.since(leased_at) < min_delay_ms + 200, "{case}: none is chosen");
            leader.run(50);
            leader.respond_to_all("b", is_pause, &described(false, 1, 7));
            leader.respond_to_all("c", is_pause, &described(false, 1, 9));
        }
        assert!(leader.now.since(leased_at) >= min_delay_ms, "{case}: chosen during a lease");
        assert_eq!(leader.primary().intent, Some("c".into()), "{case}");
        for _ in 0..2 {
            assert_eq!(leader.status(2), Some(PrimaryStatus::Sealed(at(9))), "{case}: resent");
        }
        let (target, attempt) = leader.controller.effects.promotions.pop().expect("a promotion");
        let response = Input::PromotionResponse {
            service: service(),
            target,
            attempt,
            response: PromotionResponse::Accepted,
        };
        leader.controller.handle_input(response, leader.now);
        leader.run(600);
        leader.respond("c", |request| *request == DatabaseRequest::Describe, described(true, 2, 9));
        leader.run(150);
        assert_eq!(
            (&leader.primary().primary, leader.primary().term),
            (&"c".into(), TERM),
            "{case}"
        );
        let next_status = PrimaryStatus::Active { term: TERM, primary: "c".into() };
        assert_eq!(leader.status(2), Some(next_status), "{case}");
    }
}

/// The leader lease shared with other threads never outlasts the one that the leader itself holds.
#[test]
fn threads_act_for_a_leader_only_while_its_lease_is_valid() {
    for voters in [1, 3, 5] {
        let mut leader = Leader::with_voters(voters, 1, &[]);
        let shared = SharedLeaderLease::default();
        let term = leader.controller.raft().state.term;
        assert!(!shared.covers(term, leader.now), "no lease was set");
        shared.set(leader.controller.effects.leader_lease);
        assert!(shared.covers(term, leader.now), "{voters}");
        for other_term in [Term(term.0 - 1), Term(term.0 + 1)] {
            assert!(!shared.covers(other_term, leader.now), "{voters}: {other_term:?}");
        }
        // Once the followers don't respond, the shared lease expires without being set again.
        leader.partitioned = true;
        let partitioned_at = leader.now;
        while leader.now.since(partitioned_at) < 1_000 {
            let holds_lease = leader.controller.raft().holds_leader_lease(leader.now);
            let covered = shared.covers(term, leader.now);
            assert!(
                !covered || holds_lease,
                "{voters}: after {} ms",
                leader.now.since(partitioned_at)
            );
            leader.run(10);
        }
        assert!(!shared.covers(term, leader.now), "{voters}: the shared lease has expired");
        shared.set(leader.controller.effects.leader_lease);
        assert_eq!(
            shared.covers(term, leader.now),
            voters == 1,
            "{voters}: a single voter keeps its lease"
        );
        leader.partitioned = false;
        leader.run(200);
        leader.controller.transfer_leadership(leader.now);
        shared.set(leader.controller.effects.leader_lease);
        assert!(
            voters == 1 || !shared.covers(term, leader.now),
            "{voters}: leadership is transferred"
        );
    }
}

/// A leader that hands over from the draining primary to `b`, with `n1` and `n2` as poolers.
/// Returns the handover as well.
fn handing_over(layout_of_n2: u8) -> (Leader, Handover) {
    let mut leader = Leader::new(1, &[]);
    leader.resume_replicas(&["b", "c"]);
    leader.register_pooler(1, "n1");
    leader.register_pooler_with_layout(2, "n2", layout_of_n2);
    for connection in [1, 2] {
        assert_eq!(leader.status(connection), Some(active(1)), "{connection}");
    }
    leader.controller.effects.sent_to_poolers.clear();
    let body = serde_json::json!({
        "target_service": "s", "address": "10.0.0.9:1", "zone": "z", "revision": "v1", "capacity": 7,
        "lifecycle_state": "draining", "warmup_left_ms": 0, "database_role": "primary",
        "sequence": 2,
    });
    let (path, body) = ("/instances/a".to_owned(), body.to_string().into_bytes());
    let request = Request { method: "PUT".to_owned(), path, if_match: None, body };
    let (reply, _response) = sync_channel(1);
    leader.controller.handle_input(Input::AdminRequest(request, reply), leader.now);
    leader.run(50);
    let handover =
        leader.controller.effects.sent_to_poolers.iter().find_map(|(to, message)| match message {
            ToPooler::HandOver { handover, .. } if *to == 1 => Some(handover.clone()),
            _ => None,
        });
    let handover = handover.expect("a handover is sent to `n1`");
    assert_eq!((&handover.target, handover.term), (&"b".into(), DbTerm(1)));
    (leader, handover)
}

/// Runs until `b` is chosen and returns after how many ms, or `None` if the handover is cancelled.
/// The databases respond to all requests, and `n2` may continue to renew its lease.
fn run_until_chosen(leader: &mut Leader, n2_renews: bool) -> Option<u64> {
    let is_describe = |request: &DatabaseRequest| *request == DatabaseRequest::Describe;
    let started_at = leader.now;
    while leader.now.since(started_at) < 2_500 {
        leader.respond_to_all("a", is_describe, &described(true, 1, 9));
        leader.respond_to_all("b", is_describe, &described(false, 1, 9));
        if n2_renews {
            assert_ne!(leader.status(2), Some(active(1)), "the handover stays in its grant");
        }
        if leader.primary().intent.is_some() {
            return Some(leader.now.since(started_at));
        }
        leader.run(10);
    }
    None
}

/// Guards against a handover that relies on a replica's response while some pooler still
/// forwards whatever the old primary acknowledges.
#[test]
fn a_handover_waits_until_no_pooler_forwards_commits_that_the_target_lacks() {
    // (what happens to `n2`, ms until `b` may be chosen, `None` if the handover is cancelled)
    for (case, min_delay_ms) in [
        ("confirms", Some(0)),
        ("confirms another handover", Some(LEASE_ENDS_MS)),
        ("gives up its lease", Some(0)),
        ("disconnects", Some(LEASE_ENDS_MS)),
        ("is restarted", Some(0)),
        ("renews without confirming", None),
        ("is of an older version", Some(0)),
    ] {
        let is_older_version = case == "is of an older version";
        let (mut leader, handover) =
            handing_over(if is_older_version { CHUNKS_LAYOUT } else { LAYOUT });
        let handover_ack = |number| ToController::HandOverAck {
            service: service(),
            handover: number,
            highest: None,
        };
        let revoke_ack =
            || ToController::RevokeAck { service: service(), term: DbTerm(1), highest: None };
        // The grants of known and of new poolers contain the handover.
        let status = PrimaryStatus::HandingOver { primary: "a".into(), handover: handover.clone() };
        assert_eq!(leader.status(1), None, "{case}: it was notified");
        leader.register_pooler(3, "n3");
        assert_eq!(leader.status(3), Some(status.clone()), "{case}");
        for connection in [1, 3] {
            leader.receive(connection, handover_ack(handover.number));
        }
        match case {
            "confirms" => leader.receive(2, handover_ack(handover.number)),
            "confirms another handover" => leader.receive(2, handover_ack(handover.number + 1)),
            "gives up its lease" => leader.receive(2, revoke_ack()),
            "disconnects" => leader.disconnect_pooler(2),
            "is restarted" => {
                let (node, zone, revision) = ("n2".into(), "z".into(), Revision(1));
                let hello = ToController::Hello { node, incarnation: 2, revision, zone };
                leader.controller.handle_input(Input::NodeLayout(4, LAYOUT), leader.now);
                leader.receive(4, hello);
            }
            "is of an older version" => {
                assert_eq!(leader.status(2), Some(PrimaryStatus::Absent));
                leader.receive(2, revoke_ack());
            }
            _ => assert_eq!(case, "renews without confirming"),
        }
        let chosen_after_ms = run_until_chosen(&mut leader, case.starts_with("renews"));
        match min_delay_ms {
            Some(min_delay_ms) => {
                let delay_ms = chosen_after_ms.unwrap_or(u64::MAX);
                assert!(
                    delay_ms + 60 >= min_delay_ms && delay_ms < min_delay_ms + 100,
                    "{case}: after {delay_ms} ms"
                );
            }
            None => assert_eq!(chosen_after_ms, None, "{case}"),
        }
        if chosen_after_ms.is_none() {
            // After the handover was cancelled, the lease is granted as before.
            leader.run(1_000);
            assert_eq!(leader.status(1), Some(active(1)), "{case}");
        }
    }
}

/// Only replica `b` of two responds, with position 7.
#[test]
fn reports_replace_a_missing_replica_only_if_all_poolers_sent_one() {
    let cases = [
        ("nothing", 1, 12_000, false),
        ("disconnects", 1, 12_000, false),
        ("disconnects", 0, 1_000, false),
        ("disconnects", 0, 12_000, true),
        ("reports 7", 1, 1_000, true),
        ("reports 8", 1, 12_000, false),
        ("reports 7, no watermark", 1, 12_000, false),
        ("reports 7", 0, 1_000, true),
    ];
    // (what the pooler does, synchronous replicas, ms, whether `b` is chosen)
    for (case, sync_replicas, ms, is_chosen) in cases {
        let mut leader = Leader::new(sync_replicas, &[]);
        leader.resume_replicas(&["b", "c"]);
        leader.register_pooler(1, "n1");
        leader.register_pooler(2, "n2");
        assert_eq!(leader.status(1), Some(active(1)), "{case}");
        // A position observed since the election covers poolers that only an earlier leader knew.
        if case != "reports 7, no watermark" {
            leader.run(100);
            let observation = ObservedPosition {
                service: service(),
                term: DbTerm(1),
                position: at(6),
                sent_after_ms: 50,
            };
            leader.renew_with_observations(1, 2, 1, vec![observation]).expect("a response");
        }
        leader.lose_primary(2);
        let revoke_ack = |number| {
            let highest = Some(at(number));
            ToController::RevokeAck { service: service(), term: DbTerm(1), highest }
        };
        match case {
            "disconnects" => leader.disconnect_pooler(1),
            "reports 7" | "reports 7, no watermark" => leader.receive(1, revoke_ack(7)),
            "reports 8" => leader.receive(1, revoke_ack(8)),
            _ => assert_eq!(case, "nothing"),
        }
        // The other pooler never had a lease, and reports that it forwarded nothing.
        leader.receive(
            2,
            ToController::RevokeAck { service: service(), term: DbTerm(1), highest: None },
        );
        leader.respond("b", is_pause_or_describe, described(false, 1, 7));
        leader.run(ms);
        let target = is_chosen.then(|| "b".into());
        assert_eq!(leader.primary().intent, target, "{case} {sync_replicas} {ms}");
    }
}

#[test]
fn a_departed_replica_does_not_delay_a_handover() {
    let removal = Command::RemoveInstance { id: "c".into(), sequence: u64::MAX };
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
        let commands = if departed { vec![draining(), removal.clone()] } else { vec![draining()] };
        let mut leader = Leader::new(sync_replicas, &commands);
        leader.resume_replicas(if departed { &["b"] } else { &["b", "c"] });
        leader.run(200);
        // No pooler could forward a commit, so the target is asked at once.
        let asked = leader.has_request("b", |request| *request == DatabaseRequest::Describe);
        assert!(asked, "{sync_replicas} {departed}");
    }
}

#[test]
fn the_age_of_a_watermark_counts_from_the_response_received_before_it() {
    // (the response that the pooler reports as its last, ms from then to the observation, the age
    // that is sent to others)
    let cases = [
        (1, 100, Some(1_401)),
        (2, 100, Some(401)),
        (1, 1_500, Some(1)),
        (2, 501, None),
        (0, 0, None),
        (9, 0, None),
    ];
    for (last_grant_seq, sent_after_ms, age_ms) in cases {
        let mut leader = Leader::new(1, &[]);
        leader.resume_replicas(&["b", "c"]);
        leader.register_pooler(1, "n1");
        leader.register_pooler(2, "n2");
        leader.renew_with_observations(1, 1, 0, Vec::new()).expect("a response");
        leader.run(1_000);
        leader.renew_with_observations(1, 2, 1, Vec::new()).expect("a response");
        leader.run(500);
        let observation = ObservedPosition {
            service: service(),
            term: DbTerm(1),
            position: at(7),
            sent_after_ms,
        };
        leader
            .renew_with_observations(1, 3, last_grant_seq, vec![observation])
            .expect("a response");
        let (_, bound) = leader.renew_with_observations(2, 1, 0, Vec::new()).expect("a response");
        assert_eq!(bound.map(|bound| bound.age_ms), age_ms, "{last_grant_seq} {sent_after_ms}");
    }
}

#[test]
fn messages_on_an_older_connection_of_a_pooler_are_ignored() {
    let mut leader = Leader::new(1, &[]);
    leader.resume_replicas(&["b", "c"]);
    leader.register_pooler(1, "n1");
    leader.register_pooler(2, "n1");
    assert_eq!(
        leader.renew_with_observations(1, 1, 0, Vec::new()),
        None,
        "no lease on the older connection"
    );
    assert_eq!(leader.status(2), Some(active(1)));
    assert_eq!(leader.status(2), None, "nothing changed, so only the lease is renewed");
    // A delayed revocation or goodbye would end the grants on the newer connection.
    for delayed in [
        ToController::RevokeAck { service: service(), term: DbTerm(1), highest: None },
        ToController::Goodbye,
    ] {
        leader.receive(1, delayed);
        assert_eq!(leader.status(2), None, "its grant is unchanged");
    }
    leader.disconnect_pooler(1);
    assert_eq!(leader.status(2), None, "the end of the older connection is no disconnection");
}

/// Twelve of sixteen connections can be granted.
#[test]
fn quotas_are_rebalanced_as_poolers_connect_and_disconnect() {
    let mut leader = Leader::new(1, &[]);
    leader.resume_replicas(&["b", "c"]);
    leader.register_pooler(1, "n1");
    assert_eq!(leader.granted_quota(1), Some(12));
    leader.register_pooler(2, "n2");
    assert_eq!(leader.granted_quota(2), Some(0), "the first pooler has all");
    assert_eq!(leader.granted_quota(1), Some(6), "it has to release some");
    assert_eq!(leader.granted_quota(2), None, "the first has not released any yet");
    leader.report_quota(1, 12);
    assert_eq!(leader.granted_quota(2), None);
    leader.report_quota(1, 6);
    assert_eq!(leader.granted_quota(2), Some(6));
    leader.disconnect_pooler(1);
    leader.run(4_400);
    assert_eq!(leader.granted_quota(2), None, "its connections may still be open");
    leader.run(300);
    assert_eq!(leader.granted_quota(2), Some(12));
}

/// Another controller may lead by then, and may have granted leases, sent requests to databases or
/// promoted a replica.
#[test]
fn a_leader_without_its_quorum_grants_no_leases_and_sends_no_requests() {
    let mut leader = Leader::with_voters(3, 1, &[]);
    leader.resume_replicas(&["b", "c"]);
    leader.register_pooler(1, "n1");
    assert_eq!(leader.status(1), Some(active(1)));
    leader.partitioned = true;
    while leader.controller.raft().holds_leader_lease(leader.now) {
        leader.run(10);
    }
    assert!(leader.controller.raft().is_leader(), "it has not stepped down yet");
    assert_eq!(leader.renew_with_observations(1, 2, 1, Vec::new()), None, "no lease is renewed");
    leader.controller.effects.database_requests.clear();
    let (instance, reason) = ("a".into(), SuspicionReason::ConnectionsBroken);
    leader.receive(1, ToController::Suspect { service: service(), instance, reason });
    assert_eq!(leader.controller.effects.database_requests, [], "no database gets a request");
    leader.controller.effects.sent_to_poolers.clear();
    leader.register_pooler(2, "n2");
    assert!(leader.controller.effects.sent_to_poolers.is_empty(), "no new pooler is registered");
    // Once it reaches its quorum again, it continues.
    leader.partitioned = false;
    leader.run(500);
    assert!(leader.controller.raft().holds_leader_lease(leader.now));
    assert!(
        leader.controller.effects.sent_to_poolers.iter().any(|(to, _)| *to == 2),
        "the new pooler is registered"
    );
    assert_eq!(leader.status(2), Some(active(1)));
}

fn http_request(method: &str, path: &str, body: &serde_json::Value) -> Request {
    let (method, path) = (method.to_owned(), path.to_owned());
    Request { method, path, if_match: None, body: body.to_string().into_bytes() }
}

/// A primary is suspected once it has missed three heartbeats of 600 s.
#[test]
fn only_a_newer_heartbeat_shows_that_a_primary_is_alive() {
    // (the sequence number of a heartbeat 200 s before the end of that time, if one arrives;
    // whether the primary is suspected afterwards)
    for (sequence, suspected) in [(None, true), (Some(0), true), (Some(1), true), (Some(2), false)]
    {
        let mut leader = Leader::new(1, &[]);
        leader.resume_replicas(&["b", "c"]);
        leader.now = leader.now.plus(1_600_000);
        leader.run(100);
        assert!(
            !leader.has_request("a", |request| *request == DatabaseRequest::Describe),
            "the primary is suspected too early"
        );
        if let Some(sequence) = sequence {
            let body = serde_json::json!({
                "target_service": "s", "address": "10.0.0.9:1", "zone": "z", "revision": "v1",
                "capacity": 7, "lifecycle_state": "available", "warmup_left_ms": 0,
                "database_role": "primary", "sequence": sequence,
            });
            let (reply, response) = sync_channel(1);
            let heartbeat = http_request("PUT", "/instances/a", &body);
            leader.controller.handle_input(Input::AdminRequest(heartbeat, reply), leader.now);
            leader.step();
            assert_eq!(response.try_recv().map(|response| response.status), Ok(200), "{sequence}");
        }
        leader.now = leader.now.plus(300_000);
        leader.run(100);
        assert_eq!(
            leader.has_request("a", |request| *request == DatabaseRequest::Describe),
            suspected,
            "{sequence:?}"
        );
    }
}

#[test]
fn a_raft_message_to_another_member_is_ignored() {
    let message = || {
        let previous = LogPosition::new(Term(0), LogIndex(0));
        let (entries, commit_index, sent_at) = (Vec::new(), LogIndex(0), 0);
        let kind = RaftMessageKind::AppendEntries { previous, entries, commit_index, sent_at };
        Box::new(RaftMessage { from: MemberId(2), term: Term(99), kind })
    };
    for (to, accepted) in [(1, true), (2, false), (9, false)] {
        let mut leader = Leader::with_voters(3, 1, &[]);
        let frame = Frame::Raft { to: MemberId(to), message: message() };
        leader.controller.handle_input(Input::Frame(0, frame), leader.now);
        assert_eq!(leader.controller.raft().is_leader(), !accepted, "to {to}");
    }
}

#[test]
fn a_pending_admin_request_fails_when_another_leader_is_elected() {
    let mut leader = Leader::with_voters(3, 1, &[]);
    leader.partitioned = true;
    let (reply, response) = sync_channel(1);
    let request = http_request("DELETE", "/instances/b", &serde_json::Value::Null);
    leader.controller.handle_input(Input::AdminRequest(request, reply), leader.now);
    leader.step();
    assert!(response.try_recv().is_err(), "the request waits for the quorum");
    let previous = LogPosition::new(Term(0), LogIndex(0));
    let (entries, commit_index, sent_at) = (Vec::new(), LogIndex(0), 0);
    let kind = RaftMessageKind::AppendEntries { previous, entries, commit_index, sent_at };
    let message = Box::new(RaftMessage { from: MemberId(2), term: Term(99), kind });
    leader
        .controller
        .handle_input(Input::Frame(0, Frame::Raft { to: MemberId(1), message }), leader.now);
    leader.step();
    assert_eq!(response.try_recv().map(|response| response.status), Ok(503));
}
