//! A simulated LDAP server on loopback with fault injection. It serves its entries by paged
//! searches and by content synchronisation (RFC 4533), in plain text, over TLS, or after StartTLS.
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use ldap3_proto::control::LdapControl;
use ldap3_proto::proto::{
    LdapBindCred, LdapBindResponse, LdapExtendedResponse, LdapFilter, LdapIntermediateResponse, LdapMsg,
    LdapOp, LdapPartialAttribute, LdapResult, LdapResultCode, LdapSearchRequest, LdapSearchResultEntry,
    LdapSearchScope, SyncStateValue,
};
use ldap3_proto::LdapCodec;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio_rustls::TlsAcceptor;
use tokio_util::codec::{Encoder, Framed};
use uuid::Uuid;

/// An entry: its distinguished name, and its attributes with their values.
pub type LdapEntry = (String, Vec<(String, Vec<Vec<u8>>)>);

/// A fault of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DirectoryFault {
    /// No fault.
    #[default]
    None,
    /// Connections are closed as soon as they are accepted.
    Refuses,
    /// Searches are read but never answered.
    Stalls,
    /// The connection is closed after this number of entries.
    CutsAfter(usize),
    /// The connection is closed after this number of bytes of search responses.
    CutsAtByte(usize),
    /// Searches end with "size limit exceeded" after this number of entries.
    SizeLimit(usize),
    /// Pause before each page, in milliseconds.
    Slow(u64),
    /// A synchronisation names the entries that are present, instead of those that were deleted.
    NamesPresent,
    /// The server does not recognise synchronisation cookies any more.
    ForgetsCookies,
}

/// A simulated LDAP server.
#[derive(Default)]
pub struct LdapServer {
    /// Address that the server listens on.
    pub address: String,
    /// The entries that the server serves.
    pub entries: RefCell<Vec<LdapEntry>>,
    /// The active fault.
    pub fault: Cell<DirectoryFault>,
    /// Password that a bind must present.
    pub password: RefCell<String>,
    /// Searches received so far.
    pub searches: Cell<u32>,
    /// Entries sent to searches that requested more than an id and a timestamp (two attributes).
    pub entries_sent: Cell<u32>,
    /// Bytes of search responses since the value was last reset.
    pub response_bytes: Cell<usize>,
    /// Entries as they were when each synchronisation cookie was issued; the cookie is the index.
    states: RefCell<Vec<Vec<LdapEntry>>>,
}

/// How connections are secured.
#[derive(Clone, Default)]
pub enum TransportSecurity {
    /// Plain text.
    #[default]
    Clear,
    /// TLS from the start.
    Tls(TlsAcceptor),
    /// TLS after StartTLS; binds are rejected before that.
    StartTls(TlsAcceptor),
}

/// Starts a server on a loopback port.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn start(password: &str) -> std::io::Result<Rc<LdapServer>> {
    start_with_security(password, TransportSecurity::Clear).await
}

/// Starts a server on a loopback port, with the given transport security.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn start_with_security(
    password: &str,
    security: TransportSecurity,
) -> std::io::Result<Rc<LdapServer>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let server =
        Rc::new(LdapServer { address, password: RefCell::new(password.to_owned()), ..LdapServer::default() });
    let shared_server = server.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            if shared_server.fault.get() == DirectoryFault::Refuses {
                continue;
            }
            let (shared_server, security) = (shared_server.clone(), security.clone());
            tokio::task::spawn_local(async move {
                match &security {
                    TransportSecurity::Tls(tls) => {
                        if let Ok(stream) = tls.accept(stream).await {
                            serve(shared_server, Box::new(stream), None).await;
                        }
                    }
                    TransportSecurity::StartTls(tls) => {
                        serve(shared_server, Box::new(stream), Some(tls.clone())).await
                    }
                    TransportSecurity::Clear => serve(shared_server, Box::new(stream), None).await,
                }
            });
        }
    });
    Ok(server)
}

/// A connection, with or without TLS.
trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}
/// A connection that carries LDAP messages.
type Wire = Framed<Box<dyn Stream>, LdapCodec>;

/// Returns a result with this code and no further details.
fn result(code: LdapResultCode) -> LdapResult {
    LdapResult { code, matcheddn: String::new(), message: String::new(), referral: Vec::new() }
}

/// Returns the values of an attribute; empty if the entry does not have it.
fn values<'a>(entry: &'a LdapEntry, attribute: &str) -> &'a [Vec<u8>] {
    entry.1.iter().find(|a| a.0.eq_ignore_ascii_case(attribute)).map_or(&[], |a| &a.1)
}

