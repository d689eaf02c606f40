//! Checks that files written by an earlier build are still read: a voter's state, a planner's
//! tenant snapshot, a recording, and the settings derived from an installation's files. The files
//! in `golden/` are never edited, since installations in service have such files.
mod site;
mod stored;

use serde_json::{json, Map, Value};
use site::{run_command, Process, Site, TIMEOUT};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

/// Returns the path of a file in `golden/`.
fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Reads a JSON file of `golden/`.
fn golden_json(name: &str) -> Value {
    let text = std::fs::read_to_string(golden(name)).unwrap_or_else(|e| panic!("golden/{name}: {e}"));
    serde_json::from_str(&text).expect("JSON")
}

/// Reduces each row to the named fields.
fn select_fields(rows: &Value, names: &[&str]) -> Value {
    let field = |row: &Value, name: &str| (name.to_owned(), row[name].clone());
    let row = |row: &Value| Value::Object(names.iter().map(|name| field(row, name)).collect::<Map<_, _>>());
    rows.as_array().expect("rows").iter().map(row).collect()
}

/// Runs a command and returns its exit code and stdout.
fn run_text(args: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_basaltpitch")).args(args).output().unwrap();
    (out.status.code(), String::from_utf8(out.stdout).unwrap())
}

/// Two of three voters start from the state of an earlier build: current and past lease holders
/// with their fencing tokens, and the progress of a rolling restart.
#[test]
fn voters_start_from_the_state_of_an_earlier_build() {
    let site = Site::new("golden-voters", 1);
    for name in ["v0.store", "v1.store"] {
        stored::restore("voter.store.txt", &site.folder.join(name));
    }
    let _voters = [site.start_voter(0, true), site.start_voter(1, true)];
    let rows = run_command(&["council", &site.file]);
    let leases_of = |voter: &str| -> Value {
        let is_lease = |row: &&Value| row["voter"] == voter && row["duty"] != "";
        rows.as_array().expect("rows").iter().filter(is_lease).cloned().collect()
    };
    let expected = golden_json("voter.json");
    for voter in ["v0", "v1"] {
        assert_eq!(
            select_fields(&leases_of(voter), &["duty", "holder", "token"]),
            expected["standing"],
            "{rows}"
        );
    }
    let history = run_command(&["council", &site.file, "--history"]);
    assert_eq!(select_fields(&history, &["duty", "holder", "since_us", "token"]), expected["history"]);
    assert_eq!(run_command(&["roll", &site.file, "--status"]), expected["roll"]);
}

/// A planner starts from the tenant snapshot of an earlier build while its directory server is
/// unreachable.
#[test]
fn planner_starts_from_the_tenant_snapshot_of_an_earlier_build() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("golden-tenants");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    stored::restore("planner.store.txt", &folder.join("p.store"));
    let write_file = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).unwrap();
        folder.join(name).display().to_string()
    };
    let secret = write_file("secret", "open sesame");
    let text = format!(
        "zones: [\"z\"]\nkinds: [{{name: \"std\", cores: 16, memory: 32}}]\n\
         frameworks: [{{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}}]\n\
         directory: {{servers: [\"ldap://127.0.0.1:1\"], clear: true, bind: \"cn=p\", base: \"dc=x\", \
         password_file: {secret:?}, every: 100ms, always: [\"watch\"]}}\n"
    );
    let (file, state) = (write_file("site.rec", &text), folder.display().to_string());
    let arguments = ["serve", &file, "--name", "p", "--zone", "z", "--register", "127.0.0.1:1"];
    let planner = Process::start(&[&arguments[..], &["--listen", "127.0.0.1:0", "--state", &state]].concat());
    let line = planner.next_line();
    let address = line["listening"].as_str().expect("an address");
    let tenants =
        |args: &[&str]| run_command(&[&["tenants", "--planner", address, "--as", "watch"], args].concat());
    let expected = golden_json("tenants.json");
    assert_eq!(
        select_fields(&tenants(&["list"]), &["id", "index", "members", "share", "tenant"]),
        expected["list"]
    );
    assert_eq!(select_fields(&tenants(&["members", "orders"]), &["by", "login"]), expected["members"]);
}

/// `replay` of an earlier build's recording prints exactly what that build printed.
#[test]
fn replays_a_recording_of_an_earlier_build() {
    let file = golden("recording.txt").display().to_string();
    let expected = golden_json("replay.json");
    let (code, text) = run_text(&["replay", &file]);
    assert_eq!((code, text.as_str()), (Some(0), expected["text"].as_str().expect("a text")));
    let (code, text) = run_text(&["-o", "json", "replay", &file]);
    assert_eq!((code, text.as_str()), (Some(0), expected["json"].as_str().expect("a text")));
}

/// Starts a planner and returns the seed and the settings of its placement module, read from the
/// header of its recording.
fn recorded_settings(file: &str, zone: &str, number: &str) -> Value {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let name = Path::new(file).file_name().and_then(|name| name.to_str()).expect("a name");
    let record = folder.join(format!("golden-settings-{name}-{zone}-{number}.txt"));
    let _ = std::fs::remove_file(&record);
    let (path, to) = (record.display().to_string(), ["--register", "127.0.0.1:1", "--listen", "127.0.0.1:0"]);
    let identity = ["--name", "p", "--zone", zone, "--number", number, "--epoch", "5", "--seed", "3"];
    let planner = Process::start(&[&["serve", file, "--record", &path][..], &identity, &to].concat());
    planner.next_line();
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let text = std::fs::read_to_string(&record).unwrap_or_default();
        if let Some((line, _)) = text.split_once('\n').and_then(|(_, rest)| rest.split_once('\n')) {
            let start: Value = serde_json::from_str(line).expect("JSON");
            return json!({"seed": start["seed"], "given": start["given"]});
        }
        assert!(Instant::now() < deadline, "no header with settings in {path}: {text}");
        std::thread::yield_now();
    }
}

/// The installation `days/campus.rec` yields the same settings as in an earlier build.
#[test]
fn campus_installation_yields_unchanged_settings() {
    let campus = Path::new(env!("CARGO_MANIFEST_DIR")).join("../days/campus.rec").display().to_string();
    let expected = golden_json("campus.json");
    assert_eq!(recorded_settings(&campus, "hall-b", "0"), expected["settings"]);
    assert_eq!(run_command(&["check", &campus]), expected["check"]);
}
