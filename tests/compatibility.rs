//! Compatibility of the wire protocol and of stored state with earlier releases, byte for byte. Rust
//! names may change, but neither the files in `tests/data` nor the encoded names listed here.
//!
//! Two files were written by the program of commit e679ba0: the frames with `encode` of `frames()`,
//! concatenated, and the state with `RaftStorage::open_or_initialize` of `persistent_state()`,
//! converted to SQL by `dump`. The frames that layout 3 added were written by the program that
//! introduced it, with `encode` of `frames_of_layout_3()`; those of layout 5 likewise.
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_bytes::ByteBuf;
use sha2::{Digest as _, Sha256};
use silvertack::base::ids::{
    DbTerm, LogIndex, MemberId, NodeName, Position, Revision, ServiceName, TenantName, Term,
};
use silvertack::config::configuration::{Configuration, SessionLimits};
use silvertack::config::directory::{DirectoryEntry, Instance, Lifecycle, Role};
use silvertack::config::route_table::{DeltaRun, RouteTable};
use silvertack::config::tenants::TenantTable;
use silvertack::net::rpc::pooler_messages::{
    Handover, LeaseGrant, ObservedPosition, OperationGrant, OperationRequest, PositionBound,
    PrimaryStatus, SubsetRange, SuspicionReason, ToController, ToPooler,
};
use silvertack::net::rpc::raft_messages::{
    EntryPayload, JoinResponse, LogEntry, LogPosition, Member, RaftMessage, RaftMessageKind,
    Snapshot,
};
use silvertack::net::rpc::{
    Frame, LAYOUT, ReceivedFrame, encode, pack, receive_with_layout, unpack,
};
use silvertack::raft::state::PersistentState;
use silvertack::raft::storage::{InitializedStorage, OpenedStorage, RaftStorage};
use silvertack::state_machine::{Command, CommandOutcome, StateMachine, decode_persistent_state};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const FRAMES: &[u8] = include_bytes!("data/frames-e679ba0.bin");
const FRAMES_OF_LAYOUT_3: &[u8] = include_bytes!("data/frames-layout-3.bin");
const FRAMES_OF_LAYOUT_5: &[u8] = include_bytes!("data/frames-layout-5.bin");
const STATE: &str = include_str!("data/state-e679ba0.sql");

fn at(text: &str) -> SocketAddr {
    text.parse().expect("address")
}
fn member(id: u64, voter: bool, can_vote: bool) -> Member {
    Member {
        id: MemberId(id),
        node: NodeName(format!("node{id}")),
        peer: at(&format!("10.0.0.{id}:7001")),
        admin: at(&format!("[fd00::{id}]:7002")),
        voter,
        can_vote,
    }
}
fn members() -> Vec<Member> {
    vec![member(5, true, true), member(6, false, true), member(7, false, false)]
}
fn entry(term: u64, index: u64, payload: EntryPayload) -> LogEntry {
    LogEntry { term: Term(term), index: LogIndex(index), payload }
}
fn bytes(content: &[u8]) -> ByteBuf {
    ByteBuf::from(content.to_vec())
}
fn limits(base: u64) -> SessionLimits {
    SessionLimits {
        txn_idle_ms: base + 1,
        max_header_bytes: base as usize + 2,
        max_body_bytes: base + 3,
        header_timeout_ms: base + 4,
        idle_timeout_ms: base + 5,
    }
}
/// A configuration with a route of each given type, and both kinds of targets.
fn configuration(revision: u64, routes: &[&str]) -> Vec<u8> {
    let route = |(at, kind): (usize, &&str)| {
        let base = 10 * (at as u64 + 1);
        let mut route = serde_json::json!({
            "name": format!("r{at}"), "hostname": format!("h{at}"), "path_prefix": format!("/p{at}/"),
            "route_type": kind, "timeout_ms": base, "target_latency_ms": base + 1,
            "priority": base + 2, "max_attempts": base + 3, "stale_ms": base + 4,
        });
        if at == 0 {
            route["weighted_targets"] = serde_json::json!([
                { "target_service": "s", "weight": 3 }, { "target_service": "t", "weight": 4 }]);
        } else {
            route["target_service"] = "t".into();
        }
        route
    };
    serde_json::json!({
        "revision": revision,
        "route_rules": routes.iter().enumerate().map(route).collect::<Vec<_>>(),
        "services": [
            { "name": "s", "max_connections": 21, "sync_replicas": 2 },
            { "name": "t", "max_connections": 22, "sync_replicas": 1 },
        ],
        "limits": { "txn_idle_ms": 301, "max_header_bytes": 302, "max_body_bytes": 303,
            "header_timeout_ms": 304, "idle_timeout_ms": 305 },
    })
    .to_string()
    .into_bytes()
}
const ROUTE_TYPES: [&str; 6] =
    ["primary", "bounded", "read_your_writes", "idempotent", "non_idempotent", "download"];
fn route_table(revision: u64, routes: &[&str]) -> RouteTable {
    RouteTable::of(&Configuration::read(&configuration(revision, routes)).expect("valid"))
}
fn directory_entry(id: &str, draining: bool) -> DirectoryEntry {
    DirectoryEntry {
        id: id.into(),
        service: "s".into(),
        address: at("10.0.1.1:5432"),
        zone: "z1".into(),
        draining,
        capacity: 31,
    }
}
fn position(term: u64, number: u64) -> Position {
    Position { term: DbTerm(term), number }
}
fn grant(service: &str, status: PrimaryStatus, quota: u32) -> LeaseGrant {
    LeaseGrant { service: service.into(), status, quota }
}

