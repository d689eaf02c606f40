//! Checks that the JSON output of the commands keeps its keys, since scripts of operators read
//! them. The file `golden/answers.txt` holds a heading and the paths of all keys for each command,
//! as an earlier build printed them; it is never edited. Some parts of an answer appear only after
//! a while, so the commands are repeated until the keys match.
mod site;
mod stored;

use serde_json::Value;
use site::{next_slot_holder, run_command, start_machines, submit_task, Process, Site, TIMEOUT};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Returns the path of a file in `golden/`.
fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Collects the paths of all keys, with `[]` for the items of a list.
fn collect_keys(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, field)| {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            found.insert(path.clone());
            collect_keys(field, &path, found);
        }),
        Value::Array(items) => items.iter().for_each(|item| collect_keys(item, &format!("{path}[]"), found)),
        _ => {}
    }
}

/// Returns the paths of all keys of a value.
fn keys_of(value: &Value) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    collect_keys(value, "", &mut found);
    found
}

/// Returns the key paths that `golden/answers.txt` holds for a command.
fn expected(command: &str) -> BTreeSet<String> {
    let text = std::fs::read_to_string(golden("answers.txt")).expect("golden/answers.txt");
    let heading = format!("== {command}");
    let lines = text.lines().skip_while(|line| *line != heading).skip(1);
    let found: BTreeSet<String> =
        lines.take_while(|line| !line.starts_with("== ")).map(str::to_owned).collect();
    assert!(!found.is_empty(), "golden/answers.txt has no keys under {heading}");
    found
}

/// Asserts that a command's output has the stored keys and no others.
fn assert_keys(command: &str, printed: &Value) {
    assert_eq!(keys_of(printed), expected(command), "{command}: {printed}");
}

/// Repeats a command until its output has the stored keys and no others.
fn wait_for_keys(command: &str, arguments: &[&str]) {
    let (expected, deadline) = (expected(command), Instant::now() + TIMEOUT);
    loop {
        let answer = run_command(arguments);
        if keys_of(&answer) == expected {
            return;
        }
        if Instant::now() > deadline {
            return assert_keys(command, &answer);
        }
    }
}

/// Returns the path of the installation `days/campus.rec`.
fn campus() -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../days/campus.rec").display().to_string()
}

/// Starts a planner with a fixed name, without voters, and returns its listening address too.
fn start_planner(file: &str, more: &[&str]) -> (Process, String) {
    let arguments = ["serve", file, "--name", "p", "--zone", "hall-a", "--listen", "127.0.0.1:0"];
    let planner = Process::start(&[&arguments[..], more].concat());
    let line = planner.next_line();
    assert_keys("serve", &line);
    let address = line["listening"].as_str().expect("an address").to_owned();
    (planner, address)
}

/// Creates an empty directory for a test.
fn create_directory(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Writes an installation without voters and with two constraints, and a copy with a third
/// constraint; returns both paths.
fn write_installations(folder: &Path) -> (String, String) {
    let text = |more: &str| {
        format!(
            "zones: [\"hall-a\"]\nkinds: [{{name: \"std\", cores: 16, memory: 32GiB}}]\n\
             frameworks: [{{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}}]\n\
             clauses: [{{name: \"on std\", of: framework: \"small\", in: kinds: [\"std\"]}}, \
             {{name: \"not in\", how: \"prefer\", rank: 2, of: framework: \"small\", not_in: labels: [\"slow\"]}}{more}]\n\
             day: {{length: 1s, machines: [{{kind: \"std\", zone: \"hall-a\", count: 3}}], \
             tasks: [{{framework: \"small\", per_s: 1, cores: [1], memory: [1]}}]}}\n"
        )
    };
    let write_file = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).unwrap();
        folder.join(name).display().to_string()
    };
    let more = ", {name: \"fast\", of: framework: \"small\", in: labels: [\"fast\"]}";
    (write_file("site.rec", &text("")), write_file("changed.rec", &text(more)))
}

/// Submits a task until it is placed and returns the answer.
fn submit_until_placed(slot_line: &Value, key: &str) -> Value {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let answer = submit_task(slot_line, key);
        if answer["answer"] == "placed" {
            return answer;
        }
        assert!(Instant::now() < deadline, "{key} is never placed: {answer}");
    }
}

#[test]
fn commands_without_a_process_keep_their_keys() {
    let (site, _) = write_installations(&create_directory("golden-alone"));
    assert_keys("check", &run_command(&["check", &campus()]));
    assert_keys("constraints check", &run_command(&["constraints", "check", &site]));
    let day = Path::new(env!("CARGO_MANIFEST_DIR")).join("../days/harvest-day.rec").display().to_string();
    assert_keys("constraints check, each rule", &run_command(&["constraints", "check", &day]));
    assert_keys("replay", &run_command(&["replay", &golden("recording.txt").display().to_string()]));
}

