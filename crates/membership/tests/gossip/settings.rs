//! Validation of the settings.

use cleatpulley_membership::Settings;

#[test]
fn invalid_settings_are_reported_with_their_key() {
    let rejected_key = |settings: Settings| settings.check().expect_err("can't be").key;
    assert_eq!(
        rejected_key(Settings {
            probe: 0,
            ..Settings::default()
        }),
        "probe"
    );
    assert_eq!(
        rejected_key(Settings {
            answer: 250_000,
            ..Settings::default()
        }),
        "answer"
    );
    assert_eq!(
        rejected_key(Settings {
            suspicion: 600_000,
            ..Settings::default()
        }),
        "suspicion"
    );
    assert_eq!(
        rejected_key(Settings {
            remembered: 1,
            ..Settings::default()
        }),
        "remembered"
    );
    assert_eq!(
        rejected_key(Settings {
            figures: 1,
            ..Settings::default()
        }),
        "figures"
    );
    assert_eq!(
        rejected_key(Settings {
            most: 1,
            ..Settings::default()
        }),
        "most"
    );
}