/// A frame with every variant of the messages on the peer port, each field with a different value.
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn frames() -> Vec<Frame> {
    let (s, t) = (ServiceName::from("s"), ServiceName::from("t"));
    let request_vote =
        |pre_vote, leadership_transfer, led_previous_term| RaftMessageKind::RequestVote {
            pre_vote,
            leadership_transfer,
            led_previous_term,
            last_log: LogPosition::new(Term(41), LogIndex(42)),
        };
    let entries = vec![
        entry(43, 44, EntryPayload::NoOp),
        entry(45, 46, EntryPayload::Membership(members())),
        entry(47, 48, EntryPayload::Command(bytes(&[1, 2, 200]))),
    ];
    let kinds = [
        request_vote(true, false, false),
        request_vote(false, true, false),
        request_vote(false, false, true),
        RaftMessageKind::VoteResponse { pre_vote: true, granted: false },
        RaftMessageKind::VoteResponse { pre_vote: false, granted: true },
        RaftMessageKind::AppendEntries {
            previous: LogPosition::new(Term(51), LogIndex(52)),
            entries,
            commit_index: LogIndex(53),
            sent_at: 1 << 40,
        },
        RaftMessageKind::AppendResponse { match_index: LogIndex(54), success: true, sent_at: 55 },
        RaftMessageKind::AppendResponse { match_index: LogIndex(56), success: false, sent_at: 57 },
        RaftMessageKind::InstallSnapshot {
            snapshot: Snapshot {
                last_included: LogPosition::new(Term(61), LogIndex(62)),
                members: members(),
                state: bytes(&[3, 0, 255]),
            },
            sent_at: 63,
        },
        RaftMessageKind::TimeoutNow,
        RaftMessageKind::Chunk {
            transfer_id: 71,
            total_size: 72,
            offset: 73,
            bytes: bytes(&[9, 8]),
            sent_at: 74,
        },
        RaftMessageKind::ChunkResponse { transfer_id: 75, received: 76, sent_at: 77 },
    ];
    let raft = |kind| Frame::Raft {
        to: MemberId(11),
        message: Box::new(RaftMessage { from: MemberId(12), term: Term(13), kind }),
    };
    let joined = [
        JoinResponse::NotLeader(None),
        JoinResponse::NotLeader(Some(at("10.0.0.8:81"))),
        JoinResponse::Accepted,
        JoinResponse::Current,
        JoinResponse::Removed,
        JoinResponse::FoundCluster,
    ];
    let suspect =
        |reason| ToController::Suspect { service: "s".into(), instance: "i1".into(), reason };
    let revoked =
        |highest| ToController::RevokeAck { service: "s".into(), term: DbTerm(82), highest };
    let to_controller = [
        ToController::Hello {
            node: "node9".into(),
            incarnation: u64::MAX,
            revision: Revision(83),
            zone: "z2".into(),
        },
        ToController::RenewLeases {
            seq: 84,
            last_grant_seq: 85,
            quotas: vec![(s.clone(), 86), (t.clone(), 87)],
            demand: vec![(s.clone(), 88)],
            observed: vec![ObservedPosition {
                service: t.clone(),
                term: DbTerm(89),
                position: position(90, 91),
                sent_after_ms: 92,
            }],
            bounds_requested: vec![t.clone(), s.clone()],
            load: vec![(t.clone(), 93)],
        },
        suspect(SuspicionReason::ConnectionsBroken),
        suspect(SuspicionReason::NoResponse),
        revoked(None),
        revoked(Some(position(94, 95))),
        ToController::RequestFullTable,
        ToController::Goodbye,
    ];
    let lease_grants = |complete| ToPooler::LeaseGrants {
        seq: 101,
        lease_ms: 102,
        complete,
        grants: vec![
            grant("s", PrimaryStatus::Active { term: DbTerm(103), primary: "i1".into() }, 104),
            grant("t", PrimaryStatus::Sealed(position(105, 106)), 107),
            grant("u", PrimaryStatus::Absent, 108),
        ],
        position_bounds: vec![PositionBound {
            service: t.clone(),
            position: position(109, 110),
            age_ms: 111,
        }],
        subset_ranges: vec![SubsetRange { service: s.clone(), start: 112, end: 113 }],
    };
    let (old, new) = (route_table(121, &ROUTE_TYPES[..3]), route_table(122, &ROUTE_TYPES));
    let mut delta = new.delta_from(&old);
    delta.services = vec![DeltaRun::Same { from: 1, count: 1 }, DeltaRun::New(vec!["v".into()])];
    delta.limits = limits(130);
    let to_pooler = [
        ToPooler::NotLeader(None),
        ToPooler::NotLeader(Some(at("[fd00::9]:82"))),
        ToPooler::Welcome { controllers: vec![at("10.0.0.5:83"), at("10.0.0.6:84")] },
        ToPooler::RouteTable(Box::new(new)),
        ToPooler::RouteTableDelta(Box::new(delta)),
        ToPooler::Directory(vec![directory_entry("i1", false), directory_entry("i2", true)]),
        ToPooler::DirectoryDelta {
            upserted: vec![directory_entry("i3", true)],
            removed: vec!["i4".into(), "i5".into()],
        },
        lease_grants(true),
        lease_grants(false),
        ToPooler::Revoke { service: s, term: DbTerm(141) },
        ToPooler::RenewNow,
    ];
    let join = |was_member| Frame::Join { member: member(9, true, false), was_member };
    (kinds.into_iter().map(raft))
        .chain([join(false), join(true)])
        .chain(joined.map(Frame::Joined))
        .chain(to_controller.map(Frame::Pooler))
        .chain(to_pooler.map(Frame::Controller))
        .collect()
}

