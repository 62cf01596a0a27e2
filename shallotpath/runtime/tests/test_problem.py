import re
from pathlib import Path

import pytest

from shallotpath.core import Code
from shallotpath.runtime._problem import DETAIL_BY_CODE

OPERATOR_ONLY_CODES = {
    Code.BAD_SETTING,
    Code.PLATFORM_UNAVAILABLE,
    Code.REJECTED_CHANGE,
}
ERRORS_PAGE = Path(__file__).parents[3] / "docs" / "errors.md"


@pytest.mark.parametrize("code", sorted(set(Code) - OPERATOR_ONLY_CODES))
def test_each_code_that_callers_see_has_a_remedy(code):
    # Guards against an error response without advice for the caller.
    assert DETAIL_BY_CODE[code]


def test_errors_page_lists_every_code():
    # Guards against undocumented codes, and documented codes that do not exist.
    listed = set(re.findall(r"^\| `(\w+)` \|", ERRORS_PAGE.read_text(), re.MULTILINE))
    assert listed == {code.value for code in Code}
