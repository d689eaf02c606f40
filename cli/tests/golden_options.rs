//! The commands and their options, as an earlier build had them: `golden/options.txt` holds a heading for
//! each command, and its options and the environment's names that stand in for them. The file is never
//! edited; scripts and units of the system call the commands by these names.
use std::collections::BTreeSet;
use std::process::Command;

fn help(command: &[String]) -> String {
    let program = env!("CARGO_BIN_EXE_basaltpitch");
    let out = Command::new(program).args(command).arg("--help").env("COLUMNS", "110").output().unwrap();
    assert!(out.status.success(), "{command:?}");
    String::from_utf8(out.stdout).unwrap()
}

/// The commands below one, as its help lists them.
fn below(help: &str) -> Vec<String> {
    let listed =
        help.lines().skip_while(|line| *line != "Commands:").skip(1).take_while(|line| !line.is_empty());
    // A description that goes on in a second line stands further in.
    let names = listed.filter(|line| line.starts_with("  ") && !line.starts_with("   "));
    let first = |line: &str| line.split_whitespace().next().expect("a name").to_owned();
    names.map(first).filter(|name| name != "help").collect()
}

/// The options of a command, and the names in the environment that stand in for them.
fn options(help: &str) -> BTreeSet<String> {
    // Options stand this far in, with and without a short name; descriptions stand further in.
    let begins = |line: &&str| line.starts_with("  -") || line.starts_with("      --");
    let names = help
        .lines()
        .filter(begins)
        .flat_map(|line| line.split_whitespace().take_while(|word| word.starts_with('-')));
    let mut found: BTreeSet<String> = names.map(|name| name.trim_end_matches(',').to_owned()).collect();
    let in_one_line = help.split_whitespace().collect::<Vec<_>>().join(" ");
    let environment = in_one_line.split("[env: ").skip(1).filter_map(|rest| rest.split('=').next());
    found.extend(environment.map(|name| format!("env {name}")));
    found
}

/// This command and all below it.
fn collect(command: &[String], text: &mut String) {
    let help = help(command);
    text.push_str(&format!("== basaltpitch {}\n", command.join(" ")));
    options(&help).iter().for_each(|option| text.push_str(&format!("{option}\n")));
    for name in below(&help) {
        collect(&[command, &[name]].concat(), text);
    }
}

#[test]
fn commands_and_options_have_the_names_that_they_had() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/options.txt");
    let expected = std::fs::read_to_string(path).expect("golden/options.txt");
    let mut found = String::new();
    collect(&[], &mut found);
    assert_eq!(found, expected);
}
