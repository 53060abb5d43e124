//! Standard base64 with padding.

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let is_padding = digit > part.len();
            let value = (bits >> (18 - 6 * digit)) & 63;
            text.push(if is_padding { '=' } else { char::from(DIGITS[value as usize]) });
        }
    }
    text
}

pub fn decode(text: &str) -> Vec<u8> {
    let (mut bytes, mut bits, mut count) = (Vec::new(), 0u32, 0);
    for byte in text.bytes() {
        let Some(value) = DIGITS.iter().position(|digit| *digit == byte) else {
            continue;
        };
        bits = (bits << 6) | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    bytes
}
