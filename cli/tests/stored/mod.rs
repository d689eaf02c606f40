//! Restores binary state files that an earlier build wrote. `golden/` keeps them as text: the first
//! line is the file's length, each further line the offset and the hex digits of a block of 64
//! bytes that are not all zero.
use std::path::Path;

fn decode_hex(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Writes the stored file `golden/NAME` to a path in its original binary form.
pub fn restore(name: &str, to: &Path) {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let text = std::fs::read_to_string(from).unwrap_or_else(|e| panic!("golden/{name}: {e}"));
    let mut lines = text.lines();
    let length = lines.next().and_then(|line| line.parse().ok()).expect("a length");
    let mut file = vec![0; length];
    for line in lines {
        let (offset, hex) = line.split_once(' ').expect("an offset and hex digits");
        let (offset, block) = (offset.parse::<usize>().expect("an offset"), decode_hex(hex));
        file[offset..offset + block.len()].copy_from_slice(&block);
    }
    std::fs::write(to, file).unwrap();
}
