//! Runs `basaltpitch node` with several clients behind one address, as a front connects them, and
//! resets their connections: the end of a task must reach its own client and no other.
mod wire;
use serde_json::json;
use std::net::TcpListener;
use wire::*;

/// Number of times that a task ends while its client disconnects.
const ROUNDS: u64 = 200;

/// A planner, the link to its machine, and two clients that connect from one address: the first of
/// tenant `north` with task 1, the other of tenant `south` with task 2.
struct Clients {
    node: Node,
    _machine: TcpListener,
    link: Peer,
    first: Option<Peer>,
    other: Peer,
}

impl Clients {
    fn start(name: &str) -> Clients {
        let (machine, address) = listener();
        let node = start_node_with(name, &free_address(), &[("a", &address)], disable_probes);
        let (mut first, other) = (Peer::connect(&node), Peer::connect(&node));
        first.send_line(&request_of(1, "north"));
        let mut link = Peer::accept(&machine);
        link.next_of_kind("open").unwrap();
        link.send_line(&ready(&id(1), "stands"));
        first.next_of_kind("ready").unwrap();
        let mut clients = Clients { node, _machine: machine, link, first: Some(first), other };
        clients.other_places(2);
        clients
    }

    /// Places a task for a client.
    fn place(link: &mut Peer, client: &mut Peer, task: u64, tenant: &str) {
        client.send_line(&request_of(task, tenant));
        assert_eq!(link.next_of_kind("open").unwrap()["sid"], id(task));
        link.send_line(&ready(&id(task), "stands"));
        assert_eq!(client.next_of_kind("ready").unwrap()["sid"], id(task));
    }

    fn other_places(&mut self, task: u64) {
        Clients::place(&mut self.link, &mut self.other, task, "south");
    }

    /// Resets the first client's connection and returns once the planner has read that: it gives up
    /// a request that was open on the connection.
    fn reset_first(&mut self) {
        let mut first = self.first.take().expect("the first client is connected");
        first.send_line(&request_of(3, "north"));
        assert_eq!(self.link.next_of_kind("open").unwrap()["sid"], id(3));
        first.reset();
        assert_eq!(self.link.next_of_kind("close").unwrap()["sid"], id(3));
    }

    /// Connects the first client again; it places a task.
    fn first_returns(&mut self, task: u64) {
        let mut first = Peer::connect(&self.node);
        Clients::place(&mut self.link, &mut first, task, "north");
        self.first = Some(first);
    }

    /// Ends task 1 at its machine.
    fn end_task(&mut self) {
        self.link.send_line(&message("close", &id(1), json!({}), 16));
    }

    /// Checks that the first client gets the release of task 1.
    fn check_release(&mut self) {
        let release = self.first.as_mut().expect("the first client is connected").next_line().unwrap();
        assert_eq!((&release["msg"], &release["sid"]), (&json!("close"), &json!(id(1))));
    }

    /// Checks that the other client was sent nothing since its last task was placed.
    fn check_nothing_sent_to_other(&mut self) {
        self.other.send_line(&message("probe", &id(0xf), json!({}), 0));
        assert_eq!(self.other.next_line().unwrap()["msg"], "probed");
    }
}

fn request_of(task: u64, tenant: &str) -> String {
    request(&id(task), json!({"tenant": tenant, "key": id(0xa0 + task)}))
}

/// Guards against this failure: the release of a client that had come back after a reset went to
/// another client behind the same address.
#[test]
fn releases_a_task_to_its_client_that_came_back_after_a_reset() {
    let mut clients = Clients::start("back");
    clients.reset_first();
    clients.first_returns(4);
    clients.other_places(5);
    clients.end_task();
    clients.check_release();
    clients.check_nothing_sent_to_other();
}

/// Guards against this failure: the release of a client that was away went to the next client that
/// placed a task from the same address.
#[test]
fn keeps_a_release_for_its_client_while_another_places_tasks() {
    let mut clients = Clients::start("away");
    clients.reset_first();
    clients.end_task();
    clients.other_places(4);
    clients.check_nothing_sent_to_other();
    clients.first_returns(5);
    clients.check_release();
}

/// A client's connection ends just before the planner writes the release of its task to it: the
/// client gets the release when it comes back.
#[test]
fn releases_a_task_that_ends_as_its_client_disconnects() {
    let mut clients = Clients::start("crossing");
    for round in 0..ROUNDS {
        let (ended, next) = (1 + 2 * round, 3 + 2 * round);
        drop(clients.first.take());
        clients.link.send_line(&message("close", &id(ended), json!({}), 16));
        clients.first_returns(next);
        let release = clients.first.as_mut().unwrap().next_line().unwrap();
        assert_eq!((&release["msg"], &release["sid"]), (&json!("close"), &json!(id(ended))), "{round}");
    }
}

/// Guards against this failure: a client had come back after a reset; the release of its task went
/// to another client of the same tenant, which connected and placed a task later.
#[test]
fn releases_a_task_to_the_first_of_two_clients_of_a_tenant() {
    let mut clients = Clients::start("one-tenant");
    clients.reset_first();
    clients.first_returns(4);
    clients.other = Peer::connect(&clients.node);
    Clients::place(&mut clients.link, &mut clients.other, 5, "north");
    clients.end_task();
    clients.check_release();
    clients.check_nothing_sent_to_other();
}
