import re
from pathlib import Path

import pytest

from shallotpath.core import Code
from shallotpath.runtime._problem import DETAIL_BY_CODE

OPERATORS_CODES = {Code.BAD_SETTING, Code.PLATFORM_UNAVAILABLE, Code.REJECTED_CHANGE}
PAGE = Path(__file__).parents[3] / "docs" / "errors.md"


@pytest.mark.parametrize("code", sorted(set(Code) - OPERATORS_CODES))
def test_each_code_that_callers_see_has_a_remedy(code):
    # Guards against an error that leaves its caller without advice.
    assert DETAIL_BY_CODE[code]


def test_the_page_lists_every_code():
    listed = set(re.findall(r"^\| `(\w+)` \|", PAGE.read_text(), re.MULTILINE))
    assert listed == {code.value for code in Code}
