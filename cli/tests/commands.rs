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
    let (code, _, err) = run(&["check", "days/feast-day.rec"]);
    assert_eq!((code, err.as_str()), (0, ""));
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
            "wrong.rec:2:16: rules.answer_grace: found 3; expected 250ms or a duration",
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

/// A directory that is tried by `check`, and a planner that learns from it and is asked about it.
#[test]
fn tenants_of_a_directory() {
    use basaltpitch_testbed::ldap_server::{self, ldap_entry};
    let (ready, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let there = ldap_server::start("open sesame").await.unwrap();
            let stamp: (&str, &[&str]) = ("modifyTimestamp", &["20261201120000Z"]);
            *there.entries.borrow_mut() = vec![
                ldap_entry(
                    "uid=asha,dc=x",
                    &[
                        ("objectClass", &["inetOrgPerson"]),
                        ("uid", &["asha"]),
                        stamp,
                        ("entryUUID", &["00000000-0000-0000-0000-000000000001"]),
                    ],
                ),
                ldap_entry(
                    "cn=orders,dc=x",
                    &[
                        ("objectClass", &["basaltpitchTenant"]),
                        ("cn", &["orders"]),
                        stamp,
                        ("entryUUID", &["00000000-0000-0000-0000-000000000002"]),
                        ("member", &["uid=asha,dc=x"]),
                    ],
                ),
            ];
            ready.send(there.address.clone()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    let address = address.recv().unwrap();
    let secret = file("secret", "open sesame");
    let site = file(
        "learns.rec",
        "zones: [\"z\"]\nkinds: [{name: \"std\", cores: 16, memory: 32}]\n\
        frameworks: [{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}]\n",
    );
    let text = |password: &str| {
        format!(
            "directory: {{servers: [\"ldap://{address}\"], clear: true, bind: \"cn=p\", \
        base: \"dc=x\", password_file: {password:?}, every: 100ms, always: [\"watch\"]}}\n"
        )
    };
    let right = file("right.rec", &text(&secret));
    let wrong = file("wrong-secret.rec", &text(&file("other", "sesame open")));
    let (code, out, err) = run(&["-o", "json", "check", "--directory", &site, &right]);
    assert_eq!((code, err.as_str()), (0, ""), "{out}");
    assert!(out.contains("\"all\":true") && out.contains("\"tenants\":1"), "{out}");
    let (code, out, err) = run(&["check", "--directory", &site, &wrong]);
    assert_eq!((code, err.as_str()), (1, "1 of the directory servers could not be read completely\n"));
    assert!(out.contains("bind as cn=p: found result 49") && !out.contains("open"), "{out}");
    let (code, _, err) = run(&["check", "--directory", &site]);
    assert_eq!((code, err.as_str()), (2, "--directory: found no directory in these files; expected one\n"));

    let state = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("state").display().to_string();
    let serve = [
        "-o",
        "json",
        "serve",
        &site,
        &right,
        "--name",
        "p",
        "--zone",
        "z",
        "--register",
        "127.0.0.1:1",
        "--listen",
        "127.0.0.1:0",
        "--state",
        &state,
    ];
    let mut planner = Command::new(env!("CARGO_BIN_EXE_basaltpitch"));
    let mut planner = planner.args(serve).stdout(std::process::Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    std::io::BufRead::read_line(&mut std::io::BufReader::new(planner.stdout.take().unwrap()), &mut line)
        .unwrap();
    let said: serde_json::Value = serde_json::from_str(&line).unwrap();
    let at = said["listening"].as_str().unwrap().to_owned();
    let tenants = |args: &[&str]| run(&[&["tenants", "--planner", &at, "--as", "asha"], args].concat());
    let heard = (0..200).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(25));
        tenants(&["directory"]).1.contains("fresh")
    });
    let asked = [
        tenants(&["list"]),
        tenants(&["show", "00000000000000000000000000000002"]),
        tenants(&["members", "orders"]),
        tenants(&["why", "asha", "orders"]),
        tenants(&["why", "asha", "stores"]),
        tenants(&["show", "stores"]),
        tenants(&["accept"]),
        run(&["tenants", "--planner", &at, "--as", "watch", "accept"]),
    ];
    planner.kill().unwrap();
    planner.wait().unwrap();
    assert!(heard, "the directory is heard");
    let text = |n: usize| format!("{} {}{}", asked[n].0, asked[n].1, asked[n].2);
    assert!(text(0).starts_with("0 tenant  was") && text(0).contains("orders"), "{}", text(0));
    assert!(text(1).contains("id              00000000-0000-0000-0000-000000000002"), "{}", text(1));
    assert!(text(2).contains("asha") && text(2).contains("orders"), "{}", text(2));
    assert!(text(3).contains("may_submit      true"), "{}", text(3));
    assert!(text(4).contains("the directory knows no such tenant"), "{}", text(4));
    assert!(text(5).starts_with("2 ") && text(5).contains("tenant: found \"stores\""), "{}", text(5));
    assert!(
        text(6).starts_with("2 ") && text(6).contains("accept: found login \"asha\": not an operator"),
        "{}",
        text(6)
    );
    assert!(text(7).starts_with("2 ") && text(7).contains("accept: found nothing held"), "{}", text(7));
}
