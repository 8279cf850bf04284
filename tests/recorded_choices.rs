//! Simulated days from seeds. All actions and the learned state of a day make up one digest. The digests were
//! recorded before `src/rules.rs` was split by concern. A change that should not affect decisions must leave
//! all of them unchanged; one that should must record them anew and say so.
//!
//! Floating-point numbers are compared to the last bit, so the digests hold for the C library of the build
//! image (glibc on x86-64), which computes `exp` and `ln`.

mod support;

use millrudder::whittle_index;
use std::fmt::Write;
use support::{Day, Digest};

/// Number of simulated days; their seeds count from 0.
const DAYS: u64 = 30;
/// Digest of each day, as printed by `cargo test --test recorded_choices -- --nocapture`.
const RECORDED: [u64; DAYS as usize] = [
    0xa515_18f7_2377_0a4c,
    0x1a8e_caa2_816e_5339,
    0x09d7_e490_b78a_9e0e,
    0x1a44_a74e_cdc8_c927,
    0xe79b_16e4_5f77_4e5e,
    0xe1ac_9ee9_c1a5_80dc,
    0x513a_c7e8_2862_d48b,
    0xba80_58fb_11ce_efa8,
    0x9ab4_bf0a_f5df_bd06,
    0x69b6_76bf_f985_2b35,
    0x446f_c482_b2c0_56e6,
    0xb2bb_ce1c_2027_8cf8,
    0x0abd_2cf6_7952_f75e,
    0xe02b_717a_262e_887d,
    0xdf66_bd6d_44a2_4425,
    0xf85e_083a_a216_9858,
    0x645a_6adb_7968_e0a8,
    0x8103_117a_a104_1818,
    0xa034_3b64_2cf8_16c6,
    0xa39f_21cc_5411_baae,
    0xe591_5e21_9812_a704,
    0xcf8b_8c75_db61_beb1,
    0xfee0_c247_2ce5_3275,
    0xbe7a_dd57_f0eb_3cbc,
    0xde77_5fd8_4b7c_0e49,
    0x0d6e_e449_6ea0_60cd,
    0x7fd7_8339_fed8_f539,
    0x5d49_5ff4_06a6_6a8e,
    0x574e_13f6_3416_9318,
    0x391f_f3be_52af_465b,
];
/// Digest of the index at small and large rates and counts, also where `q` is close to `p`.
const RECORDED_INDEX: u64 = 0xf0f5_bf19_da3b_b432;

#[test]
fn no_decision_differs_from_those_recorded() {
    let digests: Vec<u64> = (0..DAYS).map(|seed| Day::new(seed).run()).collect();
    digests.iter().for_each(|digest| println!("    {digest:#018x},"));
    assert_eq!(digests, RECORDED);
}

#[test]
fn no_index_differs_from_those_recorded() {
    let mut digest = Digest::new();
    for p in [1e-9, 1e-4, 0.01, 0.1, 0.3, 0.97] {
        for part in [0.001, 0.5, 0.94, 0.951, 0.96, 1.0, 1.02, 1.049, 1.06, 2.0, 30.0] {
            for n in [0.0, 0.3, 1.0, 2.5, 7.0, 40.0, 900.0, 1e6] {
                let index = whittle_index(p, f64::min(p * part, 1.0), n);
                write!(digest, "{index:?} ").expect("writing to a digest never fails");
            }
        }
    }
    println!("index {:#018x}", digest.value());
    assert_eq!(digest.value(), RECORDED_INDEX);
}
