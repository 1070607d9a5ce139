//! The stewards' state: what is read, refused, sent and folded. Time, links and disks are the test's.
use serde_bytes::ByteBuf;
use silvertack::common::config::{Instance, Lifecycle, Role};
use silvertack::common::ids::*;
use silvertack::common::peer::*;
use silvertack::steward::{Almanac, Change, Granary};
use std::path::PathBuf;

fn member(id: u64, voter: bool) -> Member {
    Member {
        id: MemberId(id),
        node: NodeName(format!("n{id}")),
        peer: format!("10.0.0.{id}:1").parse().expect("address"),
        admin: format!("10.0.0.{id}:2").parse().expect("address"),
        voter,
        can_vote: true,
    }
}
fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("silvertack-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("folder");
    path
}
/// A member's folder, as the landing before this layout's code wrote it.
fn old_folder(name: &str) -> PathBuf {
    let path = folder(name);
    let db = rusqlite::Connection::open(path.join("hedge.sqlite")).expect("file");
    db.execute_batch(include_str!("data/hedge-layout-1.sql")).expect("loaded");
    std::fs::write(path.join("member"), "1").expect("mark");
    path
}
/// What stands in that folder and in the frames.
fn old_state() -> Almanac {
    let body = br#"{"revision":12,"route_rules":[{"name":"strict","hostname":"strict","path_prefix":"/","route_type":"primary","timeout_ms":2000,"target_latency_ms":250,"priority":1,"target_service":"s","max_attempts":2,"stale_ms":1500}],"services":[{"name":"s","health_check_path":"/health","max_connections":16,"sync_replicas":1}],"limits":{"txn_idle_ms":3000}}"#;
    let beat = |id: &str, database_role, sequence| Change::Beat {
        id: id.into(),
        instance: Instance {
            target_service: "s".into(),
            address: "10.0.0.9:80".parse().expect("address"),
            zone: "z".into(),
            revision: "v1".into(),
            capacity: 7,
            lifecycle_state: Lifecycle::Available,
            database_role,
        },
        sequence,
    };
    let (service, term) = (ServiceName::from("s"), DbTerm(3));
    let mut almanac = Almanac::default();
    for change in [
        Change::Configure {
            base: Revision(0),
            revision: Revision(12),
            body: ByteBuf::from([&body[..], b"\n"].concat()),
        },
        beat("a", Role::Primary, 4),
        beat("b", Role::Replica, 5),
        beat("c", Role::Replica, 6),
        Change::Led { service: service.clone(), term, primary: "a".into() },
        Change::Intend { service, term, target: "b".into() },
        Change::Gone { id: "c".into(), sequence: 9 },
    ] {
        almanac.apply(&change);
    }
    almanac
}

#[test]
fn a_disk_of_the_previous_landing_is_read() {
    let folder = old_folder("old");
    let (_, kept) = Granary::open(&folder).expect("opened");
    let kept = kept.expect("a state");
    let voted = Some(MemberId(1));
    assert_eq!((kept.me, kept.epoch, kept.voted), (MemberId(1), Epoch(3), voted));
    assert_eq!((kept.led, kept.snapshot.last), (Some(Epoch(3)), (Epoch(2), Index(8))));
    let members = [member(1, true), member(2, true), member(3, false)];
    assert_eq!(kept.snapshot.members, members);
    assert_eq!(Almanac::read(&kept.snapshot.state).expect("a state"), {
        // Through its own bytes, so that what is made anew on reading is there in both.
        Almanac::read(&pack(&old_state())).expect("read")
    });
    assert_eq!(kept.log.iter().map(|e| e.index.0).collect::<Vec<_>>(), [9, 10, 11, 12]);
    let Body::Change(bytes) = &kept.log[3].body else { panic!("a change") };
    let led = Change::Led { service: "s".into(), term: DbTerm(4), primary: "b".into() };
    assert_eq!(unpack::<Change>(bytes).expect("a change"), led);
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn frames_of_the_previous_landing_are_read() {
    let mut bytes = &include_bytes!("data/frames-layout-1.bin")[..];
    let mut seen = Vec::new();
    while !bytes.is_empty() {
        let shown = format!("{:?}", receive(&mut bytes).expect("a frame"));
        let words = ["AskVote", "Vote", "Append ", "Appended", "Snapshot", "TakeOver", "Join "];
        let more = ["Joined", "Hello", "Renew", "Welcome", "Granted"];
        seen.extend(words.iter().chain(&more).find(|w| shown.contains(*w)).copied());
    }
    assert_eq!(seen.len(), 12, "{seen:?}");
}
