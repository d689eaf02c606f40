//! A simulated coordinator that serves numbered events over HTTP and can be made to withhold its
//! replies.
use super::wire::harness::entry;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long a call waits for a new event before it gets an empty reply.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// The machine list as a sequence of events.
#[derive(Default)]
pub struct Coordinator {
    /// The machine entries of each event, in the order of their indices, which start at 1.
    events: RefCell<Vec<Vec<Value>>>,
    changed: Notify,
    /// Whether replies are withheld.
    is_unavailable: Cell<bool>,
}

impl Coordinator {
    /// Creates a coordinator whose first event lists these machines (name, address) as in service.
    pub fn with_machines(machines: &[(String, String)]) -> Rc<Coordinator> {
        let hosts = machines.iter().map(|(name, address)| entry(name, address, "in_service", 0)).collect();
        let coordinator = Coordinator::default();
        coordinator.events.borrow_mut().push(hosts);
        Rc::new(coordinator)
    }

    /// Publishes a new state of a machine.
    pub fn publish(&self, name: &str, address: &str, state: &str) {
        self.events.borrow_mut().push(vec![entry(name, address, state, 0)]);
        self.changed.notify_waiters();
    }

    /// Withholds all replies while `is_unavailable` is true.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.is_unavailable.set(is_unavailable);
    }

    /// Returns the body of a reply with all events after an index.
    pub fn since(&self, index: usize) -> Value {
        let events = self.events.borrow();
        let update = |(index, hosts): (usize, &Vec<Value>)| {
            let index = index + 1;
            json!({"index": index, "endpoints": {"seq": index, "whole": index == 1, "hosts": hosts}})
        };
        let updates: Vec<Value> = events.iter().enumerate().skip(index).map(update).collect();
        json!({"index": events.len(), "updates": updates})
    }

    /// Accepts connections until the listener fails.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(self.clone().answer_calls(stream));
        }
    }

    /// Answers the calls of one connection.
    async fn answer_calls(self: Rc<Self>, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(follow) = read_call(&mut stream).await {
            let has_new_events = || self.events.borrow().len() > follow;
            let new_events = async {
                while !has_new_events() {
                    self.changed.notified().await;
                }
            };
            let _ = timeout(MAX_WAIT, new_events).await;
            while self.is_unavailable.get() {
                sleep(Duration::from_millis(10)).await;
            }
            let body = self.since(follow).to_string();
            let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(reply.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Reads a call and returns the index that it follows; `None` at the end of the stream.
async fn read_call(stream: &mut BufReader<TcpStream>) -> Option<usize> {
    let mut request_line = String::new();
    stream.read_line(&mut request_line).await.ok().filter(|&read| read > 0)?;
    let mut line = String::new();
    while stream.read_line(&mut line).await.ok()? > 2 {
        line.clear();
    }
    let follow = request_line.split_once("follow=")?.1;
    follow.split(['&', ' ']).next()?.parse().ok()
}