/// The frames that layout 3 added, for the handover of a service.
fn frames_of_layout_3() -> Vec<Frame> {
    let handover = Handover { number: 151 << 20, term: DbTerm(152), target: "i2".into() };
    let status = PrimaryStatus::HandingOver { primary: "i1".into(), handover: handover.clone() };
    let lease_grants = ToPooler::LeaseGrants {
        seq: 153,
        lease_ms: 154,
        complete: false,
        grants: vec![grant("s", status, 155)],
        position_bounds: Vec::new(),
        subset_ranges: Vec::new(),
    };
    let acknowledged = |highest| {
        let (service, handover) = ("s".into(), 156);
        Frame::Pooler(ToController::HandOverAck { service, handover, highest })
    };
    vec![
        Frame::Controller(ToPooler::HandOver { service: "s".into(), handover }),
        Frame::Controller(lease_grants),
        acknowledged(None),
        acknowledged(Some(position(157, 158))),
    ]
}

/// The frame that layout 4 added, for the confirmation of commits at listed replicas.
fn frame_of_layout_4() -> Frame {
    Frame::Controller(ToPooler::SyncReplicas([("s".into(), 161), ("t".into(), 162)].into()))
}

/// The frame of layout 4 as it was first released.
const FRAME_OF_LAYOUT_4: &[u8] =
    b"\x04\x00\x00\x21\x81\xa7Steward\x81\xacSyncReplicas\x82\xa1s\xcc\xa1\xa1t\xcc\xa2\x04";

/// The frames that layout 5 added, for tenants and their operations.
fn frames_of_layout_5() -> Vec<Frame> {
    let configuration = serde_json::json!({
        "revision": 171,
        "route_rules": [{ "name": "r", "hostname": "h", "path_prefix": "/p/", "public": true,
            "route_type": "primary", "timeout_ms": 1, "target_service": "s" }],
        "services": [{ "name": "s", "max_connections": 1 }],
        "tenants": [
            { "name": "limited", "api_keys": ["k2", "k1"], "priority": 172, "rate_per_s": 173 },
            { "name": "free", "api_keys": ["k3"], "priority": 174 },
        ],
    });
    let configuration = Configuration::read(configuration.to_string().as_bytes()).expect("valid");
    let tenants = || Box::new(TenantTable::of(&configuration));
    let (old, new) = (route_table(175, &ROUTE_TYPES[..1]), route_table(176, &ROUTE_TYPES[..2]));
    let delta = || Box::new(new.delta_from(&old));
    let tenant = || "limited".into();
    vec![
        Frame::Controller(ToPooler::TenantRouteTable {
            table: Box::new(new.clone()),
            tenants: tenants(),
        }),
        Frame::Controller(ToPooler::TenantRouteTableDelta {
            delta: delta(),
            tenants: Some(tenants()),
        }),
        Frame::Controller(ToPooler::TenantRouteTableDelta { delta: delta(), tenants: None }),
        Frame::Controller(ToPooler::GrantOperations(vec![OperationGrant {
            tenant: tenant(),
            count: 177,
            retry_after_ms: 178,
            number: 180,
        }])),
        Frame::Pooler(ToController::RequestOperations(vec![OperationRequest {
            tenant: tenant(),
            count: 179,
            number: 181,
        }])),
    ]
}

