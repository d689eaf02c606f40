//! The coordinator: numbered events over HTTP, and breaks in which it answers nobody.
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

/// How long a call waits for news at most.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// The list of machines and its changes.
#[derive(Default)]
pub struct Coordinator {
    events: RefCell<Vec<Vec<Value>>>,
    changed: Notify,
    is_broken: Cell<bool>,
}

impl Coordinator {
    /// A coordinator whose first event lists these machines as in service.
    pub fn of(machines: &[(String, String)]) -> Rc<Coordinator> {
        let hosts = machines.iter().map(|(name, at)| entry(name, at, "in_service", 0)).collect();
        let coordinator = Coordinator::default();
        coordinator.events.borrow_mut().push(hosts);
        Rc::new(coordinator)
    }

    /// A machine changes its state.
    pub fn tell(&self, name: &str, address: &str, state: &str) {
        self.events.borrow_mut().push(vec![entry(name, address, state, 0)]);
        self.changed.notify_waiters();
    }

    pub fn set_broken(&self, is_broken: bool) {
        self.is_broken.set(is_broken);
    }

    /// The events after the one with this number, in the form of a reply.
    pub fn since(&self, number: usize) -> Value {
        let events = self.events.borrow();
        let update = |(index, hosts): (usize, &Vec<Value>)| {
            let index = index + 1;
            json!({"index": index, "endpoints": {"seq": index, "whole": index == 1, "hosts": hosts}})
        };
        let updates: Vec<Value> = events.iter().enumerate().skip(number).map(update).collect();
        json!({"index": events.len(), "updates": updates})
    }

    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(self.clone().answer(stream));
        }
    }

    async fn answer(self: Rc<Self>, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(follow) = read_call(&mut stream).await {
            let has_news = || self.events.borrow().len() > follow;
            let news = async {
                while !has_news() {
                    self.changed.notified().await;
                }
            };
            let _ = timeout(MAX_WAIT, news).await;
            while self.is_broken.get() {
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

/// The number that a call follows; `None` at the end of the stream.
async fn read_call(stream: &mut BufReader<TcpStream>) -> Option<usize> {
    let mut first = String::new();
    stream.read_line(&mut first).await.ok().filter(|&read| read > 0)?;
    let mut line = String::new();
    while stream.read_line(&mut line).await.ok()? > 2 {
        line.clear();
    }
    let from = first.split_once("follow=")?.1;
    from.split(['&', ' ']).next()?.parse().ok()
}
