//! Snapshots that survive a restart, in an embedded database. Each snapshot is written whole or not
//! at all, with the version of its format, the time of its contents and a checksum. A file that
//! cannot be read, or that another program wrote, is renamed, and the store starts empty rather
//! than with partial contents.
use redb::{Database, Durability, ReadableDatabase, TableDefinition};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

const TABLE_NAME: &str = "basaltpitch snapshots";
/// Maps the name of a snapshot to its header followed by its bytes.
const SNAPSHOTS: TableDefinition<&str, &[u8]> = TableDefinition::new(TABLE_NAME);

const MAGIC: &[u8; 8] = b"bpsnap01";
/// Offsets of the header's fields, which follow the magic bytes and are big-endian.
const FORMAT_OFFSET: usize = 8;
const TIME_OFFSET: usize = 16;
const CHECKSUM_OFFSET: usize = 24;
const HEADER_LEN: usize = 32;

/// A stored snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The time of the contents, in microseconds of the caller's clock.
    pub time_us: i64,
    /// The contents.
    pub bytes: Vec<u8>,
}

/// The result of opening a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenOutcome {
    /// There was no file; a new one was created.
    Created,
    /// An existing store was opened.
    Opened,
    /// An existing file could not be read and was renamed; a new one was created.
    SetAside {
        /// The new path of the unreadable file.
        to: PathBuf,
        /// Why the file could not be read.
        reason: String,
    },
}

/// An error of a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file cannot be opened, read or written.
    #[error("{path}: {reason}")]
    File {
        /// The path of the store's file.
        path: PathBuf,
        /// The cause, as the database or the operating system reports it.
        reason: String,
    },
    /// A stored snapshot is damaged or has another format.
    #[error("snapshot {name}: found {found}; expected {expected}")]
    InvalidSnapshot {
        /// The name of the snapshot.
        name: String,
        /// The value found in its header or bytes.
        found: String,
        /// The value expected.
        expected: String,
    },
}

/// The reason why a file cannot be opened as a store.
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
    #[error("the database contains a table of another program")]
    ForeignTable,
    #[error("the database contains damaged pages")]
    DamagedPages,
}

/// A file of snapshots, which only this process has open.
pub struct SnapshotStore {
    path: PathBuf,
    database: Database,
}

impl SnapshotStore {
    /// Opens the file, or creates it. Fails if another process has the file open or no new file can
    /// be created.
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
            .map_err(|e| file_error(format!("{error}; the file cannot be renamed to set it aside: {e}")))?;
        let database = Self::open_database(path).map_err(|e| file_error(e.to_string()))?;
        let outcome = OpenOutcome::SetAside { to, reason: error.to_string() };
        Ok((SnapshotStore { path: path.to_owned(), database }, outcome))
    }

    /// Returns the first free path to which an unreadable file can be renamed.
    fn unused_path(path: &Path) -> PathBuf {
        let mut paths = (0..).map(|n| path.with_extension(format!("set-aside-{n}")));
        paths.find(|path| !path.exists()).expect("the sequence of numbers is unbounded")
    }

    /// Returns an error text if another process has the file open. Such a file is not damaged and
    /// must not be renamed.
    fn in_use(path: &Path) -> Option<String> {
        let open = || path.exists().then(|| Database::open(path).err()).flatten();
        match std::panic::catch_unwind(open) {
            Ok(Some(e @ redb::DatabaseError::DatabaseAlreadyOpen)) => {
                Some(format!("found a file in use ({e}); expected a file that no other process has open"))
            }
            _ => None,
        }
    }

    /// Opens a file as a store: it must be a database with consistent pages and no table besides
    /// the store's own.
    fn open_database(path: &Path) -> Result<Database, OpenError> {
        // Overwritten pages can fail an assertion inside the database.
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

    /// Stores a snapshot in place of the previous one of the same name. Once this returns, the
    /// snapshot is on disk; if it fails or the process dies, the previous one remains. `time_us` is
    /// the time of the contents.
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

    /// Returns the snapshot with this name, if one was stored. A snapshot of another format or with
    /// a wrong checksum is an error.
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
            let expected = format!("at least {HEADER_LEN} bytes that begin with the magic bytes");
            return Err(invalid("a value without a snapshot header".into(), expected));
        }
        let read_u64 =
            |offset: usize| u64::from_be_bytes(value[offset..offset + 8].try_into().expect("8 bytes"));
        let stored_format = read_u64(FORMAT_OFFSET);
        if stored_format != u64::from(format) {
            return Err(invalid(format!("format {stored_format}"), format!("format {format}")));
        }
        let bytes = &value[HEADER_LEN..];
        if xxh3_64(bytes) != read_u64(CHECKSUM_OFFSET) {
            let found = format!("{} bytes with another checksum", bytes.len());
            return Err(invalid(found, "bytes that match the checksum in the header".into()));
        }
        Ok(Some(Snapshot { time_us: read_u64(TIME_OFFSET) as i64, bytes: bytes.to_vec() }))
    }
}
