//! Snapshots that outlive a planner, in an embedded store: each is written whole or not at all, with its
//! format's version, the time that it holds for, and a sum over its bytes. A file that cannot be read, or is
//! none of ours, is set aside under a name that says so, and the planner starts with nothing remembered
//! rather than with half of it.
use redb::{Database, Durability, ReadableDatabase, TableDefinition};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

/// Under a snapshot's name: a head of 32 bytes (mark, format, time, sum), then its bytes.
const SNAPSHOTS: TableDefinition<&str, &[u8]> = TableDefinition::new("basaltpitch snapshots");
const MARK: &[u8; 8] = b"bpsnap01";
const HEAD: usize = 32;

/// A snapshot as it was kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The time that it holds for, in microseconds of the caller's clock.
    pub at: i64,
    pub bytes: Vec<u8>,
}

/// What opening found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// No file was there.
    Nothing,
    Ours,
    /// A file that could not be read was renamed; a new one was begun.
    SetAside {
        to: PathBuf,
        why: String,
    },
}

#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{path}: {what}")]
    File { path: PathBuf, what: String },
    #[error("snapshot {name}: found {found}; expected {expected}")]
    Snapshot { name: String, found: String, expected: String },
}

pub struct Store {
    path: PathBuf,
    db: Database,
}

impl Store {
    /// Opens the file, or begins it. Only what keeps a new file from being begun is an error.
    pub fn open(path: &Path) -> Result<(Store, Found), Fault> {
        let there = path.exists();
        if let Some(what) = Self::in_use(path) {
            return Err(Fault::File { path: path.to_owned(), what });
        }
        let why = match Self::try_open(path) {
            Ok(db) => {
                let found = if there { Found::Ours } else { Found::Nothing };
                return Ok((Store { path: path.to_owned(), db }, found));
            }
            Err(why) => why,
        };
        let fault = |what: String| Fault::File { path: path.to_owned(), what };
        if !there {
            return Err(fault(why));
        }
        let aside = (0..).map(|n| path.with_extension(format!("set-aside-{n}"))).find(|p| !p.exists());
        let to = aside.expect("numbers do not end");
        std::fs::rename(path, &to).map_err(|e| fault(format!("{why}; it cannot be set aside: {e}")))?;
        let db = Self::try_open(path).map_err(fault)?;
        Ok((Store { path: path.to_owned(), db }, Found::SetAside { to, why }))
    }

    /// A file that another process has open is well, and must not be set aside.
    fn in_use(path: &Path) -> Option<String> {
        let open = || path.exists().then(|| Database::open(path).err()).flatten();
        match std::panic::catch_unwind(open) {
            Ok(Some(e @ redb::DatabaseError::DatabaseAlreadyOpen)) => {
                Some(format!("found a file in use ({e}); expected one of this planner's own"))
            }
            _ => None,
        }
    }

    /// A file is ours if it opens, its pages add up, and it has our table or none.
    fn try_open(path: &Path) -> Result<Database, String> {
        let open = || {
            let mut db = Database::create(path).map_err(|e| e.to_string())?;
            db.check_integrity().map_err(|e| e.to_string())?;
            let write = db.begin_write().map_err(|e| e.to_string())?;
            let foreign = write
                .list_tables()
                .map_err(|e| e.to_string())?
                .any(|t| redb::TableHandle::name(&t) != "basaltpitch snapshots");
            if foreign {
                return Err("a table that is none of ours".to_owned());
            }
            write.open_table(SNAPSHOTS).map_err(|e| e.to_string())?;
            write.commit().map_err(|e| e.to_string())?;
            Ok(db)
        };
        // A file with pages that were overwritten can fail an assertion inside the store.
        std::panic::catch_unwind(open).unwrap_or_else(|_| Err("pages that make no sense".into()))
    }

    fn fault(&self, e: impl ToString) -> Fault {
        Fault::File { path: self.path.clone(), what: e.to_string() }
    }

    /// Keeps a snapshot in place of the one before. When this returns it is on the disk; if it does not
    /// return, or fails, the one before stands.
    pub fn put(&self, name: &str, format: u32, at: i64, bytes: &[u8]) -> Result<(), Fault> {
        let mut value = Vec::with_capacity(HEAD + bytes.len());
        value.extend_from_slice(MARK);
        value.extend_from_slice(&u64::from(format).to_be_bytes());
        value.extend_from_slice(&at.to_be_bytes());
        value.extend_from_slice(&xxh3_64(bytes).to_be_bytes());
        value.extend_from_slice(bytes);
        let mut write = self.db.begin_write().map_err(|e| self.fault(e))?;
        write.set_durability(Durability::Immediate).map_err(|e| self.fault(e))?;
        write
            .open_table(SNAPSHOTS)
            .and_then(|mut table| table.insert(name, &value[..]).map(|_| ()).map_err(Into::into))
            .map_err(|e| self.fault(e))?;
        write.commit().map_err(|e| self.fault(e))
    }

    /// The snapshot under a name, if one of this format was kept. One of another format, or whose bytes do
    /// not add up, is an error that says so.
    pub fn get(&self, name: &str, format: u32) -> Result<Option<Snapshot>, Fault> {
        let read = self.db.begin_read().map_err(|e| self.fault(e))?;
        let table = read.open_table(SNAPSHOTS).map_err(|e| self.fault(e))?;
        let Some(value) = table.get(name).map_err(|e| self.fault(e))? else { return Ok(None) };
        let value = value.value();
        let wrong = |found: String, expected: String| Fault::Snapshot { name: name.into(), found, expected };
        if value.len() < HEAD || &value[..8] != MARK {
            return Err(wrong(
                "no head of a snapshot".into(),
                format!("{HEAD} bytes that begin with its mark"),
            ));
        }
        let number = |at: usize| u64::from_be_bytes(value[at..at + 8].try_into().expect("eight bytes"));
        if number(8) != u64::from(format) {
            return Err(wrong(format!("format {}", number(8)), format!("format {format}")));
        }
        let bytes = &value[HEAD..];
        if xxh3_64(bytes) != number(24) {
            return Err(wrong(
                format!("{} bytes that do not add up", bytes.len()),
                "the sum in its head".into(),
            ));
        }
        Ok(Some(Snapshot { at: number(16) as i64, bytes: bytes.to_vec() }))
    }
}
