//! The least-squares line.

use molespan_bench::scale::fit::fit;

#[test]
fn a_straight_line_is_found_without_error() {
    let line_at = |x| (f64::from(x), 3.0 + 2.0 * f64::from(x));
    let pairs: Vec<(f64, f64)> = (1..=5).map(line_at).collect();
    let line = fit(&pairs).expect("x differs");
    assert!((line.slope - 2.0).abs() < 1e-9, "{line:?}");
    assert!((line.intercept - 3.0).abs() < 1e-9, "{line:?}");
    assert!(line.slope_error < 1e-9, "{line:?}");
    assert!((line.r_squared - 1.0).abs() < 1e-9, "{line:?}");
}

/// Worked by hand: mean x 2, mean y 8/3, Sxx 2, Sxy 2, so the slope is 1, the
/// residuals are 1/3, -2/3 and 1/3, and the standard error is sqrt(2/3 / 1 / 2).
#[test]
fn scatter_shows_in_the_standard_error() {
    let line = fit(&[(1.0, 2.0), (2.0, 2.0), (3.0, 4.0)]).expect("x differs");
    assert!((line.slope - 1.0).abs() < 1e-9, "{line:?}");
    let expected = (2.0_f64 / 3.0 / 2.0).sqrt();
    assert!((line.slope_error - expected).abs() < 1e-9, "{line:?}");
}

#[test]
fn equal_x_have_no_line() {
    assert_eq!(fit(&[(1.0, 2.0), (1.0, 3.0)]), None);
    assert_eq!(fit(&[(1.0, 2.0)]), None);
    assert_eq!(fit(&[]), None);
}
