"""Decoding of the lists of enabled and disabled features."""

from vanillayoke.gateway import messages

ENABLED_VARIABLE = 'VANILLAYOKE_ENABLED_FEATURES'
DISABLED_VARIABLE = 'VANILLAYOKE_DISABLED_FEATURES'


class UnknownFeatureError(ValueError):
    """The list contains a name that is not the name of a feature."""


def decode_features(variable: str, value: str) -> frozenset[messages.Feature]:
    """Return the features named in the comma-separated list of a variable.

    Raise ``UnknownFeatureError`` with a hint if a name is unknown.
    """
    names = [name.strip() for name in value.split(',')]
    try:
        return frozenset(messages.Feature(name) for name in names if name)
    except ValueError as error:
        known = ', '.join(feature.value for feature in messages.Feature)
        raise UnknownFeatureError(
            f'{variable}: {error}. HINT: Use some of: {known}.'
        ) from error
