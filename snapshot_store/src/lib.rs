//! Snapshots that outlive a process, in an embedded database. Each is written whole or not at all, with its
//! format's version, the time that it holds for, and a checksum over its bytes. A file that cannot be read, or
//! that another program wrote, is set aside under a name that says so, and the store starts empty rather than
//! with half of its contents.
use redb::{Database, Durability, ReadableDatabase, TableDefinition};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

const TABLE_NAME: &str = "basaltpitch snapshots";
/// By a snapshot's name: its header, then its bytes.
const SNAPSHOTS: TableDefinition<&str, &[u8]> = TableDefinition::new(TABLE_NAME);

const MAGIC: &[u8; 8] = b"bpsnap01";
/// Positions of the header's numbers, which follow the magic and are big-endian.
const FORMAT_AT: usize = 8;
const TIME_AT: usize = 16;
const CHECKSUM_AT: usize = 24;
const HEADER_LEN: usize = 32;

/// A snapshot as it was stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The time that it holds for, in microseconds of the caller's clock.
    pub time_us: i64,
    /// What was stored.
    pub bytes: Vec<u8>,
}

/// What opening a store found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenOutcome {
    /// No file was there; a new one was created.
    Created,
    /// A store was there and is used.
    Opened,
    /// A file that could not be read was renamed; a new one was created.
    SetAside {
        /// Where the file is now.
        to: PathBuf,
        /// Why it could not be read.
        reason: String,
    },
}

/// Why the store cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file cannot be read or written.
    #[error("{path}: {reason}")]
    File {
        /// The store's file.
        path: PathBuf,
        /// What is wrong, with what the database says.
        reason: String,
    },
    /// A stored snapshot is damaged or of another format.
    #[error("snapshot {name}: found {found}; expected {expected}")]
    InvalidSnapshot {
        /// The name under which it is stored.
        name: String,
        /// What its header or bytes say.
        found: String,
        /// What they must say.
        expected: String,
    },
}

