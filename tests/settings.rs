//! Settings files: validation and reload. Route tables: the deltas between two versions.
use silvertack::config::configuration::Configuration;
use silvertack::config::route_table::{DeltaRun, RouteTable, RouteTableDelta};
use silvertack::config::settings::{Settings, SettingsWatcher};
use silvertack::net::rpc::{pack, unpack};

const VALID: &str = "node_name = \"one\"\nip_address = \"10.0.0.1\"\nzone = \"z\"\nport_range = [7440, 7455]\n\
    seed_nodes = [\"10.0.0.1:8782\"]\nfuture_field = 3\n[listeners]\nadmin = \"10.0.0.1:8782\"\n\
    [timing_bounds]\ngrace_s = 6\nfuture_bound = false\n";

#[test]
fn an_invalid_field_is_reported_in_one_line() {
    assert!(Settings::parse(VALID).is_ok(), "unknown fields are ignored");
    let table = [
        ("node_name = \"one\"\n", "", "node_name"),
        ("\"10.0.0.1\"\n", "\"nowhere\"\n", "ip_address"),
        ("[7440, 7455]", "[7455, 7440]", "port_range"),
        ("grace_s = 6", "grace_s = 0", "grace_s"),
        ("seed_nodes = [\"10.0.0.1:8782\"]", "seed_nodes = []", "seed_nodes"),
        ("seed_nodes = [\"10.0.0.1:8782\"]", "seed_nodes = [\"10.0.0.1:0\"]", "seed_nodes"),
    ];
    for (old, new, field) in table {
        let text = VALID.replace(old, new);
        assert_ne!(text, VALID);
        let message = Settings::parse(&text).expect_err(field).to_string();
        assert!(message.contains(field) && !message.contains('\n'), "{field}: {message}");
    }
}

#[test]
fn reloading_an_invalid_file_keeps_the_current_settings() {
    let file = std::env::temp_dir().join(format!("silvertack-watch-{}.toml", std::process::id()));
    std::fs::write(&file, VALID).expect("written");
    let mut watcher = SettingsWatcher::new(file.clone());
    assert!(watcher.poll(false).is_none(), "nothing changed");
    std::fs::write(&file, "node_name = ").expect("written");
    assert!(watcher.poll(true).is_none(), "an invalid file must be ignored");
    std::fs::write(&file, VALID.replace("grace_s = 6", "grace_s = 11")).expect("written");
    // The length differs, so the change is detected without a signal.
    let new = watcher.poll(false).expect("read again");
    assert_eq!(new.timing_bounds.grace_s, 11);
    let _ = std::fs::remove_file(&file);
}

#[test]
fn a_route_table_delta_applies_only_to_its_base_version() {
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
    // (change, the new version, the number of routes that the delta must contain)
    let cases = [
        ("nothing", config(5, &[("a", 5), ("b", 5), ("c", 5), ("d", 5)], &["s", "t"]), 0),
        ("a time-out", config(5, &[("a", 5), ("b", 9), ("c", 5), ("d", 5)], &["s", "t"]), 1),
        ("the order", config(5, &[("d", 5), ("a", 5), ("b", 5), ("c", 5)], &["s", "t"]), 0),
        (
            "one removed, two added",
            config(5, &[("a", 5), ("x", 5), ("c", 5), ("d", 5), ("y", 1)], &["s"]),
            2,
        ),
        ("all", config(5, &[("p", 1)], &["s", "u"]), 1),
    ];
    for (what, new, new_routes) in cases {
        let delta = new.delta_from(&base);
        let count: usize =
            delta.entries.iter().map(|r| if let DeltaRun::New(n) = r { n.len() } else { 0 }).sum();
        assert_eq!(count, new_routes, "{what}");
        assert_eq!(base.apply(&delta).as_ref(), Some(&new), "{what}");
        let (encoded_delta, encoded_table) = (pack(&delta), pack(&new));
        assert!(
            unpack::<RouteTableDelta>(&encoded_delta).is_ok_and(|c| c == delta),
            "{what}: decoded delta"
        );
        assert_eq!(unpack::<RouteTable>(&encoded_table).ok(), Some(new), "{what}");
        assert_eq!(
            config(4, &[("a", 5)], &["s"]).apply(&delta),
            None,
            "{what}: applied to another base"
        );
    }
    // A delta that refers to entries beyond the base is rejected as a whole.
    let mut invalid = base.delta_from(&base);
    invalid.entries = vec![DeltaRun::Same { from: 3, count: 2 }];
    assert_eq!(base.apply(&invalid), None);
    invalid.entries = vec![DeltaRun::Same { from: 1, count: usize::MAX }];
    assert_eq!(base.apply(&invalid), None);
}