/// Returns whether an entry matches a filter. Filters of other kinds match nothing.
fn matches(filter: &LdapFilter, entry: &LdapEntry) -> bool {
    match filter {
        LdapFilter::And(all) => all.iter().all(|f| matches(f, entry)),
        LdapFilter::Or(any) => any.iter().any(|f| matches(f, entry)),
        LdapFilter::Not(f) => !matches(f, entry),
        LdapFilter::Equality(a, v) => values(entry, a).iter().any(|x| x.eq_ignore_ascii_case(v.as_bytes())),
        LdapFilter::Present(a) => !values(entry, a).is_empty(),
        _ => false,
    }
}

/// Returns an entry's id. Entries without an id are left out of synchronisations.
fn id(entry: &LdapEntry) -> Option<Uuid> {
    Uuid::parse_str(std::str::from_utf8(values(entry, "entryUUID").first()?).ok()?).ok()
}

/// The response to one request on a connection.
struct SearchReply<'a> {
    server: &'a LdapServer,
    wire: &'a mut Wire,
    msgid: i32,
    /// Attributes that the search requests; empty: all.
    attributes: Vec<String>,
}

impl SearchReply<'_> {
    /// Sends a message. Returns `None` if the connection is to be closed.
    async fn send(&mut self, op: LdapOp, ctrl: Vec<LdapControl>) -> Option<()> {
        let msg = LdapMsg { msgid: self.msgid, op, ctrl };
        if matches!(msg.op, LdapOp::BindResponse(_) | LdapOp::ExtendedResponse(_)) {
            return self.wire.send(msg).await.ok();
        }
        let mut bytes = BytesMut::new();
        LdapCodec::default().encode(msg, &mut bytes).ok()?;
        let before = self.server.response_bytes.replace(self.server.response_bytes.get() + bytes.len());
        if let DirectoryFault::CutsAtByte(most) = self.server.fault.get() {
            bytes.truncate(most.saturating_sub(before));
        }
        let whole = before + bytes.len() == self.server.response_bytes.get();
        self.wire.get_mut().write_all(&bytes).await.ok()?;
        whole.then_some(())
    }

    /// Ends a search with this result code.
    async fn done(&mut self, code: LdapResultCode, ctrl: Vec<LdapControl>) -> Option<()> {
        self.send(LdapOp::SearchResultDone(result(code)), ctrl).await
    }

    /// Sends an entry with the requested attributes.
    async fn entry(&mut self, (dn, attributes): LdapEntry, ctrl: Vec<LdapControl>) -> Option<()> {
        let requested =
            |a: &str| self.attributes.is_empty() || self.attributes.iter().any(|x| x.eq_ignore_ascii_case(a));
        let attributes = attributes.into_iter().filter(|a| requested(&a.0));
        let attributes: Vec<_> =
            attributes.map(|(atype, vals)| LdapPartialAttribute { atype, vals }).collect();
        self.server.entries_sent.set(self.server.entries_sent.get() + u32::from(self.attributes.len() > 2));
        self.send(LdapOp::SearchResultEntry(LdapSearchResultEntry { dn, attributes }), ctrl).await
    }

    /// Sends what changed since a cookie was issued; without a cookie, sends all entries.
    async fn synchronise(&mut self, found: Vec<LdapEntry>, cookie: Option<Vec<u8>>) -> Option<()> {
        let known: Option<usize> = cookie.and_then(|c| String::from_utf8(c).ok()?.parse().ok());
        let before = known.and_then(|n| self.server.states.borrow().get(n).cloned());
        if known.is_some() && (before.is_none() || self.server.fault.get() == DirectoryFault::ForgetsCookies)
        {
            return self.done(LdapResultCode::EsyncRefreshRequired, Vec::new()).await;
        }
        let names_present = before.is_none() || self.server.fault.get() == DirectoryFault::NamesPresent;
        let old = before.unwrap_or_default();
        let ids = |of: &[LdapEntry]| of.iter().filter_map(id).collect::<Vec<_>>();
        let (now, then) = (ids(&found), ids(&old));
        let syncuuids: Vec<Uuid> = if names_present {
            found.iter().filter(|e| old.contains(e)).filter_map(id).collect()
        } else {
            then.iter().filter(|id| !now.contains(id)).copied().collect()
        };
        let set = LdapIntermediateResponse::SyncInfoIdSet {
            cookie: None,
            refresh_deletes: !names_present,
            syncuuids,
        };
        self.send(LdapOp::IntermediateResponse(set), Vec::new()).await?;
        for (n, entry) in found.iter().filter(|e| !old.contains(e)).enumerate() {
            if matches!(self.server.fault.get(), DirectoryFault::CutsAfter(most) if n >= most) {
                return None;
            }
            let Some(entry_uuid) = id(entry) else { continue };
            let state = if then.contains(&entry_uuid) { SyncStateValue::Modify } else { SyncStateValue::Add };
            let state = LdapControl::SyncState { state, entry_uuid, cookie: None };
            self.entry(entry.clone(), vec![state]).await?;
        }
        let cookie = self.server.states.borrow().len().to_string().into_bytes();
        self.server.states.borrow_mut().push(found);
        let done = LdapControl::SyncDone { cookie: Some(cookie), refresh_deletes: !names_present };
        self.done(LdapResultCode::Success, vec![done]).await
    }

    /// Answers a search by a page of entries or by a synchronisation. Returns `None` if the
    /// connection is to be closed.
    async fn search(&mut self, search: LdapSearchRequest, ctrl: Vec<LdapControl>) -> Option<()> {
        let server = self.server;
        server.searches.set(server.searches.get() + 1);
        match server.fault.get() {
            DirectoryFault::Stalls => return Some(()),
            DirectoryFault::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            _ => {}
        }
        let entries = server.entries.borrow().clone();
        let (filter, base) = (&search.filter, &search.base);
        let of_base = search.scope == LdapSearchScope::Base;
        let found: Vec<LdapEntry> = entries
            .into_iter()
            .filter(|e| matches(filter, e) && if of_base { e.0 == *base } else { e.0.ends_with(base) })
            .collect();
        let (mut size, mut from) = (usize::MAX, 0);
        for control in ctrl {
            match control {
                LdapControl::SimplePagedResults { size: s, cookie } => {
                    size = s as usize;
                    from = String::from_utf8_lossy(&cookie).parse().unwrap_or(0);
                }
                LdapControl::SyncRequest { cookie, .. } => return self.synchronise(found, cookie).await,
                _ => {}
            }
        }
        let page: Vec<LdapEntry> = found.iter().skip(from).take(size).cloned().collect();
        let next = from + page.len();
        for (n, entry) in page.into_iter().enumerate() {
            match server.fault.get() {
                DirectoryFault::CutsAfter(most) if from + n >= most => return None,
                DirectoryFault::SizeLimit(most) if from + n >= most => {
                    return self.done(LdapResultCode::SizeLimitExceeded, Vec::new()).await
                }
                _ => {}
            }
            self.entry(entry, Vec::new()).await?;
        }
        let cookie = if next < found.len() { next.to_string().into_bytes() } else { Vec::new() };
        self.done(LdapResultCode::Success, vec![LdapControl::SimplePagedResults { size: 0, cookie }]).await
    }
}

