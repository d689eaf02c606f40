//! Stand-ins for the parties around one planner on the platform: the owner of tasks, machines and
//! the coordinator. All of them listen on loopback addresses and write what they send and receive
//! to one record. A case is a program in `src/bin/`.
pub mod coordinator;
pub mod front;
pub mod json;
pub mod machine;
pub mod owner;
pub mod planner;
pub mod proxy;
pub mod record;

use json::{quote, Json};

/// Formats a line of the protocol; `attributes` is the text of a JSON object.
pub fn line(kind: &str, id: &str, attributes: &str, code: Option<i64>, text: Option<&str>) -> String {
    let code = code.map_or(String::new(), |code| format!(",\"code\":{code}"));
    let text = text.map_or(String::new(), |text| format!(",\"text\":{}", quote(text)));
    format!("{{\"msg\":\"{kind}\",\"sid\":\"{id}\",\"attrs\":{attributes}{code}{text}}}")
}

/// A line as it was received.
#[derive(Clone, Debug)]
pub struct Message {
    pub kind: String,
    pub id: String,
    pub code: Option<i64>,
    pub text: Option<String>,
    pub value: Json,
}

impl Message {
    pub fn parse(line: &str) -> Option<Message> {
        let value = Json::parse(line)?;
        Some(Message {
            kind: value.text("msg")?.to_owned(),
            id: value.text("sid")?.to_owned(),
            code: value.number("code").map(|code| code as i64),
            text: value.text("text").map(str::to_owned),
            value,
        })
    }

    pub fn attribute(&self, name: &str) -> Option<String> {
        match self.value.get("attrs")?.get(name)? {
            Json::Text(text) => Some(text.clone()),
            Json::Number(number) => Some(number.to_string()),
            _ => None,
        }
    }
}

/// Returns whether the case plays its disruption: `TROUBLE=0` leaves it out.
pub fn plays_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends a case: writes the verdict to the record and exits with the code that the review asks for.
pub fn verdict(planner: Option<planner::Planner>, broken: &[String]) -> ! {
    for rule in broken {
        record::note(&format!("BROKEN: {rule}"));
    }
    record::note(if broken.is_empty() { "verdict: the rule held" } else { "verdict: the rule was broken" });
    drop(planner);
    std::process::exit(if broken.is_empty() { 0 } else { 1 });
}

/// Ends a case that could not run.
pub fn could_not_run(planner: Option<planner::Planner>, why: &str) -> ! {
    record::note(&format!("verdict: the case could not run: {why}"));
    drop(planner);
    std::process::exit(2);
}
