//! Lines of an event stream, which end with CR LF, LF or CR.

/// First line, without its end, and the number of bytes that it takes with its end. `None` if the end is missing. A line
/// feed that follows a last CR belongs to the end of the line.
pub(super) fn split(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let end = bytes.iter().position(|byte| matches!(byte, b'\n' | b'\r'))?;
    let end_len = if bytes[end..].starts_with(b"\r\n") { 2 } else { 1 };
    Some((&bytes[..end], end + end_len))
}

/// Complete lines of a block.
pub(super) struct Lines<'a>(pub &'a [u8]);

impl<'a> Iterator for Lines<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<Self::Item> {
        let (line, len) = split(self.0)?;
        self.0 = &self.0[len..];
        Some(line)
    }
}
