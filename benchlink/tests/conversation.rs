//! Runs the adapter's binary on short inputs and checks its output.
use expect_test::expect;
use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter on the input; returns its stdout, its stderr and its exit status.
fn run_adapter(input: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_basaltpitch-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter should start");
    child
        .stdin
        .take()
        .expect("stdin is piped")
        .write_all(input.as_bytes())
        .expect("the adapter should read its input");
    let output = child.wait_with_output().expect("the adapter should exit");
    let (stdout, stderr) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    format!("{stdout}{stderr}exit {:?}\n", output.status.code())
}

const CONFIG: &str = r#"{"classes":[{"name":"small","semantics":"retryable","objectiveUs":600000,"deadlineUs":6000000,"worth":1}],"machineTypes":["std"],"localities":["hall"],"familyInfo":{"admitCores":2,"admitMemory":2,"calmLevel":[1],"classKind":[-1],"cpuOfKind":[16],"sizeMemory":[32],"yesAt":"accepted"},"permissions":{"attemptsCap":3,"probes":false},"nInstances":2,"stats":{"fields":["x0","x1"]},"unknown":{"key":[null,true]}}"#;

/// Two instances receive different contents of a machine list whose number is reused within a
/// batch, and act only on their own events. Unknown fields are ignored, a crashed instance sends no
/// more lines, and the adapter exits cleanly at the end of its input.
#[test]
fn keeps_instances_separate_and_exits_cleanly() {
    let lines = format!(
        r#"{{"type":"sync","wallUs":1000000}}
{{"type":"configure","who":0,"salt":5,"config":{CONFIG}}}
{{"type":"configure","who":1,"salt":5,"config":{CONFIG}}}
{{"type":"sheet","sheet":0,"entries":[{{"model":"std","readiness":"ready","weight":1,"machine":"m-a","az":"hall","bay":0,"new":1}}]}}
{{"type":"membership","who":0,"how":"warm_copy","stamp":1,"sheet":0}}
{{"type":"sheet","sheet":0,"entries":[{{"model":"std","readiness":"ready","weight":1,"machine":"m-b","az":"hall","bay":0}}]}}
{{"type":"membership","who":1,"how":"warm_copy","stamp":1,"sheet":0}}
{{"type":"flush"}}
{{"type":"sync","wallUs":2000000}}
{{"type":"wanted","who":0,"opId":"00000000000000a1","priority":"small","taskKey":7,"memory":1.5,"deployment":9,"cpuAsk":2,"expiresInUs":5000000,"later":0}}
{{"type":"wanted","who":1,"opId":"00000000000000a1","priority":"small","taskKey":8,"memory":1.5,"deployment":9,"cpuAsk":2,"expiresInUs":5000000}}
{{"type":"expired","who":1,"opId":"00000000000000ff"}}
{{"type":"flush"}}
{{"type":"sync","wallUs":2010000}}
{{"type":"resolved","who":0,"opId":"00000000000000a1","sendNo":0,"machine":"m-a","verdict":110,"costTimeUs":10000}}
{{"type":"crashNow","who":1}}
{{"type":"flush"}}
"#
    );
    expect![[r#"
        {"type":"setAlarm","who":0,"fromNowUs":100000,"ref":0}
        {"type":"setAlarm","who":1,"fromNowUs":100000,"ref":0}
        {"type":"finished"}
        {"type":"put","who":0,"opId":"00000000000000a1","machine":"m-a","capUs":3000000}
        {"type":"put","who":1,"opId":"00000000000000a1","machine":"m-b","capUs":3000000}
        {"type":"finished"}
        {"type":"setAlarm","who":0,"fromNowUs":4690000,"ref":4294967296}
        {"type":"finished"}
        exit Some(0)
    "#]]
    .assert_eq(&run_adapter(&lines));
}

/// Invalid input must end the adapter with status 2 and one line on stderr that names the line, the
/// message and the field.
#[test]
fn reports_line_message_and_field_of_invalid_input() {
    let cases = [
        "{\"type\":\"sync\"}\n",
        "nothing\n",
        "{\"type\":\"sync\",\"wallUs\":1}\n{\"type\":\"expired\",\"who\":4,\"opId\":\"a\"}\n",
        "{\"type\":\"sync\",\"wallUs\":1}\n{\"type\":\"surprise\",\"who\":4}\n",
        "{\"type\":\"configure\",\"who\":0,\"salt\":\"x\",\"config\":{}}\n",
    ];
    let output: String = cases.iter().map(|lines| run_adapter(lines)).collect();
    expect![[r#"
        line 1: message 'sync': field 'wallUs' is missing
        exit Some(2)
        line 1: invalid JSON: expected ident at line 1 column 2
        exit Some(2)
        line 2: message 'expired': instance is not configured
        exit Some(2)
        line 2: message 'surprise': instance is not configured
        exit Some(2)
        line 1: message 'configure': field 'salt' is of the wrong type
        exit Some(2)
    "#]]
    .assert_eq(&output);
}
