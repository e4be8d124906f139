//! Golden files. Each line holds the name of a value and its encoding in hexadecimal. Released builds write and read these
//! bytes, so a changed line means a changed protocol. No test writes the files.

use std::fmt::Debug;

/// A name, the value to encode, and the value to decode from its bytes. The two differ where the encoding loses precision.
pub type Case<T, R> = (String, T, R);

/// A case whose value is the same after encoding and decoding.
#[allow(dead_code)]
pub fn exact<T: Clone>(name: impl Into<String>, value: T) -> Case<T, T> {
    (name.into(), value.clone(), value)
}

fn parse_hex(hex: &str) -> Vec<u8> {
    let byte_at = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits");
    (0..hex.len()).step_by(2).map(byte_at).collect()
}

/// Asserts that each value encodes to its golden line and that each golden line decodes to the expected value.
pub fn check<T, R: Debug + PartialEq>(
    golden: &str,
    cases: &[Case<T, R>],
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> R,
) {
    let mut encoded_lines = String::new();
    for (name, value, _) in cases {
        let hex: String = encode(value)
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        encoded_lines += &format!("{name} {hex}\n");
    }
    assert!(
        encoded_lines == golden,
        "the encoding differs from the golden file; golden:\n{golden}\nencoded:\n{encoded_lines}"
    );
    for (line, (name, _, decoded)) in golden.lines().zip(cases) {
        let (_, hex) = line.split_once(' ').expect("a name and hexadecimal bytes");
        assert_eq!(
            &decode(&parse_hex(hex)),
            decoded,
            "{name} decodes to another value"
        );
    }
}
