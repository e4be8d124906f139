//! The form of news: whatever comes in ends in a value or an error, and what was written is read back.

use harrierdock_admission::load_report::{
    read, write, Figures, News, Unreadable, MARK, MOST_BYTES,
};
use nanorand::{Rng, WyRand};
use proptest::prelude::*;

fn figures(classes: usize, zones: usize, tenants: usize, seed: u64) -> Figures {
    let mut chance = WyRand::new_seed(seed);
    let mut figures = Figures::new(classes, zones, tenants);
    let counts = [
        &mut figures.offered,
        &mut figures.tenants,
        &mut figures.open,
        &mut figures.answered,
    ];
    counts
        .into_iter()
        .flatten()
        .for_each(|c| *c = 300.0 * chance.generate::<f32>());
    for sketch in &mut figures.sketches {
        (0..30).for_each(|_| sketch.add(chance.generate::<f32>()));
    }
    figures
}

fn head() -> News {
    News {
        incarnation: 3,
        number: 7,
        view: Some(0.8),
        ..News::default()
    }
}

#[test]
fn what_is_written_is_read_back_and_all_sketches_have_their_turn() {
    for (classes, zones, tenants) in [(3, 3, 4), (16, 8, 16), (1, 1, 0)] {
        let figures = figures(classes, zones, tenants, 5);
        let (mut turn, mut told) = (0, vec![false; classes * zones]);
        for _ in 0..classes * zones {
            let (bytes, next) = write(&head(), &figures, turn);
            assert!(
                bytes.len() <= MOST_BYTES && bytes[0] >= 0xF5,
                "{} bytes",
                bytes.len()
            );
            let news = read(&bytes).expect("it was just written");
            assert_eq!((news.incarnation, news.number), (3, 7));
            assert!((news.view.expect("a view") / 0.8 - 1.0).abs() < 0.06);
            for (wrote, got) in figures.offered.iter().zip(&news.offered) {
                assert!((got / wrote - 1.0).abs() < 0.04, "{wrote} read as {got}");
            }
            for (number, sketch) in &news.sketches {
                told[*number] = true;
                let wrote = figures.sketches[*number].total();
                assert!(
                    (sketch.total() / wrote - 1.0).abs() < 0.06,
                    "{wrote} read as {}",
                    sketch.total()
                );
            }
            turn = next;
        }
        assert!(told.iter().all(|t| *t), "each sketch is told in its turn");
    }
}

#[test]
fn every_prefix_and_every_flipped_bit_is_refused() {
    let (bytes, _) = write(&head(), &figures(3, 3, 4, 9), 0);
    for end in 0..bytes.len() {
        assert!(
            read(&bytes[..end]).is_err(),
            "a prefix of {end} bytes was read"
        );
    }
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert!(
            read(&flipped).is_err(),
            "bit {bit} was flipped and nobody saw it"
        );
    }
}

#[test]
fn errors_say_what_failed_and_what_to_do() {
    assert_eq!(
        read(b"12.0.3:").unwrap_err().to_string(),
        "the message is no admission news (first byte 0x31): look for a stray sender on this port"
    );
    assert_eq!(
        read(&[MARK, 9, 0]).unwrap_err(),
        Unreadable::Version { version: 9 }
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_end_in_a_value_or_an_error(
        mut bytes in prop::collection::vec(any::<u8>(), 0..400),
        summed: bool,
    ) {
        if let [first, version, ..] = &mut bytes[..] {
            (*first, *version) = (MARK, 1);
        }
        // With the right sum at the end the rest of the reader is reached too.
        if summed {
            let sums = bytes.iter().fold((1_u32, 0_u32), |(a, b), x| {
                let a = (a + u32::from(*x)) % 255;
                (a, (a + b) % 255)
            });
            bytes.extend([sums.0 as u8, sums.1 as u8]);
        }
        if let Ok(news) = read(&bytes) {
            prop_assert!(news.offered.len() <= 16 && news.open.len() <= 8 && news.sketches.len() <= 128);
            let counts = news.offered.iter().chain(&news.open).chain(&news.answered);
            let mut counts = counts.chain(news.sketches.iter().flat_map(|s| &s.1.counts));
            prop_assert!(counts.all(|c| c.is_finite() && *c >= 0.0));
        }
    }
}