/// Why a file cannot be opened as a store.
#[derive(Debug, thiserror::Error)]
enum OpenError {
    #[error(transparent)]
    Database(#[from] redb::DatabaseError),
    #[error(transparent)]
    Transaction(#[from] redb::TransactionError),
    #[error(transparent)]
    Storage(#[from] redb::StorageError),
    #[error(transparent)]
    Table(#[from] redb::TableError),
    #[error(transparent)]
    Commit(#[from] redb::CommitError),
    #[error("a table that is none of ours")]
    ForeignTable,
    #[error("pages that make no sense")]
    DamagedPages,
}

/// A file of snapshots, open in this process alone.
pub struct SnapshotStore {
    path: PathBuf,
    database: Database,
}

impl SnapshotStore {
    /// Opens the file, or creates it. An error only where no new file can be created, or another process has it
    /// open.
    pub fn open(path: &Path) -> Result<(SnapshotStore, OpenOutcome), StoreError> {
        let existed = path.exists();
        let file_error = |reason: String| StoreError::File { path: path.to_owned(), reason };
        if let Some(reason) = Self::in_use(path) {
            return Err(file_error(reason));
        }
        let error = match Self::open_database(path) {
            Ok(database) => {
                let outcome = if existed { OpenOutcome::Opened } else { OpenOutcome::Created };
                return Ok((SnapshotStore { path: path.to_owned(), database }, outcome));
            }
            Err(error) => error,
        };
        if !existed {
            return Err(file_error(error.to_string()));
        }
        let to = Self::unused_path(path);
        std::fs::rename(path, &to)
            .map_err(|e| file_error(format!("{error}; it cannot be set aside: {e}")))?;
        let database = Self::open_database(path).map_err(|e| file_error(e.to_string()))?;
        let outcome = OpenOutcome::SetAside { to, reason: error.to_string() };
        Ok((SnapshotStore { path: path.to_owned(), database }, outcome))
    }

    /// The first path for a file that is set aside which no file has.
    fn unused_path(path: &Path) -> PathBuf {
        let mut paths = (0..).map(|n| path.with_extension(format!("set-aside-{n}")));
        paths.find(|path| !path.exists()).expect("numbers do not end")
    }

    /// A file that another process has open is not damaged, and must not be set aside.
    fn in_use(path: &Path) -> Option<String> {
        let open = || path.exists().then(|| Database::open(path).err()).flatten();
        match std::panic::catch_unwind(open) {
            Ok(Some(e @ redb::DatabaseError::DatabaseAlreadyOpen)) => {
                Some(format!("found a file in use ({e}); expected one of this planner's own"))
            }
            _ => None,
        }
    }

    /// A file is a store if it opens, its pages are consistent, and it has the store's table or none.
    fn open_database(path: &Path) -> Result<Database, OpenError> {
        // A file with pages that were overwritten can fail an assertion inside the database.
        std::panic::catch_unwind(|| Self::open_and_check(path)).unwrap_or(Err(OpenError::DamagedPages))
    }

    fn open_and_check(path: &Path) -> Result<Database, OpenError> {
        let mut database = Database::create(path)?;
        database.check_integrity()?;
        let write = database.begin_write()?;
        let mut tables = write.list_tables()?;
        if tables.any(|table| redb::TableHandle::name(&table) != TABLE_NAME) {
            return Err(OpenError::ForeignTable);
        }
        drop(tables);
        write.open_table(SNAPSHOTS)?;
        write.commit()?;
        Ok(database)
    }

    fn file_error(&self, error: impl ToString) -> StoreError {
        StoreError::File { path: self.path.clone(), reason: error.to_string() }
    }

    /// Stores a snapshot in place of the one before. When this returns it is on the disk; if it does not return,
    /// or fails, the one before stands. `time_us` is the time that it holds for.
    pub fn put(&self, name: &str, format: u32, time_us: i64, bytes: &[u8]) -> Result<(), StoreError> {
        let mut value = Vec::with_capacity(HEADER_LEN + bytes.len());
        value.extend_from_slice(MAGIC);
        value.extend_from_slice(&u64::from(format).to_be_bytes());
        value.extend_from_slice(&time_us.to_be_bytes());
        value.extend_from_slice(&xxh3_64(bytes).to_be_bytes());
        value.extend_from_slice(bytes);
        let mut write = self.database.begin_write().map_err(|e| self.file_error(e))?;
        write.set_durability(Durability::Immediate).map_err(|e| self.file_error(e))?;
        write
            .open_table(SNAPSHOTS)
            .and_then(|mut table| table.insert(name, &value[..]).map(|_| ()).map_err(Into::into))
            .map_err(|e| self.file_error(e))?;
        write.commit().map_err(|e| self.file_error(e))
    }

    /// The snapshot under a name, if one was stored. One of another format, or whose checksum does not match, is
    /// an error that says so.
    pub fn get(&self, name: &str, format: u32) -> Result<Option<Snapshot>, StoreError> {
        let read = self.database.begin_read().map_err(|e| self.file_error(e))?;
        let table = read.open_table(SNAPSHOTS).map_err(|e| self.file_error(e))?;
        let Some(value) = table.get(name).map_err(|e| self.file_error(e))? else { return Ok(None) };
        let value = value.value();
        let invalid = |found: String, expected: String| StoreError::InvalidSnapshot {
            name: name.into(),
            found,
            expected,
        };
        if value.len() < HEADER_LEN || &value[..MAGIC.len()] != MAGIC {
            let expected = format!("{HEADER_LEN} bytes that begin with its mark");
            return Err(invalid("no head of a snapshot".into(), expected));
        }
        let number = |at: usize| u64::from_be_bytes(value[at..at + 8].try_into().expect("eight bytes"));
        let stored_format = number(FORMAT_AT);
        if stored_format != u64::from(format) {
            return Err(invalid(format!("format {stored_format}"), format!("format {format}")));
        }
        let bytes = &value[HEADER_LEN..];
        if xxh3_64(bytes) != number(CHECKSUM_AT) {
            let found = format!("{} bytes that do not add up", bytes.len());
            return Err(invalid(found, "the sum in its head".into()));
        }
        Ok(Some(Snapshot { time_us: number(TIME_AT) as i64, bytes: bytes.to_vec() }))
    }
}
