//! Loopback hosts.

/// A loopback host of this process's own, by what listens there: a port that was free a moment ago on the
/// usual one may be another's by now, and ports of who dials are not taken from those of who listens.
pub fn loopback_host(purpose: u32) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{}", 96 + purpose % 24, id / 254 % 254 + 1, id % 254 + 1)
}
