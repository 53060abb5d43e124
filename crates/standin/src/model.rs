//! Deterministic text: each token follows from a hash of everything before it.
//!
//! Prompt and text so far, given as a prompt, therefore continue with exactly the rest of the same text.

use xxhash_rust::xxh3::Xxh3;

const SYLLABLES: [&str; 32] = [
    "ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko", "la", "le", "li", "lo",
    "ma", "me", "mi", "mo", "na", "ne", "ni", "no", "ra", "re", "ri", "ro", "ta", "te", "ti", "to",
];

/// A text that is being generated.
pub struct Text {
    hash: Xxh3,
    mean_tokens: u64,
}

impl Text {
    /// Text that follows a prompt; it ends by itself after about `mean_tokens`, or never if that is 0.
    pub fn new(prompt: &str, mean_tokens: u64) -> Self {
        let mut hash = Xxh3::new();
        hash.update(prompt.as_bytes());
        Self { hash, mean_tokens }
    }
}

impl Iterator for Text {
    type Item = Box<str>;

    fn next(&mut self) -> Option<Box<str>> {
        let digest = self.hash.digest();
        if self.mean_tokens > 0 && (digest >> 32).is_multiple_of(self.mean_tokens) {
            return None;
        }
        let part = |shift: u32| SYLLABLES[(digest >> shift) as usize % SYLLABLES.len()];
        let token = format!(" {}{}{}", part(0), part(5), part(10));
        self.hash.update(token.as_bytes());
        Some(token.into())
    }
}
