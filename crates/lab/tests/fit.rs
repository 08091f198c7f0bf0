//! Tests of the fits: known slopes and exponents are recovered, and deviations appear as residuals.

use proptest::prelude::*;
use stonefold_lab::fit::fit;

proptest! {
    #[test]
    fn a_line_is_fitted_without_residual(intercept in -1e3f64..1e3, slope in -1e3f64..1e3) {
        let points: Vec<(f64, f64)> = [3.0, 9.0, 27.0, 120.0].map(|x| (x, intercept + slope * x)).into();
        let fit = fit(&points).unwrap();
        prop_assert!((fit.slope - slope).abs() < 1e-6 && (fit.intercept - intercept).abs() < 1e-6);
        let mean = points.iter().map(|p| p.1).sum::<f64>().abs() / 4.0;
        prop_assert!(mean < 1.0 || fit.residual < 1e-6);
    }

    #[test]
    fn a_power_law_is_fitted_with_its_exponent(factor in 0.1f64..1e4, exponent in -1.0f64..3.0) {
        let points: Vec<(f64, f64)> = [12.0, 48.0, 200.0, 2000.0].map(|x: f64| (x, factor * x.powf(exponent))).into();
        let fit = fit(&points).unwrap();
        prop_assert!((fit.exponent.unwrap() - exponent).abs() < 1e-6);
        prop_assert!(fit.exponent_residual.unwrap() < 1e-6);
    }
}

#[test]
fn deviations_from_the_line_are_the_residual() {
    let fit = fit(&[(1.0, 1.0), (2.0, 3.0), (3.0, 2.0), (4.0, 4.0)]).unwrap();
    assert!((0.2..0.4).contains(&fit.residual), "{fit:?}");
}

#[test]
fn one_size_gives_no_fit_and_a_zero_value_gives_no_exponent() {
    assert_eq!(fit(&[]), None);
    assert_eq!(fit(&[(3.0, 1.0), (3.0, 2.0)]), None);
    assert_eq!(fit(&[(1.0, 0.0), (2.0, 2.0)]).unwrap().exponent, None);
}