/// Serves one connection until it closes. `starttls` holds the acceptor while StartTLS is still
/// required.
async fn serve(server: Rc<LdapServer>, stream: Box<dyn Stream>, mut starttls: Option<TlsAcceptor>) {
    let mut wire: Wire = Framed::new(stream, LdapCodec::default());
    while let Some(Ok(LdapMsg { msgid, op, ctrl })) = wire.next().await {
        let mut reply = SearchReply { server: &server, wire: &mut wire, msgid, attributes: Vec::new() };
        let sent = match op {
            LdapOp::BindRequest(bind) => {
                let right = matches!(bind.cred, LdapBindCred::Simple(p) if p == *server.password.borrow());
                let code = match (right, &starttls) {
                    (_, Some(_)) => LdapResultCode::ConfidentialityRequired,
                    (true, None) => LdapResultCode::Success,
                    (false, None) => LdapResultCode::InvalidCredentials,
                };
                let response = LdapBindResponse { res: result(code), saslcreds: None };
                reply.send(LdapOp::BindResponse(response), Vec::new()).await
            }
            LdapOp::ExtendedRequest(_) if starttls.is_some() => {
                let res = result(LdapResultCode::Success);
                let response = LdapExtendedResponse { res, name: None, value: None };
                if reply.send(LdapOp::ExtendedResponse(response), Vec::new()).await.is_none() {
                    return;
                }
                let Some(tls) = starttls.take() else { return };
                let Ok(stream) = tls.accept(wire.into_inner()).await else { return };
                wire = Framed::new(Box::new(stream), LdapCodec::default());
                Some(())
            }
            LdapOp::SearchRequest(search) => {
                reply.attributes.clone_from(&search.attrs);
                reply.search(search, ctrl).await
            }
            LdapOp::UnbindRequest => None,
            _ => Some(()),
        };
        if sent.is_none() {
            return;
        }
    }
}

/// Returns an entry with text attributes.
pub fn ldap_entry(dn: &str, attributes: &[(&str, &[&str])]) -> LdapEntry {
    let values = |v: &[&str]| v.iter().map(|s| s.as_bytes().to_vec()).collect();
    (dn.to_owned(), attributes.iter().map(|(k, v)| ((*k).to_owned(), values(v))).collect())
}
