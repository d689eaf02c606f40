//! Trust in the certificates of a file.
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::CertificateDer;
use std::path::Path;
use std::sync::Arc;

/// Why a file of certificates is of no use.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CaFileError {
    /// It cannot be read, or is no PEM.
    #[error(transparent)]
    Pem(#[from] pem::Error),
    /// A certificate in it, or the configuration with them, is refused.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
    /// It holds none.
    #[error("found no certificate; expected at least one in PEM")]
    Empty,
}

/// Trust in the certificates of a file, and in no others.
pub(crate) fn client_config(path: &Path) -> Result<Arc<rustls::ClientConfig>, CaFileError> {
    let mut roots = rustls::RootCertStore::empty();
    for certificate in CertificateDer::pem_file_iter(path)? {
        roots.add(certificate?)?;
    }
    if roots.is_empty() {
        return Err(CaFileError::Empty);
    }
    let ring = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(ring).with_safe_default_protocol_versions()?;
    Ok(Arc::new(config.with_root_certificates(roots).with_no_client_auth()))
}
