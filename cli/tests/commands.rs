//! The command line as an operator meets it: what it prints, and its exit codes.
use std::path::PathBuf;
use std::process::Command;

fn run(args: &[&str]) -> (i32, String, String) {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    let out = Command::new(env!("CARGO_BIN_EXE_basaltpitch")).current_dir(root).args(args).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test]
fn installations_of_the_repository_are_right() {
    for day in ["days/evening-rush.rec", "days/long-day.rec"] {
        let (code, out, err) = run(&["check", "days/campus.rec", day]);
        assert_eq!((code, err.as_str()), (0, ""), "{day}");
        assert_eq!(out, "right: 3 frameworks, 2 kinds of machine, 2 zones, 4 tenants\n");
    }
}

#[test]
fn wrong_input_ends_with_code_2_and_names_its_place() {
    let wrong = file("wrong.rec", "rules: {\n\tanswer_grace: 3\n}\n");
    let cases: [(&[&str], &str); 7] = [
        (
            &["check", "days/campus.rec", &wrong],
            "wrong.rec:2:16: rules.answer_grace: found 3; expected 250ms or a time",
        ),
        (&["check", "days/no-such.rec"], "cannot be read"),
        (&["drill", "days/campus.rec"], "found no field day"),
        (
            &["serve", "days/campus.rec", "--name", "p", "--zone", "z", "--register", "x"],
            "--zone: found \"z\"; expected one of hall-a, hall-b",
        ),
        (
            &[
                "serve",
                "days/campus.rec",
                "--name",
                "p",
                "--zone",
                "hall-a",
                "--number",
                "7",
                "--register",
                "x",
            ],
            "--number: found 7",
        ),
        (&["replay", "days/campus.rec"], "line 1: found"),
        (&["--log", "a=b=c", "check", "days/campus.rec"], "--log: found"),
    ];
    for (args, want) in cases {
        let (code, out, err) = run(args);
        assert_eq!((code, out.as_str()), (2, ""), "{args:?}: {err}");
        assert!(err.contains(want), "{args:?}: {err}");
    }
}

#[test]
fn a_planner_that_is_not_there_is_a_failure_and_not_wrong_input() {
    let (code, _, err) = run(&["machines", "--planner", "127.0.0.1:1"]);
    assert_eq!(code, 1);
    assert!(err.starts_with("127.0.0.1:1: no connection"), "{err}");
}
