"""Decoding of the list of disabled features."""

from vanillayoke.gateway import messages

VARIABLE = 'VANILLAYOKE_DISABLED_FEATURES'


class UnknownFeatureError(ValueError):
    """The list contains a name that is not the name of a feature."""


def decode_disabled(value: str) -> frozenset[messages.Feature]:
    """Return the features named in a comma-separated list.

    Raise ``UnknownFeatureError`` with a hint if a name is unknown.
    """
    names = [name.strip() for name in value.split(',')]
    try:
        return frozenset(messages.Feature(name) for name in names if name)
    except ValueError as error:
        known = ', '.join(feature.value for feature in messages.Feature)
        raise UnknownFeatureError(
            f'{VARIABLE}: {error}. HINT: Use some of: {known}.'
        ) from error
