//! Deterministic text generation: each token is derived from a hash of the prompt and the text before it.
//!
//! A prompt extended by a generated part therefore continues with exactly the rest of the same text, which lets tests
//! check resumed generations.

use xxhash_rust::xxh3::Xxh3;

const SYLLABLES: [&str; 32] = [
    "ba", "be", "bi", "bo", "da", "de", "di", "do", "ka", "ke", "ki", "ko", "la", "le", "li", "lo",
    "ma", "me", "mi", "mo", "na", "ne", "ni", "no", "ra", "re", "ri", "ro", "ta", "te", "ti", "to",
];

/// Iterator over the tokens of one text.
pub struct Text {
    hash: Xxh3,
    mean_tokens: u64,
}

impl Text {
    /// Text that follows a prompt. It ends after `mean_tokens` tokens on average, or never if that is 0.
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
