//! Loopback hosts for listeners.

/// Returns a loopback host that is specific to this process and to the purpose of the listener. On
/// 127.0.0.1 another process could bind a port between its check and its use, and outgoing
/// connections could take the ports of listeners.
pub fn loopback_host(purpose: u32) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{}", 96 + purpose % 24, id / 254 % 254 + 1, id % 254 + 1)
}
