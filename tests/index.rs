//! Compares the closed form of the index, equation (15) of the paper, with its definition by proposition 3.
//! The stationary probabilities in that are computed here from the transition matrix of section 5.2.

use millrudder::whittle_index;

/// Stationary distribution of the chain under threshold `n` (states 0 to n + 1), by Gaussian elimination.
fn stationary(p: f64, q: f64, n: usize) -> Vec<f64> {
    let size = n + 2;
    let mut step = vec![vec![0.0; size]; size];
    step[0][0] = 1.0 - p;
    step[0][1] = p;
    for i in 1..=n {
        step[i][i - 1] = q * (1.0 - p);
        step[i][i] = p * q + (1.0 - p) * (1.0 - q);
        step[i][i + 1] = p * (1.0 - q);
    }
    step[n + 1][n] = q;
    step[n + 1][n + 1] = 1.0 - q;
    // pi (P - I) = 0 with the last equation replaced by sum(pi) = 1.
    let mut rows: Vec<Vec<f64>> = (0..size)
        .map(|j| {
            let mut row: Vec<f64> = (0..size).map(|i| step[i][j] - f64::from(u8::from(i == j))).collect();
            row.push(0.0);
            row
        })
        .collect();
    rows[size - 1] = vec![1.0; size + 1];
    for col in 0..size {
        let pivot = (col..size).max_by(|a, b| rows[*a][col].abs().total_cmp(&rows[*b][col].abs())).unwrap();
        rows.swap(col, pivot);
        for row in 0..size {
            if row != col {
                let factor = rows[row][col] / rows[col][col];
                let taken = rows[col].clone();
                rows[row].iter_mut().zip(taken).for_each(|(x, y)| *x -= factor * y);
            }
        }
    }
    (0..size).map(|i| rows[i][size] / rows[i][i]).collect()
}

/// Proposition 3 with C(m) = m and without pD.
fn proposition_3(p: f64, q: f64, n: usize) -> Option<f64> {
    let (high, low) = (stationary(p, q, n), stationary(p, q, n - 1));
    let cost = |pi: &[f64]| pi.iter().enumerate().map(|(m, x)| m as f64 * x).sum::<f64>();
    let kept = |pi: &[f64]| pi[..pi.len() - 1].iter().sum::<f64>();
    let difference = kept(&high) - kept(&low);
    // At large n on a worker that is mostly idle, the two policies differ by less than rounding errors.
    (difference > 1e-7).then(|| -(cost(&high) - cost(&low)) / difference)
}

#[test]
fn closed_form_equals_the_definition() {
    let mut compared = 0;
    for p in [0.02, 0.05, 0.1, 0.3, 0.45] {
        for q in [0.02, 0.04, 0.08, 0.15, 0.5, 0.8] {
            if f64::abs(q - p) < 0.06 * p {
                continue;
            }
            for n in 1..7 {
                let Some(solved) = proposition_3(p, q, n) else { continue };
                let closed = whittle_index(p, q, n as f64);
                compared += 1;
                let scale = solved.abs().max(1.0);
                assert!((closed - solved).abs() < 1e-5 * scale, "p {p} q {q} n {n}: {closed} {solved}");
            }
        }
    }
    assert!(compared > 100, "{compared}");
}

#[test]
fn at_zero_jobs_the_index_has_the_value_of_the_paper() {
    for (p, q) in [(0.1, 0.3), (0.3, 0.1), (0.05, 0.9), (0.9, 0.05)] {
        let expected = p * (q + p - 1.0) / q;
        assert!((whittle_index(p, q, 0.0) - expected).abs() < 1e-9, "{p} {q}");
    }
}

#[test]
fn the_index_never_rises_with_the_count_and_stays_finite() {
    // Between whole counts the index is only used at small time steps (p and q up to 0.1).
    for (p, part) in [(1e-6, 0.25), (0.001, 0.25), (0.1, 0.25), (0.5, 1.0), (0.99, 1.0)] {
        for q in [1e-6, 0.001, 0.0999, 0.1, 0.1001, 0.5, 0.999] {
            let part = if q > 0.1001 { 1.0 } else { part };
            let mut last = f64::INFINITY;
            for n in (0..4000).map(|n| f64::from(n) * part).chain([1e4, 1e5, 1e6]) {
                let w = whittle_index(p, q, n);
                assert!(w.is_finite(), "p {p} q {q} n {n}");
                assert!(w <= last + 1e-9 * last.abs().clamp(1.0, 1e9), "p {p} q {q} n {n}: {w} above {last}");
                last = w;
            }
        }
    }
}

#[test]
fn nearly_equal_rates_are_moved_apart_to_the_least_gap() {
    assert_eq!(whittle_index(0.1, 0.1, 3.0), whittle_index(0.1, 0.105, 3.0));
    assert_eq!(whittle_index(0.1, 0.0999, 3.0), whittle_index(0.1, 0.095, 3.0));
}