/// Whether two frames are equal, field by field. Without `_` and `..` in the patterns, so that new
/// variants and fields have to be added here.
fn same_frame(a: &Frame, b: &Frame) -> bool {
    match (a, b) {
        (Frame::Raft { to, message }, Frame::Raft { to: t, message: m }) => {
            to == t && message == m && same_kind(&message.kind, &m.kind)
        }
        (Frame::Join { member, was_member: was }, Frame::Join { member: m, was_member: w }) => {
            member == m && was == w
        }
        (Frame::Joined(a), Frame::Joined(b)) => a == b,
        (Frame::Pooler(a), Frame::Pooler(b)) => same_to_controller(a, b),
        (Frame::Controller(a), Frame::Controller(b)) => same_to_pooler(a, b),
        (
            Frame::Raft { .. }
            | Frame::Join { .. }
            | Frame::Joined(_)
            | Frame::Pooler(_)
            | Frame::Controller(_),
            _,
        ) => false,
    }
}
/// Like `==`, but names each field, so that new variants and fields have to be added here.
fn same_kind(a: &RaftMessageKind, b: &RaftMessageKind) -> bool {
    let rebuilt = match a.clone() {
        RaftMessageKind::RequestVote {
            pre_vote,
            leadership_transfer,
            led_previous_term,
            last_log,
        } => RaftMessageKind::RequestVote {
            pre_vote,
            leadership_transfer,
            led_previous_term,
            last_log,
        },
        RaftMessageKind::VoteResponse { pre_vote, granted } => {
            RaftMessageKind::VoteResponse { pre_vote, granted }
        }
        RaftMessageKind::AppendEntries { previous, entries, commit_index, sent_at } => {
            RaftMessageKind::AppendEntries { previous, entries, commit_index, sent_at }
        }
        RaftMessageKind::AppendResponse { match_index, success, sent_at } => {
            RaftMessageKind::AppendResponse { match_index, success, sent_at }
        }
        RaftMessageKind::InstallSnapshot {
            snapshot: Snapshot { last_included, members, state },
            sent_at,
        } => RaftMessageKind::InstallSnapshot {
            snapshot: Snapshot { last_included, members, state },
            sent_at,
        },
        RaftMessageKind::TimeoutNow => RaftMessageKind::TimeoutNow,
        RaftMessageKind::Chunk { transfer_id, total_size, offset, bytes, sent_at } => {
            RaftMessageKind::Chunk { transfer_id, total_size, offset, bytes, sent_at }
        }
        RaftMessageKind::ChunkResponse { transfer_id, received, sent_at } => {
            RaftMessageKind::ChunkResponse { transfer_id, received, sent_at }
        }
    };
    rebuilt == *b
}
fn same_to_controller(a: &ToController, b: &ToController) -> bool {
    use ToController::*;
    match (a, b) {
        (
            Hello { node, incarnation, revision, zone },
            Hello { node: n, incarnation: l, revision: r, zone: z },
        ) => (node, incarnation, revision, zone) == (n, l, r, z),
        (
            RenewLeases { seq, last_grant_seq, quotas, demand, observed, bounds_requested, load },
            RenewLeases {
                seq: q,
                last_grant_seq: h,
                quotas: s,
                demand: w,
                observed: v,
                bounds_requested: k,
                load: y,
            },
        ) => {
            (seq, last_grant_seq, quotas, demand, observed, bounds_requested, load)
                == (q, h, s, w, v, k, y)
        }
        (Suspect { service, instance, reason }, Suspect { service: s, instance: i, reason: w }) => {
            (service, instance, reason) == (s, i, w)
        }
        (RevokeAck { service, term, highest }, RevokeAck { service: s, term: t, highest: h }) => {
            (service, term, highest) == (s, t, h)
        }
        (
            HandOverAck { service, handover, highest },
            HandOverAck { service: s, handover: n, highest: h },
        ) => (service, handover, highest) == (s, n, h),
        (RequestOperations(a), RequestOperations(b)) => {
            let fields = |OperationRequest { tenant, count, number }: &OperationRequest| {
                (tenant.clone(), *count, *number)
            };
            a.iter().map(fields).eq(b.iter().map(fields))
        }
        (RequestFullTable, RequestFullTable) | (Goodbye, Goodbye) => true,
        (
            Hello { .. }
            | RenewLeases { .. }
            | Suspect { .. }
            | RevokeAck { .. }
            | HandOverAck { .. }
            | RequestOperations(_)
            | RequestFullTable
            | Goodbye,
            _,
        ) => false,
    }
}
fn grant_fields(grant: &OperationGrant) -> (&TenantName, u32, u64, u64) {
    let OperationGrant { tenant, count, retry_after_ms, number } = grant;
    (tenant, *count, *retry_after_ms, *number)
}
fn same_to_pooler(a: &ToPooler, b: &ToPooler) -> bool {
    use ToPooler::*;
    match (a, b) {
        (NotLeader(a), NotLeader(b)) => a == b,
        (Welcome { controllers: a }, Welcome { controllers: b }) => a == b,
        (RouteTable(a), RouteTable(b)) => a == b,
        (RouteTableDelta(a), RouteTableDelta(b)) => a == b,
        (Directory(a), Directory(b)) => a == b,
        (DirectoryDelta { upserted, removed }, DirectoryDelta { upserted: l, removed: g }) => {
            (upserted, removed) == (l, g)
        }
        (
            LeaseGrants { seq, lease_ms, complete, grants, position_bounds, subset_ranges },
            LeaseGrants {
                seq: s,
                lease_ms: l,
                complete: w,
                grants: g,
                position_bounds: f,
                subset_ranges: p,
            },
        ) => {
            (seq, lease_ms, complete, grants, position_bounds, subset_ranges) == (s, l, w, g, f, p)
        }
        (Revoke { service, term }, Revoke { service: s, term: t }) => (service, term) == (s, t),
        (
            HandOver { service, handover: Handover { number, term, target } },
            HandOver { service: s, handover: Handover { number: n, term: t, target: to } },
        ) => (service, number, term, target) == (s, n, t, to),
        (SyncReplicas(a), SyncReplicas(b)) => a == b,
        (
            TenantRouteTable { table, tenants },
            TenantRouteTable { table: other, tenants: others },
        ) => (table, tenants) == (other, others),
        (
            TenantRouteTableDelta { delta, tenants },
            TenantRouteTableDelta { delta: other, tenants: others },
        ) => (delta, tenants) == (other, others),
        (GrantOperations(a), GrantOperations(b)) => {
            a.iter().map(grant_fields).eq(b.iter().map(grant_fields))
        }
        (RenewNow, RenewNow) => true,
        (
            NotLeader(_)
            | Welcome { .. }
            | RouteTable(_)
            | RouteTableDelta(_)
            | Directory(_)
            | DirectoryDelta { .. }
            | LeaseGrants { .. }
            | Revoke { .. }
            | HandOver { .. }
            | SyncReplicas(_)
            | TenantRouteTable { .. }
            | TenantRouteTableDelta { .. }
            | GrantOperations(_)
            | RenewNow,
            _,
        ) => false,
    }
}
/// The encoded names of variants of types within messages, without `_` for the same reason.
fn inner_names(
    reason: SuspicionReason,
    status: &PrimaryStatus,
    payload: &EntryPayload,
    run: &DeltaRun<u8>,
) -> [&'static str; 4] {
    [
        match reason {
            SuspicionReason::ConnectionsBroken => "Broken",
            SuspicionReason::NoResponse => "Silent",
        },
        match status {
            PrimaryStatus::Active { term: _, primary: _ } => "Led",
            PrimaryStatus::HandingOver { primary: _, handover: _ } => "HandingOver",
            PrimaryStatus::Sealed(_) => "Sealed",
            PrimaryStatus::Absent => "Unled",
        },
        match payload {
            EntryPayload::NoOp => "Opened",
            EntryPayload::Membership(_) => "Members",
            EntryPayload::Command(_) => "Change",
        },
        match run {
            DeltaRun::Same { from: _, count: _ } => "Same",
            DeltaRun::New(_) => "New",
        },
    ]
}

