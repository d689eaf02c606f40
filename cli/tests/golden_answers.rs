//! The keys of what the commands print with `-o json`, as an earlier build had them: `golden/answers.txt`
//! holds for each command a heading and the paths of all keys. The file is never edited; scripts of operators
//! read such answers. An answer may take a moment to have all of its parts: each is asked for until it has
//! these keys.
mod site;
mod stored;

use serde_json::Value;
use site::{asked, machines, seated, submitted, Process, Site, PATIENCE};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Instant;

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// The paths of all keys, with `[]` for the items of a list.
fn keys(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, field)| {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            found.insert(path.clone());
            keys(field, &path, found);
        }),
        Value::Array(items) => items.iter().for_each(|item| keys(item, &format!("{path}[]"), found)),
        _ => {}
    }
}

fn keys_of(value: &Value) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    keys(value, "", &mut found);
    found
}

/// The paths under a heading of the file.
fn expected(command: &str) -> BTreeSet<String> {
    let text = std::fs::read_to_string(golden("answers.txt")).expect("golden/answers.txt");
    let heading = format!("== {command}");
    let lines = text.lines().skip_while(|line| *line != heading).skip(1);
    let found: BTreeSet<String> =
        lines.take_while(|line| !line.starts_with("== ")).map(str::to_owned).collect();
    assert!(!found.is_empty(), "{heading} stands in the file");
    found
}

/// What was printed already has these keys.
fn has_keys(command: &str, printed: &Value) {
    assert_eq!(keys_of(printed), expected(command), "{command}: {printed}");
}

/// The command's answer comes to have these keys, and no others.
fn comes_to_have_keys(command: &str, arguments: &[&str]) {
    let (expected, end) = (expected(command), Instant::now() + PATIENCE);
    loop {
        let answer = asked(arguments);
        if keys_of(&answer) == expected {
            return;
        }
        if Instant::now() > end {
            return has_keys(command, &answer);
        }
    }
}

fn campus() -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../days/campus.rec").display().to_string()
}

/// A planner under a name, without a council, and where it listens.
fn planner(file: &str, more: &[&str]) -> (Process, String) {
    let who = ["serve", file, "--name", "p", "--zone", "hall-a", "--listen", "127.0.0.1:0"];
    let planner = Process::start(&[&who[..], more].concat());
    let line = planner.next();
    has_keys("serve", &line);
    let at = line["listening"].as_str().expect("an address").to_owned();
    (planner, at)
}

/// A folder of this test alone.
fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// An installation without a council and with two clauses, and the same with one clause more.
fn clauses(folder: &Path) -> (String, String) {
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
    let written = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).unwrap();
        folder.join(name).display().to_string()
    };
    let more = ", {name: \"fast\", of: framework: \"small\", in: labels: [\"fast\"]}";
    (written("site.rec", &text("")), written("changed.rec", &text(more)))
}

/// Asks for a task until it is placed.
fn placed(at: &Value, key: &str) -> Value {
    let end = Instant::now() + PATIENCE;
    loop {
        let answer = submitted(at, key);
        if answer["answer"] == "placed" {
            return answer;
        }
        assert!(Instant::now() < end, "{key} is never placed: {answer}");
    }
}

#[test]
fn commands_that_need_no_process() {
    let (site, _) = clauses(&folder("golden-alone"));
    has_keys("check", &asked(&["check", &campus()]));
    has_keys("constraints check", &asked(&["constraints", "check", &site]));
    let day = Path::new(env!("CARGO_MANIFEST_DIR")).join("../days/harvest-day.rec").display().to_string();
    has_keys("constraints check, each rule", &asked(&["constraints", "check", &day]));
    has_keys("replay", &asked(&["replay", &golden("recording.txt").display().to_string()]));
}

