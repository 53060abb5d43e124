//! Text form of cursors, and the prompt indices that they record as delivered.

use std::collections::BTreeSet;

use lagoonyard::core::cursor::{Cursor, Error, SKIPPED_MAX};
use rand::{Rng, SeedableRng, seq::IteratorRandom};
use rand_chacha::ChaCha8Rng;

fn none() -> BTreeSet<u64> {
    BTreeSet::new()
}

/// Guards against an index that is delivered twice or never when batches consist of arbitrary groups.
#[test]
fn every_index_is_delivered_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut cursor = Cursor::start("placards");
    let mut seen = BTreeSet::new();
    for batch in 0..200 {
        assert_eq!(cursor.batch(), batch);
        let delivered: BTreeSet<u64> =
            cursor.undelivered().take(24).choose_multiple(&mut rng, 6).into_iter().collect();
        assert!(delivered.iter().all(|&index| !cursor.consumed(index) && seen.insert(index)));
        let epoch = cursor.epoch() + u64::from(rng.random_bool(0.1));
        cursor = cursor.advance(&delivered, &none(), epoch).unwrap();
        assert!(seen.iter().all(|&index| cursor.consumed(index)));
        let text = cursor.to_string();
        assert_eq!(Cursor::parse(&text, "placards"), Ok(cursor.clone()));
    }
    let first = cursor.undelivered().next().unwrap();
    assert!((0..first).all(|index| seen.contains(&index)));
}

/// Guards against a prompt that can never be generated and stays undelivered for ever.
#[test]
fn dropped_indices_count_as_delivered() {
    let cursor = Cursor::start("placards");
    let next = cursor.advance(&[0, 3].into(), &[1].into(), 1).unwrap();
    assert!(next.consumed(1));
    assert_eq!(next.undelivered().take(2).collect::<Vec<_>>(), [2, 4]);
}

/// Guards against a cursor that grows without bound because an early index stays undelivered.
#[test]
fn undelivered_indices_are_bounded() {
    let cursor = Cursor::start("placards");
    let most = SKIPPED_MAX as u64;
    let full = cursor.advance(&[most].into(), &none(), 1).unwrap();
    assert!(full.to_string().len() < 8192);
    assert_eq!(Cursor::parse(&full.to_string(), "placards"), Ok(full));
    assert_eq!(cursor.advance(&[most + 1].into(), &none(), 1), None);
}

/// Guards against an altered, truncated or foreign cursor that is accepted, and against a panic on arbitrary text.
#[test]
fn invalid_texts_are_refused() {
    let text = Cursor::start("placards").advance(&[2].into(), &none(), 1).unwrap().to_string();
    assert_eq!(Cursor::parse(&text, "tenders"), Err(Error::OtherTrainer));
    assert_eq!(Cursor::parse("", "tenders"), Ok(Cursor::start("tenders")));
    for end in 1..text.len() {
        assert!(Cursor::try_from(&text[..end]).is_err(), "cut at {end}");
        let mut altered = text.clone().into_bytes();
        altered[end] ^= 1;
        let altered = String::from_utf8(altered).unwrap();
        assert!(Cursor::try_from(&*altered).is_err(), "altered at {end}");
    }
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..2000 {
        let length = rng.random_range(0..40);
        let noise: String = (0..length).map(|_| rng.random_range('!'..'é')).collect();
        assert!(Cursor::try_from(&*noise).is_err());
    }
}
