//! Settings: what is refused and why, and what a changed file does.
use silvertack::common::settings::{Settings, Watched};

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
    let mut watched = Watched::new(file.clone());
    assert!(watched.poll(false).is_none(), "nothing changed");
    std::fs::write(&file, "node_name = ").expect("written");
    assert!(watched.poll(true).is_none(), "invalid: the old ones stay");
    std::fs::write(&file, GOOD.replace("grace_s = 6", "grace_s = 11")).expect("written");
    // The length differs, so it is seen without a signal too.
    let new = watched.poll(false).expect("read again");
    assert_eq!(new.timing_bounds.grace_s, 11);
    let _ = std::fs::remove_file(&file);
}
