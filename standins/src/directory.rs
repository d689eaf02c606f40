//! A stand-in LDAP directory on loopback, with faults on command. It serves what is laid into it, in pages.
use futures_util::{SinkExt, StreamExt};
use ldap3_proto::control::LdapControl;
use ldap3_proto::proto::{
    LdapBindCred, LdapBindResponse, LdapMsg, LdapOp, LdapPartialAttribute, LdapResult, LdapResultCode,
    LdapSearchResultEntry,
};
use ldap3_proto::LdapCodec;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

/// An entry: its distinguished name, and attributes with their values.
pub type Laid = (String, Vec<(String, Vec<Vec<u8>>)>);

/// What is wrong with the directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
    #[default]
    None,
    /// Connections are closed as soon as they are made.
    Refuses,
    /// A search is read and never answered.
    Stalls,
    /// The connection ends after so many entries.
    CutsAfter(usize),
    /// The search ends there with "size limit exceeded".
    SizeLimit(usize),
    /// A pause before each page, in milliseconds.
    Slow(u64),
}

#[derive(Default)]
pub struct Directory {
    pub address: String,
    pub entries: RefCell<Vec<Laid>>,
    pub trouble: Cell<Trouble>,
    pub password: RefCell<String>,
    pub searches: Cell<u32>,
}

/// Starts a directory on a loopback port of its own.
pub async fn start(password: &str) -> std::io::Result<Rc<Directory>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let me =
        Rc::new(Directory { address, password: RefCell::new(password.to_owned()), ..Directory::default() });
    let there = me.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if there.trouble.get() != Trouble::Refuses {
                tokio::task::spawn_local(serve(there.clone(), stream));
            }
        }
    });
    Ok(me)
}

fn result(code: LdapResultCode) -> LdapResult {
    LdapResult { code, matcheddn: String::new(), message: String::new(), referral: Vec::new() }
}

async fn serve(me: Rc<Directory>, stream: TcpStream) {
    let mut wire = Framed::new(stream, LdapCodec::default());
    while let Some(Ok(msg)) = wire.next().await {
        let answer = |op, ctrl| LdapMsg { msgid: msg.msgid, op, ctrl };
        match msg.op {
            LdapOp::BindRequest(bind) => {
                let right = matches!(bind.cred, LdapBindCred::Simple(p) if p == *me.password.borrow());
                let code = if right { LdapResultCode::Success } else { LdapResultCode::InvalidCredentials };
                let response = LdapBindResponse { res: result(code), saslcreds: None };
                if wire.send(answer(LdapOp::BindResponse(response), Vec::new())).await.is_err() {
                    return;
                }
            }
            LdapOp::SearchRequest(_) => {
                me.searches.set(me.searches.get() + 1);
                let paged = msg.ctrl.iter().find_map(|c| match c {
                    LdapControl::SimplePagedResults { size, cookie } => {
                        Some((*size as usize, cookie.clone()))
                    }
                    _ => None,
                });
                let (size, cookie) = paged.unwrap_or((usize::MAX, Vec::new()));
                let from: usize = String::from_utf8_lossy(&cookie).parse().unwrap_or(0);
                match me.trouble.get() {
                    Trouble::Stalls => continue,
                    Trouble::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                    _ => {}
                }
                let page: Vec<Laid> = me.entries.borrow().iter().skip(from).take(size).cloned().collect();
                let next = from + page.len();
                for (n, (dn, attributes)) in page.into_iter().enumerate() {
                    match me.trouble.get() {
                        Trouble::CutsAfter(most) if from + n >= most => return,
                        Trouble::SizeLimit(most) if from + n >= most => {
                            let done = LdapOp::SearchResultDone(result(LdapResultCode::SizeLimitExceeded));
                            let _ = wire.send(answer(done, Vec::new())).await;
                            break;
                        }
                        _ => {}
                    }
                    let attributes =
                        attributes.into_iter().map(|(atype, vals)| LdapPartialAttribute { atype, vals });
                    let entry = LdapSearchResultEntry { dn, attributes: attributes.collect() };
                    if wire.send(answer(LdapOp::SearchResultEntry(entry), Vec::new())).await.is_err() {
                        return;
                    }
                }
                if matches!(me.trouble.get(), Trouble::SizeLimit(most) if next > most) {
                    continue;
                }
                let more = next < me.entries.borrow().len();
                let cookie = if more { next.to_string().into_bytes() } else { Vec::new() };
                let ctrl = vec![LdapControl::SimplePagedResults { size: 0, cookie }];
                let done = LdapOp::SearchResultDone(result(LdapResultCode::Success));
                if wire.send(answer(done, ctrl)).await.is_err() {
                    return;
                }
            }
            LdapOp::UnbindRequest => return,
            _ => {}
        }
    }
}

/// An entry with text attributes.
pub fn laid(dn: &str, attributes: &[(&str, &[&str])]) -> Laid {
    let values = |v: &[&str]| v.iter().map(|s| s.as_bytes().to_vec()).collect();
    (dn.to_owned(), attributes.iter().map(|(k, v)| ((*k).to_owned(), values(v))).collect())
}