#[test]
fn commands_that_ask_a_planner() {
    let (site, changed) = clauses(&folder("golden-planner"));
    let started = Process::start(&["machine", &site, "--count", "3"]);
    let first = started.next();
    has_keys("machine", &first);
    let machine = first["machine"].as_str().expect("a name").to_owned();
    let register = loop {
        let line = started.next();
        if let Some(register) = line["register"].as_str() {
            has_keys("machine, register", &line);
            break register.to_owned();
        }
    };
    let (_planner, at) = planner(&site, &["--register", &register]);
    let listening = serde_json::json!({"listening": at});
    has_keys("submit", &placed(&listening, "books"));
    let ask = |command: &str, what: &[&str]| {
        comes_to_have_keys(command, &[what, &["--planner", &at]].concat());
    };
    ask("tasks", &["tasks"]);
    ask("tasks KEY", &["tasks", "books"]);
    ask("machines", &["machines"]);
    ask("planner", &["planner"]);
    ask("constraints explain KEY", &["constraints", "explain", "books"]);
    let framework = ["constraints", "explain", "--framework", "small", "--machines"];
    ask("constraints explain --framework --machines", &framework);
    ask("constraints diff", &["constraints", "diff", &changed]);
    ask("constraints take", &["constraints", "take", &changed]);
    ask("drain", &["drain", &machine]);
    ask("drain --off", &["drain", &machine, "--off"]);
}

#[test]
fn commands_that_ask_for_tenants() {
    let folder = folder("golden-answers-tenants");
    stored::restore("planner.store.txt", &folder.join("p.store"));
    let written = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).unwrap();
        folder.join(name).display().to_string()
    };
    let secret = written("secret", "open sesame");
    let text = format!(
        "zones: [\"hall-a\"]\nkinds: [{{name: \"std\", cores: 16, memory: 32}}]\n\
         frameworks: [{{name: \"small\", repeat: \"repeatable\", goal: 600ms, limit: 6s}}]\n\
         directory: {{servers: [\"ldap://127.0.0.1:1\"], clear: true, bind: \"cn=p\", base: \"dc=x\", \
         password_file: {secret:?}, every: 100ms, always: [\"watch\"]}}\n"
    );
    let (file, state) = (written("site.rec", &text), folder.display().to_string());
    has_keys("check --directory", &asked(&["check", "--directory", &file]));
    let (_planner, at) = planner(&file, &["--register", "127.0.0.1:1", "--state", &state]);
    let ask = |command: &str, what: &[&str]| {
        comes_to_have_keys(command, &[&["tenants", "--planner", &at, "--as", "watch"], what].concat());
    };
    ask("tenants list", &["list"]);
    ask("tenants show", &["show", "orders"]);
    ask("tenants members", &["members", "orders"]);
    ask("tenants why", &["why", "asha", "orders"]);
    ask("tenants directory", &["directory"]);
}

#[test]
fn commands_that_ask_the_council() {
    let site = Site::new("golden-council", 1);
    let first = Process::start(&["voter", &site.file, "--name", "v0"]);
    has_keys("voter", &first.next());
    let _others = [site.voter(1, false), site.voter(2, false)];
    let (_machines, register) = machines(&site.file);
    has_keys("roll, none", &asked(&["roll", &site.file]));
    let planners = [site.planner(&register), site.planner(&register)];
    let (_, line) = seated(&[&planners[0], &planners[1]]);
    has_keys("serve --seat", &line);
    let at = line["listening"].as_str().expect("an address");
    comes_to_have_keys("council", &["council", &site.file]);
    comes_to_have_keys("council --history", &["council", &site.file, "--history"]);
    comes_to_have_keys("planner of a seat", &["planner", "--planner", at]);
    has_keys("roll, begun", &asked(&["roll", &site.file, "--zone", "hall-a", "--at-once", "3"]));
    comes_to_have_keys("roll, over", &["roll", &site.file]);
    has_keys("council --hand-on", &asked(&["council", &site.file, "--hand-on", "planner-0"]));
}

/// A day of one second.
#[test]
fn a_drill() {
    let (site, _) = clauses(&folder("golden-drill"));
    let mut verdict = asked(&["drill", &site]);
    // Whether a rule was broken in that second is not judged here.
    assert!(verdict["breaches"].is_array(), "{verdict}");
    verdict["breaches"] = Value::Null;
    has_keys("drill", &verdict);
}
