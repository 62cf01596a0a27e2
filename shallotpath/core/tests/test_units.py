from datetime import timedelta

import pytest

from shallotpath.core import format_duration, parse_duration, parse_rate, parse_size


@pytest.mark.parametrize(
    ("text", "seconds"), [("500ms", 0.5), ("2h", 7200), ("1.5s", 1.5)]
)
def test_durations_are_parsed(text, seconds):
    # Guards against a unit that is read as another one.
    assert parse_duration(text) == timedelta(seconds=seconds)


@pytest.mark.parametrize("text", ["5", "5 parsecs", "", "-1s", "ms"])
def test_a_duration_without_a_known_unit_is_refused(text):
    # Guards against a bare number that is read in an unintended unit.
    with pytest.raises(ValueError, match="write it like 500ms"):
        parse_duration(text)


def test_sizes_and_rates_are_parsed():
    # Guards against a mix-up of decimal and binary units, and a rate without `/s`.
    assert parse_size("64MiB") == 64 * 1024**2
    assert parse_rate("10MB/s") == 10_000_000
    with pytest.raises(ValueError, match="write it like 10MB/s"):
        parse_rate("10MB")


@pytest.mark.parametrize("text", ["500ms", "90s", "3min", "2h", "1d"])
def test_format_is_the_inverse_of_parse(text):
    # Guards against a formatted duration that is parsed as another one.
    assert format_duration(parse_duration(text)) == text
