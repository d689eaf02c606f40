//! TLS configuration that trusts the certificates of a file.
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::CertificateDer;
use std::path::Path;
use std::sync::Arc;

/// Error of a file of CA certificates.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CaFileError {
    /// The file cannot be read or is not valid PEM.
    #[error(transparent)]
    Pem(#[from] pem::Error),
    /// A certificate, or the TLS configuration with the certificates, is rejected.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
    /// The file holds no certificate.
    #[error("found no certificate; expected at least one in PEM")]
    Empty,
}

/// Returns a TLS configuration that trusts the certificates of a file and no others.
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
