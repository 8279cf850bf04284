//! Random cuts and garbage for the parsers' tests, from fixed seeds: every run sees the same.

use quickcheck::{Arbitrary, Gen};

const CASES: usize = 300;

/// Cuts `bytes` at random places, many times over.
pub fn cuts(seed: u64, bytes: &[u8], mut check: impl FnMut(&[&[u8]])) {
    let mut source = Gen::from_size_and_seed(12, seed);
    for _ in 0..CASES {
        let mut places: Vec<usize> =
            Vec::<usize>::arbitrary(&mut source).iter().map(|at| at % (bytes.len() + 1)).collect();
        places.extend([0, bytes.len()]);
        places.sort_unstable();
        let parts: Vec<&[u8]> = places.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect();
        check(&parts);
    }
}

/// Gives random bytes, and `valid` with some of its bytes replaced, left out or cut off.
pub fn garbage(seed: u64, valid: &[u8], mut check: impl FnMut(&[u8])) {
    let mut source = Gen::from_size_and_seed(200, seed);
    for _ in 0..CASES {
        check(&Vec::<u8>::arbitrary(&mut source));
        let mut spoilt = valid.to_vec();
        for _ in 0..=u8::arbitrary(&mut source) % 4 {
            let at = usize::arbitrary(&mut source) % spoilt.len().max(1);
            match u8::arbitrary(&mut source) % 4 {
                0 => spoilt.truncate(at),
                1 if at < spoilt.len() => drop(spoilt.remove(at)),
                _ if at < spoilt.len() => spoilt[at] = u8::arbitrary(&mut source),
                _ => {}
            }
        }
        check(&spoilt);
    }
}
