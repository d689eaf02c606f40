//! Stored files of an earlier build, which are kept as text: the length, then a line for each 64 bytes that
//! are not all zero, with their place and themselves in hex.
use std::path::Path;

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// Lays a stored file of `golden/` down, byte for byte as it was.
pub fn lay(name: &str, to: &Path) {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let text = std::fs::read_to_string(from).unwrap_or_else(|e| panic!("golden/{name}: {e}"));
    let mut lines = text.lines();
    let length = lines.next().and_then(|line| line.parse().ok()).expect("a length");
    let mut file = vec![0; length];
    for line in lines {
        let (at, hex) = line.split_once(' ').expect("a place and hex digits");
        let (at, piece) = (at.parse::<usize>().expect("a place"), bytes(hex));
        file[at..at + piece.len()].copy_from_slice(&piece);
    }
    std::fs::write(to, file).unwrap();
}
