//! The script that reads the list of tests known to fail: CI skips exactly the tests that it names,
//! and fails if an entry is not valid.
use std::path::PathBuf;
use std::process::{Command, Output};

/// A test of this file and one of another file.
const TEST: &str = "tests/known_red.rs::a_line_passes_over_exactly_the_test_that_it_names";
const OTHER: &str = "tests/simulation.rs::the_same_schedule_runs_the_same_way";

/// Runs the script with a list and returns its output.
fn run_script(name: &str, list: &str) -> Output {
    let file =
        std::env::temp_dir().join(format!("silvertack-known-red-{name}-{}", std::process::id()));
    std::fs::write(&file, list).expect("the list");
    let script = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let output = Command::new("bash").arg(script).arg(&file).output().expect("bash");
    std::fs::remove_file(&file).expect("removed");
    output
}

#[test]
fn a_line_passes_over_exactly_the_test_that_it_names() {
    let name = "a_line_passes_over_exactly_the_test_that_it_names";
    let other = "the_same_schedule_runs_the_same_way";
    // (list, options that skip its tests)
    let cases = [
        (String::new(), String::new()),
        (format!("{TEST}, seen, issue 1\n"), format!("--exact\n--skip\n{name}\n")),
        (format!("{TEST}, no line end"), format!("--exact\n--skip\n{name}\n")),
        ("review/1/run.sh, LOST, issue 1\n".to_owned(), String::new()),
        (
            format!("{OTHER}, a, b\nreview/REPORT.md, c\n{TEST}, d\n"),
            format!("--exact\n--skip\n{other}\n--skip\n{name}\n"),
        ),
    ];
    for (list, options) in cases {
        let output = run_script("good", &list);
        let printed = String::from_utf8(output.stdout).expect("text");
        assert!(output.status.success(), "{list:?}: {}", String::from_utf8_lossy(&output.stderr));
        assert_eq!(printed, options, "{list:?}");
    }
}

/// Guards against a list that makes CI skip every test: an empty filter matches all of them.
#[test]
fn a_line_that_names_no_test_is_an_error() {
    let valid_line = format!("{TEST}, seen\n");
    // (line, part of the error message)
    let cases = [
        ("", "no cause"),
        (" ", "no cause"),
        (", seen, issue 1", "neither"),
        (" , seen", "neither"),
        ("tests/simulation.rs::the_same_schedule_runs_the_same_way", "no cause"),
        ("the_same_schedule_runs_the_same_way, seen", "neither"),
        ("tests/simulation.rs::, seen", "no name of a test"),
        ("tests/simulation.rs::the_same, seen", "has no test"),
        ("tests/simulation.rs::the_same.*, seen", "no name of a test"),
        ("tests/simulation.rs::no_such_test, seen", "has no test"),
        ("tests/no_such_file.rs::no_such_test, seen", "does not exist"),
        ("review/no_such_case, seen", "does not exist"),
        ("src/lib.rs::tests, seen", "neither"),
    ];
    for (line, expected) in cases {
        for list in [format!("{line}\n"), format!("{valid_line}{line}\n{valid_line}")] {
            let output = run_script("bad", &list);
            let message = String::from_utf8(output.stderr).expect("text");
            assert_eq!(output.status.code(), Some(1), "{list:?}: {message}");
            assert!(message.contains(expected), "{list:?}: {message}");
            let number = if list.starts_with(TEST) { "line 2" } else { "line 1" };
            assert!(message.contains(number), "{list:?}: {message}");
        }
    }
}