/// The variant names in an encoded value, each with the names of the variants that enclose it. All
/// texts that begin with a capital letter are variant names, except the address families `V4` and
/// `V6`.
#[derive(Default)]
struct Names(Vec<String>);
impl Names {
    fn of(bytes: &[u8]) -> BTreeSet<String> {
        let names: Names = rmp_serde::from_slice(bytes).expect("a value");
        names.0.into_iter().collect()
    }
    fn is_variant_name(name: &str) -> bool {
        name.starts_with(|c: char| c.is_ascii_uppercase()) && !matches!(name, "V4" | "V6")
    }
}
impl<'de> Deserialize<'de> for Names {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Walk;
        impl<'de> Visitor<'de> for Walk {
            type Value = Names;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("anything")
            }
            fn visit_bool<E>(self, _: bool) -> Result<Names, E> {
                Ok(Names::default())
            }
            fn visit_u64<E>(self, _: u64) -> Result<Names, E> {
                Ok(Names::default())
            }
            fn visit_unit<E>(self) -> Result<Names, E> {
                Ok(Names::default())
            }
            fn visit_bytes<E>(self, _: &[u8]) -> Result<Names, E> {
                Ok(Names::default())
            }
            fn visit_str<E>(self, text: &str) -> Result<Names, E> {
                Ok(Names(Vec::from_iter(Names::is_variant_name(text).then(|| text.to_owned()))))
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Names, A::Error> {
                let mut all = Names::default();
                while let Some(names) = seq.next_element::<Names>()? {
                    all.0.extend(names.0);
                }
                Ok(all)
            }
            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Names, A::Error> {
                let mut all = Names::default();
                while let Some((key, names)) = map.next_entry::<Names, Names>()? {
                    match key.0.into_iter().next() {
                        Some(key) => {
                            all.0.extend(names.0.iter().map(|name| format!("{key} {name}")));
                            all.0.push(key);
                        }
                        None => all.0.extend(names.0),
                    }
                }
                Ok(all)
            }
        }
        from.deserialize_any(Walk)
    }
}
fn assert_names(found: BTreeSet<String>, expected: &str) {
    let expected: BTreeSet<String> =
        expected.lines().map(str::trim).filter(|l| !l.is_empty()).map(str::to_owned).collect();
    let missing: Vec<_> = expected.difference(&found).collect();
    let new: Vec<_> = found.difference(&expected).collect();
    assert!(
        missing.is_empty() && new.is_empty(),
        "missing names {missing:?}, unexpected names {new:?}"
    );
}

/// Encodes a frame as a program that supports this layout does; only the last byte depends on it.
fn encode_with_sender_layout(layout: u8, frame: &Frame) -> Vec<u8> {
    let mut bytes = encode(frame).to_vec();
    assert_eq!(bytes.last(), Some(&LAYOUT), "{frame:?}");
    bytes.splice(bytes.len() - 1.., [layout]);
    bytes
}

#[test]
fn every_frame_is_decoded_and_encoded_as_in_earlier_releases() {
    // (file, newest layout of the program that wrote it, its frames, the layouts that frames
    // require). Only chunks, the messages of handovers, the numbers of synchronous replicas and the
    // messages about tenants require more than the first layout.
    let files = [
        (FRAMES, 2, frames(), vec![2, 2]),
        (FRAMES_OF_LAYOUT_3, 3, frames_of_layout_3(), vec![3, 3, 3, 3]),
        (FRAME_OF_LAYOUT_4, 4, vec![frame_of_layout_4()], vec![4]),
        (FRAMES_OF_LAYOUT_5, 5, frames_of_layout_5(), vec![5, 5, 5, 5, 5]),
    ];
    for (mut rest, layout, expected, required_layouts) in files {
        let mut read = Vec::new();
        while !rest.is_empty() {
            let start = rest;
            let ReceivedFrame { frame, sender_layout } =
                receive_with_layout(&mut rest).expect("a frame");
            assert_eq!(sender_layout, layout);
            read.push((frame, &start[..start.len() - rest.len()]));
        }
        assert_eq!(read.len(), expected.len());
        for ((frame, bytes), expected) in read.iter().zip(&expected) {
            assert!(same_frame(frame, expected), "{frame:?} is not {expected:?}");
            assert_eq!(
                encode_with_sender_layout(layout, frame),
                *bytes,
                "decoded and encoded again: {frame:?}"
            );
            assert_eq!(
                encode_with_sender_layout(layout, expected),
                *bytes,
                "expected: {expected:?}"
            );
        }
        let found_layouts: Vec<u8> =
            read.iter().map(|(_, bytes)| bytes[0]).filter(|l| *l != 0).collect();
        assert_eq!(found_layouts, required_layouts);
    }
}

const FRAME_NAMES: &str = "Raft
    Raft AskVote
    Raft Vote
    Raft Append
    Raft Append Opened
    Raft Append Members
    Raft Append Change
    Raft Appended
    Raft Snapshot
    Raft TakeOver
    Raft Part
    Raft PartTaken
    Join
    Joined
    Joined Elsewhere
    Joined Noted
    Joined Listed
    Joined Removed
    Joined Found
    Stile
    Stile Hello
    Stile Renew
    Stile Suspect
    Stile Suspect Broken
    Stile Suspect Silent
    Stile Revoked
    Stile Whole
    Stile Bye
    Steward
    Steward Elsewhere
    Steward Welcome
    Steward Configured
    Steward Changed
    Steward Changed Same
    Steward Changed New
    Steward Directory
    Steward Moved
    Steward Granted
    Steward Granted Led
    Steward Granted Sealed
    Steward Granted Unled
    Steward Revoke
    Steward Renew";

