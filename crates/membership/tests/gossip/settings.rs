//! Validation of the settings.

use cleatpulley_membership::Settings;

#[test]
fn invalid_settings_are_reported_with_their_key() {
    let rejected_key = |settings: Settings| settings.check().expect_err("an invalid setting").key;
    assert_eq!(
        rejected_key(Settings {
            probe_interval: 0,
            ..Settings::default()
        }),
        "probe"
    );
    assert_eq!(
        rejected_key(Settings {
            ack_timeout: 250_000,
            ..Settings::default()
        }),
        "answer"
    );
    assert_eq!(
        rejected_key(Settings {
            suspicion_timeout: 600_000,
            ..Settings::default()
        }),
        "suspicion"
    );
    assert_eq!(
        rejected_key(Settings {
            down_retention: 1,
            ..Settings::default()
        }),
        "remembered"
    );
    assert_eq!(
        rejected_key(Settings {
            metric_lifetime: 1,
            ..Settings::default()
        }),
        "figures"
    );
    assert_eq!(
        rejected_key(Settings {
            max_members: 1,
            ..Settings::default()
        }),
        "most"
    );
}
