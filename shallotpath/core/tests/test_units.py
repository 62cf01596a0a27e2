from datetime import timedelta

import pytest

from shallotpath.core import format_duration, parse_duration, parse_rate, parse_size


@pytest.mark.parametrize(
    ("text", "seconds"), [("500ms", 0.5), ("2h", 7200), ("1.5s", 1.5)]
)
def test_durations(text, seconds):
    assert parse_duration(text) == timedelta(seconds=seconds)


@pytest.mark.parametrize("text", ["5", "5 parsecs", "", "-1s", "ms"])
def test_a_duration_without_a_known_unit_is_refused(text):
    with pytest.raises(ValueError, match="write it like 500ms"):
        parse_duration(text)


def test_sizes_and_rates():
    assert parse_size("64MiB") == 64 * 1024**2
    assert parse_rate("10MB/s") == 10_000_000
    with pytest.raises(ValueError, match="write it like 10MB/s"):
        parse_rate("10MB")


@pytest.mark.parametrize("text", ["500ms", "90s", "3min", "2h", "1d"])
def test_format_is_the_inverse_of_parse(text):
    assert format_duration(parse_duration(text)) == text