const FRAME_NAMES_OF_LAYOUT_4: &str = "Steward
    Steward SyncReplicas";

const FRAME_NAMES_OF_LAYOUT_5: &str = "Stile
    Stile RequestOperations
    Steward
    Steward TenantRouteTable
    Steward TenantRouteTableDelta
    Steward TenantRouteTableDelta Same
    Steward TenantRouteTableDelta New
    Steward GrantOperations";

const FRAME_NAMES_OF_LAYOUT_3: &str = "Stile
    Stile HandOverAck
    Steward
    Steward HandOver
    Steward Granted
    Steward Granted HandingOver";

#[test]
fn the_variant_names_in_frames_are_unchanged() {
    let encode_all = |frames: Vec<Frame>| -> Vec<u8> {
        frames.iter().flat_map(|frame| encode(frame).to_vec()).collect()
    };
    let (first, added) = (encode_all(frames()), encode_all(frames_of_layout_3()));
    let fourth = encode_all(vec![frame_of_layout_4()]);
    let newest = encode_all(frames_of_layout_5());
    for (file, names) in [
        (FRAMES, FRAME_NAMES),
        (&first, FRAME_NAMES),
        (FRAMES_OF_LAYOUT_3, FRAME_NAMES_OF_LAYOUT_3),
        (&added, FRAME_NAMES_OF_LAYOUT_3),
        (FRAME_OF_LAYOUT_4, FRAME_NAMES_OF_LAYOUT_4),
        (&fourth, FRAME_NAMES_OF_LAYOUT_4),
        (FRAMES_OF_LAYOUT_5, FRAME_NAMES_OF_LAYOUT_5),
        (&newest, FRAME_NAMES_OF_LAYOUT_5),
    ] {
        let (mut rest, mut found) = (file, BTreeSet::new());
        while !rest.is_empty() {
            let length = u32::from_be_bytes([0, rest[1], rest[2], rest[3]]) as usize;
            // The last byte is the layout of the sender.
            found.extend(Names::of(&rest[4..3 + length]));
            rest = &rest[4 + length..];
        }
        assert_names(found, names);
    }
    let led = PrimaryStatus::Active { term: DbTerm(1), primary: "i".into() };
    let first = inner_names(
        SuspicionReason::ConnectionsBroken,
        &led,
        &EntryPayload::NoOp,
        &DeltaRun::Same { from: 0, count: 0 },
    );
    assert_eq!(first, ["Broken", "Led", "Opened", "Same"]);
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("silvertack-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("folder");
    path
}
/// The content of a data folder's database file, as SQL that recreates it.
fn dump(folder: &Path) -> String {
    let db = rusqlite::Connection::open(folder.join("hedge.sqlite")).expect("file");
    let mut out = String::from("BEGIN TRANSACTION;\n");
    let mut statement =
        db.prepare("SELECT name, sql FROM sqlite_master ORDER BY rowid").expect("SQL");
    let mut tables = statement.query([]).expect("tables");
    while let Some(table) = tables.next().expect("a table") {
        let (name, sql): (String, String) =
            (table.get(0).expect("name"), table.get(1).expect("SQL"));
        writeln!(out, "{sql};").expect("text");
        let mut rows = db.prepare(&format!("SELECT * FROM {name} ORDER BY 1")).expect("SQL");
        let columns = rows.column_count();
        let mut rows = rows.query([]).expect("rows");
        while let Some(row) = rows.next().expect("a row") {
            let value = |at| match row.get_ref(at).expect("a value") {
                rusqlite::types::ValueRef::Null => "NULL".to_owned(),
                rusqlite::types::ValueRef::Integer(n) => n.to_string(),
                rusqlite::types::ValueRef::Blob(bytes) => {
                    let digits: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
                    format!("X'{digits}'")
                }
                other => panic!("{other:?}"),
            };
            let values: Vec<String> = (0..columns).map(value).collect();
            writeln!(out, "INSERT INTO {name} VALUES({});", values.join(",")).expect("text");
        }
    }
    let version: i64 = db.query_row("PRAGMA user_version", [], |r| r.get(0)).expect("version");
    writeln!(out, "COMMIT;\nPRAGMA user_version = {version};").expect("text");
    out
}

fn instance(port: u16, lifecycle_state: Lifecycle, database_role: Role) -> Instance {
    Instance {
        target_service: "s".into(),
        address: at(&format!("10.0.2.1:{port}")),
        zone: "z3".into(),
        revision: "v2".into(),
        capacity: 151,
        lifecycle_state,
        database_role,
    }
}
fn heartbeat(id: &str, instance: Instance, sequence: u64) -> Command {
    Command::Heartbeat { id: id.into(), instance, sequence }
}
/// A command of each variant. Each has an effect when applied to `state()`.
fn commands() -> Vec<Command> {
    let service = || ServiceName::from("s");
    let body = ByteBuf::from(configuration(162, &ROUTE_TYPES));
    let departed = BTreeMap::from([("d3".into(), 204), ("d4".into(), 205)]);
    vec![
        Command::PutConfiguration { base: Revision(161), revision: Revision(162), body },
        heartbeat("d5", instance(201, Lifecycle::Draining, Role::Primary), 206),
        Command::RemoveInstance { id: "d2".into(), sequence: 207 },
        Command::SetPrimary { service: service(), term: DbTerm(208), primary: "d1".into() },
        Command::BeginFailover { service: service(), term: DbTerm(208), target: "d5".into() },
        Command::AbandonFailover { service: service(), target: "d5".into() },
        Command::ForgetDeparted { service: service(), departed },
        Command::PrimaryReturned { service: service(), term: DbTerm(208), primary: "d5".into() },
    ]
}
/// The encoded name of a command. Without `_` and `..`, so that new variants and fields have to be
/// added here.
fn command_name(command: &Command) -> &'static str {
    match command {
        Command::PutConfiguration { base: _, revision: _, body: _ } => "Configure",
        Command::Heartbeat { id: _, instance: _, sequence: _ } => "Beat",
        Command::RemoveInstance { id: _, sequence: _ } => "Gone",
        Command::SetPrimary { service: _, term: _, primary: _ } => "Led",
        Command::BeginFailover { service: _, term: _, target: _ } => "Intend",
        Command::AbandonFailover { service: _, target: _ } => "Abandon",
        Command::ForgetDeparted { service: _, departed: _ } => "Covered",
        Command::PrimaryReturned { service: _, term: _, primary: _ } => "Returned",
    }
}
/// A configuration whose digest is of the older kind (FNV), which only state of the first layout
/// contains.
const FNV_DIGEST_BODY: &[u8] = b"an older body";
fn fnv(body: &[u8]) -> u64 {
    let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    body.iter().fold(0xcbf2_9ce4_8422_2325, step)
}
fn state() -> StateMachine {
    let digests = BTreeMap::from([(160, (FNV_DIGEST_BODY.len(), fnv(FNV_DIGEST_BODY)))]);
    let empty = BTreeMap::<String, ()>::new();
    let first_layout = (bytes(FNV_DIGEST_BODY), 160, digests, &empty, Vec::<()>::new(), &empty);
    let mut state_machine =
        StateMachine::from_snapshot(&pack(&first_layout)).expect("of the first layout");
    let body = ByteBuf::from(configuration(161, &ROUTE_TYPES[..2]));
    for command in [
        Command::PutConfiguration { base: Revision(160), revision: Revision(161), body },
        heartbeat("d1", instance(211, Lifecycle::Available, Role::Primary), 212),
        heartbeat("d2", instance(213, Lifecycle::Draining, Role::Replica), 214),
        heartbeat("d3", instance(215, Lifecycle::Available, Role::Replica), 203),
        heartbeat("d4", instance(216, Lifecycle::Available, Role::Replica), 202),
        Command::SetPrimary { service: "s".into(), term: DbTerm(200), primary: "d1".into() },
        Command::BeginFailover { service: "s".into(), term: DbTerm(200), target: "d2".into() },
        Command::SetPrimary { service: "t".into(), term: DbTerm(199), primary: "e1".into() },
        Command::RemoveInstance { id: "d3".into(), sequence: 204 },
        Command::RemoveInstance { id: "d4".into(), sequence: 205 },
    ] {
        assert_eq!(state_machine.apply(&command), CommandOutcome::Applied, "{command:?}");
    }
    state_machine
}
fn persistent_state() -> PersistentState {
    let mut bodies = vec![EntryPayload::NoOp, EntryPayload::Membership(members())];
    bodies.extend(
        commands().iter().map(|command| EntryPayload::Command(ByteBuf::from(pack(command)))),
    );
    let numbered = (233..).zip(bodies).map(|(index, body)| entry(232, index, body));
    let log = numbered.collect();
    PersistentState {
        member_id: MemberId(5),
        term: Term(234),
        voted_for: Some(MemberId(6)),
        last_led_term: Some(Term(230)),
        log,
        snapshot: Snapshot {
            last_included: LogPosition::new(Term(231), LogIndex(232)),
            members: members(),
            state: ByteBuf::from(state().to_snapshot()),
        },
    }
}
/// A data folder as written by the earlier release.
fn folder_of_earlier_release(name: &str) -> PathBuf {
    let path = folder(name);
    let db = rusqlite::Connection::open(path.join("hedge.sqlite")).expect("file");
    db.execute_batch(STATE).expect("loaded");
    db.execute_batch("PRAGMA journal_mode = WAL").expect("WAL mode");
    std::fs::write(path.join("member"), "members 5\n").expect("mark");
    path
}
/// The other files of a data folder besides the closed SQLite file.
fn other_files(folder: &Path) -> Vec<(String, String)> {
    let mut files: Vec<(String, String)> = std::fs::read_dir(folder)
        .expect("folder")
        .map(|file| file.expect("file").path())
        .filter(|path| path.file_name().is_some_and(|n| n != "hedge.sqlite"))
        .map(|path| {
            let name = path.file_name().expect("name").to_string_lossy().into_owned();
            (name, std::fs::read_to_string(&path).expect("text"))
        })
        .collect();
    files.sort();
    files
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, told in order")]
fn a_data_folder_is_read_and_written_as_in_earlier_releases() {
    let old = folder_of_earlier_release("then");
    let OpenedStorage { storage, state: read } = RaftStorage::open(&old).expect("opened");
    drop(storage);
    let (read, expected) = (read.expect("a state"), persistent_state());
    assert_eq!((read.member_id, read.term), (expected.member_id, expected.term));
    assert_eq!((read.voted_for, read.last_led_term), (expected.voted_for, expected.last_led_term));
    assert_eq!(read.log, expected.log);
    assert_eq!(read.snapshot, expected.snapshot);

    let mut state_machine = StateMachine::from_snapshot(&read.snapshot.state).expect("a state");
    assert_eq!(state_machine, state());
    assert_eq!(decode_persistent_state(&read).expect("readable"), state_machine);
    assert_eq!(state_machine.to_snapshot(), *read.snapshot.state);
    let record = &state_machine.instances()[&"d2".into()];
    let draining = instance(213, Lifecycle::Draining, Role::Replica);
    assert_eq!((&record.instance, record.sequence), (&draining, 214));
    let primary = &state_machine.primaries()[&"s".into()];
    assert_eq!((primary.term, primary.primary.0.as_str()), (DbTerm(200), "d1"));
    assert_eq!(primary.intent, Some("d2".into()));
    assert_eq!(state_machine.primaries()[&"t".into()].intent, None);
    let departed = BTreeMap::from([("d3".into(), 204), ("d4".into(), 205)]);
    assert_eq!(state_machine.departed_replicas(&"s".into()), departed);
    // Both kinds of digests match only their own body, and departed databases stay removed.
    let now = configuration(161, &ROUTE_TYPES[..2]);
    for (revision, body, effect) in [
        (160, FNV_DIGEST_BODY, CommandOutcome::NoChange),
        (160, &now, CommandOutcome::StaleBase),
        (161, &now, CommandOutcome::NoChange),
        (161, FNV_DIGEST_BODY, CommandOutcome::StaleBase),
    ] {
        assert_eq!(
            state_machine.evaluate_configuration(Revision(3), Revision(revision), body),
            effect,
            "{revision}"
        );
    }
    for (sequence, is_accepted) in [(204, false), (205, true)] {
        assert_eq!(state_machine.accepts_heartbeat(&"d3".into(), &draining, sequence), is_accepted);
    }

    // Encode the decoded values again.
    let mut reencoded = PersistentState { log: Vec::new(), ..read.clone() };
    for (entry, expected) in read.log.iter().zip(&expected.log) {
        let mut entry = entry.clone();
        if let EntryPayload::Command(bytes) = &mut entry.payload {
            let command = unpack::<Command>(bytes).expect("a command");
            assert_eq!(state_machine.apply(&command), CommandOutcome::Applied, "{command:?}");
            *bytes = ByteBuf::from(pack(&command));
        }
        assert_eq!(entry, *expected);
        reencoded.log.push(entry);
    }
    reencoded.snapshot.state = ByteBuf::from(state().to_snapshot());
    let new = folder("now");
    for state_on_disk in [reencoded, expected] {
        let _ = std::fs::remove_dir_all(&new);
        let InitializedStorage { storage, restarted, .. } =
            RaftStorage::open_or_initialize(&new, || state_on_disk).expect("initialized");
        drop(storage);
        assert!(!restarted);
        assert_eq!(dump(&new), STATE);
        assert_eq!(other_files(&new), [("member".to_owned(), "members 5\n".to_owned())]);
    }
    assert_eq!(dump(&old), STATE, "opening changes nothing");
    assert_eq!(other_files(&old), other_files(&new));
    let _ = std::fs::remove_dir_all(&old);
    let _ = std::fs::remove_dir_all(&new);
}

#[test]
fn the_variant_names_in_stored_state_are_unchanged() {
    let old = folder_of_earlier_release("names");
    let state_on_disk = RaftStorage::open(&old).expect("opened").state.expect("a state");
    let _ = std::fs::remove_dir_all(&old);
    let mut found = BTreeSet::new();
    let mut names = Vec::new();
    for entry in &state_on_disk.log {
        found.extend(Names::of(&pack(entry)));
        if let EntryPayload::Command(bytes) = &entry.payload {
            found.extend(Names::of(bytes).into_iter().map(|name| format!("Change {name}")));
            names.push(command_name(&unpack::<Command>(bytes).expect("a command")));
        }
    }
    let listed = ["Configure", "Beat", "Gone", "Led", "Intend", "Abandon", "Covered", "Returned"];
    assert_eq!(names, listed);
    assert_names(
        found,
        "Opened
         Members
         Change
         Change Configure
         Change Beat
         Change Gone
         Change Led
         Change Intend
         Change Abandon
         Change Covered
         Change Returned",
    );
    // The snapshot contains no variant names: the kind of a digest is determined by its structure.
    let state = &state_on_disk.snapshot.state[1..];
    assert_eq!((state_on_disk.snapshot.state[0], Names::of(state)), (2, BTreeSet::new()));
    type Database = (String, Names, String, String, u32, String, String);
    type Layout2State = (
        ByteBuf,
        u64,
        BTreeMap<u64, Names>,
        BTreeMap<String, (Database, u64)>,
        Vec<(String, u64)>,
        BTreeMap<String, (u64, String, Option<String>)>,
        BTreeMap<String, BTreeMap<String, u64>>,
    );
    let decoded: Layout2State = unpack(state).expect("state of layout 2");
    let (body, revision, digests, instances, removed, primaries, departed) = decoded;
    assert_eq!((&body[..], revision), (&configuration(161, &ROUTE_TYPES[..2])[..], 161));
    assert_eq!(digests.into_keys().collect::<Vec<_>>(), [160, 161]);
    let words = instances.iter().map(|(id, (d, n))| (id.as_str(), d.5.as_str(), d.6.as_str(), *n));
    let words: Vec<_> = words.collect();
    assert_eq!(words, [("d1", "available", "primary", 212), ("d2", "draining", "replica", 214)]);
    assert_eq!(removed, [("d3".to_owned(), 204), ("d4".to_owned(), 205)]);
    assert_eq!(primaries["s"], (200, "d1".to_owned(), Some("d2".to_owned())));
    assert_eq!(departed["s"], BTreeMap::from([("d3".to_owned(), 204), ("d4".to_owned(), 205)]));
    let old = pack(&(FNV_DIGEST_BODY.len(), fnv(FNV_DIGEST_BODY)));
    let new = [&[0xc4, 32][..], &Sha256::digest(&body)].concat();
    let contains = |digest: &[u8]| state.windows(digest.len()).any(|window| window == digest);
    assert!(contains(&old) && contains(&new), "digests of both kinds");
}
