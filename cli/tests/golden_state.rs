//! What an earlier build left on the disk, opened by this one's processes: a voter's state, what a planner
//! remembers of tenants, a recording, and the settings that an installation's files settle to. The files in
//! `golden/` are never edited; installations in service have such files.
mod site;
mod stored;

use serde_json::{json, Map, Value};
use site::{asked, Process, Site, PATIENCE};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn golden_json(name: &str) -> Value {
    let text = std::fs::read_to_string(golden(name)).unwrap_or_else(|e| panic!("golden/{name}: {e}"));
    serde_json::from_str(&text).expect("JSON")
}

/// These fields of each row, and no others.
fn fields(rows: &Value, names: &[&str]) -> Value {
    let field = |row: &Value, name: &str| (name.to_owned(), row[name].clone());
    let row = |row: &Value| Value::Object(names.iter().map(|name| field(row, name)).collect::<Map<_, _>>());
    rows.as_array().expect("rows").iter().map(row).collect()
}

fn printed(args: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_basaltpitch")).args(args).output().unwrap();
    (out.status.code(), String::from_utf8(out.stdout).unwrap())
}

/// Two of three voters start with what an earlier build kept: who holds and held what, under which tokens,
/// and the record of a roll.
#[test]
fn voters_go_on_from_the_state_of_an_earlier_build() {
    let site = Site::new("golden-voters", 1);
    for name in ["v0.store", "v1.store"] {
        stored::restore("voter.store.txt", &site.folder.join(name));
    }
    let _voters = [site.voter(0, true), site.voter(1, true)];
    let rows = asked(&["council", &site.file]);
    let of = |voter: &str| -> Value {
        let is = |row: &&Value| row["voter"] == voter && row["duty"] != "";
        rows.as_array().expect("rows").iter().filter(is).cloned().collect()
    };
    let expected = golden_json("voter.json");
    for voter in ["v0", "v1"] {
        assert_eq!(fields(&of(voter), &["duty", "holder", "token"]), expected["standing"], "{rows}");
    }
    let history = asked(&["council", &site.file, "--history"]);
    assert_eq!(fields(&history, &["duty", "holder", "since_us", "token"]), expected["history"]);
    assert_eq!(asked(&["roll", &site.file, "--status"]), expected["roll"]);
}

/// A planner that starts with what an earlier build remembered of tenants, and hears of no directory.
#[test]
fn a_planner_goes_on_from_the_tenants_of_an_earlier_build() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("golden-tenants");
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    stored::restore("planner.store.txt", &folder.join("p.store"));
    let written = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).unwrap();
        folder.join(name).display().to_string()
    };
    let secret = written("secret", "open sesame");
    let text = format!(
        "zones: [\"z\"]\nkinds: [{{name: \"std\", cores: 16, memory: 32}}]\n\
         frameworks: [{{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}}]\n\
         directory: {{servers: [\"ldap://127.0.0.1:1\"], clear: true, bind: \"cn=p\", base: \"dc=x\", \
         password_file: {secret:?}, every: 100ms, always: [\"watch\"]}}\n"
    );
    let (file, state) = (written("site.rec", &text), folder.display().to_string());
    let started = ["serve", &file, "--name", "p", "--zone", "z", "--register", "127.0.0.1:1"];
    let planner = Process::start(&[&started[..], &["--listen", "127.0.0.1:0", "--state", &state]].concat());
    let line = planner.next();
    let at = line["listening"].as_str().expect("an address");
    let tenants = |args: &[&str]| asked(&[&["tenants", "--planner", at, "--as", "watch"], args].concat());
    let expected = golden_json("tenants.json");
    assert_eq!(fields(&tenants(&["list"]), &["id", "index", "members", "share", "tenant"]), expected["list"]);
    assert_eq!(fields(&tenants(&["members", "orders"]), &["by", "login"]), expected["members"]);
}

#[test]
fn a_recording_of_an_earlier_build_replays_to_the_last_call() {
    let file = golden("recording.txt").display().to_string();
    let expected = golden_json("replay.json");
    let (code, text) = printed(&["replay", &file]);
    assert_eq!((code, text.as_str()), (Some(0), expected["text"].as_str().expect("a text")));
    let (code, text) = printed(&["-o", "json", "replay", &file]);
    assert_eq!((code, text.as_str()), (Some(0), expected["json"].as_str().expect("a text")));
}

/// The settings that the decisions get from an installation's files: they stand at the head of a recording.
fn settled(file: &str, zone: &str, number: &str) -> Value {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let name = Path::new(file).file_name().and_then(|name| name.to_str()).expect("a name");
    let record = folder.join(format!("golden-settings-{name}-{zone}-{number}.txt"));
    let _ = std::fs::remove_file(&record);
    let (path, to) = (record.display().to_string(), ["--register", "127.0.0.1:1", "--listen", "127.0.0.1:0"]);
    let who = ["--name", "p", "--zone", zone, "--number", number, "--epoch", "5", "--seed", "3"];
    let planner = Process::start(&[&["serve", file, "--record", &path][..], &who, &to].concat());
    planner.next();
    let end = Instant::now() + PATIENCE;
    loop {
        let text = std::fs::read_to_string(&record).unwrap_or_default();
        if let Some((line, _)) = text.split_once('\n').and_then(|(_, rest)| rest.split_once('\n')) {
            let start: Value = serde_json::from_str(line).expect("JSON");
            return json!({"seed": start["seed"], "given": start["given"]});
        }
        assert!(Instant::now() < end, "no settings in {path}: {text}");
        std::thread::yield_now();
    }
}

#[test]
fn the_campus_settles_to_the_same_settings() {
    let campus = Path::new(env!("CARGO_MANIFEST_DIR")).join("../days/campus.rec").display().to_string();
    let expected = golden_json("campus.json");
    assert_eq!(settled(&campus, "hall-b", "0"), expected["settings"]);
    assert_eq!(asked(&["check", &campus]), expected["check"]);
}
