//! Settings: what is refused and why, and what a changed file does.
use silvertack::config::configuration::Configuration;
use silvertack::config::route_table::{DeltaRun, RouteTable, RouteTableDelta};
use silvertack::config::settings::{Settings, SettingsWatcher};
use silvertack::net::rpc::{pack, unpack};

const GOOD: &str = "node_name = \"one\"\nip_address = \"10.0.0.1\"\nzone = \"z\"\nport_range = [7440, 7455]\n\
    seed_nodes = [\"10.0.0.1:8782\"]\nfuture_field = 3\n[listeners]\nadmin = \"10.0.0.1:8782\"\n\
    [timing_bounds]\ngrace_s = 6\nfuture_bound = false\n";

#[test]
fn a_wrong_field_is_named_in_one_line() {
    assert!(Settings::parse(GOOD).is_ok(), "unknown fields are ignored");
    let table = [
        ("node_name = \"one\"\n", "", "node_name"),
        ("\"10.0.0.1\"\n", "\"nowhere\"\n", "ip_address"),
        ("[7440, 7455]", "[7455, 7440]", "port_range"),
        ("grace_s = 6", "grace_s = 0", "grace_s"),
        ("seed_nodes = [\"10.0.0.1:8782\"]", "seed_nodes = []", "seed_nodes"),
        ("seed_nodes = [\"10.0.0.1:8782\"]", "seed_nodes = [\"10.0.0.1:0\"]", "seed_nodes"),
    ];
    for (old, new, field) in table {
        let text = GOOD.replace(old, new);
        assert_ne!(text, GOOD);
        let why = Settings::parse(&text).expect_err(field).to_string();
        assert!(why.contains(field) && !why.contains('\n'), "{field}: {why}");
    }
}

#[test]
fn an_invalid_file_at_reload_keeps_the_old_settings() {
    let file = std::env::temp_dir().join(format!("silvertack-watch-{}.toml", std::process::id()));
    std::fs::write(&file, GOOD).expect("written");
    let mut watched = SettingsWatcher::new(file.clone());
    assert!(watched.poll(false).is_none(), "nothing changed");
    std::fs::write(&file, "node_name = ").expect("written");
    assert!(watched.poll(true).is_none(), "invalid: the old ones stay");
    std::fs::write(&file, GOOD.replace("grace_s = 6", "grace_s = 11")).expect("written");
    // The length differs, so it is seen without a signal too.
    let new = watched.poll(false).expect("read again");
    assert_eq!(new.timing_bounds.grace_s, 11);
    let _ = std::fs::remove_file(&file);
}

#[test]
fn a_change_of_the_configuration_leads_from_one_version_to_the_next_and_from_no_other() {
    let route = |host: &str, timeout: u64| {
        serde_json::json!({ "name": host, "hostname": host, "route_type": "primary",
            "timeout_ms": timeout, "target_service": "s" })
    };
    let config = |revision: u64, routes: &[(&str, u64)], services: &[&str]| {
        let body = serde_json::json!({
            "revision": revision,
            "route_rules": routes.iter().map(|(h, t)| route(h, *t)).collect::<Vec<_>>(),
            "services": services.iter().map(|s| serde_json::json!({ "name": s, "max_connections": 9 })).collect::<Vec<_>>(),
        });
        RouteTable::of(&Configuration::read(body.to_string().as_bytes()).expect("valid"))
    };
    let base = config(3, &[("a", 5), ("b", 5), ("c", 5), ("d", 5)], &["s", "t"]);
    // (what changed, the new version, how many routes have to be sent)
    let cases = [
        ("nothing", config(5, &[("a", 5), ("b", 5), ("c", 5), ("d", 5)], &["s", "t"]), 0),
        ("a time-out", config(5, &[("a", 5), ("b", 9), ("c", 5), ("d", 5)], &["s", "t"]), 1),
        ("the order", config(5, &[("d", 5), ("a", 5), ("b", 5), ("c", 5)], &["s", "t"]), 0),
        (
            "one less, two more",
            config(5, &[("a", 5), ("x", 5), ("c", 5), ("d", 5), ("y", 1)], &["s"]),
            2,
        ),
        ("all", config(5, &[("p", 1)], &["s", "u"]), 1),
    ];
    for (what, new, sent) in cases {
        let changed = new.delta_from(&base);
        let count: usize = changed
            .entries
            .iter()
            .map(|r| if let DeltaRun::New(n) = r { n.len() } else { 0 })
            .sum();
        assert_eq!(count, sent, "{what}");
        assert_eq!(base.apply(&changed).as_ref(), Some(&new), "{what}");
        let (frame, whole) = (pack(&changed), pack(&new));
        assert!(
            unpack::<RouteTableDelta>(&frame).is_ok_and(|c| c == changed),
            "{what}: as a frame"
        );
        assert_eq!(unpack::<RouteTable>(&whole).ok(), Some(new), "{what}");
        assert_eq!(config(4, &[("a", 5)], &["s"]).apply(&changed), None, "{what}: of another base");
    }
    // A place that the base does not have makes nothing of it, and no mix.
    let mut wrong = base.delta_from(&base);
    wrong.entries = vec![DeltaRun::Same { from: 3, count: 2 }];
    assert_eq!(base.apply(&wrong), None);
    wrong.entries = vec![DeltaRun::Same { from: 1, count: usize::MAX }];
    assert_eq!(base.apply(&wrong), None);
}
