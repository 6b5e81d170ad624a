"""Tests of the features that settings enable and disable."""

from tests.gateway import site
from vanillayoke.gateway import features
from vanillayoke.gateway import messages
from vanillayoke.testing import fixtures


def test_deployments_without_overload_control_use_no_new_feature(case):
    """An earlier deployment would be served differently."""
    settings = site.make_settings('i1', '10.1.0.1')
    enabled = [f for f in messages.Feature if settings.has_feature(f)]
    case.assertEqual([], enabled)


def test_contention_reports_enable_only_their_features(case):
    settings = site.make_settings('i1', '10.1.0.1')
    enabled = {
        feature
        for feature in messages.Feature
        if settings.has_feature(feature, reports_contention=True)
    }
    case.assertEqual(messages.CONTENTION_FEATURES, enabled)


def test_disabled_features_are_not_used(case):
    settings = site.make_settings('i1', '10.1.0.1')._replace(
        has_overload_control=True,
        disabled_features=features.decode_features('X', 'slot_queue, hedging'),
    )
    case.assertFalse(settings.has_feature(messages.Feature.SLOT_QUEUE))
    case.assertFalse(settings.has_feature(messages.Feature.HEDGING))
    case.assertTrue(settings.has_feature(messages.Feature.PROGRAM_ADMISSION))


def test_enabled_features_are_used_where_nothing_calls_for_them(case):
    settings = site.make_settings('i1', '10.1.0.1')._replace(
        enabled_features=features.decode_features('X', 'zone_balancing')
    )
    case.assertTrue(settings.has_feature(messages.Feature.ZONE_BALANCING))
    case.assertFalse(settings.has_feature(messages.Feature.SLOT_QUEUE))


def test_zone_balancing_needs_unequal_targets(case):
    """With equal engines, some of them lost, it made programs late."""
    settings = site.make_settings('i1', '10.1.0.1')._replace(
        has_overload_control=True
    )
    feature = messages.Feature.ZONE_BALANCING
    case.assertFalse(settings.has_feature(feature))
    case.assertTrue(settings.has_feature(feature, reports_contention=True))


def test_unknown_name_of_a_feature_is_an_error(case):
    """A misspelt name would leave the feature enabled during a trial."""
    with case.assertRaisesRegex(features.UnknownFeatureError, 'slot_queue'):
        features.decode_features('X', 'slots_queue')


load_tests = fixtures.adapt(__name__)
