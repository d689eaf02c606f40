//! Checks that the commands and their options keep their names, since scripts and systemd units use
//! them. The file `golden/options.txt` holds a heading for each command, its options and the
//! environment variables that replace them, as an earlier build had them; it is never edited.
use std::collections::BTreeSet;
use std::process::Command;

/// Returns the help text of a command.
fn help(command: &[String]) -> String {
    let program = env!("CARGO_BIN_EXE_basaltpitch");
    let out = Command::new(program).args(command).arg("--help").env("COLUMNS", "110").output().unwrap();
    assert!(out.status.success(), "{command:?}");
    String::from_utf8(out.stdout).unwrap()
}

/// Returns the names of the subcommands that a help text lists.
fn subcommands(help: &str) -> Vec<String> {
    let listed =
        help.lines().skip_while(|line| *line != "Commands:").skip(1).take_while(|line| !line.is_empty());
    // The second line of a long description has a deeper indent than a command's name.
    let names = listed.filter(|line| line.starts_with("  ") && !line.starts_with("   "));
    let first = |line: &str| line.split_whitespace().next().expect("a name").to_owned();
    names.map(first).filter(|name| name != "help").collect()
}

/// Returns the options that a help text lists, and the environment variables that replace them.
fn options(help: &str) -> BTreeSet<String> {
    // Options with a short name have an indent of 2, others of 6; descriptions have a deeper
    // indent.
    let is_option = |line: &&str| line.starts_with("  -") || line.starts_with("      --");
    let names = help
        .lines()
        .filter(is_option)
        .flat_map(|line| line.split_whitespace().take_while(|word| word.starts_with('-')));
    let mut found: BTreeSet<String> = names.map(|name| name.trim_end_matches(',').to_owned()).collect();
    let in_one_line = help.split_whitespace().collect::<Vec<_>>().join(" ");
    let environment = in_one_line.split("[env: ").skip(1).filter_map(|rest| rest.split('=').next());
    found.extend(environment.map(|name| format!("env {name}")));
    found
}

/// Appends the options of a command and of all its subcommands to `text`.
fn collect(command: &[String], text: &mut String) {
    let help = help(command);
    text.push_str(&format!("== basaltpitch {}\n", command.join(" ")));
    options(&help).iter().for_each(|option| text.push_str(&format!("{option}\n")));
    for name in subcommands(&help) {
        collect(&[command, &[name]].concat(), text);
    }
}

/// The help texts of all commands list exactly the stored commands, options and environment
/// variables.
#[test]
fn commands_and_options_keep_their_names() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/options.txt");
    let expected = std::fs::read_to_string(path).expect("golden/options.txt");
    let mut found = String::new();
    collect(&[], &mut found);
    assert_eq!(found, expected);
}
