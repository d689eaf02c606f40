//! Checks what the commands print on stdout and stderr, and their exit codes.
use std::path::PathBuf;
use std::process::Command;

/// Runs the binary in the repository's root; returns its exit code, stdout and stderr.
fn run(args: &[&str]) -> (i32, String, String) {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..");
    let out = Command::new(env!("CARGO_BIN_EXE_basaltpitch")).current_dir(root).args(args).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

/// Writes a temporary file and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

/// `check` accepts the installations of the repository.
#[test]
fn accepts_the_installations_of_the_repository() {
    let (code, _, err) = run(&["check", "days/feast-day.rec"]);
    assert_eq!((code, err.as_str()), (0, ""));
    for day in ["days/evening-rush.rec", "days/long-day.rec"] {
        let (code, out, err) = run(&["check", "days/campus.rec", day]);
        assert_eq!((code, err.as_str()), (0, ""), "{day}");
        assert_eq!(out, "right: 3 frameworks, 2 kinds of machine, 2 zones, 4 tenants\n");
    }
}

/// Invalid input ends with exit code 2 and an error that names the file or option.
#[test]
fn rejects_invalid_input_with_code_2_and_its_location() {
    let invalid = write_file("wrong.rec", "rules: {\n\tanswer_grace: 3\n}\n");
    let cases: [(&[&str], &str); 7] = [
        (
            &["check", "days/campus.rec", &invalid],
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
    for (args, expected) in cases {
        let (code, out, err) = run(args);
        assert_eq!((code, out.as_str()), (2, ""), "{args:?}: {err}");
        assert!(err.contains(expected), "{args:?}: {err}");
    }
}

/// An unreachable planner is a failure (exit code 1), not invalid input (2).
#[test]
fn unreachable_planner_ends_with_code_1() {
    let (code, _, err) = run(&["machines", "--planner", "127.0.0.1:1"]);
    assert_eq!(code, 1);
    assert!(err.starts_with("127.0.0.1:1: no connection"), "{err}");
}

/// `check --directory` tests access to a tenant directory, and the `tenants` commands query a
/// planner that reads its tenants from that directory.
#[test]
fn checks_a_directory_and_queries_tenants_of_a_planner() {
    use basaltpitch_testbed::ldap_server::{self, ldap_entry};
    let (ready, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let server = ldap_server::start("open sesame").await.unwrap();
            let stamp: (&str, &[&str]) = ("modifyTimestamp", &["20261201120000Z"]);
            *server.entries.borrow_mut() = vec![
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
            ready.send(server.address.clone()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    let address = address.recv().unwrap();
    let secret = write_file("secret", "open sesame");
    let site = write_file(
        "learns.rec",
        "zones: [\"z\"]\nkinds: [{name: \"std\", cores: 16, memory: 32}]\n\
        frameworks: [{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}]\n",
    );
    let directory = |password: &str| {
        format!(
            "directory: {{servers: [\"ldap://{address}\"], clear: true, bind: \"cn=p\", \
        base: \"dc=x\", password_file: {password:?}, every: 100ms, always: [\"watch\"]}}\n"
        )
    };
    let valid = write_file("right.rec", &directory(&secret));
    let invalid = write_file("wrong-secret.rec", &directory(&write_file("other", "sesame open")));
    let (code, out, err) = run(&["-o", "json", "check", "--directory", &site, &valid]);
    assert_eq!((code, err.as_str()), (0, ""), "{out}");
    assert!(out.contains("\"all\":true") && out.contains("\"tenants\":1"), "{out}");
    let (code, out, err) = run(&["check", "--directory", &site, &invalid]);
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
        &valid,
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
    let listening_line: serde_json::Value = serde_json::from_str(&line).unwrap();
    let planner_address = listening_line["listening"].as_str().unwrap().to_owned();
    let tenants =
        |args: &[&str]| run(&[&["tenants", "--planner", &planner_address, "--as", "asha"], args].concat());
    let is_fresh = (0..200).any(|_| {
        std::thread::sleep(std::time::Duration::from_millis(25));
        tenants(&["directory"]).1.contains("fresh")
    });
    let outputs = [
        tenants(&["list"]),
        tenants(&["show", "00000000000000000000000000000002"]),
        tenants(&["members", "orders"]),
        tenants(&["why", "asha", "orders"]),
        tenants(&["why", "asha", "stores"]),
        tenants(&["show", "stores"]),
        tenants(&["accept"]),
        run(&["tenants", "--planner", &planner_address, "--as", "watch", "accept"]),
    ];
    planner.kill().unwrap();
    planner.wait().unwrap();
    assert!(is_fresh, "the planner has not read the directory");
    let text = |n: usize| format!("{} {}{}", outputs[n].0, outputs[n].1, outputs[n].2);
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