#[test]
fn commands_to_a_planner_keep_their_keys() {
    let (site, changed) = write_installations(&create_directory("golden-planner"));
    let started = Process::start(&["machine", &site, "--count", "3"]);
    let first = started.next_line();
    assert_keys("machine", &first);
    let machine = first["machine"].as_str().expect("a name").to_owned();
    let registry = loop {
        let line = started.next_line();
        if let Some(registry) = line["register"].as_str() {
            assert_keys("machine, register", &line);
            break registry.to_owned();
        }
    };
    let (_planner, address) = start_planner(&site, &["--register", &registry]);
    let listening = serde_json::json!({"listening": address});
    assert_keys("submit", &submit_until_placed(&listening, "books"));
    let check_keys = |command: &str, what: &[&str]| {
        wait_for_keys(command, &[what, &["--planner", &address]].concat());
    };
    check_keys("tasks", &["tasks"]);
    check_keys("tasks KEY", &["tasks", "books"]);
    check_keys("machines", &["machines"]);
    check_keys("planner", &["planner"]);
    check_keys("constraints explain KEY", &["constraints", "explain", "books"]);
    let framework = ["constraints", "explain", "--framework", "small", "--machines"];
    check_keys("constraints explain --framework --machines", &framework);
    check_keys("constraints diff", &["constraints", "diff", &changed]);
    check_keys("constraints take", &["constraints", "take", &changed]);
    check_keys("drain", &["drain", &machine]);
    check_keys("drain --off", &["drain", &machine, "--off"]);
}

#[test]
fn tenant_commands_keep_their_keys() {
    let folder = create_directory("golden-answers-tenants");
    stored::restore("planner.store.txt", &folder.join("p.store"));
    let write_file = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).unwrap();
        folder.join(name).display().to_string()
    };
    let secret = write_file("secret", "open sesame");
    let text = format!(
        "zones: [\"hall-a\"]\nkinds: [{{name: \"std\", cores: 16, memory: 32}}]\n\
         frameworks: [{{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}}]\n\
         directory: {{servers: [\"ldap://127.0.0.1:1\"], clear: true, bind: \"cn=p\", base: \"dc=x\", \
         password_file: {secret:?}, every: 100ms, always: [\"watch\"]}}\n"
    );
    let (file, state) = (write_file("site.rec", &text), folder.display().to_string());
    assert_keys("check --directory", &run_command(&["check", "--directory", &file]));
    let (_planner, address) = start_planner(&file, &["--register", "127.0.0.1:1", "--state", &state]);
    let check_keys = |command: &str, what: &[&str]| {
        wait_for_keys(command, &[&["tenants", "--planner", &address, "--as", "watch"], what].concat());
    };
    check_keys("tenants list", &["list"]);
    check_keys("tenants show", &["show", "orders"]);
    check_keys("tenants members", &["members", "orders"]);
    check_keys("tenants why", &["why", "asha", "orders"]);
    check_keys("tenants directory", &["directory"]);
}

#[test]
fn commands_to_the_voters_keep_their_keys() {
    let site = Site::new("golden-council", 1);
    let first = Process::start(&["voter", &site.file, "--name", "v0"]);
    assert_keys("voter", &first.next_line());
    let _others = [site.start_voter(1, false), site.start_voter(2, false)];
    let (_machines, registry) = start_machines(&site.file);
    assert_keys("roll, none", &run_command(&["roll", &site.file]));
    let planners = [site.start_planner(&registry), site.start_planner(&registry)];
    let (_, line) = next_slot_holder(&[&planners[0], &planners[1]]);
    assert_keys("serve --seat", &line);
    let address = line["listening"].as_str().expect("an address");
    wait_for_keys("council", &["council", &site.file]);
    wait_for_keys("council --history", &["council", &site.file, "--history"]);
    wait_for_keys("planner of a seat", &["planner", "--planner", address]);
    assert_keys("roll, begun", &run_command(&["roll", &site.file, "--zone", "hall-a", "--at-once", "3"]));
    wait_for_keys("roll, over", &["roll", &site.file]);
    assert_keys("council --hand-on", &run_command(&["council", &site.file, "--hand-on", "planner-0"]));
}

/// Runs a drill of one second.
#[test]
fn drill_keeps_its_keys() {
    let (site, _) = write_installations(&create_directory("golden-drill"));
    let mut verdict = run_command(&["drill", &site]);
    // This test does not judge whether an invariant was violated in that second.
    assert!(verdict["breaches"].is_array(), "{verdict}");
    verdict["breaches"] = Value::Null;
    assert_keys("drill", &verdict);
}
