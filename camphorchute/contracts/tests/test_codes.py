from pathlib import Path

import pytest

from camphorchute.contracts.codes import Fate, ResultCode, all_codes, code_info, codes_markdown

DOCS = Path(__file__).resolve().parents[3] / "docs"


def test_codes_page_is_the_table():
    assert (DOCS / "codes.md").read_text() == codes_markdown()


def test_every_code_has_a_row():
    assert [info.code for info in all_codes()] == list(ResultCode)


@pytest.mark.parametrize(
    "first, last, fates",
    [
        (200, 299, {Fate.NOT_RUN}),
        (300, 399, {Fate.UNKNOWN}),
        (400, 499, {Fate.MAY_HAVE_RUN, Fate.RAN}),
    ],
)
def test_number_tells_the_fate(first, last, fates):
    codes = [code for code in ResultCode if first <= code <= last]
    assert codes
    assert {code_info(code).fate for code in codes} <= fates
