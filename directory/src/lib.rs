//! Sweeps of an LDAP directory (RFC 4511, paged results of RFC 2696): binds, asks for people, groups and tenants, and
//! hands over what came with whether it is all. An entry that makes no sense is left out and named, and the sweep is
//! then not complete: what cannot be read is never read as a deletion. It decides nothing else.
mod entry;

pub use entry::{plain_dn, read, Names, Raw};

use basaltpitch_tenants::Sweep;
use ldap3::adapters::{Adapter, EntriesOnly, PagedResults};
use ldap3::{LdapConnAsync, LdapConnSettings, Scope, SearchEntry};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::time::Duration;

/// How a directory is reached and asked. Filters are the settings' own text; values never enter them.
#[derive(Clone, Debug)]
pub struct Source {
    /// `ldap://` (with StartTLS where `starttls` is set) or `ldaps://`, in order.
    pub urls: Vec<String>,
    pub starttls: bool,
    pub bind_dn: String,
    /// The file that holds the password, read anew at each sweep, so that it may change in service.
    pub password: PathBuf,
    pub base: String,
    pub filter: String,
    pub names: Names,
    pub page: i32,
    /// A connection, and each page, must come within this time.
    pub patience: Duration,
}

/// Why a sweep brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("{file}: {what}")]
    Secret { file: String, what: String },
    #[error("{url}: no connection: {what}")]
    Connect { url: String, what: String },
    #[error("{url}: bind as {dn}: found result {rc} ({text}); expected 0")]
    Bind { url: String, dn: String, rc: u32, text: String },
    #[error("{url}: the search broke off: {what}")]
    Search { url: String, what: String },
}

/// What a sweep brought.
#[derive(Clone, Debug, Default)]
pub struct Swept {
    pub sweep: Sweep,
    /// Why it is not complete, where it is not; one text a cause.
    pub lacks: Vec<String>,
}

/// Sweeps one server. Pages that came before a break are handed over as an incomplete sweep.
pub async fn sweep(source: &Source, server: usize) -> Result<Swept, Fault> {
    let url = source.urls[server].clone();
    let secret = std::fs::read_to_string(&source.password)
        .map_err(|e| Fault::Secret { file: source.password.display().to_string(), what: e.to_string() })?;
    let settings = LdapConnSettings::new().set_conn_timeout(source.patience).set_starttls(source.starttls);
    let connect = |what: String| Fault::Connect { url: url.clone(), what };
    let opened = LdapConnAsync::with_settings(settings, &url).await;
    let (conn, mut ldap) = opened.map_err(|e| connect(e.to_string()))?;
    let driven = tokio::task::spawn_local(async move {
        if let Err(e) = conn.drive().await {
            tracing::debug!(error = %e, "the directory's connection ended");
        }
    });
    let bound = ldap.with_timeout(source.patience).simple_bind(&source.bind_dn, secret.trim_end()).await;
    let bound = bound.map_err(|e| connect(e.to_string()))?;
    if bound.rc != 0 {
        driven.abort();
        return Err(Fault::Bind { url, dn: source.bind_dn.clone(), rc: bound.rc, text: bound.text });
    }
    let swept = search(source, &url, &mut ldap).await;
    let _ = ldap.with_timeout(source.patience).unbind().await;
    driven.abort();
    swept
}

async fn search(source: &Source, url: &str, ldap: &mut ldap3::Ldap) -> Result<Swept, Fault> {
    let broke = |what: String| Fault::Search { url: url.to_owned(), what };
    let adapters: Vec<Box<dyn Adapter<_, _>>> =
        vec![Box::new(EntriesOnly::new()), Box::new(PagedResults::new(source.page))];
    let attributes = source.names.all();
    let search = ldap.with_timeout(source.patience);
    let opened = search
        .streaming_search_with(adapters, &source.base, Scope::Subtree, &source.filter, attributes)
        .await;
    let mut stream = opened.map_err(|e| broke(e.to_string()))?;
    let mut swept = Swept::default();
    loop {
        match tokio::time::timeout(source.patience, stream.next()).await {
            Err(_) => swept.lacks.push(format!("nothing came for {} ms", source.patience.as_millis())),
            Ok(Err(e)) => swept.lacks.push(e.to_string()),
            Ok(Ok(Some(entry))) => {
                // The client panics on an entry whose bytes make no sense.
                let raw = catch_unwind(AssertUnwindSafe(|| SearchEntry::construct(entry)));
                let raw = raw.map(|e| Raw { dn: e.dn, texts: e.attrs, bytes: e.bin_attrs });
                match raw
                    .map_err(|_| "an entry whose bytes make no sense".to_owned())
                    .and_then(|r| read(&source.names, r))
                {
                    Ok(entry) => swept.sweep.entries.push(entry),
                    Err(what) => swept.lacks.push(what),
                }
                continue;
            }
            Ok(Ok(None)) => {
                let end = stream.finish().await;
                if end.rc != 0 {
                    swept
                        .lacks
                        .push(format!("the search ended with result {} ({}); expected 0", end.rc, end.text));
                }
                if !end.refs.is_empty() {
                    swept.lacks.push("a referral".into());
                }
            }
        }
        break;
    }
    if swept.sweep.entries.is_empty() && !swept.lacks.is_empty() {
        return Err(broke(swept.lacks.join("; ")));
    }
    swept.sweep.complete = swept.lacks.is_empty();
    Ok(swept)
}
